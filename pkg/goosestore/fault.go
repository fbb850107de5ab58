package goosestore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Call is a kind of call to the store.
type Call string

// Kinds of calls.
const (
	CallRange Call = "range"
	CallTxn   Call = "txn"
	CallLease Call = "lease"
	CallWatch Call = "watch"
)

// Loss tells which part of a call is lost.
type Loss string

// Losses. The caller sees ErrUncertain for each but LossNone.
const (
	LossNone Loss = "none"
	// LossAnswer loses the answer after the effect.
	LossAnswer Loss = "answer"
	// LossRequest loses the request before the effect.
	LossRequest Loss = "request"
	// LossLate loses the answer at once and delays the effect by Faults.Late:
	// a request that waited in a buffer while its caller gave up.
	LossLate Loss = "late"
)

// Faults are the fault switches of a Memory.
type Faults struct {
	// Down refuses every call with ErrUnavailable and ends all watches.
	Down bool
	// Slow delays every answer; a caller whose context ends first gets
	// ErrUncertain although the effect took place.
	Slow time.Duration
	// Lose decides for each call what is lost; nil loses nothing.
	Lose func(Call) Loss
	// Late is the delay of LossLate.
	Late time.Duration
}

type faultSwitch struct{ current atomic.Pointer[Faults] }

func (s *faultSwitch) get() Faults {
	if f := s.current.Load(); f != nil {
		return *f
	}
	return Faults{}
}

func (f Faults) loss(c Call) Loss {
	if f.Lose == nil {
		return LossNone
	}
	return f.Lose(c)
}

// SetFaults replaces the fault switches; the zero value ends all faults.
func (m *Memory) SetFaults(f Faults) {
	m.faults.current.Store(&f)
	if f.Down {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.endWatches(goose.ErrUnavailable)
	}
}

// Counts are the calls that reached a Memory, by kind.
type Counts map[Call]int64

// Total returns the number of calls of all kinds.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

type counter struct{ ranges, txns, leases, watches atomic.Int64 }

func (c *counter) add(k Call) {
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

// Counts returns the calls that reached the store since it was made.
func (m *Memory) Counts() Counts {
	return Counts{
		CallRange: m.count.ranges.Load(),
		CallTxn:   m.count.txns.Load(),
		CallLease: m.count.leases.Load(),
		CallWatch: m.count.watches.Load(),
	}
}

// serve runs one call under the fault switches. effect runs with the lock held.
func (m *Memory) serve(ctx context.Context, c Call, effect func() error) error {
	f := m.faults.get()
	if f.Down {
		return errors.Wrap(goose.ErrUnavailable, string(c))
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(goose.ErrUnavailable, err.Error())
	}
	loss := f.loss(c)
	if loss == LossRequest {
		return errors.Wrap(goose.ErrUncertain, string(c))
	}
	m.count.add(c)
	if loss == LossLate {
		time.AfterFunc(f.Late, func() { _ = m.locked(effect) })
		return errors.Wrap(goose.ErrUncertain, string(c))
	}
	err := m.locked(effect)
	if f.Slow > 0 && !goose.Sleep(ctx, f.Slow) {
		return errors.Wrap(goose.ErrUncertain, string(c))
	}
	if loss == LossAnswer {
		return errors.Wrap(goose.ErrUncertain, string(c))
	}
	return err
}

func (m *Memory) locked(effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return errors.Wrap(goose.ErrUnavailable, "store closed")
	}
	m.expire()
	return effect()
}
