package goosegossip

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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
				n := &network{}
				var registered atomic.Pointer[map[goose.InstanceID]string]
				registered.Store(&map[goose.InstanceID]string{"a": "10.0.0.1:7", "b": "10.0.0.2:7"})
				a, stopA := startGossip(t, n, "a", "10.0.0.1:7", &registered, newPlacer())
				b, stopB := startGossip(t, n, "b", "10.0.0.2:7", &registered, newPlacer())
				peer, _ := n.conns.LoadAndDelete("10.0.0.2:7")
				begin := time.Now()
				// Many other requests failed once.
				for f := range goose.Fingerprint(100) {
					a.o.Quarantine.RecordLost(goose.CrashRecord{Fingerprint: 1000 + f}, goose.Replica{ID: "i-0", StartedUnixMS: 1}, goose.EvidenceLost, begin)
				}
				for born := range tc.crashes {
					known := a.o.Quarantine.CrashRecord(7, begin)
					a.o.Quarantine.RecordLost(known, goose.Replica{ID: "i-0", StartedUnixMS: int64(born + 1)}, goose.EvidenceCrash, begin)
				}
				time.Sleep(tc.away)
				n.conns.Store("10.0.0.2:7", peer)
				time.Sleep(tc.within - tc.away)
				if _, got := b.o.Quarantine.Quarantined(7, time.Now()); got != tc.want {
					t.Errorf("got quarantined %t at the peer after %s, want %t", got, tc.within, tc.want)
				}
				stopA()
				stopB()
			})
		})
	}
}
