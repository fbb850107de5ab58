package goosebench

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// capacitySample is the length of the plan from which the mean cost of a
// request is taken; lengths are drawn often enough for a scatter of about 1%.
const capacitySample = 10_000 * time.Second

// setCapacity sets the rate of model requests at which the fleet's engines are
// just full.
func (o *options) setCapacity() error {
	if o.fleet == "" || o.engine != "" {
		return errors.New("--at-capacity: needs --fleet with engines of the stated speeds")
	}
	spec, err := goosefleet.Preset(o.fleet)
	if err != nil {
		return err
	}
	s, ok := spec.Model()
	if !ok {
		return errors.New("--at-capacity: the fleet has no model service")
	}
	o.load.ModelRate = capacity(o.load, goosestand.DefaultEngineConfig(), s.Replicas, o.scale)
	return nil
}

// capacity returns the rate of model requests that keeps the replicas busy all
// the time, by the stated speeds of the engines and without cache hits.
func capacity(l Load, c goosestand.EngineConfig, replicas int, scale float64) float64 {
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate = capacitySample, 1, 0, 0
	var sum time.Duration
	plan := NewPlan(l)
	for _, q := range plan {
		sum += engineTime(q, c)
	}
	return float64(replicas) * scale * float64(len(plan)) / sum.Seconds()
}

// engineTime is the time of a full engine that a request takes: its prefill
// with the fixed cost of the steps that it fills, and its share of the steps in
// which its output is made.
func engineTime(q Request, c goosestand.EngineConfig) time.Duration {
	n := float64(q.PromptTokens)
	prefill := n / c.PrefillRate * (1 + n/2/float64(c.AttentionTokens))
	steps := n / float64(c.PrefillChunk)
	return time.Duration(prefill*float64(time.Second)+steps*float64(c.StepBase)) + time.Duration(q.OutputTokens)*c.StepPerStream
}
