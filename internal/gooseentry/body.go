package gooseentry

import (
	"io"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

// headroomBytes is the free space in front of a body, in which members of the
// JSON object can be inserted or replaced without copying the body to another
// buffer.
const headroomBytes = 512

// minChunkBytes is the smallest amount that a body of unknown length reserves
// from the budget at a time.
const minChunkBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyBudget   = errors.New("too many body bytes in flight")
)

// byteBudget bounds the total size of the bodies that are held at one time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// body is a request body with free space in front of it. It holds its
// reservation in the budget until release.
type body struct {
	buf      []byte
	start    int
	budget   *byteBudget
	reserved int64
}

func (b *body) bytes() []byte { return b.buf[b.start:] }

// release returns the reservation to the budget; the bytes stay readable.
func (b *body) release() {
	if b != nil && b.reserved > 0 {
		b.budget.used.Add(-b.reserved)
		b.reserved = 0
	}
}

// splice replaces a range of bytes() in place by moving the bytes in front of
// the range. It returns false if the free space in front of the body is too
// small.
func (b *body) splice(at span, replacement string) bool {
	grow := len(replacement) - (at.end - at.start)
	if grow > b.start {
		return false
	}
	from := b.start
	b.start -= grow
	copy(b.buf[b.start:], b.buf[from:from+at.start])
	copy(b.buf[b.start+at.start:], replacement)
	return true
}

// readBody reads the whole body, with a single allocation if its length is
// known.
func (e *Entry) readBody(c fiber.Ctx) (*body, error) {
	limit := e.limits.MaxBodyBytes
	length := int64(c.Request().Header.ContentLength())
	if length > limit {
		return nil, errBodyTooLarge
	}
	b := &body{budget: &e.bodies, start: headroomBytes}
	r := c.Request().BodyStream()
	var err error
	switch {
	case r == nil:
		err = b.readBuffered(c.Request().Body(), limit)
	case length >= 0:
		err = b.readKnownLength(r, length)
	default:
		err = b.readUnknownLength(r, limit)
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

func (b *body) reserve(n int64) bool {
	if !b.budget.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// readBuffered copies a body that the HTTP server has already read, for servers
// that do not stream request bodies.
func (b *body) readBuffered(p []byte, limit int64) error {
	if int64(len(p)) > limit {
		return errBodyTooLarge
	}
	if !b.reserve(int64(len(p))) {
		return errBodyBudget
	}
	b.buf = append(make([]byte, headroomBytes, headroomBytes+len(p)), p...)
	return nil
}

func (b *body) readKnownLength(r io.Reader, length int64) error {
	if !b.reserve(length) {
		return errBodyBudget
	}
	b.buf = make([]byte, headroomBytes+length)
	_, err := io.ReadFull(r, b.buf[headroomBytes:])
	return errors.WithStack(err)
}

func (b *body) readUnknownLength(r io.Reader, limit int64) error {
	b.buf = make([]byte, headroomBytes)
	for {
		if cap(b.buf) == len(b.buf) {
			more := max(minChunkBytes, len(b.buf))
			if !b.reserve(int64(more)) {
				return errBodyBudget
			}
			b.buf = append(make([]byte, 0, len(b.buf)+more), b.buf...)
		}
		n, err := r.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		switch {
		case int64(len(b.buf)-headroomBytes) > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.WithStack(err)
		}
	}
}
