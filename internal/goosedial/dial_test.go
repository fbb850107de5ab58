package goosedial

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against connections that hang for minutes because their peer has vanished.
func TestNewBoundsUnacknowledgedData(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := New(time.Minute, 1500*time.Millisecond).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 2} {
		var got int
		if err := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Errorf("got socket option %d = %d, want %d", option, got, want)
		}
	}
}

// Guards against a request that is taken for not sent although bytes of it were.
func TestCountingConn(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	go func() {
		_, _ = io.CopyN(io.Discard, far, 3)
		_ = far.Close()
	}()
	c := &CountingConn{Conn: near}
	if _, err := c.Write([]byte("abcdef")); err == nil {
		t.Error("got no error of a write that the peer took in part")
	}
	if c.Written != 3 {
		t.Errorf("got %d bytes written, want 3", c.Written)
	}
}
