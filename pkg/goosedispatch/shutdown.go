package goosedispatch

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Shutdown resigns all pools: each stops granting, its state goes to the
// preferred successor, and the lease is given back. No pool is taken afterwards.
func (m *Manager) Shutdown(ctx context.Context) {
	m.mu.Lock()
	m.closing = true
	var all []*running
	for _, s := range m.states {
		if s.campaign != nil {
			s.campaign.cancel()
		}
		if s.running != nil {
			all = append(all, s.running)
			s.running = nil
		}
	}
	m.mu.Unlock()
	var g conc.WaitGroup
	for _, r := range all {
		g.Go(func() { m.handOver(ctx, r) })
	}
	g.Wait()
}

func (m *Manager) handOver(ctx context.Context, r *running) {
	h := r.pool.Resign()
	r.cancel()
	if r.held == nil {
		return
	}
	if a, ok := m.successor(r.id); ok && r.authority(m.o.Clock.Now()).Mode == goose.ModeLeased {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply HandoverReply
		// Without the state the successor learns it from the holders.
		if err := m.o.Caller.Call(ctx, a.Address, KindHandover, h, &reply); err == nil && reply.Accepted {
			gooseevent.PoolHandedOut.Log(m.o.Log, "pool", r.id.String(), "to", a.Instance, "permits", len(h.Held))
		}
	}
	m.resignLease(r.held)
}

// successor returns the other candidate that comes first for the pool.
func (m *Manager) successor(p goose.Pool) (goose.Member, bool) {
	c := m.o.Configuration.Current()
	id, ok := top(p.String(), m.candidates(c))
	if !ok {
		return goose.Member{}, false
	}
	for _, member := range m.o.Membership.Members() {
		if member.Instance == id {
			return member, true
		}
	}
	return goose.Member{}, false
}
