package goosepermit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	_ "github.com/gooseberryhold/gooseberryhold/pkg/goosequeue"
	_ "github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
)

var testPool = goose.Pool{DataCentre: "leith", Service: "wording-desk"}

// cluster is a data centre of instances that call each other through CBOR, a
// store with one lease per key, and engines that always answer.
type cluster struct {
	t     *testing.T
	peers *goosepeertest.Network
	mu    sync.Mutex
	// dead instances neither call nor answer.
	nodes map[goose.InstanceID]*node
	dead  map[goose.InstanceID]bool
	// cut pairs of instances do not reach each other.
	cut       map[[2]goose.InstanceID]bool
	storeDown bool
	// callsFail loses all peer calls; heartbeats still pass.
	callsFail bool
	// slowReports delays reports by half a second.
	slowReports bool
	// cutFromStore is an instance that alone does not reach the store.
	cutFromStore goose.InstanceID
	keys         map[string]*lease
	revision     goose.Epoch
	starts       int64
	// streams are the attempts that run on the engines, by address.
	streams map[string]map[goose.AttemptID]bool
	// cold makes all engines call themselves cold.
	cold    bool
	servers []goose.BackendServer
	pools   []goose.Pool
	leaving goose.InstanceID
	version int64
}

type node struct {
	*goosepeertest.Link
	c       *cluster
	id      goose.InstanceID
	manager *goosedispatch.Manager
	holder  *Holder
	stop    context.CancelFunc
	done    chan struct{}
	// gone is set once the process of the instance has died.
	gone atomic.Bool
	// incarnation rises with each start.
	incarnation int64
	// heard is when each instance was last heard.
	heard sync.Map
	// pools is what the last heartbeat said.
	pools atomic.Pointer[[]goose.PoolHolding]
	beats sync.WaitGroup
}

func newCluster(t *testing.T, instances, replicas int) *cluster {
	c := &cluster{
		t: t, nodes: map[goose.InstanceID]*node{}, dead: map[goose.InstanceID]bool{},
		cut: map[[2]goose.InstanceID]bool{}, keys: map[string]*lease{}, revision: 100, pools: []goose.Pool{testPool}, version: 1,
		streams: map[string]map[goose.AttemptID]bool{},
	}
	c.peers = goosepeertest.New(c.broken)
	c.peers.Latency = c.latency
	for i := range replicas {
		c.servers = append(c.servers, goose.BackendServer{
			Name: goose.ReplicaID(fmt.Sprintf("r%02d", i)), Service: testPool.Service, DataCentre: testPool.DataCentre,
			Address: fmt.Sprintf("r%02d:1", i), MemoryTokens: 100_000, Concurrency: 4, ColdConcurrency: 1, ColdTokens: 10_000,
		})
	}
	for i := range instances {
		c.add(goose.InstanceID(fmt.Sprintf("i%d", i)))
	}
	return c
}

func (c *cluster) add(id goose.InstanceID) {
	c.starts++
	n := &node{Link: c.peers.Join(string(id)), c: c, id: id, incarnation: c.starts, done: make(chan struct{})}
	n.pools.Store(&[]goose.PoolHolding{})
	var err error
	n.manager, err = goosedispatch.NewManager(goosedispatch.Options{
		Self: id, DataCentre: testPool.DataCentre, Incarnation: n.incarnation, KeyPrefix: "/f/", Configuration: source{c},
		Membership: n, Caller: n, Router: n, Campaigner: n, Protocol: func(string) goose.Protocol { return engines{c: c} },
		Policy: "round-robin", Discipline: "fair", LongBound: "adaptive", StoreSilent: c.silent,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.holder = New(Options{Self: id, Membership: n, Caller: n, Local: n.manager})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		n.manager.Run(ctx, n.holder)
	}()
	n.beats.Go(func() {
		for ctx.Err() == nil {
			h := n.manager.Holdings()
			n.pools.Store(&h)
			time.Sleep(200 * time.Millisecond)
		}
	})
	c.t.Cleanup(func() { n.close() })
}

func (n *node) close() {
	n.stop()
	<-n.done
	n.beats.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.holder.Close(ctx)
}

func (c *cluster) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeDown
}

// kill stops an instance without a trace; its lease expires after the TTL.
func (c *cluster) kill(id goose.InstanceID) {
	c.mu.Lock()
	n := c.nodes[id]
	c.dead[id] = true
	n.gone.Store(true)
	c.mu.Unlock()
	n.stop()
	<-n.done
}

func (c *cluster) reaches(a, b goose.InstanceID) bool {
	return !c.dead[a] && !c.dead[b] && !c.cut[[2]goose.InstanceID{a, b}] && !c.cut[[2]goose.InstanceID{b, a}]
}

func (c *cluster) broken(call goosepeertest.Call) goosepeertest.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callsFail || !c.reaches(goose.InstanceID(call.From), goose.InstanceID(call.To)) {
		return goosepeertest.FaultRefused
	}
	return goosepeertest.FaultNone
}

func (c *cluster) latency(call goosepeertest.Call) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slowReports && call.Kind == goosedispatch.KindReport {
		return 500 * time.Millisecond
	}
	return time.Millisecond
}

// Call implements goose.Caller.
func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	if n.gone.Load() {
		return goosepeertest.ErrNoAnswer
	}
	return n.Link.Call(ctx, address, kind, request, reply)
}

// Self implements goose.Membership.
func (n *node) Self() goose.Member {
	return goose.Member{Instance: n.id, DataCentre: testPool.DataCentre, Address: string(n.id), Incarnation: n.incarnation, Live: true}
}

// Members implements goose.Membership. Silence is noticed at once.
func (n *node) Members() []goose.Member {
	n.c.mu.Lock()
	nodes := map[*node]bool{}
	for _, o := range n.c.nodes {
		nodes[o] = n.c.reaches(n.id, o.id)
	}
	n.c.mu.Unlock()
	var out []goose.Member
	for o, live := range nodes {
		m := o.Self()
		if m.Live = live; live {
			n.heard.Store(o.id, time.Now())
			m.Pools = *o.pools.Load()
		}
		if at, ok := n.heard.Load(o.id); ok {
			m.Heard = at.(time.Time)
		}
		out = append(out, m)
	}
	return out
}

// Dispatcher implements goose.Membership.
func (n *node) Dispatcher(p goose.Pool) (goose.Member, bool) {
	var best goose.Member
	var epoch goose.Epoch
	for _, m := range n.Members() {
		for _, h := range m.Pools {
			if h.Pool == p && m.Live && h.Epoch > epoch {
				best, epoch = m, h.Epoch
			}
		}
	}
	return best, epoch > 0
}

// lease is a key of the store that is renewed while its holder lives.
type lease struct {
	c     *cluster
	key   string
	node  *node
	epoch goose.Epoch
	done  chan struct{}
	until time.Time
}

const leaseTTL = 3 * time.Second

func (l *lease) Epoch() goose.Epoch    { return l.epoch }
func (l *lease) Done() <-chan struct{} { return l.done }

// renew is called with the cluster's mutex held.
func (l *lease) renew() {
	if !l.c.storeDown && l.node.id != l.c.cutFromStore && !l.node.gone.Load() && time.Now().Before(l.until) {
		l.until = time.Now().Add(leaseTTL)
	}
}

func (l *lease) Deadline() time.Time {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.renew()
	return l.until
}

func (l *lease) Resign(context.Context) error {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.keys[l.key] == l {
		delete(l.c.keys, l.key)
	}
	return nil
}

// Campaign implements goosedispatch.Campaigner.
func (n *node) Campaign(ctx context.Context, key string) (goosedispatch.Held, error) {
	for ctx.Err() == nil {
		if l := n.c.take(n, key); l != nil {
			return l, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, ctx.Err()
}

func (c *cluster) take(n *node, key string) *lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown || n.id == c.cutFromStore || n.gone.Load() {
		return nil
	}
	if old := c.keys[key]; old != nil {
		old.renew()
		if time.Now().Before(old.until) {
			return nil
		}
		if old.node.id != c.cutFromStore && !c.storeDown {
			close(old.done)
		}
	}
	c.revision++
	l := &lease{c: c, key: key, node: n, epoch: c.revision, done: make(chan struct{}), until: time.Now().Add(leaseTTL)}
	c.keys[key] = l
	return l
}

// source is the configuration of the cluster.
type source struct{ c *cluster }

func (s source) Current() goose.Catalogue { return catalogue{c: s.c} }

type catalogue struct {
	goose.Catalogue
	c *cluster
}

func (k catalogue) Version() int64 {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	return k.c.version
}

func (k catalogue) Service(n goose.ServiceName) (goose.ServiceSpec, bool) {
	return goose.ServiceSpec{Name: n, Kind: goose.KindModel, Protocol: "fake", Deadline: time.Minute}, true
}

func (k catalogue) Workspace(n goose.WorkspaceName) (goose.WorkspaceSpec, bool) {
	return goose.WorkspaceSpec{Name: n, Weight: 1}, true
}

func (k catalogue) DataCentre(n goose.DataCentre) (goose.DataCentreSpec, bool) {
	return goose.DataCentreSpec{Name: n, State: goose.StateActive}, true
}

func (k catalogue) InstanceState(id goose.InstanceID) goose.State {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	if id == k.c.leaving {
		return goose.StateLeaving
	}
	return goose.StateActive
}
func (k catalogue) Pool(goose.Pool) []goose.BackendServer { return k.c.servers }

func (k catalogue) Pools(goose.DataCentre) []goose.Pool {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	return k.c.pools
}

func (k catalogue) Allowed(goose.WorkspaceName, goose.Pool) []goose.BackendServer {
	return k.c.servers
}

// engines answer load polls as process "p1" and keep a list of streams.
type engines struct {
	goose.Protocol
	c *cluster
}

func (e engines) Load(context.Context, string) (goose.LoadReport, error) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return goose.LoadReport{Process: "p1", Cold: e.c.cold}, nil
}

func (e engines) Streams(_ context.Context, address string) ([]goose.RunningStream, error) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	var out []goose.RunningStream
	for id := range e.c.streams[address] {
		out = append(out, goose.RunningStream{ID: id})
	}
	return out, nil
}

func (e engines) Cancel(_ context.Context, address string, id goose.AttemptID) error {
	e.c.end(address, id)
	return nil
}

// begin starts a stream on an engine and returns how many run there then.
func (c *cluster) begin(address string, id goose.AttemptID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[address] == nil {
		c.streams[address] = map[goose.AttemptID]bool{}
	}
	c.streams[address][id] = true
	return len(c.streams[address])
}

func (c *cluster) end(address string, id goose.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams[address], id)
}

var requests atomic.Int64

func request() goose.PermitRequest {
	id := fmt.Sprintf("q%d", requests.Add(1))
	return goose.PermitRequest{
		Request: goose.RequestID(id), Pool: testPool, PromptTokens: 100, Class: goose.ClassShort,
		Workspace: "w", TimeLeft: 30 * time.Second, Fingerprint: goose.NewFingerprint("w", testPool.Service, []byte(id)),
	}
}

func (n *node) acquire() goose.Permit {
	n.c.t.Helper()
	p, refusal := n.holder.Acquire(context.Background(), request())
	if refusal != nil {
		n.c.t.Fatalf("acquire at %s: got %v, want a permit", n.id, refusal)
	}
	return *p
}

func (n *node) finish(p goose.Permit) {
	n.holder.Release(goose.PermitReport{Permit: p.ID, Outcome: goose.OutcomeFinished, Process: "p1"})
}
