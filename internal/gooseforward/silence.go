package gooseforward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// errSilent is the cause that cancels an attempt whose replica sends nothing for too long.
var errSilent = errors.New("replica sent nothing in time")

// Bounds on the silence of a replica before another one is tried.
const (
	// minCallerPatience, patiencePerObjective and patiencePerPause determine when callers
	// abandon a stream: after a pause, before its first event or between two events, of
	// minCallerPatience, patiencePerObjective times the objective or patiencePerPause times
	// the longest pause, whichever is longest.
	minCallerPatience    = 2 * time.Second
	patiencePerObjective = 4
	patiencePerPause     = 8
	// silenceShare is the part of that pause for which a replica may be silent. The rest
	// has to suffice for another replica.
	silenceShare = 0.6
	// silencePerExpected is the multiple of the estimated time to the first event for
	// which a replica may be silent.
	silencePerExpected = 4
	// silencePerObjective is the multiple of the objective for which a replica may be
	// silent if the request is no stream.
	silencePerObjective = 2
	// silenceRecheckInterval is how long the timer waits again if no other replica could
	// take the request of a silent one.
	silenceRecheckInterval = 200 * time.Millisecond
)

// maxStreamSilence is how long a replica may pause inside a stream of the route.
func maxStreamSilence(r goose.Route) time.Duration {
	callerPatience := max(minCallerPatience, patiencePerObjective*r.Objective, patiencePerPause*r.MaxPause)
	return time.Duration(silenceShare * float64(callerPatience))
}

// silenceTimer cancels an attempt whose replica is silent for too long, if another replica
// may take the request and the budget allows a retry.
type silenceTimer struct {
	c      *call
	cancel context.CancelCauseFunc
	// lastAttempt is set if the request may not be sent to a further replica.
	lastAttempt bool
	// demand is what another replica would have to serve.
	demand gooseplacement.Demand

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startSilenceTimer starts the timer at the start of an attempt.
func (c *call) startSilenceTimer(choice gooseplacement.Choice, cancel context.CancelCauseFunc) *silenceTimer {
	w := &silenceTimer{c: c, cancel: cancel, demand: c.demand(c.attemptStart)}
	// The map is cloned because the call may change c.tried while the timer still runs.
	w.demand.Avoid = maps.Clone(w.demand.Avoid)
	w.lastAttempt = !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.maxFirstSilence(choice), w.handleExpiry)
	return w
}

// maxFirstSilence is how long the replica may take until its response begins.
func (c *call) maxFirstSilence(choice gooseplacement.Choice) time.Duration {
	if c.route.Kind == goose.RouteStream {
		return max(maxStreamSilence(c.route), silencePerExpected*choice.Expected)
	}
	return silencePerObjective * max(c.route.Objective, time.Millisecond)
}

// handleExpiry cancels the attempt if a retry is possible, and restarts the timer
// otherwise: silence alone is no reason to break a response off. If all replicas are
// full, the load makes this replica silent, and a retry would only add to the load.
func (t *silenceTimer) handleExpiry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastAttempt || t.stopped {
		return
	}
	c, now := t.c, t.c.o.Clock.Now()
	t.demand.TimeLeft = c.deadline.Sub(now)
	replicas := c.o.Directory.Current().Replicas(c.service.Name)
	if c.o.Placer.CanPlace(t.demand, replicas, now) && c.o.Budget.TakeRetry(c.service.Name, now) {
		t.cancel(errSilent)
		return
	}
	t.timer.Reset(silenceRecheckInterval)
}

// reset restarts the timer after an event.
func (t *silenceTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(maxStreamSilence(t.c.route))
	}
}

// Stop stops the timer.
func (t *silenceTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
