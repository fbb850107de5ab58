package goosequarantine

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// keyPrefix is the key prefix of the records in the store. The fingerprint follows it.
const keyPrefix = "gooseberryhold/crashes/"

const (
	// saveInterval is the interval of the rounds in which records are saved, and
	// maxSavesPerRound is the maximum number of calls to the store in one round.
	saveInterval     = 500 * time.Millisecond
	maxSavesPerRound = 2
	// retryDelay is the pause after a failed call.
	retryDelay = time.Second
	// cleanupDelay is the lower bound of the random time for which an expired record, which no
	// instance counts any more, stays in the store. The upper bound is twice as long.
	cleanupDelay = time.Minute
)

// storedRecord is the value of a record's key.
type storedRecord struct {
	goose.CrashRecord
	// ChangedMS is the Unix time of the last change in milliseconds.
	ChangedMS int64 `json:"changed-ms"`
}

// StoreDecoder decodes crash records and leaves all other entries to the decoder that it
// wraps.
type StoreDecoder struct {
	goose.StoreDecoder
	clock goose.Clock
}

// NewStoreDecoder adds the crash records to another decoder.
func NewStoreDecoder(wrapped goose.StoreDecoder, clock goose.Clock) StoreDecoder {
	return StoreDecoder{StoreDecoder: wrapped, clock: clock}
}

// KindPrefixes implements goose.StoreDecoder.
func (d StoreDecoder) KindPrefixes() map[goose.ChangeKind]string {
	kinds := d.StoreDecoder.KindPrefixes()
	kinds[goose.ChangeCrash] = ""
	return kinds
}

// Decode implements goose.StoreDecoder.
func (d StoreDecoder) Decode(e goose.Entry, deleted bool) (goose.StoreChange, error) {
	name, ok := strings.CutPrefix(e.Key, keyPrefix)
	if !ok {
		return d.StoreDecoder.Decode(e, deleted)
	}
	f, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return goose.StoreChange{Kind: goose.ChangeNone}, errors.Wrap(err, "key of a crash record")
	}
	c := goose.StoreChange{Kind: goose.ChangeCrash, Crash: goose.CrashRecord{Fingerprint: goose.Fingerprint(f)}, Revision: e.ModRevision, Removed: deleted}
	if deleted {
		return c, nil
	}
	var s storedRecord
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return goose.StoreChange{Kind: goose.ChangeNone}, errors.Wrapf(err, "crash record %s", name)
	}
	s.Fingerprint = c.Crash.Fingerprint
	c.Crash = s.WithAge(d.clock.Now().Sub(time.UnixMilli(s.ChangedMS)))
	return c, nil
}

// storedState is a record as it is in the store.
type storedState struct {
	record   goose.CrashRecord
	revision int64
	// changedAt is the time of the last change of the record, and deleteAt the time of its
	// deletion from the store, both by the local clock.
	changedAt, deleteAt time.Time
}

// StoreSync synchronises the records of a table with the platform's store. Instances that have
// restarted or that cannot reach their peers read the records from the store.
type StoreSync struct {
	table *Table
	store goose.Store
	era   goose.EraTracker
	log   *slog.Logger
	clock goose.Clock

	mu     sync.Mutex
	stored map[goose.Fingerprint]storedState
	// synced is set once the store has been read, and storedEra is the era in which it was read.
	synced    bool
	storedEra goose.StoreEra
}

// NewStoreSync returns a StoreSync. It does not write to the store until Run is called.
func NewStoreSync(table *Table, store goose.Store, era goose.EraTracker, log *slog.Logger, clock goose.Clock) *StoreSync {
	return &StoreSync{table: table, store: store, era: era, log: log, clock: clock, stored: map[goose.Fingerprint]storedState{}}
}

// ApplyChange applies a change of the store.
func (s *StoreSync) ApplyChange(c goose.StoreChange) {
	if c.Kind != goose.ChangeCrash {
		return
	}
	s.mu.Lock()
	old, known := s.stored[c.Crash.Fingerprint]
	if known && c.Revision <= old.revision {
		s.mu.Unlock()
		return
	}
	if c.Removed {
		delete(s.stored, c.Crash.Fingerprint)
	} else {
		s.recordStored(c)
	}
	s.mu.Unlock()
	switch {
	case !c.Removed:
		s.applyToTable([]goose.CrashRecord{c.Crash}, nil)
	case known:
		s.applyToTable(nil, []storedState{old})
	}
}

// ReplaceAll applies a complete list of the store, read at a revision. Changes that were
// written while the pages of the list were read may be newer than the list. Records that are
// missing in the first list of an era were lost with the older contents of the store: they are
// written again.
func (s *StoreSync) ReplaceAll(all []goose.StoreChange, revision goose.StoreRevision) {
	s.mu.Lock()
	before := s.stored
	if s.synced && revision.Era != s.storedEra {
		before = nil
		s.table.requeueSaves(s.clock.Now())
	}
	s.stored, s.synced, s.storedEra = map[goose.Fingerprint]storedState{}, true, revision.Era
	var listed []goose.CrashRecord
	for _, c := range all {
		if c.Kind == goose.ChangeCrash {
			s.recordStored(c)
			listed = append(listed, c.Crash)
		}
	}
	var deleted []storedState
	for f, old := range before {
		switch listedRevision := s.stored[f].revision; {
		case old.revision > max(revision.Revision, listedRevision):
			// The record was written after the list was read.
			s.stored[f] = old
		case listedRevision == 0:
			deleted = append(deleted, old)
		}
	}
	s.mu.Unlock()
	s.applyToTable(listed, deleted)
}

// recordStored keeps the state of a record in the store. The lock must be held.
func (s *StoreSync) recordStored(c goose.StoreChange) {
	changedAt := s.clock.Now().Add(-c.Crash.Age)
	s.stored[c.Crash.Fingerprint] = storedState{
		record: c.Crash, revision: c.Revision, changedAt: changedAt, deleteAt: changedAt.Add(Lifetime + cleanupDelay + rand.N(cleanupDelay)),
	}
}

// applyToTable updates the table with stored and deleted records. If a record was deleted
// before its lifetime ended, for example by an operator, its request may run again.
func (s *StoreSync) applyToTable(stored []goose.CrashRecord, deleted []storedState) {
	now := s.clock.Now()
	s.table.Merge(stored, SourceStore, now)
	for _, old := range deleted {
		if now.Sub(old.changedAt) < Lifetime {
			s.table.Release(old.record.Fingerprint, now)
		}
	}
}

// Run saves records until ctx ends.
func (s *StoreSync) Run(ctx context.Context) {
	pause := saveInterval
	for goose.Sleep(ctx, pause) {
		pause = saveInterval
		if err := s.save(ctx); err != nil && ctx.Err() == nil {
			gooseevent.CrashRecordNotSaved.Log(s.log, slog.Any("error", err))
			pause = retryDelay
		}
	}
}

// save writes the records that the store lacks and deletes those that have expired. If
// another instance has changed a record in the meantime, the write has no effect and the
// watch delivers the change. A write during which an era begins may be lost.
func (s *StoreSync) save(ctx context.Context) error {
	now, era := s.clock.Now(), s.era.Current()
	for _, w := range s.dueWrites(now, era) {
		result, err := s.store.Commit(ctx, w.txn(now))
		if err != nil {
			return err
		}
		if s.era.Current() != era {
			return nil
		}
		if result.Succeeded {
			s.recordWrite(w, goose.StoreRevision{Era: era, Revision: result.Revision})
		}
	}
	return nil
}

// storeWrite is one call to the store that writes or deletes a record.
type storeWrite struct {
	entry entry
	// revision is the expected revision of the record in the store; zero if the store does
	// not have the record.
	revision int64
	remove   bool
}

func (w storeWrite) txn(now time.Time) goose.Txn {
	k := key(w.entry.record.Fingerprint)
	op := goose.Delete(k)
	if !w.remove {
		op = goose.Put(k, encode(w.entry, now))
	}
	return goose.Txn{If: []goose.Compare{{Key: k, ModRevision: w.revision}}, Then: []goose.Op{op}}
}

func key(f goose.Fingerprint) string { return keyPrefix + f.String() }

func encode(e entry, now time.Time) []byte {
	value, err := json.Marshal(storedRecord{CrashRecord: e.record, ChangedMS: now.Add(-e.recordAt(now).Age).UnixMilli()})
	if err != nil {
		panic(err)
	}
	return value
}

// dueWrites returns the calls that are due now, at most maxSavesPerRound. Each call becomes
// due again after a while unless it succeeds or the watch delivers another change of the
// record.
func (s *StoreSync) dueWrites(now time.Time, era goose.StoreEra) []storeWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced || s.storedEra != era {
		return nil
	}
	var writes []storeWrite
	for _, e := range s.table.dueForSave(now) {
		old, exists := s.stored[e.record.Fingerprint]
		live := exists && now.Sub(old.changedAt) < Lifetime
		if live && old.record.Merge(e.record).Equal(old.record) || !live && e.record.Weight == 0 {
			continue
		}
		if len(writes) == maxSavesPerRound {
			return writes
		}
		s.table.postponeSave(e.record, now.Add(retryDelay))
		writes = append(writes, storeWrite{entry: e, revision: old.revision})
	}
	for f, old := range s.stored {
		if len(writes) == maxSavesPerRound {
			break
		}
		if now.Before(old.deleteAt) {
			continue
		}
		old.deleteAt = now.Add(cleanupDelay)
		s.stored[f] = old
		writes = append(writes, storeWrite{entry: entry{record: old.record}, revision: old.revision, remove: true})
	}
	return writes
}

// recordWrite records a call that has succeeded, before the watch delivers the change.
func (s *StoreSync) recordWrite(w storeWrite, revision goose.StoreRevision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := w.entry.record.Fingerprint
	if s.storedEra != revision.Era || s.stored[f].revision >= revision.Revision {
		return
	}
	if w.remove {
		delete(s.stored, f)
		return
	}
	record := w.entry.recordAt(s.clock.Now())
	s.recordStored(goose.StoreChange{Crash: record, Revision: revision.Revision})
}
