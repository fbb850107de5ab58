package goosequarantine

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosebroadcast"
)

// members is a fleet of the instances a, b and c, as one of them sees it.
type members struct{ self goose.InstanceID }

func (m members) Self() goose.Member { return goose.Member{Instance: m.self, Address: string(m.self)} }

func (members) Members() []goose.Member {
	var all []goose.Member
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, goose.Member{Instance: goose.InstanceID(name), Address: name, Live: true})
	}
	return all
}

func (members) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

// Guards against instances without a platform's store that each need crashes of their own
// before they know a part, and against an instance that knows nothing after a restart.
func TestRecordsReachMembers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// silent are the instances that receive no calls during the crashes.
		silent map[string]bool
		// restarted is an instance that starts again after the crashes.
		restarted string
	}{
		"all reply":               {},
		"one is silent meanwhile": {silent: map[string]bool{"c": true}},
		"one restarts":            {restarted: "b"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				silent := tc.silent
				network := goosepeertest.New(func(c goosepeertest.Call) goosepeertest.Fault {
					mu.Lock()
					defer mu.Unlock()
					if silent[c.To] {
						return goosepeertest.FaultSilent
					}
					return goosepeertest.FaultNone
				})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				// join adds an instance and returns its table and what runs it. All handlers have to
				// be registered before the first instance runs.
				join := func(name string) (*Table, func()) {
					table := New(slog.New(slog.DiscardHandler))
					link := network.Join(name)
					r := NewReplicator(table, goose.SystemClock{}, members{self: goose.InstanceID(name)}, link)
					r.Register(link)
					return table, func() { running.Go(func() { r.Run(ctx) }) }
				}
				all := map[string]*Table{}
				var starts []func()
				for _, m := range (members{}).Members() {
					table, start := join(m.Address)
					all[m.Address] = table
					starts = append(starts, start)
				}
				for _, start := range starts {
					start()
				}
				time.Sleep(5 * time.Second)
				for n, at := range []string{"a", "b", "a"} {
					a := all[at].Observe(goose.CrashSubjects{Parts: []goose.Fingerprint{deadly}}, time.Now())
					all[at].RecordLost(a, numberedCrash(n), goose.EvidenceCrash, time.Now())
					synctest.Wait()
				}
				if tc.restarted != "" {
					synctest.Wait()
					table, start := join(tc.restarted)
					all[tc.restarted] = table
					start()
				}
				mu.Lock()
				silent = nil
				mu.Unlock()
				if tc.silent != nil {
					time.Sleep(goosebroadcast.PullInterval + goosebroadcast.CallTimeout)
				}
				synctest.Wait()
				request := goose.CrashSubjects{Parts: []goose.Fingerprint{shared, deadly}}
				for name, table := range all {
					if _, held := table.Quarantined(request, time.Now()); !held && len(tc.silent) == 0 {
						t.Errorf("got the part allowed at %s after three crashes", name)
					}
				}
				if tc.silent != nil {
					// A silent instance pulls the records; the delay lets a trial be due at one.
					if got := all["c"].weight(deadly, time.Now()); got < partLimit {
						t.Errorf("got weight %d at the silent instance, want %d", got, partLimit)
					}
				}
				cancel()
				running.Wait()
			})
		})
	}
}
