package goosesuspect

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosebroadcast"
)

// fleet simulates the network of a set of instances in one process.
type fleet struct {
	*goosepeertest.Network
	mu sync.Mutex
	// unreachable are the instances that receive no calls.
	unreachable map[string]bool
	// members are the instances; nil stands for a, b and c of one data centre.
	members []goose.Member
	// cutPairs are the pairs of calling and called instance whose calls get no reply.
	cutPairs map[[2]string]bool
	// notReplying are the instances that receive calls but die before they reply to them or
	// make calls of their own.
	notReplying map[string]bool
	// calls counts the attempted calls of each instance.
	calls map[string]int
}

func newFleet(members []goose.Member) *fleet {
	f := &fleet{members: members, unreachable: map[string]bool{}, notReplying: map[string]bool{}, cutPairs: map[[2]string]bool{}, calls: map[string]int{}}
	f.Network = goosepeertest.New(func(c goosepeertest.Call) goosepeertest.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case f.unreachable[c.To] || f.cutPairs[[2]string{c.From, c.To}] || f.notReplying[c.From]:
			return goosepeertest.FaultSilent
		case f.notReplying[c.To]:
			return goosepeertest.FaultNoReply
		}
		return goosepeertest.FaultNone
	})
	return f
}

// node is the view that one instance has of the fleet.
type node struct {
	*goosepeertest.Link
	f    *fleet
	name string
}

// join adds an instance.
func (f *fleet) join(name string) *Replicator {
	n := node{f.Join(name), f, name}
	r := NewReplicator(goose.SystemClock{}, n, n)
	r.Register(n)
	return r
}

func (n node) Self() goose.Member {
	for _, m := range n.f.members {
		if m.Address == n.name {
			return m
		}
	}
	return goose.Member{Instance: goose.InstanceID(n.name)}
}

func (n node) Members() []goose.Member {
	if n.f.members != nil {
		return n.f.members
	}
	var all []goose.Member
	for _, i := range []string{"a", "b", "c"} {
		all = append(all, goose.Member{Instance: goose.InstanceID(i), Address: i, Live: true})
	}
	return append(all, goose.Member{Instance: "gone", Address: "gone"})
}

func (n node) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

func (n node) Call(ctx context.Context, address, kind string, request, reply any) error {
	if address == "gone" {
		panic("call to an instance that is not live: " + address)
	}
	n.f.mu.Lock()
	n.f.calls[n.name]++
	n.f.mu.Unlock()
	return n.Link.Call(ctx, address, kind, request, reply)
}

// Guards against marks that reach other instances late or never, also after an instance was
// unreachable, and against an unreachable instance that delays the others.
func TestMarksReachPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(nil)
		f.unreachable["b"] = true
		peers := map[string]*Replicator{}
		for _, i := range []string{"a", "b", "c"} {
			peers[i] = f.join(i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, r := range peers {
			wg.Go(func() { r.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		check := func(when string, want map[string]goose.Suspicion) {
			synctest.Wait()
			for i, w := range want {
				if got := peers[i].Table().Grade(1); got != w {
					t.Errorf("%s: got %s on %s, want %s", when, got, i, w)
				}
			}
		}
		peers["a"].Table().RecordCrash("r1", "p1", []goose.Fingerprint{1})
		check("at once", map[string]goose.Suspicion{"a": goose.SuspicionSuspect, "b": goose.SuspicionNone, "c": goose.SuspicionSuspect})
		peers["a"].Table().RecordCrash("r2", "p2", []goose.Fingerprint{1})
		check("at once", map[string]goose.Suspicion{"a": goose.SuspicionCondemned, "b": goose.SuspicionNone, "c": goose.SuspicionCondemned})
		f.mu.Lock()
		f.unreachable = nil
		f.mu.Unlock()
		time.Sleep(goosebroadcast.PullInterval + goosebroadcast.CallTimeout)
		check("after a pull", map[string]goose.Suspicion{"b": goose.SuspicionCondemned})
		cancel()
		wg.Wait()
	})
}

// Guards against a trial that begins before the reachable instances have its mark, and
// against a trial that waits too long for an unreachable instance.
func TestTrialIsAnnounced(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"all reply": false, "one is silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(nil)
				f.unreachable["b"] = silent
				a, b, c := f.join("a"), f.join("b"), f.join("c")
				a.Table().RecordCrash("r1", "p1", []goose.Fingerprint{1})
				begin := time.Now()
				if !a.Table().BeginTrial(t.Context(), 1) {
					t.Fatal("got no trial of a suspect")
				}
				if got := time.Since(begin); got > goosebroadcast.CallTimeout {
					t.Errorf("wait of the request: got %s, want at most %s", got, goosebroadcast.CallTimeout)
				}
				want := map[*Replicator]goose.Suspicion{a: goose.SuspicionOnTrial, b: goose.SuspicionOnTrial, c: goose.SuspicionOnTrial}
				if silent {
					want[b] = goose.SuspicionNone
				}
				for r, w := range want {
					if got := r.Table().Grade(1); got != w {
						t.Errorf("grade: got %s, want %s", got, w)
					}
				}
				if a.Table().BeginTrial(t.Context(), 1) {
					t.Error("got a second trial at the same time")
				}
			})
		})
	}
}

// BenchmarkGrade measures the lookup that is made for each request.
func BenchmarkGrade(b *testing.B) {
	t := New(goose.SystemClock{}, nil)
	all := make([]goose.Fingerprint, MaxMarks)
	for i := range all {
		all[i] = goose.Fingerprint(i)
	}
	t.RecordCrash("r", "p", all)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for f := goose.Fingerprint(0); pb.Next(); f++ {
			_ = t.Grade(f)
		}
	})
}

// BenchmarkCrashed measures the recording of a crash with 32 requests in flight in a full
// table.
func BenchmarkCrashed(b *testing.B) {
	t := New(goose.SystemClock{}, nil)
	all := make([]goose.Fingerprint, MaxMarks)
	for i := range all {
		all[i] = goose.Fingerprint(i)
	}
	t.RecordCrash("r", "p", all)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		t.RecordCrash("r", time.Duration(n).String(), all[n%4000:n%4000+32])
	}
}
