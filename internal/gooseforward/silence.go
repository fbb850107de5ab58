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

// errSilent ends an attempt whose replica does not answer.
var errSilent = errors.New("no answer in time")

// Bounds on the silence of a replica before another one is tried.
const (
	// leastPatience, objectivePatience and pausePatience give the pause after which
	// callers abandon a stream, before its first event and inside it: the longest of
	// leastPatience and these multiples of the objective and of the longest pause.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
	// patienceShare is the part of it for which a replica may be silent: what is left
	// has to do for another one.
	patienceShare = 0.6
	// expectedSilence is the multiple of the estimated time to the first event.
	expectedSilence = 4
	// objectiveSilence is the multiple of the objective of a plain request.
	objectiveSilence = 2
	// silenceRecheck is the pause before a silent replica is looked at again that no other
	// one could follow.
	silenceRecheck = 200 * time.Millisecond
)

// streamSilence is how long a replica may pause inside a stream of the route.
func streamSilence(r goose.Route) time.Duration {
	patience := max(leastPatience, objectivePatience*r.Objective, pausePatience*r.LongestPause)
	return time.Duration(patienceShare * float64(patience))
}

// silenceWatch ends an attempt whose replica is silent for too long, if another
// replica may get the request and the budget has a further attempt.
type silenceWatch struct {
	c      *call
	cancel context.CancelCauseFunc
	// last is set if no further replica may get the request.
	last bool
	// demand is what another replica would have to serve.
	demand gooseplacement.Demand

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchSilence watches an attempt from its start.
func (c *call) watchSilence(choice gooseplacement.Choice, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{c: c, cancel: cancel, demand: c.demand(c.begun)}
	// The call notes the replicas that it has tried while the timer may still run.
	w.demand.Avoid = maps.Clone(c.tried)
	w.last = !c.route.Repeatable() || c.runs+1 >= c.route.Attempts
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.firstSilence(choice), w.expired)
	return w
}

// firstSilence is how long the replica may take until its answer begins.
func (c *call) firstSilence(choice gooseplacement.Choice) time.Duration {
	if c.route.Kind == goose.RouteStream {
		return max(streamSilence(c.route), expectedSilence*choice.Expected)
	}
	return objectiveSilence * max(c.route.Objective, time.Millisecond)
}

// expired ends the attempt, or goes on waiting while another one cannot follow: a
// replica's silence alone is no reason to end an answer. If all replicas are full it is
// the load that makes this one silent, and another one would only add to it.
func (w *silenceWatch) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last || w.stopped {
		return
	}
	c, now := w.c, w.c.o.Clock.Now()
	w.demand.TimeLeft = c.deadline.Sub(now)
	replicas := c.o.Directory.Current().Replicas(c.service.Name)
	if c.o.Board.Offers(w.demand, replicas, now) && c.o.Budget.Retry(c.service.Name, now) {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(silenceRecheck)
}

// heard starts the watch anew after an event.
func (w *silenceWatch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(streamSilence(w.c.route))
	}
}

// Stop ends the watch.
func (w *silenceWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
