// Package gooselisten accepts the connections of callers. Its listeners bound the number of
// open connections, outlast errors of the kernel, and close without the loss of connections
// that the kernel has accepted.
package gooselisten

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
)

const (
	// acceptGrace is how long a listener that drains waits for a further connection. The
	// kernel hands over a connection that it has accepted at once.
	acceptGrace = time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after an error of the kernel. It doubles
	// with each further error.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// fullCheckInterval is the interval at which a listener at its bound looks for a free place.
	fullCheckInterval = 5 * time.Millisecond
)

// Options are the options of a Listener.
type Options struct {
	// MaxConns bounds the connections that are open at one time; zero means no bound.
	// Further connections wait in the kernel's queue.
	MaxConns int
	// MakeRoom closes connections, or ends what keeps them open, to make room for others. It
	// reports whether there was any. It may be nil.
	MakeRoom func() bool
	// Log gets an event when connections cannot be accepted.
	Log *slog.Logger
}

// Listener is a listener that, before it closes, hands over the connections that the kernel has
// accepted. A plain listener resets them, although callers may have sent their requests already.
type Listener struct {
	*net.TCPListener
	o Options
	// accept returns the next connection; tests replace it.
	accept func() (*net.TCPConn, error)
	// open is the number of open connections.
	open atomic.Int64
	// drain is closed when the listener begins to drain, and drained when no connection is
	// waiting any more.
	drain, drained chan struct{}
	beginDrain     func()
	endDrain       func()
}

// Listen returns a listener at an address, an IP:port. The network is "tcp" or "tcp4".
func Listen(network, address string, o Options) (*Listener, error) {
	config := net.ListenConfig{Control: boundReceived}
	l, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener of type %T", l)
	}
	if o.MakeRoom == nil {
		o.MakeRoom = func() bool { return false }
	}
	d := &Listener{TCPListener: tcp, o: o, accept: tcp.AcceptTCP, drain: make(chan struct{}), drained: make(chan struct{})}
	d.beginDrain = sync.OnceFunc(func() { close(d.drain) })
	d.endDrain = sync.OnceFunc(func() { close(d.drained) })
	return d, nil
}

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.release()
	return err
}

// Accept implements net.Listener. Its connections are of type *Conn. It returns net.ErrClosed
// once the listener has drained or was closed, and no other error.
func (l *Listener) Accept() (net.Conn, error) {
	delay := time.Duration(0)
	for last := false; ; last = l.draining() {
		l.waitForPlace()
		if l.draining() {
			// An error means that the listener is closed, which accept reports.
			_ = l.SetDeadline(time.Now().Add(acceptGrace))
		}
		conn, err := l.accept()
		switch {
		case err == nil:
			return l.newConn(conn), nil
		case errors.Is(err, net.ErrClosed):
			l.endDrain()
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			delay = l.waitAfter(err, delay)
		case last:
			_ = l.Close()
			l.endDrain()
			return nil, net.ErrClosed
		}
	}
}

func (l *Listener) newConn(conn *net.TCPConn) *Conn {
	// An error means that the caller has disconnected.
	_ = boundUnsent(conn)
	l.open.Add(1)
	return &Conn{TCPConn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}
}

// waitForPlace waits while as many connections are open as may be. A listener that drains does
// not wait.
func (l *Listener) waitForPlace() {
	for l.full() && !l.draining() {
		l.o.MakeRoom()
		if l.full() {
			time.Sleep(fullCheckInterval)
		}
	}
}

func (l *Listener) full() bool { return l.o.MaxConns > 0 && l.open.Load() >= int64(l.o.MaxConns) }

// waitAfter waits after an error of the kernel, for example if the process has no free
// descriptor, and returns the delay. The error passes when other connections close.
func (l *Listener) waitAfter(err error, delay time.Duration) time.Duration {
	if delay == 0 {
		gooseevent.AcceptFailed.Log(l.o.Log, slog.String("error", err.Error()), slog.Int64("open", l.open.Load()))
	}
	l.o.MakeRoom()
	delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
	time.Sleep(delay)
	return delay
}

func (l *Listener) draining() bool {
	select {
	case <-l.drain:
		return true
	default:
		return false
	}
}

// Drain hands over the connections that wait and closes the listener. It returns when there
// are none or after timeout. Accept must be called meanwhile.
func (l *Listener) Drain(timeout time.Duration) {
	l.beginDrain()
	// The deadline wakes an Accept that waits without one.
	_ = l.SetDeadline(time.Now().Add(acceptGrace))
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-l.drained:
	case <-t.C:
		_ = l.Close()
	}
}
