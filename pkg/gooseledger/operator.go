package gooseledger

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxScannedRecords bounds the records that are read for a list of done or
// not-run orders. With stored answers of 64 KiB each, they take 64 MiB.
const maxScannedRecords = 1000

// ErrNotUnknown means that an order cannot be settled because its outcome is
// known or still pending.
var ErrNotUnknown = errors.New("order is not unknown")

// ErrOrderNotFound means that there is no record of the order.
var ErrOrderNotFound = errors.New("no such order")

// List implements goose.Ledger. Claimed and unknown orders are found by their
// markers; a claim of a dead instance is listed as unknown. Lists of all, done
// or not-run orders cover the first 1000 records.
func (l *Ledger) List(ctx context.Context, state goose.OrderState, limit int) ([]goose.Order, error) {
	prefix, scan := l.keys.recordPrefix(), maxScannedRecords
	if state == goose.OrderClaimed || state == goose.OrderUnknown {
		prefix, scan = l.keys.markerPrefix(), 0
	}
	entries, _, err := l.opts.Store.List(ctx, prefix, scan)
	if err != nil {
		return nil, errors.Wrap(err, "list orders")
	}
	var orders []goose.Order
	for _, e := range entries {
		o, err := decodeOrder(e)
		if err != nil {
			gooseevent.OrderRecordUnreadable.Log(l.opts.Logger, "key", e.Key, "error", err)
			continue
		}
		if o.State == goose.OrderClaimed && l.claimantDead(o) {
			o.State = goose.OrderUnknown
		}
		if state != "" && o.State != state {
			continue
		}
		if orders = append(orders, o); limit > 0 && len(orders) == limit {
			break
		}
	}
	return orders, nil
}

var _ goose.OrderReader = (*Ledger)(nil)

// Lookup implements goose.OrderReader. It finds orders that run on this instance
// even while the store is down. A claim of a dead instance and a record that
// cannot be decoded are returned as unknown.
func (l *Ledger) Lookup(ctx context.Context, key goose.OrderKey) (goose.Order, bool, error) {
	if o, ok := l.localOrder(key); ok {
		return o, true, nil
	}
	e, ok, err := l.opts.Store.Get(ctx, l.keys.recordKey(key))
	if err != nil || !ok {
		return goose.Order{}, false, errors.Wrap(err, "look order up")
	}
	o, err := decodeOrder(e)
	if err != nil {
		gooseevent.OrderRecordUnreadable.Log(l.opts.Logger, "key", e.Key, "error", err)
		return goose.Order{Key: key, State: goose.OrderUnknown}, true, nil
	}
	if o.State == goose.OrderClaimed && l.claimantDead(o) {
		o.State = goose.OrderUnknown
	}
	return o, true, nil
}

// Settle implements goose.Ledger. It returns ErrOrderNotFound, ErrNotUnknown, or an
// error of the store; after ErrOutcomeUnknown it may be repeated.
func (l *Ledger) Settle(ctx context.Context, key goose.OrderKey, to goose.OrderState, operator string) error {
	if to != goose.OrderDone && to != goose.OrderNotRun {
		return errors.Errorf("settle order: state %q: want %s or %s", to, goose.OrderDone, goose.OrderNotRun)
	}
	if operator == "" {
		return errors.New("settle order: no operator")
	}
	e, ok, err := l.opts.Store.Get(ctx, l.keys.recordKey(key))
	if err != nil {
		return errors.Wrap(err, "settle order")
	}
	if !ok {
		return errors.Wrapf(ErrOrderNotFound, "settle %s/%s/%s", key.Workspace, key.Service, key.Key)
	}
	o, err := decodeOrder(e)
	if err != nil {
		return err
	}
	if o.SettledBy == operator && o.State == to {
		return nil
	}
	if o.State != goose.OrderUnknown && (o.State != goose.OrderClaimed || !l.claimantDead(o)) {
		return errors.Wrapf(ErrNotUnknown, "settle %s/%s/%s: %s", key.Workspace, key.Service, key.Key, o.State)
	}
	o.State, o.SettledBy = to, operator
	res, err := l.committer.commit(ctx, l.keys.updateTxn(o, e.Lease))
	if err != nil {
		return errors.Wrap(err, "settle order")
	}
	if !res.Succeeded {
		return errors.Wrap(ErrNotUnknown, "settle order: its record changed meanwhile")
	}
	gooseevent.OrderSettled.Log(l.opts.Logger, "workspace", key.Workspace, "service", key.Service,
		"key", key.Key, "state", to, "operator", operator)
	return nil
}
