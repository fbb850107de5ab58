// Package gooselimit enforces the limits of one replica: memory, concurrency, long prefills,
// exclusive use, and the limits of a cold replica, which ramp up with successful requests.
package gooselimit

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Demand is the capacity of a replica that one permit uses.
type Demand struct {
	// Tokens is the memory for prompt and output, in tokens.
	Tokens int
	// Long is set for a long prefill. A replica runs at most one at a time.
	Long bool
	// Exclusive is set for a suspect, which runs alone on its replica.
	Exclusive bool
	// Foreign is set for work that another dispatcher may have granted. It counts against
	// the limits, but not against this dispatcher's share of them.
	Foreign bool
	// Prefill is the number of prompt tokens to compute before the first token.
	Prefill int
	// Priority is the engine priority, from 0 to Priorities-1. Lower numbers run first.
	Priority int
}

// Share is the part of a replica's limits that one dispatcher may use while another
// dispatcher may grant permits for the same replica.
type Share string

// Shares of the limits. The larger and the smaller half add up to the whole.
const (
	ShareWhole   Share = ""
	ShareLarger  Share = "larger-half"
	ShareSmaller Share = "smaller-half"
)

// of returns the share of a limit.
func (s Share) of(limit int) int {
	switch s {
	case ShareLarger:
		return limit - limit/2
	case ShareSmaller:
		return limit / 2
	}
	return limit
}

// Priorities is the number of engine priorities.
const Priorities = 4

// entry is one permit in flight.
type entry struct {
	demand     Demand
	generation int64
	// complete is set once the whole output is computed.
	complete bool
}

// Limiter enforces the limits of one replica. It is not safe for concurrent use.
type Limiter struct {
	spec goose.BackendServer
	// rampFactor is the ramp-up factor: the present limits are the cold limits times
	// rampFactor, but at most the configured limits.
	rampFactor int
	// successes is the number of successes since the last doubling of rampFactor.
	successes int
	// generation increases each time the replica becomes cold. Permits of an older generation
	// are no evidence that the replica is warm.
	generation int64
	warm       bool
	share      Share

	entries map[goose.PermitID]entry
	tokens  int
	// foreignPermits and foreignTokens are the parts of entries and tokens that other
	// dispatchers may have granted.
	foreignPermits, foreignTokens int
	// completePermits and completeTokens are the parts of entries and tokens that only occupy
	// memory because their output is complete.
	completePermits, completeTokens int

	longPrefills     int
	exclusivePermits int
	// prefillTokens are the prompt tokens of the permits without a first token, by priority.
	prefillTokens [Priorities]int
}

// New returns the limits of a cold replica.
func New(spec goose.BackendServer) *Limiter {
	l := &Limiter{spec: spec, rampFactor: 1, entries: map[goose.PermitID]entry{}}
	l.updateWarm()
	return l
}

// SetSpec changes the configured limits. The ramp-up continues with its present factor.
func (l *Limiter) SetSpec(spec goose.BackendServer) {
	l.spec = spec
	if l.warm {
		return
	}
	l.updateWarm()
}

// Spec returns the configured limits.
func (l *Limiter) Spec() goose.BackendServer { return l.spec }

// SetShare limits this dispatcher's own permits to a share of the configured limits. The
// cold limits are not divided, since only one dispatcher may use them at a time.
func (l *Limiter) SetShare(s Share) { l.share = s }

// fitsShare reports whether the demand fits into this dispatcher's share of the limits in
// addition to its own permits.
func (l *Limiter) fitsShare(d Demand) bool {
	if l.share == ShareWhole {
		return true
	}
	return len(l.entries)-l.foreignPermits < l.share.of(l.spec.Concurrency) &&
		l.tokens-l.foreignTokens+d.Tokens <= l.share.of(l.spec.MemoryTokens)
}

// Concurrency returns the present limit of requests in flight for this dispatcher.
func (l *Limiter) Concurrency() int { return min(l.concurrency(), l.share.of(l.spec.Concurrency)) }

// TokenLimit returns the present limit of tokens in flight for this dispatcher.
func (l *Limiter) TokenLimit() int { return min(l.tokenLimit(), l.share.of(l.spec.MemoryTokens)) }

// concurrency returns the present limit of all requests in flight.
func (l *Limiter) concurrency() int {
	if l.warm {
		return l.spec.Concurrency
	}
	return min(l.spec.Concurrency, scaleLimit(l.spec.ColdConcurrency, l.rampFactor))
}

// tokenLimit returns the present limit of all tokens in flight.
func (l *Limiter) tokenLimit() int {
	if l.warm {
		return l.spec.MemoryTokens
	}
	return min(l.spec.MemoryTokens, scaleLimit(l.spec.ColdTokens, l.rampFactor))
}

// maxRampFactor is the maximum ramp-up factor. It prevents an overflow of the limits.
const maxRampFactor = 1 << 20

// scaleLimit returns the limit times the ramp-up factor; zero if the limit is not positive.
func scaleLimit(limit, factor int) int {
	if limit <= 0 {
		return 0
	}
	return limit * factor
}

// Cold reports whether a present limit is still below the configured one.
func (l *Limiter) Cold() bool { return !l.warm }

// Fits reports whether a permit with the demand can be granted now.
func (l *Limiter) Fits(d Demand) bool {
	switch {
	case l.exclusivePermits > 0, d.Exclusive && len(l.entries) > 0:
		return false
	case d.Long && l.longPrefills > 0:
		return false
	case l.Requests() >= l.concurrency():
		return false
	}
	return d.Tokens <= l.availableTokens() && l.fitsShare(d)
}

// availableTokens returns how many more tokens fit into the limits. Complete outputs occupy
// memory but are not load: they do not count against the token limit of a cold replica.
func (l *Limiter) availableTokens() int {
	return min(l.tokenLimit()-l.Tokens(), l.spec.MemoryTokens-l.tokens)
}

// FreeTokens returns the number of tokens that can be granted now; zero if no request fits.
func (l *Limiter) FreeTokens() int {
	if l.exclusivePermits > 0 || l.Requests() >= l.concurrency() || !l.fitsShare(Demand{}) {
		return 0
	}
	own := l.share.of(l.spec.MemoryTokens) - (l.tokens - l.foreignTokens)
	return max(0, min(l.availableTokens(), own))
}

// Add counts a permit. Adding a counted permit again has no effect. Add does not check the
// limits, since permits and streams that are found at a takeover count even if they exceed
// the limits.
func (l *Limiter) Add(id goose.PermitID, d Demand) {
	if _, ok := l.entries[id]; ok {
		return
	}
	l.entries[id] = entry{demand: d, generation: l.generation}
	l.tokens += d.Tokens
	if d.Foreign {
		l.foreignPermits++
		l.foreignTokens += d.Tokens
	}
	l.prefillTokens[d.Priority] += d.Prefill
	if d.Long {
		l.longPrefills++
	}
	if d.Exclusive {
		l.exclusivePermits++
	}
}

// PrefillDone records that the prefill of a permit has ended.
func (l *Limiter) PrefillDone(id goose.PermitID) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if e.demand.Long {
		l.longPrefills--
	}
	l.prefillTokens[e.demand.Priority] -= e.demand.Prefill
	e.demand.Long, e.demand.Prefill = false, 0
	l.entries[id] = e
}

// CompleteOutput records that the output of a permit is computed and remains in the replica's
// memory until it is read. The permit no longer counts against concurrency and the cold
// limits, and counts with no more memory than the given number of tokens.
func (l *Limiter) CompleteOutput(id goose.PermitID, tokens int) {
	l.PrefillDone(id)
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if !e.complete {
		e.complete = true
		l.completePermits++
		l.completeTokens += e.demand.Tokens
	}
	if surplus := e.demand.Tokens - tokens; surplus > 0 {
		e.demand.Tokens -= surplus
		l.tokens -= surplus
		l.completeTokens -= surplus
		if e.demand.Foreign {
			l.foreignTokens -= surplus
		}
	}
	l.entries[id] = e
}

// PrefillTokens returns the number of prompt tokens that the replica still has to compute for
// permits of the given priority and of those that run earlier.
func (l *Limiter) PrefillTokens(priority int) int {
	n := 0
	for _, tokens := range l.prefillTokens[:priority+1] {
		n += tokens
	}
	return n
}

// Remove frees the capacity of a permit. It returns false if the permit is not counted.
// success is set if the response was complete and its first token arrived in time. A success
// counts towards the ramp-up if the permit was granted since the replica last became cold.
func (l *Limiter) Remove(id goose.PermitID, success bool) bool {
	e, ok := l.entries[id]
	if !ok {
		return false
	}
	delete(l.entries, id)
	l.tokens -= e.demand.Tokens
	if e.demand.Foreign {
		l.foreignPermits--
		l.foreignTokens -= e.demand.Tokens
	}
	if e.complete {
		l.completePermits--
		l.completeTokens -= e.demand.Tokens
	}
	l.prefillTokens[e.demand.Priority] -= e.demand.Prefill
	if e.demand.Long {
		l.longPrefills--
	}
	if e.demand.Exclusive {
		l.exclusivePermits--
	}
	if success && e.generation == l.generation {
		l.recordSuccess()
	}
	return true
}

// recordSuccess counts a success. It doubles the limits after as many successes as requests
// may be in flight.
func (l *Limiter) recordSuccess() {
	if l.warm {
		return
	}
	l.successes++
	if l.successes < l.concurrency() {
		return
	}
	l.successes = 0
	l.rampFactor = min(2*l.rampFactor, maxRampFactor)
	l.updateWarm()
}

// updateWarm marks the replica as warm if both limits have reached the configured ones.
func (l *Limiter) updateWarm() {
	l.warm = l.concurrency() >= l.spec.Concurrency && l.tokenLimit() >= l.spec.MemoryTokens
}

// ResetToCold resets the replica to its cold limits. It returns false if the replica was cold
// and its ramp-up had not begun.
func (l *Limiter) ResetToCold() bool {
	changed := l.warm || l.rampFactor > 1
	l.rampFactor, l.successes, l.warm = 1, 0, false
	l.generation++
	return changed
}

// RampFactor returns the ramp-up factor; zero if the replica is warm.
func (l *Limiter) RampFactor() int {
	if l.warm {
		return 0
	}
	return l.rampFactor
}

// RestoreRamp sets the ramp-up factor from a handover or from evidence of peers.
// Zero means that the replica is warm.
func (l *Limiter) RestoreRamp(factor int) {
	if factor <= 0 {
		l.warm = true
		return
	}
	l.rampFactor, l.successes = min(factor, maxRampFactor), 0
	l.updateWarm()
}

// Has reports whether the permit is counted.
func (l *Limiter) Has(id goose.PermitID) bool {
	_, ok := l.entries[id]
	return ok
}

// GrantedSinceCold reports whether the permit is counted and was granted since the replica
// last became cold.
func (l *Limiter) GrantedSinceCold(id goose.PermitID) bool {
	e, ok := l.entries[id]
	return ok && e.generation == l.generation
}

// Tokens returns the number of tokens in flight, without those of complete outputs.
func (l *Limiter) Tokens() int { return l.tokens - l.completeTokens }

// Requests returns the number of permits whose output is not complete.
func (l *Limiter) Requests() int { return len(l.entries) - l.completePermits }

// LongPrefills returns the number of long prefills in flight.
func (l *Limiter) LongPrefills() int { return l.longPrefills }
