package goosetest

import (
	"sync/atomic"
	"time"
)

// Clock is the system clock, moved forward by the test.
type Clock struct{ offset atomic.Int64 }

// Now implements goose.Clock.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) { c.offset.Add(int64(d)) }
