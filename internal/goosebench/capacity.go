package goosebench

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// capacitySampleDuration is the length of the plan that gives the mean cost of a
// request. It holds enough requests that the mean varies by only about 1% between
// seeds.
const capacitySampleDuration = 10_000 * time.Second

// setCapacityRate sets the rate of model requests to that at which the engines of the
// fleet are fully used.
func (o *options) setCapacityRate() error {
	if o.fleet == "" || o.engineFlags != "" {
		return errors.New("--at-capacity: needs --fleet without --engine-flags")
	}
	spec, err := goosefleet.Preset(o.fleet)
	if err != nil {
		return err
	}
	s, ok := spec.ModelService()
	if !ok {
		return errors.New("--at-capacity: the fleet has no model service")
	}
	o.load.ModelRate = capacityRate(o.load, goosestand.DefaultEngineConfig(), s.Replicas, o.timeScale)
	return nil
}

// capacityRate returns the rate of model requests that keeps all replicas busy,
// calculated from the configured speeds of the engines without cache hits.
func capacityRate(l Load, c goosestand.EngineConfig, replicas int, scale float64) float64 {
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate = capacitySampleDuration, 1, 0, 0
	var sum time.Duration
	plan := NewPlan(l)
	for _, q := range plan {
		sum += engineTime(q, c)
	}
	return float64(replicas) * scale * float64(len(plan)) / sum.Seconds()
}

// engineTime returns the time that a request takes of a fully used engine: its prefill
// with the fixed cost of the steps that the prefill fills, and its share of the steps
// that generate its output.
func engineTime(q Request, c goosestand.EngineConfig) time.Duration {
	n := float64(q.PromptTokens)
	prefill := n / c.PrefillRate * (1 + n/2/float64(c.AttentionTokens))
	steps := n / float64(c.PrefillChunk)
	return time.Duration(prefill*float64(time.Second)+steps*float64(c.StepBase)) + time.Duration(q.OutputTokens)*c.StepPerStream
}
