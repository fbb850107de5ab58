package goosedial

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrRequestCut reports that the connection ended before the whole request was written.
var ErrRequestCut = errors.New("the connection ended before the whole request was written")

// firstWriteBytes is below the size of an empty socket buffer, which accepts it at once.
const firstWriteBytes = 4 << 10

// RequestWrite writes a request beside the read of its response, which may begin before the
// request has been read. The kernel reports a reset to one call only: if the write receives it,
// the read sees an ordinary end of the connection, so that the reader has to know the outcome of
// the write.
type RequestWrite struct {
	conn CountingConn
	// begun is closed after the first write to the connection has returned, and at the end.
	begun     chan struct{}
	beginOnce sync.Once
	// nothingSent is set before begun is closed.
	nothingSent bool
	done        chan struct{}
	// err is set before done is closed.
	err error
}

// BeginWrite runs write, which writes the request, in a goroutine. The goroutine ends with write,
// at the latest when the connection is closed.
func BeginWrite(conn net.Conn, write func(io.Writer) error) *RequestWrite {
	w := &RequestWrite{conn: CountingConn{Conn: conn}, begun: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.err = write((*requestWriter)(w))
		w.begin()
	}()
	return w
}

// requestWriter is the connection as the function that writes the request sees it.
type requestWriter RequestWrite

// Write implements io.Writer. The first bytes are written alone: a write returns when the kernel
// has accepted all of its bytes, which may take until the other side reads.
func (r *requestWriter) Write(p []byte) (int, error) {
	w := (*RequestWrite)(r)
	first := 0
	if w.conn.Written == 0 {
		var err error
		first, err = w.conn.Write(p[:min(len(p), firstWriteBytes)])
		w.begin()
		if err != nil || first == len(p) {
			return first, err
		}
	}
	n, err := w.conn.Write(p[first:])
	return first + n, err
}

func (w *RequestWrite) begin() {
	w.beginOnce.Do(func() {
		w.nothingSent = w.conn.Written == 0
		close(w.begun)
	})
}

// NothingSent waits for the first write and reports whether the kernel accepted no byte.
func (w *RequestWrite) NothingSent() bool {
	<-w.begun
	return w.nothingSent
}

// End ends a write that still blocks, and returns an error unless the kernel has accepted the
// whole request. It is called when the connection has ended in the other direction.
func (w *RequestWrite) End() error {
	// The kernel has accepted each byte that the other side has read, so that only the write of
	// a request that was not read completely is broken by the deadline.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.done
	if w.err != nil {
		return errors.Wrap(ErrRequestCut, w.err.Error())
	}
	return nil
}

// Wait waits for the end of the write. The connection has to be closed before.
func (w *RequestWrite) Wait() { <-w.done }
