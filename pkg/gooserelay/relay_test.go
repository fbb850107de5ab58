package gooserelay

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepackettest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// changeBound is the bound for changes in these tests.
const changeBound = 4 * time.Second

// maxPollWait is the longest wait of a poll that the platform's adapter gives for changeBound.
const maxPollWait = 5 * time.Second

// fleet is the instances of one data centre.
type fleet struct {
	t         *testing.T
	network   *goosepackettest.Network
	store     *goosestoretest.Store
	instances []*instance
	// drop reports whether a datagram is lost; nil means that none is.
	drop atomic.Pointer[dropFunc]
}

// dropFunc reports whether a datagram is lost.
type dropFunc func(from, to string, data []byte) bool

func (f *fleet) setDrop(d dropFunc) { f.drop.Store(&d) }

// instance is one instance that watches the store.
type instance struct {
	name    string
	address string
	relay   *Relay
	store   *faultyStore
	stop    func()

	mu sync.Mutex
	// revisions are the revisions of the changes of each key, in the order of delivery.
	revisions map[string][]int64
	watches   int
}

// faultyStore is an instance's access to the store.
type faultyStore struct {
	*goosestoretest.Store
	unavailable atomic.Bool
	// stalled is set while polls get no response.
	stalled atomic.Bool
	polls   atomic.Int64
	// silences counts how often the open connections went silent.
	silences atomic.Int64
}

// Poll implements goose.PollingStore.
func (s *faultyStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]goose.WatchEvent, int64, error) {
	s.polls.Add(1)
	if s.unavailable.Load() {
		return nil, 0, goose.ErrUnavailable
	}
	silences, start := s.silences.Load(), time.Now()
	events, revision, err := s.Store.Poll(ctx, prefix, after, wait)
	if s.silences.Load() != silences {
		goose.Sleep(ctx, wait+1200*time.Millisecond-time.Since(start))
		return nil, 0, goose.ErrOutcomeUnknown
	}
	if s.stalled.Load() {
		goose.Sleep(ctx, wait+1200*time.Millisecond)
		return nil, 0, goose.ErrOutcomeUnknown
	}
	return events, revision, err
}

func newFleet(t *testing.T, n int, drop dropFunc) *fleet {
	t.Helper()
	f := &fleet{t: t, store: goosestoretest.New()}
	f.setDrop(drop)
	f.network = &goosepackettest.Network{Drop: func(from, to string, data []byte) bool {
		drop := *f.drop.Load()
		return drop != nil && drop(from, to, data)
	}}
	for i := range n {
		f.instances = append(f.instances, &instance{
			name: fmt.Sprint("edge-", i), address: fmt.Sprintf("10.0.%d.1:7", i), revisions: map[string][]int64{},
		})
	}
	for _, e := range f.instances {
		f.start(e)
	}
	return f
}

// start starts an instance. Its watch is restarted after an error, as the directory's
// follower does.
func (f *fleet) start(e *instance) {
	e.store = &faultyStore{Store: f.store}
	e.relay = New(Options{
		Instance: goose.InstanceID(e.name), Store: e.store, Conn: f.network.Listen(e.address),
		Neighbours: func(time.Time) []net.Addr {
			var all []net.Addr
			for _, other := range f.instances {
				if other != e {
					a, err := net.ResolveUDPAddr("udp4", other.address)
					if err != nil {
						panic(err)
					}
					all = append(all, a)
				}
			}
			return all
		},
		Instances:   func(time.Time) int { return len(f.instances) },
		ChangeBound: changeBound, WatchPause: 1600 * time.Millisecond, MaxPollWait: maxPollWait,
		Era: newTracker(), Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.relay.Run(ctx) })
	wg.Go(func() { e.watch(ctx) })
	e.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
}

func (e *instance) watch(ctx context.Context) {
	var revision int64
	for ctx.Err() == nil {
		w, err := e.relay.Watch(ctx, "", revision+1)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.watches++
		e.mu.Unlock()
		for event := range w.Events() {
			revision = max(revision, event.Entry.ModRevision)
			e.mu.Lock()
			e.revisions[event.Entry.Key] = append(e.revisions[event.Entry.Key], event.Entry.ModRevision)
			e.mu.Unlock()
		}
		goose.Sleep(ctx, 300*time.Millisecond)
	}
}

// last returns the revision of the last change of a key that was delivered.
func (e *instance) last(key string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := e.revisions[key]
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}

func (f *fleet) stop() {
	for _, e := range f.instances {
		e.stop()
	}
}

// put changes a key and returns the revision.
func (f *fleet) put(key, value string) int64 {
	f.t.Helper()
	r, err := f.store.Commit(context.Background(), goose.Txn{Then: []goose.Op{goose.Put(key, []byte(value))}})
	if err != nil {
		f.t.Fatal(err)
	}
	return r.Revision
}

// relays returns the instances that are relays.
func (f *fleet) relays() []*instance {
	var all []*instance
	for _, e := range f.instances {
		if e.relay.Leading() {
			all = append(all, e)
		}
	}
	return all
}

// check verifies that every instance, except those left out, knows the last change of the
// key, and that none has gone back to an older one.
func (f *fleet) check(key string, want int64, leftOut ...*instance) {
	f.t.Helper()
	for _, e := range f.instances {
		out := false
		for _, l := range leftOut {
			out = out || l == e
		}
		if got := e.last(key); got < want && !out {
			f.t.Errorf("%s: got revision %d of %s, want %d", e.name, got, key, want)
		}
		e.mu.Lock()
		for key, all := range e.revisions {
			for i := 1; i < len(all); i++ {
				if all[i] <= all[i-1] {
					f.t.Errorf("%s: got revision %d of %s after %d", e.name, all[i], key, all[i-1])
				}
			}
		}
		e.mu.Unlock()
	}
}

func (f *fleet) polls() int64 {
	var n int64
	for _, e := range f.instances {
		n += e.store.polls.Load()
	}
	return n
}

// Guards against calls to the store that grow with the instances: changes that come all the
// time, each of which every instance of a large data centre reads for itself. A small fleet
// reads the store without a relay.
func TestCallsOfLargeDataCentre(t *testing.T) {
	t.Parallel()
	const duration = 30 * time.Second
	const maxRelayPolls = int64(duration / (changeBound / pauseDivisor))
	tests := map[string]struct {
		instances int
		// maxPolls is the largest number of polls, minPolls the least.
		minPolls, maxPolls int64
		relays             int
	}{
		"six":   {instances: 6, minPolls: 6 * 15, maxPolls: 6 * 30, relays: 0},
		"sixty": {instances: 60, minPolls: 20, maxPolls: 2*60 + maxRelayPolls, relays: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, tc.instances, nil)
				for begin := time.Now(); time.Since(begin) < duration; time.Sleep(100 * time.Millisecond) {
					f.put(fmt.Sprint("servers/i-", rand.IntN(200)), "draining")
				}
				f.put("op/config", strings.Repeat("routes ", 5000))
				last := f.put("op/config", strings.Repeat("routes ", 5001))
				time.Sleep(changeBound / 2)
				f.check("op/config", last)
				if got := f.polls(); got < tc.minPolls || got > tc.maxPolls {
					t.Errorf("got %d polls, want %d to %d", got, tc.minPolls, tc.maxPolls)
				}
				if got := len(f.relays()); got != tc.relays {
					t.Errorf("got %d relays, want %d", got, tc.relays)
				}
				f.stop()
			})
		})
	}
}

// Guards against changes that instances miss, or learn of after their bound, because
// something happens to the relay that they follow.
func TestRelayFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// fault is applied to the relay. It returns the instances that need not know the
		// change within its bound.
		fault func(f *fleet, relay *instance) []*instance
	}{
		"stopped": {fault: func(_ *fleet, relay *instance) []*instance {
			relay.stop()
			return []*instance{relay}
		}},
		"store unavailable to it": {fault: func(_ *fleet, relay *instance) []*instance {
			relay.store.unavailable.Store(true)
			return nil
		}},
		"its polls get no response": {fault: func(_ *fleet, relay *instance) []*instance {
			relay.store.stalled.Store(true)
			return []*instance{relay}
		}},
		"heard by nobody, hears all": {fault: func(f *fleet, relay *instance) []*instance {
			f.setDrop(func(from, _ string, _ []byte) bool { return from == relay.address })
			return nil
		}},
		"cut off from the others": {fault: func(f *fleet, relay *instance) []*instance {
			f.setDrop(func(from, to string, _ []byte) bool { return from == relay.address || to == relay.address })
			return nil
		}},
		"nobody hears anybody": {fault: func(f *fleet, _ *instance) []*instance {
			f.setDrop(func(string, string, []byte) bool { return true })
			return nil
		}},
		"updates lost, heartbeats arrive": {fault: func(f *fleet, _ *instance) []*instance {
			f.setDrop(func(_, _ string, data []byte) bool { return len(data) > 100 })
			return nil
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 20, nil)
				time.Sleep(10 * time.Second)
				relays := f.relays()
				if len(relays) != 1 {
					t.Fatalf("got %d relays, want one", len(relays))
				}
				leftOut := tc.fault(f, relays[0])
				for i := range 5 {
					// The changes come at different moments after the fault.
					time.Sleep(time.Duration(i) * 333 * time.Millisecond)
					revision := f.put("op/config", strings.Repeat(fmt.Sprint("version ", i, " "), 40))
					time.Sleep(changeBound)
					f.check("op/config", revision, leftOut...)
				}
				f.stop()
			})
		})
	}
}

// Guards against two relays that go on for ever, and against changes that are applied twice
// or backwards while two send theirs.
func TestTwoRelays(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var apart atomic.Bool
		half := func(address string) bool { return address < "10.0.14" }
		f := newFleet(t, 20, func(from, to string, _ []byte) bool { return apart.Load() && half(from) != half(to) })
		apart.Store(true)
		time.Sleep(10 * time.Second)
		if got := len(f.relays()); got != 2 {
			t.Errorf("got %d relays in two parts, want two", got)
		}
		apart.Store(false)
		var last int64
		for range 100 {
			last = f.put("op/config", "x")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(changeBound)
		f.check("op/config", last)
		if got := len(f.relays()); got != 1 {
			t.Errorf("got %d relays, want one", got)
		}
		f.stop()
	})
}

// Guards against changes that are missed because datagrams are lost.
func TestLostDatagrams(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, func(string, string, []byte) bool { return rand.IntN(10) < 3 })
		want := map[string]int64{}
		for i := range 300 {
			key := fmt.Sprint("servers/i-", i%40)
			want[key] = f.put(key, strings.Repeat("entry ", 100))
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		}
		time.Sleep(changeBound)
		for key, revision := range want {
			f.check(key, revision)
		}
		f.stop()
	})
}

// Guards against an update of many datagrams that fills the link of a small machine: the
// others read it from the store.
func TestLongUpdate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var longest atomic.Int64
		f := newFleet(t, 20, func(_, _ string, data []byte) bool {
			for {
				old := longest.Load()
				if int64(len(data)) <= old || longest.CompareAndSwap(old, int64(len(data))) {
					return false
				}
			}
		})
		time.Sleep(10 * time.Second)
		before := f.polls()
		noise := make([]byte, 2*maxParts*partBytes)
		for i := range noise {
			noise[i] = byte(rand.IntN(256))
		}
		revision := f.put("op/config", string(noise))
		time.Sleep(changeBound)
		f.check("op/config", revision)
		if got, want := f.polls()-before, int64(2*len(f.instances)+20); got > want {
			t.Errorf("got %d polls, want at most %d", got, want)
		}
		if got := longest.Load(); got > maxDatagramBytes {
			t.Errorf("got a datagram of %d bytes, limit %d", got, maxDatagramBytes)
		}
		f.stop()
	})
}

// Guards against a watch that goes on with the relay although it was restarted because peers
// know more than the relay tells: it has to ask the store at once.
func TestRestartedWatchPolls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, nil)
		time.Sleep(10 * time.Second)
		follower := f.instances[0]
		if follower.relay.Leading() {
			follower = f.instances[1]
		}
		before := follower.store.polls.Load()
		w, err := follower.relay.Watch(context.Background(), "", 1)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if got := follower.store.polls.Load() - before; got != 1 {
			t.Errorf("got %d polls after the watch was restarted, want one", got)
		}
		w.Close()
		f.stop()
	})
}

// Guards against changes that all instances of a small fleet learn of too late, because the
// connections on which they wait for the store have gone silent while new ones work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	const (
		// excused is the time after the silence in which late changes are excused.
		excused = 3200 * time.Millisecond
		quiet   = 40 * time.Second
	)
	for _, age := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, nil)
				defer f.stop()
				time.Sleep(quiet + age)
				for _, e := range f.instances {
					e.store.silences.Add(1)
				}
				time.Sleep(excused)
				last := f.put("servers/i-1", "draining")
				time.Sleep(changeBound)
				f.check("servers/i-1", last)
			})
		})
	}
}
