package gooseforward

import (
	"log/slog"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// recordWishes records what the head of a response says about further requests: that the
// replica leaves, or wants none for a while. Every response counts, whatever becomes of it.
func (c *call) recordWishes(from goose.Replica, h goose.ResponseHeader) {
	now := c.o.Clock.Now()
	if h.Wish.Leaving && c.o.Placer.RecordLeaving(from, now) {
		gooseevent.ReplicaLeaving.Log(c.o.Log, slog.String("replica", string(from.ID)), slog.Int64("started", from.StartedUnixMS),
			slog.String("request", string(c.header.Attempt)))
	}
	if h.Wish.Pause > 0 {
		c.o.Placer.RecordPause(from, h.Wish.Pause, now)
		gooseevent.ReplicaPaused.Log(c.o.Log, slog.String("replica", string(from.ID)), slog.Duration("pause", h.Wish.Pause),
			slog.String("request", string(c.header.Attempt)))
	}
}
