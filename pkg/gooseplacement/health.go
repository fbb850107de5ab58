package gooseplacement

import "time"

const (
	// minSuspension and maxSuspension are the bounds of the time for which a replica gets
	// no requests after consecutive failures. The upper bound is about the time that a
	// restart takes.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 3 * time.Second
	// failureWeight and slownessWeight are the weights of the newest observation in the moving
	// averages.
	failureWeight  = 0.15
	slownessWeight = 0.25
	// maxSlowness is the upper bound of the slowness of one observation.
	maxSlowness = 8
	// slownessDecay is the time after which a slow replica without observations counts as
	// normal again.
	slownessDecay = 6 * time.Second
)

// health is the state of one replica as observed by the attempts of this instance.
type health struct {
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// suspendedUntil is the end of the suspension.
	suspendedUntil time.Time
	// failureRate is the moving average of failed attempts, 0 to 1.
	failureRate float64
	// slowness is the moving average of the ratio of the time to the first event to its
	// estimate; at least 1.
	slowness float64
	// observedAt is the time of the last observation.
	observedAt time.Time
}

// suspensionAfter returns how long a replica is suspended after the given number of consecutive
// failures. A single failure does not suspend a replica, since a healthy replica can lose
// a response too.
func suspensionAfter(failures int) time.Duration {
	if failures < 2 {
		return 0
	}
	return min(minSuspension<<min(failures-2, 8), maxSuspension)
}

// recordFailure records a failed attempt and returns how long the replica is suspended. An
// unreachable replica is suspended after its first failure.
func (h *health) recordFailure(now time.Time, unreachable bool) time.Duration {
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.observedAt = now
	failures := h.consecutiveFailures
	if unreachable {
		failures++
	}
	d := suspensionAfter(failures)
	if until := now.Add(d); until.After(h.suspendedUntil) {
		h.suspendedUntil = until
	}
	return d
}

// recordSuccess records a response. ratio is the time to its first event divided by the
// estimate.
func (h *health) recordSuccess(now time.Time, ratio float64) {
	h.consecutiveFailures = 0
	h.suspendedUntil = time.Time{}
	h.failureRate -= failureWeight * h.failureRate
	ratio = min(max(ratio, 1), maxSlowness)
	h.slowness = h.slownessAt(now) + slownessWeight*(ratio-h.slownessAt(now))
	h.observedAt = now
}

// slownessAt returns the slowness at the given time. It decays towards 1 without observations.
func (h *health) slownessAt(now time.Time) float64 {
	if h.slowness < 1 {
		return 1
	}
	remaining := 1 - float64(now.Sub(h.observedAt))/float64(slownessDecay)
	return 1 + (h.slowness-1)*min(max(remaining, 0), 1)
}
