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

// Guards against peers that refuse requests although a slot has become free, since they learn
// of it too late, and against a report for each end of an attempt while slots are free anyway.
func TestFreeSlotOfFullReplicaIsReported(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		running int
		sum     bool
		want    bool
	}{
		"all slots were in use":             {running: 15, sum: true, want: true},
		"other slots were free":             {running: 10, sum: true, want: false},
		"small fleet, reports are frequent": {running: 15, sum: false, want: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("desk", 1)
			pl.SetPeerReport("edge-2", Report{Replicas: map[goose.ReplicaID]Load{all[0].ID: {Requests: tc.running}}}, start)
			if tc.sum {
				pl.SetDataCentreReport("ayr", Report{Instances: 30}, start)
			}
			c, o := pl.Choose(shortDemand(), all, start)
			if o != ObstacleNone {
				t.Fatalf("got obstacle %q", o)
			}
			reportIsDue(pl)
			pl.RecordEnd(c.AttemptID, false, false, start)
			if got := reportIsDue(pl); got != tc.want {
				t.Errorf("got a report due: %t, want %t", got, tc.want)
			}
		})
	}
}

// reportIsDue reports whether a report is due, and takes the value.
func reportIsDue(pl *Placer) bool {
	select {
	case <-pl.ReportDue():
		return true
	default:
		return false
	}
}
