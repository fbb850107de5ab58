// Package gooseledger records orders in the platform's store, so that each runs
// at most once. It implements goose.Ledger.
package gooseledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Defaults of Options.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultDeadAfter    = 10 * time.Second
	DefaultClaimTimeout = 5 * time.Second
	DefaultWindow       = 2 * time.Millisecond
	// DefaultCallRate keeps 13 data centres at 325 calls a second, of the
	// several hundred writes that the store takes.
	DefaultCallRate = 25
)

// settleWait is the pause before a claim whose answer was lost is sent again.
const settleWait = 20 * time.Millisecond

// Options make a Ledger. Store, Fleet, Self and Logger are required.
type Options struct {
	Store goose.Store
	Fleet string
	Self  goose.InstanceID
	// Incarnation rises with each start of this instance.
	Incarnation int64
	// Members tells which claiming instances live; nil takes Liveness alone.
	Members goose.Membership
	// Liveness replaces the judgement by Members.
	Liveness Liveness
	// Caller reaches other instances to join their runs and to batch writes per
	// data centre; nil polls the store and writes directly.
	Caller goose.Caller
	// Retention is how long a record is kept at least after its order's deadline.
	Retention time.Duration
	// DeadAfter is the silence after which an instance's claims become unknown.
	DeadAfter time.Duration
	// ClaimTimeout bounds one Claim, including the settling of lost answers.
	ClaimTimeout time.Duration
	// Window is how long a queue of writes gathers more; without a queue a
	// write is sent at once. Negative turns batching off.
	Window time.Duration
	// CallRate is how many calls a second write to the store without waiting;
	// above it, writes queue and go out together.
	CallRate int
	Clock    goose.Clock
	Logger   *slog.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.DeadAfter, DefaultDeadAfter)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.Window, DefaultWindow)
	if o.CallRate <= 0 {
		o.CallRate = DefaultCallRate
	}
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.Liveness == nil {
		o.Liveness = membersLiveness(o.Members, o.Clock, o.DeadAfter)
	}
	return o
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Ledger implements goose.Ledger.
type Ledger struct {
	o         Options
	keys      keys
	retention *retention
	batch     *relay

	// ctx ends when Close gives up on writes that the store does not take.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// writes counts the background writes; idle is signalled when it sinks.
	writes int
	idle   *sync.Cond
	// runs are the orders that this instance claimed, by nonce, until their
	// outcome is written.
	runs map[string]*run
	// byKey holds the newest of these runs of each order.
	byKey map[goose.OrderKey]*run
	// closed refuses new claims.
	closed bool
}

// New returns a ledger; Close must be called to end its background writes.
func New(o Options) *Ledger {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		o:         o,
		keys:      newKeys(o.Fleet),
		retention: newRetention(o.Store, o.Clock, o.Retention),
		batch: &relay{
			members: o.Members, caller: o.Caller, direct: newBatcher(ctx, o.Store, o.Window, o.CallRate),
			prefixes: []string{newKeys(o.Fleet).records(), newKeys(o.Fleet).markers()},
		},
		ctx:    ctx,
		cancel: cancel,
		runs:   map[string]*run{},
		byKey:  map[goose.OrderKey]*run{},
	}
	l.idle = sync.NewCond(&l.mu)
	return l
}

// Close refuses new claims and waits until every outcome is written or ctx
// ends; outcomes that are not written are lost and their claims become unknown.
// Running orders should have ended before.
func (l *Ledger) Close(ctx context.Context) error {
	defer context.AfterFunc(ctx, l.cancel)()
	l.mu.Lock()
	l.closed = true
	for l.writes > 0 {
		l.idle.Wait()
	}
	l.mu.Unlock()
	l.cancel()
	if n := l.unwritten(); n > 0 {
		gooseevent.OrdersUnfinished.Log(l.o.Logger, "orders", n)
		return errors.Errorf("%d orders without a recorded outcome", n)
	}
	return nil
}

// Claim implements goose.Ledger.
func (l *Ledger) Claim(ctx context.Context, key goose.OrderKey, bodyHash string, attempt goose.AttemptID) goose.Claim {
	if l.isClosed() {
		return goose.Claim{Status: goose.ClaimUnavailable}
	}
	if c, ok := l.claimHere(key, bodyHash); ok {
		return c
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, l.o.ClaimTimeout)
	defer cancel()
	c := &claim{l: l, deadline: deadline, order: goose.Order{
		Key: key, State: goose.OrderClaimed, Nonce: newNonce(l.o.Incarnation), BodyHash: bodyHash,
		Instance: l.o.Self, Attempt: attempt, Time: l.o.Clock.Now().Round(0).UTC(),
	}}
	return c.run(ctx)
}

func (l *Ledger) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// claim is one attempt to claim an order.
type claim struct {
	l *Ledger
	// order is the record to write; order.Revision is the revision that it
	// replaces, 0 if the key was absent.
	order goose.Order
	// deadline is that of the order; zero if it has none.
	deadline time.Time
	lease    goose.LeaseID
	// uncertain is set while a write without an answer may still take effect.
	uncertain bool
}

// run repeats the same conditional write while its outcome is uncertain. The
// condition lets it take effect once at most, and the nonce tells whose did.
func (c *claim) run(ctx context.Context) goose.Claim {
	for {
		result, settled := c.try(ctx)
		if settled {
			return result
		}
		if !goose.Sleep(ctx, settleWait) {
			return c.giveUp()
		}
	}
}

// try sends the write once. It returns false if the write must be sent again.
func (c *claim) try(ctx context.Context) (goose.Claim, bool) {
	var err error
	if c.lease == 0 {
		if c.lease, err = c.l.retention.lease(ctx, c.left()); err != nil {
			return c.giveUp(), true
		}
	}
	res, err := c.l.batch.commit(ctx, c.l.keys.change(c.order, c.lease))
	switch {
	case err == nil && res.Succeeded:
		return c.granted(res.Revision), true
	case err == nil:
		return c.read(ctx)
	case errors.Is(err, goose.ErrLeaseGone):
		// Earlier writes with this lease cannot take effect any more either.
		c.l.retention.forget(c.lease)
		c.lease, c.uncertain = 0, false
		return goose.Claim{}, false
	case errors.Is(err, goose.ErrUncertain):
		c.uncertain = true
		return goose.Claim{}, false
	case errors.Is(err, goose.ErrUnavailable) && c.uncertain:
		return goose.Claim{}, false
	default:
		return c.giveUp(), true
	}
}

// left is how long the order may run.
func (c *claim) left() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return max(c.deadline.Sub(c.l.o.Clock.Now()), 0)
}

func (c *claim) granted(revision int64) goose.Claim {
	c.order.Revision = revision
	c.l.start(c.order, c.lease)
	return goose.Claim{Status: goose.ClaimGranted, Order: c.order}
}

// read finds out why the condition failed.
func (c *claim) read(ctx context.Context) (goose.Claim, bool) {
	e, ok, err := c.l.o.Store.Get(ctx, c.l.keys.record(c.order.Key))
	if err != nil {
		// The condition failed with a certain answer, so only an earlier
		// uncertain write can have taken effect.
		if !c.uncertain {
			return c.giveUp(), true
		}
		return goose.Claim{}, false
	}
	if !ok {
		c.order.Revision = 0
		return goose.Claim{}, false
	}
	found, err := decode(e)
	if err != nil {
		gooseevent.OrderRecordBroken.Log(c.l.o.Logger, "key", e.Key, "error", err)
		return goose.Claim{Status: goose.ClaimUnknown, Order: goose.Order{Key: c.order.Key, State: goose.OrderUnknown}}, true
	}
	if found.Nonce == c.order.Nonce {
		return c.own(found, e.Lease), true
	}
	if found.BodyHash != c.order.BodyHash {
		return goose.Claim{Status: goose.ClaimKeyReused, Order: found}, true
	}
	if found.State == goose.OrderNotRun {
		c.order.Revision = found.Revision
		return goose.Claim{}, false
	}
	return c.l.judge(ctx, found, e.Lease), true
}

// own settles a lost answer: the record carries this claim's nonce. If others
// took this instance for dead meanwhile, the order does not run and its record
// is set to not-run.
func (c *claim) own(found goose.Order, lease goose.LeaseID) goose.Claim {
	c.lease = lease
	if found.State == goose.OrderClaimed {
		return c.granted(found.Revision)
	}
	c.order = found
	return c.giveUp()
}

// giveUp ends a claim that was not confirmed. If its write may still take
// effect, the record is set to not-run in the background.
func (c *claim) giveUp() goose.Claim {
	if c.uncertain {
		o := c.order
		o.State = goose.OrderNotRun
		c.l.write(o, c.lease, nil)
	}
	return goose.Claim{Status: goose.ClaimUnavailable, Order: c.order}
}

// judge tells a repeat what became of the order. A claim of a dead instance
// becomes unknown.
func (l *Ledger) judge(ctx context.Context, o goose.Order, lease goose.LeaseID) goose.Claim {
	switch o.State {
	case goose.OrderDone:
		return goose.Claim{Status: goose.ClaimDone, Order: o}
	case goose.OrderUnknown:
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	case goose.OrderNotRun:
		return goose.Claim{Status: goose.ClaimUnavailable, Order: o}
	}
	if !l.dead(o) {
		return goose.Claim{Status: goose.ClaimRunning, Order: o}
	}
	marked, err := l.markUnknown(ctx, o, lease)
	if err != nil {
		// Not written, but no less unknown: its instance is dead.
		o.State = goose.OrderUnknown
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	return marked
}

// markUnknown sets a claim to unknown unless its record changed meanwhile.
func (l *Ledger) markUnknown(ctx context.Context, o goose.Order, lease goose.LeaseID) (goose.Claim, error) {
	o.State = goose.OrderUnknown
	res, err := l.batch.commit(ctx, l.keys.change(o, lease))
	if err != nil {
		return goose.Claim{}, err
	}
	if !res.Succeeded {
		return l.reread(ctx, o)
	}
	gooseevent.OrderUnknown.Log(l.o.Logger, "workspace", o.Key.Workspace, "service", o.Key.Service,
		"key", o.Key.Key, "instance", o.Instance)
	o.Revision = res.Revision
	return goose.Claim{Status: goose.ClaimUnknown, Order: o}, nil
}

// reread returns the state of an order after a lost race.
func (l *Ledger) reread(ctx context.Context, o goose.Order) (goose.Claim, error) {
	e, ok, err := l.o.Store.Get(ctx, l.keys.record(o.Key))
	if err != nil {
		return goose.Claim{}, err
	}
	if !ok {
		return goose.Claim{}, errors.New("order record gone")
	}
	found, err := decode(e)
	if err != nil {
		return goose.Claim{}, err
	}
	if found.State == goose.OrderClaimed {
		return goose.Claim{Status: goose.ClaimRunning, Order: found}, nil
	}
	return l.judge(ctx, found, e.Lease), nil
}
