// Package gooseplacement chooses the replicas of a request by the requests that this
// instance and its peers have in flight. It does not use the network, and callers pass the
// current time.
package gooseplacement

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Load is the load of the requests in flight on one replica.
type Load struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	// Waiting is the number of requests without a first event.
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Tokens is the memory of the requests for prompts and expected outputs, in tokens.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Prefill is the engine time that the prefill of the waiting requests still takes.
	Prefill time.Duration `cbor:"4,keyasint,omitempty"`
	// ShortPauseStreams is the number of streams that any long prefill delays beyond their longest
	// pause.
	ShortPauseStreams int `cbor:"5,keyasint,omitempty"`
	// MediumPauseStreams is the number of streams that only a very long part of a
	// prompt delays beyond their longest pause.
	MediumPauseStreams int `cbor:"6,keyasint,omitempty"`
}

// plus returns the sum of two loads.
func (l Load) plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Waiting: l.Waiting + o.Waiting, Tokens: l.Tokens + o.Tokens,
		Prefill: l.Prefill + o.Prefill, ShortPauseStreams: l.ShortPauseStreams + o.ShortPauseStreams, MediumPauseStreams: l.MediumPauseStreams + o.MediumPauseStreams,
	}
}

// minus returns the difference of two loads.
func (l Load) minus(o Load) Load {
	return Load{
		Requests: l.Requests - o.Requests, Waiting: l.Waiting - o.Waiting, Tokens: l.Tokens - o.Tokens,
		Prefill: l.Prefill - o.Prefill, ShortPauseStreams: l.ShortPauseStreams - o.ShortPauseStreams, MediumPauseStreams: l.MediumPauseStreams - o.MediumPauseStreams,
	}
}

// OfferedLoad is the offered load of a service: the seconds of prefill that arrive per second,
// separately for short and long prompts.
type OfferedLoad struct {
	Short float64 `cbor:"1,keyasint,omitempty"`
	Long  float64 `cbor:"2,keyasint,omitempty"`
}

// plus returns the sum of two offered loads.
func (l OfferedLoad) plus(o OfferedLoad) OfferedLoad {
	return OfferedLoad{Short: l.Short + o.Short, Long: l.Long + o.Long}
}

// Report is the load of one instance, as sent to its peers, or of a data centre.
type Report struct {
	Replicas    map[goose.ReplicaID]Load          `cbor:"1,keyasint,omitempty"`
	OfferedLoad map[goose.ServiceName]OfferedLoad `cbor:"2,keyasint,omitempty"`
	// Instances is the number of instances whose reports are summed; zero stands for one.
	Instances int `cbor:"3,keyasint,omitempty"`
	// Leaving are processes that have said that they leave.
	Leaving []Process `cbor:"4,keyasint,omitempty"`
	// Marks are temporary statuses of processes.
	Marks []Mark `cbor:"5,keyasint,omitempty"`
}

// Bounds on what one report may contain. They are far above any real load, so a report that
// exceeds one was not sent by an instance.
const (
	maxReportedRequests = 1 << 16
	maxReportedTokens   = 1 << 40
	maxReportedPrefill  = time.Hour
	// maxReportedOffered is in seconds of prefill per second.
	maxReportedOffered   = 1e6
	maxReportedInstances = 1 << 16
)

// Validate returns an error if no instance can have sent the report. Its values are used in
// sums and as bounds of random numbers, which must not overflow.
func (r Report) Validate() error {
	if r.Instances < 0 || r.Instances > maxReportedInstances {
		return errors.Errorf("%d instances", r.Instances)
	}
	if len(r.Leaving) > MaxReportedLeaving {
		return errors.Errorf("%d processes that leave", len(r.Leaving))
	}
	for _, p := range r.Leaving {
		if err := p.validate(); err != nil {
			return err
		}
	}
	if len(r.Marks) > MaxReportedMarks {
		return errors.Errorf("%d marks", len(r.Marks))
	}
	for _, m := range r.Marks {
		if err := m.validate(); err != nil {
			return err
		}
	}
	for id, l := range r.Replicas {
		for _, n := range []int{l.Requests, l.Waiting, l.ShortPauseStreams, l.MediumPauseStreams} {
			if n < 0 || n > maxReportedRequests {
				return errors.Errorf("replica %.60q: %d requests", string(id), n)
			}
		}
		if l.Tokens < 0 || l.Tokens > maxReportedTokens || l.Prefill < 0 || l.Prefill > maxReportedPrefill {
			return errors.Errorf("replica %.60q: %d tokens, prefill %s", string(id), l.Tokens, l.Prefill)
		}
	}
	for s, o := range r.OfferedLoad {
		// The negation also rejects values that are no numbers.
		if !(o.Short >= 0 && o.Short <= maxReportedOffered && o.Long >= 0 && o.Long <= maxReportedOffered) {
			return errors.Errorf("service %.60q: offered load %g, %g", string(s), o.Short, o.Long)
		}
	}
	return nil
}

// attempt is one attempt in flight.
type attempt struct {
	// parts are the replicas with their parts of the prefill. The first replica responds.
	parts []part
	// tokens is the memory at the first replica, in tokens.
	tokens int
	// maxPause is the longest pause between events with which the stream is on time; zero if
	// there is no limit.
	maxPause time.Duration
	// slots is the number of slots of the first replica; zero if the service has no engine.
	slots int
	// hasFirstEvent is set by the first event.
	hasFirstEvent bool
	// placedAt is the time at which the attempt was placed.
	placedAt time.Time
	// expected is the estimated time to the first event.
	expected time.Duration
}

// part is the part of an attempt that one replica serves.
type part struct {
	replica goose.ReplicaID
	prefill time.Duration
	// reservedTokens is the memory reserved by a ticket at a helper, in tokens.
	reservedTokens int
}

// load returns the load that the attempt adds to its i-th replica at the given time. A
// prefill whose estimated time has passed counts as done except for a tenth.
func (a *attempt) load(i int, now time.Time) Load {
	var l Load
	l.Tokens = a.parts[i].reservedTokens
	if i == 0 {
		l.Requests, l.Tokens = 1, a.tokens
		switch {
		case a.maxPause > 0 && a.maxPause <= shortPause:
			l.ShortPauseStreams = 1
		case a.maxPause > 0 && a.maxPause <= mediumPause:
			l.MediumPauseStreams = 1
		}
	}
	if !a.hasFirstEvent {
		l.Waiting = l.Requests
		l.Prefill = remainingPrefill(a, i, now)
	}
	return l
}

// remainingPrefill returns the estimated rest of a prefill: all of it until the estimated
// start of the prefill, and never less than a tenth before the first event.
func remainingPrefill(a *attempt, i int, now time.Time) time.Duration {
	total := a.parts[i].prefill
	elapsed := now.Sub(a.placedAt) - (a.expected - total)
	if elapsed <= 0 {
		return total
	}
	return max(total-elapsed, total/10)
}
