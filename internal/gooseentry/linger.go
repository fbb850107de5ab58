package gooseentry

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooselisten"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// lingerTimeout bounds how long a closed connection still accepts data from its
// caller.
const lingerTimeout = 5 * time.Second

// NewListener wraps a listener so that its connections close without a TCP
// reset. A refusal is often sent before the request's body was read. Closing a
// connection with unread bytes resets it, and the reset can destroy the refusal
// before the caller has read it.
func NewListener(l net.Listener) net.Listener { return lingerListener{l} }

type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(halfCloser); ok && err == nil {
		return &lingerConn{halfCloser: t}, nil
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
	return n, err
}

// Close does not block. A connection that waits for data has nothing unread and
// is closed directly, which ends the pending Read.
func (c *lingerConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return errors.WithStack(net.ErrClosed)
	}
	if c.reading.Load() || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return errors.WithStack(c.halfCloser.Close())
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.halfCloser)
		_ = c.halfCloser.Close()
	}()
	return nil
}
