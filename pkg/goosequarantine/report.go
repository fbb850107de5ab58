package goosequarantine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// crashSaveDelay is the delay before a record of one crash is saved, and lostSaveDelay
	// the delay for a record of lost responses without proof of a crash. The delays save
	// calls to the store because most of these records become void once another replica has
	// served the request.
	crashSaveDelay = 300 * time.Millisecond
	lostSaveDelay  = 2 * time.Second
	// peerSaveDelay is the lower bound of the random delay after which an instance saves the
	// record of a peer that is not in the store, since the peer may have died. The upper
	// bound is twice as long.
	peerSaveDelay = 3 * time.Second
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

// Report returns up to n records for the peers, and whether any of them is fresh: reported
// less than retell times, so that some peer may not have it yet. Fresh records with enough
// weight to quarantine a request come first. Records with that weight are reported without end,
// lighter ones only while they are fresh; a peer that missed one of these reads it from the
// store.
func (t *Table) Report(n, retell int, now time.Time) (records []goose.CrashRecord, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*entry
	for _, e := range t.entries {
		if !e.expired(now) && (e.reportCount < retell || e.record.Weight >= soleSuspectLimit) {
			all = append(all, e)
		}
	}
	urgent := func(e *entry) bool { return e.reportCount < retell && e.record.Weight >= soleSuspectLimit }
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case urgent(a) != urgent(b):
			return urgent(a)
		case a.reportCount != b.reportCount:
			return a.reportCount < b.reportCount
		}
		return a.record.Fingerprint < b.record.Fingerprint
	})
	for _, e := range all[:min(n, len(all))] {
		fresh = fresh || e.reportCount < retell
		e.reportCount++
		records = append(records, e.recordAt(now))
	}
	return records, fresh
}

// saveDelay returns how long a record may stay unsaved.
func saveDelay(r goose.CrashRecord, from Source) time.Duration {
	switch {
	case from != SourceOwn:
		return peerSaveDelay + rand.N(peerSaveDelay)
	case r.Weight >= soleSuspectLimit:
		return 0
	case r.Weight >= weights[goose.EvidenceCrash]:
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
