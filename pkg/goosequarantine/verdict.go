package goosequarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// partTrialDelay is how long after the last crash one request with a quarantined part may
	// run, to show whether the part still crashes replicas. Each further crash doubles it.
	partTrialDelay = 15 * time.Second
	// trialSlot is how long one instance of the fleet holds the trial of a part.
	trialSlot = 5 * time.Second
)

// SetTrialHolder sets the function that reports whether this instance holds the trial of a
// part in a time slot. It must be called before the table is used.
func (t *Table) SetTrialHolder(f func(part goose.Fingerprint, slot int64) bool) { t.holdsTrial = f }

// TrialHolder returns the instance that holds the trial of a part in a time slot: the one of
// the highest rendezvous hash, so that instances with the same list agree on it.
func TrialHolder(part goose.Fingerprint, slot int64, instances []goose.InstanceID) goose.InstanceID {
	var holder goose.InstanceID
	var highest uint64
	for _, id := range instances {
		key := part.String() + time.Duration(slot).String() + string(id)
		if h := xxhash.Sum64String(key); holder == "" || h > highest {
			holder, highest = id, h
		}
	}
	return holder
}

// Quarantined reports whether a request is quarantined, and for how long it still is.
func (t *Table) Quarantined(s goose.CrashSubjects, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	if e == nil || e.record.Weight < e.limit() {
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
			if other != e && !s.Contains(f) && !other.expired(now) && other.record.MayHaveCrash(id) {
				highest = max(highest, other.record.Weight)
			}
		}
		lowest = min(lowest, highest)
	}
	return lowest
}

// trialDue reports whether this instance may run a request with a quarantined part on trial.
func (t *Table) trialDue(e *entry, now time.Time) bool {
	age := now.Sub(e.changedAt)
	delay := partTrialDelay
	for weight := uint32(partLimit); weight < e.record.Weight && delay < Lifetime; weight += partWeights[goose.EvidenceCrash] {
		delay *= 2
	}
	return age >= delay && t.holdsTrial(e.record.Fingerprint, int64(age/trialSlot))
}

// suspect reports whether there is so much evidence against a part that only one request of
// this instance may run with it until its replica writes a response.
func (t *Table) suspect(e *entry, s goose.CrashSubjects, now time.Time) bool {
	return e != nil && e.record.Weight >= soleSuspectLimit && t.otherSuspectsWeight(e, s, now) <= e.record.Weight
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
