package goosedirectory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// minRetryPause is the pause before the store is read again after a failure. It grows to
	// retryPauseShare of the pause between two reads of events, since each attempt is counted
	// and priced.
	minRetryPause   = 100 * time.Millisecond
	retryPauseShare = 0.5
	// graceMargin is added to the configured grace time, since the outage may have ended
	// slightly later than the first response that this instance received.
	graceMargin = 200 * time.Millisecond
)

// FollowOptions are the dependencies of a Follower; all are required.
type FollowOptions struct {
	Store        goose.Store
	StoreDecoder goose.StoreDecoder
	Directory    *Directory
	// ReregistrationGrace is the time after an outage of the store within which replicas write the
	// entries again whose leases expired during the outage.
	ReregistrationGrace time.Duration
	// WatchPause is the pause that the store's watches make between two reads of events.
	// Instances learn of the same change up to that time apart.
	WatchPause time.Duration
	// PeerStoreReachableFor returns for how long the calls of some peer to the store
	// have succeeded without a failure. Leases cannot have expired because of an
	// outage in that time.
	PeerStoreReachableFor func(now time.Time) time.Duration
	// Relayed returns the newest revision of the store that another instance delivers changes
	// up to, or false if this instance follows none. The store's watches use its changes.
	Relayed func(now time.Time) (revision goose.StoreRevision, ok bool)
	// Era knows the era of the store; the store's responses have passed it.
	Era          goose.EraTracker
	CrashRecords CrashRecords
	Log          *slog.Logger
	Clock        goose.Clock
}

// CrashRecords receives the store's records of requests that crash replicas.
type CrashRecords interface {
	// ApplyChange is called with each change. Changes of other kinds are ignored.
	ApplyChange(c goose.StoreChange)
	// ReplaceAll is called with the complete contents of the store, read at a revision.
	ReplaceAll(all []goose.StoreChange, revision goose.StoreRevision)
}

// Follower keeps a directory up to date with the store.
type Follower struct {
	o FollowOptions

	mu sync.Mutex
	// synced contains the prefixes that were read at least once.
	synced map[string]bool
	// resumable contains the prefixes whose changes after the newest revision that was read
	// are enough to bring them up to date.
	resumable map[string]bool
	// failing contains the prefixes whose last call failed.
	failing map[string]bool
	// stateSince is when the store became unavailable or available again. recovered is set
	// if it has become available again after a failure.
	stateSince time.Time
	recovered  bool
	// cancelWatch contains the cancel function of each running watch, by prefix.
	cancelWatch map[string]context.CancelCauseFunc
	// revision is the newest revision that was read, and lastProgress when a watch last
	// started or the store last returned a revision.
	revision     goose.StoreRevision
	lastProgress time.Time
	// peerRevision is the newest revision that a peer has read. behindSince is since when it
	// has been newer than revision without any progress here, or zero if it is not newer.
	peerRevision goose.StoreRevision
	behindSince  time.Time
	// holdUntil is when the contents of the store count that may be those of an older copy; zero
	// if they count already.
	holdUntil time.Time
	// lastRestart is when the watches were last restarted because of a peer.
	lastRestart time.Time
}

// NewFollower returns a follower. Run starts it.
func NewFollower(o FollowOptions) *Follower {
	return &Follower{
		o: o, synced: map[string]bool{}, resumable: map[string]bool{}, failing: map[string]bool{}, stateSince: o.Clock.Now(), cancelWatch: map[string]context.CancelCauseFunc{},
	}
}

// Synced reports whether all prefixes were read at least once.
func (f *Follower) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.synced) == len(f.o.StoreDecoder.Prefixes())
}

// ReachableFor returns for how long every call to the store has succeeded, or zero if the last
// call failed.
func (f *Follower) ReachableFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachableFor(now)
}

func (f *Follower) reachableFor(now time.Time) time.Duration {
	if len(f.failing) > 0 || len(f.synced) == 0 {
		return 0
	}
	return now.Sub(f.stateSince)
}

// Run follows all prefixes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for _, prefix := range f.o.StoreDecoder.Prefixes() {
		wg.Go(func() { f.follow(ctx, prefix) })
	}
	wg.Go(func() { f.runExpiry(ctx) })
	wg.Wait()
}

func (f *Follower) runExpiry(ctx context.Context) {
	for goose.Sleep(ctx, graceMargin) {
		f.o.Directory.Expire(f.o.Clock.Now())
	}
}

// follow reads the prefix and applies its changes. After each failure it reads the complete
// prefix again, or goes on with the changes that another instance delivers.
func (f *Follower) follow(ctx context.Context, prefix string) {
	pause, changed := minRetryPause, f.o.Era.Subscribe()
	// revision is that up to which the prefix was read, also while reading it fails.
	for revision := (goose.StoreRevision{}); ctx.Err() == nil; {
		var err error
		if !f.mayResume(prefix, revision) {
			var read goose.StoreRevision
			if read, err = f.read(ctx, prefix); err == nil {
				revision, pause = read, minRetryPause
			}
		}
		for err == nil {
			revision, err = f.watch(ctx, prefix, revision, changed)
			if errors.Is(err, errRestart) {
				err = nil
			}
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, goose.ErrCompacted) || errors.Is(err, errEraChanged) || errors.Is(err, errHoldEnded) {
			f.forget(prefix)
			continue
		}
		f.recordResult(prefix, err)
		goose.Sleep(ctx, 3*pause/4+rand.N(pause/2))
		pause = min(2*pause, time.Duration(retryPauseShare*float64(f.o.WatchPause)))
	}
}

// mayResume reports whether a prefix that was read can be kept up to date without the store,
// because another instance delivers the changes. After an outage of the store itself the
// prefix has to be read, since leases have expired.
func (f *Follower) mayResume(prefix string, revision goose.StoreRevision) bool {
	now := f.o.Clock.Now()
	newest, relayed := f.o.Relayed(now)
	peerReachableFor := f.o.PeerStoreReachableFor(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return relayed && newest.Era == revision.Era && f.resumable[prefix] && peerReachableFor > now.Sub(f.stateSince)
}

// forget makes the follower read the complete prefix again.
func (f *Follower) forget(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.resumable, prefix)
}

// recordRelayed ends the failure of a prefix once another instance has delivered all changes
// of the store up to the given revision.
func (f *Follower) recordRelayed(prefix string, revision goose.StoreRevision) {
	f.mu.Lock()
	failing := f.failing[prefix]
	f.mu.Unlock()
	if !failing {
		return
	}
	if newest, ok := f.o.Relayed(f.o.Clock.Now()); ok && newest.Era == revision.Era && !newest.After(revision) {
		f.recordResult(prefix, nil)
	}
}

// recordResult records whether the last call for a prefix succeeded. The first success
// after an outage of the store starts the time in which missing replicas are kept. It counts
// from the return of the store, which peers may have noticed before this instance. If some
// peer could reach the store throughout, only the connection of this instance had failed.
func (f *Follower) recordResult(prefix string, err error) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	failingBefore := len(f.failing)
	if err != nil {
		f.failing[prefix] = true
	} else {
		returnedFor := f.o.PeerStoreReachableFor(now)
		keepFor := f.o.ReregistrationGrace + graceMargin - returnedFor
		if f.failing[prefix] && returnedFor <= now.Sub(f.stateSince) && keepFor > 0 {
			f.o.Directory.KeepMissing(now.Add(keepFor))
		}
		delete(f.failing, prefix)
	}
	failingAfter := len(f.failing)
	age := now.Sub(f.stateSince)
	if (failingBefore == 0) != (failingAfter == 0) {
		f.stateSince, f.recovered = now, failingAfter == 0 && len(f.synced) > 0
	}
	f.mu.Unlock()
	switch {
	case failingBefore == 0 && failingAfter > 0:
		gooseevent.StoreLost.Log(f.o.Log, slog.String("prefix", prefix), slog.Duration("age", age), slog.Any("error", err))
	case failingBefore > 0 && failingAfter == 0:
		gooseevent.StoreBack.Log(f.o.Log, slog.Duration("age", age))
	}
}

// read reads a complete prefix and replaces its contents in the directory.
func (f *Follower) read(ctx context.Context, prefix string) (goose.StoreRevision, error) {
	era := f.o.Era.Current()
	entries, number, err := f.o.Store.List(ctx, prefix, 0)
	if err != nil {
		return goose.StoreRevision{}, err
	}
	if f.o.Era.Current() != era {
		return goose.StoreRevision{}, errEraChanged
	}
	revision := goose.StoreRevision{Era: era, Revision: number}
	f.recordResult(prefix, nil)
	f.beginEra(era)
	changes := make([]goose.StoreChange, 0, len(entries))
	for _, e := range entries {
		changes = append(changes, f.decode(e, false))
	}
	kinds := kindsOfPrefix(prefix, f.o.StoreDecoder)
	f.o.Directory.Replace(kinds, changes, f.o.Clock.Now())
	if slices.Contains(kinds, goose.ChangeCrash) {
		f.o.CrashRecords.ReplaceAll(changes, revision)
	}
	f.logRouting(changes)
	f.mu.Lock()
	f.synced[prefix], f.resumable[prefix] = true, true
	f.mu.Unlock()
	f.recordRevision(revision)
	return revision, nil
}

// recordRevision records that the store has returned a revision.
func (f *Follower) recordRevision(revision goose.StoreRevision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision.After(f.revision) {
		f.revision = revision
	}
	f.lastProgress, f.behindSince = f.o.Clock.Now(), time.Time{}
}

// kindsOfPrefix returns the kinds of changes whose entries are all below the prefix.
func kindsOfPrefix(prefix string, r goose.StoreDecoder) []goose.ChangeKind {
	var kinds []goose.ChangeKind
	for kind, p := range r.KindPrefixes() {
		if p == prefix {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// watch applies the changes after a revision until the watch or the era of the revision ends. It
// returns the revision of the last change.
func (f *Follower) watch(ctx context.Context, prefix string, revision goose.StoreRevision, changed <-chan struct{}) (goose.StoreRevision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancelWatch[prefix], f.lastProgress = cancel, f.o.Clock.Now()
	f.mu.Unlock()
	w, err := f.o.Store.Watch(ctx, prefix, revision.Revision+1)
	if err != nil {
		return revision, err
	}
	defer w.Close()
	ticker := time.NewTicker(f.o.WatchPause)
	defer ticker.Stop()
	holdEnd, stop := f.holdEnd()
	defer stop()
	for f.o.Era.Current() == revision.Era {
		select {
		case <-changed:
		case <-holdEnd:
			return revision, errHoldEnded
		case <-ticker.C:
			f.recordRelayed(prefix, revision)
		case e, ok := <-w.Events():
			if f.o.Era.Current() != revision.Era {
				return revision, errEraChanged
			}
			if !ok && ctx.Err() == nil {
				return revision, w.Err()
			}
			if !ok {
				return revision, context.Cause(ctx)
			}
			revision.Revision = max(revision.Revision, e.Entry.ModRevision)
			f.recordRevision(revision)
			f.apply(e)
		case <-ctx.Done():
			return revision, context.Cause(ctx)
		}
	}
	return revision, errEraChanged
}

func (f *Follower) apply(e goose.WatchEvent) {
	c := f.decode(e.Entry, e.Deleted)
	if f.o.Directory.Apply(c, f.o.Clock.Now()) {
		f.logRouting([]goose.StoreChange{c})
		f.logReplica(c)
	}
	f.o.CrashRecords.ApplyChange(c)
}

// decode decodes an entry and logs a failure. The change of an unreadable entry contains
// no usable replica.
func (f *Follower) decode(e goose.Entry, deleted bool) (c goose.StoreChange) {
	var err error
	gooseevent.Guard(f.o.Log, "entry "+e.Key, func() { c, err = f.o.StoreDecoder.Decode(e, deleted) })
	if err != nil {
		gooseevent.StoreEntryUnreadable.Log(f.o.Log, slog.String("key", e.Key), slog.Int64("revision", e.ModRevision), slog.Any("error", err))
	}
	return c
}

func (f *Follower) logRouting(changes []goose.StoreChange) {
	for _, c := range changes {
		if c.Kind == goose.ChangeRouting && c.Routing != nil {
			gooseevent.RoutingInForce.Log(f.o.Log, slog.Int64("version", c.Routing.Version), slog.Int("routes", len(c.Routing.Routes)))
		}
	}
}

func (f *Follower) logReplica(c goose.StoreChange) {
	switch c.Kind {
	case goose.ChangeReplica:
		gooseevent.ReplicaChanged.Log(f.o.Log, slog.String("replica", string(c.Replica.ID)), slog.Bool("removed", c.Removed),
			slog.String("state", string(c.Replica.State)), slog.Duration("cold", c.Replica.ColdFor))
	case goose.ChangeEvacuation:
		gooseevent.EvacuationChanged.Log(f.o.Log, slog.String("evacuated", string(c.DataCentre)), slog.Bool("ended", c.Removed))
	}
}
