package gooseforward

import (
	"log/slog"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// recordWishes records what the head of a response says about further requests: that the
// replica leaves, or wants none for a while. Every response counts, whatever becomes of it.
// request is the id of the request that the response belongs to.
func (f *Forwarder) recordWishes(from goose.Replica, h goose.ResponseHeader, request goose.AttemptID) {
	now := f.o.Clock.Now()
	if h.Wish.Leaving && f.o.Placer.RecordLeaving(from, now) {
		gooseevent.ReplicaLeaving.Log(f.o.Log, slog.String("replica", string(from.ID)), slog.Int64("started", from.StartedUnixMS),
			slog.String("request", string(request)))
	}
	if h.Wish.Pause > 0 {
		f.o.Placer.RecordPause(from, h.Wish.Pause, now)
		gooseevent.ReplicaPaused.Log(f.o.Log, slog.String("replica", string(from.ID)), slog.Duration("pause", h.Wish.Pause),
			slog.String("request", string(request)))
	}
}
