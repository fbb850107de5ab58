package gooseforward

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Kinds of memory that transfers hold.
const (
	kindSmallBody goosetransfer.Kind = "small-body"
	// kindSmallChunks is that of the begin of bodies of unknown length.
	kindSmallChunks goosetransfer.Kind = "small-chunks"
	kindLongBody    goosetransfer.Kind = "long-body"
	kindResponse    goosetransfer.Kind = "response"
	// kindDiscard is that of the kernel for the rest of a refused body.
	kindDiscard goosetransfer.Kind = "discard"
	// kindConnection is that of a transfer which holds its connection alone.
	kindConnection goosetransfer.Kind = "connection"
)

const (
	// writePieceBytes is the size of the writes of a long response, whose progress is measured.
	writePieceBytes = 16 << 10
	// writeGrace is how long after its request's deadline a response may still be written. Its
	// caller no longer waits for it.
	writeGrace = 2 * time.Second
)

// CutSlowest cuts the slowest body or reader, whatever memory it holds, and reports whether there
// was one that may be cut. It makes room for the connections of other callers.
func (f *Forwarder) CutSlowest() bool {
	return f.transfers.CutSlowest(goosetransfer.Need{}, time.Now())
}

// recordCut counts and logs a body or a response of the request that is cut.
func (c *call) recordCut(kind goosetransfer.Kind) {
	c.o.Metrics.countCut(kind)
	gooseevent.TransferCut.Log(c.o.Log, slog.String("memory", string(kind)),
		slog.String("workspace", string(c.workspace.Name)), slog.String("route", c.route.Name))
}

// cutBody makes the read of the body return an error.
func (c *call) cutBody(kind goosetransfer.Kind) {
	c.recordCut(kind)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// cutResponse makes the write of the response return an error.
func (c *call) cutResponse(kind goosetransfer.Kind) {
	c.recordCut(kind)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0))
}

// errSlowBody reports a body that was cut because it arrived too slowly.
var errSlowBody = errors.New("the body arrives too slowly")

// writeTransfer writes to the caller. If the caller reads too slowly while others need memory of
// this kind, the connection breaks.
func (c *call) writeTransfer(data []byte, kind goosetransfer.Kind, flush bool) error {
	transfer := c.transfers.Begin(goosetransfer.LengthPausing, time.Now(), c.cutResponse)
	defer transfer.End()
	transfer.Hold(cmp.Or(kind, kindConnection), time.Now())
	for piece := range slices.Chunk(data, writePieceBytes) {
		n, err := c.w.Write(piece)
		if err != nil {
			return err
		}
		transfer.Progress(n, time.Now())
	}
	if flush {
		return http.NewResponseController(c.w).Flush()
	}
	return nil
}

// releaseBody releases the memory of a body that is not sent again.
func (c *call) releaseBody() {
	c.heldBody.release()
	c.body, c.heldBody = nil, heldBody{}
}

// limitWriting ends the writing of a response after the request's deadline. The deadline stays
// in force for what net/http writes after the handler, and the next request sets its own.
func (c *call) limitWriting(deadline time.Time) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGrace))
}
