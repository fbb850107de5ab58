package gooselisten

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// unreadBytes returns the number of bytes in the receive buffer of a connection.
func unreadBytes(t *testing.T, c *Conn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// fill writes to a connection until the other side receives no more.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	const blocked = time.Second
	for piece := make([]byte, 16<<10); ; {
		_ = c.SetWriteDeadline(time.Now().Add(blocked))
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

// Guards against a kernel that holds more memory for connections than the machine has: a crowd of
// clients sends bodies that are not read, on connections that are open or wait to be accepted.
func TestUnreadBytesAreBounded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		// prepare is called before the caller sends.
		prepare     func(c *Conn) error
		least, most int
	}{
		"unchanged":       {func(*Conn) error { return nil }, 1, 2 * MinReceiveBytes},
		"raised":          {func(c *Conn) error { return c.SetReceiveBuffer(1 << 20) }, 2*MinReceiveBytes + 1, 2 * MaxReceiveBytes},
		"raised, lowered": {func(c *Conn) error { _ = c.SetReceiveBuffer(1 << 20); return c.SetReceiveBuffer(0) }, 1, 2 * MinReceiveBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t, Options{})
			caller := dial(t, l)
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = accepted.Close() })
			conn := accepted.(*Conn)
			if err := tc.prepare(conn); err != nil {
				t.Fatal(err)
			}
			// The kernel announces a larger window when the process reads.
			if _, err := caller.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				fill(t, caller)
			}()
			if tc.least > 1 {
				// A window grows with what is read.
				readBytes(t, conn, 4*MaxReceiveBytes)
			}
			<-ended
			if got := unreadBytes(t, conn); got < tc.least || got > tc.most {
				t.Errorf("got %d bytes held for an open connection, want %d to %d", got, tc.least, tc.most)
			}
		})
	}
	t.Run("not accepted", func(t *testing.T) {
		t.Parallel()
		l := listen(t, Options{})
		fill(t, dial(t, l))
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = accepted.Close() })
		if got := unreadBytes(t, accepted.(*Conn)); got > 2*MinReceiveBytes {
			t.Errorf("got %d bytes held for a connection that waits, want at most %d", got, 2*MinReceiveBytes)
		}
	})
}

func readBytes(t *testing.T, c net.Conn, n int) {
	t.Helper()
	for buf := make([]byte, 32<<10); n > 0; {
		k, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		n -= k
	}
}
