package gooseplacement

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the average: shorter than the phases of a day's
// load and longer than the pauses between long prompts.
const meterTimeConstant = 3 * time.Second

// loadMeter is an exponentially decaying average of the prefill time that requests add per
// second.
type loadMeter struct {
	// short and long are decaying sums of prefill time, in seconds.
	short, long float64
	// decayedTo is the time up to which the sums have decayed.
	decayedTo time.Time
}

// decay applies the decay of the sums up to now.
func (m *loadMeter) decay(now time.Time) {
	if d := now.Sub(m.decayedTo); d > 0 {
		k := math.Exp(-d.Seconds() / meterTimeConstant.Seconds())
		m.short *= k
		m.long *= k
		m.decayedTo = now
	}
}

// add counts the prefill of a request.
func (m *loadMeter) add(now time.Time, prefill time.Duration, short bool) {
	m.decay(now)
	if short {
		m.short += prefill.Seconds()
		return
	}
	m.long += prefill.Seconds()
}

// rate returns the average per second.
func (m *loadMeter) rate(now time.Time) OfferedLoad {
	m.decay(now)
	return OfferedLoad{Short: m.short / meterTimeConstant.Seconds(), Long: m.long / meterTimeConstant.Seconds()}
}
