package goosehost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// newConnGrace is how long a new connection may wait for its first request while the
	// instance drains. Callers send it at once, but it may still be on its way.
	newConnGrace = time.Second
	// drainCheckInterval is the interval at which the connections are checked.
	drainCheckInterval = 10 * time.Millisecond
)

// connTracker knows the connections of a server that may have a request. The shutdown of
// net/http does not serve requests that it reads after its begin, so connections are waited
// for before it.
type connTracker struct {
	mu sync.Mutex
	// openSince is when each new connection was accepted. It is zero for connections with a
	// request.
	openSince map[net.Conn]time.Time
}

func newConnTracker() *connTracker { return &connTracker{openSince: map[net.Conn]time.Time{}} }

// handleState records a change of a connection; it is the ConnState of a http.Server.
func (t *connTracker) handleState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.openSince[conn] = time.Now()
	case http.StateActive:
		t.openSince[conn] = time.Time{}
	default:
		delete(t.openSince, conn)
	}
}

// busy reports whether any connection has a request, or is new and may still get one.
func (t *connTracker) busy(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.openSince {
		if since.IsZero() || now.Sub(since) < newConnGrace {
			return true
		}
	}
	return false
}

// wait returns when no connection is busy or ctx ends.
func (t *connTracker) wait(ctx context.Context) {
	for t.busy(time.Now()) && goose.Sleep(ctx, drainCheckInterval) {
	}
}

// drainServer closes a server once every connection that was accepted has its response, or
// when ctx ends.
func drainServer(ctx context.Context, server *http.Server, callers *drainingListener, conns *connTracker) {
	callers.Drain(stopMargin)
	// This closes idle connections, and the others after their response.
	server.SetKeepAlivesEnabled(false)
	conns.wait(ctx)
	_ = server.Close()
}
