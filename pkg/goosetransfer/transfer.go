// Package goosetransfer measures the rates at which bodies arrive and responses are read, and
// chooses which transfer is cut when others need its memory. It uses no network.
package goosetransfer

import (
	"math"
	"sync"
	"time"
)

const (
	// MinRate is the rate in bytes per second below which a transfer may be cut. The longest
	// small body, 64 KiB, takes 16 s at this rate, which is longer than requests have.
	MinRate = 4 << 10
	// Window is the time over which a rate is measured.
	Window = time.Second
	// rateAdvantage is how many times faster than a transfer a request has to be that the transfer
	// is cut for, although it is above MinRate.
	rateAdvantage = 8
	// overdueGrace is how long a transfer may pause that should have ended: longer than the least
	// time after which a lost packet is sent again.
	overdueGrace = 250 * time.Millisecond
	// overdueFactor is how many times the time for its rest a transfer may pause.
	overdueFactor = 2
	// minMeasuredTime bounds the rate of a transfer whose bytes arrived at once.
	minMeasuredTime = 10 * time.Millisecond
)

// Need is what a request waits for that other transfers hold.
type Need struct {
	// Kind is the kind of memory, or empty if any transfer is in the way.
	Kind Kind
	// Rate is the rate in bytes per second at which the request has arrived so far, or zero.
	Rate float64
}

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
	// lastRate is the rate of the last complete window, or negative if there was none.
	lastRate float64
	// heldSince is when the transfer got its memory, and heldBytes what was transferred since.
	heldSince time.Time
	heldBytes int64
	// remaining is what is still to be transferred, or negative if that is unknown.
	remaining int64
	// mayPause is true for a transfer that is not overdue before a rate is measured.
	mayPause bool
	// progressed is when bytes were transferred last.
	progressed time.Time
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

// Length is the number of bytes of a transfer.
type Length int64

const (
	// LengthUnknown is that of a transfer which ends when its sender says so.
	LengthUnknown Length = -1
	// LengthPausing is that of a transfer which may also pause, since what it transfers is produced
	// meanwhile.
	LengthPausing Length = -2
)

// Begin adds a transfer that holds no memory. Function cut has to end it, and gets the kind of memory
// that it holds; it must not block.
func (t *Table) Begin(length Length, now time.Time, cut func(Kind)) *Transfer {
	x := &Transfer{
		table: t, cut: cut, windowStart: now, lastRate: -1, heldSince: now, progressed: now,
		remaining: int64(length), mayPause: length == LengthPausing,
	}
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
	x.kind, x.windowStart, x.windowBytes, x.lastRate, x.progressed = kind, now, 0, -1, now
	x.heldSince, x.heldBytes = now, 0
}

// Progress records that n bytes were transferred.
func (x *Transfer) Progress(n int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if passed := now.Sub(x.windowStart); passed >= Window {
		x.lastRate = rate(x.windowBytes, passed)
		x.windowStart, x.windowBytes = now, 0
	}
	x.windowBytes += int64(n)
	x.heldBytes += int64(n)
	if x.remaining >= 0 {
		x.remaining = max(0, x.remaining-int64(n))
	}
	x.progressed = now
}

// Rate returns the rate in bytes per second since the transfer got its memory.
func (x *Transfer) Rate(now time.Time) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return rate(x.heldBytes, max(now.Sub(x.heldSince), minMeasuredTime))
}

// rateIfSlow returns the rate of a transfer that may be cut for a need.
func (x *Transfer) rateIfSlow(need Need, now time.Time) (float64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.kind == "" || (need.Kind != "" && x.kind != need.Kind) || x.wasCut {
		return 0, false
	}
	if now.Sub(x.progressed) >= Window || x.overdue(now) {
		return 0, true
	}
	limit := max(MinRate, need.Rate/rateAdvantage)
	passed := now.Sub(x.windowStart)
	r := rate(x.windowBytes, max(passed, Window))
	wasSlow := x.lastRate >= 0 && x.lastRate < limit
	return r, r < limit && (wasSlow || passed >= Window)
}

// overdue reports whether the transfer pauses although, at its rate, it should have ended. One of
// unknown length is taken to be half done.
func (x *Transfer) overdue(now time.Time) bool {
	if x.heldBytes == 0 || x.mayPause {
		return false
	}
	took := max(x.progressed.Sub(x.heldSince), minMeasuredTime)
	rest := took
	if x.remaining >= 0 {
		rest = time.Duration(float64(x.remaining) / rate(x.heldBytes, took) * float64(time.Second))
	}
	return now.Sub(x.progressed) >= overdueGrace+overdueFactor*rest
}

func rate(n int64, passed time.Duration) float64 { return float64(n) / passed.Seconds() }

// CutSlowest cuts the slowest transfer that is in the way of a need and too slow. It reports
// whether there was one.
func (t *Table) CutSlowest(need Need, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slowest *Transfer
	lowest := math.Inf(1)
	for x := range t.transfers {
		if r, ok := x.rateIfSlow(need, now); ok && r < lowest {
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
