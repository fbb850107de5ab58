package gooseledger

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// KindOrderCommit is the kind of the peer call that commits a transaction on
// orders through the relaying instance.
const KindOrderCommit = "order-commit"

// relayTimeout bounds one call to the relay: a write waits about 40 ms there at
// the design target, and a dead relay must not use up the time of a claim.
const relayTimeout = time.Second

// relayPause is how long transactions go to the store directly after the relay,
// or the store behind it, did not answer.
const relayPause = 2 * time.Second

// CommitRequest asks the relay to commit one transaction.
type CommitRequest struct {
	Txn goose.Txn `cbor:"1,keyasint"`
}

// CommitReply answers a CommitRequest. Failure is empty, or one of the errors
// that a Store distinguishes, or another message.
type CommitReply struct {
	Succeeded bool   `cbor:"1,keyasint"`
	Revision  int64  `cbor:"2,keyasint"`
	Failure   string `cbor:"3,keyasint,omitempty"`
}

// relay sends transactions through the lowest-named live instance of the data
// centre, which batches them: a single instance rarely has two orders at a time
// in a large fleet. If the relay does not answer, the outcome is uncertain, and
// the repeat goes to the store directly.
type relay struct {
	members goose.Membership
	caller  goose.Caller
	direct  *batcher
	// prefixes are the keys that peers may change through this instance.
	prefixes []string
	// avoidUntil is a time by the monotonic clock; nil or past allows the relay.
	avoidUntil atomic.Pointer[time.Time]
}

// commit is Store.Commit through the relay or directly.
func (r *relay) commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	address, ok := r.target()
	if !ok {
		return r.direct.commit(ctx, txn)
	}
	res, err := r.ask(ctx, address, txn)
	if !unanswered(err) || ctx.Err() != nil {
		return res, err
	}
	until := time.Now().Add(relayPause)
	r.avoidUntil.Store(&until)
	if errors.Is(err, goose.ErrUnavailable) {
		// Certainly without effect; this instance may reach the store.
		return r.direct.commit(ctx, txn)
	}
	return res, err
}

func (r *relay) ask(ctx context.Context, address string, txn goose.Txn) (goose.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply CommitReply
	if err := r.caller.Call(ctx, address, KindOrderCommit, CommitRequest{Txn: txn}, &reply); err != nil {
		return goose.TxnResult{}, errors.Wrap(goose.ErrUncertain, "relay: "+err.Error())
	}
	return goose.TxnResult{Succeeded: reply.Succeeded, Revision: reply.Revision}, reply.err()
}

// target returns the address of the relay; false means this instance itself or
// none.
func (r *relay) target() (string, bool) {
	if r.caller == nil || r.members == nil {
		return "", false
	}
	if until := r.avoidUntil.Load(); until != nil && time.Now().Before(*until) {
		return "", false
	}
	m, self := lowest(r.members)
	return m.Address, !self && m.Address != ""
}

// lowest returns the lowest-named live instance of the own data centre, and
// whether it is this one.
func lowest(members goose.Membership) (goose.Member, bool) {
	self := members.Self()
	first := self
	for _, m := range members.Members() {
		if m.DataCentre == self.DataCentre && m.Live && !m.Leaving && m.Instance < first.Instance {
			first = m
		}
	}
	return first, first.Instance == self.Instance
}

// register adds the relaying side. Transactions of peers are never relayed
// again, so instances that disagree about the relay cannot form a loop.
func (r *relay) register(router goose.Router) {
	router.Handle(KindOrderCommit, func(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var req CommitRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		if err := r.check(req.Txn); err != nil {
			return nil, err
		}
		res, err := r.direct.commit(ctx, req.Txn)
		return newReply(res, err), nil
	})
}

// check refuses transactions that change anything but orders.
func (r *relay) check(t goose.Txn) error {
	for _, op := range t.Then {
		if !strings.HasPrefix(op.Key, r.prefixes[0]) && !strings.HasPrefix(op.Key, r.prefixes[1]) {
			return errors.Errorf("key %q is not one of an order", op.Key)
		}
	}
	return nil
}

// failures are the errors that keep their meaning on the way through a relay.
var failures = map[string]error{
	"unavailable": goose.ErrUnavailable,
	"uncertain":   goose.ErrUncertain,
	"lease-gone":  goose.ErrLeaseGone,
}

func newReply(res goose.TxnResult, err error) CommitReply {
	reply := CommitReply{Succeeded: res.Succeeded, Revision: res.Revision}
	if err == nil {
		return reply
	}
	reply.Failure = err.Error()
	for name, kind := range failures {
		if errors.Is(err, kind) {
			reply.Failure = name
		}
	}
	return reply
}

func (c CommitReply) err() error {
	if c.Failure == "" {
		return nil
	}
	if kind, ok := failures[c.Failure]; ok {
		return errors.Wrap(kind, "relay")
	}
	return errors.Errorf("relay: %s", c.Failure)
}
