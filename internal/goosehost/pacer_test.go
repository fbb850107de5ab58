package goosehost

import (
	"testing"
	"time"
)

// Guards against many small pieces that each cost a read, and against pauses for callers that send
// few or large pieces.
func TestReadPacer(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		pieces, bytes int
		interval      time.Duration
		// maxReads bounds the reads, and maxDelay the time from the last piece to its read.
		maxReads int
		maxDelay time.Duration
	}{
		"one-byte chunks for 10 s":    {10_000, 6, time.Millisecond, 250, 200 * time.Millisecond},
		"one-byte chunks at 20 kHz":   {200_000, 6, 50 * time.Microsecond, 200_000*6/smallReadBytes + 200, 200 * time.Millisecond},
		"few small pieces":            {freeSmallReads, 100, time.Millisecond, freeSmallReads, 0},
		"many small pieces in 100 ms": {100, 100, time.Millisecond, 100, 15 * time.Millisecond},
		"large pieces":                {64, 64 << 10, time.Millisecond, 64, 0},
		"pieces of a packet":          {2900, 1448, 100 * time.Microsecond, 2900, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p readPacer
			reads, taken, now := 0, 0, time.Duration(0)
			for taken < tc.pieces {
				now += p.pause(1 << 20)
				arrived := min(tc.pieces, 1+int(now/tc.interval))
				if arrived == taken {
					now = time.Duration(taken) * tc.interval
					arrived++
				}
				p = p.withRead((arrived-taken)*tc.bytes, 1<<20)
				taken, reads = arrived, reads+1
			}
			if delay := now - time.Duration(tc.pieces-1)*tc.interval; reads > tc.maxReads || delay > tc.maxDelay {
				t.Errorf("got %d reads, the last piece read after %s, want at most %d and %s", reads, delay, tc.maxReads, tc.maxDelay)
			}
		})
	}
}

// Guards against pauses in the reads that watch for the end of a connection: a response would wait
// for them.
func TestReadPacerIgnoresWatch(t *testing.T) {
	t.Parallel()
	p := readPacer{smallReads: 1000}
	if got := p.pause(1); got != 0 {
		t.Errorf("got a pause of %s before a read of one byte, want none", got)
	}
	if got := p.withRead(1, 1); got != p {
		t.Errorf("got %v after a read of one byte, want %v", got, p)
	}
}
