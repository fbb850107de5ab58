package gooseforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// discardTimeout bounds how long the rest of a body is read after its request was refused.
// Closing a connection with unread bytes resets it, and the caller may lose the refusal.
const discardTimeout = 3 * time.Second

// maxDiscardBytes bounds how much of it is read, four times the longest body that callers of the
// users' platform may send. A caller that sends still more may lose the refusal.
const maxDiscardBytes = 16 << 20

const (
	// discardMemoryShare is the inverse part of the machine's memory that the kernel may take for
	// the rests of all refused bodies, and discardBytes the part of one. Further ones wait.
	discardMemoryShare = 32
	discardBytes       = 64 << 10
)

// discards are the rests of refused bodies that are read and dropped.
type discards struct {
	*goosememory.Pool
	transfers *goosetransfer.Table
}

func newDiscards(machineBytes int64, t *goosetransfer.Table) *discards {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	return &discards{transfers: t, Pool: goosememory.NewPool(max(machineBytes/discardMemoryShare, discardBytes), kindDiscard, t)}
}

// read reads and drops the rest of a body until it ends, its time is over or ctx ends.
func (d *discards) read(ctx context.Context, s bodySource) {
	claim := goosememory.Claim{Bytes: discardBytes, Owners: s.owners()}
	if !d.Acquire(ctx, claim) {
		return
	}
	defer d.Release(claim)
	transfer := d.transfers.Begin(goosetransfer.LengthUnknown, time.Now(), s.cut)
	defer transfer.End()
	transfer.Hold(kindDiscard, time.Now())
	_ = s.conn.SetReceiveBuffer(discardBytes)
	_, _ = io.CopyN(io.Discard, goosetransfer.Reader{Reader: s, Transfer: transfer}, s.limit)
}

// refuseBeforeBody sends a refusal at once, although the body has not been read, and then reads
// and drops the rest of the body.
func (c *call) refuseBeforeBody(r goose.Refusal) {
	c.sendBeforeBody(r)
	if c.r.ContentLength == 0 {
		return
	}
	// The part that was read needs no memory any more.
	c.releaseBody()
	ctx, cancel := context.WithTimeout(c.r.Context(), discardTimeout)
	defer cancel()
	c.discards.read(ctx, bodySource{
		Reader: c.incoming, conn: c.conn, owners: c.owners, length: -1, limit: maxDiscardBytes, cut: c.cutBody,
	})
}

// sendBeforeBody sends a refusal while the body may still be arriving.
func (c *call) sendBeforeBody(r goose.Refusal) {
	control := http.NewResponseController(c.w)
	// Without full duplex, a server may read the whole body before it sends a response.
	_ = control.EnableFullDuplex()
	if c.r.ContentLength != 0 {
		// The rest of the body must not be read as the next request.
		c.w.Header().Set("Connection", "close")
	}
	c.refuse(r)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
}
