package gooseplacement

import "time"

const (
	// firstSuspension and lastSuspension bound how long a replica gets no work after
	// failures in a row. The last one is about the time of a restart.
	firstSuspension = 400 * time.Millisecond
	lastSuspension  = 3 * time.Second
	// failureWeight and slowWeight are the weights of the newest observation in the
	// moving averages.
	failureWeight = 0.15
	slowWeight    = 0.25
	// maxSlowness bounds the factor by which one observation can make a replica slow.
	maxSlowness = 8
	// slowMemory is the time after which a slow replica that gets no requests counts
	// as normal again.
	slowMemory = 6 * time.Second
)

// health is what attempts have shown about one replica.
type health struct {
	// inRow counts the failures since the last success.
	inRow     int
	suspended time.Time
	// failures is the moving average of failed attempts, 0 to 1.
	failures float64
	// slowness is the moving average of the time to the first event against the
	// estimate; at least 1.
	slowness float64
	observed time.Time
}

// suspension is the time without work after so many failures in a row. A single
// failure suspends nothing: any replica may lose an answer.
func suspension(inRow int) time.Duration {
	if inRow < 2 {
		return 0
	}
	return min(firstSuspension<<min(inRow-2, 8), lastSuspension)
}

// fail notes a failed attempt and returns how long the replica is suspended;
// unreachable replicas are suspended at once.
func (h *health) fail(now time.Time, unreachable bool) time.Duration {
	h.inRow++
	h.failures += failureWeight * (1 - h.failures)
	h.observed = now
	n := h.inRow
	if unreachable {
		n++
	}
	d := suspension(n)
	if until := now.Add(d); until.After(h.suspended) {
		h.suspended = until
	}
	return d
}

// succeed notes an answer; ratio is its time against the estimate.
func (h *health) succeed(now time.Time, ratio float64) {
	h.inRow = 0
	h.suspended = time.Time{}
	h.failures -= failureWeight * h.failures
	ratio = min(max(ratio, 1), maxSlowness)
	h.slowness = h.factor(now) + slowWeight*(ratio-h.factor(now))
	h.observed = now
}

// factor is the slowness at now; it fades without observations.
func (h *health) factor(now time.Time) float64 {
	if h.slowness < 1 {
		return 1
	}
	fade := 1 - float64(now.Sub(h.observed))/float64(slowMemory)
	return 1 + (h.slowness-1)*min(max(fade, 0), 1)
}
