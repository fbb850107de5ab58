package goose

import "time"

// FirstToken is the time to first token of one short request.
type FirstToken struct {
	// Beside is set if a long prefill was in progress on the replica when the
	// request was granted.
	Beside       bool
	PromptTokens int
	Wait         time.Duration
}

// LongBound decides how many replicas of a pool may run long prefills at one
// time. It is not safe for concurrent use.
type LongBound interface {
	// Limit returns the bound for a pool of n replicas: at least 1, at most n or 1.
	Limit(n int) int
	// Observe notes a short request that finished. It returns true if the bound
	// changed.
	Observe(FirstToken) bool
}

var longBounds = newRegistry[func() LongBound]("long-prefill bound")

// RegisterLongBound adds a bound on long prefills; it panics if the name is taken.
func RegisterLongBound(name string, f func() LongBound) { longBounds.add(name, f) }

// NewLongBound returns a new bound on long prefills.
func NewLongBound(name string) (LongBound, error) { return construct(longBounds, name) }

// LongBoundNames returns the registered bounds on long prefills in order.
func LongBoundNames() []string { return longBounds.names() }
