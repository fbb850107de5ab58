package gooserelay

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
)

func newTracker() *gooseera.Tracker { return gooseera.New(slog.New(slog.DiscardHandler)) }

// Guards against a relay that vouches for a revision of another era, and against one of an older
// build that is not followed although the store has never been restored.
func TestEraOfMessages(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		known    goose.StoreEra
		messages []message
		want     goose.StoreRevision
		followed bool
	}{
		"never restored":  {messages: []message{{From: "b", Revision: 9}}, want: goose.StoreRevision{Revision: 9}, followed: true},
		"same era":        {known: 1, messages: []message{{From: "b", Revision: 9, Era: 1}}, want: goose.StoreRevision{Era: 1, Revision: 9}, followed: true},
		"older era":       {known: 1, messages: []message{{From: "b", Revision: 9}}, want: goose.StoreRevision{Era: 1}},
		"newer era":       {messages: []message{{From: "b", Revision: 9}, {From: "b", Revision: 4, Era: 1}}, want: goose.StoreRevision{Era: 1, Revision: 4}, followed: true},
		"older one later": {messages: []message{{From: "b", Revision: 4, Era: 1}, {From: "b", Revision: 9}}, want: goose.StoreRevision{Era: 1, Revision: 4}, followed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := newTracker()
			tracker.ObservePeer(tc.known)
			r := New(Options{Instance: "a", ChangeBound: changeBound, Era: tracker, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{}})
			for _, m := range tc.messages {
				r.handle(m, time.Now())
			}
			if got, ok := r.Relayed(time.Now()); got != tc.want || ok != tc.followed {
				t.Errorf("got %+v, followed: %t, want %+v, %t", got, ok, tc.want, tc.followed)
			}
		})
	}
}

// Guards against a difference that is applied to the value which a key had at the same revision
// of an older era, and against a relay that goes on in a new era without having read the store.
func TestEraDropsState(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	r := New(Options{
		Instance: "a", Instances: func(time.Time) int { return minInstances }, ChangeBound: changeBound,
		Era: tracker, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
	})
	value := goose.WatchEvent{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(3)), ModRevision: 3}}
	r.keepBases([]goose.WatchEvent{value}, 0)
	r.recordPoll(update{until: 3}, time.Now().Add(changeBound))
	if !r.Leading() {
		t.Fatal("got no relay in a large fleet")
	}
	_, deltas, err := bases{}.with([]goose.WatchEvent{value}).split([]goose.WatchEvent{
		{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(4)), ModRevision: 4}},
	})
	if err != nil || len(deltas) != 1 {
		t.Fatalf("got %d differences, error %v, want one", len(deltas), err)
	}
	tracker.ObservePeer(1)
	for _, era := range []goose.StoreEra{0, 1} {
		if _, err := r.expand(update{era: era, after: 3, until: 4, deltas: deltas}); !errors.Is(err, errNoBase) {
			t.Errorf("got error %v for an update of era %d, want that the earlier value is not known", err, era)
		}
	}
	r.recordPoll(update{until: 9}, time.Now())
	if r.Leading() || len(r.dueMessages(time.Now())) > 0 {
		t.Error("got a relay with a poll of an older era")
	}
}

// Guards against a watch that delivers changes of another era than that of its revision.
func TestWatchEndsWithEra(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store, tracker := goosestoretest.New(), newTracker()
		r := New(Options{
			Instance: "a", Store: store, Instances: func(time.Time) int { return 1 }, ChangeBound: changeBound, WatchPause: time.Second,
			MaxPollWait: maxPollWait, Era: tracker, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*changeBound)
		defer cancel()
		w, err := r.Watch(ctx, "", 1)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(changeBound)
		tracker.ObservePeer(1)
		if _, err := store.Commit(context.Background(), goose.Txn{Then: []goose.Op{goose.Put("servers/i-1", nil)}}); err != nil {
			t.Fatal(err)
		}
		for e := range w.Events() {
			t.Errorf("got change of %s at revision %d, want none", e.Entry.Key, e.Entry.ModRevision)
		}
		if !errors.Is(w.Err(), goose.ErrCompacted) {
			t.Errorf("got error %v, want that the watch starts again from a read", w.Err())
		}
	})
}
