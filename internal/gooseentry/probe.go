package gooseentry

import (
	"net"
	"syscall"
)

// gone reports whether the peer has closed the connection, without taking
// bytes from it: fasthttp does not read while a request runs. A caller that only
// shut down its sending side counts as gone, as with net/http. Connections that
// are no sockets never do; their event streams still end with a failed write.
func gone(c net.Conn) bool {
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
