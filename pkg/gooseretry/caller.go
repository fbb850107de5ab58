package gooseretry

import (
	"sync"
	"time"
)

const (
	// statedWindow is for how long, at least, the longest time that callers state is remembered.
	statedWindow = 30 * time.Second
	// minStated is the number of requests without which that time is not relied on. Among so
	// many, some are first requests.
	minStated = 20
	// callerRetryMargin is above the time that a request takes from its caller to the instance,
	// and below that of a refusal and a new connection.
	callerRetryMargin = 50 * time.Millisecond
)

// statedTime is the longest time left that callers of a route have stated in the current window
// and in the one before.
type statedTime struct {
	current, previous time.Duration
	since             time.Time
	// count is the number of requests, up to minStated.
	count int
}

// Callers recognises callers that send a request again after a refusal, mostly by another
// instance: they have less than the whole time left. It is safe for concurrent use.
type Callers struct {
	mu      sync.Mutex
	byRoute map[string]statedTime
}

// NewCallers returns an empty table.
func NewCallers() *Callers { return &Callers{byRoute: map[string]statedTime{}} }

// IsRetry reports whether the caller of a request has used a part of its time before: it has less
// left than the timeout of the route. If all callers of a route state less than its timeout, the
// longest time that they state takes its place, since each request would count as a retry
// otherwise.
func (c *Callers) IsRetry(route string, timeLeft, timeout time.Duration, now time.Time) bool {
	if timeLeft <= 0 || timeout <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byRoute[route]
	if now.Sub(s.since) >= statedWindow {
		s = statedTime{previous: s.current, since: now, count: s.count}
	}
	s.current = max(s.current, timeLeft)
	s.count = min(s.count+1, minStated)
	c.byRoute[route] = s
	if s.count == minStated {
		timeout = min(timeout, max(s.current, s.previous))
	}
	return timeLeft < timeout-callerRetryMargin
}
