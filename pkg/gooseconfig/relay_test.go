package gooseconfig_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// cluster is a fleet of relays that see each other at once, unless cut off.
type cluster struct {
	peers *goosepeertest.Network
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
	store *goosestoretest.Store
	calls int
	// unreached is live and answers no calls.
	unreached string
	// fetches counts the calls for a version that each instance gets, but for those of
	// unreached: it gets no offer and asks a member of its own choice.
	fetches map[string]int
}

// node is one instance; it is its own goose.Membership, Caller and Router.
type node struct {
	*goosepeertest.Link
	cluster *cluster
	name    string
	source  *gooseconfig.Source
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster() *cluster {
	c := &cluster{nodes: map[string]*node{}, cut: map[string]bool{}, fetches: map[string]int{}, store: goosestoretest.New()}
	c.peers = goosepeertest.New(c.fault)
	return c
}

// start adds an instance that runs its relay.
func (c *cluster) start(name string) *node {
	n, r := c.add(name)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		r.Run(ctx)
	}()
	return n
}

// add adds an instance that answers its peers but learns nothing itself.
func (c *cluster) add(name string) (*node, *gooseconfig.Relay) {
	n := &node{Link: c.peers.Join(name), cluster: c, name: name, source: gooseconfig.NewSource(), done: make(chan struct{})}
	r := gooseconfig.NewRelay(gooseconfig.RelayOptions{
		Repository: gooseconfig.NewRepository(c.store, "test"), Source: n.source, Members: n, Caller: n, Logger: slog.New(slog.DiscardHandler),
	})
	r.Register(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return n, r
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if n.cancel != nil {
		n.cancel()
		<-n.done
	}
}

func (c *cluster) stopAll() {
	for _, name := range c.names() {
		c.stop(name)
	}
}

func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.nodes))
}

func (c *cluster) cutOff(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = true
}

func (n *node) member(live bool) goose.Member {
	return goose.Member{Instance: goose.InstanceID(n.name), DataCentre: goose.DataCentre(n.name[:1]), Address: n.name, Version: n.source.Current().Version(), Live: live}
}

func (n *node) Self() goose.Member { return n.member(true) }

func (n *node) Members() []goose.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []goose.Member
	for name, o := range n.cluster.nodes {
		out = append(out, o.member(name == n.name || !n.cluster.cut[name] && !n.cluster.cut[n.name]))
	}
	slices.SortFunc(out, func(a, b goose.Member) int { return cmpString(a.Instance, b.Instance) })
	return out
}

func cmpString(a, b goose.InstanceID) int {
	if a < b {
		return -1
	}
	return 1
}

func (n *node) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

func (c *cluster) fault(call goosepeertest.Call) goosepeertest.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[call.To] == nil || call.To == c.unreached || c.cut[call.From] || c.cut[call.To] {
		return goosepeertest.FaultRefused
	}
	return goosepeertest.FaultNone
}

func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	n.cluster.mu.Lock()
	n.cluster.calls++
	if kind == gooseconfig.KindFetch && n.name != n.cluster.unreached {
		n.cluster.fetches[address]++
	}
	n.cluster.mu.Unlock()
	return n.Link.Call(ctx, address, kind, request, reply)
}

func (c *cluster) wantVersion(t *testing.T, want int64) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		if got := n.source.Current().Version(); got != want {
			t.Errorf("%s: got version %d, want %d", name, got, want)
		}
	}
}

// Guards against instances that miss a version when the store, the watching
// instance or the relay fails. Times are those of the design: 7 s at most.
func TestRelay(t *testing.T) {
	t.Parallel()
	watchFails := func(call string) error {
		if call == "watch" {
			return goose.ErrUnavailable
		}
		return nil
	}
	tests := map[string]func(t *testing.T, c *cluster){
		"nothing fails": func(*testing.T, *cluster) {},
		"watching instance cut off from its peers": func(_ *testing.T, c *cluster) {
			c.cutOff("a1")
		},
		"watching instance dies": func(_ *testing.T, c *cluster) { c.stop("a1") },
		"watches fail":           func(_ *testing.T, c *cluster) { c.store.SetFault(watchFails) },
		"new instance":           func(_ *testing.T, c *cluster) { c.start("a0") },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				defer c.stopAll()
				r := gooseconfig.NewRepository(c.store, "test")
				publish(t, r, 0, fleet(300))
				for _, n := range []string{"a1", "a2", "a3", "b1", "b2"} {
					c.start(n)
				}
				time.Sleep(2 * time.Second)
				c.wantVersion(t, 1)
				change(t, c)
				publish(t, r, 1, fleet(301))
				time.Sleep(7 * time.Second)
				c.wantVersion(t, 2)
			})
		})
	}
}

// Guards against a relay from which every member of a large data centre fetches
// each change, and against members that wait for a forwarder that is gone.
func TestRelaySharesFetches(t *testing.T) {
	t.Parallel()
	for name, dead := range map[string]string{"all live": "", "forwarder does not answer": "a02"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				defer c.stopAll()
				r := gooseconfig.NewRepository(c.store, "test")
				publish(t, r, 0, fleet(300))
				for i := range 25 {
					c.start(fmt.Sprintf("a%02d", i+1))
				}
				time.Sleep(8 * time.Second)
				c.wantVersion(t, 1)
				c.mu.Lock()
				c.unreached = dead
				clear(c.fetches)
				c.mu.Unlock()
				publish(t, r, 1, fleet(301))
				time.Sleep(2 * time.Second)
				c.wantVersion(t, 2)
				c.mu.Lock()
				defer c.mu.Unlock()
				// Four members fetch the head and the sections in two calls.
				if got, most := c.fetches["a01"], 8; got > most {
					t.Errorf("got %d fetches from the relay, want at most %d", got, most)
				}
			})
		})
	}
}

// Guards against instances that start during an outage of the store without a
// configuration, against one that takes an old version from a lagging peer, and
// against calls that go on while all agree.
func TestRelayWithStoreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stopAll()
		r := gooseconfig.NewRepository(c.store, "test")
		publish(t, r, 0, fleet(10))
		lagging, _ := c.add("a1")
		s, err := r.Load(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		lagging.source.Adopt(s)
		publish(t, r, 1, fleet(3000))
		c.start("b1")
		time.Sleep(3 * time.Second)
		c.store.Down(true)
		n := c.start("a2")
		_, changed := n.source.Changed()
		<-changed
		current := n.source.Current()
		if got := len(current.Configuration().Workspaces); current.Version() != 2 || got != 3000 {
			t.Errorf("got version %d with %d workspaces first, want 2 with 3000", current.Version(), got)
		}
		c.mu.Lock()
		calls := c.calls
		c.mu.Unlock()
		time.Sleep(time.Minute)
		if c.calls != calls {
			t.Errorf("got %d calls while all agree, want none", c.calls-calls)
		}
	})
}

// Guards against a version that an older instance cannot use being put in force
// or loaded over and over.
func TestRelayRejects(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stopAll()
		publish(t, gooseconfig.NewRepository(c.store, "test"), 0, fleet(10))
		c.start("a1")
		time.Sleep(time.Second)
		section, _ := cbor.Marshal(goose.Configuration{Services: []goose.ServiceSpec{{Name: "x", Kind: "telex"}}})
		hash := gooseconfig.Hash(sha256.Sum256(section))
		head, _ := cbor.Marshal(gooseconfig.Head{Version: 2, ChangeID: "from-a-newer-build", Sections: []gooseconfig.Hash{hash}})
		put := goose.Txn{Then: []goose.Op{
			goose.Put("/gooseberryhold/test/config/head", head), goose.Put("/gooseberryhold/test/config/sections/"+hash.String(), section),
		}}
		if _, err := c.store.Commit(t.Context(), put); err != nil {
			t.Fatal(err)
		}
		reads := c.store.Calls("get")
		time.Sleep(time.Minute)
		c.wantVersion(t, 1)
		if got := c.store.Calls("get") - reads; got > 20 {
			t.Errorf("got %d reads in a minute, want one section and about 12 polls", got)
		}
	})
}

// Guards against versions that go back on any instance, restarts included, and
// against publications that get lost when operators race under faults: each
// operator adds a label to what it read, so every label that was confirmed must
// be in the last version, and none that was refused.
func TestVersionsUnderFaults(t *testing.T) {
	t.Parallel()
	for range 25 {
		seed := rand.Uint64()
		synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
	}
}

func raceOperators(t *testing.T, seed uint64) {
	c := newCluster()
	defer c.stopAll()
	// Version 256 is published during the race, and sections are swept.
	first := gooseconfig.Change{ID: "first", Author: "ada", Floor: 249, Configuration: fleet(40)}
	if _, err := gooseconfig.NewRepository(c.store, "test").Publish(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	watchers := observe(t, c, []string{"a1", "a2", "b1", "b2"})
	rng := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	c.store.SetFault(func(string) error {
		mu.Lock()
		defer mu.Unlock()
		switch rng.IntN(8) {
		case 0:
			return goose.ErrOutcomeUnknown
		case 1:
			return goose.ErrUnavailable
		}
		return nil
	})
	outcomes := map[string]error{}
	var wg sync.WaitGroup
	for op := range 4 {
		wg.Go(func() {
			for i := range 5 {
				label := fmt.Sprintf("op-%d-%d", op, i)
				err := addLabel(t, c.store, label)
				mu.Lock()
				outcomes[label] = err
				mu.Unlock()
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	c.stop("a1")
	c.start("a1")
	wg.Wait()
	c.store.SetFault(nil)
	time.Sleep(7 * time.Second)
	watchers()
	final, err := gooseconfig.NewRepository(c.store, "test").Load(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	c.wantVersion(t, final.Version())
	labels := final.Configuration().DataCentres[0].Labels
	for label, err := range outcomes {
		_, there := labels[label]
		switch {
		case err == nil && !there:
			t.Errorf("seed %d: %s was confirmed and is lost", seed, label)
		case errors.Is(err, gooseconfig.ErrConflict) && there:
			t.Errorf("seed %d: %s was refused and is there", seed, label)
		}
	}
	if got, want := final.Version(), int64(len(labels)+250); got != want {
		t.Errorf("seed %d: got version %d, want %d, one for each label", seed, got, want)
	}
}

// observe starts instances and checks that none goes back; the returned
// function ends the checks.
func observe(t *testing.T, c *cluster, names []string) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, name := range names {
		n := c.start(name)
		wg.Go(func() {
			last := int64(0)
			for {
				current, changed := n.source.Changed()
				if current.Version() < last {
					t.Errorf("%s: got version %d after %d", name, current.Version(), last)
				}
				last = current.Version()
				select {
				case <-changed:
				case <-stop:
					return
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

func addLabel(t *testing.T, store goose.Store, label string) error {
	r := gooseconfig.NewRepository(store, "test")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := r.Load(ctx, nil)
	if err != nil {
		return errors.Wrap(err, "not tried")
	}
	c, err := gooseconfig.WithLabels(s.Configuration(), gooseconfig.Object{Kind: gooseconfig.ObjectDataCentre, Name: "leith"}, goose.Labels{label: "x"}, nil)
	if err != nil {
		return err
	}
	_, err = r.Publish(ctx, gooseconfig.Change{ID: label, Author: "ada", Base: s.Version(), Configuration: c})
	return err
}

// Guards against a head that counts as read although its sections could not be
// loaded: reads that depend on the revision would not see it again.
func TestRefreshAfterFailedLoad(t *testing.T) {
	t.Parallel()
	c := newCluster()
	repository := gooseconfig.NewRepository(c.store, "test")
	n, relay := c.add("a1")
	for version := range int64(2) {
		publish(t, repository, version, fleet(10*int(version+1)))
		reads := 0
		c.store.SetFault(func(call string) error {
			if call == "get" {
				reads++
			}
			if reads > 1 {
				return goose.ErrUnavailable
			}
			return nil
		})
		_ = relay.Refresh(t.Context())
		c.store.SetFault(nil)
		if got := n.source.Current().Version(); got != version || reads < 2 {
			t.Fatalf("got version %d after %d reads with a fault, want %d", got, reads, version)
		}
		_ = relay.Refresh(t.Context())
		if got, want := n.source.Current().Version(), version+1; got != want {
			t.Errorf("got version %d after the fault, want %d", got, want)
		}
	}
}
