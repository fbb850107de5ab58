package goosepermit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

// inCluster runs f in a data centre whose pools have dispatchers.
func inCluster(t *testing.T, instances, replicas int, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, instances, replicas)
		time.Sleep(3 * time.Second)
		f(t, c)
	})
}

// dispatcher returns the node that dispatches the pool, and the other nodes.
func (c *cluster) dispatcher() (*node, []*node) {
	c.t.Helper()
	var holder *node
	var others []*node
	for _, n := range c.nodes {
		if _, ok := n.manager.Pool(testPool); ok && !c.dead[n.id] {
			if holder != nil {
				c.t.Fatalf("dispatchers: got %s and %s, want one", holder.id, n.id)
			}
			holder = n
			continue
		}
		if !c.dead[n.id] {
			others = append(others, n)
		}
	}
	if holder == nil {
		c.t.Fatal("no dispatcher")
	}
	return holder, others
}

func (n *node) mode() goose.DispatchMode {
	p, ok := n.manager.Pool(testPool)
	if !ok {
		return goose.ModeStopped
	}
	return p.Mode()
}

// replicas returns the replicas for which a node gets permits.
func (n *node) replicas() map[goose.ReplicaID]bool {
	granted := map[goose.ReplicaID]bool{}
	for range 12 {
		r := request()
		r.TimeLeft = time.Second
		if p, _ := n.holder.Acquire(context.Background(), r); p != nil {
			granted[p.Replicas[0].Replica] = true
			n.finish(*p)
		}
	}
	return granted
}

// withLock runs f with the cluster's mutex held.
func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Guards against instances that get no permits from each other's dispatchers, and against
// releases that free no capacity.
func TestPermitsFromEveryInstance(t *testing.T) {
	inCluster(t, 3, 1, func(_ *testing.T, c *cluster) {
		for range 3 {
			for _, n := range c.nodes {
				n.finish(n.acquire())
			}
		}
	})
}

// Guards against a release that is lost with its connection, so that its capacity stays
// counted.
func TestReportsAreRepeated(t *testing.T) {
	inCluster(t, 2, 1, func(_ *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		p := others[0].acquire()
		time.Sleep(time.Second)
		c.withLock(func() { c.callsFail = true })
		others[0].finish(p)
		time.Sleep(time.Second)
		c.withLock(func() { c.callsFail = false })
		start := time.Now()
		dispatcher.acquire()
		if got := time.Since(start); got > time.Second {
			c.t.Errorf("wait for the released capacity: got %v, want under 1s", got)
		}
	})
}

// Guards against a retry that gets the permit of the failed attempt because the release of
// that permit has not reached the dispatcher.
func TestRetryGetsNewPermit(t *testing.T) {
	inCluster(t, 2, 2, func(t *testing.T, c *cluster) {
		_, others := c.dispatcher()
		r := request()
		for range 2 {
			p, _ := others[0].holder.Acquire(t.Context(), r)
			c.withLock(func() { c.slowReports = true })
			others[0].holder.Release(goose.PermitReport{Permit: p.ID, Outcome: goose.OutcomeFailed})
			retried, refusal := others[0].holder.Acquire(t.Context(), r)
			if retried == nil || retried.ID == p.ID {
				t.Fatalf("retry: got permit %v, refusal %v, want a new permit", retried, refusal)
			}
			others[0].finish(*retried)
		}
	})
}

// Guards against a pool without a dispatcher after its dispatcher has died, against held
// permits that the succeeding dispatcher does not count, and against reports that do not
// reach it.
func TestSuccessorCountsHeldPermits(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		p := others[0].acquire()
		others[0].holder.ReportStarted(p)
		c.kill(dispatcher.id)
		got := make(chan *goose.Permit)
		go func() {
			p, _ := others[1].holder.Acquire(t.Context(), request())
			got <- p
		}()
		time.Sleep(12 * time.Second)
		select {
		case p := <-got:
			t.Fatalf("cold replica with a held permit: got permit %v, want none", p)
		default:
		}
		others[0].finish(p)
		if p := <-got; p == nil {
			t.Fatal("after the release at the successor: got no permit, want one")
		}
	})
}

// Guards against a graceful shutdown that interrupts the pool: the succeeding dispatcher
// must grant permits within a second, even if one instance does not reply to it, and must
// have the list of held permits.
func TestShutdownHandsOver(t *testing.T) {
	inCluster(t, 4, 2, func(t *testing.T, c *cluster) {
		_, others := c.dispatcher()
		c.kill(others[2].id)
		dispatcher, others := c.dispatcher()
		p := others[0].acquire()
		dispatcher.manager.Shutdown(t.Context())
		start := time.Now()
		second := others[1].acquire()
		if got := time.Since(start); got > time.Second {
			t.Errorf("time to the first permit of the successor: got %v, want less than 1s", got)
		}
		if p.Replicas[0].Replica == second.Replicas[0].Replica {
			t.Errorf("second permit: got cold replica %s again, want the other replica", second.Replicas[0].Replica)
		}
	})
}

// Guards against a leaving instance that keeps dispatching a pool, and against the lease of
// a pool that was removed from the configuration.
func TestPoolIsReleased(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		first, _ := c.dispatcher()
		c.withLock(func() { c.leaving, c.version = first.id, 2 })
		time.Sleep(2 * time.Second)
		second, _ := c.dispatcher()
		if first == second {
			t.Errorf("dispatcher while %s leaves: got %s, want another", first.id, second.id)
		}
		c.withLock(func() { c.pools, c.version = nil, 3 })
		time.Sleep(2 * time.Second)
		c.withLock(func() {
			if got := len(c.keys); got != 0 {
				t.Errorf("leases without a pool: got %d, want 0", got)
			}
		})
	})
}

// Guards against a single instance that dispatches all pools: each pool must be dispatched
// by its preferred instance.
func TestPoolsAreDistributed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		c.withLock(func() {
			for i := range 16 {
				c.pools = append(c.pools, goose.Pool{DataCentre: testPool.DataCentre, Service: goose.ServiceName(fmt.Sprint("s", i))})
			}
		})
		time.Sleep(6 * time.Second)
		ids := []goose.InstanceID{"i0", "i1", "i2", "i3"}
		sum := 0
		for id, n := range c.nodes {
			for _, h := range n.manager.DispatchedPools() {
				sum++
				if want, _ := goosedispatch.Owner(goose.ReplicaID(h.Pool.String()), ids); id != want {
					t.Errorf("dispatcher of %s: got %s, want %s", h.Pool, id, want)
				}
			}
		}
		if sum != 17 {
			t.Errorf("pools with a dispatcher: got %d, want 17", sum)
		}
	})
}

// Guards against a store outage that stops a pool although all instances can reach each
// other, and against one during which two instances dispatch.
func TestStoreOutage(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		c.withLock(func() { c.storeDown = true })
		time.Sleep(20 * time.Second)
		if got := dispatcher.mode(); got != goose.ModeConsented {
			t.Errorf("mode during the outage: got %s, want consented", got)
		}
		others[0].finish(others[0].acquire())
		// If a single listed member becomes unreachable, its consent is missing.
		c.withLock(func() { c.cutPairs[[2]goose.InstanceID{dispatcher.id, others[0].id}] = true })
		time.Sleep(3 * time.Second)
		if got := dispatcher.mode(); got != goose.ModeDegraded {
			t.Errorf("mode without one consent: got %s, want degraded", got)
		}
	})
}

// Guards against an instance that acquires the lease although it has promised consent to the
// dispatcher, also after a restart that loses the promise: two instances would dispatch the
// pool.
func TestPromisePreventsLease(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 1, func(t *testing.T, c *cluster) { checkPromise(t, c, restart) })
		})
	}
}

func checkPromise(t *testing.T, c *cluster, restart bool) {
	dispatcher, others := c.dispatcher()
	c.withLock(func() { c.cutFromStore = dispatcher.id })
	time.Sleep(20 * time.Second)
	if got := dispatcher.mode(); got != goose.ModeConsented {
		t.Errorf("mode of a holder that alone is cut off from the store: got %s, want consented", got)
	}
	c.withLock(func() {
		for _, o := range others {
			c.cutPairs[[2]goose.InstanceID{dispatcher.id, o.id}] = true
		}
	})
	if restart {
		for _, o := range others {
			c.kill(o.id)
			c.withLock(func() { c.dead[o.id] = false })
			c.startInstance(o.id)
		}
	}
	for range 500 {
		time.Sleep(10 * time.Millisecond)
		for _, o := range others {
			if n := c.nodes[o.id]; dispatcher.mode() == goose.ModeConsented && n.mode() != goose.ModeStopped {
				t.Fatalf("%s dispatches while the former holder dispatches by consent", n.id)
			}
		}
	}
	if _, ok := c.nodes[others[0].id].Dispatcher(testPool); !ok {
		t.Error("after the promises ended: got no dispatcher, want one")
	}
}

// Guards against a former dispatcher that continues after its successor has collected the
// held permits, and against Holders that still accept its grants.
func TestCollectFencesFormerDispatcher(t *testing.T) {
	inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		var reply goose.HolderState
		request := goosedispatch.CollectRequest{Pool: testPool, Epoch: 9999}
		if err := others[0].Call(t.Context(), string(dispatcher.id), goosedispatch.KindCollect, request, &reply); err != nil {
			t.Fatal(err)
		}
		if got := dispatcher.mode(); got != goose.ModeStopped {
			t.Errorf("mode after a collect of a newer epoch: got %s, want stopped", got)
		}
		if got := dispatcher.holder.minEpoch[testPool]; got != 9999 {
			t.Errorf("oldest epoch whose grants the holder accepts: got %d, want 9999", got)
		}
	})
}

// Guards against one side of a partitioned data centre that is not served, and against two
// dispatchers that grant permits for the same replica.
func TestPartitionServesBothSides(t *testing.T) {
	inCluster(t, 3, 6, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		for range 60 {
			for _, n := range others {
				n.finish(n.acquire())
			}
		}
		dispatcher.finish(dispatcher.acquire())
		c.withLock(func() {
			c.storeDown = true
			for _, o := range others {
				c.cutPairs[[2]goose.InstanceID{dispatcher.id, o.id}] = true
			}
		})
		time.Sleep(15 * time.Second)
		lowest := others[0]
		if others[1].id < lowest.id {
			lowest = others[1]
		}
		if got := lowest.mode(); got != goose.ModeDegraded {
			t.Fatalf("mode of the instance with the lowest id on the other side: got %s, want degraded", got)
		}
		if got := dispatcher.mode(); got != goose.ModeDegraded {
			t.Fatalf("mode of the former lease holder: got %s, want degraded", got)
		}
		mine, theirs := dispatcher.replicas(), lowest.replicas()
		for id := range mine {
			if theirs[id] {
				t.Errorf("replica %s: got grants on both sides, want one side", id)
			}
		}
		if got := len(mine) + len(theirs); got != 6 {
			t.Errorf("warm replicas in use on both sides: got %d, want 6", got)
		}
		c.withLock(func() { c.cutPairs = map[[2]goose.InstanceID]bool{} })
		time.Sleep(5 * time.Second)
		if got, _ := c.dispatcher(); got != dispatcher {
			t.Errorf("dispatcher after the partition: got %s, want the former lease holder %s", got.id, dispatcher.id)
		}
		c.withLock(func() { c.storeDown = false })
		time.Sleep(10 * time.Second)
		c.dispatcher()
	})
}

// slowDispatcher is a local dispatcher that replies to polls after a delay.
type slowDispatcher struct {
	delay time.Duration
	reply goose.PermitReply
	polls int
}

func (d *slowDispatcher) Dispatcher(goose.Pool) (goose.Dispatcher, bool) {
	return d, d.reply.Status != ""
}
func (d *slowDispatcher) Abandon(goose.RequestID)   {}
func (d *slowDispatcher) Report(goose.PermitReport) {}
func (d *slowDispatcher) Acquire(context.Context, goose.PermitRequest) goose.PermitReply {
	time.Sleep(d.delay)
	d.polls++
	return d.reply
}

// Guards against permits that are used after their lifetime, against grants of a former
// dispatcher after its successor has collected, and against waits without a limit.
func TestAcquire(t *testing.T) {
	granted := goose.PermitReply{Status: goose.PermitGranted, Permit: goose.Permit{ID: "p", Epoch: 5, Pool: testPool}}
	tests := map[string]struct {
		local slowDispatcher
		fence goose.Epoch
		left  time.Duration
		want  goose.RefusalCode
		after time.Duration
	}{
		"granted":                      {slowDispatcher{time.Second, granted, 0}, 5, 30 * time.Second, "", time.Second},
		"reply after the expiry":       {slowDispatcher{3 * time.Second, granted, 0}, 0, 10 * time.Second, goose.CodeDeadline, 0},
		"former epoch":                 {slowDispatcher{0, granted, 0}, 6, 10 * time.Second, goose.CodeDeadline, 10 * time.Second},
		"no dispatcher":                {slowDispatcher{}, 0, time.Minute, goose.CodeNotReady, dispatcherWait},
		"no dispatcher, deadline ends": {slowDispatcher{}, 0, time.Second, goose.CodeDeadline, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New(Options{Self: "i0", Membership: noMembers{}, Local: &tt.local})
				defer h.Close(t.Context())
				h.Fence(testPool, tt.fence)
				r := request()
				r.TimeLeft = tt.left
				start := time.Now()
				p, refusal := h.Acquire(t.Context(), r)
				switch {
				case tt.want == "" && (p == nil || !p.Expires.Equal(start.Add(goose.PermitLifetime))):
					t.Errorf("permit: got %v, want one that expires %v after the poll was sent", p, goose.PermitLifetime)
				case tt.want != "" && (refusal == nil || refusal.Code != tt.want || refusal.Run != goose.RunStateNotRun):
					t.Errorf("refusal: got %v, want %s not-run", refusal, tt.want)
				case tt.want != "" && refusal.RetryAfter <= 0:
					t.Errorf("refusal %v: got no retry delay", refusal)
				}
				if got := time.Since(start); tt.after > 0 && (got < tt.after || got > tt.after+100*time.Millisecond) {
					t.Errorf("time to the reply: got %v, want %v", got, tt.after)
				}
			})
		})
	}
}

type noMembers struct{ goose.Membership }

func (noMembers) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

// Guards against evidence of a warm replica from cold replicas, from failures, or
// from permits that were granted below the full limits: a succeeding dispatcher would
// skip the ramp-up.
func TestWarmEvidence(t *testing.T) {
	tests := map[string]struct {
		warm   bool
		report goose.PermitReport
		want   int
	}{
		"finished at full limits": {true, goose.PermitReport{Outcome: goose.OutcomeFinished, Process: "p1"}, 1},
		"finished during ramp-up": {false, goose.PermitReport{Outcome: goose.OutcomeFinished, Process: "p1"}, 0},
		"cold":                    {true, goose.PermitReport{Outcome: goose.OutcomeFinished, Process: "p1", Cold: true}, 0},
		"failed":                  {true, goose.PermitReport{Outcome: goose.OutcomeFailed, Process: "p1"}, 0},
		"process unknown":         {true, goose.PermitReport{Outcome: goose.OutcomeFinished}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			granted := goose.PermitReply{Status: goose.PermitGranted, Permit: goose.Permit{
				ID: "p", Pool: testPool, Replicas: []goose.ReplicaGrant{{Replica: "r", Warm: tt.warm}},
			}}
			h := New(Options{Self: "i0", Membership: noMembers{}, Local: &slowDispatcher{reply: granted}})
			defer h.Close(t.Context())
			p, _ := h.Acquire(t.Context(), request())
			if got := h.HolderState(testPool); len(got.Held) != 1 {
				t.Errorf("held: got %d, want 1", len(got.Held))
			}
			tt.report.Permit = p.ID
			h.Release(tt.report)
			if got := h.HolderState(testPool); len(got.Warm) != tt.want || len(got.Held) != 0 {
				t.Errorf("after the release: got %d warm, %d held; want %d and 0", len(got.Warm), len(got.Held), tt.want)
			}
		})
	}
}

var _ goosedispatch.Holder = (*Holder)(nil)
