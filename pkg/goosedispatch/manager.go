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
	// stepInterval is the time between two looks at the pools of the data centre.
	stepInterval = 250 * time.Millisecond
	// startDelay lets a new instance hear the present dispatchers, and them hear
	// the instance, before it campaigns: a dispatcher that stays by consent must
	// count every instance that could take its lease. It also outlasts the
	// promises that the instance gave before a restart and does not remember.
	startDelay = PromiseValidity + promiseMargin
	// rankDelay is the head start of each instance in the pool's rendezvous
	// order over the next one. It spreads pools over instances.
	rankDelay = 300 * time.Millisecond
	// campaignTimeout bounds one campaign, so that the store's state is seen anew.
	campaignTimeout = 10 * time.Second
	// promiseMargin covers the difference between the clocks of the instance
	// that promised and the one that relies on it.
	promiseMargin = 500 * time.Millisecond
	// caretakerMargin covers the lag of the last heartbeat and the difference
	// between the clocks of the former holder and the caretaker.
	caretakerMargin = 2 * time.Second
)

// caretakerDelay exceeds the time in which a former holder can act in the modes
// leased (one TTL) and consented (one promise) after it was last heard.
func (o Options) caretakerDelay() time.Duration {
	return o.LeaseTTL + PromiseValidity + caretakerMargin
}

// handoverAge bounds the use of a handover: within one TTL no other instance can
// have held the lease unnoticed.
func (o Options) handoverAge() time.Duration { return o.LeaseTTL }

// Held is a pool lease that this instance holds.
type Held interface {
	goose.Lease
	// Done is closed once the store answered that the key is absent or names
	// another holder, or after Resign. It stays open while the store is silent.
	Done() <-chan struct{}
	Resign(ctx context.Context) error
}

// Campaigner campaigns for leases. Campaign waits until the key is held or ctx
// ends; once it returned, no request of it is under way.
type Campaigner interface {
	Campaign(ctx context.Context, key string) (Held, error)
}

// Holder is the local holder's side of the permit protocol.
type Holder interface {
	Collect(goose.Pool) goose.Collected
	// Fence drops later grants of epochs before e.
	Fence(p goose.Pool, e goose.Epoch)
	// Held returns which of the permits are held.
	Held(p goose.Pool, ids []goose.PermitID) []goose.PermitID
}

// Options are what a Manager works with. Suspects, StoreSilent, Clock and Log
// may be nil.
type Options struct {
	Self        goose.InstanceID
	DataCentre  goose.DataCentre
	Incarnation int64
	// KeyPrefix is put before pools/<data centre>/<service>.
	KeyPrefix     string
	Configuration goose.ConfigurationSource
	Membership    goose.Membership
	Caller        goose.Caller
	Router        goose.Router
	Campaigner    Campaigner
	Protocol      func(name string) goose.Protocol
	Suspects      goose.Suspects
	// Policy, Discipline and LongBound name the plug-ins of each pool.
	Policy     string
	Discipline string
	LongBound  string
	// StoreSilent reports whether the store has not answered for some time.
	// Without it the instance never acts as a caretaker.
	StoreSilent func() bool
	// LeaseTTL is the TTL of pool leases; zero means 3 s.
	LeaseTTL time.Duration
	// Commands records commands and limits loads to the rate of the weight store;
	// without it every command is refused.
	Commands goose.CommandLog
	Clock    goose.Clock
	Log      *slog.Logger
}

// Manager runs the pools that one instance dispatches.
type Manager struct {
	o       Options
	started time.Time
	pauses  pauses

	mu      sync.Mutex
	holder  Holder
	closing bool
	states  map[goose.Pool]*poolState
	// epochs are the newest epochs heard of.
	epochs map[goose.Pool]goose.Epoch

	group conc.WaitGroup
}

// poolState is the state of one pool at this instance.
type poolState struct {
	pool    goose.Pool
	running *running
	// campaign is set while one is under way.
	campaign *campaign
	// absent is since when no dispatcher of the pool is heard.
	absent time.Time
	// promised is until when this instance must not take the pool.
	promised time.Time
	handover *Handover
}

// campaign is one attempt to take a pool's lease.
type campaign struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// NewManager returns a manager and registers its handlers of peer calls. The
// plug-ins must be known. Run must be called once.
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
	// Leases of the store last whole seconds.
	o.LeaseTTL = (o.LeaseTTL + time.Second - 1).Truncate(time.Second)
	if _, err := goose.NewPolicy(o.Policy); err != nil {
		return nil, err
	}
	if _, err := goose.NewDiscipline(o.Discipline); err != nil {
		return nil, err
	}
	if _, err := goose.NewLongBound(o.LongBound); err != nil {
		return nil, err
	}
	m := &Manager{o: o, states: map[goose.Pool]*poolState{}, epochs: map[goose.Pool]goose.Epoch{}, started: o.Clock.Now()}
	m.register()
	return m, nil
}

// Run campaigns for pools and dispatches them until ctx ends. Call Shutdown
// before for a planned stop.
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
	if s, ok := m.states[p]; ok && s.running != nil {
		return s.running.pool, true
	}
	return nil, false
}

// Holdings returns the pools that this instance dispatches, for heartbeats.
func (m *Manager) Holdings() []goose.PoolHolding {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []goose.PoolHolding
	now := m.o.Clock.Now()
	for _, s := range m.states {
		if s.running == nil {
			continue
		}
		if mode := s.running.authority(now).Mode; mode != goose.ModeStopped {
			out = append(out, goose.PoolHolding{Pool: s.pool, Epoch: s.running.epoch, Mode: mode})
		}
	}
	return out
}

// step looks at every pool once.
func (m *Manager) step(ctx context.Context) {
	m.notePause(ctx, m.o.Clock.Now())
	c := m.o.Configuration.Current()
	if c == nil {
		return
	}
	members := m.o.Membership.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteEpochs(members)
	configured := map[goose.Pool]bool{}
	for _, p := range c.Pools(m.o.DataCentre) {
		configured[p] = true
		if m.states[p] == nil {
			m.states[p] = &poolState{pool: p}
		}
	}
	now := m.o.Clock.Now()
	leaving := c.InstanceState(m.o.Self) == goose.StateLeaving
	for p, s := range m.states {
		if s.running != nil {
			m.watch(ctx, s, now)
		}
		switch {
		case s.running != nil && (leaving || !configured[p] && s.running.pool.Idle()):
			m.giveUp(s)
		case !configured[p]:
			s.endCampaign()
		case s.running == nil || s.running.held == nil:
			m.consider(ctx, s, c, now)
		}
	}
}

// giveUp hands a pool over that this instance is to dispatch no longer: the
// instance is leaving, or the pool left the configuration.
func (m *Manager) giveUp(s *poolState) {
	r := s.running
	s.running = nil
	m.group.Go(func() { m.handOver(context.Background(), r) })
}

func (m *Manager) noteEpochs(members []goose.Member) {
	for _, member := range members {
		for _, h := range member.Pools {
			m.epochs[h.Pool] = max(m.epochs[h.Pool], h.Epoch)
		}
	}
}

// consider starts a campaign if the pool has no dispatcher and it is this
// instance's turn.
func (m *Manager) consider(ctx context.Context, s *poolState, c goose.Catalogue, now time.Time) {
	if d, ok := m.o.Membership.Dispatcher(s.pool); ok && d.Instance != m.o.Self {
		s.absent = time.Time{}
		if !m.handedOver(s, now) {
			s.endCampaign()
			return
		}
	}
	if m.closing || s.campaign != nil || now.Before(s.promised) {
		return
	}
	if s.absent.IsZero() {
		s.absent = now
	}
	rank, ok := m.rank(s.pool, c)
	if !ok {
		return
	}
	m.considerCaretaker(ctx, s, now)
	since := s.absent
	if first := m.started.Add(startDelay); first.After(since) {
		since = first
	}
	if now.Sub(since) >= time.Duration(rank)*rankDelay || m.handedOver(s, now) {
		m.campaign(ctx, s)
	}
}

// endCampaign ends a campaign for a pool whose dispatcher is heard: it would
// only load the store, and win the lease before the successor of a planned
// stop.
func (s *poolState) endCampaign() {
	if s.campaign != nil {
		s.campaign.cancel()
	}
}

func (m *Manager) handedOver(s *poolState, now time.Time) bool {
	return s.handover != nil && now.Sub(s.handover.Received) < m.o.handoverAge()
}

// rank returns this instance's place among the candidates of the pool: the
// live instances of the data centre that are not leaving.
func (m *Manager) rank(p goose.Pool, c goose.Catalogue) (int, bool) {
	own, rank := rendezvous(p.String(), m.o.Self), 0
	if c.InstanceState(m.o.Self) == goose.StateLeaving || m.o.Membership.Self().Leaving {
		return 0, false
	}
	for _, i := range m.candidates(c) {
		if rendezvous(p.String(), i) > own {
			rank++
		}
	}
	return rank, true
}

// candidates are the other instances that may dispatch pools of the data centre.
func (m *Manager) candidates(c goose.Catalogue) []goose.InstanceID {
	var out []goose.InstanceID
	for _, member := range m.o.Membership.Members() {
		if member.Instance != m.o.Self && member.DataCentre == m.o.DataCentre && member.Live &&
			!member.Leaving && c.InstanceState(member.Instance) != goose.StateLeaving {
			out = append(out, member.Instance)
		}
	}
	return out
}

func (m *Manager) key(p goose.Pool) string { return m.o.KeyPrefix + "pools/" + p.String() }

// campaign tries to take the lease in the background.
func (m *Manager) campaign(ctx context.Context, s *poolState) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	c := &campaign{cancel: cancel, done: make(chan struct{})}
	s.campaign = c
	m.group.Go(func() {
		defer cancel()
		held, err := m.o.Campaigner.Campaign(ctx, m.key(s.pool))
		m.campaigned(s, held, err)
		close(c.done)
	})
}

// campaigned starts the dispatcher if the campaign won. A lease that was won
// against a promise is given back unused.
func (m *Manager) campaigned(s *poolState, held Held, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.campaign = nil
	if err != nil || held == nil {
		return
	}
	if now := m.o.Clock.Now(); m.closing || now.Before(s.promised) {
		m.group.Go(func() { m.resignLease(held) })
		return
	}
	if s.running != nil {
		m.stop(s)
	}
	m.start(s, held, held.Epoch())
}

func (m *Manager) resignLease(h Held) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// An unanswered resign ends with the lease's TTL.
	_ = h.Resign(ctx)
}
