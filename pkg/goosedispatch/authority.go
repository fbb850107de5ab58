package goosedispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// PromiseValidity is how long a peer's promise not to take the pool is valid, counted
// from before the request for it was sent.
const PromiseValidity = 2 * time.Second

// StoreState is the store's last response about the pool's lease key.
type StoreState string

// States of the lease key as seen by a dispatcher.
const (
	// LeaseConfirmed means that the last renewal succeeded.
	LeaseConfirmed StoreState = "confirms"
	// StoreUnresponsive means that the store does not respond.
	StoreUnresponsive StoreState = "silent"
	// LeaseLost means that the store responded that the key is absent or names
	// another lease holder.
	LeaseLost StoreState = "denies"
)

// AuthorityEvidence is the information from which a dispatcher decides what it may
// grant.
type AuthorityEvidence struct {
	Now  time.Time
	Self goose.InstanceID
	// LeaseDeadline is the lease deadline; zero for a caretaker without a lease.
	LeaseDeadline time.Time
	Store         StoreState
	// Members are the member instances of the data centre, Self included.
	Members []goose.InstanceID
	// Promises are, by member, the time just before the last call was sent that
	// the member replied with a promise.
	Promises map[goose.InstanceID]time.Time
	// Reachable are the members whose heartbeats have arrived recently.
	Reachable map[goose.InstanceID]bool
}

// Authority is what a dispatcher may grant now.
type Authority struct {
	Mode goose.DispatchMode
	// Owns restricts a degraded dispatcher to some of the replicas; nil is all.
	Owns func(goose.ReplicaID) bool
	// AllReachable is set if a degraded dispatcher reaches every member of the data
	// centre, so that no other part of it can own streams.
	AllReachable bool
	// Share is the share of the limits of a replica on which another dispatcher may
	// grant as well; nil means the full limits of each replica.
	Share func(goose.ReplicaID) gooselimit.Share
}

// allReachable reports whether every member is reachable.
func (e AuthorityEvidence) allReachable() bool {
	for _, m := range e.Members {
		if m != e.Self && !e.Reachable[m] {
			return false
		}
	}
	return true
}

// DecideAuthority returns the authority that the evidence supports. If a data centre is
// partitioned, one part may still reach the store. Its dispatcher holds the lease
// and grants on all replicas; a degraded dispatcher in the other part grants on the
// warm replicas that members of its part own. Each uses one half of the limits of
// these replicas, so that both together stay within the limits.
func DecideAuthority(e AuthorityEvidence) Authority {
	switch {
	case e.Store == LeaseLost:
		return Authority{Mode: goose.ModeStopped}
	case e.Now.Before(e.LeaseDeadline):
		return Authority{Mode: goose.ModeLeased, Share: e.leasedShare()}
	case !e.LeaseDeadline.IsZero() && e.consented():
		return Authority{Mode: goose.ModeConsented}
	}
	return Authority{Mode: goose.ModeDegraded, AllReachable: e.allReachable(), Owns: func(r goose.ReplicaID) bool {
		o, ok := Owner(r, e.Members)
		return ok && (o == e.Self || e.Reachable[o])
	}, Share: func(goose.ReplicaID) gooselimit.Share { return gooselimit.ShareSmaller }}
}

// leasedShare leaves one half of the limits of each replica whose owner is silent:
// the owner may be dead, or in another part with a degraded dispatcher.
func (e AuthorityEvidence) leasedShare() func(goose.ReplicaID) gooselimit.Share {
	if !slices.ContainsFunc(e.Members, e.silent) {
		return nil
	}
	return func(r goose.ReplicaID) gooselimit.Share {
		if o, ok := Owner(r, e.Members); ok && e.silent(o) {
			return gooselimit.ShareLarger
		}
		return gooselimit.ShareWhole
	}
}

func (e AuthorityEvidence) silent(m goose.InstanceID) bool { return m != e.Self && !e.Reachable[m] }

func (e AuthorityEvidence) consented() bool {
	for _, m := range e.Members {
		if m == e.Self {
			continue
		}
		at, ok := e.Promises[m]
		if !ok || e.Now.Sub(at) >= PromiseValidity {
			return false
		}
	}
	return true
}

// Owner returns the member with the largest rendezvous hash for the replica.
func Owner(r goose.ReplicaID, members []goose.InstanceID) (goose.InstanceID, bool) {
	return highestRendezvous(string(r), members)
}

func highestRendezvous(key string, members []goose.InstanceID) (goose.InstanceID, bool) {
	var best goose.InstanceID
	var weight uint64
	for i, m := range members {
		w := rendezvousHash(key, m)
		if i == 0 || w > weight || w == weight && m < best {
			best, weight = m, w
		}
	}
	return best, len(members) > 0
}

func rendezvousHash(key string, m goose.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(m))
}
