package goosehost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseforward"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehead"
	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// defaultHeadTime is how long a new connection may wait for the head of its first request
	// while the instance drains, if the routing sets no timeout for it.
	defaultHeadTime = 3 * time.Second
	// reuseGrace is how long a connection stays open after a response. Its caller may be
	// sending the next request: if the instance drains, the response may have begun before.
	reuseGrace = 500 * time.Millisecond
	// drainCheckInterval is the interval at which the connections are checked.
	drainCheckInterval = 10 * time.Millisecond
)

// connState is what a connection of a caller is used for.
type connState string

const (
	// connNew means that the connection has brought no byte.
	connNew connState = "new"
	// connReceiving means that a part of the head of a request has arrived.
	connReceiving connState = "receiving"
	// connServing means that a request waits for the end of its response.
	connServing connState = "serving"
	// connIdle means that no byte has arrived since the last response.
	connIdle connState = "idle"
	// connClosed means that the instance has closed the connection.
	connClosed connState = "closed"
)

// callerConn is a connection of a caller that can be closed without the loss of a request: once
// a byte of a request has been read, close fails, and once close has succeeded, no byte is read.
type callerConn struct {
	*gooselisten.Conn
	limits *callerLimits
	// received is what has been read from the connection.
	received atomic.Int64

	mu    sync.Mutex
	state connState
	// since is when the state began.
	since time.Time
	// head is the memory of the current request's head, and pacer paces its reads.
	head  goosehead.Head
	pacer readPacer
}

// callerListener is a listener whose connections are callerConns.
type callerListener struct {
	*gooselisten.Listener
	limits *callerLimits
}

// callerLimits are what all connections of callers share.
type callerLimits struct {
	headMemory *goosehead.Memory
	// headsCut counts the connections that were closed because there was no memory for a head.
	headsCut *metrics.Counter
	log      *slog.Logger
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if c, ok := conn.(*gooselisten.Conn); ok && err == nil {
		return &callerConn{Conn: c, limits: l.limits, state: connNew, since: time.Now(), head: l.limits.headMemory.Begin()}, nil
	}
	return conn, err
}

// connContext gives the requests on a connection access to it; it is the ConnContext of a
// http.Server.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		return gooseforward.WithConn(ctx, c)
	}
	return ctx
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	time.Sleep(c.readPause(len(p)))
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if n > 0 && !c.receive(p[:n], len(p)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// ReceivedBytes implements goose.CallerConn.
func (c *callerConn) ReceivedBytes() int64 { return c.received.Load() }

func (c *callerConn) readPause(bufferBytes int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pacer.pause(bufferBytes)
}

// receive records that bytes have arrived. It returns false if the connection is closed, which
// it also does if there is no memory for the head of the request.
func (c *callerConn) receive(part []byte, bufferBytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer = c.pacer.withRead(len(part), bufferBytes)
	if c.state == connNew || c.state == connIdle {
		c.state, c.since = connReceiving, time.Now()
	}
	if c.state == connReceiving && !c.head.Add(part) {
		c.limits.headsCut.Inc()
		gooseevent.HeadCut.Log(c.limits.log, slog.String("address", c.RemoteAddr().String()))
		c.state = connClosed
		_ = c.Close()
	}
	return c.state != connClosed
}

// setState records a state unless the connection is closed.
func (c *callerConn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connClosed {
		c.state, c.since = s, time.Now()
	}
	if s == connIdle || s == connClosed {
		c.head.Release()
		c.pacer = readPacer{}
	}
}

func (c *callerConn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// lastChange returns when the state began.
func (c *callerConn) lastChange() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// unused reports whether no request is expected on the connection; headTime is how long a new
// connection may wait for one.
func (c *callerConn) unused(now time.Time, headTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusedLocked(now, headTime)
}

func (c *callerConn) unusedLocked(now time.Time, headTime time.Duration) bool {
	switch c.state {
	case connNew:
		return now.Sub(c.since) >= headTime
	case connIdle:
		return now.Sub(c.since) >= reuseGrace
	}
	return c.state == connClosed
}

// closeUnused closes the connection if it is unused, and reports whether it is closed.
func (c *callerConn) closeUnused(now time.Time, headTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unusedLocked(now, headTime) {
		return false
	}
	if c.state != connClosed {
		c.state = connClosed
		_ = c.Close()
	}
	return true
}

// connTracker knows the open connections of a server whose listener returns callerConns. The
// shutdown of net/http does not serve requests that it reads after its begin, so connections
// are waited for before it.
type connTracker struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{open: map[*callerConn]struct{}{}} }

// handleState records a change of a connection; it is the ConnState of a http.Server.
func (t *connTracker) handleState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open[c] = struct{}{}
	case http.StateActive:
		c.setState(connServing)
	case http.StateIdle:
		c.setState(connIdle)
	default:
		c.setState(connClosed)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, c)
	}
}

// conns returns the open connections.
func (t *connTracker) conns() []*callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*callerConn, 0, len(t.open))
	for c := range t.open {
		all = append(all, c)
	}
	return all
}

// closeUnused closes all connections if none is in use, and reports whether all are closed.
// Idle connections stay open until then, so that callers which still use them get a response.
func (t *connTracker) closeUnused(now time.Time, headTime time.Duration) bool {
	all := t.conns()
	for _, c := range all {
		if !c.unused(now, headTime) {
			return false
		}
	}
	closed := true
	for _, c := range all {
		closed = c.closeUnused(now, headTime) && closed
	}
	return closed
}

// evictShare is the part of the open connections that closeLongestIdle closes at most, so that it
// need not look at all of them again for each new connection.
const evictShare = 16

// closeLongestIdle closes those connections that have been idle for the longest time, and
// reports whether it has closed any. Connections that were used just now stay open.
func (t *connTracker) closeLongestIdle() bool {
	now := time.Now()
	all := t.conns()
	idle := slices.DeleteFunc(all, func(c *callerConn) bool { return c.currentState() != connIdle })
	slices.SortFunc(idle, func(a, b *callerConn) int { return a.lastChange().Compare(b.lastChange()) })
	closed := false
	for _, c := range idle[:min(len(idle), 1+len(idle)/evictShare)] {
		// The time for a head is of no importance here, since new connections are not idle.
		closed = c.closeUnused(now, defaultHeadTime) || closed
	}
	return closed
}

// wait returns when all connections are closed, or when ctx ends.
func (t *connTracker) wait(ctx context.Context, headTime time.Duration) {
	for !t.closeUnused(time.Now(), headTime) && goose.Sleep(ctx, drainCheckInterval) {
	}
}

// logCut logs the number of connections that are still in use, in each state.
func (t *connTracker) logCut(log *slog.Logger) {
	count := map[connState]int{}
	for _, c := range t.conns() {
		count[c.currentState()]++
	}
	if n := count[connReceiving] + count[connServing]; n > 0 {
		gooseevent.ConnectionsCut.Log(log, slog.Int("serving", count[connServing]), slog.Int("receiving", count[connReceiving]),
			slog.Int("new", count[connNew]), slog.Int("idle", count[connIdle]))
	}
}
