package gooselog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against lines about failed requests that are dropped because there are too many
// lines about served requests.
func TestHandlerDropsRoutineLines(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	h := NewHandler(slog.NewJSONHandler(&out, nil))
	log := slog.New(h).With(slog.String("instance", "a"))
	for range 2 * maxRoutineLinesPerSecond {
		log.Info("served")
		log.Warn("failed")
	}
	if got := strings.Count(out.String(), "failed"); got != 2*maxRoutineLinesPerSecond {
		t.Errorf("got %d lines about failures, want all %d", got, 2*maxRoutineLinesPerSecond)
	}
	if got := strings.Count(out.String(), "served"); got != maxRoutineLinesPerSecond {
		t.Errorf("got %d routine lines, want %d", got, maxRoutineLinesPerSecond)
	}
	if got := h.Dropped(); got != maxRoutineLinesPerSecond {
		t.Errorf("got %d dropped lines counted, want %d", got, maxRoutineLinesPerSecond)
	}
	h.Refill(time.Second)
	log.Info("later")
	if !strings.Contains(out.String(), "later") {
		t.Error("got no routine line after the budget was refilled")
	}
}

// BenchmarkLine measures the logging of a line about a request. The output is discarded.
func BenchmarkLine(b *testing.B) {
	w := NewWriter(discard{})
	defer w.Close(time.Second)
	log := slog.New(NewHandler(slog.NewJSONHandler(w, nil)))
	b.ReportAllocs()
	for b.Loop() {
		log.Warn("request forwarded", slog.String("request", "9c41d07be2a35f68"), slog.Duration("after", time.Second))
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
