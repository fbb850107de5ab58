package goosemember

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// network is a peer network with faults per instance and per pair.
type network struct {
	*goosepeertest.Network
	mu   sync.Mutex
	down map[string]bool
	// The keys are pairs of caller and callee. Calls of cut pairs are lost; of
	// replyLost pairs, only the replies are lost.
	cut, replyLost map[[2]string]bool
}

func newNetwork() *network {
	n := &network{cut: map[[2]string]bool{}, down: map[string]bool{}, replyLost: map[[2]string]bool{}}
	n.Network = goosepeertest.New(func(c goosepeertest.Call) goosepeertest.Fault {
		n.mu.Lock()
		defer n.mu.Unlock()
		pair := [2]string{c.From, c.To}
		switch {
		case n.cut[pair] || n.down[c.From] || n.down[c.To]:
			return goosepeertest.FaultSilent
		case n.replyLost[pair]:
			return goosepeertest.FaultNoReply
		}
		return goosepeertest.FaultNone
	})
	return n
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

func (n *network) setDown(a string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[a] = down
}

// fixedList is a platform list that never changes.
type fixedList struct{ members []goose.Member }

func (l fixedList) Instances(context.Context) ([]goose.Member, error) {
	if l.members == nil {
		return nil, errors.New("list down")
	}
	return l.members, nil
}

type fleet struct {
	net      *network
	clusters map[string]*Cluster
	mu       sync.Mutex
	versions map[string]int64
	pools    map[string][]goose.DispatchedPool
}

func (f *fleet) setVersion(name string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[name] = v
}

func (f *fleet) setPools(name string, p ...goose.DispatchedPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools[name] = p
}

// startFleet runs instances named "<data centre>-<n>", whose addresses are
// their names.
func startFleet(ctx context.Context, names map[string]goose.DataCentre) *fleet {
	f := &fleet{net: newNetwork(), clusters: map[string]*Cluster{}, versions: map[string]int64{}, pools: map[string][]goose.DispatchedPool{}}
	var list []goose.Member
	for name, dc := range names {
		list = append(list, goose.Member{Instance: goose.InstanceID(name), DataCentre: dc, Address: name})
	}
	for name, dc := range names {
		node := f.net.Join(name)
		f.clusters[name] = New(Options{
			Self:       goose.Member{Instance: goose.InstanceID(name), DataCentre: dc, Address: name, Incarnation: 1},
			PeerClient: node, PeerRouter: node, InstanceLister: fixedList{list},
			Version: func() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.versions[name] },
			Pools:   func() []goose.DispatchedPool { f.mu.Lock(); defer f.mu.Unlock(); return f.pools[name] },
			Leaving: func() bool { return false },
			Logger:  slog.New(slog.DiscardHandler),
		})
	}
	for _, c := range f.clusters {
		go c.Run(ctx)
		// Instances do not start at the same time.
		time.Sleep(5 * time.Millisecond)
	}
	return f
}

func (f *fleet) heartbeats() int { return f.net.Calls(kindHeartbeat) }

// Guards against two exchanges per pair and interval, whose traffic exceeds the
// bounds of a data centre of 25 instances, and against so few exchanges that a
// live member counts as failed.
func TestOneExchangePerPair(t *testing.T) {
	names := map[string]goose.DataCentre{"a-1": "a", "a-2": "a", "a-3": "a", "a-4": "a", "a-5": "a", "a-6": "a"}
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, names)
		time.Sleep(5 * time.Second)
		before := f.heartbeats()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for name, c := range f.clusters {
				if got := len(liveNames(c)); got != len(names) {
					t.Fatalf("%s: got %d live members, want %d", name, got, len(names))
				}
			}
		}
		// 15 pairs and 20 intervals; one more exchange per pair may fall into the
		// measured time.
		if got, most := f.heartbeats()-before, 15*21; got > most {
			t.Errorf("got %d heartbeats in 10 s, want at most %d", got, most)
		}
	})
}

// Guards against a member that counts its replies as heartbeats while the sender
// receives none of them.
func TestMissingRepliesAreNoHeartbeats(t *testing.T) {
	t.Parallel()
	node := newNetwork().Join("a-1")
	c := New(Options{
		Self:       goose.Member{Instance: "a-1", DataCentre: "a", Address: "a-1"},
		PeerClient: node, PeerRouter: node,
		Version: func() int64 { return 0 },
		Pools:   func() []goose.DispatchedPool { return nil },
		Leaving: func() bool { return false },
		Logger:  slog.New(slog.DiscardHandler),
	})
	for _, repliesMissing := range []bool{true, false} {
		_, err := c.serveHeartbeat(t.Context(), "a-2", func(v any) error {
			*v.(*heartbeat) = heartbeat{Member: &goose.Member{Instance: "a-2", DataCentre: "a"}, RepliesMissing: repliesMissing}
			return nil
		})
		if got, want := c.table.stateSentRecently("a-2"), !repliesMissing; err != nil || got != want {
			t.Errorf("replies missing %v: got state sent %v, %v, want %v", repliesMissing, got, err, want)
		}
	}
}

var threeCentres = map[string]goose.DataCentre{
	"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b", "c-1": "c",
}

func liveNames(c *Cluster) map[string]bool {
	result := map[string]bool{}
	for _, m := range c.Members() {
		if m.Live {
			result[string(m.Instance)] = true
		}
	}
	return result
}

func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// Guards against instances that never learn the members of other data centres, or
// the versions in force there.
func TestViewConverges(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentres)
		time.Sleep(5 * time.Second)
		f.setVersion("b-2", 7)
		time.Sleep(5 * time.Second)
		for name, c := range f.clusters {
			if got, want := len(liveNames(c)), len(threeCentres); got != want {
				t.Errorf("%s: got %d live members, want %d: %v", name, got, want, liveNames(c))
			}
			for _, m := range c.Members() {
				if m.Instance == "b-2" && m.Version != 7 {
					t.Errorf("%s: got version %d of b-2, want 7", name, m.Version)
				}
			}
		}
	})
}

// Guards against a dead instance or a data centre that is cut off and still
// counts as live, and against one that never counts as live again after its
// return.
func TestFailureAndReturn(t *testing.T) {
	tests := map[string]struct {
		apply func(f *fleet, broken bool)
		lost  []string
	}{
		"dead instance": {func(f *fleet, broken bool) { f.net.setDown("a-2", broken) }, []string{"a-2"}},
		"dead relay":    {func(f *fleet, broken bool) { f.net.setDown("b-1", broken) }, []string{"b-1"}},
		"data centre cut off": {func(f *fleet, broken bool) {
			for name := range threeCentres {
				f.net.setCut(name, "c-1", broken)
			}
		}, []string{"c-1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				f := startFleet(ctx, threeCentres)
				time.Sleep(5 * time.Second)
				tt.apply(f, true)
				time.Sleep(10 * time.Second)
				for _, lost := range tt.lost {
					if liveNames(f.clusters["a-1"])[lost] {
						t.Errorf("%s still counts as live", lost)
					}
				}
				if got, want := len(liveNames(f.clusters["a-1"])), len(threeCentres)-len(tt.lost); got != want {
					t.Errorf("got %d live members, want %d", got, want)
				}
				tt.apply(f, false)
				time.Sleep(10 * time.Second)
				if got, want := len(liveNames(f.clusters["a-1"])), len(threeCentres); got != want {
					t.Errorf("after the return: got %d live members, want %d", got, want)
				}
			})
		})
	}
}

// Guards against requests that are sent to a dispatcher with an older epoch, or
// to a dead one.
func TestDispatcher(t *testing.T) {
	pool := goose.Pool{DataCentre: "a", Service: "s"}
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentres)
		f.setPools("a-1", goose.DispatchedPool{Pool: pool, Epoch: 5, Mode: goose.ModeConsented})
		f.setPools("a-2", goose.DispatchedPool{Pool: pool, Epoch: 6, Mode: goose.ModeLeased})
		time.Sleep(5 * time.Second)
		if m, ok := f.clusters["b-2"].Dispatcher(pool); !ok || m.Instance != "a-2" {
			t.Errorf("got dispatcher %q, want a-2", m.Instance)
		}
		f.net.setDown("a-2", true)
		time.Sleep(5 * time.Second)
		if m, ok := f.clusters["b-2"].Dispatcher(pool); !ok || m.Instance != "a-1" {
			t.Errorf("got dispatcher %q after the failure, want a-1", m.Instance)
		}
	})
}

// Guards against an instance that finds no members while the platform's list is
// down.
func TestSeedsReplaceList(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentres)
		time.Sleep(3 * time.Second)
		node := f.net.Join("a-9")
		c := New(Options{
			Self:       goose.Member{Instance: "a-9", DataCentre: "a", Address: "a-9", Incarnation: 1},
			PeerClient: node, PeerRouter: node, InstanceLister: fixedList{}, Seeds: []string{"a-2", "b-1"},
			Version: func() int64 { return 0 },
			Pools:   func() []goose.DispatchedPool { return nil },
			Leaving: func() bool { return false },
			Logger:  slog.New(slog.DiscardHandler),
		})
		go c.Run(ctx)
		time.Sleep(6 * time.Second)
		if got := liveNames(c); !got["a-2"] {
			t.Errorf("got live members %v, want a-2 among them", got)
		}
		if got := liveNames(f.clusters["a-2"]); !got["a-9"] {
			t.Errorf("a-2: got live members %v, want a-9 among them", got)
		}
	})
}

// Guards against a message of an old incarnation that replaces the state of a
// newer one.
func TestOldIncarnationIgnored(t *testing.T) {
	t.Parallel()
	tb := newTable(goose.Member{Instance: "a-1", DataCentre: "a"}, time.Now)
	tb.observe(goose.Member{Instance: "a-2", DataCentre: "a", Incarnation: 2, Version: 9})
	tb.observe(goose.Member{Instance: "a-2", DataCentre: "a", Incarnation: 1, Version: 3})
	if got, want := tb.records["a-2"].member.Version, int64(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Guards against a deadlock: a dispatcher calls Self while it holds the lock that
// the cluster needs to ask for the dispatched pools.
func TestSelfTakesNoLock(t *testing.T) {
	t.Parallel()
	var pools sync.Mutex
	node := newNetwork().Join("a-1")
	c := New(Options{
		Self:       goose.Member{Instance: "a-1", DataCentre: "a", Address: "a-1"},
		PeerClient: node, PeerRouter: node,
		Version: func() int64 { return 0 },
		Pools:   func() []goose.DispatchedPool { pools.Lock(); defer pools.Unlock(); return nil },
		Leaving: func() bool { return false },
		Logger:  slog.New(slog.DiscardHandler),
	})
	pools.Lock()
	defer pools.Unlock()
	if got, want := c.Self().Instance, goose.InstanceID("a-1"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against permit holders in other data centres that count as silent
// although digests confirm them, so that a dispatcher cancels their streams.
// The same holds when the list shows them as leaving. A dead holder must become
// silent.
func TestRemoteMembersAreNotSilent(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentres)
		time.Sleep(5 * time.Second)
		for _, c := range f.clusters {
			c.table.applyList([]goose.Member{{Instance: "b-2", DataCentre: "b", Address: "b-2", Leaving: true}})
		}
		checkSilence := func(when string, silent bool) {
			t.Helper()
			time.Sleep(20 * time.Second)
			for _, m := range f.clusters["a-2"].Members() {
				if m.Instance != "b-2" {
					continue
				}
				if got := time.Since(m.LastHeard) > DigestTimeout; got != silent {
					t.Errorf("%s: got silent %v since %v, want %v", when, got, time.Since(m.LastHeard), silent)
				}
				return
			}
			if !silent {
				t.Errorf("%s: got no member b-2, want it", when)
			}
		}
		checkSilence("confirmed by digests", false)
		f.net.setDown("b-2", true)
		checkSilence("dead", true)
	})
}

// Guards against heartbeats that repeat an unchanged state, and against members
// that miss a change, or a restarted member, because the state is omitted.
func TestUnchangedStateIsOmitted(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, map[string]goose.DataCentre{"a-1": "a", "a-2": "a", "a-3": "a"})
		time.Sleep(5 * time.Second)
		before, calls := f.net.Bytes(kindHeartbeat), f.heartbeats()
		time.Sleep(10 * time.Second)
		if got, want := (f.net.Bytes(kindHeartbeat)-before)/(f.heartbeats()-calls), 24; got > want {
			t.Errorf("got %d bytes per heartbeat, want at most %d: two hashes and no state", got, want)
		}
		f.setPools("a-2", goose.DispatchedPool{Pool: goose.Pool{DataCentre: "a", Service: "m"}, Epoch: 7, Mode: goose.ModeLeased})
		f.setVersion("a-3", 9)
		time.Sleep(2 * HeartbeatInterval)
		for name, c := range f.clusters {
			if m, ok := c.Dispatcher(goose.Pool{DataCentre: "a", Service: "m"}); !ok || m.Instance != "a-2" {
				t.Errorf("%s: got dispatcher %q, want a-2", name, m.Instance)
			}
			if got := c.Members()[2].Version; got != 9 {
				t.Errorf("%s: got version %d of a-3, want 9", name, got)
			}
		}
		// Like a restarted instance, a-1 has no records of the other members.
		c := f.clusters["a-1"]
		c.table.mu.Lock()
		clear(c.table.records)
		c.table.mu.Unlock()
		time.Sleep(FailureTimeout - HeartbeatInterval)
		for name, c := range f.clusters {
			if got := liveNames(c); !got["a-1"] || !got["a-2"] || !got["a-3"] {
				t.Errorf("%s after a-1 lost its records: got live members %v, want all", name, got)
			}
		}
	})
}
