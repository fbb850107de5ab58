package gooseledger

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// SweepInterval is the interval between searches for claims of dead instances. A
// repeated request resolves its own order at once; the sweep covers orders that
// are not requested again.
const SweepInterval = 30 * time.Second

// Run marks claims of dead instances as unknown every SweepInterval until ctx
// ends. Only the live instance with the lowest name in a data centre sweeps, so a
// sweep of the fleet costs one read per data centre.
func (l *Ledger) Run(ctx context.Context) {
	for goose.Sleep(ctx, SweepInterval) {
		if l.isSweeper() {
			l.Sweep(ctx)
		}
	}
}

func (l *Ledger) isSweeper() bool {
	if l.opts.Members == nil {
		return true
	}
	_, self := lowestLiveMember(l.opts.Members)
	return self
}

// Sweep marks the claims of dead instances as unknown and returns their number.
func (l *Ledger) Sweep(ctx context.Context) int {
	entries, _, err := l.opts.Store.List(ctx, l.keys.markerPrefix(), 0)
	if err != nil {
		return 0
	}
	marked := 0
	for _, e := range entries {
		o, err := decodeOrder(e)
		if err != nil {
			gooseevent.OrderRecordUnreadable.Log(l.opts.Logger, "key", e.Key, "error", err)
			continue
		}
		// The marker was written in the same revision as the record, so
		// o.Revision is the record's revision too.
		if o.State != goose.OrderClaimed || !l.claimantDead(o) {
			continue
		}
		if c, err := l.markUnknown(ctx, o, e.Lease); err == nil && c.Status == goose.ClaimUnknown {
			marked++
		}
	}
	return marked
}
