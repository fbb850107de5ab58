// Package goosetransfer measures the rates at which bodies arrive and responses are read, and
// chooses which transfer is cut when others need its memory. It uses no network.
package goosetransfer

import (
	"sync"
	"time"
)

const (
	// MinRate is the rate in bytes per second below which a transfer may be cut. The longest
	// small body, 64 KiB, takes 16 s at this rate, which is longer than requests have.
	MinRate = 4 << 10
	// Window is the time over which a rate is measured. A transfer is not cut before.
	Window = time.Second
)

// Kind is the kind of memory that a transfer holds.
type Kind string

// Transfer is one body that arrives or one response that is read. It is safe for concurrent use.
type Transfer struct {
	table *Table
	// cut ends the transfer, which holds memory of this kind.
	cut func(Kind)

	mu   sync.Mutex
	kind Kind
	// windowStart is the begin of the current window, and windowBytes what was transferred in it.
	windowStart time.Time
	windowBytes int64
	// progressed is when bytes were transferred last.
	progressed time.Time
	// slow is true if the last complete window was below MinRate.
	slow bool
	// wasCut is true once cut was called.
	wasCut bool
}

// Table knows all transfers. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	transfers map[*Transfer]struct{}
}

// New returns an empty table.
func New() *Table { return &Table{transfers: map[*Transfer]struct{}{}} }

// Begin adds a transfer that holds no memory. Function cut has to end it, and gets the kind of memory
// that it holds; it must not block.
func (t *Table) Begin(now time.Time, cut func(Kind)) *Transfer {
	x := &Transfer{table: t, cut: cut, windowStart: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transfers[x] = struct{}{}
	return x
}

// End removes the transfer; it is not cut afterwards. End reports whether it was cut before.
func (x *Transfer) End() bool {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	delete(x.table.transfers, x)
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.wasCut
}

// Hold records the kind of memory that the transfer holds from now on, and begins a window: a
// transfer that has waited for memory has not been slow meanwhile.
func (x *Transfer) Hold(kind Kind, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.kind, x.windowStart, x.windowBytes, x.progressed = kind, now, 0, now
}

// Progress records that n bytes were transferred.
func (x *Transfer) Progress(n int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if passed := now.Sub(x.windowStart); passed >= Window {
		x.slow = rate(x.windowBytes, passed) < MinRate
		x.windowStart, x.windowBytes = now, 0
	}
	x.windowBytes += int64(n)
	x.progressed = now
}

// rateIfSlow returns the rate of a transfer that may be cut. No kind stands for all.
func (x *Transfer) rateIfSlow(kind Kind, now time.Time) (float64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.kind == "" || (kind != "" && x.kind != kind) || x.wasCut {
		return 0, false
	}
	if now.Sub(x.progressed) >= Window {
		return 0, true
	}
	passed := now.Sub(x.windowStart)
	r := rate(x.windowBytes, max(passed, Window))
	return r, r < MinRate && (x.slow || passed >= Window)
}

func rate(n int64, passed time.Duration) float64 { return float64(n) / passed.Seconds() }

// CutSlowest cuts the slowest transfer that holds memory of this kind, or of any if kind is empty,
// and that is below MinRate. It reports whether there was one.
func (t *Table) CutSlowest(kind Kind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slowest *Transfer
	lowest := float64(MinRate)
	for x := range t.transfers {
		if r, ok := x.rateIfSlow(kind, now); ok && r < lowest {
			slowest, lowest = x, r
		}
	}
	if slowest == nil {
		return false
	}
	slowest.end()
	return true
}

// end calls cut, under the lock of the table: a transfer that has ended is not cut.
func (x *Transfer) end() {
	x.mu.Lock()
	x.wasCut = true
	kind := x.kind
	x.mu.Unlock()
	x.cut(kind)
}
