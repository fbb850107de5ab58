package goose

import "time"

// TTFTSample is one sample of the time to first token (TTFT) of short requests.
type TTFTSample struct {
	// DuringLongPrefill is set if a long prefill was in progress on the replica when the
	// request was granted.
	DuringLongPrefill bool
	PromptTokens      int
	TTFT              time.Duration
}

// LongPrefillBound decides how many replicas of a pool may run long prefills at the same
// time. It is not safe for concurrent use.
type LongPrefillBound interface {
	// Limit returns the bound for a pool of n replicas: from 1 to max(n, 1).
	Limit(n int) int
	// Observe takes the sample of a short request that finished. It returns true if
	// the bound changed.
	Observe(TTFTSample) bool
}

var longPrefillBounds = newRegistry[func() LongPrefillBound]("long-prefill bound")

// RegisterLongPrefillBound adds a bound on long prefills; it panics if the name is taken.
func RegisterLongPrefillBound(name string, f func() LongPrefillBound) {
	longPrefillBounds.add(name, f)
}

// NewLongPrefillBound returns a new bound on long prefills.
func NewLongPrefillBound(name string) (LongPrefillBound, error) {
	return newPlugin(longPrefillBounds, name)
}

// LongPrefillBoundNames returns the registered bounds on long prefills in order.
func LongPrefillBoundNames() []string { return longPrefillBounds.names() }
