package gooseforward

import (
	"context"
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

	mu    sync.Mutex
	limit time.Duration
	timer *time.Timer
}

// watchSilence watches an attempt from its start.
func (c *call) watchSilence(choice gooseplacement.Choice, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{c: c, cancel: cancel, limit: c.firstSilence(choice)}
	w.last = !c.route.Repeatable() || c.runs+1 >= c.route.Attempts
	w.timer = time.AfterFunc(w.limit, w.expired)
	return w
}

// firstSilence is how long the replica may take until its answer begins.
func (c *call) firstSilence(choice gooseplacement.Choice) time.Duration {
	if c.route.Kind == goose.RouteStream {
		return max(streamSilence(c.route), expectedSilence*choice.Expected)
	}
	return objectiveSilence * max(c.route.Objective, time.Millisecond)
}

// expired ends the attempt, or goes on waiting where another one cannot follow: a
// replica's silence alone is no reason to end an answer.
func (w *silenceWatch) expired() {
	c := w.c
	if !w.last && c.o.Budget.Retry(c.service.Name, c.o.Clock.Now()) {
		w.cancel(errSilent)
	}
}

// heard starts the watch anew after an event.
func (w *silenceWatch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = streamSilence(w.c.route)
	w.timer.Reset(w.limit)
}

// Stop ends the watch.
func (w *silenceWatch) Stop() { w.timer.Stop() }
