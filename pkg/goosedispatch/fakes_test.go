package goosedispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequeue"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
)

var testPool = goose.Pool{DataCentre: "leith", Service: "wording-desk"}

// fakeCatalogue is a configuration of one pool that is open to all workspaces.
type fakeCatalogue struct {
	goose.Catalogue
	version int64
	service goose.ServiceSpec
	servers []goose.BackendServer
	leaving bool
}

func (c *fakeCatalogue) Version() int64 { return c.version }
func (c *fakeCatalogue) Service(goose.ServiceName) (goose.ServiceSpec, bool) {
	return c.service, true
}

func (c *fakeCatalogue) Workspace(n goose.WorkspaceName) (goose.WorkspaceSpec, bool) {
	return goose.WorkspaceSpec{Name: n, Weight: 1}, true
}

func (c *fakeCatalogue) DataCentre(n goose.DataCentre) (goose.DataCentreSpec, bool) {
	s := goose.DataCentreSpec{Name: n, State: goose.StateActive}
	if c.leaving {
		s.State = goose.StateLeaving
	}
	return s, true
}

func (c *fakeCatalogue) InstanceState(goose.InstanceID) goose.AdminState { return goose.StateActive }
func (c *fakeCatalogue) Pool(goose.Pool) []goose.BackendServer           { return c.servers }
func (c *fakeCatalogue) Pools(goose.DataCentre) []goose.Pool             { return []goose.Pool{testPool} }

func (c *fakeCatalogue) Allowed(goose.WorkspaceName, goose.Pool) []goose.BackendServer {
	var out []goose.BackendServer
	for _, s := range c.servers {
		if !c.leaving && s.State != goose.StateLeaving {
			out = append(out, s)
		}
	}
	return out
}

type fakeSource struct {
	mu sync.Mutex
	c  *fakeCatalogue
}

func (s *fakeSource) Current() goose.Catalogue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c
}

// change replaces the configuration by a changed copy.
func (s *fakeSource) change(f func(*fakeCatalogue)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := *s.c
	c.servers = append([]goose.BackendServer(nil), c.servers...)
	c.version++
	f(&c)
	s.c = &c
}

// fakeEngine is the state of one backend server behind the protocol.
type fakeEngine struct {
	process     string
	cold        bool
	unreachable bool
	// usedKV is the reported memory in tokens.
	usedKV int
	// noLoadReport engines have no load report.
	noLoadReport bool
	// frozen engines respond to no load poll in time.
	frozen bool
	// noStreamCalls engines fail calls that cancel or list streams.
	noStreamCalls bool
	// wish is in the head of every response.
	wish    goose.Wish
	streams map[goose.AttemptID]bool
	// complete are the streams whose output is complete.
	complete map[goose.AttemptID]bool
}

// fakeProtocol responds for the engines by address. Unknown engines are healthy.
type fakeProtocol struct {
	goose.Protocol
	mu      sync.Mutex
	engines map[string]*fakeEngine
}

func (f *fakeProtocol) set(address string, change func(*fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engine(address))
}

func (f *fakeProtocol) engine(address string) *fakeEngine {
	e, ok := f.engines[address]
	if !ok {
		e = &fakeEngine{process: "p1", streams: map[goose.AttemptID]bool{}}
		f.engines[address] = e
	}
	return e
}

func (f *fakeProtocol) Load(ctx context.Context, address string) (goose.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(address)
	for e.frozen {
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			f.mu.Lock()
			return goose.LoadReport{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		f.mu.Lock()
	}
	if e.unreachable {
		return goose.LoadReport{}, goose.ErrNotSent
	}
	if e.noLoadReport {
		return goose.LoadReport{}, &goose.StatusError{Status: 404, Wish: e.wish}
	}
	return goose.LoadReport{Process: e.process, Cold: e.cold, UsedKV: e.usedKV, Wish: e.wish}, nil
}

func (f *fakeProtocol) Streams(_ context.Context, address string) ([]goose.RunningStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(address)
	if e.unreachable || e.noStreamCalls {
		return nil, goose.ErrNotSent
	}
	var out []goose.RunningStream
	for id := range e.streams {
		out = append(out, goose.RunningStream{ID: id, Done: e.complete[id]})
	}
	return out, nil
}

func (f *fakeProtocol) Cancel(_ context.Context, address string, id goose.AttemptID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(address)
	if e.unreachable || e.noStreamCalls {
		return goose.ErrNotSent
	}
	if !e.streams[id] {
		return goose.ErrStreamNotFound
	}
	delete(e.streams, id)
	return nil
}

// server returns a backend server that runs 4 requests when warm and 1 when cold.
func server(name string) goose.BackendServer {
	return goose.BackendServer{
		Name: goose.ReplicaID(name), Service: testPool.Service, DataCentre: testPool.DataCentre, Address: name + ":1",
		MemoryTokens: 100_000, Concurrency: 4, ColdConcurrency: 1, ColdTokens: 10_000, State: goose.StateActive,
	}
}

// harness is a pool with fake dependencies.
type harness struct {
	t        *testing.T
	source   *fakeSource
	protocol *fakeProtocol
	holders  *fakeHolders
	pool     *Pool
	mode     goose.DispatchMode
}

func newHarness(t *testing.T, change func(*harness, *Dependencies), names ...string) *harness {
	t.Helper()
	c := &fakeCatalogue{version: 1, service: goose.ServiceSpec{
		Name: testPool.Service, Kind: goose.KindModel, Protocol: "fake", Deadline: 30 * time.Second,
	}}
	for _, n := range names {
		c.servers = append(c.servers, server(n))
	}
	h := &harness{
		t: t, source: &fakeSource{c: c}, mode: goose.ModeLeased,
		protocol: &fakeProtocol{engines: map[string]*fakeEngine{}},
		holders:  &fakeHolders{complete: true},
	}
	d := Dependencies{
		Pool: testPool, Self: "i1", Epoch: 7, Configuration: h.source,
		Protocol:   func(string) goose.Protocol { return h.protocol },
		Authority:  func(time.Time) Authority { return Authority{Mode: h.mode} },
		Holders:    h.holders,
		Policy:     gooseroute.LeastLoaded{},
		Discipline: goosequeue.NewFair(),
	}
	if change != nil {
		change(h, &d)
	}
	h.pool = New(d)
	return h
}

// run starts the pool's background work and waits until the takeover is complete.
func (h *harness) run() {
	h.start()
	time.Sleep(time.Second)
}

func (h *harness) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.pool.Run(ctx)
	}()
	h.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// warm raises all replicas to their full limits.
func (h *harness) warm() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	for _, c := range h.pool.replicas {
		c.limiter.RestoreRamp(0)
	}
}

func request(id string, tokens int) goose.PermitRequest {
	return goose.PermitRequest{
		Request: goose.RequestID(id), Pool: testPool, Instance: "i1", PromptTokens: tokens,
		Class: goose.Classify(tokens, 100_000), Workspace: "w", TimeLeft: 30 * time.Second,
		Fingerprint: goose.NewFingerprint("w", testPool.Service, []byte(id)),
	}
}

// acquire polls once and fails the test unless the reply has the wanted status.
func (h *harness) acquire(q goose.PermitRequest, want goose.PermitStatus) goose.PermitReply {
	h.t.Helper()
	reply := h.pool.Acquire(context.Background(), q)
	if reply.Status != want {
		h.t.Fatalf("acquire %s: got %s %v, want %s", q.Request, reply.Status, reply.Refusal, want)
	}
	return reply
}

func (h *harness) release(p goose.Permit, change func(*goose.PermitReport)) {
	report := goose.PermitReport{
		Permit: p.ID, Pool: testPool, Instance: "i1", Phase: goose.PhaseReleased,
		Outcome: goose.OutcomeFinished, Replica: p.Replicas[0].Replica, Process: p.Replicas[0].Process,
	}
	if change != nil {
		change(&report)
	}
	h.pool.Report(report)
}

// fakeHolders replies for all instances and implements Holders.
type fakeHolders struct {
	mu        sync.Mutex
	collected []goose.HolderState
	complete  bool
	// silentSince is the time of the last heartbeat of i1, if set. A silent i1 replies
	// only if confirms is set.
	silentSince time.Time
	// unlisted removes i1 from the platform's list.
	unlisted bool
	// confirms makes i1 hold every permit that it is asked about.
	confirms bool
	// restarts counts the restarts of i1; restartSeen is set once the membership shows
	// them.
	restarts    int64
	restartSeen bool
}

func (f *fakeHolders) set(change func(*fakeHolders)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeHolders) Collect(_ context.Context, _ goose.Pool, _ goose.Epoch, _ map[goose.InstanceID]bool, got func([]goose.HolderState)) bool {
	f.mu.Lock()
	all, complete := f.collected, f.complete
	f.mu.Unlock()
	got(all)
	return complete
}

func (f *fakeHolders) HeldPermits(_ context.Context, _ goose.InstanceID, _ goose.Pool, ids []goose.PermitID) (HeldReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.silentSince.IsZero() && !f.confirms {
		return HeldReply{}, goose.ErrUnavailable
	}
	if !f.confirms {
		ids = nil
	}
	return HeldReply{Permits: ids, Incarnation: 1 + f.restarts}, nil
}

func (f *fakeHolders) Liveness(goose.InstanceID) (int64, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, incarnation := time.Now(), int64(1)
	if !f.silentSince.IsZero() {
		at = f.silentSince
	}
	if f.restartSeen {
		incarnation += f.restarts
	}
	return incarnation, at, !f.unlisted
}

// tryAcquire polls without waiting, and abandons the request if it is not granted.
func (h *harness) tryAcquire(q goose.PermitRequest) goose.PermitReply {
	ch, reply, done := h.pool.beginPoll(h.pool.deps.Clock.Now(), q)
	if done {
		return reply
	}
	reply = h.pool.endPoll(q.Request, ch)
	if reply.Status == goose.PermitWaiting {
		h.pool.Abandon(q.Request)
	}
	return reply
}

// grants returns how many small requests are granted without waiting.
func (h *harness) grants() int {
	n := 0
	for ; n < 100; n++ {
		if h.tryAcquire(request("q"+string(rune('a'+n)), 100)).Status != goose.PermitGranted {
			break
		}
	}
	return n
}
