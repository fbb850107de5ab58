package gooseledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Pauses between repeats of a write that the store does not take.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// lingerTime keeps the answer of a finished run for joiners that are between
// two peer calls; answers above MaxKeptAnswer exist nowhere else.
const lingerTime = 2 * time.Second

// run is an order that this instance claimed. outcome is set before done is
// closed; written is set once the store took it.
type run struct {
	order   goose.Order
	lease   goose.LeaseID
	done    chan struct{}
	outcome goose.Order
	written bool
}

func (l *Ledger) start(o goose.Order, lease goose.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{order: o, lease: lease, done: make(chan struct{})}
	l.runs[o.Nonce] = r
	l.byKey[o.Key] = r
}

// here returns the order as this instance knows it: as claimed while it runs
// here, then with its outcome until that is in the store.
func (l *Ledger) here(key goose.OrderKey) (goose.Order, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byKey[key]
	switch {
	case r == nil:
		return goose.Order{}, false
	case r.outcome.Nonce == "":
		return r.order, true
	default:
		return r.outcome, true
	}
}

// claimHere answers a repeat of an order of this instance without the store,
// which may be down. A run that ended without effect is claimed anew in the
// store.
func (l *Ledger) claimHere(key goose.OrderKey, bodyHash string) (goose.Claim, bool) {
	o, ok := l.here(key)
	if !ok {
		return goose.Claim{}, false
	}
	if o.BodyHash != bodyHash {
		return goose.Claim{Status: goose.ClaimKeyReused, Order: o}, true
	}
	statuses := map[goose.OrderState]goose.ClaimStatus{
		goose.OrderClaimed: goose.ClaimRunning, goose.OrderDone: goose.ClaimDone, goose.OrderUnknown: goose.ClaimUnknown,
	}
	status, ok := statuses[o.State]
	return goose.Claim{Status: status, Order: o}, ok
}

func (l *Ledger) find(nonce string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[nonce]
}

// end sets the outcome once; it returns nil if the order is not running here
// or has an outcome already.
func (l *Ledger) end(nonce string, outcome func(goose.Order) goose.Order) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[nonce]
	if r == nil || r.outcome.Nonce != "" {
		return nil
	}
	r.outcome = outcome(r.order)
	close(r.done)
	return r
}

// retire forgets a written run after the linger time.
func (l *Ledger) retire(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.written = true
	time.AfterFunc(lingerTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.runs, r.order.Nonce)
		if l.byKey[r.order.Key] == r {
			delete(l.byKey, r.order.Key)
		}
	})
}

// unwritten counts the runs whose outcome the store has not taken.
func (l *Ledger) unwritten() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if !r.written {
			n++
		}
	}
	return n
}

// Finish implements goose.Ledger. Joiners get the answer at once.
func (l *Ledger) Finish(o goose.Order, answer goose.PlainAnswer) {
	var kept goose.Order
	r := l.end(o.Nonce, func(o goose.Order) goose.Order {
		kept = withAnswer(o, answer)
		o.State, o.Answer, o.Kept = goose.OrderDone, answer, true
		return o
	})
	if r != nil {
		l.write(kept, r.lease, r)
	}
}

// NotRun implements goose.Ledger.
func (l *Ledger) NotRun(o goose.Order) { l.endAs(o, goose.OrderNotRun) }

// Unknown implements goose.Ledger.
func (l *Ledger) Unknown(o goose.Order) {
	if !l.endAs(o, goose.OrderUnknown) {
		return
	}
	gooseevent.OrderUnknown.Log(l.o.Logger, "workspace", o.Key.Workspace, "service", o.Key.Service,
		"key", o.Key.Key, "instance", o.Instance)
}

func (l *Ledger) endAs(o goose.Order, s goose.OrderState) bool {
	r := l.end(o.Nonce, func(o goose.Order) goose.Order {
		o.State = s
		return o
	})
	if r == nil {
		return false
	}
	l.write(r.outcome, r.lease, r)
	return true
}

// write records an outcome in the background until the store takes it. r is nil
// for a claim that never ran.
func (l *Ledger) write(o goose.Order, lease goose.LeaseID, r *run) {
	l.mu.Lock()
	l.writes++
	l.mu.Unlock()
	go func() {
		w := &outcomeWrite{l: l, order: o, lease: lease}
		if w.repeat() && r != nil {
			l.retire(r)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writes--
		l.idle.Broadcast()
	}()
}

// outcomeWrite is the repeated write of one outcome.
type outcomeWrite struct {
	l     *Ledger
	order goose.Order
	lease goose.LeaseID
}

// repeat returns false if the ledger was closed first.
func (w *outcomeWrite) repeat() bool {
	for pause := firstBackoff; ; pause = min(2*pause, maxBackoff) {
		settled, err := w.try(w.l.ctx)
		if settled {
			return true
		}
		if err != nil {
			gooseevent.OrderWriteDelayed.Log(w.l.o.Logger, "key", w.order.Key.Key, "state", w.order.State, "error", err)
		}
		if !goose.Sleep(w.l.ctx, pause) {
			return false
		}
	}
}

func (w *outcomeWrite) try(ctx context.Context) (bool, error) {
	res, err := w.l.batch.commit(ctx, w.l.keys.change(w.order, w.lease))
	switch {
	case err == nil && res.Succeeded:
		return true, nil
	case err == nil:
		return w.reconcile(ctx)
	case errors.Is(err, goose.ErrLeaseGone):
		// The retention lease took the record with it.
		return true, nil
	default:
		return false, err
	}
}

// reconcile reads the record after its revision turned out to be another.
func (w *outcomeWrite) reconcile(ctx context.Context) (bool, error) {
	e, ok, err := w.l.o.Store.Get(ctx, w.l.keys.record(w.order.Key))
	if err != nil {
		return false, err
	}
	if !ok {
		return true, nil
	}
	found, err := decode(e)
	if err != nil {
		gooseevent.OrderRecordBroken.Log(w.l.o.Logger, "key", e.Key, "error", err)
		return true, nil
	}
	if found.Nonce == w.order.Nonce && found.State == w.order.State && found.Kept == w.order.Kept {
		return true, nil
	}
	if found.Nonce != w.order.Nonce {
		w.conflict(found)
		return true, nil
	}
	if found.Settled != "" {
		w.conflict(found)
		if w.order.State != goose.OrderDone {
			return true, nil
		}
		// The order did run: a record settled as not-run must not let it run
		// again.
		w.order.Settled = found.Settled
	}
	// Another instance took this one for dead and set the claim to unknown, or
	// an uncertain claim took effect late.
	w.order.Revision, w.lease = found.Revision, e.Lease
	return false, nil
}

// conflict reports an outcome that differs from the record. A claim that never
// ran has nothing to report.
func (w *outcomeWrite) conflict(found goose.Order) {
	if w.order.State == goose.OrderNotRun {
		return
	}
	gooseevent.OrderConflict.Log(w.l.o.Logger, "workspace", w.order.Key.Workspace, "service", w.order.Key.Service,
		"key", w.order.Key.Key, "outcome", w.order.State, "recorded", found.State, "settled", found.Settled)
}
