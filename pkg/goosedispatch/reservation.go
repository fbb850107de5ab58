package goosedispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// reservationDelay is how long smaller requests may overtake a waiting one before
// replicas are reserved for it. It is short enough that large prompts keep their
// guaranteed share, and long enough that a short burst does not keep capacity of
// full replicas unused.
const reservationDelay = 500 * time.Millisecond

// reservation keeps replicas free for one request that fits on no replica because
// smaller requests take the released capacity first.
type reservation struct {
	request  goose.RequestID
	replicas map[goose.ReplicaID]bool
}

func (v *reservation) clear() { v.request, v.replicas = "", nil }

func (v *reservation) isFor(id goose.RequestID) bool { return v.replicas != nil && v.request == id }

// drop ends the reservation of a request that no longer waits.
func (v *reservation) drop(id goose.RequestID) {
	if v.isFor(id) {
		v.clear()
	}
}

// dropReplica ends the reservation if the replica is part of it.
func (v *reservation) dropReplica(r *replica) {
	if v.replicas[r.id] {
		v.clear()
	}
}

// allows reports whether the request may be placed on the replica.
func (v *reservation) allows(r *replica, id goose.RequestID) bool {
	return v.replicas == nil || v.request == id || !v.replicas[r.id]
}

// reserveForOldest reserves replicas for the request that has waited longest, once
// its wait exceeds reservationDelay. There is one reservation at a time, so that
// two requests cannot each hold a part of what the other needs.
func (p *Pool) reserveForOldest(a Authority, now time.Time) {
	if p.reservation.replicas != nil {
		if w := p.waiting[p.reservation.request]; w != nil && p.reservationUsable(a, now) {
			return
		}
		p.reservation.clear()
	}
	var oldest *waiter
	for _, w := range p.waiting {
		if now.Sub(w.arrivedAt) >= reservationDelay && len(w.polls) > 0 && (oldest == nil || arrivedEarlier(w, oldest)) {
			oldest = w
		}
	}
	if oldest == nil {
		return
	}
	if set := p.chooseReserved(oldest.request, a, now); set != nil {
		p.reservation = reservation{request: oldest.request.Request, replicas: set}
	}
}

func (p *Pool) reservationUsable(a Authority, now time.Time) bool {
	for id := range p.reservation.replicas {
		if r := p.replicas[id]; r == nil || !p.usable(r, a, now) {
			return false
		}
	}
	return true
}

func arrivedEarlier(a, b *waiter) bool {
	if a.arrivedAt.Equal(b.arrivedAt) {
		return a.request.Request < b.request.Request
	}
	return a.arrivedAt.Before(b.arrivedAt)
}

// chooseReserved returns the replicas that will have room for the request soonest if
// nothing new is placed on them; nil if no set of usable replicas can hold it.
func (p *Pool) chooseReserved(r goose.PermitRequest, a Authority, now time.Time) map[goose.ReplicaID]bool {
	set := p.eligibleReplicas(r.Workspace)
	d := p.demand(r, p.grade(r))
	if d.Long && p.longPrefills >= p.longPrefillLimit() {
		return nil
	}
	avoid := p.replicasToAvoid(r, set)
	pinned, isPinned := p.pins[r.Fingerprint]
	giant := r.Cost() > set.maxMemory
	var able []*replica
	for _, c := range set.replicas {
		switch {
		case !p.usable(c, a, now), slices.Contains(avoid, c.id), isPinned && c.id != pinned.replica:
		case !giant && d.Tokens > c.limiter.TokenLimit():
		default:
			able = append(able, c)
		}
	}
	sort.SliceStable(able, func(i, j int) bool { return backlog(able[i], d) < backlog(able[j], d) })
	left, chosen := r.Cost(), map[goose.ReplicaID]bool{}
	for _, c := range able {
		chosen[c.id] = true
		if left -= c.limiter.TokenLimit(); left <= 0 {
			return chosen
		}
	}
	return nil
}

// backlog returns the fraction of a replica's limits that must be released before
// the demand fits.
func backlog(r *replica, d gooselimit.Demand) float64 {
	b := float64(r.limiter.Tokens()) / float64(max(1, r.limiter.TokenLimit()))
	if d.Exclusive {
		b += float64(r.limiter.Requests())
	}
	if d.Long {
		b += float64(r.limiter.LongPrefills())
	}
	return b
}
