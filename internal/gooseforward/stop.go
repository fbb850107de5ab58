package gooseforward

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// leavingRetryAfter is the Retry-After of an instance that stops: others can take the request at
// once.
const leavingRetryAfter = 100 * time.Millisecond

// endsBeforeStop returns a refusal if the instance drains and stops before the deadline of the
// request. The deadline is the only bound on the duration of a request that is sure to hold.
func (c *call) endsBeforeStop() (goose.Refusal, bool) {
	stopAt := c.o.StopAt()
	if stopAt.IsZero() || !c.deadline.After(stopAt) {
		return goose.Refusal{}, true
	}
	return goose.NotRunRefusal(goose.CodeLeaving, "this instance stops before the deadline of the request").
		WithReason("instance-stopping").WithRetryAfter(leavingRetryAfter), false
}

// drainWatch refuses a request whose body is still arriving when the instance begins to drain.
type drainWatch struct {
	call *call
	stop func() bool
	// done is closed when refuse has returned.
	done chan struct{}
	// refused is set if the caller has the refusal. It may be read once done is closed.
	refused bool
}

// watchDrain starts the watch. It refuses the request at once if the instance already drains.
func (c *call) watchDrain() *drainWatch {
	w := &drainWatch{call: c, done: make(chan struct{})}
	w.stop = context.AfterFunc(c.o.Draining, w.refuse)
	return w
}

// refuse sends the refusal while the body is still being read.
func (w *drainWatch) refuse() {
	defer close(w.done)
	refusal, ok := w.call.endsBeforeStop()
	if ok {
		return
	}
	w.call.w.Header().Set("Connection", "close")
	w.call.sendBeforeBody(refusal)
	w.refused = true
}

// end ends the watch and reports whether it has refused the request.
func (w *drainWatch) end() bool {
	if w.stop() {
		return false
	}
	<-w.done
	return w.refused
}
