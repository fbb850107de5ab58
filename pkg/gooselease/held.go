package gooselease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Status is what is known about a key that this instance has acquired.
type Status string

// Statuses of an acquired key.
const (
	// StatusHeld means that the deadline has not passed.
	StatusHeld Status = "held"
	// StatusUnreachable means that the deadline passed while the store did not
	// respond: another instance may hold the key.
	StatusUnreachable Status = "unreachable"
	// StatusLost means that, according to the store, the key is absent or has
	// another holder.
	StatusLost Status = "lost"
	// StatusResigned means that the holder resigned.
	StatusResigned Status = "resigned"
)

// HeldLease is a key that this instance has acquired. It is renewed until it is lost
// or resigned, even while the store does not respond. It implements goose.Lease.
type HeldLease struct {
	campaigner *Campaigner
	key        string
	ownRecord  record
	lease      goose.LeaseID
	epoch      goose.Epoch

	deadline atomic.Pointer[time.Time]
	// ended is StatusLost or StatusResigned once Done is closed.
	ended   atomic.Pointer[Status]
	endOnce sync.Once
	done    chan struct{}
	cancel  context.CancelFunc
	// renewalsDone is closed when no renewal is in flight any more and none
	// follows.
	renewalsDone chan struct{}
}

func newHeld(c *Campaigner, key string, ownRecord record, lease goose.LeaseID, epoch goose.Epoch, deadline time.Time) *HeldLease {
	ctx, cancel := context.WithCancel(context.Background())
	h := &HeldLease{
		campaigner: c, key: key, ownRecord: ownRecord, lease: lease, epoch: epoch,
		done: make(chan struct{}), cancel: cancel, renewalsDone: make(chan struct{}),
	}
	h.deadline.Store(&deadline)
	go h.renewLoop(ctx)
	return h
}

// Key returns the key of the store.
func (h *HeldLease) Key() string { return h.key }

// Epoch implements goose.Lease.
func (h *HeldLease) Epoch() goose.Epoch { return h.epoch }

// Deadline implements goose.Lease; it is the zero time once lost or resigned.
func (h *HeldLease) Deadline() time.Time {
	if h.ended.Load() != nil {
		return time.Time{}
	}
	return *h.deadline.Load()
}

// Done returns a channel that is closed when the store reports that the key is
// lost, or by Resign. It stays open while the store does not respond.
func (h *HeldLease) Done() <-chan struct{} { return h.done }

// Status returns the current status. It compares the deadline with the clock on
// each call, so it is also correct in a process that was paused past the TTL.
func (h *HeldLease) Status() Status {
	if s := h.ended.Load(); s != nil {
		return *s
	}
	if h.campaigner.clock.Now().Before(*h.deadline.Load()) {
		return StatusHeld
	}
	return StatusUnreachable
}

// Resign releases the key, at once in this process and then in the store. An error
// means that the store did not confirm the revocation; the key then expires with its
// TTL.
func (h *HeldLease) Resign(ctx context.Context) error {
	h.end(StatusResigned)
	select {
	case <-h.renewalsDone:
	case <-ctx.Done():
	}
	return errors.Wrapf(h.campaigner.revoke(ctx, h.lease), "resign %s", h.key)
}

func (h *HeldLease) end(s Status) {
	h.endOnce.Do(func() {
		h.ended.Store(&s)
		h.cancel()
		close(h.done)
	})
}

// renewLoop renews the lease three times per TTL, and more often after a failure.
func (h *HeldLease) renewLoop(ctx context.Context) {
	defer close(h.renewalsDone)
	held := true
	wait := h.campaigner.ttl / 3
	for goose.Sleep(ctx, wait) {
		err := h.renewOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			wait = h.campaigner.ttl / 3
		case errors.Is(err, errLost):
			gooseevent.LeaseLost.Log(h.campaigner.logger, "key", h.key, "epoch", int64(h.epoch), "error", err)
			h.end(StatusLost)
			return
		default:
			wait = h.campaigner.ttl / 10
		}
		held = h.logReachability(held, err)
	}
}

// logReachability logs once when the deadline passes without a response from
// the store, and once when the lease is held again. It returns whether the
// lease is held.
func (h *HeldLease) logReachability(wasHeld bool, err error) bool {
	held := h.Status() == StatusHeld
	switch {
	case wasHeld && !held:
		gooseevent.LeaseNotRenewed.Log(h.campaigner.logger, "key", h.key, "epoch", int64(h.epoch), "error", err)
	case !wasHeld && held:
		gooseevent.LeaseRenewedAgain.Log(h.campaigner.logger, "key", h.key, "epoch", int64(h.epoch))
	}
	return held
}

// errLost means that, according to the store, this holder has lost the key.
var errLost = errors.New("lease lost")

// renewOnce renews the lease and extends the deadline, which counts from before
// the renewal was sent. If the previous deadline has passed, the key is read
// before the lease counts as held again.
func (h *HeldLease) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.campaigner.ttl/3)
	defer cancel()
	sent := h.campaigner.clock.Now()
	ttl, err := h.campaigner.store.KeepAlive(ctx, h.lease)
	if errors.Is(err, goose.ErrLeaseNotFound) {
		return errors.Wrap(errLost, err.Error())
	}
	if err != nil {
		return err
	}
	if !sent.Before(*h.deadline.Load()) {
		if err := h.confirmOwnership(ctx); err != nil {
			return err
		}
	}
	deadline := sent.Add(min(ttl, h.campaigner.ttl))
	h.deadline.Store(&deadline)
	return nil
}

// confirmOwnership reads the key, and returns errLost if it does not carry this
// holder's nonce and epoch.
func (h *HeldLease) confirmOwnership(ctx context.Context) error {
	revision, err := h.campaigner.createRevision(ctx, h.key, h.ownRecord.Nonce)
	var heldByOther *HeldByOtherError
	if errors.As(err, &heldByOther) || errors.Is(err, errAbsent) {
		return errors.Wrap(errLost, err.Error())
	}
	if err == nil && goose.Epoch(revision) != h.epoch {
		return errors.Wrapf(errLost, "epoch is %d", revision)
	}
	return err
}
