package goosedispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// passLimit is how long the first request in service order is passed over by
// smaller ones before replicas are kept free for it. Short enough that large
// prompts keep their guaranteed share, long enough that full replicas are not
// held back at each short burst.
const passLimit = 500 * time.Millisecond

// earmark keeps replicas free for one request that does not fit anywhere
// because smaller requests take each piece of capacity first.
type earmark struct {
	request  goose.RequestID
	replicas map[goose.ReplicaID]bool
}

func (e *earmark) clear() { e.request, e.replicas = "", nil }

func (e *earmark) is(id goose.RequestID) bool { return e.replicas != nil && e.request == id }

// drop ends the earmark of a request that no longer waits.
func (e *earmark) drop(id goose.RequestID) {
	if e.is(id) {
		e.clear()
	}
}

// lost ends the earmark if the replica is part of it.
func (e *earmark) lost(r *replica) {
	if e.replicas[r.id] {
		e.clear()
	}
}

// allows reports whether the replica may take the request.
func (e *earmark) allows(r *replica, id goose.RequestID) bool {
	return e.replicas == nil || e.request == id || !e.replicas[r.id]
}

// earmarkFirst chooses replicas for the first request in service order that
// has waited longer than passLimit. There is one earmark at a time, so that
// requests cannot hold parts of what each other needs.
func (p *Pool) earmarkFirst(a Authority, now time.Time) {
	if p.earmark.replicas != nil {
		if w := p.waiting[p.earmark.request]; w != nil && p.stillUsable(a, now) {
			return
		}
		p.earmark.clear()
	}
	var first *waiter
	for _, w := range p.waiting {
		if now.Sub(w.arrived) >= passLimit && len(w.polls) > 0 && (first == nil || earlier(w, first)) {
			first = w
		}
	}
	if first == nil {
		return
	}
	if set := p.reserve(first.request, a, now); set != nil {
		p.earmark = earmark{request: first.request.Request, replicas: set}
	}
}

func (p *Pool) stillUsable(a Authority, now time.Time) bool {
	for id := range p.earmark.replicas {
		if r := p.replicas[id]; r == nil || !p.usable(r, a, now) {
			return false
		}
	}
	return true
}

func earlier(a, b *waiter) bool {
	if a.arrived.Equal(b.arrived) {
		return a.request.Request < b.request.Request
	}
	return a.arrived.Before(b.arrived)
}

// reserve returns the replicas that will hold the request soonest once nothing
// new is placed on them; nil if no set of usable replicas can.
func (p *Pool) reserve(r goose.PermitRequest, a Authority, now time.Time) map[goose.ReplicaID]bool {
	set := p.eligible(r.Workspace)
	d := p.demand(r, p.grade(r))
	if d.Long && p.poolLongs >= p.longLimit() {
		return nil
	}
	avoid := p.avoided(r, set)
	pinned, isPinned := p.pins[r.Fingerprint]
	giant := r.Cost() > set.maxMemory
	var able []*replica
	for _, c := range set.replicas {
		switch {
		case !p.usable(c, a, now), slices.Contains(avoid, c.id), isPinned && c.id != pinned.replica:
		case !giant && d.Tokens > c.limits.TokenLimit():
		default:
			able = append(able, c)
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return backlog(able[i], d) < backlog(able[j], d) })
	left, chosen := r.Cost(), map[goose.ReplicaID]bool{}
	for _, c := range able {
		chosen[c.id] = true
		if left -= c.limits.TokenLimit(); left <= 0 {
			return chosen
		}
	}
	return nil
}

// backlog is the share of a replica's limits that must be released before the
// demand fits.
func backlog(r *replica, d gooselimit.Demand) float64 {
	b := float64(r.limits.Tokens()) / float64(max(1, r.limits.TokenLimit()))
	if d.Exclusive {
		b += float64(r.limits.Requests())
	}
	if d.Long {
		b += float64(r.limits.Longs())
	}
	return b
}
