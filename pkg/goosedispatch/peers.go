package goosedispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// errStarting is the reply before Run has been called.
var errStarting = errors.New("instance is starting")

// registerHandlers registers the handlers of peer calls.
func (m *Manager) registerHandlers() {
	r := m.options.PeerRouter
	r.Handle(KindAcquire, m.handleAcquire)
	r.Handle(KindAbandon, m.handleAbandon)
	r.Handle(KindReport, m.handleReport)
	r.Handle(KindCollect, m.handleCollect)
	r.Handle(KindHeld, m.handleHeld)
	r.Handle(KindHandover, m.handleHandover)
	r.Handle(KindConsent, m.handleConsent)
	r.Handle(KindCommand, m.handleCommand)
	r.Handle(KindStatus, m.handleStatus)
	r.Handle(KindVersion, m.handleVersion)
}

func (m *Manager) handleAcquire(ctx context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
	var r goose.PermitRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if r.Instance != from {
		return nil, errors.Errorf("permit request of %s sent by %s", r.Instance, from)
	}
	d, ok := m.Dispatcher(r.Pool)
	if !ok {
		return goose.PermitReply{Status: goose.PermitNotDispatcher}, nil
	}
	return d.Acquire(ctx, r), nil
}

func (m *Manager) handleAbandon(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r AbandonRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	if d, ok := m.Dispatcher(r.Pool); ok {
		d.Abandon(r.Request)
	}
	return struct{}{}, nil
}

func (m *Manager) handleReport(_ context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
	var r ReportRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	d, ok := m.Pool(r.Pool)
	for _, report := range r.Reports {
		ok = ok && (report.Instance != from || d.ApplyReport(report))
	}
	return ReportReply{Accepted: ok}, nil
}

func (m *Manager) localHolder() (Holder, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return nil, errStarting
	}
	return m.holder, nil
}

func (m *Manager) handleCollect(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r CollectRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	return m.collectLocal(r)
}

// collectLocal returns this instance's permits to a new dispatcher. A dispatcher of
// an older epoch that runs at this instance is stopped first: it must not grant
// permits that the reply does not contain.
func (m *Manager) collectLocal(r CollectRequest) (goose.HolderState, error) {
	h, err := m.localHolder()
	if err != nil {
		return goose.HolderState{}, err
	}
	m.mu.Lock()
	m.epochs[r.Pool] = max(m.epochs[r.Pool], r.Epoch)
	if s := m.states[r.Pool]; s != nil && s.dispatcher != nil && s.dispatcher.epoch < r.Epoch {
		m.stopDispatcher(s)
	}
	m.mu.Unlock()
	h.Fence(r.Pool, r.Epoch)
	return h.HolderState(r.Pool), nil
}

func (m *Manager) handleHeld(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r HeldRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	h, err := m.localHolder()
	if err != nil {
		return nil, err
	}
	return m.heldReply(h, r), nil
}

func (m *Manager) heldReply(h Holder, r HeldRequest) HeldReply {
	return HeldReply{Permits: h.HeldPermits(r.Pool, r.Permits), Incarnation: m.options.Incarnation}
}

func (m *Manager) handleHandover(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var h Handover
	if err := decode(&h); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[h.Pool]
	if m.closing || s == nil || s.dispatcher != nil || h.Epoch < m.epochs[h.Pool] {
		return HandoverReply{}, nil
	}
	h.ReceivedAt = m.options.Clock.Now()
	s.handover = &h
	return HandoverReply{Accepted: true}, nil
}

// handleConsent promises not to take the pool for PromiseValidity plus promiseMargin.
// A campaign in progress is cancelled first; there is no promise until it has ended.
func (m *Manager) handleConsent(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var r ConsentRequest
	if err := decode(&r); err != nil {
		return nil, err
	}
	m.mu.Lock()
	s := m.states[r.Pool]
	if s == nil {
		s = &poolState{pool: r.Pool}
		m.states[r.Pool] = s
	}
	if s.dispatcher != nil || r.Epoch < m.epochs[r.Pool] {
		m.mu.Unlock()
		return ConsentReply{}, nil
	}
	c := s.campaign
	s.promisedUntil = m.options.Clock.Now().Add(PromiseValidity + promiseMargin)
	m.mu.Unlock()
	if c != nil {
		c.cancel()
		select {
		case <-c.done:
		case <-ctx.Done():
			return ConsentReply{}, nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.dispatcher != nil {
		return ConsentReply{}, nil
	}
	s.promisedUntil = m.options.Clock.Now().Add(PromiseValidity + promiseMargin)
	return ConsentReply{Promised: true}, nil
}

// peerHolders implements Holders over the peer link.
type peerHolders struct{ m *Manager }

// Collect implements Holders. Silent members are asked as well, because a frozen or
// partitioned instance of any data centre can hold permits of the pool. The replies
// of the live members are passed on without waiting for those of the silent ones.
func (p peerHolders) Collect(ctx context.Context, pool goose.Pool, e goose.Epoch, replied map[goose.InstanceID]bool, onReplies func([]goose.HolderState)) bool {
	var live, silent collectReplies
	request := CollectRequest{Pool: pool, Epoch: e}
	for _, member := range p.m.options.Membership.Members() {
		if replied[member.Instance] {
			continue
		}
		to := &silent
		if member.Live {
			to = &live
		}
		to.calls.Go(func() {
			state, err := p.collectOne(ctx, member, request)
			state.Instance = member.Instance
			to.add(state, err)
		})
	}
	for _, rs := range []*collectReplies{&live, &silent} {
		rs.calls.Wait()
		onReplies(rs.all)
	}
	return !live.incomplete && !silent.incomplete
}

// collectReplies are the replies of some instances to a collect round.
type collectReplies struct {
	calls conc.WaitGroup

	mu  sync.Mutex
	all []goose.HolderState
	// incomplete is set if an instance did not reply.
	incomplete bool
}

func (rs *collectReplies) add(state goose.HolderState, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if err != nil {
		rs.incomplete = true
		return
	}
	rs.all = append(rs.all, state)
}

func (p peerHolders) collectOne(ctx context.Context, member goose.Member, r CollectRequest) (goose.HolderState, error) {
	if member.Instance == p.m.options.Self {
		return p.m.collectLocal(r)
	}
	var state goose.HolderState
	err := p.m.options.PeerClient.Call(ctx, member.Address, KindCollect, r, &state)
	return state, err
}

// HeldPermits implements Holders.
func (p peerHolders) HeldPermits(ctx context.Context, i goose.InstanceID, pool goose.Pool, ids []goose.PermitID) (HeldReply, error) {
	request := HeldRequest{Pool: pool, Permits: ids}
	if i == p.m.options.Self {
		h, err := p.m.localHolder()
		if err != nil {
			return HeldReply{}, err
		}
		return p.m.heldReply(h, request), nil
	}
	for _, member := range p.m.options.Membership.Members() {
		if member.Instance == i {
			var reply HeldReply
			err := p.m.options.PeerClient.Call(ctx, member.Address, KindHeld, request, &reply)
			return reply, err
		}
	}
	return HeldReply{}, errors.Errorf("instance %s is not a member", i)
}

// Liveness implements Holders.
func (p peerHolders) Liveness(i goose.InstanceID) (int64, time.Time, bool) {
	if i == p.m.options.Self {
		return p.m.options.Incarnation, p.m.options.Clock.Now(), true
	}
	for _, member := range p.m.options.Membership.Members() {
		if member.Instance == i {
			return member.Incarnation, member.LastHeard, true
		}
	}
	return 0, time.Time{}, false
}
