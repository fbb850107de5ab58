package goosedispatch

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// reconcile counts the streams that belong to no permit against the limits, and
// returns those that have no owner and can be cancelled.
func (p *Pool) reconcile(r *replica, address string, streams []goose.RunningStream) []goose.AttemptID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.spec.Address != address {
		return nil
	}
	now := p.deps.Clock.Now()
	defer p.grantWaitingOn(now, r)
	listed := make(map[goose.AttemptID]bool, len(streams))
	for _, s := range streams {
		listed[s.ID] = true
		p.countOrphan(r, s, now)
	}
	for id := range r.orphans {
		if !listed[id] {
			p.removeOrphan(r, id)
		}
	}
	r.inspected, r.inspectedAt = true, now
	var ownerless []goose.AttemptID
	for id, o := range r.orphans {
		if p.ownerless(o.firstSeen, now) {
			ownerless = append(ownerless, id)
		}
	}
	return ownerless
}

// ownerless reports whether a stream or handle has no owner; since is when it was
// first seen without a permit. It has none if every known instance has reported its
// permits after that time, or if each request that it can belong to is past its
// deadline. An instance that does not reply may be partitioned and hold a permit of
// another dispatcher; a degraded dispatcher assumes so of silent members.
func (p *Pool) ownerless(since, now time.Time) bool {
	age := now.Sub(since)
	if age < goose.HolderTimeout || age >= p.service.Deadline {
		return age >= goose.HolderTimeout
	}
	a := p.authority(now)
	return !p.allCollectedSince.Before(since) && (a.Mode != goose.ModeDegraded || a.AllReachable)
}

// countOrphan counts a stream without a permit. The size of the stream is unknown, so
// that it takes the whole token limit of a cold replica until its output is complete.
// From then on it cannot use more memory than the replica reports as used in total.
func (p *Pool) countOrphan(r *replica, s goose.RunningStream, now time.Time) {
	id := goose.PermitID(s.ID)
	if p.permits[id] != nil {
		return
	}
	if _, ok := r.orphans[s.ID]; !ok {
		if at, ok := p.released.at[id]; ok && now.Sub(at) < goose.HolderTimeout {
			return
		}
		r.orphans[s.ID] = &orphanStream{firstSeen: now}
		r.limiter.Add(id, gooselimit.Demand{Tokens: max(s.Tokens, r.spec.ColdTokens), Foreign: true})
	}
	if s.Done {
		r.limiter.CompleteOutput(id, max(s.Tokens, r.memoryUsed()))
	}
}

// memoryUsed returns the memory in tokens that the replica reports as used, or all of
// its memory if it reports none.
func (r *replica) memoryUsed() int {
	if r.reportedTokens > 0 {
		return r.reportedTokens
	}
	return r.spec.MemoryTokens
}

func (p *Pool) removeOrphan(r *replica, id goose.AttemptID) {
	delete(r.orphans, id)
	r.limiter.Remove(goose.PermitID(id), false)
}

func (p *Pool) freeOrphan(r *replica, id goose.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := r.orphans[id]; ok {
		p.removeOrphan(r, id)
		p.grantWaitingOn(p.deps.Clock.Now(), r)
	}
}

// deleteOrphanHandles deletes the exported KV caches of a replica that have no owner.
// The instance that would delete them may have died, and handles do not expire.
func (p *Pool) deleteOrphanHandles(ctx context.Context, t pollTarget) {
	lister, ok := t.protocol.(goose.KVLister)
	if !ok {
		return
	}
	mover, ok := t.protocol.(goose.KVMover)
	if !ok {
		return
	}
	handles, err := lister.Handles(ctx, t.address)
	if err != nil {
		return
	}
	for _, h := range p.ownerlessHandles(t.replica, t.address, handles) {
		if err := mover.DeleteKV(ctx, h); err != nil {
			continue
		}
		gooseevent.OrphanHandleDeleted.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", t.replica.id, "attempt", h.Attempt, "tokens", h.Tokens)
	}
}

// ownerlessHandles records the handles without a permit and returns those without an
// owner. A handle that does not name its attempt has no owner once it is older than
// the deadline of any request that could use it.
func (p *Pool) ownerlessHandles(r *replica, address string, handles []goose.KVHandle) []goose.KVHandle {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	if r.spec.Address != address {
		return nil
	}
	since := make(map[string]time.Time, len(handles))
	var ownerless []goose.KVHandle
	for _, h := range handles {
		if h.Attempt != "" && p.permits[goose.PermitID(h.Attempt)] != nil {
			continue
		}
		at, known := r.orphanHandles[h.ID]
		if !known {
			at = now
		}
		since[h.ID] = at
		if p.ownerless(at, now) && (h.Attempt != "" || now.Sub(at) >= p.service.Deadline) {
			ownerless = append(ownerless, h)
		}
	}
	r.orphanHandles = since
	return ownerless
}
