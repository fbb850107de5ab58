package goose

import "time"

// FirstToken is one sample of the time to first token (TTFT) of short requests.
type FirstToken struct {
	// Beside is set if a long prefill was in progress on the replica when the
	// request was granted.
	Beside       bool
	PromptTokens int
	Wait         time.Duration
}

// LongBound decides how many replicas of a pool may run long prefills at the same
// time. It is not safe for concurrent use.
type LongBound interface {
	// Limit returns the bound for a pool of n replicas: from 1 to max(n, 1).
	Limit(n int) int
	// Observe takes the sample of a short request that finished. It returns true if
	// the bound changed.
	Observe(FirstToken) bool
}

var longPrefillLimiters = newRegistry[func() LongBound]("long-prefill bound")

// RegisterLongBound adds a bound on long prefills; it panics if the name is taken.
func RegisterLongBound(name string, f func() LongBound) { longPrefillLimiters.add(name, f) }

// NewLongBound returns a new bound on long prefills.
func NewLongBound(name string) (LongBound, error) { return newPlugin(longPrefillLimiters, name) }

// LongBoundNames returns the registered bounds on long prefills in order.
func LongBoundNames() []string { return longPrefillLimiters.names() }
