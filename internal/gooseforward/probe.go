package gooseforward

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// processState is the state of a replica's process as a connection attempt shows it.
type processState string

// States of a replica's process.
const (
	processUnknown processState = ""
	// processAlive means that connections are accepted.
	processAlive processState = "lives"
	// processEnded means that connections are refused, or closed immediately.
	processEnded processState = "ended"
	// processUnreachable means that the connection attempt got no response; the network may
	// be partitioned.
	processUnreachable processState = "unreachable"
)

const (
	// probeTimeout is far above a round trip between data centres.
	probeTimeout = 100 * time.Millisecond
	// probeMinOpen is how long a connection has to stay open. A proxy in front of the
	// replica may accept the connection before it detects that the replica has ended.
	probeMinOpen = 20 * time.Millisecond
)

// probe opens a connection to a replica and closes it again without sending anything.
func probe(ctx context.Context, address string) processState {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dialer.DialContext(limited, "tcp", address)
	switch {
	case ctx.Err() != nil:
		if err == nil {
			_ = conn.Close()
		}
		return processUnknown
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return processEnded
	case err != nil:
		return processUnreachable
	}
	defer func() { _ = conn.Close() }()
	return probeConn(conn)
}

// probeConn returns the state that the connection shows: the process is alive if the
// remote side keeps the connection open.
func probeConn(conn net.Conn) processState {
	if err := conn.SetReadDeadline(time.Now().Add(probeMinOpen)); err != nil {
		return processUnknown
	}
	_, err := conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return processAlive
	}
	return processEnded
}
