package gooselisten

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// MinReceiveBytes is the receive buffer of a connection, also while it waits to be accepted.
	// It holds the head of most requests. The kernel otherwise takes some 100 KB for a connection
	// that is not read, and megabytes for one that is read quickly.
	MinReceiveBytes = 4 << 10
	// MaxReceiveBytes is the largest receive buffer. A connection whose listener has a small
	// buffer has no larger window, since the scale of its window is set when it is opened.
	MaxReceiveBytes = 64 << 10
)

// boundReceived bounds the unread bytes of the connections of a listener. It is a control function of
// net.ListenConfig.
func boundReceived(_, _ string, raw syscall.RawConn) error {
	return setReceiveBuffer(raw, MinReceiveBytes)
}

// SetReceiveBuffer sets the size of the receive buffer, from MinReceiveBytes to MaxReceiveBytes.
// An error means that the caller has disconnected.
func (c *Conn) SetReceiveBuffer(bytes int64) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	return setReceiveBuffer(raw, min(max(bytes, MinReceiveBytes), MaxReceiveBytes))
}

// setReceiveBuffer sets the buffer and the largest window, which the kernel derives from the buffer
// only when the connection is opened.
func setReceiveBuffer(raw syscall.RawConn, bytes int64) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(bytes))
		if bytes > MinReceiveBytes && failed == nil {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, int(bytes))
		}
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}
