package goosedispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// runningDispatcher is a pool's dispatcher that runs at this instance.
type runningDispatcher struct {
	manager *Manager
	pool    *Pool
	id      goose.Pool
	epoch   goose.Epoch
	// lease is nil for a caretaker: a dispatcher that runs without a lease while
	// the store is unresponsive.
	lease  HeldLease
	cancel context.CancelFunc
	// liveMembers is the number of live members of the data centre at the last step.
	liveMembers        int
	consentRequestedAt time.Time
	// leasedShare is the share of the limits that the lease allows while members are
	// silent, as of the last step; nil means the full limits. It is cached because each
	// grant reads the authority.
	leasedShare atomic.Pointer[func(goose.ReplicaID) gooselimit.Share]

	mu       sync.Mutex
	promises map[goose.InstanceID]time.Time
}

// startDispatcher runs a dispatcher; lease is nil for a caretaker.
func (m *Manager) startDispatcher(s *poolState, lease HeldLease, epoch goose.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningDispatcher{manager: m, id: s.pool, epoch: epoch, lease: lease, cancel: cancel, promises: map[goose.InstanceID]time.Time{}}
	m.epochs[s.pool] = max(m.epochs[s.pool], epoch)
	// NewManager has checked the names.
	policy, _ := goose.NewPolicy(m.options.Policy)
	discipline, _ := goose.NewDiscipline(m.options.Discipline)
	bound, _ := goose.NewLongPrefillBound(m.options.LongPrefillBound)
	var h *Handover
	if lease != nil && m.hasFreshHandover(s, m.options.Clock.Now()) {
		h = s.handover
	}
	s.handover = nil
	r.pool = New(Dependencies{
		Pool: s.pool, Self: m.options.Self, Incarnation: m.options.Incarnation, Epoch: epoch,
		Configuration: m.options.Configuration, Protocol: m.options.Protocol, Suspects: m.options.Suspects,
		Authority: r.authority, Holders: peerHolders{m}, Policy: policy, Discipline: discipline, LongPrefillBound: bound,
		Clock: m.options.Clock, Log: m.options.Log, Handover: h, LeaseTTL: m.options.LeaseTTL, Commands: m.options.Commands,
	})
	r.updateLeasedShare()
	s.dispatcher = r
	gooseevent.PoolAcquired.Log(m.options.Log, "pool", s.pool.String(), "epoch", int64(epoch), "caretaker", lease == nil, "handover", h != nil)
	m.group.Go(func() { r.pool.Run(ctx) })
}

// stopDispatcher ends a dispatcher without a handover.
func (m *Manager) stopDispatcher(s *poolState) {
	r := s.dispatcher
	s.dispatcher = nil
	s.absentSince = time.Time{}
	r.cancel()
	r.pool.Resign()
	gooseevent.PoolLost.Log(m.options.Log, "pool", s.pool.String(), "epoch", int64(r.epoch))
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for _, s := range m.states {
		if s.campaign != nil {
			s.campaign.cancel()
		}
		if s.dispatcher != nil {
			m.stopDispatcher(s)
		}
	}
}

// ownsNothing is the Authority.Owns of a dispatcher that must not grant at present.
func ownsNothing(goose.ReplicaID) bool { return false }

// authority returns what the dispatcher of the pool may grant now.
func (r *runningDispatcher) authority(now time.Time) Authority {
	e := AuthorityEvidence{Now: now, Self: r.manager.options.Self, Store: StoreUnresponsive}
	if r.lease != nil {
		select {
		case <-r.lease.Done():
			return Authority{Mode: goose.ModeStopped}
		default:
		}
		e.LeaseDeadline = r.lease.Deadline()
	}
	if r.manager.pauses.unconfirmed(now) {
		return Authority{Mode: goose.ModeDegraded, Owns: ownsNothing}
	}
	if now.Before(e.LeaseDeadline) {
		a := Authority{Mode: goose.ModeLeased}
		if s := r.leasedShare.Load(); s != nil {
			a.Share = *s
		}
		return a
	}
	rival := r.fillMembers(&e)
	r.mu.Lock()
	e.Promises = make(map[goose.InstanceID]time.Time, len(r.promises))
	for i, at := range r.promises {
		e.Promises[i] = at
	}
	r.mu.Unlock()
	a := DecideAuthority(e)
	if a.Mode == goose.ModeDegraded && rival {
		// Two parts of the data centre are connected again and each has a
		// dispatcher: neither grants until one of them has stopped.
		a.Owns, a.AllReachable = ownsNothing, false
	}
	return a
}

// fillMembers sets the members of the data centre. It reports whether another live
// member also dispatches the pool.
func (r *runningDispatcher) fillMembers(e *AuthorityEvidence) (rival bool) {
	e.Reachable = map[goose.InstanceID]bool{}
	for _, m := range r.manager.options.Membership.Members() {
		if m.DataCentre != r.manager.options.DataCentre {
			continue
		}
		e.Members = append(e.Members, m.Instance)
		e.Reachable[m.Instance] = m.Live
		rival = rival || m.Live && m.Instance != e.Self && dispatches(m, r.id)
	}
	return rival
}

// updateLeasedShare recomputes the share that the lease allows from the members
// that are silent now.
func (r *runningDispatcher) updateLeasedShare() {
	e := AuthorityEvidence{Self: r.manager.options.Self}
	r.fillMembers(&e)
	s := e.leasedShare()
	if s == nil {
		r.leasedShare.Store(nil)
		return
	}
	r.leasedShare.Store(&s)
}

func dispatches(m goose.Member, p goose.Pool) bool {
	for _, h := range m.Pools {
		if h.Pool == p {
			return true
		}
	}
	return false
}

// supervise stops a dispatcher that has lost its authority, and renews the promises
// of the peers shortly before the lease expires.
func (m *Manager) supervise(ctx context.Context, s *poolState, now time.Time) {
	r := s.dispatcher
	if r.lease == nil {
		m.superviseCaretaker(s)
		return
	}
	r.updateLeasedShare()
	a := r.authority(now)
	if a.Mode == goose.ModeStopped {
		m.stopDispatcher(s)
		return
	}
	live := m.liveMembers()
	if a.Mode == goose.ModeDegraded && live > r.liveMembers {
		// This dispatcher may own more replicas now, on which the dispatcher of
		// another part of the data centre has granted permits.
		r.pool.RestartTakeover()
	}
	r.liveMembers = live
	if r.lease.Deadline().Sub(now) < PromiseValidity/2 && now.Sub(r.consentRequestedAt) >= PromiseValidity/4 {
		r.consentRequestedAt = now
		m.group.Go(func() { r.requestConsent(ctx) })
	}
}

func (m *Manager) liveMembers() int {
	n := 0
	for _, member := range m.options.Membership.Members() {
		if member.DataCentre == m.options.DataCentre && member.Live {
			n++
		}
	}
	return n
}

// maybeStartCaretaker starts a dispatcher without a lease if the store is unresponsive,
// no dispatcher of the pool has been seen for caretakerDelay, and this instance
// has the lowest name among the live ones of the data centre.
func (m *Manager) maybeStartCaretaker(_ context.Context, s *poolState, now time.Time) {
	if s.dispatcher != nil || m.options.StoreUnresponsive == nil || !m.options.StoreUnresponsive() {
		return
	}
	since := s.absentSince
	if s.promisedUntil.After(since) {
		since = s.promisedUntil
	}
	if now.Sub(since) < m.options.caretakerDelay() || now.Sub(m.startedAt) < m.options.caretakerDelay() {
		return
	}
	for _, member := range m.options.Membership.Members() {
		if member.DataCentre == m.options.DataCentre && member.Live && member.Instance < m.options.Self {
			return
		}
	}
	m.startDispatcher(s, nil, m.epochs[s.pool])
}

// superviseCaretaker stops a caretaker once a live peer dispatches the pool.
func (m *Manager) superviseCaretaker(s *poolState) {
	for _, member := range m.options.Membership.Members() {
		if member.Live && member.Instance != m.options.Self && dispatches(member, s.pool) {
			m.stopDispatcher(s)
			return
		}
	}
}

// requestConsent asks every other member of the data centre to promise not to take
// the pool.
func (r *runningDispatcher) requestConsent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PromiseValidity/2)
	defer cancel()
	m := r.manager
	// The calls end before ctx is cancelled.
	var calls conc.WaitGroup
	defer calls.Wait()
	for _, member := range m.options.Membership.Members() {
		if member.DataCentre != m.options.DataCentre || member.Instance == m.options.Self {
			continue
		}
		calls.Go(func() {
			sent := m.options.Clock.Now()
			var reply ConsentReply
			request := ConsentRequest{Pool: r.id, Epoch: r.epoch}
			if err := m.options.PeerClient.Call(ctx, member.Address, KindConsent, request, &reply); err != nil || !reply.Promised {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.promises[member.Instance] = sent
		})
	}
}
