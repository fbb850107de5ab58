package gooselisten

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxUnsentBytes bounds what the kernel takes for a connection before it can send it. The kernel
// otherwise takes up to 4 MB for each caller that does not read its response. What is sent and not
// yet acknowledged does not count, so that the bound does not limit the throughput.
const maxUnsentBytes = 16 << 10

// boundUnsent sets the bound on a connection. Connections do not inherit it from their listener.
func boundUnsent(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}
