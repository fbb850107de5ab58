package goosememory

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// cutInterval is the interval at which a claim that waits cuts a slow transfer. It is the time for
// the memory of the last one to be released.
const cutInterval = 20 * time.Millisecond

// Pool is a budget whose memory transfers of one kind hold. A claim that waits for it cuts slow ones.
type Pool struct {
	*Budget
	kind      goosetransfer.Kind
	transfers *goosetransfer.Table
}

// NewPool returns a pool of a size in bytes, all of it free.
func NewPool(size int64, kind goosetransfer.Kind, transfers *goosetransfer.Table) *Pool {
	return &Pool{Budget: New(size), kind: kind, transfers: transfers}
}

// Kind returns the kind of memory.
func (p *Pool) Kind() goosetransfer.Kind { return p.kind }

// Acquire waits for the memory of a claim, and reports whether it was acquired before ctx ended.
func (p *Pool) Acquire(ctx context.Context, c Claim) bool {
	if p.TryAcquire(c) {
		return true
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go p.cutSlow(ctx, goosetransfer.Need{Kind: p.kind, Rate: c.Rate})
	return p.Budget.Acquire(ctx, c)
}

// cutSlow cuts a slow transfer at each interval until ctx ends.
func (p *Pool) cutSlow(ctx context.Context, need goosetransfer.Need) {
	ticker := time.NewTicker(cutInterval)
	defer ticker.Stop()
	for {
		p.transfers.CutSlowest(need, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
