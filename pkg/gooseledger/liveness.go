package gooseledger

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Liveness reports whether the run of an instance that began with the
// incarnation has certainly ended. claimed is when it claimed an order.
type Liveness func(i goose.InstanceID, incarnation int64, claimed time.Time) (dead bool)

// membersLiveness takes an instance for dead if it runs with a newer
// incarnation, or has not been a live member for the time after. Without
// members nothing counts as dead.
func membersLiveness(members goose.Membership, clock goose.Clock, after time.Duration) Liveness {
	if members == nil {
		return func(goose.InstanceID, int64, time.Time) bool { return false }
	}
	return func(i goose.InstanceID, incarnation int64, claimed time.Time) bool {
		now := clock.Now()
		for _, m := range members.Members() {
			if m.Instance != i {
				continue
			}
			if m.Incarnation > incarnation {
				return true
			}
			return !m.Live && now.Sub(m.Heard) >= after
		}
		// An instance that this one has not heard of yet may just have started.
		return now.Sub(claimed) >= after
	}
}

// dead reports whether the instance that claimed the order has certainly ended.
func (l *Ledger) dead(o goose.Order) bool {
	incarnation, ok := incarnationOf(o.Nonce)
	if !ok {
		return false
	}
	if o.Instance == l.o.Self {
		return incarnation < l.o.Incarnation
	}
	return l.o.Liveness(o.Instance, incarnation, o.Time)
}
