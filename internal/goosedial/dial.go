// Package goosedial opens connections that detect an unreachable peer, and counts the bytes
// that are sent on them.
package goosedial

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// keepAlive detects within about three seconds that the peer of an idle connection is
// unreachable.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// receiveBufferBytes bounds what the kernel holds of a peer that sends faster than it is
// read. Without a bound the kernel raises it to a limit of the machine, which can be tens of
// megabytes for each connection.
const receiveBufferBytes = 1 << 20

// New returns a dialer with the given timeout for connecting. A connection counts as lost
// when sent data stays unacknowledged for ackTimeout.
func New(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: func(network, address string, raw syscall.RawConn) error {
		if err := BoundReceiveBuffer(network, address, raw); err != nil {
			return err
		}
		return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout/time.Millisecond))
	}}
}

// BoundReceiveBuffer bounds the receive buffer of a connection that is not open yet. It is
// a control function of net.Dialer.
func BoundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), level, option, value)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(sockoptErr)
}

// HasPendingData reports whether received data is waiting to be read. It does not block.
func HasPendingData(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && n > 0
}

// CountingConn counts the bytes that the kernel accepted for sending.
type CountingConn struct {
	net.Conn
	// Written is the number of bytes; it may be read after the last write has returned.
	Written int64
}

// Write implements net.Conn.
func (c *CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Written += int64(n)
	return n, err
}
