package gooseledger

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// scanLimit bounds the records read for a list of done or not-run orders; with
// kept answers of 64 KiB each that is 64 MiB.
const scanLimit = 1000

// ErrNotUnknown means that an order cannot be settled because its outcome is
// known or still to come.
var ErrNotUnknown = errors.New("order is not unknown")

// ErrNoOrder means that there is no record of the order.
var ErrNoOrder = errors.New("no such order")

// List implements goose.Ledger. Claimed and unknown orders are found by their
// markers; a claim of a dead instance is listed as unknown. Lists of all, done
// or not-run orders cover the first 1000 records.
func (l *Ledger) List(ctx context.Context, state goose.OrderState, limit int) ([]goose.Order, error) {
	prefix, scan := l.keys.records(), scanLimit
	if state == goose.OrderClaimed || state == goose.OrderUnknown {
		prefix, scan = l.keys.markers(), 0
	}
	entries, _, err := l.o.Store.List(ctx, prefix, scan)
	if err != nil {
		return nil, errors.Wrap(err, "list orders")
	}
	var orders []goose.Order
	for _, e := range entries {
		o, err := decode(e)
		if err != nil {
			gooseevent.OrderRecordBroken.Log(l.o.Logger, "key", e.Key, "error", err)
			continue
		}
		if o.State == goose.OrderClaimed && l.dead(o) {
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

// Lookup implements goose.OrderReader. Runs of this instance are found while
// the store is down, too. A claim of a dead instance and a record that cannot be
// read are returned as unknown.
func (l *Ledger) Lookup(ctx context.Context, key goose.OrderKey) (goose.Order, bool, error) {
	if o, ok := l.here(key); ok {
		return o, true, nil
	}
	e, ok, err := l.o.Store.Get(ctx, l.keys.record(key))
	if err != nil || !ok {
		return goose.Order{}, false, errors.Wrap(err, "look order up")
	}
	o, err := decode(e)
	if err != nil {
		gooseevent.OrderRecordBroken.Log(l.o.Logger, "key", e.Key, "error", err)
		return goose.Order{Key: key, State: goose.OrderUnknown}, true, nil
	}
	if o.State == goose.OrderClaimed && l.dead(o) {
		o.State = goose.OrderUnknown
	}
	return o, true, nil
}

// Settle implements goose.Ledger. It returns ErrNoOrder, ErrNotUnknown, or an
// error of the store; after ErrUncertain it may be repeated.
func (l *Ledger) Settle(ctx context.Context, key goose.OrderKey, to goose.OrderState, operator string) error {
	if to != goose.OrderDone && to != goose.OrderNotRun {
		return errors.Errorf("settle order: state %q: want %s or %s", to, goose.OrderDone, goose.OrderNotRun)
	}
	if operator == "" {
		return errors.New("settle order: no operator")
	}
	e, ok, err := l.o.Store.Get(ctx, l.keys.record(key))
	if err != nil {
		return errors.Wrap(err, "settle order")
	}
	if !ok {
		return errors.Wrapf(ErrNoOrder, "settle %s/%s/%s", key.Workspace, key.Service, key.Key)
	}
	o, err := decode(e)
	if err != nil {
		return err
	}
	if o.Settled == operator && o.State == to {
		return nil
	}
	if o.State != goose.OrderUnknown && (o.State != goose.OrderClaimed || !l.dead(o)) {
		return errors.Wrapf(ErrNotUnknown, "settle %s/%s/%s: %s", key.Workspace, key.Service, key.Key, o.State)
	}
	o.State, o.Settled = to, operator
	res, err := l.batch.commit(ctx, l.keys.change(o, e.Lease))
	if err != nil {
		return errors.Wrap(err, "settle order")
	}
	if !res.Succeeded {
		return errors.Wrap(ErrNotUnknown, "settle order: its record changed meanwhile")
	}
	gooseevent.OrderSettled.Log(l.o.Logger, "workspace", key.Workspace, "service", key.Service,
		"key", key.Key, "state", to, "operator", operator)
	return nil
}
