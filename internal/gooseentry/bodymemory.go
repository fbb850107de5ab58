package gooseentry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Kinds of memory that bodies hold.
const (
	kindSmallBody goosetransfer.Kind = "small-body"
	kindLongBody  goosetransfer.Kind = "long-body"
	// kindDiscard is that of the kernel for the rest of a refused body.
	kindDiscard goosetransfer.Kind = "discard"
)

const (
	// smallBodyBytes is the length up to which bodies share memory of their own, so that long
	// bodies do not keep short requests waiting. The begin of a body of unknown length is small.
	smallBodyBytes = 64 << 10
	// smallBodyShare is the inverse part of the memory of all bodies that small ones share.
	smallBodyShare = 16
	// discardShare is the inverse part of the memory of all bodies that the kernel may take in
	// addition for the rests of refused ones, and discardBytes the part of one.
	discardShare = 8
	discardBytes = 64 << 10
	// memoryWait bounds how long a request waits for memory. Its body is not read meanwhile.
	memoryWait = time.Second
)

// bodyMemory bounds the memory that the bodies of all requests hold in total.
type bodyMemory struct {
	small, long, discards *goosememory.Pool
	// smallBytes and longBytes are the sizes of the pools.
	smallBytes, longBytes int64
	transfers             *goosetransfer.Table
}

func newBodyMemory(l Limits) *bodyMemory {
	t := goosetransfer.New()
	small := l.MaxBodyBytesInFlight / smallBodyShare
	long := l.MaxBodyBytesInFlight - small
	if l.MaxBodyBytes <= l.MaxBodyBytesInFlight {
		long = max(long, l.MaxBodyBytes)
	}
	return &bodyMemory{
		small: goosememory.NewPool(small, kindSmallBody, t), long: goosememory.NewPool(long, kindLongBody, t),
		discards:   goosememory.NewPool(max(l.MaxBodyBytesInFlight/discardShare, discardBytes), kindDiscard, t),
		smallBytes: small, longBytes: long, transfers: t,
	}
}

// free returns what no body holds.
func (m *bodyMemory) free() int64 { return m.small.Free() + m.long.Free() }

// poolFor returns the pool for an amount, or nil if there is none of that size.
func (m *bodyMemory) poolFor(n int64) *goosememory.Pool {
	switch {
	case n <= smallBodyBytes && n <= m.smallBytes:
		return m.small
	case n <= m.longBytes:
		return m.long
	}
	return nil
}

// CutSlowest cuts the slowest body, and reports whether there was one that may be cut. It makes room
// for the connections of other callers.
func (e *Entry) CutSlowest() bool {
	return e.bodies.transfers.CutSlowest(goosetransfer.Need{}, time.Now())
}

// bodyReader reads one body into memory of its own.
type bodyReader struct {
	memory   *bodyMemory
	body     *body
	source   io.Reader
	conn     goose.CallerConn
	owners   []goosememory.Owner
	transfer *goosetransfer.Transfer
	// grown is true once the kernel receives more than for a connection without a body.
	grown bool
}

// newBodyReader returns a reader for a body; length is negative if it is unknown.
func (e *Entry) newBodyReader(c fiber.Ctx, workspace goose.WorkspaceName, length int64) *bodyReader {
	r := &bodyReader{memory: e.bodies, body: &body{start: headroomBytes}, conn: callerConn(c)}
	r.owners = []goosememory.Owner{goosememory.Owner("workspace " + workspace), goosememory.Owner("address " + c.RequestCtx().RemoteIP().String())}
	conn, path := c.RequestCtx().Conn(), strings.Clone(c.Path())
	r.transfer = e.bodies.transfers.Begin(max(goosetransfer.Length(length), goosetransfer.LengthUnknown), time.Now(), func(kind goosetransfer.Kind) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_transfers_cut_total{memory=%q}`, kind)).Inc()
		gooseevent.TransferCut.Log(e.log, slog.String("memory", string(kind)), slog.String("workspace", string(workspace)), slog.String("route", path))
		cut(conn)
	})
	return r
}

// cut makes the reads of a connection return an error.
func cut(conn net.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// callerConn returns the connection of a request.
func callerConn(c fiber.Ctx) goose.CallerConn {
	if conn, ok := c.RequestCtx().Conn().(goose.CallerConn); ok {
		return conn
	}
	return goose.UnknownConn{}
}

// end ends the transfer and reports whether it was cut.
func (r *bodyReader) end() bool {
	if r.grown {
		_ = r.conn.SetReceiveBuffer(0)
	}
	return r.transfer.End()
}

// acquire waits for memory, and then has the kernel receive more.
func (r *bodyReader) acquire(n int64) error {
	pool := r.memory.poolFor(n)
	if pool == nil {
		return errBodyBudget
	}
	claim := goosememory.Claim{Bytes: n, Owners: r.owners}
	// A transfer that waits for memory is not slow.
	r.transfer.Hold("", time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
	defer cancel()
	if !pool.Acquire(ctx, claim) {
		return errBodyBudget
	}
	r.body.held = append(r.body.held, heldMemory{pool, claim})
	r.transfer.Hold(pool.Kind(), time.Now())
	if r.source != nil {
		// An error means that the caller has disconnected, which the read reports.
		_ = r.conn.SetReceiveBuffer(n)
		r.grown = true
	}
	return nil
}

// readBuffered copies a body that the HTTP server has already read.
func (r *bodyReader) readBuffered(p []byte, limit int64) error {
	if int64(len(p)) > limit {
		return errBodyTooLarge
	}
	if err := r.acquire(int64(len(p))); err != nil {
		return err
	}
	r.body.buf = append(make([]byte, headroomBytes, headroomBytes+len(p)), p...)
	return nil
}

func (r *bodyReader) readKnownLength(length int64) error {
	if err := r.acquire(length); err != nil {
		return err
	}
	r.body.buf = make([]byte, headroomBytes+length)
	_, err := io.ReadFull(goosetransfer.Reader{Reader: r.source, Transfer: r.transfer}, r.body.buf[headroomBytes:])
	return errors.WithStack(err)
}

func (r *bodyReader) readUnknownLength(limit int64) error {
	b := r.body
	b.buf = make([]byte, headroomBytes)
	source := goosetransfer.Reader{Reader: r.source, Transfer: r.transfer}
	for {
		if cap(b.buf) == len(b.buf) {
			more := max(minChunkBytes, len(b.buf))
			if err := r.acquire(int64(more)); err != nil {
				return err
			}
			b.buf = append(make([]byte, 0, len(b.buf)+more), b.buf...)
		}
		n, err := source.Read(b.buf[len(b.buf):cap(b.buf)])
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

// discard reads and drops the rest of a refused body. The kernel receives more of it at a time if
// there is memory for that.
func (m *bodyMemory) discard(rest io.Reader, conn goose.CallerConn) {
	claim := goosememory.Claim{Bytes: discardBytes}
	if m.discards.TryAcquire(claim) {
		defer m.discards.Release(claim)
		_ = conn.SetReceiveBuffer(discardBytes)
	}
	_, _ = io.CopyN(io.Discard, rest, maxDrainBytes)
}
