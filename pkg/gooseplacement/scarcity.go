package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// scarceSlots is the number of free slots of a replica from which on its remaining slots
	// count as scarce: requests that are not known yet may take them.
	scarceSlots = 4
	// scarceSlotPenalty is multiplied by the square of the number of scarce slots in use. The
	// last one costs about as much as the mean time until a slot becomes free.
	scarceSlotPenalty = 8 * time.Millisecond
)

// scarcity returns the cost of the last free slots of a replica. Without it, replicas are filled
// one after the other to their last slot while others have several free ones.
func scarcity(e goose.EngineProfile, l Load) time.Duration {
	scarce := max(l.Requests-(e.Slots-scarceSlots), 0)
	return time.Duration(scarce*scarce) * scarceSlotPenalty
}

// reportFreeSlot makes a report due after the end of an attempt on a replica whose slots were
// all in use. In large fleets the ends of attempts are otherwise reported so late that peers
// refuse requests while slots are free. The lock must be held.
func (pl *Placer) reportFreeSlot(a *attempt, now time.Time) {
	if a.slots > 0 && pl.table.split() && pl.load(a.parts[0].replica, now).Requests+1 >= a.slots {
		pl.requestReport()
	}
}
