// Package goosequarantine decides which requests must not run any more because they crash
// the replicas that run them. The load patterns are one caller that sends such a request
// repeatedly, to any instance, and many callers whose requests differ but have a part of
// their prompts in common that crashes replicas, while innocent requests are lost with the
// crashed replicas.
//
// The subject of a record is either one request or one shared part of prompts. Evidence
// accumulates sequentially: a lost attempt adds to the evidence that its instance knew when
// the attempt began. Requests that are sent at the same time and lost together therefore
// count once. A run that does not crash its replica voids all earlier evidence against its
// request, and a response that is being written voids that against the parts of its prompt.
// Of several subjects that were lost with the same replica, the one with the most evidence
// is the suspect; subjects that a request contains itself do not excuse it, and a part is
// excused by any other culprit that does not contain it. If several have
// the same evidence, requests may run once more before they are quarantined, and parts one
// request at a time. Merging records is commutative and idempotent, and clocks of different
// instances are never compared.
package goosequarantine

import (
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// Lifetime is how long a record counts after its last change. After that the request may
	// run again, since the replicas may have been fixed.
	Lifetime = 10 * time.Minute
	// MaxRecords is the maximum number of records of a table. The records of least weight are
	// evicted first.
	MaxRecords = 1024
	// expiredMargin is how long an expired record is kept, so that delayed reports do not
	// restore it.
	expiredMargin = time.Minute
	// soleSuspectLimit is the weight at which a request is quarantined that has more evidence than
	// all other suspects of one of its crashes: two crashes, or four lost responses without proof
	// of a crash. sharedSuspectLimit is the weight at which a request is quarantined that has
	// other suspects with the same weight: three crashes.
	soleSuspectLimit   = 4
	sharedSuspectLimit = 6
	// partLimit is the weight at which a part of prompts is quarantined. It is higher than that
	// of a request, since all requests with the part are refused.
	partLimit = 6
	// sharedSuspectQuarantine is how long a request with other suspects of the same weight is
	// quarantined after a crash. It is short because the request may be innocent.
	sharedSuspectQuarantine = 20 * time.Second
)

// weights is the weight that each kind of evidence adds to the record of a request, and
// partWeights that of a part: a replica that still accepts connections was not crashed by one.
var (
	weights     = map[goose.CrashEvidence]uint32{goose.EvidenceInterrupted: 1, goose.EvidenceLost: 1, goose.EvidenceCrash: 2}
	partWeights = map[goose.CrashEvidence]uint32{goose.EvidenceLost: 1, goose.EvidenceCrash: 2}
)

// Source is the origin of a record.
type Source string

// Sources of records.
const (
	SourceOwn   Source = "own"
	SourcePeer  Source = "peer"
	SourceStore Source = "store"
)

// entry is a record with the local state of its reporting and saving.
type entry struct {
	record goose.CrashRecord
	// source is where the last change of the record came from.
	source Source
	// changedAt is the time of the last change of the weight, by the local clock. The Age
	// of the record is not used.
	changedAt time.Time
	// saveAt is the time from which on the record is written to the store if the store does
	// not have it.
	saveAt time.Time
	// reportCount is the number of reports to peers that contained the record.
	reportCount int
}

// limit is the weight at which the sole suspect of a crash is quarantined.
func (e entry) limit() uint32 {
	if e.record.Kind == goose.SubjectPart {
		return partLimit
	}
	return soleSuspectLimit
}

func (e entry) expired(now time.Time) bool { return now.Sub(e.changedAt) >= Lifetime }

// recordAt returns the record with its age at the given time.
func (e entry) recordAt(now time.Time) goose.CrashRecord {
	return e.record.WithAge(now.Sub(e.changedAt))
}

// Table holds the records of an instance. It is safe for concurrent use.
type Table struct {
	log *slog.Logger
	// reportDue holds a value while a report to the peers is due at once.
	reportDue chan struct{}
	// instances returns the number of instances that have the same records.
	instances func(now time.Time) int

	mu      sync.Mutex
	entries map[goose.Fingerprint]*entry
	// running is the number of running attempts of this instance for each subject. Attempts
	// whose replica is writing its response no longer count for the parts of their prompts.
	running map[goose.Fingerprint]int
	// respondedAt is when a replica last responded to a request with a part, as far as this
	// instance knows: a new round of a record shows a response at another instance.
	respondedAt map[goose.Fingerprint]time.Time
}

// New returns an empty table.
func New(log *slog.Logger) *Table {
	return &Table{
		log: log, instances: func(time.Time) int { return 1 },
		reportDue: make(chan struct{}, 1), entries: map[goose.Fingerprint]*entry{}, running: map[goose.Fingerprint]int{}, respondedAt: map[goose.Fingerprint]time.Time{},
	}
}

// SetInstances sets the function that returns the number of instances with the same records.
// It must be called before the table is used.
func (t *Table) SetInstances(f func(now time.Time) int) { t.instances = f }

// Release lets requests run again after the record of their subject was deleted from the store.
func (t *Table) Release(f goose.Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(f, SourceStore, now)
}

// voidEvidence voids the evidence against a request: it begins the next round of its record.
func (t *Table) voidEvidence(e *entry, now time.Time, from Source) {
	next := goose.CrashRecord{Kind: e.record.Kind, Fingerprint: e.record.Fingerprint, Round: e.record.Round + 1, PartBits: e.record.PartBits}
	t.mergeRecord(next, from, now)
}

// Merge adds records that were received from a peer or read from the store.
func (t *Table) Merge(records []goose.CrashRecord, from Source, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		known := r.Kind == goose.SubjectRequest || r.Kind == goose.SubjectPart
		if !known || r.Age < 0 || r.Age >= Lifetime || r.Weight > 0 && r.Crashes[0] == 0 {
			continue
		}
		t.mergeRecord(r, from, now)
	}
}

// liveEntry returns the entry of a request, or nil if there is none or it has expired.
func (t *Table) liveEntry(f goose.Fingerprint, now time.Time) *entry {
	e := t.entries[f]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

// mergeRecord merges a record into the entry of its request. If a peer sent a record that lacks
// evidence, the merged record is reported to the peers again.
func (t *Table) mergeRecord(r goose.CrashRecord, from Source, now time.Time) {
	old := t.entries[r.Fingerprint]
	if old == nil {
		old = &entry{record: goose.CrashRecord{Kind: r.Kind, Fingerprint: r.Fingerprint}}
	}
	if r.Kind == goose.SubjectPart && r.Round > old.record.Round {
		t.respondedAt[r.Fingerprint] = now
	}
	merged := old.recordAt(now).Merge(r)
	stale, changed := !merged.Equal(r), !merged.Equal(old.record)
	if stale && from == SourcePeer && !old.expired(now) {
		old.reportCount = 0
		t.requestReport()
	}
	changedAt := now.Add(-merged.Age)
	if !changed {
		old.changedAt = changedAt
		return
	}
	alone := goose.CrashSubjects{Request: r.Fingerprint}
	wasQuarantined := t.remainingQuarantine(t.liveEntry(r.Fingerprint, now), alone, now) > 0
	e := &entry{record: merged, source: from, changedAt: changedAt, saveAt: now.Add(t.saveDelay(merged, from, now))}
	t.entries[r.Fingerprint] = e
	t.evictOverflow(now)
	t.logChange(wasQuarantined, e, from, now)
	if e.reportable(1) {
		t.requestReport()
	}
}

// logChange logs a changed record and whether its quarantine begins or ends with the change.
func (t *Table) logChange(wasQuarantined bool, e *entry, from Source, now time.Time) {
	begun, ended := gooseevent.QuarantineBegun, gooseevent.QuarantineEnded
	if e.record.Kind == goose.SubjectPart {
		begun, ended = gooseevent.PartQuarantineBegun, gooseevent.PartQuarantineEnded
	}
	fields := []any{
		slog.String("fingerprint", e.record.Fingerprint.String()), slog.String("kind", string(e.record.Kind)), slog.String("source", string(from)),
		slog.Int64("round", int64(e.record.Round)), slog.Int64("weight", int64(e.record.Weight)),
		slog.Duration("age", now.Sub(e.changedAt)),
	}
	if e.record.Weight > 0 {
		gooseevent.CrashNoted.Log(t.log, fields...)
	}
	left := t.remainingQuarantine(e, goose.CrashSubjects{Request: e.record.Fingerprint}, now)
	switch {
	case !wasQuarantined && left > 0:
		begun.Log(t.log, append(fields, slog.Duration("for", left))...)
	case wasQuarantined && left == 0:
		ended.Log(t.log, fields...)
	}
}

// evictOverflow evicts expired entries if the table exceeds MaxRecords, and then the entries of
// least weight until it no longer does.
func (t *Table) evictOverflow(now time.Time) {
	if len(t.entries) <= MaxRecords {
		return
	}
	all := make([]*entry, 0, len(t.entries))
	for f, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, f)
			continue
		}
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].record.Weight != all[j].record.Weight {
			return all[i].record.Weight < all[j].record.Weight
		}
		return all[i].changedAt.Before(all[j].changedAt)
	})
	for _, e := range all[:max(len(all)-MaxRecords, 0)] {
		delete(t.entries, e.record.Fingerprint)
	}
}

// RemoveExpired removes entries that expired at least expiredMargin ago, and responses that
// no longer count.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if now.Sub(e.changedAt) >= Lifetime+expiredMargin {
			delete(t.entries, f)
		}
	}
	for part, at := range t.respondedAt {
		if now.Sub(at) >= provenMemory {
			delete(t.respondedAt, part)
		}
	}
}
