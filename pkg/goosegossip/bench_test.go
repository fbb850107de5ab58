package goosegossip

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// BenchmarkReport measures what a report costs the instance that sends it to 58 others, and
// one that receives it.
func BenchmarkReport(b *testing.B) {
	all := map[goose.InstanceID]goose.RegisteredInstance{}
	for i := range 295 {
		all[goose.InstanceID(fmt.Sprint("edge-", i))] = goose.RegisteredInstance{
			Address: fmt.Sprintf("10.0.%d.%d:7", i%250, i/250), DataCentre: goose.DataCentre(fmt.Sprint("dc-", i%5)),
		}
	}
	pl := newPlacer()
	g := New(Options{
		Quarantine: goosequarantine.New(slog.New(slog.DiscardHandler)), Instance: "edge-0", DataCentre: "dc-0",
		Instances: func() map[goose.InstanceID]goose.RegisteredInstance { return all }, Placer: pl,
		StoreView:  func(time.Time) goosedirectory.StoreView { return goosedirectory.StoreView{Revision: 100} },
		OnPeerView: func(goosedirectory.StoreView) {}, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
	})
	report := gooseplacement.Report{
		Replicas:    map[goose.ReplicaID]gooseplacement.Load{"i-1": {Requests: 1, Tokens: 6_000, ShortPauseStreams: 1}, "i-2": {Requests: 2, Tokens: 9_000}},
		OfferedLoad: map[goose.ServiceName]gooseplacement.OfferedLoad{"desk": {Short: 0.03, Long: 0.2}},
	}
	b.Run("targets", func(b *testing.B) {
		for b.Loop() {
			g.currentTargets(time.Now())
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			g.encodeReport(report, false, 1, time.Now())
		}
	})
	b.Run("receive", func(b *testing.B) {
		datagram := g.encodeReport(report, false, 1, time.Now())[0]
		for sequence := uint64(1); b.Loop(); sequence++ {
			var m message
			if err := cbor.Unmarshal(datagram, &m); err != nil || m.validate() != nil {
				b.Fatal(err)
			}
			m.From, m.Sequence = "edge-5", sequence
			g.handleReport(m, &net.UDPAddr{})
		}
	})
}
