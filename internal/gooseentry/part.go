package gooseentry

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// partTrialPoll is the interval at which a request with a suspect part checks whether it may run.
const partTrialPoll = 40 * time.Millisecond

// sharedParts returns the fingerprints of the parts of a prompt that other requests may have,
// too: the contents of all messages, or entries of a list, but the last one.
func sharedParts(model string, body []byte, p prompt) []goose.Fingerprint {
	var parts []goose.Fingerprint
	for _, s := range p.parts[:max(len(p.parts)-1, 0)] {
		id := goose.PromptPartID(strconv.FormatUint(xxhash.Sum64(s.slice(body)), 16))
		f := goose.NewPartFingerprint(model, id)
		if s.end > s.start && !slices.Contains(parts, f) {
			parts = append(parts, f)
		}
		if len(parts) == goose.MaxSharedParts {
			break
		}
	}
	return parts
}

// beginAttempt waits until the request may run as far as the parts of its prompt are concerned.
// It returns a refusal if the request must not run.
func (j *job) beginAttempt() *goose.Refusal {
	if j.suspicion != nil {
		return nil
	}
	for start := j.entry.clock.Now(); ; {
		if r := j.partRefusal(); r != nil {
			return r
		}
		now := j.entry.clock.Now()
		if a, ok := j.entry.quarantine.BeginAttempt(j.req.subjects, now); ok {
			j.suspicion = &a
			return nil
		}
		if now.Sub(start) >= goosequarantine.TrialTimeout || !goose.Sleep(j.ctx, partTrialPoll) {
			return newRefusal(goose.CodeQuarantined, "suspect-on-trial",
				"an engine ended while it ran a request with a part of this prompt, and another such request still runs", goosequarantine.TrialRetryAfter)
		}
	}
}

// beginSending returns a refusal if the request must not be sent to the engine of its permit,
// because of what has become known of its parts since beginAttempt.
func (j *job) beginSending() *goose.Refusal {
	a, ok := j.entry.quarantine.BeginSending(*j.suspicion, j.entry.clock.Now())
	j.suspicion = &a
	if ok {
		return nil
	}
	return j.partRefusal()
}

// partRefusal refuses a request whose prompt has a part that crashes engines.
func (j *job) partRefusal() *goose.Refusal {
	left, quarantined := j.entry.quarantine.Quarantined(j.req.subjects, j.entry.clock.Now())
	if !quarantined {
		return nil
	}
	return newRefusal(goose.CodeQuarantined, "crashes-replicas", "engines ended one after the other while they ran requests with a part of this prompt", left)
}

// endAttempt ends what beginAttempt has begun.
func (j *job) endAttempt() {
	if j.suspicion != nil {
		j.entry.quarantine.EndAttempt(*j.suspicion)
		j.suspicion = nil
	}
}

// recordProgress records that the engine has been responding for long enough to show that no
// part of the prompt crashes it.
func (a *attempt) recordProgress() {
	now := a.job.entry.clock.Now()
	if a.timeToFirstToken > 0 && now.Sub(a.sentAt)-a.timeToFirstToken >= goosequarantine.MinResponding {
		a.recordResponding(now)
	}
}

func (a *attempt) recordResponding(now time.Time) {
	if s := a.job.suspicion; s != nil && !s.Responding() {
		responding := a.job.entry.quarantine.RecordResponding(*s, now)
		a.job.suspicion = &responding
	}
}

// recordPartCrash records a crash of the engine as evidence against the parts of the prompt.
func (a *attempt) recordPartCrash() {
	if a.job.suspicion == nil {
		return
	}
	evidence := goose.EvidenceCrash
	if a.timeToFirstToken > 0 {
		evidence = goose.EvidenceLost
	}
	id := goose.NewProcessCrashID(a.grant.Replica, a.process)
	a.job.entry.quarantine.RecordLost(*a.job.suspicion, id, evidence, a.job.entry.clock.Now())
}
