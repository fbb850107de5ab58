package goosetest

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Ledger keeps orders in memory.
type Ledger struct {
	goose.Ledger
	// Mu guards Orders, by key.
	Mu     sync.Mutex
	Orders map[string]goose.Order
	ended  map[string]chan struct{}
	// Down makes the ledger unavailable, and Delay is how long a claim takes.
	Down  bool
	Delay time.Duration
	// Claims counts the claims that were tried.
	Claims atomic.Int64
}

// Claim implements goose.Ledger.
func (f *Ledger) Claim(_ context.Context, k goose.OrderKey, hash string, a goose.AttemptID) goose.Claim {
	f.Claims.Add(1)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	f.Mu.Lock()
	defer f.Mu.Unlock()
	o, ok := f.Orders[k.Key]
	switch {
	case f.Down:
		return goose.Claim{Status: goose.ClaimUnavailable}
	case ok && o.BodyHash != hash:
		return goose.Claim{Status: goose.ClaimKeyReused, Order: o}
	case ok && o.State == goose.OrderClaimed:
		return goose.Claim{Status: goose.ClaimRunning, Order: o}
	case ok && o.State != goose.OrderNotRun:
		return claimOf(o)
	}
	if f.Orders == nil {
		f.Orders, f.ended = map[string]goose.Order{}, map[string]chan struct{}{}
	}
	o = goose.Order{Key: k, State: goose.OrderClaimed, BodyHash: hash, Attempt: a}
	f.Orders[k.Key], f.ended[k.Key] = o, make(chan struct{})
	return goose.Claim{Status: goose.ClaimGranted, Order: o}
}

func claimOf(o goose.Order) goose.Claim {
	if o.State == goose.OrderUnknown {
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	return goose.Claim{Status: goose.ClaimDone, Order: o}
}

func (f *Ledger) settle(o goose.Order, s goose.OrderState) {
	f.Mu.Lock()
	defer f.Mu.Unlock()
	o.State = s
	f.Orders[o.Key.Key] = o
	close(f.ended[o.Key.Key])
}

// MarkDone implements goose.Ledger.
func (f *Ledger) MarkDone(o goose.Order, a goose.PlainResponse) {
	o.Answer, o.AnswerKept = a, true
	f.settle(o, goose.OrderDone)
}

// MarkNotRun implements goose.Ledger.
func (f *Ledger) MarkNotRun(o goose.Order) { f.settle(o, goose.OrderNotRun) }

// MarkUnknown implements goose.Ledger.
func (f *Ledger) MarkUnknown(o goose.Order) { f.settle(o, goose.OrderUnknown) }

// WaitForOutcome implements goose.Ledger.
func (f *Ledger) WaitForOutcome(ctx context.Context, o goose.Order) goose.Claim {
	f.Mu.Lock()
	ended := f.ended[o.Key.Key]
	f.Mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	f.Mu.Lock()
	defer f.Mu.Unlock()
	return claimOf(f.Orders[o.Key.Key])
}
