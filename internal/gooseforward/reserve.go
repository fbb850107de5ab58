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
	r := goose.Reservation{Ticket: c.ticket(choice), Hold: min(c.deadline.Sub(c.o.Clock.Now())+time.Second, c.o.LongestHold)}
	failed := make([]error, len(with))
	var wg conc.WaitGroup
	for i, h := range with {
		wg.Go(func() { failed[i] = c.order(ctx, h, r.WithTokens(h.Tokens)) })
	}
	wg.Wait()
	release := func() { c.release(with, r) }
	for _, err := range failed {
		if err != nil {
			release()
			return nil, err
		}
	}
	return release, nil
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
