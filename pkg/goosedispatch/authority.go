package goosedispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// PromiseValidity is how long a peer's promise not to take the pool counts,
// from before the call that asked for it was sent.
const PromiseValidity = 2 * time.Second

// StoreState is what the store last said about the pool's lease key.
type StoreState string

// States of the lease key as seen from a dispatcher.
const (
	// StoreConfirms means that the last renewal succeeded.
	StoreConfirms StoreState = "confirms"
	// StoreSilent means that the store does not answer.
	StoreSilent StoreState = "silent"
	// StoreDenies means that the store answered that the key is absent or names
	// another holder.
	StoreDenies StoreState = "denies"
)

// Evidence is what a dispatcher knows when it decides under which authority it
// grants.
type Evidence struct {
	Now  time.Time
	Self goose.InstanceID
	// Deadline is the lease deadline; zero for a caretaker without a lease.
	Deadline time.Time
	Store    StoreState
	// Members are the member instances of the data centre, itself included.
	Members []goose.InstanceID
	// Promises are the times before which the calls were sent that the members
	// answered with a promise.
	Promises map[goose.InstanceID]time.Time
	// Reachable are the members that were heard from lately.
	Reachable map[goose.InstanceID]bool
}

// Authority is the answer to the question what a dispatcher may grant now.
type Authority struct {
	Mode goose.DispatchMode
	// Owns limits a degraded dispatcher to a part of the replicas; nil is all.
	Owns func(goose.ReplicaID) bool
	// Whole is set if a degraded dispatcher hears every member of the data
	// centre: no other part of it can own streams.
	Whole bool
	// Share bounds the permits on a replica that another dispatcher may grant on
	// as well; nil is the whole of each.
	Share func(goose.ReplicaID) gooselimit.Share
}

// whole reports whether every member was heard from lately.
func (e Evidence) whole() bool {
	for _, m := range e.Members {
		if m != e.Self && !e.Reachable[m] {
			return false
		}
	}
	return true
}

// Decide returns the authority that the evidence supports. Of a data centre that
// is split in two, one part may still reach the store. Its dispatcher holds the
// lease and grants all replicas; a degraded one in the other part grants the warm
// ones that members of its part own. Each takes one half of the limits of these,
// so that both together stay within them.
func Decide(e Evidence) Authority {
	switch {
	case e.Store == StoreDenies:
		return Authority{Mode: goose.ModeStopped}
	case e.Now.Before(e.Deadline):
		return Authority{Mode: goose.ModeLeased, Share: e.leasedShare()}
	case !e.Deadline.IsZero() && e.consented():
		return Authority{Mode: goose.ModeConsented}
	}
	return Authority{Mode: goose.ModeDegraded, Whole: e.whole(), Owns: func(r goose.ReplicaID) bool {
		o, ok := Owner(r, e.Members)
		return ok && (o == e.Self || e.Reachable[o])
	}, Share: func(goose.ReplicaID) gooselimit.Share { return gooselimit.ShareSmaller }}
}

// leasedShare gives up a half of the replicas whose owner is a member that is
// not heard: it may be dead, or in another part with a degraded dispatcher.
func (e Evidence) leasedShare() func(goose.ReplicaID) gooselimit.Share {
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

func (e Evidence) silent(m goose.InstanceID) bool { return m != e.Self && !e.Reachable[m] }

func (e Evidence) consented() bool {
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
	return top(string(r), members)
}

func top(key string, members []goose.InstanceID) (goose.InstanceID, bool) {
	var best goose.InstanceID
	var weight uint64
	for i, m := range members {
		w := rendezvous(key, m)
		if i == 0 || w > weight || w == weight && m < best {
			best, weight = m, w
		}
	}
	return best, len(members) > 0
}

func rendezvous(key string, m goose.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(m))
}
