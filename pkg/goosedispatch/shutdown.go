package goosedispatch

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Shutdown resigns all pools: each dispatcher stops granting, its state is sent to
// the preferred successor, and the lease is resigned. No pool is acquired
// afterwards.
func (m *Manager) Shutdown(ctx context.Context) {
	m.mu.Lock()
	m.closing = true
	var all []*runningDispatcher
	for _, s := range m.states {
		if s.campaign != nil {
			s.campaign.cancel()
		}
		if s.dispatcher != nil {
			all = append(all, s.dispatcher)
			s.dispatcher = nil
		}
	}
	m.mu.Unlock()
	var g conc.WaitGroup
	for _, r := range all {
		g.Go(func() { m.handOver(ctx, r) })
	}
	g.Wait()
}

func (m *Manager) handOver(ctx context.Context, r *runningDispatcher) {
	handover := r.pool.Resign()
	r.cancel()
	if r.lease == nil {
		return
	}
	if a, ok := m.successor(r.id); ok && r.authority(m.options.Clock.Now()).Mode == goose.ModeLeased {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply HandoverReply
		// If the call fails, the successor collects the permits from the holders.
		if err := m.options.PeerClient.Call(ctx, a.Address, KindHandover, handover, &reply); err == nil && reply.Accepted {
			gooseevent.PoolHandedOver.Log(m.options.Log, "pool", r.id.String(), "to", a.Instance, "permits", len(handover.Held))
		}
	}
	m.resignLease(r.lease)
}

// successor returns the first of the other candidates in the pool's rendezvous
// order.
func (m *Manager) successor(p goose.Pool) (goose.Member, bool) {
	c := m.options.Configuration.Current()
	id, ok := highestRendezvous(p.String(), m.candidates(c))
	if !ok {
		return goose.Member{}, false
	}
	for _, member := range m.options.Membership.Members() {
		if member.Instance == id {
			return member, true
		}
	}
	return goose.Member{}, false
}
