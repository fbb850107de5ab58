// Package gooseplacement chooses the replicas of a request by the requests that this
// instance and its peers have in flight. It does not use the network, and callers pass the
// current time.
package gooseplacement

import (
	"time"

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

// OfferedLoad is the offered load of a service: the seconds of prefill that arrive per second,
// separately for short and long prompts.
type OfferedLoad struct {
	Short float64 `cbor:"1,keyasint,omitempty"`
	Long  float64 `cbor:"2,keyasint,omitempty"`
}

// Report is the load of one instance, as sent to its peers.
type Report struct {
	Replicas    map[goose.ReplicaID]Load          `cbor:"1,keyasint,omitempty"`
	OfferedLoad map[goose.ServiceName]OfferedLoad `cbor:"2,keyasint,omitempty"`
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
