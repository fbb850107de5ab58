package goosegossip

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepackettest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// newNetwork returns a network that fails the test if a datagram is too long, and counts the
// datagrams with crash records.
func newNetwork(t *testing.T) (*goosepackettest.Network, *atomic.Int64) {
	t.Helper()
	crashDatagrams := &atomic.Int64{}
	return &goosepackettest.Network{Drop: func(_, _ string, data []byte) bool {
		if len(data) > maxDatagramBytes {
			t.Errorf("got a datagram of %d bytes, limit %d", len(data), maxDatagramBytes)
		}
		var m message
		if err := cbor.Unmarshal(data, &m); err == nil && len(m.Crashes) > 0 {
			crashDatagrams.Add(1)
		}
		return false
	}}, crashDatagrams
}

// startGossip runs the Gossip of an instance. The returned function stops it.
func startGossip(t *testing.T, n *goosepackettest.Network, name, address string, registered *atomic.Pointer[map[goose.InstanceID]goose.RegisteredInstance], pl *gooseplacement.Placer) (*Gossip, context.CancelFunc) {
	t.Helper()
	g := New(Options{
		Quarantine: goosequarantine.New(slog.New(slog.DiscardHandler)),
		Instance:   goose.InstanceID(name), Incarnation: time.Now().UnixNano(), Conn: n.Listen(address),
		Instances: func() map[goose.InstanceID]goose.RegisteredInstance { return *registered.Load() }, Placer: pl,
		StoreView:  func(time.Time) goosedirectory.StoreView { return goosedirectory.StoreView{ReachableFor: time.Minute} },
		OnPeerView: func(goosedirectory.StoreView) {},
		Log:        slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	return g, func() {
		stop()
		<-done
	}
}

// startFleet runs instances in several data centres on one network.
func startFleet(n *goosepackettest.Network, dataCentres, instances int) ([]*gooseplacement.Placer, func()) {
	all := map[goose.InstanceID]goose.RegisteredInstance{}
	for i := range dataCentres * instances {
		all[goose.InstanceID(fmt.Sprint("edge-", i))] = goose.RegisteredInstance{
			Address: fmt.Sprintf("10.0.%d.1:7", i), DataCentre: goose.DataCentre(fmt.Sprint("dc-", i%dataCentres)),
		}
	}
	var registered atomic.Pointer[map[goose.InstanceID]goose.RegisteredInstance]
	registered.Store(&all)
	var placers []*gooseplacement.Placer
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	for i := range dataCentres * instances {
		name := goose.InstanceID(fmt.Sprint("edge-", i))
		pl := gooseplacement.New(gooseplacement.Options{DataCentre: all[name].DataCentre, Rand: func(int) int { return 0 }})
		placers = append(placers, pl)
		g := New(Options{
			Quarantine: goosequarantine.New(slog.New(slog.DiscardHandler)), Instance: name, DataCentre: all[name].DataCentre,
			Incarnation: time.Now().UnixNano(), Conn: n.Listen(all[name].Address),
			Instances: func() map[goose.InstanceID]goose.RegisteredInstance { return *registered.Load() }, Placer: pl,
			StoreView:  func(time.Time) goosedirectory.StoreView { return goosedirectory.StoreView{} },
			OnPeerView: func(goosedirectory.StoreView) {},
			Log:        slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
		})
		go func() {
			g.Run(ctx)
			done <- struct{}{}
		}()
	}
	return placers, func() {
		stop()
		for range placers {
			<-done
		}
	}
}

func newPlacer() *gooseplacement.Placer {
	return gooseplacement.New(gooseplacement.Options{DataCentre: "leith", Rand: func(int) int { return 0 }})
}

// Guards against peers that do not receive each other's load or keep the load of a dead
// peer, and against registrations whose expiry ends the exchange.
func TestGossip(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n, _ := newNetwork(t)
		var registered atomic.Pointer[map[goose.InstanceID]goose.RegisteredInstance]
		registered.Store(&map[goose.InstanceID]goose.RegisteredInstance{"a": {Address: "10.0.0.1:7"}, "b": {Address: "10.0.0.2:7"}})
		placerA, placerB := newPlacer(), newPlacer()
		a, stopA := startGossip(t, n, "a", "10.0.0.1:7", &registered, placerA)
		_, stopB := startGossip(t, n, "b", "10.0.0.2:7", &registered, placerB)
		time.Sleep(time.Second)
		if got := placerA.Instances(time.Now()); got != 2 {
			t.Errorf("got %d instances, want 2", got)
		}
		if got := a.PeerStoreReachableFor(time.Now()); got != time.Minute {
			t.Errorf("got a reach of %s, want that of the peer", got)
		}
		registered.Store(&map[goose.InstanceID]goose.RegisteredInstance{})
		time.Sleep(time.Minute)
		if got := placerA.Instances(time.Now()); got != 2 {
			t.Errorf("got %d instances after the registrations lapsed, want 2", got)
		}
		stopB()
		time.Sleep(gooseplacement.PeerTimeout + time.Second)
		if got := placerA.Instances(time.Now()); got != 1 {
			t.Errorf("got %d instances after one died, want 1", got)
		}
		if got := a.PeerStoreReachableFor(time.Now()); got != 0 {
			t.Errorf("got a reach of %s after the peer died, want none", got)
		}
		stopA()
	})
}

// Guards against late reports that replace newer ones, and against reports of several
// datagrams that are applied in part.
func TestHandleReport(t *testing.T) {
	t.Parallel()
	report := func(requests int, ids ...goose.ReplicaID) wireReport {
		r := wireReport{Replicas: map[goose.ReplicaID]wireLoad{}}
		for _, id := range ids {
			r.Replicas[id] = wireLoad{Requests: requests}
		}
		return r
	}
	one := func(incarnation int64, sequence uint64, requests int) message {
		return message{From: "b", Incarnation: incarnation, Sequence: sequence, Parts: 1, Report: report(requests, "i-0")}
	}
	tests := map[string]struct {
		messages []message
		// want is the replica that is chosen for the next plain request.
		want goose.ReplicaID
	}{
		"newest report wins":    {messages: []message{one(1, 1, 9), one(1, 2, 0)}, want: "i-0"},
		"late report dropped":   {messages: []message{one(1, 2, 9), one(1, 1, 0)}, want: "i-1"},
		"earlier process":       {messages: []message{one(2, 1, 9), one(1, 5, 0)}, want: "i-1"},
		"later process":         {messages: []message{one(1, 5, 9), one(2, 1, 0)}, want: "i-0"},
		"half of a report":      {messages: []message{{From: "b", Incarnation: 1, Sequence: 1, Parts: 2, Report: report(9, "i-0")}}, want: "i-0"},
		"both halves":           {messages: []message{{From: "b", Incarnation: 1, Sequence: 1, Parts: 2, Report: report(9, "i-0")}, {From: "b", Incarnation: 1, Sequence: 1, Part: 1, Parts: 2, Report: report(3, "i-1")}}, want: "i-1"},
		"halves of two reports": {messages: []message{{From: "b", Incarnation: 1, Sequence: 1, Parts: 2, Report: report(9, "i-0")}, {From: "b", Incarnation: 1, Sequence: 2, Part: 1, Parts: 2}}, want: "i-0"},
		"same report twice":     {messages: []message{one(1, 1, 9), one(1, 1, 9)}, want: "i-1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl := newPlacer()
			g := New(Options{Placer: pl, OnPeerView: func(goosedirectory.StoreView) {}, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{}})
			for _, m := range tc.messages {
				g.handleReport(m, &net.UDPAddr{})
			}
			c, _ := pl.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now())
			if c.Replica.ID != tc.want {
				t.Errorf("got replica %s, want %s", c.Replica.ID, tc.want)
			}
		})
	}
}

// Guards against a restarted instance whose reports are dropped because the system clock was
// set back before the restart.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		pl := newPlacer()
		g := New(Options{Placer: pl, OnPeerView: func(goosedirectory.StoreView) {}, Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{}})
		one := message{From: "b", Incarnation: 9, Sequence: 7, Parts: 1}
		g.handleReport(one, &net.UDPAddr{})
		time.Sleep(gooseplacement.PeerTimeout + time.Millisecond)
		one.Incarnation, one.Sequence = 5, 1
		one.Report.Replicas = map[goose.ReplicaID]wireLoad{"i-0": {Requests: 9}}
		g.handleReport(one, &net.UDPAddr{})
		if c, _ := pl.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now()); c.Replica.ID != "i-1" {
			t.Errorf("got replica %s, want the one that the restarted peer has not loaded", c.Replica.ID)
		}
	})
}

// twoReplicas returns plain replicas with few slots, i-0 before i-1.
func twoReplicas() []goosedirectory.Replica {
	all := make([]goosedirectory.Replica, 2)
	for i, id := range []goose.ReplicaID{"i-0", "i-1"} {
		all[i].Replica = goose.Replica{ID: id, DataCentre: "leith", Slots: 4}
	}
	return all
}

// Guards against load reports of a large fleet that grow with the square of its instances, or
// that are so rare that each instance chooses blindly: instances know of a new request in
// their data centre at once, and of those in others by its sums.
func TestDataCentresExchangeSums(t *testing.T) {
	t.Parallel()
	const (
		dataCentres, instances = 3, 12
		// maxReports allows each instance a report to each other one of its data centre in
		// each unchangedInterval, and two sums to each other data centre in each sumInterval,
		// in two seconds.
		maxReports = dataCentres*instances*(instances-1)*4 + 2*dataCentres*(dataCentres-1)*instances*6
	)
	synctest.Test(t, func(t *testing.T) {
		var reports atomic.Int64
		n := &goosepackettest.Network{Drop: func(string, string, []byte) bool {
			reports.Add(1)
			return false
		}}
		all, stop := startFleet(n, dataCentres, instances)
		defer stop()
		placers := map[goose.DataCentre][]*gooseplacement.Placer{}
		for i, pl := range all {
			dc := goose.DataCentre(fmt.Sprint("dc-", i%dataCentres))
			placers[dc] = append(placers[dc], pl)
		}
		time.Sleep(2 * time.Second)
		before := reports.Load()
		time.Sleep(2 * time.Second)
		if got := reports.Load() - before; got > maxReports {
			t.Errorf("got %d datagrams of an idle fleet in two seconds, want at most %d", got, maxReports)
		}
		at := placers["dc-1"][5]
		if _, o := at.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now()); o != gooseplacement.ObstacleNone {
			t.Fatalf("got obstacle %q", o)
		}
		time.Sleep(2 * reportDueDelay)
		check := func(dc goose.DataCentre) {
			t.Helper()
			for i, pl := range placers[dc] {
				if got := pl.Instances(time.Now()); got != dataCentres*instances {
					t.Errorf("got %d instances at instance %d of %s, want %d", got, i, dc, dataCentres*instances)
				}
				if c, _ := pl.Choose(gooseplacement.Demand{}, twoReplicas(), time.Now()); pl != at && (c.Replica.ID != "i-1" || c.Load.Requests != 0) {
					t.Errorf("got replica %s with %d requests at instance %d of %s, want the idle one", c.Replica.ID, c.Load.Requests, i, dc)
				}
			}
		}
		check("dc-1")
		// Another of the data centres learns of it by the sum, also if the usual sender is dead.
		time.Sleep(2*sumInterval + 10*time.Millisecond)
		for i, pl := range placers["dc-0"] {
			if c, _ := pl.Choose(gooseplacement.Demand{}, twoReplicas()[:1], time.Now()); c.Load.Requests == 0 {
				t.Errorf("got no request at the replica at instance %d of another data centre", i)
			}
		}
		if got := placers["dc-0"][7].DataCentreReport(time.Now()).Instances; got != instances {
			t.Errorf("got a sum of %d instances, want those of the data centre, %d", got, instances)
		}
	})
}

// Guards against datagrams that exceed the limit for reports of many replicas.
func TestEncodeReport(t *testing.T) {
	t.Parallel()
	r := gooseplacement.Report{
		Replicas: map[goose.ReplicaID]gooseplacement.Load{}, OfferedLoad: map[goose.ServiceName]gooseplacement.OfferedLoad{"wording-desk": {Short: 1.23456, Long: 2.34567}},
	}
	for i := range 100 {
		id := goose.ReplicaID("i-" + strings.Repeat("f", 8) + string(rune('0'+i/10)) + string(rune('0'+i%10)))
		r.Replicas[id] = gooseplacement.Load{Requests: 16, Waiting: 16, Tokens: 315_000, Prefill: 9_999_999_999, ShortPauseStreams: 16}
	}
	for i := range gooseplacement.MaxReportedLeaving {
		id := goose.ReplicaID(fmt.Sprintf("i-%s%02d", strings.Repeat("f", 8), i))
		r.Leaving = append(r.Leaving, gooseplacement.Process{Replica: id, StartedUnixMS: leavingAt})
	}
	for i := range gooseplacement.MaxReportedMarks {
		id := goose.ReplicaID(fmt.Sprintf("i-%s%02d", strings.Repeat("f", 8), i))
		r.Marks = append(r.Marks, gooseplacement.Mark{Process: gooseplacement.Process{Replica: id, StartedUnixMS: leavingAt}, Kind: gooseplacement.MarkSlow, Age: time.Second})
	}
	g := New(Options{Instance: "edge-musselburgh-1", StoreView: func(time.Time) goosedirectory.StoreView { return goosedirectory.StoreView{ReachableFor: time.Hour} }})
	datagrams := g.encodeReport(r, false, 1, time.Now())
	if len(datagrams) < 2 {
		t.Fatalf("got %d datagrams, want several", len(datagrams))
	}
	for _, d := range datagrams {
		if len(d) > maxDatagramBytes {
			t.Errorf("got a datagram of %d bytes, limit %d", len(d), maxDatagramBytes)
		}
	}
}

// Guards against instances that are not registered again after their lease was lost.
func TestRegistration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := goosestoretest.New()
		var failures atomic.Int64
		r := NewRegistration(store, "a", goose.RegisteredInstance{Address: "10.0.0.1:7"}, func(error) { failures.Add(1) }, func() bool { return false }, gooseera.New(slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler))
		store.SetDown(true)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(time.Minute)
		store.SetDown(false)
		time.Sleep(time.Minute)
		e, ok, err := store.Get(context.Background(), instancePrefix+"a")
		if err != nil || !ok || string(e.Value) != "10.0.0.1:7" {
			t.Errorf("got entry %q, %t, error %v, want the address", e.Value, ok, err)
		}
		if got := failures.Load(); got != 0 {
			t.Errorf("got %d failed renewals while the store responds, want none", got)
		}
		store.SetDown(true)
		time.Sleep(4 * time.Second)
		if failures.Load() == 0 {
			t.Error("got no failed renewal 4 s after the store became unavailable")
		}
		store.SetDown(false)
		stop()
		<-done
	})
}

// Guards against invalid registrations that break the exchange.
func TestDecodeRegistration(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		value   string
		deleted bool
		want    goose.StoreChange
		wantErr bool
	}{
		"data centre": {value: "10.0.0.1:7 leith", want: goose.StoreChange{Kind: goose.ChangeInstance, Instance: "a", Address: "10.0.0.1:7", DataCentre: "leith"}},
		"address":     {value: "10.0.0.1:7", want: goose.StoreChange{Kind: goose.ChangeInstance, Instance: "a", Address: "10.0.0.1:7"}},
		"gone":        {deleted: true, want: goose.StoreChange{Kind: goose.ChangeInstance, Instance: "a", Removed: true}},
		"rubbish":     {value: "\x00", want: goose.StoreChange{Kind: goose.ChangeInstance, Instance: "a", Removed: true}, wantErr: true},
		"no value":    {want: goose.StoreChange{Kind: goose.ChangeInstance, Instance: "a", Removed: true}, wantErr: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := NewStoreDecoder(nil).Decode(goose.Entry{Key: instancePrefix + "a", Value: []byte(tc.value)}, tc.deleted)
			if got != tc.want || (err != nil) != tc.wantErr {
				t.Errorf("got %+v, error %v, want %+v, error: %t", got, err, tc.want, tc.wantErr)
			}
		})
	}
}
