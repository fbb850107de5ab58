package gooselisten

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func listen(t *testing.T, o Options) *Listener {
	t.Helper()
	o.Log = slog.New(slog.DiscardHandler)
	l, err := Listen("tcp4", "127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a shutdown that waits for a listener without Accept, or for one that was closed.
func TestListenerDrainEnds(t *testing.T) {
	t.Parallel()
	l := listen(t, Options{})
	l.Drain(10 * time.Millisecond)
	if _, err := l.Accept(); err == nil {
		t.Error("got a connection from a closed listener")
	}
	l.Drain(time.Minute)
}

// Guards against a process that ends, or accepts no connection any more, because the kernel could not
// accept a connection for a while: all requests that run would be lost.
func TestListenerOutlastsErrors(t *testing.T) {
	t.Parallel()
	for name, cause := range map[string]error{
		"no descriptor":      syscall.EMFILE,
		"none in the system": syscall.ENFILE,
		"no memory":          syscall.ENOMEM,
		"no buffer":          syscall.ENOBUFS,
		"connection aborted": syscall.ECONNABORTED,
		"unknown":            errors.New("unknown"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const failures = 4
			idle := 0
			l := listen(t, Options{MakeRoom: func() bool { idle++; return false }})
			failed := 0
			l.accept = func() (*net.TCPConn, error) {
				if failed++; failed <= failures {
					return nil, &net.OpError{Op: "accept", Err: cause}
				}
				return l.AcceptTCP()
			}
			dial(t, l)
			c, err := l.Accept()
			if err != nil {
				t.Fatalf("got error %v, want the connection after the errors", err)
			}
			_ = c.Close()
			if idle != failures {
				t.Errorf("idle connections were asked for %d times, want once for each of %d errors", idle, failures)
			}
		})
	}
}

// Guards against more connections than the process has descriptors for, so that none is left
// for the store, the peers and the replicas.
func TestListenerBoundsConnections(t *testing.T) {
	t.Parallel()
	const maxConns = 3
	var asked atomic.Int64
	l := listen(t, Options{MaxConns: maxConns, MakeRoom: func() bool { asked.Add(1); return false }})
	var accepted []net.Conn
	for range maxConns + 1 {
		dial(t, l)
	}
	for range maxConns {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, c)
	}
	further := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		further <- c
	}()
	for asked.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-further:
		t.Fatalf("got more than %d connections", maxConns)
	case <-time.After(20 * time.Millisecond):
	}
	_ = accepted[0].Close()
	_ = accepted[0].Close()
	if c := <-further; c == nil {
		t.Error("got no connection after another one had closed")
	}
	if got := l.open.Load(); got != maxConns {
		t.Errorf("got %d open connections, want %d: a connection that is closed twice counts once", got, maxConns)
	}
}

// Guards against bounds that leave no descriptor for replicas, or none for callers, and against more
// connections than the machine has memory for.
func TestMaxConns(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		descriptors int
		memory      int64
		want        int
	}{
		"users' machines":                 {4200, 284 << 20, 1968},
		"few":                             {300, 284 << 20, 18},
		"almost none":                     {20, 284 << 20, minConns},
		"many descriptors, little memory": {8192, 184 << 20, 1962},
		"almost no memory":                {8192, 1 << 20, minConns},
		"unknown memory":                  {8192, 0, 3964},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := MaxConns(tc.descriptors, tc.memory); got != tc.want {
				t.Errorf("got %d connections for %d descriptors, want %d", got, tc.descriptors, tc.want)
			}
		})
	}
	if got := MaxConns(0, 0); got < minConns {
		t.Errorf("got %d connections by the limit of the kernel, want at least %d", got, minConns)
	}
}
