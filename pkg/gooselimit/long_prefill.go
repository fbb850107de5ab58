package gooselimit

import (
	"math"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func init() {
	goose.RegisterLongPrefillBound("half", func() goose.LongPrefillBound { return HalfBound{} })
	goose.RegisterLongPrefillBound("adaptive", func() goose.LongPrefillBound { return NewAdaptiveBound() })
}

// HalfBound lets long prefills run on half of the replicas of a pool. It is the baseline for
// comparisons and the lower bound of AdaptiveBound.
type HalfBound struct{}

// Limit returns half of the replicas, at least 1.
func (HalfBound) Limit(n int) int { return max(1, n/2) }

// Observe has no effect: the bound is constant.
func (HalfBound) Observe(goose.TTFTSample) bool { return false }

const (
	// sampleWeight is the weight of the newest observation in a moving average. About the
	// last 20 observations count.
	sampleWeight = 0.1
	// minSamples is the number of observations of each kind that the ratio requires. A
	// single observation alongside a long prefill is no evidence, and requiring many would slow
	// down short requests for longer.
	minSamples = 4
	// requestsPerStep is the number of short requests after which the bound is raised by
	// one step. Requests without a long prefill alongside them count too: routing keeps most
	// short requests away from long prefills, so that waiting for observations alongside long
	// prefills alone would take longer than a burst of long prompts lasts.
	requestsPerStep = 16
	// raiseStep is the part of the range from half of the pool to all of it by which one step
	// raises the bound.
	raiseStep = 0.5
	// raiseBelowRatio and lowerAboveRatio are the thresholds of the ratio: the bound is raised
	// while the ratio is below the first, lowered when it is above the second, and unchanged
	// in between. An engine that honours priorities delays a short request until the end of
	// one step, which can double the time to first token of the shortest prompts. An engine
	// that computes in order of arrival delays it by the rest of a long prefill, which makes
	// that time ten times as long or longer.
	raiseBelowRatio = 2.0
	lowerAboveRatio = 3.0
	// overheadTokens is the part of the time to first token that does not depend on the
	// prompt, one engine step, expressed in prompt tokens.
	overheadTokens = 512
)

// meanSquare is the moving average of the square of the time to first token per prompt
// token. The square gives more weight to the few requests that wait very long: most
// requests on the replicas of a giant prompt do not wait, because its segments run one
// after the other.
type meanSquare struct {
	value float64
	count int
}

func (m *meanSquare) add(v float64) {
	m.count++
	// The first observations have equal weights, so that no single one dominates.
	m.value += (v*v - m.value) * max(sampleWeight, 1/float64(m.count))
}

// AdaptiveBound limits long prefills to half of the replicas of a pool while short
// requests that run alongside them wait much longer for their first token than other
// short requests. It allows all replicas while they do not, or while no short request
// runs alongside a long prefill.
type AdaptiveBound struct {
	// alongsideLong and withoutLong average the short requests with and without a long prefill
	// on the same replica.
	alongsideLong, withoutLong meanSquare
	// position is the position of the bound between half of the pool (0) and all of it (1).
	position float64
	// sinceStep is the number of observations since the last step.
	sinceStep int
}

// NewAdaptiveBound returns a bound that starts at half of the pool.
func NewAdaptiveBound() *AdaptiveBound { return &AdaptiveBound{} }

// Limit returns a bound from half of the replicas to all of them.
func (a *AdaptiveBound) Limit(n int) int {
	half := HalfBound{}.Limit(n)
	return half + int(a.position*float64(max(n, half)-half))
}

// Ratio returns how many times as long short requests wait alongside a long prefill as other
// short requests, by the root mean square. It returns false if there are not enough
// observations.
func (a *AdaptiveBound) Ratio() (float64, bool) {
	if a.alongsideLong.count < minSamples || a.withoutLong.count < minSamples || a.withoutLong.value <= 0 {
		return 0, false
	}
	return math.Sqrt(a.alongsideLong.value / a.withoutLong.value), true
}

// Observe records a finished short request. The bound is lowered at once but raised in steps,
// since short requests take precedence.
func (a *AdaptiveBound) Observe(o goose.TTFTSample) bool {
	if o.TTFT <= 0 || o.PromptTokens < 0 {
		return false
	}
	secondsPerToken := o.TTFT.Seconds() / float64(o.PromptTokens+overheadTokens)
	if o.DuringLongPrefill {
		a.alongsideLong.add(secondsPerToken)
	} else {
		a.withoutLong.add(secondsPerToken)
	}
	a.sinceStep++
	ratio, known := a.Ratio()
	previous := a.position
	switch {
	case known && ratio > lowerAboveRatio:
		a.position, a.sinceStep = 0, 0
	case known && ratio >= raiseBelowRatio:
	case a.sinceStep >= requestsPerStep:
		a.position, a.sinceStep = min(1, a.position+raiseStep), 0
	}
	return a.position != previous
}
