package goosedispatch

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// rewatchDelay is the delay before a broken watch of cache events is restarted.
const rewatchDelay = time.Second

// ObserveCacheEvent passes a cache event of a replica to the routing policy.
func (p *Pool) ObserveCacheEvent(id goose.ReplicaID, e goose.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.replicas[id]; ok {
		p.deps.Policy.ObserveCacheEvent(id, e)
	}
}

// watchCaches starts a watch of cache events for each reachable replica that has
// none, if the protocol delivers cache events.
func (p *Pool) watchCaches(ctx context.Context, g *conc.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.deps.Protocol(p.service.Protocol).(goose.CacheEventSource)
	if !ok {
		return
	}
	for _, r := range p.configuredReplicas {
		if r.stopWatch != nil || !r.reachable {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		r.stopWatch = cancel
		address := r.spec.Address
		g.Go(func() { p.watchCache(ctx, w, r, address) })
	}
}

func (p *Pool) watchCache(ctx context.Context, w goose.CacheEventSource, r *replica, address string) {
	// The error is ignored: a broken watch is a gap in the sequence of events,
	// which the policy detects.
	_ = w.CacheEvents(ctx, address, func(e goose.CacheEvent) { p.ObserveCacheEvent(r.id, e) })
	t := time.NewTimer(rewatchDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.stopWatch()
	r.stopWatch = nil
}
