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

// Status tells what is known of a held key.
type Status string

// Statuses of a held key.
const (
	// StatusHeld means that the deadline has not passed.
	StatusHeld Status = "held"
	// StatusUnreachable means that the deadline passed while the store gave no
	// answer: another instance may hold the key.
	StatusUnreachable Status = "unreachable"
	// StatusLost means that the store says that the key is absent or another's.
	StatusLost Status = "lost"
	// StatusResigned means that the holder gave the key up.
	StatusResigned Status = "resigned"
)

// Held is a key that this instance took. It is renewed until it is lost or
// resigned, also while the store does not answer. It implements goose.Lease.
type Held struct {
	c     *Campaigner
	key   string
	own   record
	lease goose.LeaseID
	epoch goose.Epoch

	deadline atomic.Pointer[time.Time]
	// ended is StatusLost or StatusResigned once Done is closed.
	ended atomic.Pointer[Status]
	once  sync.Once
	done  chan struct{}
	stop  context.CancelFunc
	// stopped is closed when no renewal is under way any more.
	stopped chan struct{}
}

func newHeld(c *Campaigner, key string, own record, lease goose.LeaseID, epoch goose.Epoch, deadline time.Time) *Held {
	ctx, stop := context.WithCancel(context.Background())
	h := &Held{
		c: c, key: key, own: own, lease: lease, epoch: epoch,
		done: make(chan struct{}), stop: stop, stopped: make(chan struct{}),
	}
	h.deadline.Store(&deadline)
	go h.renew(ctx)
	return h
}

// Key returns the key of the store.
func (h *Held) Key() string { return h.key }

// Epoch implements goose.Lease.
func (h *Held) Epoch() goose.Epoch { return h.epoch }

// Deadline implements goose.Lease; it is the zero time once lost or resigned.
func (h *Held) Deadline() time.Time {
	if h.ended.Load() != nil {
		return time.Time{}
	}
	return *h.deadline.Load()
}

// Done is closed when the store says that the key is lost, or on Resign. It
// stays open while the store does not answer.
func (h *Held) Done() <-chan struct{} { return h.done }

// Status tells what is known now. It compares the deadline with the clock on
// each call, so it is right in a process that was paused past the TTL.
func (h *Held) Status() Status {
	if s := h.ended.Load(); s != nil {
		return *s
	}
	if h.c.clock.Now().Before(*h.deadline.Load()) {
		return StatusHeld
	}
	return StatusUnreachable
}

// Resign gives the key up: at once on this side, then in the store. An error
// means that the store did not confirm; the key then expires with its TTL.
func (h *Held) Resign(ctx context.Context) error {
	h.end(StatusResigned)
	select {
	case <-h.stopped:
	case <-ctx.Done():
	}
	return errors.Wrapf(h.c.revoke(ctx, h.lease), "resign %s", h.key)
}

func (h *Held) end(s Status) {
	h.once.Do(func() {
		h.ended.Store(&s)
		h.stop()
		close(h.done)
	})
}

// renew keeps the lease alive three times per TTL and tries more often after a
// failure.
func (h *Held) renew(ctx context.Context) {
	defer close(h.stopped)
	reachable := true
	wait := h.c.ttl / 3
	for goose.Sleep(ctx, wait) {
		err := h.renewOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			wait = h.c.ttl / 3
		case errors.Is(err, errLost):
			gooseevent.LeaseLost.Log(h.c.logger, "key", h.key, "epoch", int64(h.epoch), "error", err)
			h.end(StatusLost)
			return
		default:
			wait = h.c.ttl / 10
		}
		reachable = h.note(reachable, err)
	}
}

// note logs once when the deadline passes without an answer, and once when the
// store answers again.
func (h *Held) note(reachable bool, err error) bool {
	now := h.Status() == StatusHeld
	switch {
	case reachable && !now:
		gooseevent.LeaseUnreachable.Log(h.c.logger, "key", h.key, "epoch", int64(h.epoch), "error", err)
	case !reachable && now:
		gooseevent.LeaseRegained.Log(h.c.logger, "key", h.key, "epoch", int64(h.epoch))
	}
	return now
}

// errLost means that the store says that the key is not this holder's.
var errLost = errors.New("lease lost")

// renewOnce extends the deadline, counted from before the renewal was sent. If
// the deadline had passed, the key is read before the lease counts as held.
func (h *Held) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.c.ttl/3)
	defer cancel()
	sent := h.c.clock.Now()
	ttl, err := h.c.store.KeepAlive(ctx, h.lease)
	if errors.Is(err, goose.ErrLeaseGone) {
		return errors.Wrap(errLost, err.Error())
	}
	if err != nil {
		return err
	}
	if !sent.Before(*h.deadline.Load()) {
		if err := h.confirm(ctx); err != nil {
			return err
		}
	}
	deadline := sent.Add(min(ttl, h.c.ttl))
	h.deadline.Store(&deadline)
	return nil
}

// confirm reads whether the key still carries this holder's nonce.
func (h *Held) confirm(ctx context.Context) error {
	revision, err := h.c.owned(ctx, h.key, h.own.Nonce)
	var other *HeldError
	if errors.As(err, &other) || errors.Is(err, errAbsent) {
		return errors.Wrap(errLost, err.Error())
	}
	if err == nil && goose.Epoch(revision) != h.epoch {
		return errors.Wrapf(errLost, "epoch is %d", revision)
	}
	return err
}
