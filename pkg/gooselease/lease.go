// Package gooselease lets at most one instance hold a key of the platform's
// store, by a lease that the holder renews.
package gooselease

import (
	"context"
	"crypto/rand"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// settleWait is the pause between attempts to settle a lost answer.
const settleWait = 50 * time.Millisecond

// HeldError tells that another holder has the key.
type HeldError struct {
	Key    string
	Holder Holder
}

// Error names the key and its holder.
func (e *HeldError) Error() string {
	return "lease " + e.Key + " is held by " + string(e.Holder.Instance)
}

// Holder is who holds a key, as the store says.
type Holder struct {
	Instance goose.InstanceID
	Epoch    goose.Epoch
}

// record is the value of a lease key. The nonce is drawn for each campaign and
// tells whose write took effect when its answer was lost.
type record struct {
	Instance goose.InstanceID `cbor:"1,keyasint"`
	Nonce    string           `cbor:"2,keyasint"`
}

// Campaigner campaigns for lease keys on behalf of one instance.
type Campaigner struct {
	store    goose.Store
	instance goose.InstanceID
	ttl      time.Duration
	logger   *slog.Logger
	clock    goose.Clock
}

// New returns a campaigner whose leases last ttl, in whole seconds (rounded up),
// without renewal.
func New(store goose.Store, instance goose.InstanceID, ttl time.Duration, logger *slog.Logger) *Campaigner {
	ttl = (ttl + time.Second - 1).Truncate(time.Second)
	return &Campaigner{store: store, instance: instance, ttl: ttl, logger: logger, clock: goose.SystemClock{}}
}

// WithClock returns a copy that reads the time from clock, which must carry a
// monotonic reading or be a test's.
func (c *Campaigner) WithClock(clock goose.Clock) *Campaigner {
	d := *c
	d.clock = clock
	return &d
}

// Campaign tries once to take the key. It returns a *HeldError if another
// holder has it, ErrUnavailable or ErrUncertain if the store does not answer
// until ctx ends or the TTL passes. A lost answer is settled by the key's nonce.
func (c *Campaigner) Campaign(ctx context.Context, key string) (*Held, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ttl)
	defer cancel()
	sent := c.clock.Now()
	id, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return nil, errors.Wrapf(err, "campaign for %s", key)
	}
	r := record{Instance: c.instance, Nonce: rand.Text()}
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrapf(err, "campaign for %s", key)
	}
	revision, err := c.create(ctx, key, value, r.Nonce, id)
	if err != nil {
		c.abandon(id)
		return nil, errors.Wrapf(err, "campaign for %s", key)
	}
	return newHeld(c, key, r, id, goose.Epoch(revision), sent.Add(c.ttl)), nil
}

// create writes the key if it is absent and returns its create revision. The
// same write is repeated after a lost answer: it cannot take effect twice, and
// a certain answer to the repeat settles the first one too.
func (c *Campaigner) create(ctx context.Context, key string, value []byte, nonce string, id goose.LeaseID) (int64, error) {
	txn := goose.Txn{
		If:   []goose.Compare{{Key: key}},
		Then: []goose.Op{goose.Put(key, value).WithLease(id)},
	}
	for {
		res, err := c.store.Commit(ctx, txn)
		if err == nil && res.Succeeded {
			return res.Revision, nil
		}
		if err == nil {
			revision, err := c.owned(ctx, key, nonce)
			if err == nil || !unanswered(err) && !errors.Is(err, errAbsent) {
				return revision, err
			}
		} else if !unanswered(err) {
			return 0, err
		}
		if !goose.Sleep(ctx, settleWait) {
			return 0, errors.Wrap(goose.ErrUncertain, "answer not settled in time")
		}
	}
}

// errAbsent means that nobody holds the key.
var errAbsent = errors.New("lease key absent")

// owned returns the create revision of the key if it carries the nonce, a
// *HeldError if it carries another, errAbsent if there is none.
func (c *Campaigner) owned(ctx context.Context, key, nonce string) (int64, error) {
	e, ok, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if !ok {
		return 0, errAbsent
	}
	r, err := decode(e.Value)
	if err != nil {
		return 0, errors.Wrapf(err, "lease key %s", key)
	}
	if r.Nonce != nonce {
		return 0, &HeldError{Key: key, Holder: Holder{Instance: r.Instance, Epoch: goose.Epoch(e.CreateRevision)}}
	}
	return e.CreateRevision, nil
}

// abandon revokes the lease of a failed campaign, so that a write that is still
// on its way cannot take the key.
func (c *Campaigner) abandon(id goose.LeaseID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.ttl)
		defer cancel()
		_ = c.revoke(ctx, id)
	}()
}

func (c *Campaigner) revoke(ctx context.Context, id goose.LeaseID) error {
	for {
		err := c.store.Revoke(ctx, id)
		if err == nil || errors.Is(err, goose.ErrLeaseGone) {
			return nil
		}
		if !unanswered(err) || !goose.Sleep(ctx, settleWait) {
			return err
		}
	}
}

// Holder returns who holds the key; false if nobody does.
func (c *Campaigner) Holder(ctx context.Context, key string) (Holder, bool, error) {
	e, ok, err := c.store.Get(ctx, key)
	if err != nil || !ok {
		return Holder{}, false, err
	}
	r, err := decode(e.Value)
	if err != nil {
		return Holder{}, false, errors.Wrapf(err, "lease key %s", key)
	}
	return Holder{Instance: r.Instance, Epoch: goose.Epoch(e.CreateRevision)}, true, nil
}

// AwaitFree returns once the key is absent, ctx ends, or the store stops
// answering. It waits on a watch, so it costs two calls to the store.
func (c *Campaigner) AwaitFree(ctx context.Context, key string) error {
	for {
		found, revision, err := c.store.List(ctx, key, 0)
		if err != nil {
			return errors.Wrapf(err, "await %s", key)
		}
		if !contains(found, key) {
			return nil
		}
		err = c.awaitDelete(ctx, key, revision+1)
		if err == nil || !errors.Is(err, goose.ErrCompacted) {
			return errors.Wrapf(err, "await %s", key)
		}
	}
}

func (c *Campaigner) awaitDelete(ctx context.Context, key string, from int64) error {
	w, err := c.store.Watch(ctx, key, from)
	if err != nil {
		return err
	}
	defer w.Close()
	for e := range w.Events() {
		if e.Deleted && e.Entry.Key == key {
			return nil
		}
	}
	if err := w.Err(); err != nil {
		return err
	}
	return errors.Wrap(goose.ErrUnavailable, "watch ended")
}

func contains(entries []goose.Entry, key string) bool {
	for _, e := range entries {
		if e.Key == key {
			return true
		}
	}
	return false
}

func decode(value []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return record{}, err
	}
	if r.Nonce == "" {
		return record{}, errors.New("record without nonce")
	}
	return r, nil
}

// unanswered reports whether the store gave no answer.
func unanswered(err error) bool {
	return errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrUncertain)
}
