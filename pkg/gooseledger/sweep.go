package gooseledger

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// SweepInterval is how often claims of dead instances are looked for. A repeat
// finds its own claim's state at once; the sweep is for orders without one.
const SweepInterval = 30 * time.Second

// Run marks claims of dead instances as unknown at intervals until ctx ends.
// Only the lowest-named live instance of a data centre sweeps, so a sweep of
// the fleet costs one read per data centre.
func (l *Ledger) Run(ctx context.Context) {
	for goose.Sleep(ctx, SweepInterval) {
		if l.sweeper() {
			l.Sweep(ctx)
		}
	}
}

func (l *Ledger) sweeper() bool {
	if l.o.Members == nil {
		return true
	}
	_, self := lowest(l.o.Members)
	return self
}

// Sweep marks the claims of dead instances as unknown and returns how many.
func (l *Ledger) Sweep(ctx context.Context) int {
	entries, _, err := l.o.Store.List(ctx, l.keys.markers(), 0)
	if err != nil {
		return 0
	}
	marked := 0
	for _, e := range entries {
		o, err := decode(e)
		if err != nil {
			gooseevent.OrderRecordBroken.Log(l.o.Logger, "key", e.Key, "error", err)
			continue
		}
		// The marker was written in the same revision as the record.
		if o.State != goose.OrderClaimed || !l.dead(o) {
			continue
		}
		if c, err := l.markUnknown(ctx, o, e.Lease); err == nil && c.Status == goose.ClaimUnknown {
			marked++
		}
	}
	return marked
}
