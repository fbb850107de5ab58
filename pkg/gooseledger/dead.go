package gooseledger

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// DeadFunc reports whether the process of instance i that started with the
// incarnation has certainly ended. claimed is when that process claimed an order.
type DeadFunc func(i goose.InstanceID, incarnation int64, claimed time.Time) (dead bool)

// newDeadFunc returns a DeadFunc that reports a process as dead if its
// instance runs with a newer incarnation, or has not been a live member for the
// time deadAfter. Without members, no process counts as dead.
func newDeadFunc(members goose.Membership, clock goose.Clock, deadAfter time.Duration) DeadFunc {
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
			return !m.Live && now.Sub(m.LastHeard) >= deadAfter
		}
		// An instance that is not in the member list yet may just have started.
		return now.Sub(claimed) >= deadAfter
	}
}

// claimantDead reports whether the process that claimed the order has certainly
// ended.
func (l *Ledger) claimantDead(o goose.Order) bool {
	incarnation, ok := incarnationOf(o.Nonce)
	if !ok {
		return false
	}
	if o.Instance == l.opts.Self {
		return incarnation < l.opts.Incarnation
	}
	return l.opts.IsDead(o.Instance, incarnation, o.Time)
}
