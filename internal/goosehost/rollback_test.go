package goosehost_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

const (
	// rewriteDelay is the time after the rollback at which operators and replicas write their
	// entries again.
	rewriteDelay = 1500 * time.Millisecond
	// convergence is the time within which all instances have the state of the restored store.
	convergence = 6 * time.Second
)

// edited returns a stored entry with some of its fields replaced.
func edited(f *goosehosttest.Fleet, key string, oldNew ...string) string {
	value, _ := f.Store.Get(key)
	return strings.NewReplacer(oldNew...).Replace(value)
}

// within fails the test if ok does not return true in the given time.
func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("not within %s: %s", d, what)
			return
		}
	}
}

// Guards against requests to a replica that leaves, that was removed, or whose data centre was
// evacuated, while the store has an older copy.
func TestRollbackKeepsReplicasOutOfUse(t *testing.T) {
	t.Parallel()
	const key = "servers/i-b"
	tests := map[string]struct {
		// change is made after the copy, and again after the rollback.
		change, again func(f *goosehosttest.Fleet)
	}{
		"leaving": {
			change: func(f *goosehosttest.Fleet) {
				f.Store.Put(key, edited(f, key, `"ready"`, `"draining"`, `"seq":1`, `"seq":2`))
			},
			again: func(f *goosehosttest.Fleet) {
				f.Store.Put(key, edited(f, key, `"ready"`, `"draining"`, `"seq":1`, `"seq":3`))
			},
		},
		"leaving, died with the store": {change: func(f *goosehosttest.Fleet) {
			f.Store.Put(key, edited(f, key, `"ready"`, `"draining"`, `"seq":1`, `"seq":2`))
		}},
		"removed": {change: func(f *goosehosttest.Fleet) { f.Store.Delete(key) }},
		"evacuated": {
			change: func(f *goosehosttest.Fleet) { f.Store.Put("op/evacuate/oban", "1") },
			again:  func(f *goosehosttest.Fleet) { f.Store.Put("op/evacuate/oban", "1") },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := goosehosttest.New(t)
			f.WriteRouting(1, "a")
			f.AddReplica("i-a", "a")
			f.AddReplica("i-b", "a")
			f.Store.Put(key, edited(f, key, "leith", "oban"))
			e := f.StartInstance("edge-1", io.Discard)
			goosehosttest.Eventually(t, "both replicas respond", func() bool { _, body := e.Get("k1"); return body == "i-b" })
			restored := f.Store.Copy()
			tc.change(f)
			time.Sleep(rewriteDelay)
			if _, body := e.Get("k1"); body != "i-a" {
				t.Fatalf("got response %q before the rollback, want that of i-a", body)
			}
			f.Store.Restore(restored)
			used := map[string]int{}
			rewritten := tc.again == nil
			for start := time.Now(); time.Since(start) < convergence; time.Sleep(10 * time.Millisecond) {
				if !rewritten && time.Since(start) > rewriteDelay {
					tc.again(f)
					rewritten = true
				}
				_, body := e.Get("k1")
				used[body]++
			}
			if used["i-b"] > 0 || used["i-a"] == 0 || len(used) != 1 {
				t.Errorf("got responses %v, want those of i-a only", used)
			}
		})
	}
}

// Guards against changes that are never read because the store has passed the revision of the
// watch again, against an older routing in force, and against a replica that is kept for good.
func TestRollbackIsFollowed(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	f.AddReplica("i-b", "b")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "service a responds", func() bool { _, body := e.Get("k1"); return body == "i-a" })
	restored := f.Store.Copy()
	f.WriteRouting(2, "b")
	f.AddReplica("i-c", "b")
	goosehosttest.Eventually(t, "both replicas of service b respond", func() bool { _, body := e.Get("k1"); return body == "i-c" })
	next := edited(f, "op/config", `"version":2`, `"version":3`)
	f.Store.Restore(restored, append([]gooseplatformtest.Write{gooseplatformtest.PutEntry("op/config", next)}, otherWrites()...)...)
	within(t, convergence, "the next version is in force", func() bool {
		return e.Metric("gooseberryhold_routing_version") == "gooseberryhold_routing_version 3"
	})
	within(t, convergence, "the replica that is not written again is removed", func() bool {
		return e.Metric("gooseberryhold_replicas") == "gooseberryhold_replicas 2"
	})
}

// otherWrites returns writes by which the restored store passes the revision that instances know.
func otherWrites() []gooseplatformtest.Write {
	var writes []gooseplatformtest.Write
	for n := range 60 {
		writes = append(writes, gooseplatformtest.PutEntry(fmt.Sprint("other/", n), ""))
	}
	return writes
}

// Guards against an older routing that is in force again after a rollback, and against the next
// version being ignored.
func TestRollbackKeepsRouting(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	f.AddReplica("i-b", "b")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "service a responds", func() bool { _, body := e.Get("k1"); return body == "i-a" })
	restored := f.Store.Copy()
	f.WriteRouting(2, "b")
	goosehosttest.Eventually(t, "service b responds", func() bool { _, body := e.Get("k1"); return body == "i-b" })
	f.Store.Restore(restored)
	for start := time.Now(); time.Since(start) < convergence; time.Sleep(10 * time.Millisecond) {
		if _, body := e.Get("k1"); body != "i-b" {
			t.Fatalf("got response %q after the rollback, want that of i-b", body)
		}
	}
	f.WriteRouting(3, "a")
	within(t, convergence, "the next version is in force", func() bool { _, body := e.Get("k1"); return body == "i-a" })
}

// Guards against an instance that stays unregistered: the store may assign the id of its lease
// again, so that its renewals succeed.
func TestRollbackRenewsRegistration(t *testing.T) {
	t.Parallel()
	tests := map[string][]gooseplatformtest.Write{
		"lease lost":                 nil,
		"id of lease assigned again": {gooseplatformtest.GrantLeases(10)},
	}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := goosehosttest.New(t)
			f.WriteRouting(1, "a")
			restored := f.Store.Copy()
			for n := range 2 {
				e := f.StartInstance(fmt.Sprint("edge-", n), io.Discard)
				goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
			}
			registered := func() bool { return len(f.Store.Keys("gooseberryhold/instances/")) == 2 }
			goosehosttest.Eventually(t, "both are registered", registered)
			time.Sleep(rewriteDelay)
			f.Store.Restore(restored, writes...)
			within(t, 2*time.Second, "both are registered again", registered)
		})
	}
}

// Guards against a request that crashes replicas and runs again because the copy has no record of
// it, and against a record that is not written again.
func TestRollbackKeepsQuarantine(t *testing.T) {
	t.Parallel()
	s := newCrashFleet(t, 6, 2)
	restored := s.Store.Copy()
	const records = "gooseberryhold/crashes/"
	for n := 0; s.arrivals.Load() < 2; n++ {
		s.entries[n%2].Post("/x/1", fmt.Sprint("c", n), crashBody)
		time.Sleep(crashPause)
	}
	s.waitForCrashes()
	goosehosttest.Eventually(t, "the record is stored", func() bool { return len(s.Store.Keys(records)) == 1 })
	time.Sleep(rewriteDelay)
	stored := s.Store.Keys(records)
	arrived := s.arrivals.Load()
	s.Store.Restore(restored, otherWrites()...)
	for n := range 20 {
		if status, body := s.entries[n%2].Post("/x/1", fmt.Sprint("d", n), crashBody); status != http.StatusServiceUnavailable {
			t.Errorf("got status %d, body %q after the rollback, want a refusal", status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if got := s.arrivals.Load(); got != arrived {
		t.Errorf("got %d arrivals at replicas after the rollback, want none", got-arrived)
	}
	within(t, convergence, "the record is written again", func() bool { return slices.Equal(s.Store.Keys(records), stored) })
}

// Guards against an instance without the store that does not learn of the rollback from its peers,
// and against one that does not follow the restored store once it reaches it.
func TestRollbackDuringPartition(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	restored := f.Store.Copy()
	connected, partitioned := f.StartInstance("edge-1", io.Discard), f.StartInstance("edge-2", io.Discard)
	for _, e := range []*goosehosttest.Instance{connected, partitioned} {
		goosehosttest.Eventually(t, "two instances are registered", func() bool {
			return e.IsReady() && e.Metric("gooseberryhold_instances") == "gooseberryhold_instances 2"
		})
	}
	partitioned.SetStoreReachable(false)
	f.Store.Restore(restored)
	const era = "gooseberryhold_store_era"
	within(t, convergence, "the connected instance knows the era", func() bool { return connected.Metric(era) == era+" 1" })
	within(t, convergence, "the partitioned instance knows the era", func() bool { return partitioned.Metric(era) == era+" 1" })
	if _, body := partitioned.Get("k1"); body != "i-a" {
		t.Errorf("got response %q without the store, want that of i-a", body)
	}
	f.WriteRouting(2, "b")
	f.AddReplica("i-b", "b")
	partitioned.SetStoreReachable(true)
	for _, e := range []*goosehosttest.Instance{connected, partitioned} {
		within(t, convergence, "service b responds", func() bool { _, body := e.Get("k1"); return body == "i-b" })
	}
}

// Guards against instances of a large fleet that go on with a relay of the older era, or that use
// a leaving replica again, when half of them reach the store later than the others.
func TestRollbackInLargeFleet(t *testing.T) {
	t.Parallel()
	tests := map[string][]gooseplatformtest.Write{
		"store has older revisions": nil,
		"store passes the revision": otherWrites(),
	}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rollBackLargeFleet(t, writes)
		})
	}
}

func rollBackLargeFleet(t *testing.T, writes []gooseplatformtest.Write) {
	t.Helper()
	const instances = 12
	const key = "servers/i-b"
	f := goosehosttest.New(t)
	f.Relays = true
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	f.AddReplica("i-b", "a")
	var entries []*goosehosttest.Instance
	for n := range instances {
		entries = append(entries, f.StartInstance(fmt.Sprint("edge-", n), io.Discard))
	}
	count := func(line string) (n int) {
		name, _, _ := strings.Cut(line, " ")
		for _, e := range entries {
			if e.Metric(name) == line {
				n++
			}
		}
		return n
	}
	relayed := func() bool {
		return count("gooseberryhold_store_relay 1") == 1 && count("gooseberryhold_store_relay_followed 1") == instances-1
	}
	goosehosttest.Eventually(t, "one relay reads the store for the others", relayed)
	restored := f.Store.Copy()
	f.Store.Put(key, edited(f, key, `"ready"`, `"draining"`, `"seq":1`, `"seq":2`))
	f.WriteRouting(2, "a")
	goosehosttest.Eventually(t, "the changes are in force", func() bool { return count("gooseberryhold_routing_version 2") == instances })
	for _, e := range entries[:instances/2] {
		e.SetStoreReachable(false)
	}
	writes = append([]gooseplatformtest.Write{gooseplatformtest.PutEntry("servers/i-c", edited(f, "servers/i-a", `"a"`, `"b"`))}, writes...)
	f.Store.Restore(restored, writes...)
	for start, connected := time.Now(), false; time.Since(start) < convergence; time.Sleep(20 * time.Millisecond) {
		if !connected && time.Since(start) > rewriteDelay {
			for _, e := range entries {
				e.SetStoreReachable(true)
			}
			connected = true
		}
		for n, e := range entries {
			if _, body := e.Get("k1"); body != "i-a" {
				t.Fatalf("got response %q from instance %d after the rollback, want that of i-a", body, n)
			}
		}
	}
	if got := count("gooseberryhold_store_era 1"); got != instances {
		t.Errorf("got %d instances that know the era, want all", got)
	}
	within(t, convergence, "one relay reads the store for the others again", relayed)
	if got := count("gooseberryhold_replicas 3"); got != instances {
		t.Errorf("got %d instances that know the replica of the restored store, want all", got)
	}
	f.WriteRouting(3, "a")
	within(t, convergence, "the next version is in force", func() bool { return count("gooseberryhold_routing_version 3") == instances })
	for _, e := range entries {
		e.BeginShutdown()
	}
}
