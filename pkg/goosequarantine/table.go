// Package goosequarantine decides which requests must not run any more because they crash
// the replicas that run them. The load pattern is one caller that sends such a request
// repeatedly, to any instance, while innocent requests are lost with the crashed replicas.
//
// Evidence accumulates sequentially: a lost attempt adds to the evidence that its instance
// knew when the attempt began. Equal requests that many callers send at the same time and
// that are lost together therefore count once. A run that does not crash its replica voids
// all earlier evidence. Of several requests that were lost with the same replica, the one
// with the most evidence is the suspect. If several have the same evidence, they may run
// once more before they are quarantined. Merging records is commutative and idempotent,
// and clocks of different instances are never compared.
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
	// sharedSuspectQuarantine is how long a request with other suspects of the same weight is
	// quarantined after a crash. It is short because the request may be innocent.
	sharedSuspectQuarantine = 20 * time.Second
)

// weights is the weight that each kind of evidence adds to a record.
var weights = map[goose.CrashEvidence]uint32{goose.EvidenceLost: 1, goose.EvidenceCrash: 2}

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
	// running is the number of running attempts of this instance for each request.
	running map[goose.Fingerprint]int
}

// New returns an empty table.
func New(log *slog.Logger) *Table {
	return &Table{
		log: log, instances: func(time.Time) int { return 1 }, reportDue: make(chan struct{}, 1), entries: map[goose.Fingerprint]*entry{}, running: map[goose.Fingerprint]int{},
	}
}

// SetInstances sets the function that returns the number of instances with the same records.
// It must be called before the table is used.
func (t *Table) SetInstances(f func(now time.Time) int) { t.instances = f }

// BeginAttempt returns the record of a request when one of its attempts begins. It returns
// false if the request has evidence of a crash and this instance already runs another attempt
// of an equal request: that attempt will show whether the request caused the crash. If
// BeginAttempt returns true, the caller must call EndAttempt.
func (t *Table) BeginAttempt(f goose.Fingerprint, now time.Time) (goose.CrashRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.crashRecordLocked(f, now)
	if known.Weight >= weights[goose.EvidenceCrash] && t.running[f] > 0 {
		return known, false
	}
	t.running[f]++
	return known, true
}

// EndAttempt records the end of an attempt. It does not change the evidence: RecordLost and
// RecordSurvived record the result of the attempt.
func (t *Table) EndAttempt(f goose.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[f]--; t.running[f] <= 0 {
		delete(t.running, f)
	}
}

// CrashRecord returns the record of a request. Its weight is zero if there is no
// evidence against the request.
func (t *Table) CrashRecord(f goose.Fingerprint, now time.Time) goose.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashRecordLocked(f, now)
}

// crashRecordLocked is CrashRecord with the lock held. An expired record counts as
// a new round without evidence.
func (t *Table) crashRecordLocked(f goose.Fingerprint, now time.Time) goose.CrashRecord {
	switch e := t.entries[f]; {
	case e == nil:
		return goose.CrashRecord{Fingerprint: f}
	case e.expired(now):
		return goose.CrashRecord{Fingerprint: f, Round: e.record.Round + 1}
	default:
		return e.recordAt(now)
	}
}

// Quarantined reports whether a request is quarantined, and for how long it still is.
func (t *Table) Quarantined(f goose.Fingerprint, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.remainingQuarantine(t.liveEntry(f, now), now)
	return left, left > 0
}

// remainingQuarantine returns how long a request must not run; zero if it may run.
func (t *Table) remainingQuarantine(e *entry, now time.Time) time.Duration {
	if e == nil || e.record.Weight < soleSuspectLimit {
		return 0
	}
	switch others := t.otherSuspectsWeight(e, now); {
	case others < e.record.Weight:
		return Lifetime - now.Sub(e.changedAt)
	case others == e.record.Weight && e.record.Weight >= sharedSuspectLimit:
		return max(sharedSuspectQuarantine-now.Sub(e.changedAt), 0)
	}
	return 0
}

// otherSuspectsWeight returns the weight of the other suspects of a request's crashes: the
// lowest, over all crashes, of the highest weight of another request that was lost in the
// same crash. The lowest one counts because a single crash that no other request explains
// was caused by this request.
func (t *Table) otherSuspectsWeight(e *entry, now time.Time) uint32 {
	lowest := e.record.Weight + 1
	for _, id := range e.record.Crashes {
		if id == 0 {
			break
		}
		highest := uint32(0)
		for _, other := range t.entries {
			if other != e && !other.expired(now) && other.record.HasCrash(id) {
				highest = max(highest, other.record.Weight)
			}
		}
		lowest = min(lowest, highest)
	}
	return lowest
}

// QuarantinedCount returns the number of requests in quarantine.
func (t *Table) QuarantinedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if !e.expired(now) && t.remainingQuarantine(e, now) > 0 {
			n++
		}
	}
	return n
}

// RecordLost records an attempt that was lost at a replica. before is the record that
// BeginAttempt returned for the attempt. RecordLost returns the present record.
func (t *Table) RecordLost(before goose.CrashRecord, on goose.Replica, evidence goose.CrashEvidence, now time.Time) goose.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := goose.NewCrashID(on)
	// A process can crash only once. If the record already names this process, either the
	// process is alive and only its responses break off, or the replica has restarted and the
	// store has not delivered its new process yet.
	named := before.HasCrash(id)
	for evidence == goose.EvidenceCrash && before.HasCrash(id) {
		id++
	}
	if !named || evidence == goose.EvidenceCrash {
		t.mergeRecord(before.WithCrash(id, weights[evidence]).WithAge(0), SourceOwn, now)
	}
	if e := t.liveEntry(before.Fingerprint, now); e != nil {
		return e.recordAt(now)
	}
	return goose.CrashRecord{Fingerprint: before.Fingerprint}
}

// RecordSurvived records that a replica has responded to the request and did not crash.
func (t *Table) RecordSurvived(f goose.Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(f, now); e != nil && e.record.Weight > 0 {
		t.voidEvidence(e, now, SourceOwn)
	}
}

// Release lets a request run again after its record was deleted from the store.
func (t *Table) Release(f goose.Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(f, now); e != nil && e.record.Weight > 0 {
		t.voidEvidence(e, now, SourceStore)
	}
}

// voidEvidence voids the evidence against a request: it begins the next round of its record.
func (t *Table) voidEvidence(e *entry, now time.Time, from Source) {
	t.mergeRecord(goose.CrashRecord{Fingerprint: e.record.Fingerprint, Round: e.record.Round + 1}, from, now)
}

// Merge adds records that were received from a peer or read from the store.
func (t *Table) Merge(records []goose.CrashRecord, from Source, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if r.Age < 0 || r.Age >= Lifetime || r.Weight > 0 && r.Crashes[0] == 0 {
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
		old = &entry{record: goose.CrashRecord{Fingerprint: r.Fingerprint}}
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
	wasQuarantined := t.remainingQuarantine(t.liveEntry(r.Fingerprint, now), now) > 0
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
	fields := []any{
		slog.String("fingerprint", e.record.Fingerprint.String()), slog.String("source", string(from)),
		slog.Int64("round", int64(e.record.Round)), slog.Int64("weight", int64(e.record.Weight)),
		slog.Duration("age", now.Sub(e.changedAt)),
	}
	if e.record.Weight > 0 {
		gooseevent.CrashNoted.Log(t.log, fields...)
	}
	left := t.remainingQuarantine(e, now)
	switch {
	case !wasQuarantined && left > 0:
		gooseevent.QuarantineBegun.Log(t.log, append(fields, slog.Duration("for", left))...)
	case wasQuarantined && left == 0:
		gooseevent.QuarantineEnded.Log(t.log, fields...)
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

// RemoveExpired removes entries that expired at least expiredMargin ago.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if now.Sub(e.changedAt) >= Lifetime+expiredMargin {
			delete(t.entries, f)
		}
	}
}
