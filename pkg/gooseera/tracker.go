// Package gooseera keeps track of the era of the platform's store. The store increases its era
// by one each time it is restored from an older copy; revisions and ids of leases are then
// assigned again, so they are compared within one era only.
package gooseera

import (
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// ErrOlderEra means that a response of the store was sent before the store was restored.
var ErrOlderEra = errors.New("response of an older era of the store")

// Tracker knows the newest era. It is safe for concurrent use.
type Tracker struct {
	log *slog.Logger

	mu sync.Mutex
	// confirmed is the newest era of a response of the store to this instance.
	confirmed goose.StoreEra
	// responded is set after the first response. Its era is not a rise.
	responded bool
	// reported is the newest era that a peer has reported, and reports the number of reports that
	// have raised it.
	reported goose.StoreEra
	reports  uint64
	// disproved is the lowest era that peers have reported wrongly since the last confirmed one;
	// zero if there is none.
	disproved   goose.StoreEra
	subscribers []chan struct{}
}

var _ goose.EraTracker = (*Tracker)(nil)

// New returns a tracker at era 0.
func New(log *slog.Logger) *Tracker { return &Tracker{log: log} }

// Current implements goose.EraTracker.
func (t *Tracker) Current() goose.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current()
}

func (t *Tracker) current() goose.StoreEra { return max(t.confirmed, t.reported) }

// Subscribe implements goose.EraTracker.
func (t *Tracker) Subscribe() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(chan struct{}, 1)
	t.subscribers = append(t.subscribers, c)
	return c
}

// BeginCall returns the function that checks the era of the response to a call of the store which
// begins now. It returns ErrOlderEra for a response that must not be used.
func (t *Tracker) BeginCall() func(goose.StoreEra) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	reportsBefore := t.reports
	return func(era goose.StoreEra) error { return t.check(era, reportsBefore) }
}

// check records the era of a response to a call that began after the given number of reports. A
// peer that reports an era has got it in a response, so a response to a later call that has a
// lower era disproves the report.
func (t *Tracker) check(era goose.StoreEra, reportsBefore uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.confirmed || era < t.reported && reportsBefore < t.reports {
		return errors.Wrapf(ErrOlderEra, "era %d, the newest is %d", era, t.current())
	}
	if era < t.reported {
		gooseevent.StoreEraDisproved.Log(t.log, slog.Int64("era", int64(era)), slog.Int64("reported", int64(t.reported)))
		t.disproved, t.reported = t.reported, era
		t.confirmed, t.responded = era, true
		t.notify()
		return nil
	}
	before := t.current()
	if era > t.confirmed {
		t.confirmed, t.disproved = era, 0
	}
	t.raised(before, "store")
	t.responded = true
	return nil
}

// ObservePeer implements goose.EraTracker.
func (t *Tracker) ObservePeer(era goose.StoreEra) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.current()
	if era <= before || t.disproved > 0 && era >= t.disproved {
		return
	}
	t.reported = era
	t.reports++
	t.raised(before, "peer")
}

// raised logs a rise of the era, unless no response has arrived yet, and notifies the subscribers. The lock must be held.
func (t *Tracker) raised(before goose.StoreEra, source string) {
	now := t.current()
	if now == before {
		return
	}
	if t.responded {
		gooseevent.StoreEraRisen.Log(t.log, slog.Int64("era", int64(now)), slog.Int64("before", int64(before)), slog.String("source", source))
	}
	t.notify()
}

func (t *Tracker) notify() {
	for _, c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
