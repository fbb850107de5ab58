package gooseentry

import (
	"net"
	"syscall"
)

// callerDisconnected reports whether the caller has closed the connection. It only
// peeks at incoming bytes and leaves them unread, because fasthttp does not read
// while a request runs. A caller that only shut down its sending side counts as
// disconnected, as with net/http. A connection that is not a socket never counts
// as disconnected; its event stream still ends when a write fails.
func callerDisconnected(c net.Conn) bool {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			closed = true
		}
	})
	return closed || err != nil
}
