package gooseentry

import (
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosebody"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
)

// headroomBytes is the free space in front of a body, in which members of the
// JSON object can be inserted or replaced without copying the body to another
// buffer.
const headroomBytes = 512

// minChunkBytes is the smallest amount that a body of unknown length acquires at a time.
const minChunkBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("body too large")
	errBodyBudget   = errors.New("too many body bytes in flight")
	errSlowBody     = errors.New("the body arrives too slowly")
)

// body is a request body with free space in front of it. It holds its memory until release.
type body struct {
	buf   []byte
	start int
	// held is the memory of the body, in the pools that it was acquired from.
	held []heldMemory
}

// heldMemory is a claim that has its memory.
type heldMemory struct {
	pool  *goosememory.Pool
	claim goosememory.Claim
}

func (b *body) bytes() []byte { return b.buf[b.start:] }

// release returns the memory to its pools; the bytes stay readable.
func (b *body) release() {
	if b == nil {
		return
	}
	for _, h := range b.held {
		h.pool.Release(h.claim)
	}
	b.held = nil
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

// readBody reads the whole body of a workspace's request, with a single allocation if its length is
// known.
func (e *Entry) readBody(c fiber.Ctx, workspace goose.WorkspaceName) (*body, error) {
	limit := e.limits.MaxBodyBytes
	length := int64(c.Request().Header.ContentLength())
	if length > limit {
		return nil, errBodyTooLarge
	}
	r := e.newBodyReader(c, workspace, length)
	if stream := c.Request().BodyStream(); stream != nil {
		r.source = goosebody.New(stream, length, r.conn)
	}
	var err error
	switch {
	case r.source == nil:
		err = r.readBuffered(c.Request().Body(), limit)
	case length >= 0:
		err = r.readKnownLength(length)
	default:
		err = r.readUnknownLength(limit)
	}
	if r.end() && err != nil {
		err = errSlowBody
	}
	if err != nil {
		r.body.release()
		return nil, err
	}
	return r.body, nil
}
