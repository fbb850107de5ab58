package gooseplacement

import (
	"testing"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against instances that all send the requests of their full data centre to the last
// slots of another one, which they know from sums of up to 400 ms ago. The load pattern is a
// burst at one data centre while the others have few slots left, or many.
func TestFullDataCentreGetsNoRequestsOfOthers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		free int
		want Obstacle
	}{
		"one slot left on each replica":    {free: 1, want: ObstacleFull},
		"four slots left on each replica":  {free: 4},
		"no slot left on any replica":      {free: 0, want: ObstacleFull},
		"all slots of the replicas remain": {free: 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all, d := replicas("desk", 12), shortDemand()
			d.Service.ColdRate = 0
			near, far := map[goose.ReplicaID]Load{}, map[goose.ReplicaID]Load{}
			for i := range all {
				l := Load{Requests: 16 - tc.free, Tokens: 100_000, ShortPauseStreams: 16 - tc.free}
				if i%2 == 0 {
					all[i].DataCentre = "ayr"
					far[all[i].ID] = l
					continue
				}
				near[all[i].ID] = Load{Requests: 16, Tokens: 100_000, ShortPauseStreams: 16}
			}
			pl := newPlacer()
			pl.SetPeerReport("edge-2", Report{Replicas: near}, start)
			pl.SetDataCentreReport("ayr", Report{Instances: 30, Replicas: far}, start)
			c, o := pl.Choose(d, all, start)
			if o != tc.want {
				t.Fatalf("got obstacle %q, want %q", o, tc.want)
			}
			if o == ObstacleNone && c.Replica.DataCentre != "ayr" {
				t.Errorf("got a replica in %s, want one with free slots", c.Replica.DataCentre)
			}
		})
	}
}
