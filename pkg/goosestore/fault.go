package goosestore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// CallKind is a kind of store call.
type CallKind string

// Kinds of calls.
const (
	CallRange CallKind = "range"
	CallTxn   CallKind = "txn"
	CallLease CallKind = "lease"
	CallWatch CallKind = "watch"
)

// Loss is the part of a call that is lost.
type Loss string

// Kinds of losses. The caller gets ErrOutcomeUnknown for each except LossNone.
const (
	LossNone Loss = "none"
	// LossResponse loses the response after the call took effect.
	LossResponse Loss = "answer"
	// LossRequest loses the request, so that the call has no effect.
	LossRequest Loss = "request"
	// LossResponseLateEffect loses the response at once and delays the effect, like a request that
	// stays in a buffer after its caller stopped waiting.
	LossResponseLateEffect Loss = "late"
)

// Faults are the faults that a Memory injects.
type Faults struct {
	// Down fails every call with ErrUnavailable and ends all watches.
	Down bool
	// Slow delays every response; a caller whose context ends first gets
	// ErrOutcomeUnknown although the call took effect.
	Slow time.Duration
	// Loss returns for each call which part is lost; if it is nil, nothing is lost.
	Loss func(CallKind) Loss
	// EffectDelay is how long a late effect is delayed.
	EffectDelay time.Duration
}

type faultState struct{ current atomic.Pointer[Faults] }

func (s *faultState) get() Faults {
	if f := s.current.Load(); f != nil {
		return *f
	}
	return Faults{}
}

func (f Faults) loss(c CallKind) Loss {
	if f.Loss == nil {
		return LossNone
	}
	return f.Loss(c)
}

// SetFaults replaces the injected faults; the zero value ends all of them.
func (m *Memory) SetFaults(f Faults) {
	m.faults.current.Store(&f)
	if f.Down {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.endWatches(goose.ErrUnavailable)
	}
}

// Counts are the numbers of calls that reached a Memory, by kind.
type Counts map[CallKind]int64

// Total returns the number of calls of all kinds.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

type callCounter struct{ ranges, txns, leases, watches atomic.Int64 }

func (c *callCounter) add(k CallKind) {
	switch k {
	case CallRange:
		c.ranges.Add(1)
	case CallTxn:
		c.txns.Add(1)
	case CallLease:
		c.leases.Add(1)
	case CallWatch:
		c.watches.Add(1)
	}
}

// Counts returns the numbers of calls that reached the store since it was created.
func (m *Memory) Counts() Counts {
	return Counts{
		CallRange: m.calls.ranges.Load(),
		CallTxn:   m.calls.txns.Load(),
		CallLease: m.calls.leases.Load(),
		CallWatch: m.calls.watches.Load(),
	}
}

// runCall runs one call with the injected faults. effect runs with the lock held.
func (m *Memory) runCall(ctx context.Context, c CallKind, effect func() error) error {
	f := m.faults.get()
	if f.Down {
		return errors.Wrap(goose.ErrUnavailable, string(c))
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(goose.ErrUnavailable, err.Error())
	}
	loss := f.loss(c)
	if loss == LossRequest {
		return errors.Wrap(goose.ErrOutcomeUnknown, string(c))
	}
	m.calls.add(c)
	if loss == LossResponseLateEffect {
		time.AfterFunc(f.EffectDelay, func() { _ = m.withLock(effect) })
		return errors.Wrap(goose.ErrOutcomeUnknown, string(c))
	}
	err := m.withLock(effect)
	if f.Slow > 0 && !goose.Sleep(ctx, f.Slow) {
		return errors.Wrap(goose.ErrOutcomeUnknown, string(c))
	}
	if loss == LossResponse {
		return errors.Wrap(goose.ErrOutcomeUnknown, string(c))
	}
	return err
}

func (m *Memory) withLock(effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return errors.Wrap(goose.ErrUnavailable, "store closed")
	}
	m.expireLocked()
	return effect()
}
