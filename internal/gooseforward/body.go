package gooseforward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

const (
	// defaultBodyBytes bounds a body if the routing sets no bound.
	defaultBodyBytes = 8 << 20
	// smallBodyBytes is the length up to which bodies share memory of their own, so that long
	// bodies do not keep short requests waiting.
	smallBodyBytes = 64 << 10
	// firstBufferBytes is the size of the first buffer for a body of unknown length.
	firstBufferBytes = 4 << 10
	// longBodyShare and smallBodyShare are the inverse parts of the machine's memory that all
	// long and all small bodies may take. The rest is for responses, connections and the
	// garbage of ended requests.
	longBodyShare  = 5
	smallBodyShare = 16
	// defaultMemoryBytes is assumed if the memory of the machine is unknown.
	defaultMemoryBytes = 256 << 20
	// maxMemoryWait and memoryWaitDivisor bound how long a request waits for memory, as a
	// duration and as a part of its time. Its body is not read meanwhile.
	maxMemoryWait     = time.Second
	memoryWaitDivisor = 4
	// bodyRetryAfter is the least Retry-After of a request that got no memory; a random part of
	// up to the same length is added.
	bodyRetryAfter = time.Second
)

// bodyMemory bounds the memory that the bodies of all requests hold in total.
type bodyMemory struct {
	longBytes   int64
	long, small *semaphore.Weighted
	transfers   *goosetransfer.Table
}

// heldBody is the memory that one body holds.
type heldBody struct{ long, small int64 }

func newBodyMemory(machineBytes int64, t *goosetransfer.Table) *bodyMemory {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	long := machineBytes / longBodyShare
	return &bodyMemory{
		longBytes: long, long: semaphore.NewWeighted(long), small: semaphore.NewWeighted(machineBytes / smallBodyShare), transfers: t,
	}
}

func (m *bodyMemory) release(h heldBody) {
	m.long.Release(h.long)
	m.small.Release(h.small)
}

// errNoBodyMemory reports that the bodies of other requests hold all memory.
var errNoBodyMemory = errors.New("no memory for the body")

// bodySource is a body that arrives.
type bodySource struct {
	io.Reader
	conn goose.CallerConn
	// length is negative if it is unknown, and limit the length of the longest body.
	length, limit int64
	// cut has to make Read return an error. It is called if the body arrives too slowly and others
	// need its memory.
	cut func(goosetransfer.Kind)
}

// read reads a body into one buffer. The memory that is held has to be released, also with an
// error. A body that is longer than its limit is returned with a length above it.
func (m *bodyMemory) read(ctx context.Context, s bodySource) ([]byte, heldBody, error) {
	transfer := m.transfers.Begin(time.Now(), s.cut)
	buf, held, err := m.readTransfer(ctx, s, transfer)
	_ = s.conn.SetReceiveBuffer(0)
	if transfer.End() && err != nil && !errors.Is(err, errNoBodyMemory) {
		err = errSlowBody
	}
	return buf, held, err
}

func (m *bodyMemory) readTransfer(ctx context.Context, s bodySource, transfer *goosetransfer.Transfer) ([]byte, heldBody, error) {
	var (
		held  heldBody
		buf   []byte
		ended bool
	)
	r := transferReader{Reader: s, transfer: transfer}
	for _, size := range bufferSizes(s.length, s.limit) {
		if err := m.grow(ctx, size, &held, transfer); err != nil {
			return nil, held, err
		}
		// The kernel receives more once there is memory for it. An error means that the caller
		// has disconnected, which the read reports.
		_ = s.conn.SetReceiveBuffer(size)
		larger := make([]byte, len(buf), size)
		copy(larger, buf)
		var err error
		buf, ended, err = readFull(r, larger)
		if err != nil {
			return nil, held, err
		}
		if ended {
			break
		}
	}
	return m.shrink(buf, &held), held, nil
}

// bufferSizes returns the sizes that the buffer for a body has one after the other. A body of
// unknown length that is not small gets memory for the longest one at once: requests that hold
// parts of their bodies and wait for each other's memory could not go on.
func bufferSizes(length, limit int64) []int64 {
	if length >= 0 && length <= limit {
		return []int64{length}
	}
	sizes := []int64{limit + 1}
	for _, size := range []int64{smallBodyBytes, firstBufferBytes} {
		if size < sizes[0] {
			sizes = append([]int64{size}, sizes...)
		}
	}
	return sizes
}

// grow waits for the memory of a larger buffer. No request waits for memory of a kind that it
// holds: memory for small bodies is released before more of it is acquired, and otherwise after.
func (m *bodyMemory) grow(ctx context.Context, size int64, held *heldBody, transfer *goosetransfer.Transfer) error {
	smaller := held.small
	if size <= smallBodyBytes {
		m.small.Release(smaller)
		held.small, smaller = 0, 0
	}
	if err := m.acquire(ctx, size, held, transfer); err != nil {
		return err
	}
	m.small.Release(smaller)
	held.small -= smaller
	return nil
}

// shrink releases the unused memory of a buffer for the longest body.
func (m *bodyMemory) shrink(buf []byte, held *heldBody) []byte {
	unused := held.long - int64(len(buf))
	if unused <= 0 || len(buf) == cap(buf) {
		return buf
	}
	exact := append(make([]byte, 0, len(buf)), buf...)
	m.long.Release(unused)
	held.long -= unused
	return exact
}

// acquire waits for memory and records it in held.
func (m *bodyMemory) acquire(ctx context.Context, n int64, held *heldBody, transfer *goosetransfer.Transfer) error {
	// A transfer that waits for memory is not slow.
	transfer.Hold("", time.Now())
	if n <= smallBodyBytes {
		if !acquireMemory(ctx, m.small, n, m.transfers, kindSmallBody) {
			return errNoBodyMemory
		}
		held.small = n
		transfer.Hold(kindSmallBody, time.Now())
		return nil
	}
	// A body that is longer than the memory for all bodies is read alone.
	n = min(n, m.longBytes)
	if !acquireMemory(ctx, m.long, n, m.transfers, kindLongBody) {
		return errNoBodyMemory
	}
	held.long = n
	transfer.Hold(kindLongBody, time.Now())
	return nil
}

// readFull reads until the buffer's capacity is used, or until the end. It reports whether the
// end was reached.
func readFull(r io.Reader, buf []byte) ([]byte, bool, error) {
	for len(buf) < cap(buf) {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}

// readBody reads the complete body, so that the request can be sent again. If it returns a
// refusal, the caller may have been sent one already.
func (c *call) readBody() (goose.Refusal, bool) {
	limit := c.bodyLimit()
	if c.r.ContentLength > limit {
		return tooLarge(limit), false
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	watch := c.watchDrain()
	body, err := c.readBounded(limit)
	if watch.end() {
		return goose.Refusal{}, false
	}
	if refusal, ok := bodyRefusal(err, int64(len(body)), limit); !ok {
		return refusal, false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	c.subjects.Request = goose.NewFingerprint(c.workspace.Name, "", body).WithTarget(c.r.Method, c.r.RequestURI)
	for _, part := range c.header.SharedParts {
		c.subjects.Parts = append(c.subjects.Parts, goose.NewPartFingerprint(c.header.Model, part))
	}
	return goose.Refusal{}, true
}

// bodyLimit returns the length of the longest body that is read.
func (c *call) bodyLimit() int64 {
	if table := c.snapshot.Table; table != nil && table.Limits().BodyBytes > 0 {
		return table.Limits().BodyBytes
	}
	return defaultBodyBytes
}

// readBounded reads the body once there is memory for it.
func (c *call) readBounded(limit int64) ([]byte, error) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	wait := min(maxMemoryWait, c.deadline.Sub(c.arrived)/memoryWaitDivisor)
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	body, held, err := c.bodyMemory.read(ctx, bodySource{
		Reader: c.r.Body, conn: c.conn, length: c.r.ContentLength, limit: limit, cut: c.cutBody,
	})
	c.heldBody = held
	return body, err
}

// bodyRefusal returns a refusal if a body could not be read or is too long.
func bodyRefusal(err error, length, limit int64) (goose.Refusal, bool) {
	switch {
	case errors.Is(err, errNoBodyMemory):
		return goose.NotRunRefusal(goose.CodeNotReady, "the bodies of other requests take all memory").
			WithReason("body-memory").WithRetryAfter(bodyRetryAfter + rand.N(bodyRetryAfter)), false
	case errors.Is(err, errSlowBody):
		return goose.NotRunRefusal(goose.CodeRequestTimeout, "the body arrives too slowly while others need its memory or its connection").
			WithReason("slow-body").WithRetryAfter(bodyRetryAfter + rand.N(bodyRetryAfter)), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return goose.NotRunRefusal(goose.CodeRequestTimeout, "the request's time was over before its body had arrived"), false
	case err != nil:
		return goose.NotRunRefusal(goose.CodeBadRequest, "the body did not arrive whole: "+err.Error()), false
	case length > limit:
		return tooLarge(limit), false
	}
	return goose.Refusal{}, true
}

func tooLarge(limit int64) goose.Refusal {
	return goose.NotRunRefusal(goose.CodePromptTooLong, fmt.Sprintf("the body exceeds %d bytes", limit))
}
