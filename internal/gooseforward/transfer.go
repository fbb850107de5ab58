package gooseforward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Kinds of memory that transfers hold.
const (
	kindSmallBody goosetransfer.Kind = "small-body"
	kindLongBody  goosetransfer.Kind = "long-body"
	kindResponse  goosetransfer.Kind = "response"
	// kindDiscard is that of the kernel for the rest of a refused body.
	kindDiscard goosetransfer.Kind = "discard"
)

const (
	// writePieceBytes is the size of the writes of a long response, whose progress is measured.
	writePieceBytes = 16 << 10
	// writeGrace is how long after its request's deadline a response may still be written. Its
	// caller no longer waits for it.
	writeGrace = 2 * time.Second
)

// cutInterval is the interval at which a request that waits for memory cuts a slow transfer. It
// is the time for the memory of the last one to be released.
const cutInterval = 20 * time.Millisecond

// transfers are the bodies that arrive and the responses that are written.
type transfers struct {
	*goosetransfer.Table
	metrics *Metrics
	log     *slog.Logger
}

// cutSlowest cuts the slowest transfer that holds memory of this kind, if it is too slow.
func (t *transfers) cutSlowest(kind goosetransfer.Kind) {
	if t.CutSlowest(kind, time.Now()) {
		t.metrics.countCut(kind)
		gooseevent.TransferCut.Log(t.log, slog.String("memory", string(kind)))
	}
}

// errSlowBody reports a body that was cut because it arrived too slowly.
var errSlowBody = errors.New("the body arrives too slowly")

// transferReader records the progress of a body.
type transferReader struct {
	io.Reader
	transfer *goosetransfer.Transfer
}

// Read implements io.Reader.
func (r transferReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.transfer.Progress(n, time.Now())
	return n, err
}

// acquireMemory waits for n bytes, and cuts slow transfers that hold memory of this kind. It
// reports whether it has acquired them before ctx ended.
func acquireMemory(ctx context.Context, memory *semaphore.Weighted, n int64, transfers *transfers, kind goosetransfer.Kind) bool {
	if memory.TryAcquire(n) {
		return true
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for ticker := time.NewTicker(cutInterval); ; {
			transfers.cutSlowest(kind)
			select {
			case <-ctx.Done():
				ticker.Stop()
				return
			case <-ticker.C:
			}
		}
	}()
	return memory.Acquire(ctx, n) == nil
}

// writeTransfer writes to the caller. If the caller reads too slowly while others need memory of
// this kind, the connection breaks.
func (c *call) writeTransfer(data []byte, kind goosetransfer.Kind, flush bool) error {
	control := http.NewResponseController(c.w)
	transfer := c.transfers.Begin(time.Now(), func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
	defer transfer.End()
	transfer.Hold(kind, time.Now())
	for piece := range slices.Chunk(data, writePieceBytes) {
		n, err := c.w.Write(piece)
		if err != nil {
			return err
		}
		transfer.Progress(n, time.Now())
	}
	if flush {
		return control.Flush()
	}
	return nil
}

// releaseBody releases the memory of a body that is not sent again.
func (c *call) releaseBody() {
	c.bodyMemory.release(c.heldBody)
	c.body, c.heldBody = nil, heldBody{}
}

// kind returns the kind of memory that a body holds.
func (h heldBody) kind() goosetransfer.Kind {
	switch {
	case h.long > 0:
		return kindLongBody
	case h.small > 0:
		return kindSmallBody
	}
	return ""
}

// limitWriting ends the writing of a response after the request's deadline. The deadline stays
// in force for what net/http writes after the handler, and the next request sets its own.
func (c *call) limitWriting(deadline time.Time) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGrace))
}
