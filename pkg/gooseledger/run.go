package gooseledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Bounds of the pause between retries of a write that the store does not accept.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// finishedRunRetention is how long a finished run and its answer stay in memory, for
// joiners that are between two peer calls. Answers above MaxStoredAnswerBytes exist
// nowhere else.
const finishedRunRetention = 2 * time.Second

// run is an order that this instance claimed. outcome is set before done is
// closed; written is set once the store has accepted the outcome.
type run struct {
	order   goose.Order
	lease   goose.LeaseID
	done    chan struct{}
	outcome goose.Order
	written bool
}

func (l *Ledger) startRun(o goose.Order, lease goose.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{order: o, lease: lease, done: make(chan struct{})}
	l.runsByNonce[o.Nonce] = r
	l.runsByKey[o.Key] = r
}

// localOrder returns the order of a run of this instance: as claimed while it
// runs, then with its outcome until the run is removed.
func (l *Ledger) localOrder(key goose.OrderKey) (goose.Order, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runsByKey[key]
	switch {
	case r == nil:
		return goose.Order{}, false
	case r.outcome.Nonce == "":
		return r.order, true
	default:
		return r.outcome, true
	}
}

// claimLocal returns the result of a repeated claim of an order that runs on this
// instance, without the store, which may be down. It returns false for an order
// that ended without effect, which is claimed again in the store.
func (l *Ledger) claimLocal(key goose.OrderKey, bodyHash string) (goose.Claim, bool) {
	o, ok := l.localOrder(key)
	if !ok {
		return goose.Claim{}, false
	}
	if o.BodyHash != bodyHash {
		return goose.Claim{Status: goose.ClaimKeyReused, Order: o}, true
	}
	statusByState := map[goose.OrderState]goose.ClaimStatus{
		goose.OrderClaimed: goose.ClaimRunning, goose.OrderDone: goose.ClaimDone, goose.OrderUnknown: goose.ClaimUnknown,
	}
	status, ok := statusByState[o.State]
	return goose.Claim{Status: status, Order: o}, ok
}

func (l *Ledger) findRun(nonce string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByNonce[nonce]
}

// endRun sets the outcome of a run once. It returns nil if the order does not
// run on this instance or already has an outcome.
func (l *Ledger) endRun(nonce string, outcome func(goose.Order) goose.Order) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runsByNonce[nonce]
	if r == nil || r.outcome.Nonce != "" {
		return nil
	}
	r.outcome = outcome(r.order)
	close(r.done)
	return r
}

// removeLater removes a run whose outcome was written, after finishedRunRetention.
func (l *Ledger) removeLater(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.written = true
	time.AfterFunc(finishedRunRetention, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.runsByNonce, r.order.Nonce)
		if l.runsByKey[r.order.Key] == r {
			delete(l.runsByKey, r.order.Key)
		}
	})
}

// unwrittenRuns returns the number of runs whose outcome the store has not
// accepted.
func (l *Ledger) unwrittenRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runsByNonce {
		if !r.written {
			n++
		}
	}
	return n
}

// MarkDone implements goose.Ledger. Joiners get the answer before it is written to
// the store.
func (l *Ledger) MarkDone(o goose.Order, answer goose.PlainResponse) {
	var record goose.Order
	r := l.endRun(o.Nonce, func(o goose.Order) goose.Order {
		record = withAnswer(o, answer)
		o.State, o.Answer, o.AnswerKept = goose.OrderDone, answer, true
		return o
	})
	if r != nil {
		l.writeOutcome(record, r.lease, r)
	}
}

// MarkNotRun implements goose.Ledger.
func (l *Ledger) MarkNotRun(o goose.Order) { l.endInState(o, goose.OrderNotRun) }

// MarkUnknown implements goose.Ledger.
func (l *Ledger) MarkUnknown(o goose.Order) {
	if !l.endInState(o, goose.OrderUnknown) {
		return
	}
	gooseevent.OrderOutcomeUnknown.Log(l.opts.Logger, "workspace", o.Key.Workspace, "service", o.Key.Service,
		"key", o.Key.Key, "instance", o.Instance)
}

func (l *Ledger) endInState(o goose.Order, s goose.OrderState) bool {
	r := l.endRun(o.Nonce, func(o goose.Order) goose.Order {
		o.State = s
		return o
	})
	if r == nil {
		return false
	}
	l.writeOutcome(r.outcome, r.lease, r)
	return true
}

// writeOutcome writes an outcome in the background and retries until the store
// accepts it. r is nil for a claim that never ran.
func (l *Ledger) writeOutcome(o goose.Order, lease goose.LeaseID, r *run) {
	l.mu.Lock()
	l.pendingWrites++
	l.mu.Unlock()
	go func() {
		w := &outcomeWrite{ledger: l, order: o, lease: lease}
		if w.commit() && r != nil {
			l.removeLater(r)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pendingWrites--
		l.writeDone.Broadcast()
	}()
}

// outcomeWrite is the write of one outcome, with retries.
type outcomeWrite struct {
	ledger *Ledger
	order  goose.Order
	lease  goose.LeaseID
}

// commit writes the outcome until the store accepts it. It returns false if the
// ledger is closed first.
func (w *outcomeWrite) commit() bool {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		done, err := w.tryCommit(w.ledger.ctx)
		if done {
			return true
		}
		if err != nil {
			gooseevent.OrderOutcomeWriteRepeated.Log(w.ledger.opts.Logger, "key", w.order.Key.Key, "state", w.order.State, "error", err)
		}
		if !goose.Sleep(w.ledger.ctx, pause) {
			return false
		}
	}
}

func (w *outcomeWrite) tryCommit(ctx context.Context) (bool, error) {
	res, err := w.ledger.committer.commit(ctx, w.ledger.keys.updateTxn(w.order, w.lease))
	switch {
	case err == nil && res.Succeeded:
		return true, nil
	case err == nil:
		return w.reconcile(ctx)
	case errors.Is(err, goose.ErrLeaseNotFound):
		// The record was deleted with its retention lease.
		return true, nil
	default:
		return false, err
	}
}

// reconcile reads the record after a write failed because the record's revision
// had changed. It returns true if no further write is needed.
func (w *outcomeWrite) reconcile(ctx context.Context) (bool, error) {
	e, ok, err := w.ledger.opts.Store.Get(ctx, w.ledger.keys.recordKey(w.order.Key))
	if err != nil {
		return false, err
	}
	if !ok {
		return true, nil
	}
	found, err := decodeOrder(e)
	if err != nil {
		gooseevent.OrderRecordUnreadable.Log(w.ledger.opts.Logger, "key", e.Key, "error", err)
		return true, nil
	}
	if found.Nonce == w.order.Nonce && found.State == w.order.State && found.AnswerKept == w.order.AnswerKept {
		return true, nil
	}
	if found.Nonce != w.order.Nonce {
		w.logConflict(found)
		return true, nil
	}
	if found.SettledBy != "" {
		w.logConflict(found)
		if w.order.State != goose.OrderDone {
			return true, nil
		}
		// The order did run. The record must not stay settled as not-run, or the
		// order could run again.
		w.order.SettledBy = found.SettledBy
	}
	// Another instance considered this one dead and set the claim to unknown, or
	// an uncertain claim took effect late.
	w.order.Revision, w.lease = found.Revision, e.Lease
	return false, nil
}

// logConflict logs an outcome that differs from the record. The outcome not-run
// is not logged, because nothing ran.
func (w *outcomeWrite) logConflict(found goose.Order) {
	if w.order.State == goose.OrderNotRun {
		return
	}
	gooseevent.OrderOutcomeConflict.Log(w.ledger.opts.Logger, "workspace", w.order.Key.Workspace, "service", w.order.Key.Service,
		"key", w.order.Key.Key, "outcome", w.order.State, "recorded", found.State, "settled", found.SettledBy)
}
