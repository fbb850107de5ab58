package gooseforward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
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

// ticket returns the id of the reservations that an attempt makes at its helpers. It differs
// between the attempts of a request, so that a late release of one attempt does not end the
// reservation of another.
func (c *call) ticket(choice gooseplacement.Choice) string {
	return string(c.header.Attempt) + "-" + string(choice.Replica.ID) + "-" + strconv.Itoa(len(c.attempts))
}

// reserve reserves memory at all helpers or at none. Helpers that refuse are replaced while the
// others are kept. It returns the choice with the helpers that hold the memory, and a function
// that releases it.
func (c *call) reserve(ctx context.Context, choice gooseplacement.Choice) (gooseplacement.Choice, func(), error) {
	pending := helpersWithMemory(choice)
	if len(pending) == 0 {
		return choice, func() {}, nil
	}
	r := goose.Reservation{Ticket: c.ticket(choice), TTL: min(reservationTTL, c.o.MaxReservationTTL)}
	now := c.o.Clock.Now()
	limit := gooseplacement.NewReservationLimit(choice, c.demand(now), c.arrived, now)
	var held []gooseplacement.Helper
	for round := 1; ; round++ {
		made, failure := c.reserveRound(ctx, pending, r, limit.RoundTime(now))
		held = append(held, made...)
		if failure == nil {
			return choice, c.keepReserved(ctx, held, r), nil
		}
		c.excludeHelpers(choice, failure)
		now = c.o.Clock.Now()
		next, added, ok := c.replaceHelpers(ctx, choice, failure.replicas, limit, round+1, now)
		if !ok {
			c.o.Metrics.countReservations(c.service.Name, reservationUnused, len(held))
			c.release(held, nil, r)
			return choice, nil, failure
		}
		c.o.Metrics.countReservations(c.service.Name, reservationReplaced, len(failure.replicas))
		gooseevent.HelperReplaced.Log(c.o.Log, slog.String("request", string(c.header.Attempt)), slog.Any("refused", failure.replicas),
			slog.Any("replacements", replicaIDs(added)), slog.Int("kept", len(held)), slog.String("error", failure.Error()))
		choice, pending = next, added
	}
}

func helpersWithMemory(choice gooseplacement.Choice) []gooseplacement.Helper {
	var helpers []gooseplacement.Helper
	for _, h := range choice.Helpers {
		if h.Tokens > 0 {
			helpers = append(helpers, h)
		}
	}
	return helpers
}

// replaceHelpers asks the placer for replacements of the replicas, unless the next round is not
// allowed.
func (c *call) replaceHelpers(ctx context.Context, choice gooseplacement.Choice, refused []goose.ReplicaID, limit gooseplacement.ReservationLimit, round int, now time.Time) (gooseplacement.Choice, []gooseplacement.Helper, bool) {
	if ctx.Err() != nil || !limit.AllowsRound(round, now) {
		return choice, nil, false
	}
	replicas := c.o.Directory.Current().Replicas(c.service.Name)
	return c.o.Placer.Replace(choice, refused, c.demand(now), replicas, limit.Within(now), now)
}

// reserveRound reserves memory at the helpers and returns those that have reserved it, and an
// error about the others. Reservations without a result are released in the background.
func (c *call) reserveRound(ctx context.Context, helpers []gooseplacement.Helper, r goose.Reservation, timeout time.Duration) ([]gooseplacement.Helper, *reservationError) {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, reservationTimeout))
	defer cancel()
	errs := make([]error, len(helpers))
	var wg conc.WaitGroup
	for i, h := range helpers {
		wg.Go(func() { errs[i] = c.sendReservation(ctx, h, r.WithTokens(h.Tokens), c.header.Attempt) })
	}
	wg.Wait()
	var made []gooseplacement.Helper
	for i, err := range errs {
		switch {
		case err == nil:
			made = append(made, helpers[i])
		case isResultUnknown(err):
			c.startRelease(helpers[i], r, true, c.header.Attempt)
		}
	}
	c.o.Metrics.countReservations(c.service.Name, reservationMade, len(made))
	c.o.Metrics.countReservations(c.service.Name, reservationRefused, len(helpers)-len(made))
	return made, newReservationError(helpers, errs)
}

// keepReserved renews the reservations until the returned function is called, which releases
// them.
func (c *call) keepReserved(ctx context.Context, held []gooseplacement.Helper, r goose.Reservation) func() {
	renewCtx, stopRenewal := context.WithCancel(ctx)
	var renewal conc.WaitGroup
	var cancelled map[goose.ReplicaID]bool
	renewal.Go(func() { cancelled = c.renew(renewCtx, held, r) })
	return func() {
		stopRenewal()
		renewal.Wait()
		c.release(held, cancelled, r)
	}
}

// reservationError lists the helpers that did not reserve their part of the memory.
type reservationError struct {
	replicas []goose.ReplicaID
	firstErr error
	// full are those that stated that their memory is not free.
	full []goose.ReplicaID
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
		var status statusError
		if errors.As(err, &status) && status == http.StatusConflict {
			e.full = append(e.full, helpers[i].Replica.ID)
		}
	}
	return e
}

// renew keeps the memory reserved until ctx ends. It returns the replicas whose last renewal
// was cancelled and may still arrive there.
func (c *call) renew(ctx context.Context, helpers []gooseplacement.Helper, r goose.Reservation) map[goose.ReplicaID]bool {
	cancelled := map[goose.ReplicaID]bool{}
	for goose.Sleep(ctx, renewInterval) {
		errs := make([]error, len(helpers))
		var wg conc.WaitGroup
		for i, h := range helpers {
			// A failed renewal needs no handling: the next one repeats it.
			wg.Go(func() { errs[i] = c.sendReservation(ctx, h, r.WithTokens(h.Tokens), c.header.Attempt) })
		}
		wg.Wait()
		for i, h := range helpers {
			cancelled[h.Replica.ID] = errs[i] != nil && isResultUnknown(errs[i])
		}
	}
	return cancelled
}

// errUnclearStatus is a status that does not state whether the replica has acted on the call.
var errUnclearStatus = errors.New("the status does not state the result")

// isResultUnknown reports whether a reservation that failed with the error may have been made.
func isResultUnknown(err error) bool {
	return errors.Is(err, goose.ErrDisconnected) || errors.Is(err, errUnclearStatus)
}

// sendReservation reserves or releases memory at a helper. request is the id of the request
// that the reservation is for.
func (f *Forwarder) sendReservation(ctx context.Context, h gooseplacement.Helper, r goose.Reservation, request goose.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	path, body, err := f.o.HeaderCodec.ReservationCall(r)
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
	f.recordWishes(h.Replica, f.o.HeaderCodec.ParseResponse(u.resp.StatusCode, u.resp.Header), request)
	switch status := u.resp.StatusCode; {
	case status == http.StatusOK:
		return nil
	case status < http.StatusBadRequest || status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable:
		return errors.Wrapf(errUnclearStatus, "reservation at %s: status %d", h.Replica.ID, status)
	default:
		return errors.Wrapf(statusError(status), "reservation at %s", h.Replica.ID)
	}
}
