package gooselog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// maxRoutineLinesPerSecond bounds the lines below the level of warnings, such as lines about
// served requests, so that under load there is room for lines about failures and refusals.
const maxRoutineLinesPerSecond = maxLinesPerSecond / 2

// Handler drops routine lines above a rate limit. Lines about failed and refused requests
// are warnings, which it never drops.
type Handler struct {
	slog.Handler
	budget *routineBudget
}

// routineBudget is the state that a handler shares with the handlers derived from it.
type routineBudget struct {
	tokens  atomic.Int64
	dropped atomic.Int64
}

// NewHandler returns a handler that passes the remaining lines to next.
func NewHandler(next slog.Handler) *Handler {
	h := &Handler{Handler: next, budget: &routineBudget{}}
	h.budget.tokens.Store(maxRoutineLinesPerSecond)
	return h
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && h.budget.tokens.Add(-1) < 0 {
		h.budget.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), budget: h.budget}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), budget: h.budget}
}

// Refill sets the budget of routine lines for the interval until the next call.
func (h *Handler) Refill(interval time.Duration) {
	h.budget.tokens.Store(int64(interval.Seconds() * maxRoutineLinesPerSecond))
}

// Dropped returns the number of routine lines dropped since the last call.
func (h *Handler) Dropped() int64 { return h.budget.dropped.Swap(0) }
