package gooseplacement

const (
	// maxQueued is the number of requests that may queue for a slot of a replica in a small
	// fleet. A slot becomes free several times within the objective of a short request.
	maxQueued = 1
	// retryQueueDivisor bounds the requests that may queue for a slot before the retry of a
	// caller in a large fleet, as a part of the slots. The retry is late in any case, but begins
	// while its caller still waits.
	retryQueueDivisor = 3
)

// maxQueued returns the number of known requests that may queue for a slot of a replica. In a
// large fleet there are usually one or two more that are not known yet, so that a first request
// needs a free slot: if all slots have a queue, no more requests are served, but all are late.
func (pl *Placer) maxQueued(callerRetry bool, slots int) int {
	switch {
	case !pl.table.split():
		return maxQueued
	case callerRetry:
		return slots / retryQueueDivisor
	}
	return 0
}

// SplitReports reports whether the fleet is so large that the data centres exchange only the
// sums of their load reports.
func (pl *Placer) SplitReports() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.table.split()
}
