package goosequarantine

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// partTrialDelay is how long after the last crash one request with a quarantined part may
	// run, to show whether the part still crashes replicas. provenTrialDelay takes its place
	// for a part to which a replica has responded within provenMemory: it is more likely to
	// be sound. Each trial multiplies the delay by trialBackoff, up to maxTrialDelay.
	partTrialDelay   = 8 * time.Second
	provenTrialDelay = 3 * time.Second
	trialBackoff     = 3
	maxTrialDelay    = 5 * time.Minute
)

// Quarantined reports whether a request is quarantined, and for how long it still is.
func (t *Table) Quarantined(s goose.CrashSubjects, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantined(s, now)
}

// quarantined is Quarantined with the lock held.
func (t *Table) quarantined(s goose.CrashSubjects, now time.Time) (time.Duration, bool) {
	longest := t.remainingQuarantine(t.liveEntry(s.Request, now), s, now)
	for _, part := range s.Parts {
		e := t.liveEntry(part, now)
		if left := t.remainingQuarantine(e, s, now); left > 0 && !t.trialDue(e, now) {
			longest = max(longest, left)
		}
	}
	return longest, longest > 0
}

// remainingQuarantine returns how long a request with the given subjects must not run because
// of one of them; zero if it may run.
func (t *Table) remainingQuarantine(e *entry, s goose.CrashSubjects, now time.Time) time.Duration {
	if e == nil || e.record.Weight < e.limit() || t.respondedWithin(e.record.Fingerprint, respondedMemory, now) {
		return 0
	}
	switch others := t.otherSuspectsWeight(e, s, now); {
	case others < e.record.Weight:
		return Lifetime - now.Sub(e.changedAt)
	case others == e.record.Weight && e.record.Kind == goose.SubjectRequest && e.record.Weight >= sharedSuspectLimit:
		return max(sharedSuspectQuarantine-now.Sub(e.changedAt), 0)
	}
	return 0
}

// otherSuspectsWeight returns the weight of the other suspects of a subject's crashes: the
// lowest, over all crashes, of the highest weight of another subject that was lost in the
// same crash and that the request does not contain. The lowest one counts because a single
// crash that nothing else explains was caused by this subject.
func (t *Table) otherSuspectsWeight(e *entry, s goose.CrashSubjects, now time.Time) uint32 {
	lowest := e.record.Weight + 1
	for _, id := range e.record.Crashes {
		if id == 0 {
			break
		}
		highest := uint32(0)
		for f, other := range t.entries {
			if other == e || s.Contains(f) || other.expired(now) || !other.record.MayHaveCrash(id) {
				continue
			}
			highest = max(highest, other.record.Weight)
			if other.excuses(e, id) {
				highest = max(highest, e.record.Weight+1)
			}
		}
		lowest = min(lowest, highest)
	}
	return lowest
}

// maxExcusedCrashes is the number of crashes of a part up to which requests excuse it. More
// crashes under different requests have the part as their simplest explanation.
const maxExcusedCrashes = 4

// excuses reports whether the entry is that of a request that explains a crash which it shares
// with a part, whatever the part's weight: a request in quarantine gains no more weight.
func (e *entry) excuses(part *entry, id goose.CrashID) bool {
	r, p := e.record, part.record
	return r.Kind == goose.SubjectRequest && p.Kind == goose.SubjectPart && p.CrashCount() <= maxExcusedCrashes &&
		r.Weight >= e.limit() && r.HasCrash(id) && !r.MayContain(p.Fingerprint)
}

// trialDue reports whether a request with a quarantined part may run on trial.
func (t *Table) trialDue(e *entry, now time.Time) bool {
	delay := partTrialDelay
	if t.respondedWithin(e.record.Fingerprint, provenMemory, now) {
		delay = provenTrialDelay
	}
	for n := uint32(0); n < e.record.Trials && delay < maxTrialDelay; n++ {
		delay *= trialBackoff
	}
	return now.Sub(e.changedAt) >= min(delay, maxTrialDelay)
}

// heldParts returns the entries of the parts that are quarantined, whether or not a trial is
// due.
func (t *Table) heldParts(s goose.CrashSubjects, now time.Time) []*entry {
	var held []*entry
	for _, part := range s.Parts {
		if e := t.liveEntry(part, now); t.remainingQuarantine(e, s, now) > 0 {
			held = append(held, e)
		}
	}
	return held
}

// beginTrials records that a request begins on trial for those of its parts that are
// quarantined. All instances learn of it at once and run no trial before the next one is due.
func (t *Table) beginTrials(s goose.CrashSubjects, now time.Time) {
	for _, e := range t.heldParts(s, now) {
		t.mergeRecord(e.recordAt(now).WithTrial(), SourceOwn, now)
	}
}

// suspect reports whether there is so much evidence against a part that only one request of
// this instance may run with it until its replica writes a response.
func (t *Table) suspect(e *entry, s goose.CrashSubjects, now time.Time) bool {
	return e != nil && e.record.Weight >= soleSuspectLimit && !t.respondedWithin(e.record.Fingerprint, respondedMemory, now) && t.otherSuspectsWeight(e, s, now) <= e.record.Weight
}

// QuarantinedCount returns the number of subjects of a kind in quarantine.
func (t *Table) QuarantinedCount(kind goose.SubjectKind, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for f, e := range t.entries {
		if e.record.Kind == kind && !e.expired(now) && t.remainingQuarantine(e, goose.CrashSubjects{Request: f}, now) > 0 {
			n++
		}
	}
	return n
}
