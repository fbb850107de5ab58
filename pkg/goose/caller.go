package goose

// CallerConn is the connection of a caller, as the code that serves its requests sees it.
type CallerConn interface {
	// SetReceiveBuffer bounds what the kernel receives for the connection and the process has
	// not read. The bound has a minimum and a maximum of its own.
	SetReceiveBuffer(bytes int64) error
	// ReceivedBytes returns how many bytes have been read from the connection.
	ReceivedBytes() int64
}

// UnknownConn is the connection of a caller that is not known: the kernel chooses its buffers, and
// nothing is counted.
type UnknownConn struct{}

// SetReceiveBuffer implements CallerConn.
func (UnknownConn) SetReceiveBuffer(int64) error { return nil }

// ReceivedBytes implements CallerConn.
func (UnknownConn) ReceivedBytes() int64 { return 0 }
