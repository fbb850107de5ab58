package goosedirectory

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
)

// writtenReplica returns the change of a replica that it wrote as the given one of its process.
func writtenReplica(started, sequence int64, state goose.AdminState) goose.StoreChange {
	c := replicaChange("r", started)
	c.Replica.Sequence, c.Replica.State = sequence, state
	return c
}

// Guards against an older copy of the store that brings back a replica or a data centre which is
// out of use, and against entries of the new era that are taken for older ones.
func TestOlderCopy(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	leaving, active := goose.StateLeaving, goose.StateActive
	removed := goose.StoreChange{Kind: goose.ChangeReplica, Removed: true, Replica: goose.Replica{ID: "r"}}
	evacuated := goose.StoreChange{Kind: goose.ChangeEvacuation, DataCentre: writtenReplica(1, 1, active).Replica.DataCentre}
	ended := evacuated
	ended.Removed = true
	kinds := []goose.ChangeKind{goose.ChangeReplica, goose.ChangeEvacuation}
	tests := map[string]struct {
		before, listed, followed []goose.StoreChange
		// during and after are whether the replica is in use during the grace and after it.
		during, after bool
	}{
		"leaving":                     {before: []goose.StoreChange{writtenReplica(7, 5, leaving)}, listed: []goose.StoreChange{writtenReplica(7, 4, active)}},
		"leaving, written again":      {before: []goose.StoreChange{writtenReplica(7, 5, leaving)}, listed: []goose.StoreChange{writtenReplica(7, 6, active)}, during: true, after: true},
		"leaving, next process":       {before: []goose.StoreChange{writtenReplica(7, 5, leaving)}, listed: []goose.StoreChange{writtenReplica(8, 1, active)}, during: true, after: true},
		"removed":                     {before: []goose.StoreChange{writtenReplica(7, 5, active), removed}, listed: []goose.StoreChange{writtenReplica(7, 5, active)}},
		"removed, changed afterwards": {before: []goose.StoreChange{writtenReplica(7, 5, active), removed}, followed: []goose.StoreChange{writtenReplica(7, 5, active)}, during: true, after: true},
		"not in the copy":             {before: []goose.StoreChange{writtenReplica(7, 5, active)}, during: true},
		"without start, kept":         {before: []goose.StoreChange{writtenReplica(0, 5, leaving)}, listed: []goose.StoreChange{writtenReplica(0, 1, active)}, after: true},
		"evacuated":                   {before: []goose.StoreChange{writtenReplica(7, 5, active), evacuated}, listed: []goose.StoreChange{writtenReplica(7, 5, active)}, after: true},
		"evacuation had ended":        {before: []goose.StoreChange{writtenReplica(7, 5, active), evacuated, ended}, listed: []goose.StoreChange{writtenReplica(7, 5, active), evacuated}, during: true},
		"evacuation is new":           {before: []goose.StoreChange{writtenReplica(7, 5, active)}, listed: []goose.StoreChange{writtenReplica(7, 5, active), evacuated}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, now := New(), time.Now()
			for _, c := range tc.before {
				d.Apply(c, now)
			}
			d.BeginEra(1, now.Add(grace))
			d.Replace(kinds, tc.listed, now)
			for _, c := range tc.followed {
				d.Apply(c, now)
			}
			if got := len(activeIDs(d)) > 0; got != tc.during {
				t.Errorf("got the replica in use during the grace: %t, want %t", got, tc.during)
			}
			now = now.Add(grace)
			d.Replace(kinds, append(tc.listed, tc.followed...), now)
			d.Expire(now)
			if got := len(activeIDs(d)) > 0; got != tc.after {
				t.Errorf("got the replica in use after the grace: %t, want %t", got, tc.after)
			}
		})
	}
}

// Guards against watches that restart again and again because a peer has not noticed a rollback or
// reports an era that does not exist,
// and against an instance that does not read the store when a peer has noticed one.
func TestErasOfPeers(t *testing.T) {
	t.Parallel()
	const wrongEra = 7
	tests := map[string]struct {
		peer      StoreView
		wantLists int
	}{
		"peer of an older era":        {peer: StoreView{ReachableFor: time.Hour, Revision: 1 << 40}},
		"peer that does not know yet": {peer: StoreView{ReachableFor: time.Hour, Revision: 1, Era: 1}},
		"peer of a wrong era":         {peer: StoreView{ReachableFor: time.Hour, Revision: 1 << 40, Era: wrongEra}},
		"peer of a newer era":         {peer: StoreView{ReachableFor: time.Hour, Era: 2}, wantLists: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				tracker := gooseera.New(slog.New(slog.DiscardHandler))
				tracker.ObservePeer(wrongEra)
				if err := tracker.BeginCall()(1); err != nil {
					t.Fatal(err)
				}
				store := goosestoretest.New()
				_, f := runFollower(t, FollowOptions{
					Store: store, Era: tracker, PeerStoreReachableFor: func(time.Time) time.Duration { return time.Hour },
					Relayed: func(time.Time) (goose.StoreRevision, bool) { return goose.StoreRevision{}, false },
				})
				commit(t, store, goose.Put("r/a", nil))
				time.Sleep(settleTime)
				lists, watches := store.CallCount("list"), store.CallCount("watch")
				for range 100 {
					f.ObservePeer(tc.peer)
					time.Sleep(100 * time.Millisecond)
				}
				if got := store.CallCount("list") - lists; got != tc.wantLists {
					t.Errorf("got %d complete reads, want %d: the first one of the era and that after the grace", got, tc.wantLists)
				}
				if got := store.CallCount("watch") - watches; got != tc.wantLists {
					t.Errorf("got %d new watches, want %d", got, tc.wantLists)
				}
				if got := f.View(time.Now()); got.Era != tracker.Current() || got.Revision != 1 {
					t.Errorf("got view %+v, want the newest era and the revision in it", got)
				}
			})
		})
	}
}
