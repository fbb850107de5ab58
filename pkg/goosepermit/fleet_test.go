package goosepermit

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against any combination of dead, restarted, paused and partitioned instances and
// store outages after which a cold engine runs more than its cold limit of one stream, and
// against a pool that does not recover.
func TestFleetKeepsColdBound(t *testing.T) {
	for seed := range int64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
		})
	}
}

func runFleet(t *testing.T, seed int64) {
	c := newCluster(t, 4, 3)
	c.withLock(func() { c.cold = true })
	time.Sleep(3 * time.Second)
	random := rand.New(rand.NewSource(seed))
	var served atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	for i := range 4 {
		for caller := range 3 {
			go sendRequests(ctx, c, goose.InstanceID(fmt.Sprint("i", i)), rand.New(rand.NewSource(seed*100+int64(4*caller+i))), &served)
		}
	}
	for range 20 {
		c.injectFault(random)
		time.Sleep(time.Duration(random.Intn(4000)) * time.Millisecond)
	}
	c.withLock(func() {
		c.cutPairs, c.callsFail, c.storeDown, c.cutFromStore = map[[2]goose.InstanceID]bool{}, false, false, ""
	})
	time.Sleep(20 * time.Second)
	before := served.Load()
	time.Sleep(time.Minute)
	if got := served.Load() - before; got < 10 {
		t.Errorf("requests served in a minute after the faults: got %d, want 10 or more", got)
	}
	cancel()
	time.Sleep(20 * time.Second)
}

// injectFault adds or removes one random fault.
func (c *cluster) injectFault(random *rand.Rand) {
	id := func() goose.InstanceID { return goose.InstanceID(fmt.Sprint("i", random.Intn(4))) }
	a, b := id(), id()
	switch random.Intn(9) {
	case 8:
		c.mu.Lock()
		n := c.nodes[a]
		c.mu.Unlock()
		n.manager.Shutdown(c.t.Context())
		fallthrough
	case 0, 1:
		c.kill(a)
		time.Sleep(time.Duration(random.Intn(3000)) * time.Millisecond)
		c.withLock(func() { c.dead[a] = false })
		c.startInstance(a)
	case 2:
		c.withLock(func() { c.cutPairs[[2]goose.InstanceID{a, b}] = a != b })
	case 3:
		c.withLock(func() { c.cutPairs = map[[2]goose.InstanceID]bool{} })
	case 4:
		c.withLock(func() { c.storeDown = !c.storeDown })
	case 5:
		c.withLock(func() { c.cutFromStore = a })
	case 6:
		c.withLock(func() { c.callsFail = !c.callsFail })
	case 7:
		c.withLock(func() { c.cutFromStore, c.storeDown = "", false })
	}
}

// sendRequests sends requests through the current process of an instance until ctx ends.
func sendRequests(ctx context.Context, c *cluster, id goose.InstanceID, random *rand.Rand, served *atomic.Int64) {
	for ctx.Err() == nil {
		c.mu.Lock()
		n := c.nodes[id]
		c.mu.Unlock()
		r := request()
		r.TimeLeft = 8 * time.Second
		p, _ := n.holder.Acquire(ctx, r)
		if p == nil || n.died.Load() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		// The pause before the first byte is sent may be longer than the permit's lifetime.
		time.Sleep(time.Duration(random.Intn(3500)) * time.Millisecond)
		if n.died.Load() || !p.Valid(time.Now()) {
			n.holder.Release(goose.PermitReport{Permit: p.ID, Outcome: goose.OutcomeNotSent})
			continue
		}
		address, attempt := p.Replicas[0].Address, goose.AttemptID(p.ID)
		if got := c.begin(address, attempt); got > 1 {
			c.t.Errorf("streams on cold engine %s: got %d, want 1", address, got)
		}
		n.holder.ReportStarted(*p)
		time.Sleep(time.Duration(random.Intn(6000)) * time.Millisecond)
		if n.died.Load() {
			continue
		}
		c.end(address, attempt)
		n.finish(*p)
		served.Add(1)
	}
}

// Guards against two dispatchers that together grant more than the limit of a warm engine
// during a partition: one part of the data centre has the lease, the other part has only
// the former dispatcher, which cannot reach the store.
func TestPartitionKeepsWarmLimits(t *testing.T) {
	for partner := range 4 {
		t.Run(fmt.Sprint("with i", partner), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPartition(t, goose.InstanceID(fmt.Sprint("i", partner))) })
		})
	}
}

func runPartition(t *testing.T, partner goose.InstanceID) {
	c := newCluster(t, 4, 4)
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var peak, served atomic.Int64
	for i := range 32 {
		c.mu.Lock()
		n := c.nodes[goose.InstanceID(fmt.Sprint("i", i%4))]
		c.mu.Unlock()
		go sendBriefRequests(ctx, c, n, rand.New(rand.NewSource(int64(i))), &peak, &served)
	}
	time.Sleep(10 * time.Second)
	if got := peak.Load(); got != 4 {
		t.Errorf("concurrent streams on one warm engine before the partition: got %d, want 4", got)
	}
	d, ok := c.nodes["i0"].Dispatcher(testPool)
	if !ok {
		t.Fatal("no dispatcher")
	}
	c.withLock(func() {
		c.cutFromStore = d.Instance
		for a := range c.nodes {
			for b := range c.nodes {
				inA, inB := a == d.Instance || a == partner, b == d.Instance || b == partner
				c.cutPairs[[2]goose.InstanceID{a, b}] = inA != inB
			}
		}
	})
	time.Sleep(6 * time.Second)
	before := served.Load()
	time.Sleep(20 * time.Second)
	if got := peak.Load(); got > 4 {
		t.Errorf("concurrent streams on one warm engine during the partition: got %d, want at most 4", got)
	}
	if served.Load() == before {
		t.Error("got no request served during the partition")
	}
	cancel()
	time.Sleep(20 * time.Second)
}

// sendBriefRequests sends requests that run for less than the interval at which the
// dispatcher reads an engine's list of streams, so that only the limits bound them. peak is
// the highest number of concurrent streams on one engine.
func sendBriefRequests(ctx context.Context, c *cluster, n *node, random *rand.Rand, peak, served *atomic.Int64) {
	for ctx.Err() == nil {
		r := request()
		r.TimeLeft = 8 * time.Second
		p, _ := n.holder.Acquire(ctx, r)
		if p == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		address, attempt := p.Replicas[0].Address, goose.AttemptID(p.ID)
		n.holder.ReportStarted(*p)
		got := int64(c.begin(address, attempt))
		for old := peak.Load(); got > old && !peak.CompareAndSwap(old, got); old = peak.Load() {
		}
		time.Sleep(time.Duration(100+random.Intn(200)) * time.Millisecond)
		c.end(address, attempt)
		n.finish(*p)
		served.Add(1)
	}
}
