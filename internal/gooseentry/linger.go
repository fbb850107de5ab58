package gooseentry

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehead"
	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// lingerTimeout bounds how long a closed connection still accepts data from its
// caller.
const lingerTimeout = 5 * time.Second

// NewListener wraps a listener so that its connections close without a TCP
// reset. A refusal is often sent before the request's body was read. Closing a
// connection with unread bytes resets it, and the reset can destroy the refusal
// before the caller has read it. The heads of requests share the given memory, and those
// that are cut are logged; nil means no bound.
func NewListener(l net.Listener, heads *goosehead.Memory, log *slog.Logger) net.Listener {
	return lingerListener{l, heads, log}
}

type lingerListener struct {
	net.Listener
	heads *goosehead.Memory
	log   *slog.Logger
}

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(halfCloser); ok && err == nil {
		return &lingerConn{halfCloser: t, head: l.heads.Begin(), log: l.log, inHead: true}, nil
	}
	return c, err
}

// halfCloser is a connection whose sending side can be shut down. It gives access to its
// descriptor, at which goosedial looks for callers that have disconnected.
type halfCloser interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

var (
	_ halfCloser   = (*gooselisten.Conn)(nil)
	_ syscall.Conn = (*lingerConn)(nil)

	_ goose.CallerConn = (*lingerConn)(nil)
)

// lingerConn shuts down its sending side on Close and discards incoming data
// until the caller closes the connection too.
type lingerConn struct {
	halfCloser
	closed  atomic.Bool
	reading atomic.Bool
	// received is what has been read from the connection.
	received atomic.Int64
	log      *slog.Logger

	mu sync.Mutex
	// head is the memory of the current head, or of the last one that counted, until the
	// connection closes.
	head goosehead.Head
	// inHead is true while the head of a request may arrive.
	inHead bool
}

// addHead counts a part of a head. It returns false if there is no memory for it.
func (c *lingerConn) addHead(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.inHead || c.head.Add(part)
}

// endHead ends the head of a request, and reports whether it needs none of the memory that all share.
func (c *lingerConn) endHead() (isFree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	return c.head.IsFree()
}

// beginHead begins the head of the next request.
func (c *lingerConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
	c.inHead = true
}

// releaseHead releases the memory of the head when the connection closes.
func (c *lingerConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
	c.inHead = false
}

// SetReceiveBuffer implements goose.CallerConn.
func (c *lingerConn) SetReceiveBuffer(bytes int64) error {
	if b, ok := c.halfCloser.(receiveBuffer); ok {
		return b.SetReceiveBuffer(bytes)
	}
	return nil
}

// receiveBuffer is a connection whose receive buffer can be set.
type receiveBuffer interface {
	SetReceiveBuffer(bytes int64) error
}

// ReceivedBytes implements goose.CallerConn.
func (c *lingerConn) ReceivedBytes() int64 { return c.received.Load() }

// Read marks the connection as waiting for data from the caller.
func (c *lingerConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	n, err := c.halfCloser.Read(b)
	c.received.Add(int64(n))
	if n > 0 && !c.addHead(b[:n]) {
		headsCut.Inc()
		gooseevent.HeadCut.Log(c.log, slog.String("address", c.RemoteAddr().String()))
		_ = c.Close()
		return 0, errors.WithStack(net.ErrClosed)
	}
	return n, err
}

// Close does not block. A connection that waits for data has nothing unread and
// is closed directly, which ends the pending Read.
func (c *lingerConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return errors.WithStack(net.ErrClosed)
	}
	c.releaseHead()
	if c.reading.Load() || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return errors.WithStack(c.halfCloser.Close())
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.halfCloser)
		_ = c.halfCloser.Close()
	}()
	return nil
}
