package goosehost

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
)

const (
	// deregisterDelay is how long new connections are accepted after SIGTERM. The load
	// balancer probes the readiness each second and removes an instance after two probes
	// without a 200.
	deregisterDelay = 3 * time.Second
	// stopMargin is the time between closing the connections of callers and SIGKILL, and
	// answerMargin the time before that in which requests that still run get a final response.
	stopMargin   = 300 * time.Millisecond
	answerMargin = 200 * time.Millisecond
	// defaultStopTimeout is used if the settings contain no stop timeout.
	defaultStopTimeout = 8 * time.Second
)

// drain stops the server before SIGKILL arrives. Every connection that was accepted before
// the listener closes gets its response.
func (h *host) drain(server *http.Server, callers callerListener, conns *connTracker) {
	start := time.Now()
	total := h.settings.StopTimeout
	if total <= 0 {
		total = defaultStopTimeout
	}
	stopAt := start.Add(total - stopMargin - answerMargin)
	h.stopAt.Store(&stopAt)
	h.beginDrain()
	defer time.AfterFunc(time.Until(stopAt), h.endWork).Stop()
	gooseevent.InstanceDraining.Log(h.log, slog.Duration("limit", total))
	time.Sleep(min(deregisterDelay, total/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(total-stopMargin))
	defer cancel()
	drainServer(ctx, server, callers, conns, h.headTime(), h.log)
}

// headTime returns how long callers may take from opening a connection to the end of the head
// of their first request.
func (h *host) headTime() time.Duration {
	if t := h.directory.Current().Table; t != nil && t.Limits().HeaderTimeout > 0 {
		return t.Limits().HeaderTimeout
	}
	return defaultHeadTime
}

// stopTime returns when requests that still run get their final response; zero unless the
// instance drains.
func (h *host) stopTime() time.Time {
	if at := h.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// drainServer closes a server once every connection that was accepted has its response, or
// when ctx ends. headTime is how long a new connection may wait for its first request.
func drainServer(ctx context.Context, server *http.Server, callers callerListener, conns *connTracker, headTime time.Duration, log *slog.Logger) {
	callers.Drain(stopMargin)
	conns.wait(ctx, headTime)
	conns.logCut(log)
	_ = server.Close()
}
