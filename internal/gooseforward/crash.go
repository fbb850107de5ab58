package gooseforward

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// recordCrashEvidence records whether an attempt indicates that its request crashes
// replicas. It returns the weight of all evidence against the request if the attempt has
// added to it, otherwise zero.
func (c *call) recordCrashEvidence(choice gooseplacement.Choice, r *result) uint32 {
	now := c.o.Clock.Now()
	switch r.outcome {
	case outcomeDone, outcomeFailed:
		c.o.Quarantine.RecordSurvived(c.subjects.Request, now)
		if isSuccess(r.status) {
			c.recordResponding(now)
		}
	case outcomeLost, outcomeSilent:
		r.process = probe(c.ctx, choice.Replica.Address)
		if e := r.evidence(); e != goose.EvidenceNone {
			return c.o.Quarantine.RecordLost(c.suspicion, goose.NewCrashID(choice.Replica), e, now)
		}
	case outcomeDeadline:
		if r.timeToFirst == 0 {
			c.probeAfterDeadline(choice, *r)
		}
	}
	return 0
}

// probeAfterDeadline probes the replica of a request whose deadline has passed without a
// response, and records a crash.
func (c *call) probeAfterDeadline(choice gooseplacement.Choice, r result) {
	suspicion := c.suspicion
	go func() {
		// The caller has its response already, and the context of the request has ended.
		r.process = probe(context.Background(), choice.Replica.Address)
		if e := r.evidence(); e != goose.EvidenceNone {
			c.o.Quarantine.RecordLost(suspicion, goose.NewCrashID(choice.Replica), e, c.o.Clock.Now())
		}
	}()
}

// evidence returns how strongly the attempt indicates that the request crashed the
// replica. A silent replica whose process is alive is only slow.
func (r result) evidence() goose.CrashEvidence {
	switch {
	case r.process == processEnded && r.timeToFirst == 0:
		return goose.EvidenceCrash
	case r.process == processEnded || r.process == processUnreachable:
		return goose.EvidenceLost
	case r.outcome == outcomeLost:
		return goose.EvidenceInterrupted
	}
	return goose.EvidenceNone
}

// recordResponding records that the replica of the current attempt has begun to respond and
// did not crash.
func (c *call) recordResponding(now time.Time) {
	c.suspicion = c.o.Quarantine.RecordResponding(c.suspicion, now)
}

// recordStreamProgress calls recordResponding once the stream has gone on for long enough.
func (c *call) recordStreamProgress(now time.Time) {
	if !c.suspicion.Responding() && now.Sub(c.attemptStart)-c.timeToFirst >= goosequarantine.MinResponding {
		c.recordResponding(now)
	}
}

// beginAttempt begins an attempt and returns true, unless the request is quarantined or an
// equal suspect request runs for too long; then it sends the caller the final response.
func (c *call) beginAttempt(last result) bool {
	for start := c.o.Clock.Now(); ; {
		now := c.o.Clock.Now()
		if remaining, quarantined := c.o.Quarantine.Quarantined(c.subjects, now); quarantined {
			c.rejectAttempt(last, quarantineRefusal(remaining))
			return false
		}
		suspicion, ok := c.o.Quarantine.BeginAttempt(c.subjects, now)
		if ok {
			c.suspicion = suspicion
			return true
		}
		if now.Sub(start) >= goosequarantine.TrialTimeout || !goose.Sleep(c.ctx, placementRetryInterval) {
			c.rejectAttempt(last, goose.NotRunRefusal(goose.CodeQuarantined, "a replica ended while it ran this request, and an equal one still runs").
				WithReason("suspect-on-trial").WithRetryAfter(goosequarantine.TrialRetryAfter))
			return false
		}
	}
}

// beginSending reports whether the request may still be sent to the chosen replica. If it may
// not, it frees the replica and sends the caller the final response.
func (c *call) beginSending(choice gooseplacement.Choice, last result) bool {
	refusal, ok := c.maySend()
	if ok {
		return true
	}
	c.o.Placer.RecordEnd(choice.AttemptID, false, false, c.o.Clock.Now())
	c.o.Quarantine.EndAttempt(c.suspicion)
	c.rejectAttempt(last, refusal)
	return false
}

// maySend returns a refusal if the request was quarantined since the attempt began, or if the
// instance has begun to drain and no replica has run the request.
func (c *call) maySend() (goose.Refusal, bool) {
	if c.runs == 0 && !c.committed {
		if refusal, ok := c.endsBeforeStop(); !ok {
			return refusal, false
		}
	}
	now := c.o.Clock.Now()
	suspicion, ok := c.o.Quarantine.BeginSending(c.suspicion, now)
	c.suspicion = suspicion
	if ok {
		return goose.Refusal{}, true
	}
	remaining, _ := c.o.Quarantine.Quarantined(c.subjects, now)
	return quarantineRefusal(remaining), false
}

func quarantineRefusal(remaining time.Duration) goose.Refusal {
	return goose.NotRunRefusal(goose.CodeQuarantined, "replicas ended one after the other while they ran this request, or others with a part of its prompt").
		WithReason("crashes-replicas").WithRetryAfter(remaining)
}

// rejectAttempt sends the final response of a request that must not be sent to a further
// replica.
func (c *call) rejectAttempt(last result, r goose.Refusal) {
	if c.runs > 0 || c.committed {
		c.writeFailure(last, gooseplacement.ObstacleNone)
		return
	}
	c.refuse(r)
}
