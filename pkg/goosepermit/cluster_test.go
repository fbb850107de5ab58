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

// cluster simulates a data centre: instances that exchange CBOR-encoded calls, a store with
// one lease per key, and engines that always respond.
type cluster struct {
	t     *testing.T
	peers *goosepeertest.Network
	mu    sync.Mutex
	nodes map[goose.InstanceID]*node
	// dead are the instances that neither make nor reply to calls.
	dead map[goose.InstanceID]bool
	// cutPairs are the pairs of instances that cannot reach each other.
	cutPairs  map[[2]goose.InstanceID]bool
	storeDown bool
	// callsFail makes all peer calls fail. Heartbeats still pass.
	callsFail bool
	// slowReports delays reports by half a second.
	slowReports bool
	// cutFromStore is the only instance that cannot reach the store; empty if there is none.
	cutFromStore goose.InstanceID
	keys         map[string]*lease
	revision     goose.Epoch
	startCount   int64
	// streams are the attempts that run on the engines, by address.
	streams map[string]map[goose.AttemptID]bool
	// cold makes all engines report that they are cold.
	cold    bool
	servers []goose.BackendServer
	pools   []goose.Pool
	leaving goose.InstanceID
	version int64
}

// node is one process of an instance.
type node struct {
	*goosepeertest.Link
	c       *cluster
	id      goose.InstanceID
	manager *goosedispatch.Manager
	holder  *Holder
	stop    context.CancelFunc
	done    chan struct{}
	// died is set once the process has died.
	died atomic.Bool
	// incarnation increases with each start.
	incarnation int64
	// lastHeard maps each instance to the time of its last heartbeat.
	lastHeard sync.Map
	// pools are the pools of this instance in its last heartbeat.
	pools      atomic.Pointer[[]goose.DispatchedPool]
	heartbeats sync.WaitGroup
}

func newCluster(t *testing.T, instances, replicas int) *cluster {
	c := &cluster{
		t: t, nodes: map[goose.InstanceID]*node{}, dead: map[goose.InstanceID]bool{},
		cutPairs: map[[2]goose.InstanceID]bool{}, keys: map[string]*lease{}, revision: 100, pools: []goose.Pool{testPool}, version: 1,
		streams: map[string]map[goose.AttemptID]bool{},
	}
	c.peers = goosepeertest.New(c.faultOf)
	c.peers.Latency = c.latency
	for i := range replicas {
		c.servers = append(c.servers, goose.BackendServer{
			Name: goose.ReplicaID(fmt.Sprintf("r%02d", i)), Service: testPool.Service, DataCentre: testPool.DataCentre,
			Address: fmt.Sprintf("r%02d:1", i), MemoryTokens: 100_000, Concurrency: 4, ColdConcurrency: 1, ColdTokens: 10_000,
		})
	}
	for i := range instances {
		c.startInstance(goose.InstanceID(fmt.Sprintf("i%d", i)))
	}
	return c
}

// startInstance starts a process of an instance.
func (c *cluster) startInstance(id goose.InstanceID) {
	c.startCount++
	n := &node{Link: c.peers.Join(string(id)), c: c, id: id, incarnation: c.startCount, done: make(chan struct{})}
	n.pools.Store(&[]goose.DispatchedPool{})
	var err error
	n.manager, err = goosedispatch.NewManager(goosedispatch.Options{
		Self: id, DataCentre: testPool.DataCentre, Incarnation: n.incarnation, KeyPrefix: "/f/", Configuration: configurationSource{c},
		Membership: n, PeerClient: n, PeerRouter: n, Campaigner: n, Protocol: func(string) goose.Protocol { return engines{c: c} },
		Policy: "round-robin", Discipline: "fair", LongPrefillBound: "adaptive", StoreUnresponsive: c.storeUnresponsive,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.holder = New(Options{Self: id, Membership: n, PeerClient: n, Local: n.manager})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		n.manager.Run(ctx, n.holder)
	}()
	n.heartbeats.Go(func() {
		for ctx.Err() == nil {
			h := n.manager.DispatchedPools()
			n.pools.Store(&h)
			time.Sleep(200 * time.Millisecond)
		}
	})
	c.t.Cleanup(func() { n.close() })
}

func (n *node) close() {
	n.stop()
	<-n.done
	n.heartbeats.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.holder.Close(ctx)
}

func (c *cluster) storeUnresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeDown
}

// kill stops an instance without a shutdown. Its leases expire after the TTL.
func (c *cluster) kill(id goose.InstanceID) {
	c.mu.Lock()
	n := c.nodes[id]
	c.dead[id] = true
	n.died.Store(true)
	c.mu.Unlock()
	n.stop()
	<-n.done
}

func (c *cluster) reaches(a, b goose.InstanceID) bool {
	return !c.dead[a] && !c.dead[b] && !c.cutPairs[[2]goose.InstanceID{a, b}] && !c.cutPairs[[2]goose.InstanceID{b, a}]
}

func (c *cluster) faultOf(call goosepeertest.Call) goosepeertest.Fault {
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

// Call implements goose.PeerClient.
func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	if n.died.Load() {
		return goosepeertest.ErrNoReply
	}
	return n.Link.Call(ctx, address, kind, request, reply)
}

// Self implements goose.Membership.
func (n *node) Self() goose.Member {
	return goose.Member{Instance: n.id, DataCentre: testPool.DataCentre, Address: string(n.id), Incarnation: n.incarnation, Live: true}
}

// Members implements goose.Membership. An unreachable instance is detected at once.
func (n *node) Members() []goose.Member {
	n.c.mu.Lock()
	reachable := map[*node]bool{}
	for _, other := range n.c.nodes {
		reachable[other] = n.c.reaches(n.id, other.id)
	}
	n.c.mu.Unlock()
	var members []goose.Member
	for other, live := range reachable {
		m := other.Self()
		if m.Live = live; live {
			n.lastHeard.Store(other.id, time.Now())
			m.Pools = *other.pools.Load()
		}
		if at, ok := n.lastHeard.Load(other.id); ok {
			m.LastHeard = at.(time.Time)
		}
		members = append(members, m)
	}
	return members
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

// lease is a key of the store that is renewed while its holder is alive.
type lease struct {
	c         *cluster
	key       string
	node      *node
	epoch     goose.Epoch
	done      chan struct{}
	expiresAt time.Time
}

const leaseTTL = 3 * time.Second

func (l *lease) Epoch() goose.Epoch    { return l.epoch }
func (l *lease) Done() <-chan struct{} { return l.done }

// renew extends the lease if its holder can reach the store. The cluster's mutex must be
// held.
func (l *lease) renew() {
	if !l.c.storeDown && l.node.id != l.c.cutFromStore && !l.node.died.Load() && time.Now().Before(l.expiresAt) {
		l.expiresAt = time.Now().Add(leaseTTL)
	}
}

func (l *lease) Deadline() time.Time {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.renew()
	return l.expiresAt
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
func (n *node) Campaign(ctx context.Context, key string) (goosedispatch.HeldLease, error) {
	for ctx.Err() == nil {
		if l := n.c.acquireLease(n, key); l != nil {
			return l, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, ctx.Err()
}

// acquireLease acquires the lease of a key for a node. It returns nil if the node cannot
// reach the store or another node holds the lease.
func (c *cluster) acquireLease(n *node, key string) *lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown || n.id == c.cutFromStore || n.died.Load() {
		return nil
	}
	if old := c.keys[key]; old != nil {
		old.renew()
		if time.Now().Before(old.expiresAt) {
			return nil
		}
		if old.node.id != c.cutFromStore && !c.storeDown {
			close(old.done)
		}
	}
	c.revision++
	l := &lease{c: c, key: key, node: n, epoch: c.revision, done: make(chan struct{}), expiresAt: time.Now().Add(leaseTTL)}
	c.keys[key] = l
	return l
}

// configurationSource is the configuration source of the cluster.
type configurationSource struct{ c *cluster }

func (s configurationSource) Current() goose.Catalogue { return catalogue{c: s.c} }

// catalogue is the current configuration of the cluster.
type catalogue struct {
	goose.Catalogue
	c *cluster
}

func (c catalogue) Version() int64 {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	return c.c.version
}

func (c catalogue) Service(n goose.ServiceName) (goose.ServiceSpec, bool) {
	return goose.ServiceSpec{Name: n, Kind: goose.KindModel, Protocol: "fake", Deadline: time.Minute}, true
}

func (c catalogue) Workspace(n goose.WorkspaceName) (goose.WorkspaceSpec, bool) {
	return goose.WorkspaceSpec{Name: n, Weight: 1}, true
}

func (c catalogue) DataCentre(n goose.DataCentre) (goose.DataCentreSpec, bool) {
	return goose.DataCentreSpec{Name: n, State: goose.StateActive}, true
}

func (c catalogue) InstanceState(id goose.InstanceID) goose.AdminState {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	if id == c.c.leaving {
		return goose.StateLeaving
	}
	return goose.StateActive
}
func (c catalogue) Pool(goose.Pool) []goose.BackendServer { return c.c.servers }

func (c catalogue) Pools(goose.DataCentre) []goose.Pool {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	return c.c.pools
}

func (c catalogue) Allowed(goose.WorkspaceName, goose.Pool) []goose.BackendServer {
	return c.c.servers
}

// engines is the protocol of the engines. They respond to load polls as process "p1" and keep a
// list of their streams.
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
	var running []goose.RunningStream
	for id := range e.c.streams[address] {
		running = append(running, goose.RunningStream{ID: id})
	}
	return running, nil
}

func (e engines) Cancel(_ context.Context, address string, id goose.AttemptID) error {
	e.c.end(address, id)
	return nil
}

// begin starts a stream on an engine and returns the number of streams that then run there.
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

// requests counts the requests, to give each its own id.
var requests atomic.Int64

// request returns a short request with a new id.
func request() goose.PermitRequest {
	id := fmt.Sprintf("q%d", requests.Add(1))
	return goose.PermitRequest{
		Request: goose.RequestID(id), Pool: testPool, PromptTokens: 100, Class: goose.ClassShort,
		Workspace: "w", TimeLeft: 30 * time.Second, Fingerprint: goose.NewFingerprint("w", testPool.Service, []byte(id)),
	}
}

// acquire acquires a permit for a new request.
func (n *node) acquire() goose.Permit {
	n.c.t.Helper()
	p, refusal := n.holder.Acquire(context.Background(), request())
	if refusal != nil {
		n.c.t.Fatalf("acquire at %s: got %v, want a permit", n.id, refusal)
	}
	return *p
}

// finish releases a permit after a successful response.
func (n *node) finish(p goose.Permit) {
	n.holder.Release(goose.PermitReport{Permit: p.ID, Outcome: goose.OutcomeFinished, Process: "p1"})
}
