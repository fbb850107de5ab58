package gooseforward

import (
	"log/slog"
	"net/http"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// markDeclined marks the replica at fault as full if it declined the request as overloaded. A
// replica that leaves or has restarted is no full one.
func (c *call) markDeclined(choice gooseplacement.Choice, atFault goose.ReplicaID, r result) {
	if r.status != http.StatusServiceUnavailable || r.draining {
		return
	}
	c.markReplica(replicaOf(choice, atFault), gooseplacement.MarkFull)
}

// replicaOf returns the replica of a choice with the id.
func replicaOf(choice gooseplacement.Choice, id goose.ReplicaID) goose.Replica {
	for _, h := range choice.Helpers {
		if h.Replica.ID == id {
			return h.Replica
		}
	}
	return choice.Replica
}

// markReplica marks a replica at this instance and its peers.
func (c *call) markReplica(r goose.Replica, kind gooseplacement.MarkKind) {
	if c.o.Placer.RecordMark(r, kind, c.o.Clock.Now()) {
		gooseevent.ReplicaMarked.Log(c.o.Log, slog.String("replica", string(r.ID)), slog.Int64("started", r.StartedUnixMS),
			slog.String("mark", string(kind)), slog.String("request", string(c.header.Attempt)))
	}
}
