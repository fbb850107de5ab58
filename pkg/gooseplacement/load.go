// Package gooseplacement chooses the replicas of a request from what this instance
// and its peers have in flight. It needs no network and takes the time as a value.
package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Load is what an instance has in flight on one replica.
type Load struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	// Waiting is the part of Requests without a first event.
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Tokens is the memory of the requests, prompts and expected outputs.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Prefill is the engine time to read the prompts of waiting requests.
	Prefill time.Duration `cbor:"4,keyasint,omitempty"`
	// Tight is the number of streams that a long prefill makes late.
	Tight int `cbor:"5,keyasint,omitempty"`
	// Medium is the number of streams that only a very long part of a prompt makes late.
	Medium int `cbor:"6,keyasint,omitempty"`
}

func (l Load) plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, Waiting: l.Waiting + o.Waiting, Tokens: l.Tokens + o.Tokens,
		Prefill: l.Prefill + o.Prefill, Tight: l.Tight + o.Tight, Medium: l.Medium + o.Medium,
	}
}

// Work is the engine time that requests of a service bring in each second, by the
// length of their prompts.
type Work struct {
	Short float64 `cbor:"1,keyasint,omitempty"`
	Long  float64 `cbor:"2,keyasint,omitempty"`
}

// Report is what an instance tells its peers.
type Report struct {
	Replicas map[goose.ReplicaID]Load   `cbor:"1,keyasint,omitempty"`
	Work     map[goose.ServiceName]Work `cbor:"2,keyasint,omitempty"`
}

// flight is one attempt in flight.
type flight struct {
	// parts are the replicas with their share of the prefill; the first one answers.
	parts  []part
	tokens int
	// pause is the longest one between events of a stream in time; zero for any.
	pause time.Duration
	// started is set by the first event.
	started bool
	begun   time.Time
	// expected is the estimated time to the first event.
	expected time.Duration
}

type part struct {
	replica goose.ReplicaID
	prefill time.Duration
	// reserved is the memory that a ticket holds at a helper.
	reserved int
}

// load returns what the flight adds to its i-th replica at now: a prefill that has
// taken its time counts as done.
func (f *flight) load(i int, now time.Time) Load {
	var l Load
	l.Tokens = f.parts[i].reserved
	if i == 0 {
		l.Requests, l.Tokens = 1, f.tokens
		switch {
		case f.pause > 0 && f.pause <= tightPause:
			l.Tight = 1
		case f.pause > 0 && f.pause <= mediumPause:
			l.Medium = 1
		}
	}
	if !f.started {
		l.Waiting = l.Requests
		l.Prefill = remaining(f, i, now)
	}
	return l
}

// remaining is the part of a prefill that is still to come. Until the estimated
// start of the reading it is the whole one; a tenth stays until the first event.
func remaining(f *flight, i int, now time.Time) time.Duration {
	whole := f.parts[i].prefill
	late := now.Sub(f.begun) - (f.expected - whole)
	if late <= 0 {
		return whole
	}
	return max(whole-late, whole/10)
}
