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

// running is one pool that this instance dispatches.
type running struct {
	manager *Manager
	pool    *Pool
	id      goose.Pool
	epoch   goose.Epoch
	// held is nil for a caretaker.
	held   Held
	cancel context.CancelFunc
	// live is the number of live members at the last step.
	live  int
	asked time.Time
	// share is what the lease allows beside members that are not heard, by the
	// last step; nil is all. It is kept because the mode leased is asked for with
	// each grant.
	share atomic.Pointer[func(goose.ReplicaID) gooselimit.Share]

	mu       sync.Mutex
	promises map[goose.InstanceID]time.Time
}

// start runs a dispatcher; held is nil for a caretaker.
func (m *Manager) start(s *poolState, held Held, epoch goose.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{manager: m, id: s.pool, epoch: epoch, held: held, cancel: cancel, promises: map[goose.InstanceID]time.Time{}}
	m.epochs[s.pool] = max(m.epochs[s.pool], epoch)
	// The names were checked by NewManager.
	policy, _ := goose.NewPolicy(m.o.Policy)
	discipline, _ := goose.NewDiscipline(m.o.Discipline)
	bound, _ := goose.NewLongBound(m.o.LongBound)
	var h *Handover
	if held != nil && m.handedOver(s, m.o.Clock.Now()) {
		h = s.handover
	}
	s.handover = nil
	r.pool = New(Dependencies{
		Pool: s.pool, Self: m.o.Self, Incarnation: m.o.Incarnation, Epoch: epoch,
		Configuration: m.o.Configuration, Protocol: m.o.Protocol, Suspects: m.o.Suspects,
		Authority: r.authority, Holders: peers{m}, Policy: policy, Discipline: discipline, LongBound: bound,
		Clock: m.o.Clock, Log: m.o.Log, Handover: h, LeaseTTL: m.o.LeaseTTL, Commands: m.o.Commands,
	})
	r.noteShare()
	s.running = r
	gooseevent.PoolAcquired.Log(m.o.Log, "pool", s.pool.String(), "epoch", int64(epoch), "caretaker", held == nil, "handover", h != nil)
	m.group.Go(func() { r.pool.Run(ctx) })
}

// stop ends a dispatcher without a handover.
func (m *Manager) stop(s *poolState) {
	r := s.running
	s.running = nil
	s.absent = time.Time{}
	r.cancel()
	r.pool.Resign()
	gooseevent.PoolLost.Log(m.o.Log, "pool", s.pool.String(), "epoch", int64(r.epoch))
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for _, s := range m.states {
		if s.campaign != nil {
			s.campaign.cancel()
		}
		if s.running != nil {
			m.stop(s)
		}
	}
}

// ownsNothing is the part of a dispatcher that may not grant for the moment.
func ownsNothing(goose.ReplicaID) bool { return false }

// authority decides under which mode the pool is dispatched now.
func (r *running) authority(now time.Time) Authority {
	e := Evidence{Now: now, Self: r.manager.o.Self, Store: StoreSilent}
	if r.held != nil {
		select {
		case <-r.held.Done():
			return Authority{Mode: goose.ModeStopped}
		default:
		}
		e.Deadline = r.held.Deadline()
	}
	if r.manager.pauses.outdated(now) {
		return Authority{Mode: goose.ModeDegraded, Owns: ownsNothing}
	}
	if now.Before(e.Deadline) {
		a := Authority{Mode: goose.ModeLeased}
		if s := r.share.Load(); s != nil {
			a.Share = *s
		}
		return a
	}
	rival := r.fill(&e)
	r.mu.Lock()
	e.Promises = make(map[goose.InstanceID]time.Time, len(r.promises))
	for i, at := range r.promises {
		e.Promises[i] = at
	}
	r.mu.Unlock()
	a := Decide(e)
	if a.Mode == goose.ModeDegraded && rival {
		// Two parts of the data centre hear each other again: neither grants
		// until one of the dispatchers has stopped.
		a.Owns, a.Whole = ownsNothing, false
	}
	return a
}

// fill sets the members of the data centre. It reports whether another live one
// dispatches the pool as well.
func (r *running) fill(e *Evidence) (rival bool) {
	e.Reachable = map[goose.InstanceID]bool{}
	for _, m := range r.manager.o.Membership.Members() {
		if m.DataCentre != r.manager.o.DataCentre {
			continue
		}
		e.Members = append(e.Members, m.Instance)
		e.Reachable[m.Instance] = m.Live
		rival = rival || m.Live && m.Instance != e.Self && holds(m, r.id)
	}
	return rival
}

// noteShare looks anew for members that are not heard.
func (r *running) noteShare() {
	e := Evidence{Self: r.manager.o.Self}
	r.fill(&e)
	s := e.leasedShare()
	if s == nil {
		r.share.Store(nil)
		return
	}
	r.share.Store(&s)
}

func holds(m goose.Member, p goose.Pool) bool {
	for _, h := range m.Pools {
		if h.Pool == p {
			return true
		}
	}
	return false
}

// watch looks after a running dispatcher.
func (m *Manager) watch(ctx context.Context, s *poolState, now time.Time) {
	r := s.running
	if r.held == nil {
		m.watchCaretaker(s)
		return
	}
	r.noteShare()
	a := r.authority(now)
	if a.Mode == goose.ModeStopped {
		m.stop(s)
		return
	}
	live := m.liveMembers()
	if a.Mode == goose.ModeDegraded && live > r.live {
		// Replicas that another part granted may have become this one's.
		r.pool.Recollect()
	}
	r.live = live
	if r.held.Deadline().Sub(now) < PromiseValidity/2 && now.Sub(r.asked) >= PromiseValidity/4 {
		r.asked = now
		m.group.Go(func() { r.askConsent(ctx) })
	}
}

func (m *Manager) liveMembers() int {
	n := 0
	for _, member := range m.o.Membership.Members() {
		if member.DataCentre == m.o.DataCentre && member.Live {
			n++
		}
	}
	return n
}

// considerCaretaker starts a dispatcher without a lease when the store is
// silent, no dispatcher is heard, and this is the lowest-named live instance.
func (m *Manager) considerCaretaker(_ context.Context, s *poolState, now time.Time) {
	if s.running != nil || m.o.StoreSilent == nil || !m.o.StoreSilent() {
		return
	}
	since := s.absent
	if s.promised.After(since) {
		since = s.promised
	}
	if now.Sub(since) < m.o.caretakerDelay() || now.Sub(m.started) < m.o.caretakerDelay() {
		return
	}
	for _, member := range m.o.Membership.Members() {
		if member.DataCentre == m.o.DataCentre && member.Live && member.Instance < m.o.Self {
			return
		}
	}
	m.start(s, nil, m.epochs[s.pool])
}

// watchCaretaker stops a caretaker once another dispatcher is heard.
func (m *Manager) watchCaretaker(s *poolState) {
	for _, member := range m.o.Membership.Members() {
		if member.Live && member.Instance != m.o.Self && holds(member, s.pool) {
			m.stop(s)
			return
		}
	}
}

// askConsent asks every member of the data centre not to take the pool.
func (r *running) askConsent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, PromiseValidity/2)
	defer cancel()
	m := r.manager
	// The calls end before ctx is cancelled.
	var calls conc.WaitGroup
	defer calls.Wait()
	for _, member := range m.o.Membership.Members() {
		if member.DataCentre != m.o.DataCentre || member.Instance == m.o.Self {
			continue
		}
		calls.Go(func() {
			sent := m.o.Clock.Now()
			var reply ConsentReply
			request := ConsentRequest{Pool: r.id, Epoch: r.epoch}
			if err := m.o.Caller.Call(ctx, member.Address, KindConsent, request, &reply); err != nil || !reply.Promised {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.promises[member.Instance] = sent
		})
	}
}
