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
	// reservationHold is how long memory stays reserved without a renewal: that of a
	// dead instance is free again after it.
	reservationHold = 3500 * time.Millisecond
	// renewEvery leaves two renewals time to fail.
	renewEvery = 1100 * time.Millisecond
)

// reservationTimeout bounds one call that reserves or releases memory.
const reservationTimeout = 800 * time.Millisecond

// ticket names the memory that an attempt reserves at its helpers.
func (c *call) ticket(choice gooseplacement.Choice) string {
	return string(c.routed.Attempt) + "-" + string(choice.Replica.ID)
}

// reserve sets the memory of the helpers aside, all or nothing, and returns what
// releases it.
func (c *call) reserve(ctx context.Context, choice gooseplacement.Choice) (func(), error) {
	var with []gooseplacement.Helper
	for _, h := range choice.Helpers {
		if h.Tokens > 0 {
			with = append(with, h)
		}
	}
	if len(with) == 0 {
		return func() {}, nil
	}
	r := goose.Reservation{Ticket: c.ticket(choice), Hold: min(reservationHold, c.o.LongestHold)}
	failed := make([]error, len(with))
	var wg conc.WaitGroup
	for i, h := range with {
		wg.Go(func() { failed[i] = c.order(ctx, h, r.WithTokens(h.Tokens)) })
	}
	wg.Wait()
	if refused := refusedBy(with, failed); refused != nil {
		c.release(with, r)
		return nil, refused
	}
	renewing, stop := context.WithCancel(ctx)
	var renewal conc.WaitGroup
	renewal.Go(func() { c.renew(renewing, with, r) })
	return func() {
		stop()
		renewal.Wait()
		c.release(with, r)
	}, nil
}

// memoryError tells which helpers did not reserve their part of the memory.
type memoryError struct {
	replicas []goose.ReplicaID
	first    error
}

// Error returns the reason of the first helper.
func (e *memoryError) Error() string { return e.first.Error() }

// refusedBy returns nil if no reservation failed.
func refusedBy(at []gooseplacement.Helper, failed []error) *memoryError {
	var e *memoryError
	for i, err := range failed {
		if err == nil {
			continue
		}
		if e == nil {
			e = &memoryError{first: err}
		}
		e.replicas = append(e.replicas, at[i].Replica.ID)
	}
	return e
}

// renew keeps the memory reserved until ctx ends.
func (c *call) renew(ctx context.Context, at []gooseplacement.Helper, r goose.Reservation) {
	for goose.Sleep(ctx, renewEvery) {
		var wg conc.WaitGroup
		for _, h := range at {
			// A renewal that fails is repeated by the next one.
			wg.Go(func() { _ = c.order(ctx, h, r.WithTokens(h.Tokens)) })
		}
		wg.Wait()
	}
}

// release gives the memory back; what cannot be told is given back by the end of its
// hold.
func (c *call) release(from []gooseplacement.Helper, r goose.Reservation) {
	var wg conc.WaitGroup
	for _, h := range from {
		wg.Go(func() {
			// The caller may be gone; the memory is given back all the same.
			_ = c.order(context.Background(), h, r)
		})
	}
	wg.Wait()
}

func (c *call) order(ctx context.Context, h gooseplacement.Helper, r goose.Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	path, body, err := c.o.Dialect.Reservation(r)
	if err != nil {
		return err
	}
	u, err := send(ctx, h.Replica.Address, forwarded{
		method: http.MethodPost, uri: path, host: h.Replica.Address, body: body,
		header: http.Header{"Content-Type": []string{"application/json"}},
	})
	if err != nil {
		return errors.Wrapf(err, "reservation at %s", h.Replica.ID)
	}
	defer u.close()
	if u.resp.StatusCode != http.StatusOK {
		return errors.Errorf("reservation at %s: status %d", h.Replica.ID, u.resp.StatusCode)
	}
	return nil
}
