package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Penalties that are added to the estimated time to the first event.
const (
	// requestPenalty is the penalty for each request in flight. It spreads requests over
	// replicas with equal estimates.
	requestPenalty = 2 * time.Millisecond
	// distancePenalty is the penalty for a replica in another data centre: slightly more
	// than the round trip.
	distancePenalty = 3 * time.Millisecond
	// failurePenalty is the cost of a failed attempt, which is retried on another replica.
	failurePenalty = 800 * time.Millisecond
	// fullPenalty ranks replicas without a free slot last.
	fullPenalty = 5 * time.Second
	// delayedStreamPenalty is the cost of each stream that a long prefill delays
	// beyond its longest pause.
	delayedStreamPenalty = 100 * time.Millisecond
	// crowdPenalty is the cost of each stream that several concurrent short prefills delay
	// beyond its longest pause.
	crowdPenalty = 15 * time.Millisecond
	// poolPenalty keeps short prompts off the replicas of the pool for long prompts, and
	// outsidePoolPenalty keeps long prompts off all other replicas.
	poolPenalty        = 200 * time.Millisecond
	outsidePoolPenalty = 1500 * time.Millisecond
)

// crowdedPrefill is the pending prefill time of a replica above which another short prompt
// delays the other streams of the replica beyond their longest pause.
const crowdedPrefill = 90 * time.Millisecond

// setCost sets the cost of a replica for a request.
func (pl *Placer) setCost(c *candidate, e goose.EngineProfile, short bool, tokens int, now time.Time) {
	wait := c.load.Prefill + passDuration(e, c.load)
	cost := time.Duration(float64(wait) * c.state.health.slownessAt(now))
	cost += time.Duration(c.load.Requests)*requestPenalty + pl.distance(c.DataCentre)
	cost += time.Duration(c.state.health.failureRate * float64(failurePenalty))
	switch {
	case short && c.inLongPool:
		cost += poolPenalty
	case short && c.load.Prefill > crowdedPrefill:
		// One engine pass would prefill so many prompts that the other streams pause.
		cost += time.Duration(c.load.ShortPauseStreams) * crowdPenalty
	case !short && !c.inLongPool:
		cost += outsidePoolPenalty + time.Duration(c.load.ShortPauseStreams)*delayedStreamPenalty
	case !short:
		cost += time.Duration(c.load.ShortPauseStreams) * delayedStreamPenalty
	}
	if pl.table.split() {
		cost += scarcity(e, c.load)
	}
	if c.load.Requests >= e.Slots || short && c.load.Tokens+tokens > e.MemoryTokens {
		cost += fullPenalty
	}
	c.cost = cost
}

// passDuration returns the duration of one engine pass under the load. The engine starts the
// prefill of a new prompt only after the current pass.
func passDuration(e goose.EngineProfile, l Load) time.Duration {
	decoding := l.Requests - l.Waiting
	step := e.StepTime + time.Duration(max(decoding, 1))*e.StepTimePerSequence +
		time.Duration(float64(l.Tokens)/1000*float64(e.StepTimePerThousandTokens))
	return step * time.Duration(max(e.StepsPerPass, 1))
}
