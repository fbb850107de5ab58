package gooseplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// BenchmarkChoose measures the choice of a replica among those of a large fleet, with reports
// of all other instances.
func BenchmarkChoose(b *testing.B) {
	for _, instances := range []int{6, 59, 295} {
		b.Run(fmt.Sprint(instances, " instances"), func(b *testing.B) {
			pl, all, now := newPlacer(), replicas("desk", 195), start
			for i := range instances - 1 {
				r := Report{Replicas: map[goose.ReplicaID]Load{}, OfferedLoad: map[goose.ServiceName]OfferedLoad{"desk": {Short: 0.04, Long: 0.2}}}
				for j := range 2 {
					r.Replicas[all[(7*i+j)%len(all)].ID] = Load{Requests: 1, Tokens: 6_000, ShortPauseStreams: 1}
				}
				pl.SetPeerReport(goose.InstanceID(fmt.Sprint("edge-", i)), r, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c, o := pl.Choose(shortDemand(), all, now)
				if o == ObstacleNone {
					pl.RecordEnd(c.AttemptID, false, false, now)
				}
			}
		})
	}
}
