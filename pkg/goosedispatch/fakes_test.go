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
func (c *fakeCatalogue) InstanceState(goose.InstanceID) goose.State { return goose.StateActive }
func (c *fakeCatalogue) Pool(goose.Pool) []goose.BackendServer      { return c.servers }
func (c *fakeCatalogue) Pools(goose.DataCentre) []goose.Pool        { return []goose.Pool{testPool} }

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

// change puts a changed copy of the configuration in force.
func (s *fakeSource) change(f func(*fakeCatalogue)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := *s.c
	c.servers = append([]goose.BackendServer(nil), c.servers...)
	c.version++
	f(&c)
	s.c = &c
}

// fakeEngine is one backend server as the protocol shows it.
type fakeEngine struct {
	process string
	cold    bool
	down    bool
	// usedKV is the reported memory in tokens.
	usedKV int
	// mute engines give no load report.
	mute bool
	// frozen engines answer no load poll in time.
	frozen bool
	// stuck engines refuse to cancel or to list streams.
	stuck   bool
	streams map[goose.AttemptID]bool
	// complete are the streams whose output is whole.
	complete map[goose.AttemptID]bool
}

// fakeProtocol answers for engines by address. Unknown engines are live.
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
	if e.down {
		return goose.LoadReport{}, goose.ErrNotSent
	}
	if e.mute {
		return goose.LoadReport{}, &goose.StatusError{Status: 404}
	}
	return goose.LoadReport{Process: e.process, Cold: e.cold, UsedKV: e.usedKV}, nil
}

func (f *fakeProtocol) Streams(_ context.Context, address string) ([]goose.RunningStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engine(address)
	if e.down || e.stuck {
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
	if e.down || e.stuck {
		return goose.ErrNotSent
	}
	if !e.streams[id] {
		return goose.ErrStreamGone
	}
	delete(e.streams, id)
	return nil
}

// server returns a backend server with room for warm 4 and cold 1 requests.
func server(name string) goose.BackendServer {
	return goose.BackendServer{
		Name: goose.ReplicaID(name), Service: testPool.Service, DataCentre: testPool.DataCentre, Address: name + ":1",
		MemoryTokens: 100_000, Concurrency: 4, ColdConcurrency: 1, ColdTokens: 10_000, State: goose.StateActive,
	}
}

// rig is a pool with fakes around it.
type rig struct {
	t        *testing.T
	source   *fakeSource
	protocol *fakeProtocol
	holders  *fakeHolders
	pool     *Pool
	mode     goose.DispatchMode
}

func newRig(t *testing.T, change func(*rig, *Dependencies), names ...string) *rig {
	t.Helper()
	c := &fakeCatalogue{version: 1, service: goose.ServiceSpec{
		Name: testPool.Service, Kind: goose.KindModel, Protocol: "fake", Deadline: 30 * time.Second,
	}}
	for _, n := range names {
		c.servers = append(c.servers, server(n))
	}
	r := &rig{
		t: t, source: &fakeSource{c: c}, mode: goose.ModeLeased,
		protocol: &fakeProtocol{engines: map[string]*fakeEngine{}},
		holders:  &fakeHolders{complete: true},
	}
	d := Dependencies{
		Pool: testPool, Self: "i1", Epoch: 7, Configuration: r.source,
		Protocol:   func(string) goose.Protocol { return r.protocol },
		Authority:  func(time.Time) Authority { return Authority{Mode: r.mode} },
		Holders:    r.holders,
		Policy:     gooseroute.LeastLoaded{},
		Discipline: goosequeue.NewFair(),
	}
	if change != nil {
		change(r, &d)
	}
	r.pool = New(d)
	return r
}

// run starts the pool's background work and waits until the takeover is over.
func (r *rig) run() {
	r.start()
	time.Sleep(time.Second)
}

func (r *rig) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.pool.Run(ctx)
	}()
	r.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// warm sets all replicas to their full limits.
func (r *rig) warm() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, c := range r.pool.replicas {
		c.limits.Restore(0)
	}
}

func request(id string, tokens int) goose.PermitRequest {
	return goose.PermitRequest{
		Request: goose.RequestID(id), Pool: testPool, Instance: "i1", PromptTokens: tokens,
		Class: goose.Classify(tokens, 100_000), Workspace: "w", TimeLeft: 30 * time.Second,
		Fingerprint: goose.NewFingerprint("w", testPool.Service, []byte(id)),
	}
}

// acquire polls once and expects a status.
func (r *rig) acquire(q goose.PermitRequest, want goose.PermitStatus) goose.PermitAnswer {
	r.t.Helper()
	a := r.pool.Acquire(context.Background(), q)
	if a.Status != want {
		r.t.Fatalf("acquire %s: got %s %v, want %s", q.Request, a.Status, a.Refusal, want)
	}
	return a
}

func (r *rig) release(p goose.Permit, change func(*goose.PermitReport)) {
	report := goose.PermitReport{
		Permit: p.ID, Pool: testPool, Instance: "i1", Phase: goose.PhaseReleased,
		Outcome: goose.OutcomeFinished, Replica: p.Replicas[0].Replica, Process: p.Replicas[0].Process,
	}
	if change != nil {
		change(&report)
	}
	r.pool.Report(report)
}

// fakeHolders answers for the instances.
type fakeHolders struct {
	mu       sync.Mutex
	all      []goose.Collected
	complete bool
	// silent is since when i1 is not heard; it answers questions only to confirm.
	silent time.Time
	// dropped takes i1 off the platform's list.
	dropped bool
	// confirm makes i1 hold every permit that it is asked about.
	confirm bool
	// restarts of i1; noticed once the membership shows them.
	restarts int64
	noticed  bool
}

func (f *fakeHolders) set(change func(*fakeHolders)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeHolders) Collect(_ context.Context, _ goose.Pool, _ goose.Epoch, _ map[goose.InstanceID]bool, got func([]goose.Collected)) bool {
	f.mu.Lock()
	all, complete := f.all, f.complete
	f.mu.Unlock()
	got(all)
	return complete
}

func (f *fakeHolders) Held(_ context.Context, _ goose.InstanceID, _ goose.Pool, ids []goose.PermitID) (HeldReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.silent.IsZero() && !f.confirm {
		return HeldReply{}, goose.ErrUnavailable
	}
	if !f.confirm {
		ids = nil
	}
	return HeldReply{Permits: ids, Incarnation: 1 + f.restarts}, nil
}

func (f *fakeHolders) Alive(goose.InstanceID) (int64, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, incarnation := time.Now(), int64(1)
	if !f.silent.IsZero() {
		at = f.silent
	}
	if f.noticed {
		incarnation += f.restarts
	}
	return incarnation, at, !f.dropped
}

// try polls without waiting and gives up if there is no grant.
func (r *rig) try(q goose.PermitRequest) goose.PermitAnswer {
	ch, a, done := r.pool.enter(r.pool.d.Clock.Now(), q)
	if done {
		return a
	}
	a = r.pool.leave(q.Request, ch)
	if a.Status == goose.PermitWaiting {
		r.pool.Abandon(q.Request)
	}
	return a
}

// grants counts how many small requests are granted at once.
func (r *rig) grants() int {
	n := 0
	for ; n < 100; n++ {
		if r.try(request("q"+string(rune('a'+n)), 100)).Status != goose.PermitGranted {
			break
		}
	}
	return n
}
