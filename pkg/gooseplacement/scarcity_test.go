package gooseplacement

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against replicas that are filled to their last slot while others have several free
// ones, so that requests which are not known yet queue there. The load pattern is a burst of
// short streams in which the pending prefill differs little.
func TestLastSlotsAreLeft(t *testing.T) {
	t.Parallel()
	// full is the replica with a single free slot.
	const full = goose.ReplicaID("i-00")
	tests := map[string]struct {
		large    bool
		wantFull bool
	}{
		"large fleet": {large: true},
		"small fleet": {wantFull: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all, d := replicas("desk", 8), shortDemand()
			d.Service.ColdRate = 0
			pl, loads := newPlacer(), map[goose.ReplicaID]Load{}
			for _, r := range all {
				loads[r.ID] = Load{Requests: 6, Waiting: 1, Tokens: 40_000, Prefill: 40 * time.Millisecond, ShortPauseStreams: 6}
			}
			loads[full] = Load{Requests: 15, Tokens: 100_000, ShortPauseStreams: 15}
			pl.SetPeerReport("edge-2", Report{Replicas: loads}, start)
			if tc.large {
				pl.SetDataCentreReport("ayr", Report{Instances: 30}, start)
			}
			c, o := pl.Choose(d, all, start)
			if o != ObstacleNone || (c.Replica.ID == full) != tc.wantFull {
				t.Errorf("got replica %q, obstacle %q, want the one with the last slot: %t", c.Replica.ID, o, tc.wantFull)
			}
		})
	}
}
