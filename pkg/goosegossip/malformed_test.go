package goosegossip

import (
	"bytes"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// newReceiver returns a Gossip that receives datagrams from the test.
func newReceiver(log *slog.Logger, onView func(goosedirectory.StoreView)) *Gossip {
	return New(Options{
		Quarantine: goosequarantine.New(slog.New(slog.DiscardHandler)), Instance: "a", DataCentre: "leith",
		Placer: newPlacer(), OnPeerView: onView, Log: log, Clock: goose.SystemClock{},
	})
}

// Guards against one datagram that ends the process, or the goroutine that reads datagrams,
// by an internal error.
func TestDatagramThatPanics(t *testing.T) {
	t.Parallel()
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	seen := 0
	g := newReceiver(logger, func(v goosedirectory.StoreView) {
		if v.Revision == 13 {
			panic("revision 13")
		}
		seen++
	})
	for i, revision := range []int64{13, 14} {
		datagram, err := cbor.Marshal(message{From: "b", Incarnation: 1, Sequence: uint64(i), Parts: 1, Store: goosedirectory.StoreView{Revision: revision}})
		if err != nil {
			t.Fatal(err)
		}
		gooseevent.Guard(logger, "load report", func() { g.handleDatagram(datagram, &net.UDPAddr{}) })
	}
	if seen != 1 {
		t.Errorf("got %d datagrams handled, want the second one", seen)
	}
	if !bytes.Contains(log.Bytes(), []byte("input failed")) {
		t.Errorf("got log %s, want a line about the first one", log.String())
	}
}

// Guards against malformed reports that count as load: a later request has to be placed as if
// they had not been sent.
func TestMalformedReportIsDropped(t *testing.T) {
	t.Parallel()
	g := newReceiver(slog.New(slog.DiscardHandler), func(goosedirectory.StoreView) {})
	tests := map[string]message{
		"no sender":                 {Parts: 1},
		"part out of range":         {From: "b", Part: 9, Parts: 2},
		"negative part":             {From: "b", Part: -1, Parts: 2},
		"too many parts":            {From: "b", Parts: 1 << 30},
		"sum without a data centre": {From: "b", Parts: 1, Sum: true},
		"infinite load":             {From: "b", Parts: 1, Report: wireReport{OfferedLoad: map[goose.ServiceName]gooseplacement.OfferedLoad{"": {Short: 1e300}}}},
		"negative load":             {From: "b", Parts: 1, Report: wireReport{Replicas: map[goose.ReplicaID]wireLoad{"i-1": {Requests: -100}}}},
		"prefill":                   {From: "b", Parts: 1, Report: wireReport{Replicas: map[goose.ReplicaID]wireLoad{"i-1": {PrefillMS: 1 << 62}}}},
		"view of the store":         {From: "b", Parts: 1, Store: goosedirectory.StoreView{RecoveredFor: -1}},
	}
	for name, m := range tests {
		datagram, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		g.handleDatagram(datagram, &net.UDPAddr{})
		if got := g.o.Placer.Instances(time.Now()); got != 1 {
			t.Errorf("%s: got %d instances, want only this one", name, got)
		}
	}
	if c, o := g.o.Placer.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now()); o != gooseplacement.ObstacleNone || c.Replica.ID != "i-0" {
		t.Errorf("got replica %s, obstacle %q, want the first one", c.Replica.ID, o)
	}
}

// datagramTarget checks that no datagram panics or leaves a load that cannot be placed upon.
var datagramTarget = goosefuzz.Target{
	Runs: 50_000,
	Seeds: func() [][]any {
		var seeds [][]any
		for _, m := range []message{
			{From: "b", Parts: 1, Report: wireReport{Replicas: map[goose.ReplicaID]wireLoad{"i-1": {Requests: 1, PrefillMS: 1000}}}},
			{From: "b", Parts: 2, Sum: true, DataCentre: "dalkeith", Report: wireReport{Instances: 5}},
			{From: "b", Parts: 1, Report: wireReport{Marks: []wireMark{{Replica: "i-1", StartedUnixMS: 1, Kind: 1, AgeMS: 5}}}},
			{From: "b", Crashes: []goose.CrashRecord{{Fingerprint: 7}}},
		} {
			b, err := cbor.Marshal(m)
			if err != nil {
				panic(err)
			}
			seeds = append(seeds, []any{b})
		}
		return seeds
	}(),
	Check: func(t *testing.T, datagram []byte) {
		g := newReceiver(slog.New(slog.DiscardHandler), func(goosedirectory.StoreView) {})
		g.handleDatagram(datagram, &net.UDPAddr{})
		g.o.Placer.DataCentreReport(time.Now())
		if _, o := g.o.Placer.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now()); o != gooseplacement.ObstacleNone {
			t.Errorf("got obstacle %q after a datagram", o)
		}
	},
}

func FuzzDatagram(f *testing.F)     { datagramTarget.Fuzz(f) }
func TestFuzzDatagram(t *testing.T) { datagramTarget.Test(t) }
