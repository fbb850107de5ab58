package gooseforward

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

const (
	// firstBufferBytes is the size of the first buffer for a body. It needs no memory but that of
	// its connection, so that bodies up to this length never wait, and the rate at which it
	// arrives decides who gets memory first.
	firstBufferBytes = 4 << 10
	// smallBodyBytes is the length up to which bodies share memory of their own, so that long
	// bodies do not keep short requests waiting.
	smallBodyBytes = 64 << 10
	// longBodyShare, smallBodyShare and smallChunksShare are the inverse parts of the machine's
	// memory that all long bodies, all small ones, and the begins of those of unknown length may
	// take. The rest is for responses, connections and the garbage of ended requests.
	longBodyShare    = 5
	smallBodyShare   = 16
	smallChunksShare = 32
)

// bodyMemory bounds the memory that the bodies of all requests hold in total.
type bodyMemory struct {
	longBytes                int64
	long, small, smallChunks *goosememory.Pool
	transfers                *goosetransfer.Table
}

// heldBody is the memory that one body holds.
type heldBody struct {
	// memory is nil for a body that needs none but that of its connection.
	memory *goosememory.Pool
	claim  goosememory.Claim
}

// kind returns the kind of memory that a body holds, or an empty one.
func (h heldBody) kind() goosetransfer.Kind {
	if h.memory == nil {
		return ""
	}
	return h.memory.Kind()
}

func (h heldBody) release() {
	if h.memory != nil {
		h.memory.Release(h.claim)
	}
}

func newBodyMemory(machineBytes int64, t *goosetransfer.Table) *bodyMemory {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	long := machineBytes / longBodyShare
	return &bodyMemory{
		longBytes: long, long: goosememory.NewPool(long, kindLongBody, t),
		small:       goosememory.NewPool(machineBytes/smallBodyShare, kindSmallBody, t),
		smallChunks: goosememory.NewPool(machineBytes/smallChunksShare, kindSmallChunks, t), transfers: t,
	}
}

// errNoBodyMemory reports that the bodies of other requests hold all memory.
var errNoBodyMemory = errors.New("no memory for the body")

// bodySource is a body that arrives.
type bodySource struct {
	io.Reader
	conn goose.CallerConn
	// owners returns who is accountable for the memory.
	owners func() []goosememory.Owner
	// length is negative if it is unknown, and limit the length of the longest body.
	length, limit int64
	// wait bounds each wait for memory.
	wait time.Duration
	// cut has to make Read return an error. It is called if the body arrives too slowly and others
	// need its memory.
	cut func(goosetransfer.Kind)
}

// read reads a body into one buffer. The memory that is held has to be released, also with an
// error. A body that is longer than its limit is returned with a length above it.
func (m *bodyMemory) read(ctx context.Context, s bodySource) ([]byte, heldBody, error) {
	transfer := m.transfers.Begin(max(goosetransfer.Length(s.length), goosetransfer.LengthUnknown), time.Now(), s.cut)
	buf, held, err := m.readTransfer(ctx, s, transfer)
	if held.memory != nil {
		_ = s.conn.SetReceiveBuffer(0)
	}
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
	r := goosetransfer.Reader{Reader: s, Transfer: transfer}
	for _, size := range bufferSizes(s.length, s.limit) {
		if err := m.grow(ctx, s, size, &held, transfer); err != nil {
			return nil, held, err
		}
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
	return shrink(buf, &held), held, nil
}

// bufferSizes returns the sizes that the buffer for a body has one after the other. A body of
// unknown length that is not small gets memory for the longest one at once: requests that hold
// parts of their bodies and wait for each other's memory could not go on.
func bufferSizes(length, limit int64) []int64 {
	steps := []int64{firstBufferBytes}
	last := length
	if length < 0 || length > limit {
		steps = append(steps, smallBodyBytes)
		last = limit + 1
	}
	var sizes []int64
	for _, size := range steps {
		if size < last {
			sizes = append(sizes, size)
		}
	}
	return append(sizes, last)
}

// grow waits for the memory of a larger buffer, and then has the kernel receive more. A request holds
// the memory of its smaller buffer meanwhile, which is never of the kind that it waits for.
func (m *bodyMemory) grow(ctx context.Context, s bodySource, size int64, held *heldBody, transfer *goosetransfer.Transfer) error {
	larger := heldBody{memory: m.memoryFor(size, s.length)}
	if larger.memory == nil {
		transfer.Hold(kindConnection, time.Now())
		return nil
	}
	rate := transfer.Rate(time.Now())
	// A transfer that waits for memory is not slow.
	transfer.Hold("", time.Now())
	// A body that is longer than the memory for all bodies is read alone.
	larger.claim = goosememory.Claim{Bytes: min(size, m.longBytes), Owners: s.owners(), Rate: rate}
	ctx, cancel := context.WithTimeout(ctx, s.wait)
	defer cancel()
	if !larger.memory.Acquire(ctx, larger.claim) {
		return errNoBodyMemory
	}
	held.release()
	*held = larger
	transfer.Hold(larger.memory.Kind(), time.Now())
	// An error means that the caller has disconnected, which the read reports.
	_ = s.conn.SetReceiveBuffer(size)
	return nil
}

// memoryFor returns the memory for a buffer of a body, or nil if that of the connection suffices.
func (m *bodyMemory) memoryFor(size, length int64) *goosememory.Pool {
	switch {
	case size <= firstBufferBytes:
		return nil
	case size > smallBodyBytes:
		return m.long
	case length < 0:
		return m.smallChunks
	}
	return m.small
}

// shrink releases the unused memory of a buffer for the longest body.
func shrink(buf []byte, held *heldBody) []byte {
	unused := held.claim.Bytes - int64(len(buf))
	if held.kind() != kindLongBody || unused <= 0 || len(buf) == cap(buf) {
		return buf
	}
	exact := append(make([]byte, 0, len(buf)), buf...)
	held.memory.Release(held.claim.WithBytes(unused))
	held.claim = held.claim.WithBytes(int64(len(buf)))
	return exact
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
