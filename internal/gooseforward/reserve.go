package gooseforward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

const (
	// reservationTTL is how long memory stays reserved without a renewal. After it the
	// memory that a dead instance had reserved is free again.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is short enough that a reservation outlasts two failed renewals.
	renewInterval = 1100 * time.Millisecond
)

// reservationTimeout bounds one request that reserves or releases memory.
const reservationTimeout = 800 * time.Millisecond

// ticket returns the id of the reservations that an attempt makes at its helpers.
func (c *call) ticket(choice gooseplacement.Choice) string {
	return string(c.header.Attempt) + "-" + string(choice.Replica.ID)
}

// reserve reserves memory at all helpers or at none, and returns a function that releases
// the memory.
func (c *call) reserve(ctx context.Context, choice gooseplacement.Choice) (func(), error) {
	var helpers []gooseplacement.Helper
	for _, h := range choice.Helpers {
		if h.Tokens > 0 {
			helpers = append(helpers, h)
		}
	}
	if len(helpers) == 0 {
		return func() {}, nil
	}
	r := goose.Reservation{Ticket: c.ticket(choice), TTL: min(reservationTTL, c.o.MaxReservationTTL)}
	errs := make([]error, len(helpers))
	var wg conc.WaitGroup
	for i, h := range helpers {
		wg.Go(func() { errs[i] = c.sendReservation(ctx, h, r.WithTokens(h.Tokens)) })
	}
	wg.Wait()
	if err := newReservationError(helpers, errs); err != nil {
		c.release(helpers, r)
		return nil, err
	}
	renewCtx, stopRenewal := context.WithCancel(ctx)
	var renewal conc.WaitGroup
	renewal.Go(func() { c.renew(renewCtx, helpers, r) })
	return func() {
		stopRenewal()
		renewal.Wait()
		c.release(helpers, r)
	}, nil
}

// reservationError lists the helpers that did not reserve their part of the memory.
type reservationError struct {
	replicas []goose.ReplicaID
	firstErr error
}

// Error returns the error of the first helper in the list.
func (e *reservationError) Error() string { return e.firstErr.Error() }

// newReservationError returns nil if no reservation failed.
func newReservationError(helpers []gooseplacement.Helper, errs []error) *reservationError {
	var e *reservationError
	for i, err := range errs {
		if err == nil {
			continue
		}
		if e == nil {
			e = &reservationError{firstErr: err}
		}
		e.replicas = append(e.replicas, helpers[i].Replica.ID)
	}
	return e
}

// renew keeps the memory reserved until ctx ends.
func (c *call) renew(ctx context.Context, helpers []gooseplacement.Helper, r goose.Reservation) {
	for goose.Sleep(ctx, renewInterval) {
		var wg conc.WaitGroup
		for _, h := range helpers {
			// A failed renewal needs no handling: the next one repeats it.
			wg.Go(func() { _ = c.sendReservation(ctx, h, r.WithTokens(h.Tokens)) })
		}
		wg.Wait()
	}
}

// release releases the memory at the helpers. A reservation whose helper cannot be
// reached expires there.
func (c *call) release(helpers []gooseplacement.Helper, r goose.Reservation) {
	var wg conc.WaitGroup
	for _, h := range helpers {
		wg.Go(func() {
			// The memory has to be released even if the caller has disconnected.
			_ = c.sendReservation(context.Background(), h, r)
		})
	}
	wg.Wait()
}

func (c *call) sendReservation(ctx context.Context, h gooseplacement.Helper, r goose.Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	path, body, err := c.o.HeaderCodec.ReservationCall(r)
	if err != nil {
		return err
	}
	u, err := send(ctx, h.Replica.Address, outgoingRequest{
		method: http.MethodPost, uri: path, host: h.Replica.Address, body: body,
		header: http.Header{"Content-Type": []string{"application/json"}},
	})
	if err != nil {
		return errors.Wrapf(err, "reservation at %s", h.Replica.ID)
	}
	defer u.close()
	c.recordWishes(h.Replica, c.o.HeaderCodec.ParseResponse(u.resp.StatusCode, u.resp.Header))
	if u.resp.StatusCode != http.StatusOK {
		return errors.Errorf("reservation at %s: status %d", h.Replica.ID, u.resp.StatusCode)
	}
	return nil
}
