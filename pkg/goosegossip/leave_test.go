package goosegossip

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// leavingAt is the start of the process that leaves, in Unix milliseconds.
const leavingAt = 1_700_000_000_000

// leavingReplica returns a plain replica whose process started at startedUnixMS.
func leavingReplica(startedUnixMS int64) []goosedirectory.Replica {
	return []goosedirectory.Replica{{Replica: goose.Replica{ID: "i-0", DataCentre: "leith", Slots: 4, StartedUnixMS: startedUnixMS}}}
}

// Guards against replicas that have said to one instance that they leave and get work from all
// the others, in fleets that exchange single reports and in those that exchange sums.
func TestLeavingReplicaIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		dataCentres, instances int
		// within bounds the time until the other instances know.
		within time.Duration
	}{
		"one data centre":   {dataCentres: 1, instances: 4, within: 50 * time.Millisecond},
		"three of them":     {dataCentres: 3, instances: 2, within: 50 * time.Millisecond},
		"fleet that splits": {dataCentres: 3, instances: 12, within: 3 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n, _ := newNetwork(t)
				placers, stop := startFleet(n, tc.dataCentres, tc.instances)
				defer stop()
				time.Sleep(2 * time.Second)
				placers[0].RecordLeaving(leavingReplica(leavingAt)[0].Replica, time.Now())
				time.Sleep(tc.within)
				for i, pl := range placers {
					if _, o := pl.Choose(gooseplacement.Demand{}, leavingReplica(leavingAt), time.Now()); o != gooseplacement.ObstacleLeaving {
						t.Errorf("got obstacle %q at instance %d, want that the replica leaves", o, i)
					}
					if _, o := pl.Choose(gooseplacement.Demand{}, leavingReplica(leavingAt+1), time.Now()); o != gooseplacement.ObstacleNone {
						t.Errorf("got obstacle %q for a later process at instance %d", o, i)
					}
				}
			})
		})
	}
}

// Guards against malformed or forged reports that take replicas out.
func TestMalformedLeaving(t *testing.T) {
	t.Parallel()
	const process = leavingAt
	leaving := func(marks ...wireProcess) message {
		return message{From: "b", Incarnation: 1, Parts: 1, Report: wireReport{Leaving: marks}}
	}
	many := make([]wireProcess, gooseplacement.MaxReportedLeaving+1)
	for i := range many {
		many[i] = wireProcess{Replica: "i-0", StartedUnixMS: process}
	}
	tests := map[string]message{
		"another replica":       leaving(wireProcess{Replica: "i-1", StartedUnixMS: process}),
		"another process":       leaving(wireProcess{Replica: "i-0", StartedUnixMS: process - 1}),
		"no process":            leaving(wireProcess{Replica: "i-0"}),
		"negative":              leaving(wireProcess{Replica: "i-0", StartedUnixMS: -process}),
		"too many":              leaving(many...),
		"beside a wrong one":    leaving(wireProcess{Replica: "i-0", StartedUnixMS: process}, wireProcess{StartedUnixMS: process}),
		"a long name":           leaving(wireProcess{Replica: "i-0", StartedUnixMS: process}, wireProcess{Replica: goose.ReplicaID(strings.Repeat("x", 300)), StartedUnixMS: process}),
		"no sender":             {Parts: 1, Report: wireReport{Leaving: []wireProcess{{Replica: "i-0", StartedUnixMS: process}}}},
		"beside a wrong report": {From: "b", Parts: 1, Report: wireReport{Instances: -1, Leaving: []wireProcess{{Replica: "i-0", StartedUnixMS: process}}}},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newReceiver(slog.New(slog.DiscardHandler), func(goosedirectory.StoreView) {})
			datagram, err := cbor.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			g.handleDatagram(datagram, &net.UDPAddr{})
			if _, o := g.o.Placer.Choose(gooseplacement.Demand{}, leavingReplica(process), time.Now()); o != gooseplacement.ObstacleNone {
				t.Errorf("got obstacle %q after a datagram that says nothing about this process", o)
			}
		})
	}
}

// Guards against marks that get lost because the other datagrams of their report do, and
// against a mark of which no line tells.
func TestLeavingInPartOfReport(t *testing.T) {
	t.Parallel()
	var log bytes.Buffer
	g := newReceiver(slog.New(slog.NewTextHandler(&log, nil)), func(goosedirectory.StoreView) {})
	m := message{From: "b", Incarnation: 1, Part: 1, Parts: 2, Report: wireReport{Leaving: []wireProcess{{Replica: "i-0", StartedUnixMS: leavingAt}}}}
	datagram, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		g.handleDatagram(datagram, &net.UDPAddr{})
	}
	if _, o := g.o.Placer.Choose(gooseplacement.Demand{}, leavingReplica(leavingAt), time.Now()); o != gooseplacement.ObstacleLeaving {
		t.Errorf("got obstacle %q, want that the replica leaves", o)
	}
	if got := strings.Count(log.String(), "event=726"); got != 1 || !strings.Contains(log.String(), "peer=b") {
		t.Errorf("got log %s, want one line with the peer", log.String())
	}
}
