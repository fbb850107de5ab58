package gooseforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosedial"
)

// errRequestCut reports that the connection ended before the whole request was written.
var errRequestCut = errors.New("the connection ended before the whole request was written")

// requestWrite writes a request beside the read of its response. The kernel reports a reset to
// one call only: if the write receives it, the read sees an ordinary end of the connection, so
// that the reader has to know the outcome of the write.
type requestWrite struct {
	conn *goosedial.CountingConn
	done chan struct{}
	// err may be read once done is closed.
	err error
}

// beginWrite starts to write the request.
func beginWrite(conn net.Conn, r outgoingRequest) *requestWrite {
	w := &requestWrite{conn: &goosedial.CountingConn{Conn: conn}, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		b := bufio.NewWriterSize(w.conn, readBufferBytes)
		w.err = r.write(b)
		if w.err == nil {
			w.err = errors.WithStack(b.Flush())
		}
	}()
	return w
}

// end ends a write that still blocks, and returns an error unless the kernel has accepted the
// whole request. It is called when the connection has ended in the other direction.
func (w *requestWrite) end() error {
	// The kernel has accepted each byte that the replica has read, so that only the write of a
	// request that was not read completely is broken by the deadline.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.done
	if w.err != nil {
		return errors.Wrap(errRequestCut, w.err.Error())
	}
	return nil
}

// written returns the number of bytes that the kernel accepted. The connection must be closed.
func (w *requestWrite) written() int64 {
	<-w.done
	return w.conn.Written
}

// isFramed reports whether a response has a length or chunks, or no body at all, so that its end
// does not depend on the end of the connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// connectionBody is a body that ends with the connection. It is complete only if the whole
// request was written before: a reset that the write was told of looks the same.
type connectionBody struct {
	io.ReadCloser
	write *requestWrite
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := b.write.end(); cut != nil {
			return n, cut
		}
	}
	return n, err
}
