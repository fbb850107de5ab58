package goosestore

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// minExpiryWait bounds how often the expiry timer fires if the injected clock does not
// advance with the system clock.
const minExpiryWait = 10 * time.Millisecond

// Grant implements goose.Store. The TTL is rounded up to whole seconds.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (goose.LeaseID, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease TTL %s is not positive", ttl)
	}
	var id goose.LeaseID
	err := m.runCall(ctx, CallLease, func() error {
		m.lastID++
		id = m.lastID
		whole := time.Duration(ceilSeconds(ttl)) * time.Second
		m.leases[id] = &memoryLease{ttl: whole, deadline: m.clock.Now().Add(whole), keys: map[string]struct{}{}}
		m.resetTimer()
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements goose.Store.
func (m *Memory) KeepAlive(ctx context.Context, id goose.LeaseID) (time.Duration, error) {
	var ttl time.Duration
	err := m.runCall(ctx, CallLease, func() error {
		l := m.leases[id]
		if l == nil {
			return errors.Wrapf(goose.ErrLeaseNotFound, "keep lease %d alive", id)
		}
		l.deadline = m.clock.Now().Add(l.ttl)
		ttl = l.ttl
		return nil
	})
	if err != nil {
		return 0, err
	}
	return ttl, nil
}

// Revoke implements goose.Store. It returns ErrLeaseNotFound if the lease does not
// exist.
func (m *Memory) Revoke(ctx context.Context, id goose.LeaseID) error {
	return m.runCall(ctx, CallLease, func() error {
		if m.leases[id] == nil {
			return errors.Wrapf(goose.ErrLeaseNotFound, "revoke lease %d", id)
		}
		m.deleteLease(id)
		return nil
	})
}

// Expire ends every lease that has expired by the store's clock. The store also does
// this by itself before each call and by a timer.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked()
}

func (m *Memory) expireLocked() {
	now := m.clock.Now()
	if now.Before(m.nextExpiry) {
		return
	}
	var expired []goose.LeaseID
	for id, l := range m.leases {
		if !now.Before(l.deadline) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		m.deleteLease(id)
	}
}

func (m *Memory) deleteLease(id goose.LeaseID) {
	l := m.leases[id]
	ops := make([]goose.Op, 0, len(l.keys))
	for k := range l.keys {
		ops = append(ops, goose.Delete(k))
	}
	sort.Slice(ops, func(i, j int) bool { return ops[i].Key < ops[j].Key })
	m.applyOps(ops)
	delete(m.leases, id)
}

// resetTimer sets the expiry timer to the earliest deadline, so that watches see an
// expiry even without a call.
func (m *Memory) resetTimer() {
	if m.closed || len(m.leases) == 0 {
		return
	}
	var next time.Time
	for _, l := range m.leases {
		if next.IsZero() || l.deadline.Before(next) {
			next = l.deadline
		}
	}
	m.nextExpiry = next
	wait := max(next.Sub(m.clock.Now()), minExpiryWait)
	if m.expiryTimer != nil {
		m.expiryTimer.Stop()
	}
	m.expiryTimer = time.AfterFunc(wait, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expireLocked()
		m.resetTimer()
	})
}

// ceilSeconds rounds up, since a lease must not be shorter than requested.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }
