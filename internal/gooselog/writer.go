// Package gooselog writes log lines in the background, so that logging never blocks the caller.
package gooselog

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that are queued while standard output is slow.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the log lines of a process. A burst of up to
	// maxBurstLines, such as after a failure, is not dropped.
	maxLinesPerSecond = 400
	maxBurstLines     = 4 * maxLinesPerSecond
)

// Writer queues complete lines and writes them in the background. Lines above the rate limit
// or the capacity of the queue are dropped and counted.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
	tokens  atomic.Int64
}

// NewWriter returns a writer to out; Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), stop: make(chan struct{}), stopped: make(chan struct{})}
	w.tokens.Store(maxBurstLines)
	go w.run(out)
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.tokens.Add(-1) < 0 {
		w.tokens.Add(1)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Refill adds the lines that the rate limit allows in the elapsed time to the budget.
func (w *Writer) Refill(elapsed time.Duration) {
	n := w.tokens.Add(int64(elapsed.Seconds() * maxLinesPerSecond))
	if n > maxBurstLines {
		w.tokens.Add(maxBurstLines - n)
	}
}

// Close writes the queued lines and returns, at the latest after the timeout.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.stopped:
	case <-t.C:
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.stopped)
	for {
		select {
		case line := <-w.lines:
			writeLine(out, line)
		case <-w.stop:
			w.writeQueued(out)
			return
		}
	}
}

// writeQueued writes the lines in the queue.
func (w *Writer) writeQueued(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			writeLine(out, line)
		default:
			return
		}
	}
}

// writeLine ignores errors, since an error of the log output cannot be logged.
func writeLine(out io.Writer, line []byte) {
	_, _ = out.Write(line)
}
