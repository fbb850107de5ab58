package goosedirectory

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
)

// testDecoder decodes the keys "r/<id>" as replicas. The value "bad" is unreadable.
type testDecoder struct{}

func (testDecoder) Prefixes() []string { return []string{"r/"} }

func (testDecoder) KindPrefixes() map[goose.ChangeKind]string {
	return map[goose.ChangeKind]string{goose.ChangeReplica: "r/"}
}

func (testDecoder) Decode(e goose.Entry, deleted bool) (goose.StoreChange, error) {
	id := strings.TrimPrefix(e.Key, "r/")
	if deleted {
		return removedChange(id), nil
	}
	if string(e.Value) == "bad" {
		return removedChange(id), errors.New("unreadable")
	}
	return replicaChange(id, 1), nil
}

// noCrashRecords ignores all crash records.
type noCrashRecords struct{}

func (noCrashRecords) ApplyChange(goose.StoreChange)                       {}
func (noCrashRecords) ReplaceAll([]goose.StoreChange, goose.StoreRevision) {}

const testWatchPause = 800 * time.Millisecond

// startDirectory starts a follower of a new store and returns the store and the directory.
func startDirectory(t *testing.T, peerReachableFor time.Duration) (*goosestoretest.Store, *Directory) {
	t.Helper()
	store, d, _ := startFollower(t, peerReachableFor)
	return store, d
}

// startFollower is like startDirectory and also returns the follower.
func startFollower(t *testing.T, peerReachableFor time.Duration) (*goosestoretest.Store, *Directory, *Follower) {
	t.Helper()
	store := goosestoretest.New()
	d, f := runFollower(t, FollowOptions{
		Store: store, PeerStoreReachableFor: func(time.Time) time.Duration { return peerReachableFor },
		Relayed: func(time.Time) (goose.StoreRevision, bool) { return goose.StoreRevision{}, false },
	})
	return store, d, f
}

// runFollower runs a follower with the given options until the test ends.
func runFollower(t *testing.T, o FollowOptions) (*Directory, *Follower) {
	t.Helper()
	d := New()
	o.StoreDecoder, o.Directory, o.ReregistrationGrace, o.WatchPause = testDecoder{}, d, 2*time.Second, testWatchPause
	if o.Era == nil {
		o.Era = gooseera.New(slog.New(slog.DiscardHandler))
	}
	o.CrashRecords, o.Log, o.Clock = noCrashRecords{}, slog.New(slog.DiscardHandler), goose.SystemClock{}
	f := NewFollower(o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return d, f
}

// unlistedStore is a store that this instance cannot read while a relay delivers its changes.
type unlistedStore struct {
	*goosestoretest.Store
	unreadable atomic.Bool
	lists      atomic.Int64
	// watchedFrom is the first revision of the latest watch.
	watchedFrom atomic.Int64
}

// Watch implements goose.Store.
func (s *unlistedStore) Watch(ctx context.Context, prefix string, fromRevision int64) (goose.Watcher, error) {
	s.watchedFrom.Store(fromRevision)
	return s.Store.Watch(ctx, prefix, fromRevision)
}

// List implements goose.Store.
func (s *unlistedStore) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	s.lists.Add(1)
	if s.unreadable.Load() {
		return nil, 0, goose.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, limit)
}

// Guards against an instance that has lost the store itself and goes on reading it in vain,
// without the changes that a relay of its data centre delivers to all others.
func TestRelayTakesPlaceOfLostStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := &unlistedStore{Store: goosestoretest.New()}
		var relayed atomic.Int64
		d, f := runFollower(t, FollowOptions{
			Store: store, PeerStoreReachableFor: func(time.Time) time.Duration { return time.Hour },
			Relayed: func(time.Time) (goose.StoreRevision, bool) {
				return goose.StoreRevision{Revision: relayed.Load()}, relayed.Load() > 0
			},
		})
		commit(t, store.Store, goose.Put("r/a", nil))
		time.Sleep(settleTime)
		store.unreadable.Store(true)
		store.SetDown(true)
		time.Sleep(settleTime)
		if got := f.ReachableFor(time.Now()); got != 0 {
			t.Errorf("got the store reachable for %s without it and without a relay, want not", got)
		}
		store.SetDown(false)
		relayed.Store(1)
		time.Sleep(settleTime)
		before := store.lists.Load()
		commit(t, store.Store, goose.Put("r/b", nil))
		relayed.Store(2)
		time.Sleep(settleTime)
		if got := activeIDs(d); len(got) != 2 {
			t.Errorf("got replicas %v, want a and b by the relay", got)
		}
		if got := store.lists.Load() - before; got != 0 {
			t.Errorf("got %d reads of the store while a relay delivers its changes, want none", got)
		}
		if got := store.watchedFrom.Load(); got != 2 {
			t.Errorf("got a watch from revision %d, want it to go on after the one that was read", got)
		}
		if got := f.ReachableFor(time.Now()); got == 0 {
			t.Error("got the store unreachable although a relay delivers all of its changes")
		}
		relayed.Store(1 << 40)
		store.SetDown(true)
		time.Sleep(settleTime)
		if got := f.ReachableFor(time.Now()); got != 0 {
			t.Errorf("got the store reachable for %s while the relay knows of changes that are missing here", got)
		}
	})
}

func commit(t *testing.T, s *goosestoretest.Store, ops ...goose.Op) {
	t.Helper()
	if _, err := s.Commit(context.Background(), goose.Txn{Then: ops}); err != nil {
		t.Fatal(err)
	}
}

// settleTime is far above every pause of a follower.
const settleTime = 10 * time.Second

// Guards against replicas that are removed when a relay is the first to reach the store after an
// outage: their leases expired during the outage, and they write their entries again.
func TestRelayAfterOutageOfStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := &unlistedStore{Store: goosestoretest.New()}
		var relayed atomic.Int64
		d, _ := runFollower(t, FollowOptions{
			Store: store, PeerStoreReachableFor: func(time.Time) time.Duration { return 500 * time.Millisecond },
			Relayed: func(time.Time) (goose.StoreRevision, bool) {
				return goose.StoreRevision{Revision: relayed.Load()}, relayed.Load() > 0
			},
		})
		commit(t, store.Store, goose.Put("r/a", nil))
		time.Sleep(settleTime)
		store.SetDown(true)
		time.Sleep(settleTime)
		store.SetDown(false)
		commit(t, store.Store, goose.Delete("r/a"))
		relayed.Store(1)
		time.Sleep(time.Second)
		if got := activeIDs(d); len(got) != 1 {
			t.Errorf("got replicas %v just after the outage, want the one whose lease expired in it", got)
		}
		time.Sleep(settleTime)
		if got := activeIDs(d); len(got) != 0 {
			t.Errorf("got replicas %v long after the outage, want none", got)
		}
	})
}

// Guards against requests to replicas that have left: an instance that was cut off from the store when
// it returned keeps lapsed entries no longer than the others, which noticed the return before.
func TestGraceCountsFromReturnOfStore(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		peerReachableFor time.Duration
		want             int
	}{
		"no peer":                      {0, 1},
		"a peer noticed it just now":   {200 * time.Millisecond, 1},
		"a peer noticed it long ago":   {4 * time.Second, 0},
		"a peer has reached it always": {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store, d := startDirectory(t, tc.peerReachableFor)
				commit(t, store, goose.Put("r/a", nil))
				time.Sleep(settleTime)
				store.SetDown(true)
				time.Sleep(settleTime)
				store.SetDown(false)
				commit(t, store, goose.Delete("r/a"))
				time.Sleep(time.Second)
				if got := activeIDs(d); len(got) != tc.want {
					t.Errorf("got replicas %v just after the outage, want %d", got, tc.want)
				}
			})
		})
	}
}

// Guards against changes that are not applied, and against an unreadable entry that hides
// others.
func TestFollow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store, d := startDirectory(t, 0)
		commit(t, store, goose.Put("r/a", nil), goose.Put("r/b", []byte("bad")))
		time.Sleep(settleTime)
		if got := activeIDs(d); len(got) != 1 || got[0] != "a" {
			t.Errorf("got replicas %v, want a", got)
		}
		commit(t, store, goose.Put("r/c", nil), goose.Delete("r/a"))
		time.Sleep(settleTime)
		if got := activeIDs(d); len(got) != 1 || got[0] != "c" {
			t.Errorf("got replicas %v, want c", got)
		}
	})
}

// Guards against removing replicas immediately after an outage of the store, during which
// their leases expired, and against keeping them after an outage of this instance only.
func TestFollowOutage(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		peerReachableFor time.Duration
		// wait is the time after the store is available again; the follower has read it by
		// then.
		wait time.Duration
		want int
	}{
		"store outage, just over":                   {wait: time.Second, want: 1},
		"store outage, long over":                   {wait: settleTime, want: 0},
		"instance disconnected, peers still served": {peerReachableFor: time.Hour, wait: time.Second, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store, d := startDirectory(t, tc.peerReachableFor)
				commit(t, store, goose.Put("r/a", nil))
				time.Sleep(settleTime)
				store.SetDown(true)
				time.Sleep(settleTime)
				if got := activeIDs(d); len(got) != 1 {
					t.Fatalf("got replicas %v while the store is unavailable, want the last ones", got)
				}
				store.SetDown(false)
				commit(t, store, goose.Delete("r/a"))
				time.Sleep(tc.wait)
				if got := activeIDs(d); len(got) != tc.want {
					t.Errorf("got replicas %v, want %d", got, tc.want)
				}
			})
		})
	}
}

// Guards against a watch that never gets a response because of an outage and so hides
// later changes: it has to be restarted well within 3 s of a sign of the outage.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// sign is called every 500 ms after the watch has stalled.
		sign func(f *Follower, revision int64, recoveredFor time.Duration)
		want int
	}{
		"no sign":                {sign: func(*Follower, int64, time.Duration) {}, want: 1},
		"a lease is not renewed": {sign: func(f *Follower, _ int64, _ time.Duration) { f.RestartWatches(goose.ErrOutcomeUnknown) }, want: 2},
		"a peer knows a newer revision": {sign: func(f *Follower, r int64, _ time.Duration) {
			f.ObservePeer(StoreView{ReachableFor: time.Hour, Revision: r})
		}, want: 2},
		"one of two peers knows a newer revision": {sign: func(f *Follower, r int64, _ time.Duration) {
			f.ObservePeer(StoreView{ReachableFor: time.Hour, Revision: r})
			f.ObservePeer(StoreView{ReachableFor: time.Hour, Revision: r - 1})
		}, want: 2},
		"a peer saw the outage": {sign: func(f *Follower, _ int64, recoveredFor time.Duration) {
			f.ObservePeer(StoreView{ReachableFor: recoveredFor, RecoveredFor: recoveredFor})
		}, want: 2},
		"a peer saw an earlier outage": {sign: func(f *Follower, _ int64, _ time.Duration) {
			f.ObservePeer(StoreView{ReachableFor: time.Hour, RecoveredFor: time.Hour})
		}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store, d, f := startFollower(t, time.Hour)
				commit(t, store, goose.Put("r/a", nil))
				time.Sleep(settleTime)
				store.StallWatches()
				time.Sleep(time.Second)
				commit(t, store, goose.Put("r/b", nil))
				start := time.Now()
				for time.Since(start) < 2500*time.Millisecond {
					tc.sign(f, 2, time.Since(start)+500*time.Millisecond)
					time.Sleep(500 * time.Millisecond)
				}
				if got := activeIDs(d); len(got) != tc.want {
					t.Errorf("got replicas %v, want %d", got, tc.want)
				}
			})
		})
	}
}

// Guards against peers that make each other restart watches endlessly, since each restart
// costs a call to the store.
func TestWatchRestartsAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store, _, f := startFollower(t, time.Hour)
		commit(t, store, goose.Put("r/a", nil))
		time.Sleep(settleTime)
		before := store.CallCount("watch")
		for range 100 {
			f.ObservePeer(StoreView{ReachableFor: time.Hour, Revision: 1 << 40})
			time.Sleep(100 * time.Millisecond)
		}
		if got := store.CallCount("watch") - before; got < 2 || got > 4 {
			t.Errorf("got %d new watches in 10 s, want 2 to 4", got)
		}
	})
}
