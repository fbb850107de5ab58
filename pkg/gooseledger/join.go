package gooseledger

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// KindOrderJoin is the kind of the peer call that waits for an order's outcome.
const KindOrderJoin = "order-join"

// Timing of WaitForOutcome.
const (
	// joinWait is the longest time for which the claiming instance holds one
	// peer call open.
	joinWait = 2 * time.Second
	// roundTripMargin is added to joinWait for the network round trip.
	roundTripMargin = time.Second
	// joinPollInterval is the pause between reads of the record while the
	// claiming instance does not reply. Polling ends at the order's deadline.
	joinPollInterval = 500 * time.Millisecond
)

// JoinRequest asks the claiming instance for the outcome of a claim.
type JoinRequest struct {
	Nonce string `cbor:"1,keyasint"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Known is false if the instance does not run the order, or no longer does.
	Known bool `cbor:"1,keyasint"`
	// Ended is false while the order runs; the calling instance asks again.
	Ended bool        `cbor:"2,keyasint"`
	Order goose.Order `cbor:"3,keyasint"`
}

// Register adds the handlers of the ledger's peer calls to r.
func (l *Ledger) Register(r goose.PeerRouter) {
	l.committer.register(r)
	r.Handle(KindOrderJoin, func(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var req JoinRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return l.awaitOutcome(ctx, req.Nonce), nil
	})
}

// awaitOutcome waits at most joinWait for the outcome of an order that this
// instance runs.
func (l *Ledger) awaitOutcome(ctx context.Context, nonce string) JoinReply {
	r := l.findRun(nonce)
	if r == nil {
		return JoinReply{}
	}
	t := time.NewTimer(joinWait)
	defer t.Stop()
	select {
	case <-r.done:
		return JoinReply{Known: true, Ended: true, Order: r.outcome}
	case <-t.C:
	case <-ctx.Done():
	}
	return JoinReply{Known: true}
}

// WaitForOutcome implements goose.Ledger. It returns ClaimRunning if ctx ends first. It
// returns ClaimUnavailable with an order in state not-run if the order ended
// without effect, so that it may be claimed again.
func (l *Ledger) WaitForOutcome(ctx context.Context, o goose.Order) goose.Claim {
	for ctx.Err() == nil {
		reply := l.requestOutcome(ctx, o)
		if reply.Ended {
			return l.claimResult(ctx, reply.Order, 0)
		}
		if reply.Known {
			continue
		}
		if c, ok := l.recordedOutcome(ctx, o); ok {
			return c
		}
		goose.Sleep(ctx, joinPollInterval)
	}
	return goose.Claim{Status: goose.ClaimRunning, Order: o}
}

// requestOutcome asks the claiming instance for the outcome. Without a reply
// it returns a zero JoinReply, as if the instance did not run the order.
func (l *Ledger) requestOutcome(ctx context.Context, o goose.Order) JoinReply {
	if o.Instance == l.opts.Self {
		return l.awaitOutcome(ctx, o.Nonce)
	}
	address, ok := l.peerAddress(o.Instance)
	if !ok || l.opts.PeerClient == nil {
		return JoinReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, joinWait+roundTripMargin)
	defer cancel()
	var reply JoinReply
	if err := l.opts.PeerClient.Call(ctx, address, KindOrderJoin, JoinRequest{Nonce: o.Nonce}, &reply); err != nil {
		return JoinReply{}
	}
	if reply.Ended && reply.Order.Nonce != o.Nonce {
		return JoinReply{}
	}
	return reply
}

func (l *Ledger) peerAddress(i goose.InstanceID) (string, bool) {
	if l.opts.Members == nil {
		return "", false
	}
	for _, m := range l.opts.Members.Members() {
		if m.Instance == i {
			return m.Address, m.Address != ""
		}
	}
	return "", false
}

// recordedOutcome reads the outcome from the store. It returns false if none is
// recorded yet or the record cannot be read.
func (l *Ledger) recordedOutcome(ctx context.Context, o goose.Order) (goose.Claim, bool) {
	e, ok, err := l.opts.Store.Get(ctx, l.keys.recordKey(o.Key))
	if err != nil || !ok {
		return goose.Claim{}, false
	}
	recorded, err := decodeOrder(e)
	if err != nil {
		return goose.Claim{}, false
	}
	c := l.claimResult(ctx, recorded, e.Lease)
	return c, c.Status != goose.ClaimRunning
}
