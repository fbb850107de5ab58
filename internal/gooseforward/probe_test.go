package gooseforward

import (
	"context"
	"net"
	"testing"
)

// Guards against taking a replica that broke off one response for one whose process has
// ended, and the reverse.
func TestProbe(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		accept func(net.Conn)
		closed bool
		want   processState
	}{
		"connection is refused":  {closed: true, want: processEnded},
		"keeps the connection":   {accept: func(net.Conn) {}, want: processAlive},
		"closes the connection":  {accept: func(c net.Conn) { _ = c.Close() }, want: processEnded},
		"sends unsolicited data": {accept: func(c net.Conn) { _, _ = c.Write([]byte("x")) }, want: processAlive},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			if tc.closed {
				_ = l.Close()
			} else {
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					tc.accept(c)
					// The second Accept keeps c referenced until the listener is closed: the garbage
					// collector closes a connection that nothing refers to.
					_, _ = l.Accept()
					_ = c.Close()
				}()
			}
			if got := probe(context.Background(), l.Addr().String()); got != tc.want {
				t.Errorf("got process %q, want %q", got, tc.want)
			}
		})
	}
}
