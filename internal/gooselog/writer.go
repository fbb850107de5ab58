// Package gooselog writes log lines without ever blocking the work that logs.
package gooselog

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait for a slow standard output.
	queueLines = 2048
	// linesPerSecond bounds the lines of a process; the burst of a fault passes.
	linesPerSecond = 400
	burstLines     = 4 * linesPerSecond
)

// Writer takes whole lines and writes them in the background. Lines that do not fit
// are dropped and counted.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
	tokens  atomic.Int64
}

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	w.tokens.Store(burstLines)
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

// Refill gives the lines of the time that has passed back to the budget.
func (w *Writer) Refill(passed time.Duration) {
	n := w.tokens.Add(int64(passed.Seconds() * linesPerSecond))
	if n > burstLines {
		w.tokens.Add(burstLines - n)
	}
}

// Close writes the waiting lines, or returns once the limit has passed.
func (w *Writer) Close(limit time.Duration) {
	close(w.stop)
	t := time.NewTimer(limit)
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
			w.drain(out)
			return
		}
	}
}

// drain writes the lines that wait.
func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			writeLine(out, line)
		default:
			return
		}
	}
}

// writeLine ignores errors: nothing can be told about a log that cannot be written.
func writeLine(out io.Writer, line []byte) {
	_, _ = out.Write(line)
}
