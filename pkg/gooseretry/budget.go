// Package gooseretry bounds the attempts beyond the first of each request, so that
// retries cannot multiply the load of a service in trouble.
package gooseretry

import (
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// steps is the number of parts of a window that are counted apart.
const steps = 20

// Options are the figures of a budget; all are required.
type Options struct {
	// Window is the sliding time over which attempts are counted.
	Window time.Duration
	// Ratio and Burst allow Ratio x requests + Burst further attempts in a window,
	// over all instances.
	Ratio, Burst float64
	// Instances returns the number of instances that share Burst.
	Instances func(now time.Time) int
	// Use is the part of the budget that is used, below 1: attempts are counted where
	// they arrive, a little later than they are sent.
	Use float64
}

// Budget counts the requests and retries of each service. It is safe for concurrent
// use.
type Budget struct {
	o  Options
	mu sync.Mutex
	// origin is the time of the first step. Steps count from it by the steady clock: the
	// time of day may jump, and would forget retries or count them twice.
	origin time.Time
	// services has the counts of each service, a step at a time.
	services map[goose.ServiceName]*counts
}

// counts are those of the steps of one window; slot s belongs to step number at[s].
type counts struct {
	at       [steps]int64
	requests [steps]int
	retries  [steps]int
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{o: o, services: map[goose.ServiceName]*counts{}}
}

// Request counts a request of a service.
func (b *Budget) Request(s goose.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(s, now)
	c.requests[i]++
}

// Retry takes one further attempt from the budget and returns false if there is
// none left.
func (b *Budget) Retry(s goose.ServiceName, now time.Time) bool {
	instances := max(b.o.Instances(now), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(s, now)
	requests, retries := c.within(b.step(now))
	limit := b.o.Use * (b.o.Ratio*float64(requests) + b.o.Burst/float64(instances))
	if float64(retries+1) > limit {
		return false
	}
	c.retries[i]++
	return true
}

// step numbers the parts of time.
func (b *Budget) step(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / max(b.o.Window/steps, 1))
}

func (b *Budget) slot(s goose.ServiceName, now time.Time) (*counts, int) {
	c, ok := b.services[s]
	if !ok {
		c = &counts{}
		b.services[s] = c
	}
	step := b.step(now)
	i := int(((step % steps) + steps) % steps)
	if c.at[i] != step {
		c.at[i], c.requests[i], c.retries[i] = step, 0, 0
	}
	return c, i
}

// within sums the steps of the window that ends with step.
func (c *counts) within(step int64) (requests, retries int) {
	for i, at := range c.at {
		if at > step-steps && at <= step {
			requests += c.requests[i]
			retries += c.retries[i]
		}
	}
	return requests, retries
}
