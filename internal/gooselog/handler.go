package gooselog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// routinePerSecond bounds the lines below warnings, such as those of served requests,
// so that failures and refusals keep their place under load.
const routinePerSecond = linesPerSecond / 2

// Handler thins routine lines. The lines of failed and refused requests are warnings
// and pass.
type Handler struct {
	slog.Handler
	shared *thinning
}

// thinning is the state that a handler shares with those made from it.
type thinning struct {
	left    atomic.Int64
	thinned atomic.Int64
}

// NewHandler returns a handler before next.
func NewHandler(next slog.Handler) *Handler {
	h := &Handler{Handler: next, shared: &thinning{}}
	h.shared.left.Store(routinePerSecond)
	return h
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && h.shared.left.Add(-1) < 0 {
		h.shared.thinned.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

// Refill sets the budget of routine lines for the time until the next call.
func (h *Handler) Refill(until time.Duration) {
	h.shared.left.Store(int64(until.Seconds() * routinePerSecond))
}

// Thinned returns the number of routine lines left out since the last call.
func (h *Handler) Thinned() int64 { return h.shared.thinned.Swap(0) }
