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
func (l *Ledger) Claim(_ context.Context, k goose.OrderKey, hash string, a goose.AttemptID) goose.Claim {
	l.Claims.Add(1)
	if l.Delay > 0 {
		time.Sleep(l.Delay)
	}
	l.Mu.Lock()
	defer l.Mu.Unlock()
	o, ok := l.Orders[k.Key]
	switch {
	case l.Down:
		return goose.Claim{Status: goose.ClaimUnavailable}
	case ok && o.BodyHash != hash:
		return goose.Claim{Status: goose.ClaimKeyReused, Order: o}
	case ok && o.State == goose.OrderClaimed:
		return goose.Claim{Status: goose.ClaimRunning, Order: o}
	case ok && o.State != goose.OrderNotRun:
		return claimOf(o)
	}
	if l.Orders == nil {
		l.Orders, l.ended = map[string]goose.Order{}, map[string]chan struct{}{}
	}
	o = goose.Order{Key: k, State: goose.OrderClaimed, BodyHash: hash, Attempt: a}
	l.Orders[k.Key], l.ended[k.Key] = o, make(chan struct{})
	return goose.Claim{Status: goose.ClaimGranted, Order: o}
}

func claimOf(o goose.Order) goose.Claim {
	if o.State == goose.OrderUnknown {
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	return goose.Claim{Status: goose.ClaimDone, Order: o}
}

func (l *Ledger) settle(o goose.Order, s goose.OrderState) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	o.State = s
	l.Orders[o.Key.Key] = o
	close(l.ended[o.Key.Key])
}

// MarkDone implements goose.Ledger.
func (l *Ledger) MarkDone(o goose.Order, a goose.PlainResponse) {
	o.Answer, o.AnswerKept = a, true
	l.settle(o, goose.OrderDone)
}

// MarkNotRun implements goose.Ledger.
func (l *Ledger) MarkNotRun(o goose.Order) { l.settle(o, goose.OrderNotRun) }

// MarkUnknown implements goose.Ledger.
func (l *Ledger) MarkUnknown(o goose.Order) { l.settle(o, goose.OrderUnknown) }

// WaitForOutcome implements goose.Ledger.
func (l *Ledger) WaitForOutcome(ctx context.Context, o goose.Order) goose.Claim {
	l.Mu.Lock()
	ended := l.ended[o.Key.Key]
	l.Mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	l.Mu.Lock()
	defer l.Mu.Unlock()
	return claimOf(l.Orders[o.Key.Key])
}
