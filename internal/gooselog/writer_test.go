package gooselog

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
)

// stalledOutput is an output whose writes block until release is closed.
type stalledOutput struct{ release chan struct{} }

func (s stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against callers that block in a log call because nothing reads standard output.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	t.Parallel()
	out := stalledOutput{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 10 * queueCapacity
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		w.Refill(time.Second)
	}
	if got := w.Dropped(); got < lines-queueCapacity-1 {
		t.Errorf("got %d dropped lines of %d, want all but those in the queue", got, lines)
	}
	close(out.release)
	w.Close(time.Minute)
}

// Guards against bursts of lines that fill the disk of the log collector.
func TestBudget(t *testing.T) {
	t.Parallel()
	w := NewWriter(io.Discard)
	for range 3 * maxBurstLines {
		_, _ = w.Write([]byte("line\n"))
		if len(w.lines) > queueCapacity/2 {
			time.Sleep(time.Millisecond)
		}
	}
	if got := w.Dropped(); got != 2*maxBurstLines {
		t.Errorf("got %d dropped lines, want %d", got, 2*maxBurstLines)
	}
	w.Refill(time.Second)
	_, _ = w.Write([]byte("line\n"))
	if got := w.Dropped(); got != 0 {
		t.Errorf("got %d dropped lines after the budget was refilled, want none", got)
	}
	w.Close(time.Minute)
}

// Guards against lines that are lost, reordered or interleaved when the process exits.
func TestCloseWritesQueuedLines(t *testing.T) {
	t.Parallel()
	var out goosetest.Lines
	w := NewWriter(&out)
	var want strings.Builder
	for i := range 100 {
		line := strings.Repeat("x", i) + "\n"
		want.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	w.Close(time.Minute)
	if got := out.String(); got != want.String() {
		t.Errorf("got %d bytes, want %d", len(got), want.Len())
	}
}
