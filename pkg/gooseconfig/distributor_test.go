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

// cluster is a fleet of instances that see the changes of each other's membership
// data at once, unless they are partitioned.
type cluster struct {
	peers       *goosepeertest.Network
	mu          sync.Mutex
	nodes       map[string]*node
	partitioned map[string]bool
	store       *goosestoretest.Store
	calls       int
	// unreachable names an instance that is live but refuses every call.
	unreachable string
	// fetches counts the fetch calls that each instance receives, except those from
	// unreachable, which receives no offer and fetches from a member of its own choice.
	fetches map[string]int
}

// node is one instance. It also implements goose.Membership, goose.PeerClient and
// goose.PeerRouter for its component under test.
type node struct {
	*goosepeertest.Link
	cluster *cluster
	name    string
	source  *gooseconfig.Source
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster() *cluster {
	c := &cluster{nodes: map[string]*node{}, partitioned: map[string]bool{}, fetches: map[string]int{}, store: goosestoretest.New()}
	c.peers = goosepeertest.New(c.fault)
	return c
}

// start adds an instance that keeps its source up to date.
func (c *cluster) start(name string) *node {
	n, d := c.add(name)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		d.Run(ctx)
	}()
	return n
}

// add adds an instance that replies to its peers but does not update its own source.
func (c *cluster) add(name string) (*node, *gooseconfig.Distributor) {
	n := &node{Link: c.peers.Join(name), cluster: c, name: name, source: gooseconfig.NewSource(), done: make(chan struct{})}
	d := gooseconfig.NewDistributor(gooseconfig.DistributorOptions{
		Repository: gooseconfig.NewRepository(c.store, "test"), Source: n.source, Members: n, PeerClient: n, Logger: slog.New(slog.DiscardHandler),
	})
	d.Register(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return n, d
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

func (c *cluster) partition(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[name] = true
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
		out = append(out, o.member(name == n.name || !n.cluster.partitioned[name] && !n.cluster.partitioned[n.name]))
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
	if c.nodes[call.To] == nil || call.To == c.unreachable || c.partitioned[call.From] || c.partitioned[call.To] {
		return goosepeertest.FaultRefused
	}
	return goosepeertest.FaultNone
}

func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	n.cluster.mu.Lock()
	n.cluster.calls++
	if kind == gooseconfig.KindFetch && n.name != n.cluster.unreachable {
		n.cluster.fetches[address]++
	}
	n.cluster.mu.Unlock()
	return n.Link.Call(ctx, address, kind, request, reply)
}

func (c *cluster) checkVersion(t *testing.T, want int64) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		if got := n.source.Current().Version(); got != want {
			t.Errorf("%s: got version %d, want %d", name, got, want)
		}
	}
}

// Guards against instances that miss a version when watches of the store fail, or
// when the relay stops or loses its peers. The design allows 7 s at most.
func TestDistribution(t *testing.T) {
	t.Parallel()
	watchFails := func(call string) error {
		if call == "watch" {
			return goose.ErrUnavailable
		}
		return nil
	}
	tests := map[string]func(t *testing.T, c *cluster){
		"nothing fails": func(*testing.T, *cluster) {},
		"relay cut off from its peers": func(_ *testing.T, c *cluster) {
			c.partition("a1")
		},
		"relay stops":           func(_ *testing.T, c *cluster) { c.stop("a1") },
		"watches fail":          func(_ *testing.T, c *cluster) { c.store.SetFault(watchFails) },
		"new instance is relay": func(_ *testing.T, c *cluster) { c.start("a0") },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				defer c.stopAll()
				r := gooseconfig.NewRepository(c.store, "test")
				publish(t, r, 0, newConfiguration(300))
				for _, n := range []string{"a1", "a2", "a3", "b1", "b2"} {
					c.start(n)
				}
				time.Sleep(2 * time.Second)
				c.checkVersion(t, 1)
				change(t, c)
				publish(t, r, 1, newConfiguration(301))
				time.Sleep(7 * time.Second)
				c.checkVersion(t, 2)
			})
		})
	}
}

// Guards against a relay from which every member of a large data centre fetches
// each change, and against members that miss a change because their forwarder does
// not reply.
func TestForwardersShareFetches(t *testing.T) {
	t.Parallel()
	for name, unreachable := range map[string]string{"all reachable": "", "forwarder does not reply": "a02"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				defer c.stopAll()
				r := gooseconfig.NewRepository(c.store, "test")
				publish(t, r, 0, newConfiguration(300))
				for i := range 25 {
					c.start(fmt.Sprintf("a%02d", i+1))
				}
				time.Sleep(8 * time.Second)
				c.checkVersion(t, 1)
				c.mu.Lock()
				c.unreachable = unreachable
				clear(c.fetches)
				c.mu.Unlock()
				publish(t, r, 1, newConfiguration(301))
				time.Sleep(2 * time.Second)
				c.checkVersion(t, 2)
				c.mu.Lock()
				defer c.mu.Unlock()
				// Four members fetch from the relay, with one call for the head and one for
				// the sections.
				if got, most := c.fetches["a01"], 8; got > most {
					t.Errorf("got %d fetches from the relay, want at most %d", got, most)
				}
			})
		})
	}
}

// Guards against instances that start during an outage of the store and get no
// configuration or an old one from a lagging peer, and against calls that continue
// while all instances have the same version.
func TestDistributionWithStoreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stopAll()
		r := gooseconfig.NewRepository(c.store, "test")
		publish(t, r, 0, newConfiguration(10))
		lagging, _ := c.add("a1")
		s, err := r.Load(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		lagging.source.Adopt(s)
		publish(t, r, 1, newConfiguration(3000))
		c.start("b1")
		time.Sleep(3 * time.Second)
		c.store.SetDown(true)
		n := c.start("a2")
		_, changed := n.source.WatchCurrent()
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
			t.Errorf("got %d calls while all have the same version, want none", c.calls-calls)
		}
	})
}

// Guards against a version that is invalid for an older release being put in force
// or loaded again and again.
func TestRejectedVersion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stopAll()
		publish(t, gooseconfig.NewRepository(c.store, "test"), 0, newConfiguration(10))
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
		reads := c.store.CallCount("get")
		time.Sleep(time.Minute)
		c.checkVersion(t, 1)
		if got := c.store.CallCount("get") - reads; got > 20 {
			t.Errorf("got %d reads in a minute, want one section and about 12 polls", got)
		}
	})
}

// Guards against versions that decrease on an instance, also across restarts, and
// against publications that get lost when operators race under faults. Each operator
// adds a label to the version that it read, so the last version must hold every
// label that was confirmed and none whose change was a conflict.
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
	// Version 256 is published during the race and starts a garbage collection.
	first := gooseconfig.Change{ID: "first", Author: "ada", HighestKnownVersion: 249, Configuration: newConfiguration(40)}
	if _, err := gooseconfig.NewRepository(c.store, "test").Publish(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	stopObserving := startObserved(t, c, []string{"a1", "a2", "b1", "b2"})
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
	stopObserving()
	final, err := gooseconfig.NewRepository(c.store, "test").Load(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	c.checkVersion(t, final.Version())
	labels := final.Configuration().DataCentres[0].Labels
	for label, err := range outcomes {
		_, published := labels[label]
		switch {
		case err == nil && !published:
			t.Errorf("seed %d: %s was confirmed but is not in the last version", seed, label)
		case errors.Is(err, gooseconfig.ErrConflict) && published:
			t.Errorf("seed %d: %s was a conflict but is in the last version", seed, label)
		}
	}
	if got, want := final.Version(), int64(len(labels)+250); got != want {
		t.Errorf("seed %d: got version %d, want %d, one for each label", seed, got, want)
	}
}

// startObserved starts instances and checks that their versions never decrease. The
// returned function ends the checks.
func startObserved(t *testing.T, c *cluster, names []string) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, name := range names {
		n := c.start(name)
		wg.Go(func() {
			last := int64(0)
			for {
				current, changed := n.source.WatchCurrent()
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
		return errors.Wrap(err, "load before the change")
	}
	c, err := gooseconfig.WithLabels(s.Configuration(), gooseconfig.Object{Kind: gooseconfig.ObjectDataCentre, Name: "leith"}, goose.Labels{label: "x"}, nil)
	if err != nil {
		return err
	}
	_, err = r.Publish(ctx, gooseconfig.Change{ID: label, Author: "ada", Base: s.Version(), Configuration: c})
	return err
}

// Guards against a head that counts as read although the load of its sections
// failed: reads that depend on the revision would not return it again.
func TestRefreshAfterFailedLoad(t *testing.T) {
	t.Parallel()
	c := newCluster()
	repository := gooseconfig.NewRepository(c.store, "test")
	n, distributor := c.add("a1")
	for version := range int64(2) {
		publish(t, repository, version, newConfiguration(10*int(version+1)))
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
		_ = distributor.Refresh(t.Context())
		c.store.SetFault(nil)
		if got := n.source.Current().Version(); got != version || reads < 2 {
			t.Fatalf("got version %d after %d reads with a fault, want %d", got, reads, version)
		}
		_ = distributor.Refresh(t.Context())
		if got, want := n.source.Current().Version(), version+1; got != want {
			t.Errorf("got version %d after the fault, want %d", got, want)
		}
	}
}
