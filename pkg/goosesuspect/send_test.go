package goosesuspect

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosebroadcast"
)

// threeCentres returns the instances a-1 to a-4, b-1 to b-4 and c-1 to c-4 of the data
// centres a, b and c.
func threeCentres() []goose.Member {
	var all []goose.Member
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 4 {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			all = append(all, goose.Member{Instance: goose.InstanceID(name), DataCentre: goose.DataCentre(dc), Address: name, Live: true})
		}
	}
	return all
}

// Guards against an instance that calls every other instance of the fleet after a crash, and
// against marks that do not reach all instances within seconds because the relay is dead,
// dies during the call, cannot reach some instances of its data centre, or is leaving.
func TestMarksReachOtherDataCentres(t *testing.T) {
	tests := map[string]struct {
		fault func(f *fleet)
		// missing are the instances that do not have the mark after the time within.
		missing []string
		within  time.Duration
		calls   int
	}{
		"all reply":            {func(*fleet) {}, nil, 0, 3 + 2},
		"first relay dead":     {func(f *fleet) { f.unreachable["b-1"] = true }, []string{"b-1"}, goosebroadcast.RelayTimeout, 3 + 2 + 1 + 1},
		"first relay dies":     {func(f *fleet) { f.notReplying["b-1"] = true }, nil, 2 * goosebroadcast.RelayTimeout, 3 + 2 + 1 + 1},
		"both relays dead":     {func(f *fleet) { f.unreachable["b-1"], f.unreachable["b-2"] = true, true }, []string{"b-1", "b-2"}, 2 * goosebroadcast.RelayTimeout, 3 + 2 + 1 + 2},
		"relay partly cut off": {func(f *fleet) { f.cutPairs[[2]string{"b-1", "b-3"}] = true }, nil, goosebroadcast.CallTimeout, 3 + 2 + 1},
		"relay is leaving":     {func(f *fleet) { f.members[4].Leaving, f.notReplying["b-1"] = true, true }, nil, goosebroadcast.CallTimeout, 3 + 2 + 1},
		"data centre cut off":  {func(f *fleet) { cutDataCentre(f, "a-1", "b") }, []string{"b-1", "b-2", "b-3", "b-4"}, 2*goosebroadcast.RelayTimeout + goosebroadcast.CallTimeout, 3 + 2 + 1 + 2},
		"local member is dead": {func(f *fleet) { f.unreachable["a-2"] = true }, []string{"a-2"}, 0, 3 + 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(threeCentres())
				peers := map[string]*Replicator{}
				for _, m := range f.members {
					peers[m.Address] = f.join(m.Address)
				}
				tt.fault(f)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				// Without pulls, the calls can be counted.
				wg.Go(func() { peers["a-1"].RunSends(ctx) })
				peers["a-1"].Table().RecordCrash("r1", "p1", []goose.Fingerprint{1})
				time.Sleep(tt.within)
				synctest.Wait()
				var missing []string
				for _, name := range slices.Sorted(maps.Keys(peers)) {
					if peers[name].Table().Grade(1) != goose.SuspicionSuspect {
						missing = append(missing, name)
					}
				}
				if !slices.Equal(missing, tt.missing) {
					t.Errorf("instances without the mark after %v: got %v, want %v", tt.within, missing, tt.missing)
				}
				time.Sleep(time.Minute)
				f.mu.Lock()
				if got := f.calls["a-1"]; got != tt.calls {
					t.Errorf("calls of the instance that recorded the crash: got %d, want %d", got, tt.calls)
				}
				if got := f.calls["b-3"] + f.calls["a-3"]; got != 0 {
					t.Errorf("calls of instances that are no relays: got %d, want 0", got)
				}
				f.mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

// cutDataCentre makes a data centre unreachable for an instance.
func cutDataCentre(f *fleet, name string, dc goose.DataCentre) {
	for _, m := range f.members {
		if m.DataCentre == dc {
			f.cutPairs[[2]string{name, m.Address}] = true
		}
	}
}
