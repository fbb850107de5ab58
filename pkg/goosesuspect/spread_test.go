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
)

// threeCentres are the instances a-1 to a-4, b-1 to b-4 and c-1 to c-4.
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

// Guards against a crash that its finder tells to every instance of the fleet,
// and against marks that do not reach all within seconds because the instance
// that should pass them on is dead, dies meanwhile, is cut off from a part of its
// data centre, or is leaving.
func TestSpreadOverDataCentres(t *testing.T) {
	tests := map[string]struct {
		broken  func(f *fleet)
		without []string
		within  time.Duration
		calls   int
	}{
		"all answer":            {func(*fleet) {}, nil, 0, 3 + 2},
		"first relay dead":      {func(f *fleet) { f.unreached["b-1"] = true }, []string{"b-1"}, forwardTimeout, 3 + 2 + 1 + 1},
		"first relay dies":      {func(f *fleet) { f.unanswering["b-1"] = true }, nil, 2 * forwardTimeout, 3 + 2 + 1 + 1},
		"both relays dead":      {func(f *fleet) { f.unreached["b-1"], f.unreached["b-2"] = true, true }, []string{"b-1", "b-2"}, 2 * forwardTimeout, 3 + 2 + 1 + 2},
		"relay partly cut off":  {func(f *fleet) { f.cut[[2]string{"b-1", "b-3"}] = true }, nil, callTimeout, 3 + 2 + 1},
		"relay is leaving":      {func(f *fleet) { f.members[4].Leaving, f.unanswering["b-1"] = true, true }, nil, callTimeout, 3 + 2 + 1},
		"data centre cut off":   {func(f *fleet) { cutFrom(f, "a-1", "b") }, []string{"b-1", "b-2", "b-3", "b-4"}, 2*forwardTimeout + callTimeout, 3 + 2 + 1 + 2},
		"own neighbour is dead": {func(f *fleet) { f.unreached["a-2"] = true }, []string{"a-2"}, 0, 3 + 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(threeCentres())
				peers := map[string]*Peers{}
				for _, m := range f.members {
					peers[m.Address] = f.join(m.Address)
				}
				tt.broken(f)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() { spreadOnly(ctx, peers["a-1"]) })
				peers["a-1"].Table().Crashed("r1", "p1", []goose.Fingerprint{1})
				time.Sleep(tt.within)
				synctest.Wait()
				var without []string
				for _, name := range slices.Sorted(maps.Keys(peers)) {
					if peers[name].Table().Grade(1) != goose.SuspicionSuspect {
						without = append(without, name)
					}
				}
				if !slices.Equal(without, tt.without) {
					t.Errorf("without the mark after %v: got %v, want %v", tt.within, without, tt.without)
				}
				time.Sleep(time.Minute)
				f.mu.Lock()
				if got := f.calls["a-1"]; got != tt.calls {
					t.Errorf("calls of the finder: got %d, want %d", got, tt.calls)
				}
				if got := f.calls["b-3"] + f.calls["a-3"]; got != 0 {
					t.Errorf("calls of instances that were not asked to pass on: got %d, want 0", got)
				}
				f.mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

func cutFrom(f *fleet, name string, dc goose.DataCentre) {
	for _, m := range f.members {
		if m.DataCentre == dc {
			f.cut[[2]string{name, m.Address}] = true
		}
	}
}

// spreadOnly sends queued marks and pulls nothing, so that calls can be counted.
func spreadOnly(ctx context.Context, p *Peers) {
	for {
		select {
		case <-ctx.Done():
			return
		case marks := <-p.queue:
			p.send(ctx, marks)
		}
	}
}
