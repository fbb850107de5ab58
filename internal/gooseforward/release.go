package gooseforward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

const (
	// minReleaseRetry and maxReleaseRetry bound the pause before a release is repeated.
	minReleaseRetry = 50 * time.Millisecond
	maxReleaseRetry = 400 * time.Millisecond
	// releaseWait bounds the time for which a request waits for its releases: several round
	// trips. Those that take longer go on in the background.
	releaseWait = 250 * time.Millisecond
)

// release releases the memory at the helpers. unknown are the replicas to which a renewal may
// still be under way.
func (c *call) release(helpers []gooseplacement.Helper, unknown map[goose.ReplicaID]bool, r goose.Reservation) {
	var done []<-chan struct{}
	for _, h := range helpers {
		done = append(done, c.startRelease(h, r, unknown[h.Replica.ID], c.header.Attempt))
	}
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	for _, d := range done {
		select {
		case <-d:
		case <-timeout.C:
			return
		}
	}
}

// startRelease releases the memory at a helper in the background, also after the caller has
// disconnected. It repeats the release until the helper confirms it or the reservation has
// expired. If a reservation may still be under way, the release is repeated once more after
// that has ended. The returned channel is closed once the release is confirmed or given up.
func (f *Forwarder) startRelease(h gooseplacement.Helper, r goose.Reservation, unknown bool, request goose.AttemptID) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		confirmed := f.releaseUntilExpiry(h, r, request)
		close(done)
		if confirmed && unknown && goose.Sleep(context.Background(), reservationTimeout) {
			f.releaseUntilExpiry(h, r, request)
		}
	}()
	return done
}

// releaseUntilExpiry returns false if the reservation has expired without a confirmation.
func (f *Forwarder) releaseUntilExpiry(h gooseplacement.Helper, r goose.Reservation, request goose.AttemptID) bool {
	expires := f.o.Clock.Now().Add(r.TTL)
	for pause := minReleaseRetry; ; pause = min(2*pause, maxReleaseRetry) {
		err := f.sendReservation(context.Background(), h, r.WithTokens(0), request)
		if err == nil || isReleaseDone(err) {
			return true
		}
		if !f.o.Clock.Now().Add(pause).Before(expires) {
			gooseevent.ReservationExpired.Log(f.o.Log, slog.String("replica", string(h.Replica.ID)), slog.String("ticket", r.Ticket),
				slog.String("request", string(request)), slog.String("error", err.Error()))
			return false
		}
		goose.Sleep(context.Background(), pause)
	}
}

// statusError is the status of a call that reserves or releases memory.
type statusError int

// Error implements error.
func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }

// isReleaseDone reports whether the replica has no such reservation any more.
func isReleaseDone(err error) bool {
	var status statusError
	return errors.As(err, &status) && (status == http.StatusNotFound || status == http.StatusConflict || status == http.StatusGone)
}
