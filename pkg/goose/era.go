package goose

import "cmp"

// StoreEra is how often the platform's store was restored from an older copy. A store that does
// not state it has era 0.
type StoreEra int64

// StoreRevision is a revision of the platform's store. Revisions are assigned again in each era,
// so a revision alone defines no order.
type StoreRevision struct {
	Era      StoreEra
	Revision int64
}

// Compare returns a negative number if r is before o, zero if they are equal, and otherwise a
// positive number.
func (r StoreRevision) Compare(o StoreRevision) int {
	if r.Era != o.Era {
		return cmp.Compare(r.Era, o.Era)
	}
	return cmp.Compare(r.Revision, o.Revision)
}

// After reports whether r is after o.
func (r StoreRevision) After(o StoreRevision) bool { return r.Compare(o) > 0 }

// EraTracker knows the newest era of the platform's store. Every response of the store passes it
// before its contents are used: if the era is the same before and after a call, the response is
// of that era.
type EraTracker interface {
	// Current returns the newest era.
	Current() StoreEra
	// Subscribe returns a channel that gets a value after each change of the era.
	Subscribe() <-chan struct{}
	// ObservePeer records an era that a peer has reported.
	ObservePeer(era StoreEra)
}
