package goosedirectory

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// removalMemory is how long a removed replica is remembered. The store is restored from copies
// that are some seconds old, and the lease of an entry that is not renewed ends sooner, too.
const removalMemory = 10 * time.Minute

// removal is a replica that was removed.
type removal struct {
	replica goose.Replica
	era     goose.StoreEra
	at      time.Time
}

// BeginEra begins an era of the store, which was restored from an older copy. Until the given time
// lists of the store remove nothing, and do not replace what is newer here: replicas and operators
// write their entries again in that time.
func (d *Directory) BeginEra(era goose.StoreEra, holdUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.era, d.holdUntil = era, holdUntil
	if holdUntil.After(d.keepMissingUntil) {
		d.keepMissingUntil = holdUntil
	}
}

// holds reports whether the contents of the store may be those of an older copy.
func (d *Directory) holds(now time.Time) bool { return now.Before(d.holdUntil) }

// isStale reports whether a change that a list of the store contains is older than what is known
// from an earlier era.
func (d *Directory) isStale(c goose.StoreChange, now time.Time) bool {
	switch c.Kind {
	case goose.ChangeReplica:
		return !c.Removed && d.isStaleReplica(c.Replica, now)
	case goose.ChangeEvacuation:
		evacuated, known := d.evacuated[c.DataCentre]
		return d.holds(now) && known && !evacuated
	}
	return false
}

// isStaleReplica compares a listed entry with what was known before the era began. An entry that
// equals that of a removed replica was written before its removal. Without start times the entries
// may be those of two processes, so their order counts only while the copy may be read.
func (d *Directory) isStaleReplica(listed goose.Replica, now time.Time) bool {
	if listed.StartedUnixMS == 0 && !d.holds(now) {
		return false
	}
	if e, ok := d.entries[listed.ID]; ok {
		return e.era < d.era && compareWrites(listed, e.replica.Replica) < 0
	}
	r, ok := d.removed[listed.ID]
	return ok && r.era < d.era && compareWrites(listed, r.replica) <= 0
}

// compareWrites compares the order in which a replica has written two entries.
func compareWrites(a, b goose.Replica) int {
	return cmp.Or(cmp.Compare(a.StartedUnixMS, b.StartedUnixMS), cmp.Compare(a.Sequence, b.Sequence))
}

// endMissingEvacuations ends the evacuations that a list of the store does not contain.
func (d *Directory) endMissingEvacuations(listed []goose.StoreChange) {
	for dc := range d.evacuated {
		d.evacuated[dc] = false
	}
	for _, c := range listed {
		if c.Kind == goose.ChangeEvacuation {
			d.evacuated[c.DataCentre] = !c.Removed
		}
	}
}

// drop removes a replica and remembers it.
func (d *Directory) drop(id goose.ReplicaID, now time.Time) {
	if e, ok := d.entries[id]; ok {
		d.removed[id] = removal{replica: e.replica.Replica, era: d.era, at: now}
		delete(d.entries, id)
	}
}

func (d *Directory) forgetRemovals(now time.Time) {
	for id, r := range d.removed {
		if now.Sub(r.at) > removalMemory {
			delete(d.removed, id)
		}
	}
}

// maxReadDelay bounds the random delay before the store is read again at the end of a grace time,
// so that the instances do not read it at once.
const maxReadDelay = 500 * time.Millisecond

// Reasons to read the store completely again.
var (
	errEraChanged = errors.New("the store was restored from a copy")
	errHoldEnded  = errors.New("the contents of the restored store count now")
)

// beginEra prepares for the first list of a new era. A process that has read nothing before has
// nothing to keep.
func (f *Follower) beginEra(era goose.StoreEra) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holdUntil.IsZero() && !now.Before(f.holdUntil) {
		f.holdUntil = time.Time{}
	}
	if era == f.revision.Era || len(f.synced) == 0 {
		return
	}
	f.revision, f.peerRevision, f.behindSince = goose.StoreRevision{Era: era}, goose.StoreRevision{}, time.Time{}
	f.resumable = map[string]bool{}
	f.holdUntil = now.Add(f.o.ReregistrationGrace + graceMargin)
	f.o.Directory.BeginEra(era, f.holdUntil)
}

// holdEnd returns a channel that gets a value when the contents of the restored store count, and
// a function that releases its timer.
func (f *Follower) holdEnd() (<-chan time.Time, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdUntil.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(f.holdUntil.Sub(f.o.Clock.Now()) + rand.N(maxReadDelay))
	return t.C, func() { t.Stop() }
}
