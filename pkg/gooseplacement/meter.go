package gooseplacement

import (
	"math"
	"time"
)

// meterMemory is the time over which work is averaged: shorter than the phases of
// a day's load, longer than the pauses between long prompts.
const meterMemory = 3 * time.Second

// meter averages the engine time that requests bring in each second.
type meter struct {
	short, long float64
	at          time.Time
}

// decay brings the sums, in seconds, to now.
func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		k := math.Exp(-d.Seconds() / meterMemory.Seconds())
		m.short *= k
		m.long *= k
		m.at = now
	}
}

func (m *meter) add(now time.Time, work time.Duration, short bool) {
	m.decay(now)
	if short {
		m.short += work.Seconds()
		return
	}
	m.long += work.Seconds()
}

func (m *meter) rate(now time.Time) Work {
	m.decay(now)
	return Work{Short: m.short / meterMemory.Seconds(), Long: m.long / meterMemory.Seconds()}
}
