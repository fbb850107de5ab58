package gooseforward

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// memoryRefusalTTL is how long a replica that has refused a reservation gets none for the same
// request. Within that time several streams of a replica end and free memory.
const memoryRefusalTTL = 300 * time.Millisecond

// declines are the replicas that have declined a request.
type declines struct {
	// replicas are those at fault. reservations counts the attempts that had no complete set
	// of helpers.
	replicas     map[goose.ReplicaID]bool
	reservations int
	// draining is how many of them are being drained; lastDraining is set if the last one is.
	draining     int
	lastDraining bool
	// memoryRefusedAt is when a replica last refused a reservation.
	memoryRefusedAt map[goose.ReplicaID]time.Time
}

func newDeclines() declines {
	return declines{replicas: map[goose.ReplicaID]bool{}, memoryRefusedAt: map[goose.ReplicaID]time.Time{}}
}

// recordDecline records which replica is at fault if the attempt was declined. A helper at fault
// is excluded and the first replica may be chosen again. It reports whether a helper is at
// fault.
func (c *call) recordDecline(choice gooseplacement.Choice, r result) bool {
	switch r.outcome {
	case outcomeNoMemory:
		// The first replica was sent nothing.
		delete(c.tried, choice.Replica.ID)
		c.declines.reservations++
		c.declines.lastDraining = false
		return true
	case outcomeNotRun:
	default:
		return false
	}
	atFault, helper := choice.Replica.ID, false
	for _, h := range choice.Helpers {
		if r.faultAt != "" && (r.faultAt == h.Replica.Address || r.faultAt == string(h.Replica.ID)) {
			atFault, helper = h.Replica.ID, true
		}
	}
	if helper {
		delete(c.tried, choice.Replica.ID)
		c.tried[atFault] = true
	}
	c.markDeclined(choice, atFault, r)
	if r.draining && !c.declines.replicas[atFault] {
		c.declines.draining++
	}
	c.declines.lastDraining = r.draining
	c.declines.replicas[atFault] = true
	return helper
}

// excludeHelpers excludes the helpers that have not reserved memory: those without free memory
// for a while, which is also reported to the peers, the others for the rest of the request.
func (c *call) excludeHelpers(choice gooseplacement.Choice, e *reservationError) {
	for _, id := range e.replicas {
		if slices.Contains(e.full, id) {
			c.declines.memoryRefusedAt[id] = c.o.Clock.Now()
			c.markReplica(replicaOf(choice, id), gooseplacement.MarkNoMemory)
			continue
		}
		c.tried[id] = true
	}
}

// memoryRefusedUntil returns when all replicas that have refused a reservation may get one again.
func (c *call) memoryRefusedUntil() time.Time {
	var until time.Time
	for _, at := range c.declines.memoryRefusedAt {
		if end := at.Add(memoryRefusalTTL); end.After(until) {
			until = end
		}
	}
	return until
}

// avoided returns the replicas that the request is not placed on.
func (c *call) avoided(now time.Time) map[goose.ReplicaID]bool {
	if len(c.declines.memoryRefusedAt) == 0 {
		return c.tried
	}
	avoided := maps.Clone(c.tried)
	for id, at := range c.declines.memoryRefusedAt {
		if now.Sub(at) < memoryRefusalTTL {
			avoided[id] = true
		}
	}
	return avoided
}

// mayTryOthers reports whether a declined request may be sent to another replica. It pauses
// before that if the replicas are being drained.
func (c *call) mayTryOthers(now time.Time) bool {
	state := gooseplacement.Declines{Replicas: len(c.declines.replicas) + c.declines.reservations, Draining: c.declines.draining, LastDraining: c.declines.lastDraining}
	pause, ok := c.demand(now).AfterDecline(state, now.Sub(c.arrived))
	return ok && goose.Sleep(c.ctx, pause)
}
