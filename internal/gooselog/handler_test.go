package gooselog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against lines of failed requests that are lost among those of served ones.
func TestHandlerThinsRoutineLines(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	h := NewHandler(slog.NewJSONHandler(&out, nil))
	log := slog.New(h).With(slog.String("instance", "a"))
	for range 2 * routinePerSecond {
		log.Info("served")
		log.Warn("failed")
	}
	if got := strings.Count(out.String(), "failed"); got != 2*routinePerSecond {
		t.Errorf("got %d lines of failures, want all %d", got, 2*routinePerSecond)
	}
	if got := strings.Count(out.String(), "served"); got != routinePerSecond {
		t.Errorf("got %d routine lines, want %d", got, routinePerSecond)
	}
	if got := h.Thinned(); got != routinePerSecond {
		t.Errorf("got %d lines counted as left out, want %d", got, routinePerSecond)
	}
	h.Refill(time.Second)
	log.Info("later")
	if !strings.Contains(out.String(), "later") {
		t.Error("got no routine line after the budget was renewed")
	}
}

// BenchmarkLine measures a line of a served request, written to nowhere.
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
