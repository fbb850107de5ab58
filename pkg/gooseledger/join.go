package gooseledger

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// KindOrderJoin is the kind of the peer call that waits for an order's outcome.
const KindOrderJoin = "order-join"

// Times of a join.
const (
	// joinWait is the longest wait of one peer call.
	joinWait = 2 * time.Second
	// joinMargin is added for the way there and back.
	joinMargin = time.Second
	// joinPoll is the pause between reads of the record when the claiming
	// instance does not answer; polling is bounded by the order's deadline.
	joinPoll = 500 * time.Millisecond
)

// JoinRequest asks the claiming instance for the outcome of a claim.
type JoinRequest struct {
	Nonce string `cbor:"1,keyasint"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// Known is false if the instance does not run the claim (any more).
	Known bool `cbor:"1,keyasint"`
	// Ended is false if the run goes on; ask again.
	Ended bool        `cbor:"2,keyasint"`
	Order goose.Order `cbor:"3,keyasint"`
}

// Register adds the ledger's peer calls.
func (l *Ledger) Register(r goose.Router) {
	l.batch.register(r)
	r.Handle(KindOrderJoin, func(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var req JoinRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return l.await(ctx, req.Nonce), nil
	})
}

// await waits at most joinWait for the outcome of a run of this instance.
func (l *Ledger) await(ctx context.Context, nonce string) JoinReply {
	r := l.find(nonce)
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

// Join implements goose.Ledger. It returns ClaimRunning if ctx ends first, and
// ClaimUnavailable with an order in state not-run if the run ended without
// effect, so that the order may be claimed anew.
func (l *Ledger) Join(ctx context.Context, o goose.Order) goose.Claim {
	for ctx.Err() == nil {
		reply := l.ask(ctx, o)
		if reply.Ended {
			return l.judge(ctx, reply.Order, 0)
		}
		if reply.Known {
			continue
		}
		if c, ok := l.recorded(ctx, o); ok {
			return c
		}
		goose.Sleep(ctx, joinPoll)
	}
	return goose.Claim{Status: goose.ClaimRunning, Order: o}
}

// ask asks the claiming instance; no answer is an unknown run.
func (l *Ledger) ask(ctx context.Context, o goose.Order) JoinReply {
	if o.Instance == l.o.Self {
		return l.await(ctx, o.Nonce)
	}
	address, ok := l.address(o.Instance)
	if !ok || l.o.Caller == nil {
		return JoinReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, joinWait+joinMargin)
	defer cancel()
	var reply JoinReply
	if err := l.o.Caller.Call(ctx, address, KindOrderJoin, JoinRequest{Nonce: o.Nonce}, &reply); err != nil {
		return JoinReply{}
	}
	if reply.Ended && reply.Order.Nonce != o.Nonce {
		return JoinReply{}
	}
	return reply
}

func (l *Ledger) address(i goose.InstanceID) (string, bool) {
	if l.o.Members == nil {
		return "", false
	}
	for _, m := range l.o.Members.Members() {
		if m.Instance == i {
			return m.Address, m.Address != ""
		}
	}
	return "", false
}

// recorded reads the outcome from the store; false if there is none yet.
func (l *Ledger) recorded(ctx context.Context, o goose.Order) (goose.Claim, bool) {
	e, ok, err := l.o.Store.Get(ctx, l.keys.record(o.Key))
	if err != nil || !ok {
		return goose.Claim{}, false
	}
	found, err := decode(e)
	if err != nil {
		return goose.Claim{}, false
	}
	c := l.judge(ctx, found, e.Lease)
	return c, c.Status != goose.ClaimRunning
}
