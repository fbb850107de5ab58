package goosegossip

import (
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

// Guards against replicas that decline the requests of one instance after the other, because
// none tells the others that they are full: within 30 ms in the data centre, and one interval of
// the sums elsewhere.
func TestMarkIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		dataCentres, instances int
		within, elsewhere      time.Duration
	}{
		"one data centre":   {dataCentres: 1, instances: 4, within: 30 * time.Millisecond},
		"three of them":     {dataCentres: 3, instances: 2, within: 30 * time.Millisecond},
		"fleet that splits": {dataCentres: 3, instances: 12, within: 30 * time.Millisecond, elsewhere: sumInterval + 10*time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n, _ := newNetwork(t)
				placers, stop := startFleet(n, tc.dataCentres, tc.instances)
				defer stop()
				time.Sleep(2 * time.Second)
				marked := time.Now()
				placers[0].RecordMark(leavingReplica(leavingAt)[0].Replica, gooseplacement.MarkFull, marked)
				time.Sleep(tc.within)
				for i, pl := range placers {
					if tc.elsewhere > 0 && i%tc.dataCentres != 0 {
						continue
					}
					if got := pl.MarkCount(gooseplacement.MarkFull, time.Now()); got != 1 {
						t.Errorf("got %d marks at instance %d after %s, want 1", got, i, tc.within)
					}
				}
				time.Sleep(max(tc.elsewhere-tc.within, 0))
				for i, pl := range placers {
					if got := pl.MarkCount(gooseplacement.MarkFull, time.Now()); got != 1 {
						t.Errorf("got %d marks at instance %d after %s, want 1", got, i, tc.elsewhere)
					}
				}
				time.Sleep(5 * time.Second)
				for i, pl := range placers {
					if got := pl.MarkCount(gooseplacement.MarkFull, time.Now()); got != 0 {
						t.Errorf("got %d marks at instance %d long after, want none", got, i)
					}
				}
			})
		})
	}
}

// Guards against malformed or forged marks that rank replicas last.
func TestMalformedMark(t *testing.T) {
	t.Parallel()
	mark := wireMark{Replica: "i-0", StartedUnixMS: leavingAt, Kind: 1}
	with := func(change func(*wireMark)) message {
		m := mark
		change(&m)
		return message{From: "b", Incarnation: 1, Parts: 1, Report: wireReport{Marks: []wireMark{m}}}
	}
	many := make([]wireMark, gooseplacement.MaxReportedMarks+1)
	for i := range many {
		many[i] = mark
	}
	tests := map[string]message{
		"no process":            with(func(m *wireMark) { m.StartedUnixMS = 0 }),
		"negative process":      with(func(m *wireMark) { m.StartedUnixMS = -leavingAt }),
		"no replica":            with(func(m *wireMark) { m.Replica = "" }),
		"a long name":           with(func(m *wireMark) { m.Replica = goose.ReplicaID(strings.Repeat("x", 300)) }),
		"negative age":          with(func(m *wireMark) { m.AgeMS = -1 }),
		"age that overflows":    with(func(m *wireMark) { m.AgeMS = 1<<63 - 1 }),
		"old":                   with(func(m *wireMark) { m.AgeMS = 30_000 }),
		"unknown kind":          with(func(m *wireMark) { m.Kind = 99 }),
		"no kind":               with(func(m *wireMark) { m.Kind = 0 }),
		"too many":              {From: "b", Parts: 1, Report: wireReport{Marks: many}},
		"no sender":             {Parts: 1, Report: wireReport{Marks: []wireMark{mark}}},
		"beside a wrong report": {From: "b", Parts: 1, Report: wireReport{Instances: -1, Marks: []wireMark{mark}}},
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
			for _, kind := range markKinds {
				if got := g.o.Placer.MarkCount(kind, time.Now()); got != 0 {
					t.Errorf("got %d marks %q, want none", got, kind)
				}
			}
		})
	}
}

// reportWithoutMarks is the encoding of a report in versions before marks.
type reportWithoutMarks struct {
	Replicas    map[goose.ReplicaID]wireLoad                     `cbor:"1,keyasint,omitempty"`
	OfferedLoad map[goose.ServiceName]gooseplacement.OfferedLoad `cbor:"2,keyasint,omitempty"`
	Instances   int                                              `cbor:"3,keyasint,omitempty"`
	Leaving     []wireProcess                                    `cbor:"4,keyasint,omitempty"`
}

// Guards against versions that drop each other's reports: those before marks read the rest of
// a report with marks, and this one reads theirs and those with marks of a later version.
func TestMarksBetweenVersions(t *testing.T) {
	t.Parallel()
	replicas := map[goose.ReplicaID]wireLoad{"i-0": {Requests: 3}}
	datagram, err := cbor.Marshal(wireReport{Replicas: replicas, Marks: []wireMark{{Replica: "i-0", StartedUnixMS: leavingAt, Kind: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	var old reportWithoutMarks
	if err := cbor.Unmarshal(datagram, &old); err != nil || old.Replicas["i-0"].Requests != 3 {
		t.Errorf("got %+v, error %v in the earlier version, want the load", old, err)
	}
	datagram, err = cbor.Marshal(reportWithoutMarks{Replicas: replicas})
	if err != nil {
		t.Fatal(err)
	}
	var report wireReport
	if err := cbor.Unmarshal(datagram, &report); err != nil || report.Replicas["i-0"].Requests != 3 || report.Marks != nil {
		t.Errorf("got %+v, error %v from the earlier version, want the load", report, err)
	}
	g := newReceiver(slog.New(slog.DiscardHandler), func(goosedirectory.StoreView) {})
	m := message{From: "b", Incarnation: 1, Parts: 1, Report: wireReport{Marks: []wireMark{{Replica: "i-0", StartedUnixMS: leavingAt, Kind: 99}, {Replica: "i-0", StartedUnixMS: leavingAt, Kind: 2}}}}
	if datagram, err = cbor.Marshal(m); err != nil {
		t.Fatal(err)
	}
	g.handleDatagram(datagram, &net.UDPAddr{})
	if got := g.o.Placer.MarkCount(gooseplacement.MarkNoMemory, time.Now()); got != 1 || g.o.Placer.Instances(time.Now()) != 2 {
		t.Errorf("got %d marks of %d instances from a later version, want the known one", got, g.o.Placer.Instances(time.Now()))
	}
}

// Guards against marks that get lost because the other datagrams of their report do.
func TestMarkInPartOfReport(t *testing.T) {
	t.Parallel()
	g := newReceiver(slog.New(slog.DiscardHandler), func(goosedirectory.StoreView) {})
	m := message{From: "b", Incarnation: 1, Part: 1, Parts: 2, Report: wireReport{Marks: []wireMark{{Replica: "i-0", StartedUnixMS: leavingAt, Kind: 1, AgeMS: 20}}}}
	datagram, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	g.handleDatagram(datagram, &net.UDPAddr{})
	if got := g.o.Placer.MarkCount(gooseplacement.MarkFull, time.Now()); got != 1 {
		t.Errorf("got %d marks, want 1", got)
	}
}
