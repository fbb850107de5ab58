package gooseentry

import (
	"io"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

// headroom is the free space in front of a body, so that members can be
// inserted or replaced without copying the body elsewhere.
const headroom = 512

// chunkStep is the least budget that a body of unknown length takes at a time.
const chunkStep = 64 << 10

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyBudget   = errors.New("too many body bytes in flight")
)

// byteBudget bounds the bytes of bodies held at a time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// body is a request body behind some headroom. It owns its share of the budget
// until release.
type body struct {
	buf    []byte
	start  int
	budget *byteBudget
	taken  int64
}

func (b *body) bytes() []byte { return b.buf[b.start:] }

// release gives the budget back; the bytes stay readable.
func (b *body) release() {
	if b != nil && b.taken > 0 {
		b.budget.used.Add(-b.taken)
		b.taken = 0
	}
}

// splice replaces a range of bytes() in place by moving what is in front of it.
// It returns false if the headroom is used up.
func (b *body) splice(at span, with string) bool {
	grow := len(with) - (at.end - at.start)
	if grow > b.start {
		return false
	}
	from := b.start
	b.start -= grow
	copy(b.buf[b.start:], b.buf[from:from+at.start])
	copy(b.buf[b.start+at.start:], with)
	return true
}

// readBody reads the whole body with one allocation where its length is known.
func (e *Entry) readBody(c fiber.Ctx) (*body, error) {
	limit := e.limits.MaxBodyBytes
	length := int64(c.Request().Header.ContentLength())
	if length > limit {
		return nil, errBodyTooLarge
	}
	b := &body{budget: &e.bodies, start: headroom}
	r := c.Request().BodyStream()
	var err error
	switch {
	case r == nil:
		err = b.copyFrom(c.Request().Body(), limit)
	case length >= 0:
		err = b.readKnown(r, length)
	default:
		err = b.readUnknown(r, limit)
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

func (b *body) take(n int64) bool {
	if !b.budget.take(n) {
		return false
	}
	b.taken += n
	return true
}

// copyFrom serves servers that do not stream request bodies.
func (b *body) copyFrom(p []byte, limit int64) error {
	if int64(len(p)) > limit {
		return errBodyTooLarge
	}
	if !b.take(int64(len(p))) {
		return errBodyBudget
	}
	b.buf = append(make([]byte, headroom, headroom+len(p)), p...)
	return nil
}

func (b *body) readKnown(r io.Reader, length int64) error {
	if !b.take(length) {
		return errBodyBudget
	}
	b.buf = make([]byte, headroom+length)
	_, err := io.ReadFull(r, b.buf[headroom:])
	return errors.WithStack(err)
}

func (b *body) readUnknown(r io.Reader, limit int64) error {
	b.buf = make([]byte, headroom)
	for {
		if cap(b.buf) == len(b.buf) {
			more := max(chunkStep, len(b.buf))
			if !b.take(int64(more)) {
				return errBodyBudget
			}
			b.buf = append(make([]byte, 0, len(b.buf)+more), b.buf...)
		}
		n, err := r.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		switch {
		case int64(len(b.buf)-headroom) > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.WithStack(err)
		}
	}
}
