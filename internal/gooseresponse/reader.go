// Package gooseresponse checks the heads of backend servers' responses before a parser reads
// them. The parsers of net/http and fasthttp accept heads that are no response of HTTP/1.1, and
// not the same ones.
package gooseresponse

import (
	"bytes"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// ErrHeadTooLong reports a head that is longer than allowed, interim responses included.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// readBytes is how much is read at a time. Heads are shorter, so that one read usually suffices.
const readBytes = 4 << 10

// Reader reads responses from a connection.
type Reader struct {
	r io.Reader
	// buf are the bytes that were received and not read yet.
	buf []byte
}

// NewReader returns a reader of the responses that r delivers.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadHead waits until the head of a final response has arrived and returns an error if it is
// invalid. Interim responses before it are skipped. Read then returns the head and what follows
// it. limit bounds the heads in total.
func (r *Reader) ReadHead(limit int) (Head, error) {
	for {
		length, err := r.receiveHead(limit)
		if err != nil {
			return Head{}, err
		}
		h, err := parseHead(r.buf[:length])
		if err != nil {
			return Head{}, err
		}
		if h.Status >= http.StatusOK {
			return h, nil
		}
		r.buf = r.buf[length:]
		limit -= length
	}
}

// receiveHead waits until buf begins with a complete head and returns its length.
func (r *Reader) receiveHead(limit int) (int, error) {
	for searched := 0; ; {
		end, ok := headEnd(r.buf, searched)
		switch {
		case ok && end <= limit:
			return end, nil
		case ok || len(r.buf) >= limit:
			return 0, ErrHeadTooLong
		}
		searched = end
		if err := r.receive(limit - len(r.buf)); err != nil {
			return 0, err
		}
	}
}

// headEnd returns the end of the first empty line from the begin of a line on. If there is none
// it returns the begin of the last line, from which the next search has to start.
func headEnd(buf []byte, line int) (int, bool) {
	for {
		n := bytes.IndexByte(buf[line:], '\n')
		if n < 0 {
			return line, false
		}
		next := line + n + 1
		if len(trimLineEnd(buf[line:next])) == 0 {
			return next, true
		}
		line = next
	}
}

// receive appends at most limit bytes to buf.
func (r *Reader) receive(limit int) error {
	if len(r.buf) == cap(r.buf) {
		r.buf = slices.Grow(r.buf, readBytes)
	}
	free := r.buf[len(r.buf):cap(r.buf)]
	n, err := r.r.Read(free[:min(len(free), limit)])
	r.buf = r.buf[:len(r.buf)+n]
	switch {
	case n > 0:
		return nil
	case errors.Is(err, io.EOF):
		return errors.WithStack(io.ErrUnexpectedEOF)
	}
	return err
}

// Buffered returns the number of bytes that were received and not read yet.
func (r *Reader) Buffered() int { return len(r.buf) }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if len(r.buf) == 0 {
		return r.r.Read(p)
	}
	n := copy(p, r.buf)
	r.buf = r.buf[n:]
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return n, nil
}
