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

// retryPause is the pause between retries of a call that got no response.
const retryPause = 50 * time.Millisecond

// HeldByOtherError means that another holder has the key.
type HeldByOtherError struct {
	Key    string
	Holder Holder
}

// Error names the key and its holder.
func (e *HeldByOtherError) Error() string {
	return "lease " + e.Key + " is held by " + string(e.Holder.Instance)
}

// Holder is the holder of a key, according to the store.
type Holder struct {
	Instance goose.InstanceID
	Epoch    goose.Epoch
}

// record is the value of a lease key. The nonce is drawn for each campaign; it
// identifies the write that took effect when a response was lost.
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

// New returns a campaigner whose leases expire ttl after their last renewal. ttl
// is rounded up to whole seconds.
func New(store goose.Store, instance goose.InstanceID, ttl time.Duration, logger *slog.Logger) *Campaigner {
	ttl = (ttl + time.Second - 1).Truncate(time.Second)
	return &Campaigner{store: store, instance: instance, ttl: ttl, logger: logger, clock: goose.SystemClock{}}
}

// WithClock returns a copy that reads the time from clock. Outside tests, its
// times must carry a monotonic reading.
func (c *Campaigner) WithClock(clock goose.Clock) *Campaigner {
	campaigner := *c
	campaigner.clock = clock
	return &campaigner
}

// Campaign tries once to acquire the key. It returns a *HeldByOtherError if another
// holder has the key, and ErrUnavailable or ErrOutcomeUnknown if the store does not
// respond before ctx ends or the TTL passes. After a lost response, the nonce in
// the key shows whether the write took effect.
func (c *Campaigner) Campaign(ctx context.Context, key string) (*HeldLease, error) {
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
	revision, err := c.createKey(ctx, key, value, r.Nonce, id)
	if err != nil {
		c.revokeInBackground(id)
		return nil, errors.Wrapf(err, "campaign for %s", key)
	}
	return newHeld(c, key, r, id, goose.Epoch(revision), sent.Add(c.ttl)), nil
}

// createKey writes the key if it is absent and returns its create revision.
// After a lost response it repeats the same write: the write cannot take effect
// twice, and a definite response to the retry decides the first write too.
func (c *Campaigner) createKey(ctx context.Context, key string, value []byte, nonce string, id goose.LeaseID) (int64, error) {
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
			revision, err := c.createRevision(ctx, key, nonce)
			if err == nil || !noResponse(err) && !errors.Is(err, errAbsent) {
				return revision, err
			}
		} else if !noResponse(err) {
			return 0, err
		}
		if !goose.Sleep(ctx, retryPause) {
			return 0, errors.Wrap(goose.ErrOutcomeUnknown, "store did not respond in time")
		}
	}
}

// errAbsent means that the key has no holder.
var errAbsent = errors.New("lease key absent")

// createRevision returns the create revision of the key if it carries the
// nonce, a *HeldByOtherError if it carries another nonce, and errAbsent if the key is
// absent.
func (c *Campaigner) createRevision(ctx context.Context, key, nonce string) (int64, error) {
	e, ok, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if !ok {
		return 0, errAbsent
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		return 0, errors.Wrapf(err, "lease key %s", key)
	}
	if r.Nonce != nonce {
		return 0, &HeldByOtherError{Key: key, Holder: Holder{Instance: r.Instance, Epoch: goose.Epoch(e.CreateRevision)}}
	}
	return e.CreateRevision, nil
}

// revokeInBackground revokes the lease of a failed campaign in the background,
// so that a write that is still in flight cannot acquire the key.
func (c *Campaigner) revokeInBackground(id goose.LeaseID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.ttl)
		defer cancel()
		_ = c.revoke(ctx, id)
	}()
}

func (c *Campaigner) revoke(ctx context.Context, id goose.LeaseID) error {
	for {
		err := c.store.Revoke(ctx, id)
		if err == nil || errors.Is(err, goose.ErrLeaseNotFound) {
			return nil
		}
		if !noResponse(err) || !goose.Sleep(ctx, retryPause) {
			return err
		}
	}
}

// Holder returns the holder of the key, and false if there is none.
func (c *Campaigner) Holder(ctx context.Context, key string) (Holder, bool, error) {
	e, ok, err := c.store.Get(ctx, key)
	if err != nil || !ok {
		return Holder{}, false, err
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		return Holder{}, false, errors.Wrapf(err, "lease key %s", key)
	}
	return Holder{Instance: r.Instance, Epoch: goose.Epoch(e.CreateRevision)}, true, nil
}

// AwaitFree returns once the key is absent, ctx ends, or the store stops
// responding. It waits on a watch, so it costs two calls to the store.
func (c *Campaigner) AwaitFree(ctx context.Context, key string) error {
	for {
		found, revision, err := c.store.List(ctx, key, 0)
		if err != nil {
			return errors.Wrapf(err, "await %s", key)
		}
		if !containsKey(found, key) {
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

func containsKey(entries []goose.Entry, key string) bool {
	for _, e := range entries {
		if e.Key == key {
			return true
		}
	}
	return false
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return record{}, err
	}
	if r.Nonce == "" {
		return record{}, errors.New("record without nonce")
	}
	return r, nil
}

// noResponse reports whether err means that the store did not respond.
func noResponse(err error) bool {
	return errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown)
}
