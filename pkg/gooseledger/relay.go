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
// orders through the relay.
const KindOrderCommit = "order-commit"

// relayTimeout bounds one call to the relay. At the design load, a write waits
// there for about 40 ms; a dead relay must not use up the time of a claim.
const relayTimeout = time.Second

// relayBackoff is how long transactions bypass the relay after the relay, or the
// store behind it, did not respond.
const relayBackoff = 2 * time.Second

// CommitRequest asks the relay to commit one transaction.
type CommitRequest struct {
	Txn goose.Txn `cbor:"1,keyasint"`
}

// CommitReply is the reply to a CommitRequest. Failure is empty on success, the name of
// one of the errors that a Store distinguishes, or any other error message.
type CommitReply struct {
	Succeeded bool   `cbor:"1,keyasint"`
	Revision  int64  `cbor:"2,keyasint"`
	Failure   string `cbor:"3,keyasint,omitempty"`
}

// committer commits transactions through the relay of the data centre, which is
// its live instance with the lowest name. The relay batches the transactions of
// all instances, because in a large fleet a single instance rarely has two
// orders at the same time. If the relay does not reply, the outcome is
// uncertain, and the retry goes directly to the store.
type committer struct {
	members goose.Membership
	client  goose.PeerClient
	direct  *batcher
	// allowedPrefixes are the prefixes of the keys that peers may change
	// through this instance.
	allowedPrefixes []string
	// avoidUntil is the time, by the monotonic clock, until which the relay is
	// bypassed; nil if it has not been bypassed yet.
	avoidUntil atomic.Pointer[time.Time]
}

// commit has the contract of Store.Commit. It sends the transaction through the
// relay, or directly to the store.
func (c *committer) commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	address, ok := c.relayAddress()
	if !ok {
		return c.direct.commit(ctx, txn)
	}
	res, err := c.commitViaRelay(ctx, address, txn)
	if !noResponse(err) || ctx.Err() != nil {
		return res, err
	}
	until := time.Now().Add(relayBackoff)
	c.avoidUntil.Store(&until)
	if errors.Is(err, goose.ErrUnavailable) {
		// The transaction certainly had no effect, and this instance may reach
		// the store although the relay does not.
		return c.direct.commit(ctx, txn)
	}
	return res, err
}

func (c *committer) commitViaRelay(ctx context.Context, address string, txn goose.Txn) (goose.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply CommitReply
	if err := c.client.Call(ctx, address, KindOrderCommit, CommitRequest{Txn: txn}, &reply); err != nil {
		return goose.TxnResult{}, errors.Wrap(goose.ErrOutcomeUnknown, "relay: "+err.Error())
	}
	return goose.TxnResult{Succeeded: reply.Succeeded, Revision: reply.Revision}, reply.err()
}

// relayAddress returns the address of the relay. It returns false if this
// instance is the relay or there is no relay to use.
func (c *committer) relayAddress() (string, bool) {
	if c.client == nil || c.members == nil {
		return "", false
	}
	if until := c.avoidUntil.Load(); until != nil && time.Now().Before(*until) {
		return "", false
	}
	m, self := lowestLiveMember(c.members)
	return m.Address, !self && m.Address != ""
}

// lowestLiveMember returns the instance with the lowest name among this
// instance and the live members of its data centre that are not leaving, and
// whether it is this instance.
func lowestLiveMember(members goose.Membership) (goose.Member, bool) {
	self := members.Self()
	lowestMember := self
	for _, m := range members.Members() {
		if m.DataCentre == self.DataCentre && m.Live && !m.Leaving && m.Instance < lowestMember.Instance {
			lowestMember = m
		}
	}
	return lowestMember, lowestMember.Instance == self.Instance
}

// register adds the handler for transactions of peers. They are never forwarded
// to another relay, so instances that disagree about the relay cannot form a
// loop.
func (c *committer) register(router goose.PeerRouter) {
	router.Handle(KindOrderCommit, func(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var req CommitRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		if err := c.checkKeys(req.Txn); err != nil {
			return nil, err
		}
		res, err := c.direct.commit(ctx, req.Txn)
		return newCommitReply(res, err), nil
	})
}

// checkKeys returns an error for a transaction that changes a key outside the
// prefixes of orders.
func (c *committer) checkKeys(t goose.Txn) error {
	for _, op := range t.Then {
		if !strings.HasPrefix(op.Key, c.allowedPrefixes[0]) && !strings.HasPrefix(op.Key, c.allowedPrefixes[1]) {
			return errors.Errorf("key %q is not one of an order", op.Key)
		}
	}
	return nil
}

// errorsByFailure maps values of CommitReply.Failure to the store errors that
// callers can still distinguish after a call through the relay.
var errorsByFailure = map[string]error{
	"unavailable": goose.ErrUnavailable,
	"uncertain":   goose.ErrOutcomeUnknown,
	"lease-gone":  goose.ErrLeaseNotFound,
}

func newCommitReply(res goose.TxnResult, err error) CommitReply {
	reply := CommitReply{Succeeded: res.Succeeded, Revision: res.Revision}
	if err == nil {
		return reply
	}
	reply.Failure = err.Error()
	for name, storeErr := range errorsByFailure {
		if errors.Is(err, storeErr) {
			reply.Failure = name
		}
	}
	return reply
}

func (c CommitReply) err() error {
	if c.Failure == "" {
		return nil
	}
	if storeErr, ok := errorsByFailure[c.Failure]; ok {
		return errors.Wrap(storeErr, "relay")
	}
	return errors.Errorf("relay: %s", c.Failure)
}
