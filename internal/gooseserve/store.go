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

// silence is how long the store must fail to answer before an instance acts
// without it. A single lost answer is no outage.
const silence = 2 * time.Second

// monitoredStore notes when the store last answered.
type monitoredStore struct {
	goose.Store
	// answered and failed are times in nanoseconds since the epoch of the process.
	answered atomic.Int64
	failed   atomic.Int64
	start    time.Time
}

func monitor(s goose.Store) *monitoredStore {
	return &monitoredStore{Store: s, start: time.Now()}
}

func (m *monitoredStore) note(err error) {
	if errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown) {
		m.failed.Store(int64(time.Since(m.start)))
		return
	}
	m.answered.Store(int64(time.Since(m.start)))
}

// Silent reports whether the last calls failed and none has been answered for
// some time.
func (m *monitoredStore) Silent() bool {
	failed, answered := m.failed.Load(), m.answered.Load()
	return failed > answered && time.Since(m.start)-time.Duration(answered) > silence
}

// Get implements goose.Store.
func (m *monitoredStore) Get(ctx context.Context, key string) (goose.Entry, bool, error) {
	e, ok, err := m.Store.Get(ctx, key)
	m.note(err)
	return e, ok, err
}

// GetAfter implements goose.Store.
func (m *monitoredStore) GetAfter(ctx context.Context, key string, revision int64) (goose.Entry, bool, error) {
	e, ok, err := m.Store.GetAfter(ctx, key, revision)
	m.note(err)
	return e, ok, err
}

// List implements goose.Store.
func (m *monitoredStore) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	e, rev, err := m.Store.List(ctx, prefix, limit)
	m.note(err)
	return e, rev, err
}

// Commit implements goose.Store.
func (m *monitoredStore) Commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	r, err := m.Store.Commit(ctx, txn)
	m.note(err)
	return r, err
}

// CommitAll implements goose.Store.
func (m *monitoredStore) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	r, err := m.Store.CommitAll(ctx, txns)
	m.note(err)
	return r, err
}

// Grant implements goose.Store.
func (m *monitoredStore) Grant(ctx context.Context, ttl time.Duration) (goose.LeaseID, error) {
	id, err := m.Store.Grant(ctx, ttl)
	m.note(err)
	return id, err
}

// KeepAlive implements goose.Store.
func (m *monitoredStore) KeepAlive(ctx context.Context, id goose.LeaseID) (time.Duration, error) {
	ttl, err := m.Store.KeepAlive(ctx, id)
	m.note(err)
	return ttl, err
}

// campaigner adapts the lease to what the dispatcher needs: one call that
// returns once the key is held.
type campaigner struct {
	leases *gooselease.Campaigner
}

// campaignPause is the time between two tries while the store does not answer.
const campaignPause = 500 * time.Millisecond

// Campaign implements goosedispatch.Campaigner.
func (c campaigner) Campaign(ctx context.Context, key string) (goosedispatch.HeldLease, error) {
	for {
		h, err := c.leases.Campaign(ctx, key)
		if err == nil {
			return h, nil
		}
		var taken *gooselease.HeldByOtherError
		if errors.As(err, &taken) {
			err = c.leases.AwaitFree(ctx, key)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil && !goose.Sleep(ctx, campaignPause) {
			return nil, ctx.Err()
		}
	}
}
