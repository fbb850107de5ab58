package goosebroadcast

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// members is a fleet of two instances in each of two data centres, as one of them sees it.
type members struct {
	goose.Membership
	self string
}

func (m members) Self() goose.Member {
	i := slices.IndexFunc(m.Members(), func(o goose.Member) bool { return o.Address == m.self })
	return m.Members()[i]
}

func (members) Members() []goose.Member {
	var all []goose.Member
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
		all = append(all, goose.Member{Instance: goose.InstanceID(name), DataCentre: goose.DataCentre(name[:1]), Address: name, Live: true})
	}
	return all
}

// set is what one instance has received.
type set struct {
	mu    sync.Mutex
	items map[int]bool
}

func (s *set) merge(items []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		s.items[i] = true
	}
}

func (s *set) all() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.items))
}

// newFleet returns the broadcasters and sets of all members by address.
func newFleet(network *goosepeertest.Network) (map[string]*Broadcaster[int], map[string]*set) {
	broadcasters, sets := map[string]*Broadcaster[int]{}, map[string]*set{}
	for _, m := range (members{}).Members() {
		s, link := &set{items: map[int]bool{}}, network.Join(m.Address)
		b := New(Options[int]{Members: members{self: m.Address}, Client: link, Kind: "send", PullKind: "pull", Merge: s.merge, All: s.all})
		b.Register(link)
		broadcasters[m.Address], sets[m.Address] = b, s
	}
	return broadcasters, sets
}

// Guards against items that do not reach every member, or reach one of them only at the next
// loss: through a relay, past a silent one, and by a pull after the queue was full.
func TestItemsReachAllMembers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// silent is the member that receives nothing for the first seconds.
		silent string
		// enqueued is the number of items that are sent at once.
		enqueued int
	}{
		"one item":              {enqueued: 1},
		"one beside it silent":  {enqueued: 1, silent: "a-2"},
		"relay silent":          {enqueued: 1, silent: "b-1"},
		"more than a queue has": {enqueued: 2 * sendQueueSize},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				network := goosepeertest.New(func(c goosepeertest.Call) goosepeertest.Fault {
					if c.To == tc.silent && time.Since(start) < 10*time.Second {
						return goosepeertest.FaultSilent
					}
					return goosepeertest.FaultNone
				})
				broadcasters, sets := newFleet(network)
				// What its queue drops is still known to the sender, and the others pull it.
				for i := range tc.enqueued {
					sets["a-1"].merge([]int{i})
					broadcasters["a-1"].Enqueue([]int{i})
				}
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				for _, b := range broadcasters {
					running.Go(func() { b.Run(ctx) })
				}
				time.Sleep(20 * PullInterval)
				for at, s := range sets {
					if got := len(s.all()); got != tc.enqueued {
						t.Errorf("got %d items at %s, want %d", got, at, tc.enqueued)
					}
				}
				cancel()
				running.Wait()
			})
		})
	}
}
