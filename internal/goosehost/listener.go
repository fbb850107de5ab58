package goosehost

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptGrace is how long a listener that drains waits for a further connection. The kernel
// hands over a connection that it has accepted at once.
const acceptGrace = time.Millisecond

// drainingListener is a listener that, before it closes, hands over the connections that the
// kernel has accepted. A plain listener resets them, although callers may have sent their
// requests already.
type drainingListener struct {
	*net.TCPListener
	// drain is closed when the listener begins to drain, and drained when no connection is
	// waiting any more.
	drain, drained chan struct{}
	beginDrain     func()
	endDrain       func()
}

// listen returns a listener at an address, an IP:port.
func listen(address string) (*drainingListener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener of type %T", l)
	}
	d := &drainingListener{TCPListener: tcp, drain: make(chan struct{}), drained: make(chan struct{})}
	d.beginDrain = sync.OnceFunc(func() { close(d.drain) })
	d.endDrain = sync.OnceFunc(func() { close(d.drained) })
	return d, nil
}

// Accept implements net.Listener. It returns net.ErrClosed once the listener has drained.
func (l *drainingListener) Accept() (net.Conn, error) {
	for last := false; ; last = l.draining() {
		if l.draining() {
			// An error means that the listener is closed, which Accept reports.
			_ = l.SetDeadline(time.Now().Add(acceptGrace))
		}
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			return newCallerConn(conn), nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			l.endDrain()
			return nil, errors.WithStack(err)
		case last:
			_ = l.Close()
			l.endDrain()
			return nil, net.ErrClosed
		}
	}
}

func (l *drainingListener) draining() bool {
	select {
	case <-l.drain:
		return true
	default:
		return false
	}
}

// Drain hands over the connections that wait and closes the listener. It returns when there
// are none or after timeout. Accept must be called meanwhile.
func (l *drainingListener) Drain(timeout time.Duration) {
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
