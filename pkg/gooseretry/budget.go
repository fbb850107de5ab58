// Package gooseretry limits retries with a budget for each service, so that they cannot
// multiply the load of an overloaded or failing service.
package gooseretry

import (
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// stepsPerWindow is the number of time steps into which a window is divided for counting.
const stepsPerWindow = 20

// Options configures a Budget. All fields are required.
type Options struct {
	// Window is the length of the sliding window over which attempts are counted.
	Window time.Duration
	// Ratio and Burst define the number of retries that all instances together may send in
	// one window: Ratio times the number of requests, plus Burst.
	Ratio, Burst float64
	// Instances returns the number of instances that share Burst.
	Instances func(now time.Time) int
	// UsableShare is the part of the budget that may be used. It is below 1 because attempts are
	// counted where they arrive, slightly later than they were sent.
	UsableShare float64
}

// Budget counts the requests and retries of each service. It is safe for concurrent
// use.
type Budget struct {
	opts Options
	mu   sync.Mutex
	// origin is the start of the first step. Steps are measured from it with the monotonic
	// clock, because the wall clock may jump, so that retries would be lost or counted twice.
	origin time.Time
	// services maps each service to its counts.
	services map[goose.ServiceName]*windowCounts
}

// windowCounts is a ring buffer with the counts of the steps of one window. Slot s holds
// the counts of step number stepOf[s].
type windowCounts struct {
	stepOf   [stepsPerWindow]int64
	requests [stepsPerWindow]int
	retries  [stepsPerWindow]int
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{opts: o, services: map[goose.ServiceName]*windowCounts{}}
}

// CountRequest counts a request of a service.
func (b *Budget) CountRequest(s goose.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(s, now)
	c.requests[i]++
}

// TakeRetry takes one retry from the budget. It returns false if the budget is exhausted.
func (b *Budget) TakeRetry(s goose.ServiceName, now time.Time) bool {
	instances := max(b.opts.Instances(now), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	c, i := b.slot(s, now)
	requests, retries := c.sumWindow(b.stepNumber(now))
	limit := b.opts.UsableShare * (b.opts.Ratio*float64(requests) + b.opts.Burst/float64(instances))
	if float64(retries+1) > limit {
		return false
	}
	c.retries[i]++
	return true
}

// stepNumber returns the number of the time step that contains now.
func (b *Budget) stepNumber(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / max(b.opts.Window/stepsPerWindow, 1))
}

// slot returns the counts of a service and the index of the present step's slot, which it
// resets if the slot still holds an earlier step.
func (b *Budget) slot(s goose.ServiceName, now time.Time) (*windowCounts, int) {
	c, ok := b.services[s]
	if !ok {
		c = &windowCounts{}
		b.services[s] = c
	}
	step := b.stepNumber(now)
	i := int(((step % stepsPerWindow) + stepsPerWindow) % stepsPerWindow)
	if c.stepOf[i] != step {
		c.stepOf[i], c.requests[i], c.retries[i] = step, 0, 0
	}
	return c, i
}

// sumWindow returns the sums over the window that ends with the given step.
func (c *windowCounts) sumWindow(step int64) (requests, retries int) {
	for i, slotStep := range c.stepOf {
		if slotStep > step-stepsPerWindow && slotStep <= step {
			requests += c.requests[i]
			retries += c.retries[i]
		}
	}
	return requests, retries
}
