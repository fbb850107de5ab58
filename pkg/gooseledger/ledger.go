// Package gooseledger records orders, which are requests with an idempotency key,
// in the platform's store, so that each runs at most once. It implements
// goose.Ledger.
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
	DefaultBatchWindow  = 2 * time.Millisecond
	// DefaultStoreCallRate limits 13 data centres to 325 calls per second; the store
	// handles several hundred writes per second.
	DefaultStoreCallRate = 25
)

// claimRetryPause is the pause before a claim is sent again after its response
// was lost.
const claimRetryPause = 20 * time.Millisecond

// Options configure a Ledger. Store, Fleet, Self and Logger are required.
type Options struct {
	Store goose.Store
	Fleet string
	Self  goose.InstanceID
	// Incarnation increases with each start of this instance.
	Incarnation int64
	// Members shows which claiming instances are live. If it is nil, IsDead alone
	// decides.
	Members goose.Membership
	// IsDead, if set, decides instead of Members whether a claiming instance
	// is dead.
	IsDead DeadFunc
	// PeerClient calls other instances, to join orders that run there and to batch
	// writes per data centre. If it is nil, the ledger polls the store and
	// writes to it directly.
	PeerClient goose.PeerClient
	// Retention is the minimum time for which a record is kept after its
	// order's deadline.
	Retention time.Duration
	// DeadAfter is the silence after which an instance counts as dead and its
	// claims become unknown.
	DeadAfter time.Duration
	// ClaimTimeout bounds one Claim, including the retries after lost responses.
	ClaimTimeout time.Duration
	// BatchWindow is how long queued writes wait for more writes to join their
	// batch. Without a queue, a write is sent at once. A negative value turns
	// batching off.
	BatchWindow time.Duration
	// StoreCallRate is the number of write calls per second that are sent to the
	// store without delay. Above it, writes queue and are sent in batches.
	StoreCallRate int
	Clock         goose.Clock
	Logger        *slog.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.DeadAfter, DefaultDeadAfter)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.BatchWindow, DefaultBatchWindow)
	if o.StoreCallRate <= 0 {
		o.StoreCallRate = DefaultStoreCallRate
	}
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.IsDead == nil {
		o.IsDead = newDeadFunc(o.Members, o.Clock, o.DeadAfter)
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
	opts      Options
	keys      keyspace
	retention *retentionLeases
	committer *committer

	// ctx is cancelled when Close stops waiting for outcomes to be written.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pendingWrites counts the background writes; writeDone is signalled when it
	// decreases.
	pendingWrites int
	writeDone     *sync.Cond
	// runsByNonce holds the orders that this instance claimed, until
	// finishedRunRetention after their outcome was written.
	runsByNonce map[string]*run
	// runsByKey holds the newest of these runs for each order key.
	runsByKey map[goose.OrderKey]*run
	// closed is set by Close; new claims are refused from then on.
	closed bool
}

// New returns a ledger. Close must be called to end its background writes.
func New(o Options) *Ledger {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		opts:      o,
		keys:      newKeyspace(o.Fleet),
		retention: newRetentionLeases(o.Store, o.Clock, o.Retention),
		committer: &committer{
			members: o.Members, client: o.PeerClient, direct: newBatcher(ctx, o.Store, o.BatchWindow, o.StoreCallRate),
			allowedPrefixes: []string{newKeyspace(o.Fleet).recordPrefix(), newKeyspace(o.Fleet).markerPrefix()},
		},
		ctx:         ctx,
		cancel:      cancel,
		runsByNonce: map[string]*run{},
		runsByKey:   map[goose.OrderKey]*run{},
	}
	l.writeDone = sync.NewCond(&l.mu)
	return l
}

// Close refuses new claims and waits until every outcome is written or ctx
// ends. Outcomes that are not written by then are lost, and their claims become
// unknown. Running orders should have ended before Close is called.
func (l *Ledger) Close(ctx context.Context) error {
	defer context.AfterFunc(ctx, l.cancel)()
	l.mu.Lock()
	l.closed = true
	for l.pendingWrites > 0 {
		l.writeDone.Wait()
	}
	l.mu.Unlock()
	l.cancel()
	if n := l.unwrittenRuns(); n > 0 {
		gooseevent.OrderOutcomesNotWritten.Log(l.opts.Logger, "orders", n)
		return errors.Errorf("%d orders without a recorded outcome", n)
	}
	return nil
}

// Claim implements goose.Ledger.
func (l *Ledger) Claim(ctx context.Context, key goose.OrderKey, bodyHash string, attempt goose.AttemptID) goose.Claim {
	if l.isClosed() {
		return goose.Claim{Status: goose.ClaimUnavailable}
	}
	if c, ok := l.claimLocal(key, bodyHash); ok {
		return c
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout)
	defer cancel()
	c := &claim{ledger: l, deadline: deadline, order: goose.Order{
		Key: key, State: goose.OrderClaimed, Nonce: newNonce(l.opts.Incarnation), BodyHash: bodyHash,
		Instance: l.opts.Self, Attempt: attempt, Time: l.opts.Clock.Now().Round(0).UTC(),
	}}
	return c.commit(ctx)
}

func (l *Ledger) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// claim is one attempt to claim an order.
type claim struct {
	ledger *Ledger
	// order is the record to write. order.Revision is the revision that the
	// write replaces; 0 if the key was absent.
	order goose.Order
	// deadline is the order's deadline; zero if it has none.
	deadline time.Time
	lease    goose.LeaseID
	// uncertain is set while a write whose response was lost may still take
	// effect.
	uncertain bool
}

// commit repeats the same conditional write while its outcome is uncertain. The
// condition allows the write to take effect at most once, and the nonce in the
// record shows which claim wrote it.
func (c *claim) commit(ctx context.Context) goose.Claim {
	for {
		result, done := c.tryCommit(ctx)
		if done {
			return result
		}
		if !goose.Sleep(ctx, claimRetryPause) {
			return c.abandon()
		}
	}
}

// tryCommit sends the write once. It returns false if the write must be sent
// again.
func (c *claim) tryCommit(ctx context.Context) (goose.Claim, bool) {
	var err error
	if c.lease == 0 {
		if c.lease, err = c.ledger.retention.lease(ctx, c.remaining()); err != nil {
			return c.abandon(), true
		}
	}
	res, err := c.ledger.committer.commit(ctx, c.ledger.keys.updateTxn(c.order, c.lease))
	switch {
	case err == nil && res.Succeeded:
		return c.grant(res.Revision), true
	case err == nil:
		return c.resolveConflict(ctx)
	case errors.Is(err, goose.ErrLeaseNotFound):
		// Earlier writes with this lease can no longer take effect either.
		c.ledger.retention.discard(c.lease)
		c.lease, c.uncertain = 0, false
		return goose.Claim{}, false
	case errors.Is(err, goose.ErrOutcomeUnknown):
		c.uncertain = true
		return goose.Claim{}, false
	case errors.Is(err, goose.ErrUnavailable) && c.uncertain:
		return goose.Claim{}, false
	default:
		return c.abandon(), true
	}
}

// remaining returns how long the order may still run; 0 if it has no deadline.
func (c *claim) remaining() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return max(c.deadline.Sub(c.ledger.opts.Clock.Now()), 0)
}

func (c *claim) grant(revision int64) goose.Claim {
	c.order.Revision = revision
	c.ledger.startRun(c.order, c.lease)
	return goose.Claim{Status: goose.ClaimGranted, Order: c.order}
}

// resolveConflict reads the record to find out why the condition of the write
// failed.
func (c *claim) resolveConflict(ctx context.Context) (goose.Claim, bool) {
	e, ok, err := c.ledger.opts.Store.Get(ctx, c.ledger.keys.recordKey(c.order.Key))
	if err != nil {
		// The store confirmed that this write had no effect, so only an earlier
		// uncertain write can have taken effect.
		if !c.uncertain {
			return c.abandon(), true
		}
		return goose.Claim{}, false
	}
	if !ok {
		c.order.Revision = 0
		return goose.Claim{}, false
	}
	found, err := decodeOrder(e)
	if err != nil {
		gooseevent.OrderRecordUnreadable.Log(c.ledger.opts.Logger, "key", e.Key, "error", err)
		return goose.Claim{Status: goose.ClaimUnknown, Order: goose.Order{Key: c.order.Key, State: goose.OrderUnknown}}, true
	}
	if found.Nonce == c.order.Nonce {
		return c.resolveOwn(found, e.Lease), true
	}
	if found.BodyHash != c.order.BodyHash {
		return goose.Claim{Status: goose.ClaimKeyReused, Order: found}, true
	}
	if found.State == goose.OrderNotRun {
		c.order.Revision = found.Revision
		return goose.Claim{}, false
	}
	return c.ledger.claimResult(ctx, found, e.Lease), true
}

// resolveOwn handles a record that carries this claim's nonce: an earlier write
// took effect, but its response was lost. If another instance has set the claim
// to unknown in the meantime because it considers this instance dead, the order
// does not run and its record is set to not-run.
func (c *claim) resolveOwn(found goose.Order, lease goose.LeaseID) goose.Claim {
	c.lease = lease
	if found.State == goose.OrderClaimed {
		return c.grant(found.Revision)
	}
	c.order = found
	return c.abandon()
}

// abandon ends a claim that was not confirmed. If its write may still take
// effect, the record is set to not-run in the background.
func (c *claim) abandon() goose.Claim {
	if c.uncertain {
		o := c.order
		o.State = goose.OrderNotRun
		c.ledger.writeOutcome(o, c.lease, nil)
	}
	return goose.Claim{Status: goose.ClaimUnavailable, Order: c.order}
}

// claimResult returns the result of a claim for an order that already has a
// record. A claim of a dead instance becomes unknown.
func (l *Ledger) claimResult(ctx context.Context, o goose.Order, lease goose.LeaseID) goose.Claim {
	switch o.State {
	case goose.OrderDone:
		return goose.Claim{Status: goose.ClaimDone, Order: o}
	case goose.OrderUnknown:
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	case goose.OrderNotRun:
		return goose.Claim{Status: goose.ClaimUnavailable, Order: o}
	}
	if !l.claimantDead(o) {
		return goose.Claim{Status: goose.ClaimRunning, Order: o}
	}
	marked, err := l.markUnknown(ctx, o, lease)
	if err != nil {
		// The record was not updated, but the outcome is unknown all the same:
		// the claiming instance is dead.
		o.State = goose.OrderUnknown
		return goose.Claim{Status: goose.ClaimUnknown, Order: o}
	}
	return marked
}

// markUnknown sets a claim to unknown unless its record has changed in the
// meantime.
func (l *Ledger) markUnknown(ctx context.Context, o goose.Order, lease goose.LeaseID) (goose.Claim, error) {
	o.State = goose.OrderUnknown
	res, err := l.committer.commit(ctx, l.keys.updateTxn(o, lease))
	if err != nil {
		return goose.Claim{}, err
	}
	if !res.Succeeded {
		return l.rereadRecord(ctx, o)
	}
	gooseevent.OrderOutcomeUnknown.Log(l.opts.Logger, "workspace", o.Key.Workspace, "service", o.Key.Service,
		"key", o.Key.Key, "instance", o.Instance)
	o.Revision = res.Revision
	return goose.Claim{Status: goose.ClaimUnknown, Order: o}, nil
}

// rereadRecord returns the state of an order whose record another writer
// changed first.
func (l *Ledger) rereadRecord(ctx context.Context, o goose.Order) (goose.Claim, error) {
	e, ok, err := l.opts.Store.Get(ctx, l.keys.recordKey(o.Key))
	if err != nil {
		return goose.Claim{}, err
	}
	if !ok {
		return goose.Claim{}, errors.New("order record gone")
	}
	found, err := decodeOrder(e)
	if err != nil {
		return goose.Claim{}, err
	}
	if found.State == goose.OrderClaimed {
		return goose.Claim{Status: goose.ClaimRunning, Order: found}, nil
	}
	return l.claimResult(ctx, found, e.Lease), nil
}
