package gooseentry

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// lingerTime bounds how long a closed connection still takes what its caller
// sends.
const lingerTime = 5 * time.Second

// Listener accepts callers whose connections close without a reset. A refusal is
// often sent before the request's body was read; a connection that is closed
// with bytes unread is reset, and the reset destroys the refusal on its way to
// the caller.
func Listener(l net.Listener) net.Listener { return lingerListener{l} }

type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &lingerConn{TCPConn: t}, nil
	}
	return c, err
}

// lingerConn ends its sending side on Close and discards what still arrives
// until the caller closes too.
type lingerConn struct {
	*net.TCPConn
	closed  atomic.Bool
	reading atomic.Bool
}

// Read marks the connection as one that waits for its caller.
func (c *lingerConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	return c.TCPConn.Read(b)
}

// Close returns at once. A connection that waits for its caller has nothing
// unread and closes directly, which ends the wait.
func (c *lingerConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return errors.WithStack(net.ErrClosed)
	}
	if c.reading.Load() || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return errors.WithStack(c.TCPConn.Close())
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.TCPConn)
		_ = c.TCPConn.Close()
	}()
	return nil
}
