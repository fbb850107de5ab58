package gooselimit

import (
	"math"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func init() {
	goose.RegisterLongBound("half", func() goose.LongBound { return Half{} })
	goose.RegisterLongBound("adaptive", func() goose.LongBound { return NewAdaptive() })
}

// Half lets long prefills run on half of a pool. It is the baseline to compare
// with, and the least that Adaptive allows.
type Half struct{}

// Limit returns half of the replicas, at least 1.
func (Half) Limit(n int) int { return max(1, n/2) }

// Observe has no effect.
func (Half) Observe(goose.FirstToken) bool { return false }

const (
	// sampleWeight is the weight of the newest observation in a mean: the last
	// 20 or so count.
	sampleWeight = 0.1
	// leastSamples is how many observations of each kind the ratio needs. A
	// single one beside a long prefill is no evidence, and waiting for many lets
	// short requests suffer longer.
	leastSamples = 4
	// openEvery is the number of short requests between two steps towards the
	// open bound. Routing keeps most of them away from long prefills, so that
	// waiting for observations beside these alone takes longer than a burst of
	// long prompts lasts.
	openEvery = 16
	// openStep is the part of the way to the open bound that one step goes.
	openStep = 0.5
	// Below openBelow the bound opens, above closeAbove it closes, and between
	// them it stays. An engine that honours priorities makes a short request
	// wait for the end of one step, which can double the time of the shortest
	// prompts; one that computes in order of arrival makes it wait for the rest
	// of a long prefill, ten times as long and more.
	openBelow  = 2.0
	closeAbove = 3.0
	// overheadTokens stands for the part of a first token's time that does not
	// depend on the prompt: one step of an engine.
	overheadTokens = 512
)

// mean is the smoothed square of the time to first token per prompt token.
// Squares give weight to the few requests that wait very long: most requests on
// the replicas of a giant prompt do not wait, because its segments run one after
// the other.
type mean struct {
	square float64
	count  int
}

func (m *mean) add(v float64) {
	m.count++
	// The first observations weigh equally, so that no single one dominates.
	m.square += (v*v - m.square) * max(sampleWeight, 1/float64(m.count))
}

// Adaptive lets long prefills run on half of a pool while short requests that
// run beside them wait much longer for their first token than others, and on
// all replicas while they do not or none runs beside them.
type Adaptive struct {
	beside, apart mean
	// open is the part of the way from half of the pool to all of it, from 0 to 1.
	open float64
	// since counts the observations since the last step.
	since int
}

// NewAdaptive returns a bound that starts at half of the pool.
func NewAdaptive() *Adaptive { return &Adaptive{} }

// Limit returns a bound from half of the replicas to all of them.
func (a *Adaptive) Limit(n int) int {
	half := Half{}.Limit(n)
	return half + int(a.open*float64(max(n, half)-half))
}

// Ratio returns how many times as long short requests wait beside a long
// prefill, by the root mean square; false before there are enough observations.
func (a *Adaptive) Ratio() (float64, bool) {
	if a.beside.count < leastSamples || a.apart.count < leastSamples || a.apart.square <= 0 {
		return 0, false
	}
	return math.Sqrt(a.beside.square / a.apart.square), true
}

// Observe notes a short request that finished. The bound closes at once and
// opens in steps: short requests take precedence.
func (a *Adaptive) Observe(o goose.FirstToken) bool {
	if o.Wait <= 0 || o.PromptTokens < 0 {
		return false
	}
	v := o.Wait.Seconds() / float64(o.PromptTokens+overheadTokens)
	if o.Beside {
		a.beside.add(v)
	} else {
		a.apart.add(v)
	}
	a.since++
	ratio, known := a.Ratio()
	was := a.open
	switch {
	case known && ratio > closeAbove:
		a.open, a.since = 0, 0
	case known && ratio >= openBelow:
	case a.since >= openEvery:
		a.open, a.since = min(1, a.open+openStep), 0
	}
	return a.open != was
}
