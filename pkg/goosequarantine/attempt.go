package goosequarantine

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Times for those who run attempts.
const (
	// MinResponding is how long after its first event a stream has to go on to show that no
	// part of its prompt crashes a replica when the replica begins to respond.
	MinResponding = 500 * time.Millisecond
	// TrialTimeout is how long a suspect request waits for another one that is running and
	// shows whether such requests crash replicas. After that the caller may retry in
	// TrialRetryAfter.
	TrialTimeout    = time.Second
	TrialRetryAfter = 2 * time.Second
)

const (
	// respondedMemory is how long a part is not suspected after a replica has responded to a
	// request with it. It is short, since a part may begin to crash replicas at any time.
	respondedMemory = 5 * time.Second
	// provenMemory is how long a response makes a later accusation of the part unlikely.
	provenMemory = time.Minute
)

// Attempt is what an instance knew about a request when it sent the request to a replica. It is
// immutable.
type Attempt struct {
	subjects goose.CrashSubjects
	// request and parts are the records when the attempt began; parts are in the order of the
	// subjects.
	request goose.CrashRecord
	parts   []goose.CrashRecord
	// responding is set once the replica has written its response for so long that no part of
	// the prompt crashes it.
	responding bool
	// onTrial is set if a part is quarantined and this attempt shows whether it still crashes
	// replicas.
	onTrial bool
	// trialBegun is set once the trial is recorded.
	trialBegun bool
}

// OnTrial reports whether the attempt may run although a part of its prompt is quarantined.
func (a Attempt) OnTrial() bool { return a.onTrial }

// Responding reports whether the replica has begun to write its response and survived it.
func (a Attempt) Responding() bool { return a.responding }

// Observe returns an attempt with the records of the present, without beginning one.
func (t *Table) Observe(s goose.CrashSubjects, now time.Time) Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observe(s, now)
}

func (t *Table) observe(s goose.CrashSubjects, now time.Time) Attempt {
	a := Attempt{subjects: s, request: t.crashRecordLocked(s.Request, goose.SubjectRequest, now)}
	a.request.PartBits = s.PartBits()
	for _, part := range s.Parts {
		a.parts = append(a.parts, t.crashRecordLocked(part, goose.SubjectPart, now))
	}
	return a
}

// BeginAttempt returns what is known about a request when one of its attempts begins. It
// returns false if this instance already runs an attempt that will show whether the request
// may run: an equal request with evidence of a crash, or a request with an equally suspect
// part. If BeginAttempt returns true, the caller must call EndAttempt, and before it sends the
// request BeginSending.
func (t *Table) BeginAttempt(s goose.CrashSubjects, now time.Time) (Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, quarantined := t.quarantined(s, now); quarantined {
		return Attempt{}, false
	}
	a := t.observe(s, now)
	if a.request.Weight >= weights[goose.EvidenceCrash] && t.running[s.Request] > 0 {
		return a, false
	}
	for _, part := range s.Parts {
		if t.running[part] > 0 && t.suspect(t.liveEntry(part, now), s, now) {
			return a, false
		}
	}
	a.onTrial = len(t.heldParts(s, now)) > 0
	t.running[s.Request]++
	for _, part := range s.Parts {
		t.running[part]++
	}
	return a, true
}

// BeginSending reports whether an attempt may still be sent to a replica that has room for it,
// and begins its trial if it is on one. It returns the attempt for the calls that follow.
func (t *Table) BeginSending(a Attempt, now time.Time) (Attempt, bool) {
	if a.trialBegun {
		return a, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, quarantined := t.quarantined(a.subjects, now); quarantined {
		return a, false
	}
	if !a.onTrial {
		return a, true
	}
	t.beginTrials(a.subjects, now)
	begun := t.observe(a.subjects, now)
	begun.responding, begun.onTrial, begun.trialBegun = a.responding, true, true
	return begun, true
}

// EndAttempt records the end of an attempt. It does not change the evidence: RecordLost and
// RecordSurvived record the result of the attempt.
func (t *Table) EndAttempt(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endRun(a.subjects.Request)
	if !a.responding {
		t.endPartRuns(a)
	}
}

func (t *Table) endPartRuns(a Attempt) {
	for _, part := range a.subjects.Parts {
		t.endRun(part)
	}
}

func (t *Table) endRun(f goose.Fingerprint) {
	if t.running[f]--; t.running[f] <= 0 {
		delete(t.running, f)
	}
}

// CrashRecord returns the record of a request. Its weight is zero if there is no
// evidence against the request.
func (t *Table) CrashRecord(f goose.Fingerprint, now time.Time) goose.CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashRecordLocked(f, goose.SubjectRequest, now)
}

// crashRecordLocked returns the record of a subject with the lock held. An expired record
// counts as a new round without evidence.
func (t *Table) crashRecordLocked(f goose.Fingerprint, kind goose.SubjectKind, now time.Time) goose.CrashRecord {
	switch e := t.entries[f]; {
	case e == nil:
		return goose.CrashRecord{Kind: kind, Fingerprint: f}
	case e.expired(now):
		return goose.CrashRecord{Kind: kind, Fingerprint: f, Round: e.record.Round + 1}
	default:
		return e.recordAt(now)
	}
}

// RecordLost records an attempt that was lost at a replica. It returns the greatest weight of
// the present evidence against the request and its parts.
func (t *Table) RecordLost(a Attempt, id goose.CrashID, evidence goose.CrashEvidence, now time.Time) uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLost(a.request, id, evidence, weights[evidence], now)
	weight := t.weight(a.subjects.Request, now)
	if a.responding {
		return weight
	}
	for _, before := range t.suspectParts(a, now) {
		t.recordLost(before, id, evidence, partWeights[evidence], now)
		weight = max(weight, t.weight(before.Fingerprint, now))
	}
	return weight
}

// recordLost adds evidence to the record of one subject.
func (t *Table) recordLost(before goose.CrashRecord, id goose.CrashID, evidence goose.CrashEvidence, weight uint32, now time.Time) {
	if before.Fingerprint == 0 {
		return
	}
	// A process can crash only once. If the record already names this process, either the
	// process is alive and only its responses break off, or the replica has restarted and the
	// store has not delivered its new process yet.
	named := before.HasCrash(id)
	for evidence == goose.EvidenceCrash && before.HasCrash(id) {
		id++
	}
	if weight > 0 && (!named || evidence == goose.EvidenceCrash) {
		t.mergeRecord(before.WithCrash(id, weight).WithAge(0), SourceOwn, now)
	}
}

// suspectParts returns the records of the parts that may have crashed the replica of a lost
// attempt: those to which no replica has responded lately, or all if there are none.
func (t *Table) suspectParts(a Attempt, now time.Time) []goose.CrashRecord {
	var unproven []goose.CrashRecord
	for _, before := range a.parts {
		if !t.respondedWithin(before.Fingerprint, respondedMemory, now) {
			unproven = append(unproven, before)
		}
	}
	if len(unproven) == 0 {
		return a.parts
	}
	return unproven
}

// respondedWithin reports whether a replica has responded to a request with the part within
// the last d, at this instance or at one that has told of it.
func (t *Table) respondedWithin(part goose.Fingerprint, d time.Duration, now time.Time) bool {
	at, ok := t.respondedAt[part]
	return ok && now.Sub(at) < d
}

// weight returns the weight of the present evidence against a subject.
func (t *Table) weight(f goose.Fingerprint, now time.Time) uint32 {
	if e := t.liveEntry(f, now); e != nil {
		return e.record.Weight
	}
	return 0
}

// RecordResponding records that a replica has been writing the response of an attempt and did
// not crash, which voids the evidence against the parts of its prompt. It returns the attempt
// for the calls that follow.
func (t *Table) RecordResponding(a Attempt, now time.Time) Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.responding {
		return a
	}
	for _, part := range a.subjects.Parts {
		t.clear(part, SourceOwn, now)
		t.respondedAt[part] = now
	}
	t.endPartRuns(a)
	a.responding = true
	return a
}

// RecordSurvived records that a replica has responded to the request and did not crash.
func (t *Table) RecordSurvived(f goose.Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(f, SourceOwn, now)
}

// clear voids the evidence against a subject, if there is any.
func (t *Table) clear(f goose.Fingerprint, from Source, now time.Time) {
	if e := t.liveEntry(f, now); e != nil && e.record.Weight > 0 {
		t.voidEvidence(e, now, from)
	}
}
