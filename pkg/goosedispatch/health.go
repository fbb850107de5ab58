package goosedispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// tickInterval is the resolution of deadlines, quarantines and passLimit.
	tickInterval = 100 * time.Millisecond
	// pollInterval is the time between two load reports of a replica.
	pollInterval = 500 * time.Millisecond
	// callTimeout bounds one call to a replica about itself.
	callTimeout = time.Second
	// lostMisses is the number of load polls in a row without an answer that
	// count as a lost connection; one slow answer under load does not.
	lostMisses = 3
	// inspectInterval is the time between two readings of a replica's own list
	// of streams.
	inspectInterval = 5 * time.Second
	// settleTime is the time in which a new dispatcher has polled its replicas.
	settleTime = 2 * time.Second
)

// Run polls replicas, expires requests and reclaims permits until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	var g conc.WaitGroup
	defer g.Wait()
	g.Go(func() { p.collect(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var polled, inspected time.Time
	for {
		now := p.d.Clock.Now()
		if now.Sub(polled) >= pollInterval {
			polled = now
			p.each(ctx, &g, func(*replica) bool { return true })
			p.watchCaches(ctx, &g)
		}
		if now.Sub(inspected) >= inspectInterval {
			inspected = now
			p.forget()
		}
		p.each(ctx, &g, func(r *replica) bool { return r.doubted })
		p.tick(ctx, &g, now)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// target is what a background call needs to know about a replica.
type target struct {
	replica  *replica
	address  string
	protocol goose.Protocol
	plain    bool
	// changes is the replica's count of process changes when the call began.
	changes int
	sent    time.Time
}

// each polls the chosen replicas that no background call is busy with.
func (p *Pool) each(ctx context.Context, g *conc.WaitGroup, chosen func(*replica) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	protocol := p.d.Protocol(p.service.Protocol)
	if protocol == nil {
		return
	}
	for _, r := range p.replicas {
		if r.busy || !chosen(r) {
			continue
		}
		r.busy, r.doubted = true, false
		t := target{replica: r, address: r.spec.Address, protocol: protocol, plain: p.service.Kind == goose.KindPlain, changes: r.changes, sent: p.d.Clock.Now()}
		g.Go(func() {
			p.poll(ctx, t)
			p.mu.Lock()
			defer p.mu.Unlock()
			t.replica.busy = false
		})
	}
}

// poll reads one replica's load report, and its streams when they are due.
func (p *Pool) poll(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := t.protocol.Load(ctx, t.address)
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	var status *goose.StatusError
	if err == nil || errors.As(err, &status) {
		p.pollCommand(ctx, t)
	}
	if p.loaded(t, report, err) {
		p.inspect(ctx, t)
	}
}

// loaded applies a load report; it returns whether the streams are to be read.
func (p *Pool) loaded(t target, l goose.LoadReport, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := t.replica
	if r.spec.Address != t.address {
		return false
	}
	now := p.d.Clock.Now()
	defer p.pumpReplicas(now, r)
	var status *goose.StatusError
	switch {
	case err == nil:
	case errors.As(err, &status):
		// The replica lives but gives no report.
		l = goose.LoadReport{}
	case errors.Is(err, goose.ErrNotSent), errors.Is(err, goose.ErrDisconnected):
		p.disconnected(r)
		return false
	default:
		if r.misses++; r.misses >= lostMisses {
			p.disconnected(r)
		}
		return false
	}
	r.misses = 0
	p.callsSeen(r, t.sent, now)
	if !p.polled(r, l.Process, t.changes) {
		return false
	}
	r.reachable, r.reported, r.coldReport = true, l.UsedKV, l.Cold
	if l.Cold {
		p.turnCold(r, "cold report")
	}
	p.confirmWarmth(r, now)
	due := now.Sub(r.inspectedAt) >= inspectInterval || !r.inspected || len(r.orphans) > 0
	return due && p.takeover.over(now, p.quarantine())
}

// disconnected notes a lost connection: the replica gets nothing until it
// answers again, and is cold then.
func (p *Pool) disconnected(r *replica) {
	if r.reachable {
		gooseevent.ReplicaLost.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", r.id)
		p.turnCold(r, "connection lost")
	}
	r.reachable, r.inspected = false, false
}

// inspect compares a replica's own list of streams with the permits.
func (p *Pool) inspect(ctx context.Context, t target) {
	if t.plain {
		// Plain services have no list; the quarantine lasts for their deadline.
		p.mu.Lock()
		defer p.mu.Unlock()
		t.replica.inspected, t.replica.inspectedAt = true, p.d.Clock.Now()
		p.pumpReplicas(t.replica.inspectedAt, t.replica)
		return
	}
	p.inspectHandles(ctx, t)
	streams, err := t.protocol.Streams(ctx, t.address)
	if err != nil {
		return
	}
	for _, id := range p.reconcile(t.replica, t.address, streams) {
		if err := t.protocol.Cancel(ctx, t.address, id); err != nil && !errors.Is(err, goose.ErrStreamGone) {
			continue
		}
		gooseevent.OrphanFreed.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", t.replica.id, "attempt", id)
		p.freeOrphan(t.replica, id)
	}
}
