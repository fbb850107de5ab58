package goosegossip

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against peers that never receive the crash record of a request that crashes
// replicas, because the first datagrams were lost or the peer was unreachable, and against
// datagrams that are too long.
func TestCrashRecordsReachPeers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// away is how long the peer receives nothing after the crashes.
		away time.Duration
		// crashes is the number of crashes; within is the time after them at which the peer
		// is checked.
		crashes int
		within  time.Duration
		want    bool
	}{
		"at once":                {crashes: 2, within: 50 * time.Millisecond, want: true},
		"datagrams lost":         {crashes: 2, away: 150 * time.Millisecond, within: 300 * time.Millisecond, want: true},
		"peer away for a minute": {crashes: 2, away: time.Minute, within: time.Minute + 2*time.Second, want: true},
		"one crash":              {crashes: 1, within: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n, _ := newNetwork(t)
				var registered atomic.Pointer[map[goose.InstanceID]goose.RegisteredInstance]
				registered.Store(&map[goose.InstanceID]goose.RegisteredInstance{"a": {Address: "10.0.0.1:7"}, "b": {Address: "10.0.0.2:7"}})
				a, stopA := startGossip(t, n, "a", "10.0.0.1:7", &registered, newPlacer())
				b, stopB := startGossip(t, n, "b", "10.0.0.2:7", &registered, newPlacer())
				attach := n.Detach("10.0.0.2:7")
				begin := time.Now()
				// Many other requests failed once.
				for f := range goose.Fingerprint(100) {
					a.o.Quarantine.RecordLost(a.o.Quarantine.Observe(goose.CrashSubjects{Request: 1000 + f}, begin), goose.NewCrashID(goose.Replica{ID: "i-0", StartedUnixMS: 1}), goose.EvidenceLost, begin)
				}
				for born := range tc.crashes {
					known := a.o.Quarantine.Observe(goose.CrashSubjects{Request: 7}, begin)
					a.o.Quarantine.RecordLost(known, goose.NewCrashID(goose.Replica{ID: "i-0", StartedUnixMS: int64(born + 1)}), goose.EvidenceCrash, begin)
				}
				time.Sleep(tc.away)
				attach()
				time.Sleep(tc.within - tc.away)
				if _, got := b.o.Quarantine.Quarantined(goose.CrashSubjects{Request: 7}, time.Now()); got != tc.want {
					t.Errorf("got quarantined %t at the peer after %s, want %t", got, tc.within, tc.want)
				}
				stopA()
				stopB()
			})
		})
	}
}

// Guards against datagrams that grow with the square of the instances: responses that are
// lost at many replicas, each known to one instance of a large fleet, with every instance
// sending each record that it hears of to all others. Every instance has to know a request
// that crashes replicas within half a second all the same.
func TestCrashRecordsOfLargeFleet(t *testing.T) {
	t.Parallel()
	const (
		instances = 50
		// lostPerSecond is the number of responses that are lost at each instance in a second.
		lostPerSecond = 1
		// maxDatagrams allows each instance resendCount datagrams to each other one in each
		// second, for what it lost itself, and as many again for what others report.
		maxDatagrams = 2 * resendCount * lostPerSecond * instances * (instances - 1)
	)
	synctest.Test(t, func(t *testing.T) {
		n, crashDatagrams := newNetwork(t)
		addresses := map[goose.InstanceID]goose.RegisteredInstance{}
		for i := range instances {
			addresses[goose.InstanceID(fmt.Sprint("edge-", i))] = goose.RegisteredInstance{Address: fmt.Sprintf("10.0.%d.1:7", i)}
		}
		var registered atomic.Pointer[map[goose.InstanceID]goose.RegisteredInstance]
		registered.Store(&addresses)
		var fleet []*Gossip
		for name, at := range addresses {
			g, stop := startGossip(t, n, string(name), at.Address, &registered, newPlacer())
			defer stop()
			fleet = append(fleet, g)
		}
		time.Sleep(2 * time.Second)
		before := crashDatagrams.Load()
		begin := time.Now()
		for i, g := range fleet {
			known := g.o.Quarantine.Observe(goose.CrashSubjects{Request: goose.Fingerprint(1000 + i)}, begin)
			g.o.Quarantine.RecordLost(known, goose.NewCrashID(goose.Replica{ID: goose.ReplicaID(fmt.Sprint("i-", i))}), goose.EvidenceLost, begin)
		}
		time.Sleep(time.Second)
		if got := crashDatagrams.Load() - before; got > maxDatagrams {
			t.Errorf("got %d datagrams in a second, want at most %d", got, maxDatagrams)
		}
		for born := range 2 {
			known := fleet[0].o.Quarantine.Observe(goose.CrashSubjects{Request: 7}, time.Now())
			fleet[0].o.Quarantine.RecordLost(known, goose.NewCrashID(goose.Replica{ID: "i-0", StartedUnixMS: int64(born + 1)}), goose.EvidenceCrash, time.Now())
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range fleet {
			if _, got := g.o.Quarantine.Quarantined(goose.CrashSubjects{Request: 7}, time.Now()); !got {
				t.Errorf("%s: got a request that may run half a second after its second crash", g.o.Instance)
			}
		}
	})
}

// Guards against datagrams of crash records that are too long for a link because every record
// has all its fields.
func TestFullCrashRecordsFitIntoDatagram(t *testing.T) {
	t.Parallel()
	r := goose.CrashRecord{
		Fingerprint: 1<<64 - 1, Round: 1 << 20, Weight: 1 << 10, PartBits: 1<<64 - 1, Trials: 9, Age: 10 * time.Minute,
	}
	for n := range goose.CrashID(goose.MaxCrashes) {
		r = r.WithCrash(1<<31+n, 0)
	}
	m := message{From: "edge-musselburgh-999", DataCentre: "musselburgh", Incarnation: 1 << 62}
	for range crashesPerDatagram {
		m.Crashes = append(m.Crashes, r)
	}
	datagram, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(datagram) > maxDatagramBytes {
		t.Errorf("got a datagram of %d bytes, limit %d", len(datagram), maxDatagramBytes)
	}
}
