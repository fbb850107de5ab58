package gooseforward

import (
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// leavingRetryAfter is the Retry-After of an instance that stops: others can take the request at
// once.
const leavingRetryAfter = 100 * time.Millisecond

// fitsBeforeStop returns a refusal if the instance stops before the request is likely to end.
func (c *call) fitsBeforeStop() (goose.Refusal, bool) {
	stopAt := c.o.StopAt()
	if stopAt.IsZero() {
		return goose.Refusal{}, true
	}
	left := stopAt.Sub(c.o.Clock.Now())
	if min(c.durations.upper(c.durationKey()), c.deadline.Sub(c.o.Clock.Now())) <= left {
		return goose.Refusal{}, true
	}
	return goose.NotRunRefusal(goose.CodeLeaving, "this instance stops before the request could end").
		WithReason("instance-stopping").WithRetryAfter(leavingRetryAfter), false
}

func (c *call) durationKey() durationKey {
	return durationKey{route: c.route.Name, class: c.promptClass()}
}

const (
	// meanShare and deviationShare are the inverse weights of a new duration in the mean and
	// in the mean deviation, and deviations is how many of the latter the bound lies above
	// the mean, as for the retransmission timeout of TCP.
	meanShare      = 8
	deviationShare = 4
	deviations     = 4
	// maxDurationKeys bounds the table; routes come and go with versions of the routing.
	maxDurationKeys = 4096
)

// durationKey is what requests of similar duration have in common.
type durationKey struct {
	route string
	class goose.LengthClass
}

// durationEstimate is the mean duration of requests and its mean deviation.
type durationEstimate struct{ mean, deviation time.Duration }

// durations estimates how long requests take. It is safe for concurrent use.
type durations struct {
	mu    sync.Mutex
	byKey map[durationKey]durationEstimate
}

func newDurations() *durations { return &durations{byKey: map[durationKey]durationEstimate{}} }

// observe records the duration of a request that was served.
func (d *durations) observe(k durationKey, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.byKey[k]
	switch {
	case !known && len(d.byKey) >= maxDurationKeys:
		return
	case !known:
		e = durationEstimate{mean: took, deviation: took / 2}
	default:
		e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationShare
		e.mean += (took - e.mean) / meanShare
	}
	d.byKey[k] = e
}

// upper returns a duration that nearly all requests stay below, or zero if none was observed.
func (d *durations) upper(k durationKey) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byKey[k]
	return e.mean + deviations*e.deviation
}
