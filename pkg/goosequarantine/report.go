package goosequarantine

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// crashSaveDelay is the delay before a record of one crash is saved, and lostSaveDelay
	// the delay for a record of lost responses without proof of a crash, and for a part. The
	// delays save calls to the store because most of these records become void once another
	// replica has served the request, or another request with the part.
	crashSaveDelay = 300 * time.Millisecond
	lostSaveDelay  = 2 * time.Second
	// peerSaveDelay is the lower bound of the random delay after which an instance saves the
	// record of a peer that is not in the store, since the peer may have died. The delays of
	// a fleet are spread over as much again for each saversPerDelay instances, so that one
	// instance saves the record and the others see it in the store.
	peerSaveDelay  = 3 * time.Second
	saversPerDelay = 6
)

// ReportDue delivers a value when a record should be reported to the peers at once.
func (t *Table) ReportDue() <-chan struct{} { return t.reportDue }

// requestReport requests a report to the peers.
func (t *Table) requestReport() {
	select {
	case t.reportDue <- struct{}{}:
	default:
	}
}

// Reports are the records that an instance sends to its peers at one time.
type Reports struct {
	// Own are records of attempts that this instance lost. No other instance knows them, so
	// all peers get them.
	Own []goose.CrashRecord
	// Relayed are records that other instances have reported, too. If every instance sent
	// them to all peers, a fleet's datagrams for one crash would grow with the square of
	// its instances.
	Relayed []goose.CrashRecord
	// Fresh is set if any of the records was reported less often than requested, so that
	// some peer may not have it yet.
	Fresh bool
}

// All returns all records of the reports.
func (r Reports) All() []goose.CrashRecord { return slices.Concat(r.Own, r.Relayed) }

// Report returns up to n records for the peers. A record is fresh until it was reported
// retell times. Fresh records with enough weight to quarantine a request come first. Records
// with that weight are reported without end, lighter ones only while they are fresh, and
// those without proof of a crash only by the instance that lost the response: a peer that
// missed a lighter record reads it from the store.
func (t *Table) Report(n, retell int, now time.Time) Reports {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*entry
	for _, e := range t.entries {
		if !e.expired(now) && e.reportable(retell) {
			all = append(all, e)
		}
	}
	urgent := func(e *entry) bool { return e.reportCount < retell && e.record.Weight >= e.limit() }
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case urgent(a) != urgent(b):
			return urgent(a)
		case a.reportCount != b.reportCount:
			return a.reportCount < b.reportCount
		case a.record.Weight != b.record.Weight:
			return a.record.Weight > b.record.Weight
		}
		return a.record.Fingerprint < b.record.Fingerprint
	})
	var r Reports
	for _, e := range all[:min(n, len(all))] {
		own := e.source == SourceOwn && e.reportCount < retell
		r.Fresh = r.Fresh || e.reportCount < retell
		e.reportCount++
		if own {
			r.Own = append(r.Own, e.recordAt(now))
			continue
		}
		r.Relayed = append(r.Relayed, e.recordAt(now))
	}
	return r
}

// Records returns all records that have not expired, for an instance that has none.
func (t *Table) Records(now time.Time) []goose.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []goose.CrashRecord
	for _, e := range t.entries {
		if !e.expired(now) {
			all = append(all, e.recordAt(now))
		}
	}
	return all
}

// reportable reports whether the record is due to be reported to peers.
func (e *entry) reportable(retell int) bool {
	switch {
	case e.record.Weight >= e.limit():
		return true
	case e.reportCount >= retell:
		return false
	}
	return e.source == SourceOwn || e.record.Weight >= weights[goose.EvidenceCrash]
}

// saveDelay returns how long a record may stay unsaved.
func (t *Table) saveDelay(r goose.CrashRecord, from Source, now time.Time) time.Duration {
	switch {
	case from != SourceOwn:
		spread := max(time.Duration(t.instances(now))/saversPerDelay, 1)
		return peerSaveDelay + rand.N(spread*peerSaveDelay)
	case r.Weight >= entry{record: r}.limit():
		return 0
	case r.Weight >= weights[goose.EvidenceCrash] && r.Kind == goose.SubjectRequest:
		return crashSaveDelay
	}
	return lostSaveDelay
}

// dueForSave returns the entries that are due to be saved, by descending weight.
func (t *Table) dueForSave(now time.Time) []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []entry
	for _, e := range t.entries {
		if !e.expired(now) && !now.Before(e.saveAt) {
			all = append(all, *e)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].record.Weight > all[j].record.Weight })
	return all
}

// postponeSave delays the saving of a record until the given time.
func (t *Table) postponeSave(r goose.CrashRecord, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[r.Fingerprint]; ok && e.record.Equal(r) {
		e.saveAt = until
	}
}

// requeueSaves makes all records due for saving again: those of this instance at once, the others
// after the time in which their own instances have saved them.
func (t *Table) requeueSaves(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.saveAt = now
		if e.source != SourceOwn {
			e.saveAt = now.Add(t.saveDelay(e.record, e.source, now))
		}
	}
}
