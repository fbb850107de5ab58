package goosedispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// stepInterval is the time between two checks of the pools of the data centre.
	stepInterval = 250 * time.Millisecond
	// startDelay is the time before a new instance campaigns. In it the instance
	// and the present dispatchers receive each other's heartbeats: a dispatcher in
	// mode consented must know every instance that could take its lease. The delay
	// also exceeds the promises that the instance gave before a restart and has lost.
	startDelay = PromiseValidity + promiseMargin
	// rankDelay is the delay between the campaigns of two successive instances in
	// the pool's rendezvous order. It spreads pools over instances.
	rankDelay = 300 * time.Millisecond
	// campaignTimeout bounds one campaign, so that the next one reads the store's
	// state again.
	campaignTimeout = 10 * time.Second
	// promiseMargin covers the difference between the clocks of the instance that
	// promised and the one that relies on the promise.
	promiseMargin = 500 * time.Millisecond
	// caretakerMargin covers the lag of the last heartbeat and the difference
	// between the clocks of the former lease holder and the caretaker.
	caretakerMargin = 2 * time.Second
)

// caretakerDelay exceeds the time for which a former lease holder can act in the modes
// leased (one TTL) and consented (one promise) after its last heartbeat.
func (o Options) caretakerDelay() time.Duration {
	return o.LeaseTTL + PromiseValidity + caretakerMargin
}

// maxHandoverAge bounds the age of a handover: within one TTL no other instance can
// have held the lease unnoticed.
func (o Options) maxHandoverAge() time.Duration { return o.LeaseTTL }

// HeldLease is a pool lease that this instance holds.
type HeldLease interface {
	goose.Lease
	// Done is closed once the store responded that the key is absent or names
	// another lease holder, or after Resign. It stays open while the store is unresponsive.
	Done() <-chan struct{}
	Resign(ctx context.Context) error
}

// Campaigner campaigns for leases. Campaign waits until the key is held or ctx
// ends; no request of it is in flight after it has returned.
type Campaigner interface {
	Campaign(ctx context.Context, key string) (HeldLease, error)
}

// Holder is the side of the permit protocol that holds this instance's permits.
type Holder interface {
	HolderState(goose.Pool) goose.HolderState
	// Fence makes the holder drop later grants of epochs before e.
	Fence(p goose.Pool, e goose.Epoch)
	// HeldPermits returns those of the permits that are held.
	HeldPermits(p goose.Pool, ids []goose.PermitID) []goose.PermitID
}

// Options are the settings and dependencies of a Manager. Suspects, StoreUnresponsive,
// Clock and Log may be nil.
type Options struct {
	Self        goose.InstanceID
	DataCentre  goose.DataCentre
	Incarnation int64
	// KeyPrefix precedes pools/<data centre>/<service> in the lease keys.
	KeyPrefix     string
	Configuration goose.ConfigurationSource
	Membership    goose.Membership
	PeerClient    goose.PeerClient
	PeerRouter    goose.PeerRouter
	Campaigner    Campaigner
	Protocol      func(name string) goose.Protocol
	Suspects      goose.SuspectTracker
	// Policy, Discipline and LongPrefillBound name the plug-ins of each pool.
	Policy           string
	Discipline       string
	LongPrefillBound string
	// StoreUnresponsive reports whether the store has not responded for some time.
	// Without it the instance never acts as a caretaker.
	StoreUnresponsive func() bool
	// LeaseTTL is the TTL of pool leases; zero means 3 s.
	LeaseTTL time.Duration
	// Commands records commands and limits model loads to the rate of the weight store;
	// without it every command is refused.
	Commands goose.CommandLog
	Clock    goose.Clock
	Log      *slog.Logger
}

// Manager runs the dispatchers of one instance.
type Manager struct {
	options   Options
	startedAt time.Time
	pauses    pauseDetector

	mu      sync.Mutex
	holder  Holder
	closing bool
	states  map[goose.Pool]*poolState
	// epochs are the newest known epochs.
	epochs map[goose.Pool]goose.Epoch

	group conc.WaitGroup
}

// poolState is the state of one pool at this instance.
type poolState struct {
	pool       goose.Pool
	dispatcher *runningDispatcher
	// campaign is set while a campaign runs.
	campaign *campaign
	// absentSince is the time since which no dispatcher of the pool is known; zero
	// if one is.
	absentSince time.Time
	// promisedUntil is the time until which this instance must not take the pool.
	promisedUntil time.Time
	handover      *Handover
}

// campaign is an attempt to acquire a pool's lease.
type campaign struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// NewManager returns a manager and registers its handlers of peer calls. The named
// plug-ins must be registered. Run must be called once.
func NewManager(o Options) (*Manager, error) {
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.LeaseTTL <= 0 {
		o.LeaseTTL = defaultLeaseTTL
	}
	// The store rounds lease TTLs up to whole seconds.
	o.LeaseTTL = (o.LeaseTTL + time.Second - 1).Truncate(time.Second)
	if _, err := goose.NewPolicy(o.Policy); err != nil {
		return nil, err
	}
	if _, err := goose.NewDiscipline(o.Discipline); err != nil {
		return nil, err
	}
	if _, err := goose.NewLongPrefillBound(o.LongPrefillBound); err != nil {
		return nil, err
	}
	m := &Manager{options: o, states: map[goose.Pool]*poolState{}, epochs: map[goose.Pool]goose.Epoch{}, startedAt: o.Clock.Now()}
	m.registerHandlers()
	return m, nil
}

// Run campaigns for pools and dispatches them until ctx ends. For a graceful shutdown,
// Shutdown must be called first.
func (m *Manager) Run(ctx context.Context, h Holder) {
	m.mu.Lock()
	m.holder = h
	m.mu.Unlock()
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			m.stopAll()
			m.group.Wait()
			return
		case <-tick.C:
		}
	}
}

// Dispatcher returns the local dispatcher of the pool.
func (m *Manager) Dispatcher(p goose.Pool) (goose.Dispatcher, bool) {
	d, ok := m.Pool(p)
	if !ok {
		return nil, false
	}
	return d, true
}

// Pool returns the local dispatcher of the pool with all its methods.
func (m *Manager) Pool(p goose.Pool) (*Pool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.states[p]; ok && s.dispatcher != nil {
		return s.dispatcher.pool, true
	}
	return nil, false
}

// DispatchedPools returns the pools that this instance dispatches, for heartbeats.
func (m *Manager) DispatchedPools() []goose.DispatchedPool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []goose.DispatchedPool
	now := m.options.Clock.Now()
	for _, s := range m.states {
		if s.dispatcher == nil {
			continue
		}
		if mode := s.dispatcher.authority(now).Mode; mode != goose.ModeStopped {
			out = append(out, goose.DispatchedPool{Pool: s.pool, Epoch: s.dispatcher.epoch, Mode: mode})
		}
	}
	return out
}

// step checks every pool once: it starts campaigns and stops dispatchers.
func (m *Manager) step(ctx context.Context) {
	m.checkPause(ctx, m.options.Clock.Now())
	c := m.options.Configuration.Current()
	if c == nil {
		return
	}
	members := m.options.Membership.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordEpochs(members)
	configured := map[goose.Pool]bool{}
	for _, p := range c.Pools(m.options.DataCentre) {
		configured[p] = true
		if m.states[p] == nil {
			m.states[p] = &poolState{pool: p}
		}
	}
	now := m.options.Clock.Now()
	leaving := c.InstanceState(m.options.Self) == goose.StateLeaving
	for p, s := range m.states {
		if s.dispatcher != nil {
			m.supervise(ctx, s, now)
		}
		switch {
		case s.dispatcher != nil && (leaving || !configured[p] && s.dispatcher.pool.Idle()):
			m.handOverInBackground(s)
		case !configured[p]:
			s.cancelCampaign()
		case s.dispatcher == nil || s.dispatcher.lease == nil:
			m.maybeCampaign(ctx, s, c, now)
		}
	}
}

// handOverInBackground hands over, in the background, a pool that this instance must no
// longer dispatch: the instance is leaving, or the pool has left the configuration.
func (m *Manager) handOverInBackground(s *poolState) {
	r := s.dispatcher
	s.dispatcher = nil
	m.group.Go(func() { m.handOver(context.Background(), r) })
}

func (m *Manager) recordEpochs(members []goose.Member) {
	for _, member := range members {
		for _, h := range member.Pools {
			m.epochs[h.Pool] = max(m.epochs[h.Pool], h.Epoch)
		}
	}
}

// maybeCampaign starts a campaign if the pool has no dispatcher and the rank delay
// of this instance has passed.
func (m *Manager) maybeCampaign(ctx context.Context, s *poolState, c goose.Catalogue, now time.Time) {
	if d, ok := m.options.Membership.Dispatcher(s.pool); ok && d.Instance != m.options.Self {
		s.absentSince = time.Time{}
		if !m.hasFreshHandover(s, now) {
			s.cancelCampaign()
			return
		}
	}
	if m.closing || s.campaign != nil || now.Before(s.promisedUntil) {
		return
	}
	if s.absentSince.IsZero() {
		s.absentSince = now
	}
	rank, ok := m.rank(s.pool, c)
	if !ok {
		return
	}
	m.maybeStartCaretaker(ctx, s, now)
	since := s.absentSince
	if first := m.startedAt.Add(startDelay); first.After(since) {
		since = first
	}
	if now.Sub(since) >= time.Duration(rank)*rankDelay || m.hasFreshHandover(s, now) {
		m.startCampaign(ctx, s)
	}
}

// cancelCampaign ends a campaign for a pool that has a dispatcher: the campaign would
// only load the store, and could acquire the lease before the successor of a graceful
// shutdown.
func (s *poolState) cancelCampaign() {
	if s.campaign != nil {
		s.campaign.cancel()
	}
}

func (m *Manager) hasFreshHandover(s *poolState, now time.Time) bool {
	return s.handover != nil && now.Sub(s.handover.ReceivedAt) < m.options.maxHandoverAge()
}

// rank returns this instance's position among the candidates of the pool: the
// live instances of the data centre that are not leaving.
func (m *Manager) rank(p goose.Pool, c goose.Catalogue) (int, bool) {
	own, rank := rendezvousHash(p.String(), m.options.Self), 0
	if c.InstanceState(m.options.Self) == goose.StateLeaving || m.options.Membership.Self().Leaving {
		return 0, false
	}
	for _, i := range m.candidates(c) {
		if rendezvousHash(p.String(), i) > own {
			rank++
		}
	}
	return rank, true
}

// candidates returns the other instances that may dispatch pools of the data centre.
func (m *Manager) candidates(c goose.Catalogue) []goose.InstanceID {
	var out []goose.InstanceID
	for _, member := range m.options.Membership.Members() {
		if member.Instance != m.options.Self && member.DataCentre == m.options.DataCentre && member.Live &&
			!member.Leaving && c.InstanceState(member.Instance) != goose.StateLeaving {
			out = append(out, member.Instance)
		}
	}
	return out
}

func (m *Manager) leaseKey(p goose.Pool) string { return m.options.KeyPrefix + "pools/" + p.String() }

// startCampaign tries to acquire the lease in the background.
func (m *Manager) startCampaign(ctx context.Context, s *poolState) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	c := &campaign{cancel: cancel, done: make(chan struct{})}
	s.campaign = c
	m.group.Go(func() {
		defer cancel()
		lease, err := m.options.Campaigner.Campaign(ctx, m.leaseKey(s.pool))
		m.finishCampaign(s, lease, err)
		close(c.done)
	})
}

// finishCampaign starts the dispatcher if the campaign acquired the lease. A lease
// that was acquired against a promise is resigned unused.
func (m *Manager) finishCampaign(s *poolState, lease HeldLease, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.campaign = nil
	if err != nil || lease == nil {
		return
	}
	if now := m.options.Clock.Now(); m.closing || now.Before(s.promisedUntil) {
		m.group.Go(func() { m.resignLease(lease) })
		return
	}
	if s.dispatcher != nil {
		m.stopDispatcher(s)
	}
	m.startDispatcher(s, lease, lease.Epoch())
}

func (m *Manager) resignLease(lease HeldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If the resign fails, the lease expires after its TTL.
	_ = lease.Resign(ctx)
}
