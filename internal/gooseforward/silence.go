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
	// leastSilence lets a replica pass over an ordinary hold-up, such as the stall of
	// a helper.
	leastSilence = 2500 * time.Millisecond
	// expectedSilence is the multiple of the estimated time to the first event.
	expectedSilence = 4
	// objectiveSilence is the multiple of the objective of a plain request.
	objectiveSilence = 2
	// leastPause and pauseMultiple bound the pause inside a stream.
	leastPause    = 1200 * time.Millisecond
	pauseMultiple = 3
)

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
		return max(leastSilence, expectedSilence*choice.Expected)
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
	w.limit = max(leastPause, pauseMultiple*w.c.route.LongestPause)
	w.timer.Reset(w.limit)
}

// Stop ends the watch.
func (w *silenceWatch) Stop() { w.timer.Stop() }
