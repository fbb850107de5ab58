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
