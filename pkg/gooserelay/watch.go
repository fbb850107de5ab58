package gooserelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// gapWait is how long an update may be missing before it is read from the store: its
	// datagrams may be late, or lost and sent again.
	gapWait = 300 * time.Millisecond
	// gapPollDivisor gives the least time between two reads of missing updates as a part of
	// the bound for changes.
	gapPollDivisor = 4
	// firstPollWait is how long the store may delay the response to the first poll in a small
	// fleet.
	firstPollWait = 1500 * time.Millisecond
)

// watcher delivers the changes of all keys.
type watcher struct {
	relay  *Relay
	events chan goose.WatchEvent
	ctx    context.Context
	stop   context.CancelFunc
	// revision is the revision up to which all changes were delivered, and era its era.
	revision int64
	era      goose.StoreEra
	// polledAt is when the store was last polled, and pollWait how long it may delay the
	// response to the next poll in a small fleet.
	polledAt time.Time
	pollWait time.Duration
	// failures is the number of polls that have failed since the last successful one.
	failures int

	mu  sync.Mutex
	err error
}

// Watch implements goose.Store. Only watches of all keys are relayed, and only one of them
// may run at a time. A watch belongs to the era that is known when it begins: the caller ends it
// when another one begins.
func (r *Relay) Watch(ctx context.Context, prefix string, fromRevision int64) (goose.Watcher, error) {
	if prefix != "" {
		return r.Store.Watch(ctx, prefix, fromRevision)
	}
	w := &watcher{relay: r, events: make(chan goose.WatchEvent), revision: fromRevision - 1, era: r.o.Era.Current(), pollWait: firstPollWait}
	w.ctx, w.stop = context.WithCancel(ctx)
	go w.run()
	return w, nil
}

// Events implements goose.Watcher.
func (w *watcher) Events() <-chan goose.WatchEvent { return w.events }

// Err implements goose.Watcher.
func (w *watcher) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Close implements goose.Watcher.
func (w *watcher) Close() { w.stop() }

// run begins with a poll, since the watch may have been started because the relay is
// behind. Then it follows a relay, or polls the store. The first watch of an instance, which
// has just read the whole store, waits for a relay instead.
func (w *watcher) run() {
	defer close(w.events)
	defer w.stop()
	if d := w.relay.leadFrom.Sub(w.relay.o.Clock.Now()); d > 0 {
		w.wait(d)
		w.followRelays()
	}
	for w.ctx.Err() == nil {
		if err := w.poll(); err != nil && !w.mayGoOn(err) {
			w.mu.Lock()
			w.err = err
			w.mu.Unlock()
			return
		}
		w.wait(w.pollPause())
		w.followRelays()
	}
}

// followRelays follows one relay after the other until the store has to be polled.
func (w *watcher) followRelays() {
	for w.follow() && w.ctx.Err() == nil {
		w.backOff()
	}
}

// mayGoOn reports whether the watch can go on after a failed poll, with the updates of a
// relay.
func (w *watcher) mayGoOn(err error) bool {
	if w.ctx.Err() != nil {
		return false
	}
	w.relay.recordFailure()
	return !errors.Is(err, goose.ErrCompacted) && w.relay.Following(w.relay.o.Clock.Now())
}

// pollPause returns the pause until the next poll: short for a relay, for which others wait,
// otherwise long enough for changes to accumulate.
func (w *watcher) pollPause() time.Duration {
	if w.relay.Leading() {
		return w.relay.o.ChangeBound / pauseDivisor
	}
	return w.relay.o.WatchPause
}

// nextPollWait returns how long the store may delay the response to the next poll. A relay
// needs frequent confirmations. In a small fleet the first poll of a watch is short, because
// the connection may be dead, and later ones are longer, since each call is counted and
// priced.
func (w *watcher) nextPollWait() time.Duration {
	if w.relay.isLargeFleet(w.relay.o.Clock.Now()) {
		return w.relay.o.ChangeBound / pollDivisor
	}
	d := w.pollWait
	w.pollWait = min(2*w.pollWait, w.relay.o.MaxPollWait)
	return d
}

// poll reads the changes from the store and delivers them.
func (w *watcher) poll() error {
	after := w.revision
	events, until, err := w.relay.o.Store.Poll(w.ctx, "", after, w.nextPollWait())
	w.polledAt = w.relay.o.Clock.Now()
	if err == nil && w.relay.o.Era.Current() != w.era {
		err = errors.Wrap(goose.ErrCompacted, "another era of the store")
	}
	if err != nil {
		w.failures++
		return err
	}
	w.failures = 0
	u := newUpdate(after, until, events)
	u.era = w.era
	w.relay.recordPoll(u, w.polledAt)
	w.relay.keepBases(events, w.era)
	if err := w.deliver(events); err != nil {
		return err
	}
	w.revision = max(w.revision, until)
	return nil
}

func (w *watcher) deliver(events []goose.WatchEvent) error {
	for _, e := range events {
		select {
		case w.events <- e:
		case <-w.ctx.Done():
			return errors.Wrap(goose.ErrUnavailable, "watch closed")
		}
	}
	return nil
}

// wait waits for d, or until a relay can be followed.
func (w *watcher) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return
		case <-w.ctx.Done():
			return
		case <-w.relay.heard:
			if w.relay.Following(w.relay.o.Clock.Now()) {
				return
			}
		}
	}
}

// backOff waits for a random time after a relay was lost, so that one instance reads the
// store first and the others hear of it.
func (w *watcher) backOff() {
	w.wait(rand.N(w.relay.o.ChangeBound/backoffDivisor) + time.Millisecond)
}

// follow delivers the updates of the relay. It returns true if the relay is lost, and false
// if there is none or the store has to be polled for an update that is missing.
func (w *watcher) follow() bool {
	var missingSince time.Time
	for followed := false; ; followed = true {
		now := w.relay.o.Clock.Now()
		s, ok := w.relay.currentSource(now)
		if !ok {
			if followed {
				gooseevent.RelayLost.Log(w.relay.o.Log, slog.String("relay", string(s.id)), slog.Int64("revision", w.revision))
			}
			return followed
		}
		wait := s.validUntil.Sub(now)
		switch {
		case s.revision <= w.revision:
			missingSince = time.Time{}
		case missingSince.IsZero():
			missingSince = now
			fallthrough
		default:
			left := w.readMissingAt(missingSince).Sub(now)
			if left <= 0 {
				return false
			}
			wait = min(wait, left)
		}
		if w.receive(wait) != nil {
			return false
		}
	}
}

// maxGapBackoff bounds the exponent of the time between reads of missing updates that fail.
const maxGapBackoff = 2

// readMissingAt returns when an update that has been missing since the given time is read
// from the store.
func (w *watcher) readMissingAt(since time.Time) time.Time {
	at := since.Add(gapWait)
	pause := w.relay.o.ChangeBound / gapPollDivisor << min(w.failures, maxGapBackoff)
	if next := w.polledAt.Add(pause); next.After(at) {
		return next
	}
	return at
}

// receive waits for a message of the relay, for at most d, and delivers an update.
func (w *watcher) receive(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case u := <-w.relay.received:
		return w.apply(u)
	case <-w.relay.heard:
	case <-t.C:
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
	return nil
}

// apply delivers the changes of an update that are new. An update that does not follow what
// was delivered is dropped, and read from the store later.
func (w *watcher) apply(u update) error {
	if u.era != w.era || u.after > w.revision || u.until <= w.revision {
		return nil
	}
	u, err := w.relay.expand(u)
	if err != nil {
		// It is read from the store as one that is missing.
		return nil
	}
	w.relay.keepBases(u.events, u.era)
	var fresh []goose.WatchEvent
	for _, e := range u.events {
		if e.Entry.ModRevision > w.revision {
			fresh = append(fresh, e)
		}
	}
	if err := w.deliver(fresh); err != nil {
		return err
	}
	w.revision = u.until
	return nil
}
