package gooseserve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselease"
)

// unresponsiveAfter is how long the store must fail to respond before an
// instance acts without it. A single lost response is no outage.
const unresponsiveAfter = 2 * time.Second

// monitoredStore records when the store last responded.
type monitoredStore struct {
	goose.Store
	// lastResponse and lastFailure are times in nanoseconds since start.
	lastResponse atomic.Int64
	lastFailure  atomic.Int64
	start        time.Time
}

func newMonitoredStore(s goose.Store) *monitoredStore {
	return &monitoredStore{Store: s, start: time.Now()}
}

func (m *monitoredStore) recordCall(err error) {
	if errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown) {
		m.lastFailure.Store(int64(time.Since(m.start)))
		return
	}
	m.lastResponse.Store(int64(time.Since(m.start)))
}

// Unresponsive reports whether the latest call failed and the store has not
// responded for longer than unresponsiveAfter.
func (m *monitoredStore) Unresponsive() bool {
	failure, response := m.lastFailure.Load(), m.lastResponse.Load()
	return failure > response && time.Since(m.start)-time.Duration(response) > unresponsiveAfter
}

// Get implements goose.Store.
func (m *monitoredStore) Get(ctx context.Context, key string) (goose.Entry, bool, error) {
	e, ok, err := m.Store.Get(ctx, key)
	m.recordCall(err)
	return e, ok, err
}

// GetAfter implements goose.Store.
func (m *monitoredStore) GetAfter(ctx context.Context, key string, revision int64) (goose.Entry, bool, error) {
	e, ok, err := m.Store.GetAfter(ctx, key, revision)
	m.recordCall(err)
	return e, ok, err
}

// List implements goose.Store.
func (m *monitoredStore) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	e, rev, err := m.Store.List(ctx, prefix, limit)
	m.recordCall(err)
	return e, rev, err
}

// Commit implements goose.Store.
func (m *monitoredStore) Commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	r, err := m.Store.Commit(ctx, txn)
	m.recordCall(err)
	return r, err
}

// CommitAll implements goose.Store.
func (m *monitoredStore) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	r, err := m.Store.CommitAll(ctx, txns)
	m.recordCall(err)
	return r, err
}

// Grant implements goose.Store.
func (m *monitoredStore) Grant(ctx context.Context, ttl time.Duration) (goose.LeaseID, error) {
	id, err := m.Store.Grant(ctx, ttl)
	m.recordCall(err)
	return id, err
}

// KeepAlive implements goose.Store.
func (m *monitoredStore) KeepAlive(ctx context.Context, id goose.LeaseID) (time.Duration, error) {
	ttl, err := m.Store.KeepAlive(ctx, id)
	m.recordCall(err)
	return ttl, err
}

// campaigner implements goosedispatch.Campaigner with gooselease, as one call
// that returns once the lease is held.
type campaigner struct {
	leases *gooselease.Campaigner
}

// campaignRetryPause is the time between two tries while the store does not
// respond.
const campaignRetryPause = 500 * time.Millisecond

// Campaign implements goosedispatch.Campaigner.
func (c campaigner) Campaign(ctx context.Context, key string) (goosedispatch.HeldLease, error) {
	for {
		h, err := c.leases.Campaign(ctx, key)
		if err == nil {
			return h, nil
		}
		var heldErr *gooselease.HeldByOtherError
		if errors.As(err, &heldErr) {
			err = c.leases.AwaitFree(ctx, key)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil && !goose.Sleep(ctx, campaignRetryPause) {
			return nil, ctx.Err()
		}
	}
}
