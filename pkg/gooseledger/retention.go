package gooseledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// slotLength is how long one retention lease takes new claims.
const slotLength = time.Hour

// retention hands out the store leases that delete records after the retention
// period: one per instance and hour, never renewed, and another one for an order
// that may run longer than the current lease allows.
type retention struct {
	store   goose.Store
	clock   goose.Clock
	period  time.Duration
	current atomic.Pointer[slot]
	// granting lets one claim ask for a lease while others wait.
	granting chan struct{}
}

type slot struct {
	started time.Time
	// allowance is how long after its claim an order of this slot may run: its
	// record must not expire before, or a repeat would run beside it.
	allowance time.Duration
	lease     goose.LeaseID
}

func newRetention(store goose.Store, clock goose.Clock, period time.Duration) *retention {
	return &retention{store: store, clock: clock, period: period, granting: make(chan struct{}, 1)}
}

// lease returns a lease that lasts at least the retention period after an order
// claimed now that runs for left.
func (r *retention) lease(ctx context.Context, left time.Duration) (goose.LeaseID, error) {
	if id, ok := r.fresh(left); ok {
		return id, nil
	}
	select {
	case r.granting <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Wrap(goose.ErrUnavailable, ctx.Err().Error())
	}
	defer func() { <-r.granting }()
	if id, ok := r.fresh(left); ok {
		return id, nil
	}
	// Whole slots keep orders of slightly different deadlines under one lease.
	allowance := (left + slotLength - 1).Truncate(slotLength)
	// Counted from before the grant was sent. The extra hour lets the last
	// claim of the slot be kept for the whole period.
	started := r.clock.Now()
	id, err := r.store.Grant(ctx, r.period+slotLength+allowance)
	if err != nil {
		return 0, errors.Wrap(err, "retention lease")
	}
	r.current.Store(&slot{started: started, allowance: allowance, lease: id})
	return id, nil
}

func (r *retention) fresh(left time.Duration) (goose.LeaseID, bool) {
	s := r.current.Load()
	if s == nil || r.clock.Now().Sub(s.started) >= slotLength || left > s.allowance {
		return 0, false
	}
	return s.lease, true
}

// forget drops a lease that the store does not know.
func (r *retention) forget(id goose.LeaseID) {
	if s := r.current.Load(); s != nil && s.lease == id {
		r.current.CompareAndSwap(s, nil)
	}
}
