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
	// tickInterval is the resolution of deadlines, quarantines and
	// reservationDelay.
	tickInterval = 100 * time.Millisecond
	// pollInterval is the time between two load reports of a replica.
	pollInterval = 500 * time.Millisecond
	// callTimeout bounds one background call to a replica, a peer or the store.
	callTimeout = time.Second
	// maxMissedPolls is the number of load polls in a row without a response that
	// count as a lost connection; one slow response under load does not.
	maxMissedPolls = 3
	// inspectInterval is the time between two reads of a replica's own list of
	// streams.
	inspectInterval = 5 * time.Second
	// settleTime is the time after which a new dispatcher has polled all its
	// replicas.
	settleTime = 2 * time.Second
)

// Run collects permits, polls replicas, expires requests and reclaims permits
// until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	var g conc.WaitGroup
	defer g.Wait()
	g.Go(func() { p.collectLoop(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var polled, inspected time.Time
	for {
		now := p.deps.Clock.Now()
		if now.Sub(polled) >= pollInterval {
			polled = now
			p.pollReplicas(ctx, &g, func(*replica) bool { return true })
			p.watchCaches(ctx, &g)
		}
		if now.Sub(inspected) >= inspectInterval {
			inspected = now
			p.removeUnconfigured()
		}
		p.pollReplicas(ctx, &g, func(r *replica) bool { return r.pollRequested })
		p.tick(ctx, &g, now)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollTarget is the state of a replica that a background poll needs, as of the
// start of the poll.
type pollTarget struct {
	replica  *replica
	address  string
	protocol goose.Protocol
	plain    bool
	// processChanges is the replica's count of process changes.
	processChanges int
	sentAt         time.Time
}

// pollReplicas starts a poll of each chosen replica that is not being polled.
func (p *Pool) pollReplicas(ctx context.Context, g *conc.WaitGroup, chosen func(*replica) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	protocol := p.deps.Protocol(p.service.Protocol)
	if protocol == nil {
		return
	}
	for _, r := range p.replicas {
		if r.polling || !chosen(r) {
			continue
		}
		r.polling, r.pollRequested = true, false
		t := pollTarget{replica: r, address: r.spec.Address, protocol: protocol, plain: p.service.Kind == goose.KindPlain, processChanges: r.processChanges, sentAt: p.deps.Clock.Now()}
		g.Go(func() {
			p.poll(ctx, t)
			p.mu.Lock()
			defer p.mu.Unlock()
			t.replica.polling = false
		})
	}
}

// poll reads a replica's load report, its last command and its streams, the latter
// two when they are due.
func (p *Pool) poll(ctx context.Context, t pollTarget) {
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
	if p.applyLoadReport(t, report, err) {
		p.inspectStreams(ctx, t)
	}
}

// applyLoadReport applies the result of a load poll. It returns whether the streams
// are due to be read.
func (p *Pool) applyLoadReport(t pollTarget, l goose.LoadReport, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := t.replica
	if r.spec.Address != t.address {
		return false
	}
	now := p.deps.Clock.Now()
	defer p.grantWaitingOn(now, r)
	var status *goose.StatusError
	switch {
	case err == nil:
	case errors.As(err, &status):
		// The replica is alive but has no load report.
		l = goose.LoadReport{Wish: status.Wish}
	case errors.Is(err, goose.ErrNotSent), errors.Is(err, goose.ErrDisconnected):
		if t.plain {
			// Only its responses show the process of a plain service, and it gets no requests
			// while it leaves.
			r.wishes.leavingUntil = time.Time{}
		}
		p.markDisconnected(r)
		return false
	default:
		if r.missedPolls++; r.missedPolls >= maxMissedPolls {
			p.markDisconnected(r)
		}
		return false
	}
	r.missedPolls = 0
	p.recordCallStarts(r, t.sentAt, now)
	if !p.observePolledProcess(r, l.Process, t.processChanges) {
		return false
	}
	r.reachable, r.reportedTokens, r.reportedCold = true, l.UsedKV, l.Cold
	if l.Cold {
		p.resetToCold(r, "cold report")
	}
	p.recordWish(r, l.Wish, now)
	p.applyWarmEvidence(r, now)
	due := now.Sub(r.inspectedAt) >= inspectInterval || !r.inspected || len(r.orphans) > 0
	return due && p.takeover.quarantineOver(now, p.quarantine())
}

// markDisconnected records a lost connection: the replica gets no requests until it
// responds again, and is cold then.
func (p *Pool) markDisconnected(r *replica) {
	if r.reachable {
		gooseevent.ReplicaUnreachable.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", r.id)
		p.resetToCold(r, "connection lost")
	}
	r.reachable, r.inspected = false, false
}

// inspectStreams compares a replica's own list of streams with the permits.
func (p *Pool) inspectStreams(ctx context.Context, t pollTarget) {
	if t.plain {
		// A plain service has no list of streams. Its quarantine has lasted until
		// every earlier request was past its deadline.
		p.mu.Lock()
		defer p.mu.Unlock()
		t.replica.inspected, t.replica.inspectedAt = true, p.deps.Clock.Now()
		p.grantWaitingOn(t.replica.inspectedAt, t.replica)
		return
	}
	p.deleteOrphanHandles(ctx, t)
	streams, err := t.protocol.Streams(ctx, t.address)
	if err != nil {
		return
	}
	for _, id := range p.reconcile(t.replica, t.address, streams) {
		if err := t.protocol.Cancel(ctx, t.address, id); err != nil && !errors.Is(err, goose.ErrStreamNotFound) {
			continue
		}
		gooseevent.OrphanStreamCancelled.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", t.replica.id, "attempt", id)
		p.freeOrphan(t.replica, id)
	}
}
