// Package goosememory shares an amount of memory among requests. Those that have sent fastest so far
// get it first, since they hold it for the shortest time, and among those the ones whose owners hold
// least. It uses no network.
package goosememory

import (
	"context"
	"math/bits"
	"slices"
	"sync"
)

// Owner is who is accountable for memory, such as a workspace or an address.
type Owner string

// Claim is an amount of memory for one request.
type Claim struct {
	// Bytes is the amount, not above the size of the budget.
	Bytes int64
	// Owners are accountable for it; none has to be known.
	Owners []Owner
	// Rate is the rate in bytes per second at which the request has arrived so far; zero if it is
	// unknown.
	Rate float64
}

// WithBytes returns the claim for another amount.
func (c Claim) WithBytes(n int64) Claim {
	c.Bytes = n
	return c
}

// rateClassBits is the number of bits of a rate that do not count: rates of a class differ by a
// factor of up to eight, within which the order of arrival counts.
const rateClassBits = 3

func (c Claim) rateClass() int { return bits.Len64(uint64(c.Rate)) / rateClassBits }

// Budget is an amount of memory. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// free is what no claim holds, from zero to the size of the budget.
	free int64
	// held is what the claims of each owner hold; it has no entry for an owner that holds nothing.
	held map[Owner]int64
	// waiting are the claims without memory, in the order of their arrival.
	waiting []*waiter
}

// waiter is a claim that waits.
type waiter struct {
	claim Claim
	// granted is closed once the claim has its memory.
	granted chan struct{}
}

// New returns a budget of a size in bytes, all of it free.
func New(size int64) *Budget { return &Budget{free: size, held: map[Owner]int64{}} }

// TryAcquire acquires the memory of a claim if it is free and no other claim goes before it.
func (b *Budget) TryAcquire(c Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.enqueue(c)
	return !b.remove(w)
}

// Acquire waits for the memory of a claim, and reports whether it was acquired before ctx ended.
func (b *Budget) Acquire(ctx context.Context, c Claim) bool {
	b.mu.Lock()
	w := b.enqueue(c)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.remove(w) {
		return true
	}
	// Others may have waited behind this claim.
	b.grant()
	return false
}

// Release returns the memory of a claim, or a part of it.
func (b *Budget) Release(c Claim) {
	if c.Bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += c.Bytes
	for _, o := range c.Owners {
		if b.held[o] -= c.Bytes; b.held[o] <= 0 {
			delete(b.held, o)
		}
	}
	b.grant()
}

// Free returns what no claim holds.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// enqueue adds a claim and grants what can be granted.
func (b *Budget) enqueue(c Claim) *waiter {
	w := &waiter{claim: c, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.grant()
	return w
}

// remove removes a claim that waits. It returns false if the claim has its memory.
func (b *Budget) remove(w *waiter) bool {
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// grant gives memory to the claims in their order. A claim that does not fit keeps those behind it
// waiting, so that large ones get their turn.
func (b *Budget) grant() {
	for len(b.waiting) > 0 {
		w := b.first()
		if w.claim.Bytes > b.free {
			return
		}
		b.remove(w)
		b.free -= w.claim.Bytes
		for _, o := range w.claim.Owners {
			b.held[o] += w.claim.Bytes
		}
		close(w.granted)
	}
}

// first returns the claim that goes before all others.
func (b *Budget) first() *waiter {
	first := b.waiting[0]
	for _, w := range b.waiting[1:] {
		if b.before(w.claim, first.claim) {
			first = w
		}
	}
	return first
}

// before reports whether a claim goes before one that has arrived earlier.
func (b *Budget) before(c, earlier Claim) bool {
	if byRate := c.rateClass() - earlier.rateClass(); byRate != 0 {
		return byRate > 0
	}
	return b.heldByOwners(c) < b.heldByOwners(earlier)
}

// heldByOwners returns what the owner of a claim holds that holds most.
func (b *Budget) heldByOwners(c Claim) int64 {
	most := int64(0)
	for _, o := range c.Owners {
		most = max(most, b.held[o])
	}
	return most
}
