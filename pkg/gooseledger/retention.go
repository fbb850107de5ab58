package gooseledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// slotDuration is how long one retention lease accepts new claims.
const slotDuration = time.Hour

// retentionLeases provides the store leases that delete records after the
// retention period. An instance uses one lease per hour, which is never
// renewed, and a further one for an order that may run longer than the current
// lease allows.
type retentionLeases struct {
	store   goose.Store
	clock   goose.Clock
	period  time.Duration
	current atomic.Pointer[leaseSlot]
	// grantSem is a semaphore: one claim requests a lease while others wait.
	grantSem chan struct{}
}

type leaseSlot struct {
	startedAt time.Time
	// maxRunTime is how long after its claim an order of this slot may run. Its
	// record must not expire earlier, or a repeated request would run at the
	// same time.
	maxRunTime time.Duration
	lease      goose.LeaseID
}

func newRetentionLeases(store goose.Store, clock goose.Clock, period time.Duration) *retentionLeases {
	return &retentionLeases{store: store, clock: clock, period: period, grantSem: make(chan struct{}, 1)}
}

// lease returns a lease for an order that is claimed now and may run for the time
// remaining. The lease lasts at least for the retention period after the order's
// end.
func (r *retentionLeases) lease(ctx context.Context, remaining time.Duration) (goose.LeaseID, error) {
	if id, ok := r.currentLease(remaining); ok {
		return id, nil
	}
	select {
	case r.grantSem <- struct{}{}:
	case <-ctx.Done():
		return 0, errors.Wrap(goose.ErrUnavailable, ctx.Err().Error())
	}
	defer func() { <-r.grantSem }()
	if id, ok := r.currentLease(remaining); ok {
		return id, nil
	}
	// maxRunTime is a multiple of slotDuration, so that orders with slightly
	// different deadlines share a lease.
	maxRunTime := (remaining + slotDuration - 1).Truncate(slotDuration)
	// The slot starts before the grant is sent. The extra slotDuration keeps the
	// record of the slot's last claim for the whole retention period.
	startedAt := r.clock.Now()
	id, err := r.store.Grant(ctx, r.period+slotDuration+maxRunTime)
	if err != nil {
		return 0, errors.Wrap(err, "retention lease")
	}
	r.current.Store(&leaseSlot{startedAt: startedAt, maxRunTime: maxRunTime, lease: id})
	return id, nil
}

func (r *retentionLeases) currentLease(remaining time.Duration) (goose.LeaseID, bool) {
	s := r.current.Load()
	if s == nil || r.clock.Now().Sub(s.startedAt) >= slotDuration || remaining > s.maxRunTime {
		return 0, false
	}
	return s.lease, true
}

// discard stops the use of a lease that the store does not know.
func (r *retentionLeases) discard(id goose.LeaseID) {
	if s := r.current.Load(); s != nil && s.lease == id {
		r.current.CompareAndSwap(s, nil)
	}
}
