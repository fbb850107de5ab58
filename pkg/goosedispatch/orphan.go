package goosedispatch

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// reconcile counts the streams that belong to no permit against the limits and
// returns those that have no owner.
func (p *Pool) reconcile(r *replica, address string, streams []goose.RunningStream) []goose.AttemptID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.spec.Address != address {
		return nil
	}
	now := p.d.Clock.Now()
	defer p.pumpReplicas(now, r)
	listed := make(map[goose.AttemptID]bool, len(streams))
	for _, s := range streams {
		listed[s.ID] = true
		p.adopt(r, s, now)
	}
	for id := range r.orphans {
		if !listed[id] {
			p.removeOrphan(r, id)
		}
	}
	r.inspected, r.inspectedAt = true, now
	var old []goose.AttemptID
	for id, o := range r.orphans {
		if p.ownerless(o.since, now) {
			old = append(old, id)
		}
	}
	return old
}

// ownerless reports whether a stream or handle that was first seen without a
// permit at a time has no owner at all: every known instance has told since then
// what it holds, or each request that it can belong to is past its deadline. An
// instance that does not answer may be cut off and hold a permit of another
// dispatcher, which a degraded one assumes of members that it does not hear.
func (p *Pool) ownerless(since, now time.Time) bool {
	age := now.Sub(since)
	if age < goose.HolderTimeout || age >= p.service.Deadline {
		return age >= goose.HolderTimeout
	}
	a := p.authority(now)
	return !p.toldAll.Before(since) && (a.Mode != goose.ModeDegraded || a.Whole)
}

// adopt counts a stream without a permit. Its size is unknown, so that it
// takes the whole token limit of a cold replica until its output is whole. From
// then on it can take no more memory than the replica reports as used by all.
func (p *Pool) adopt(r *replica, s goose.RunningStream, now time.Time) {
	id := goose.PermitID(s.ID)
	if p.permits[id] != nil {
		return
	}
	if _, ok := r.orphans[s.ID]; !ok {
		if at, ok := p.released.at[id]; ok && now.Sub(at) < goose.HolderTimeout {
			return
		}
		r.orphans[s.ID] = &orphan{since: now}
		r.limits.Add(id, gooselimit.Demand{Tokens: max(s.Tokens, r.spec.ColdTokens), Foreign: true})
	}
	if s.Done {
		r.limits.Complete(id, max(s.Tokens, r.memoryUsed()))
	}
}

// memoryUsed returns the tokens that the replica reported as used, or all of its
// memory if it reports none.
func (r *replica) memoryUsed() int {
	if r.reported > 0 {
		return r.reported
	}
	return r.spec.MemoryTokens
}

func (p *Pool) removeOrphan(r *replica, id goose.AttemptID) {
	delete(r.orphans, id)
	r.limits.Remove(goose.PermitID(id), false)
}

func (p *Pool) freeOrphan(r *replica, id goose.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := r.orphans[id]; ok {
		p.removeOrphan(r, id)
		p.pumpReplicas(p.d.Clock.Now(), r)
	}
}

// inspectHandles deletes the exported KV caches of a replica that have no owner.
// The instance that would delete them may have died, and nothing else ends a
// handle.
func (p *Pool) inspectHandles(ctx context.Context, t target) {
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
	for _, h := range p.orphanHandles(t.replica, t.address, handles) {
		if err := mover.DeleteKV(ctx, h); err != nil {
			continue
		}
		gooseevent.HandleFreed.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", t.replica.id, "attempt", h.Attempt, "tokens", h.Tokens)
	}
}

// orphanHandles notes the handles without a permit and returns those without an
// owner. A
// handle that does not name its attempt has no owner once it is older than the
// deadline of any request that could use it.
func (p *Pool) orphanHandles(r *replica, address string, handles []goose.KVHandle) []goose.KVHandle {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.Clock.Now()
	if r.spec.Address != address {
		return nil
	}
	since := make(map[string]time.Time, len(handles))
	var old []goose.KVHandle
	for _, h := range handles {
		if h.Attempt != "" && p.permits[goose.PermitID(h.Attempt)] != nil {
			continue
		}
		at, known := r.handles[h.ID]
		if !known {
			at = now
		}
		since[h.ID] = at
		if p.ownerless(at, now) && (h.Attempt != "" || now.Sub(at) >= p.service.Deadline) {
			old = append(old, h)
		}
	}
	r.handles = since
	return old
}
