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
	// generation increases each time the replica turns cold. Permits of an older generation
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
	r := &Limiter{spec: spec, rampFactor: 1, entries: map[goose.PermitID]entry{}}
	r.updateWarm()
	return r
}

// SetSpec changes the configured limits. The ramp-up continues with its present factor.
func (r *Limiter) SetSpec(spec goose.BackendServer) {
	r.spec = spec
	if r.warm {
		return
	}
	r.updateWarm()
}

// Spec returns the configured limits.
func (r *Limiter) Spec() goose.BackendServer { return r.spec }

// SetShare limits this dispatcher's own permits to a share of the configured limits. The
// cold limits are not divided, since only one dispatcher may use them at a time.
func (r *Limiter) SetShare(s Share) { r.share = s }

// fitsShare reports whether the demand fits into this dispatcher's share of the limits in
// addition to its own permits.
func (r *Limiter) fitsShare(d Demand) bool {
	if r.share == ShareWhole {
		return true
	}
	return len(r.entries)-r.foreignPermits < r.share.of(r.spec.Concurrency) &&
		r.tokens-r.foreignTokens+d.Tokens <= r.share.of(r.spec.MemoryTokens)
}

// Concurrency returns the present limit of requests in flight for this dispatcher.
func (r *Limiter) Concurrency() int { return min(r.concurrency(), r.share.of(r.spec.Concurrency)) }

// TokenLimit returns the present limit of tokens in flight for this dispatcher.
func (r *Limiter) TokenLimit() int { return min(r.tokenLimit(), r.share.of(r.spec.MemoryTokens)) }

// concurrency returns the present limit of all requests in flight.
func (r *Limiter) concurrency() int {
	if r.warm {
		return r.spec.Concurrency
	}
	return min(r.spec.Concurrency, scaleLimit(r.spec.ColdConcurrency, r.rampFactor))
}

// tokenLimit returns the present limit of all tokens in flight.
func (r *Limiter) tokenLimit() int {
	if r.warm {
		return r.spec.MemoryTokens
	}
	return min(r.spec.MemoryTokens, scaleLimit(r.spec.ColdTokens, r.rampFactor))
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
func (r *Limiter) Cold() bool { return !r.warm }

// Fits reports whether a permit with the demand can be granted now.
func (r *Limiter) Fits(d Demand) bool {
	switch {
	case r.exclusivePermits > 0, d.Exclusive && len(r.entries) > 0:
		return false
	case d.Long && r.longPrefills > 0:
		return false
	case r.Requests() >= r.concurrency():
		return false
	}
	return d.Tokens <= r.availableTokens() && r.fitsShare(d)
}

// availableTokens returns how many more tokens fit into the limits. Complete outputs occupy
// memory but are not load: they do not count against the token limit of a cold replica.
func (r *Limiter) availableTokens() int {
	return min(r.tokenLimit()-r.Tokens(), r.spec.MemoryTokens-r.tokens)
}

// FreeTokens returns the number of tokens that can be granted now; zero if no request fits.
func (r *Limiter) FreeTokens() int {
	if r.exclusivePermits > 0 || r.Requests() >= r.concurrency() || !r.fitsShare(Demand{}) {
		return 0
	}
	own := r.share.of(r.spec.MemoryTokens) - (r.tokens - r.foreignTokens)
	return max(0, min(r.availableTokens(), own))
}

// Add counts a permit. Adding a counted permit again has no effect. Add does not check the
// limits, since permits and streams that are found at a takeover count even if they exceed
// the limits.
func (r *Limiter) Add(id goose.PermitID, d Demand) {
	if _, ok := r.entries[id]; ok {
		return
	}
	r.entries[id] = entry{demand: d, generation: r.generation}
	r.tokens += d.Tokens
	if d.Foreign {
		r.foreignPermits++
		r.foreignTokens += d.Tokens
	}
	r.prefillTokens[d.Priority] += d.Prefill
	if d.Long {
		r.longPrefills++
	}
	if d.Exclusive {
		r.exclusivePermits++
	}
}

// PrefillDone records that the prefill of a permit has ended.
func (r *Limiter) PrefillDone(id goose.PermitID) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if e.demand.Long {
		r.longPrefills--
	}
	r.prefillTokens[e.demand.Priority] -= e.demand.Prefill
	e.demand.Long, e.demand.Prefill = false, 0
	r.entries[id] = e
}

// CompleteOutput records that the output of a permit is computed and remains in the replica's
// memory until it is read. The permit no longer counts against concurrency and the cold
// limits, and counts with no more memory than the given number of tokens.
func (r *Limiter) CompleteOutput(id goose.PermitID, tokens int) {
	r.PrefillDone(id)
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !e.complete {
		e.complete = true
		r.completePermits++
		r.completeTokens += e.demand.Tokens
	}
	if surplus := e.demand.Tokens - tokens; surplus > 0 {
		e.demand.Tokens -= surplus
		r.tokens -= surplus
		r.completeTokens -= surplus
		if e.demand.Foreign {
			r.foreignTokens -= surplus
		}
	}
	r.entries[id] = e
}

// PrefillTokens returns the number of prompt tokens that the replica still has to compute for
// permits of the given priority and of those that run earlier.
func (r *Limiter) PrefillTokens(priority int) int {
	n := 0
	for _, tokens := range r.prefillTokens[:priority+1] {
		n += tokens
	}
	return n
}

// Remove frees the capacity of a permit. It returns false if the permit is not counted.
// success is set if the answer was complete and its first token arrived in time. A success
// counts towards the ramp-up if the permit was granted since the replica last turned cold.
func (r *Limiter) Remove(id goose.PermitID, success bool) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	delete(r.entries, id)
	r.tokens -= e.demand.Tokens
	if e.demand.Foreign {
		r.foreignPermits--
		r.foreignTokens -= e.demand.Tokens
	}
	if e.complete {
		r.completePermits--
		r.completeTokens -= e.demand.Tokens
	}
	r.prefillTokens[e.demand.Priority] -= e.demand.Prefill
	if e.demand.Long {
		r.longPrefills--
	}
	if e.demand.Exclusive {
		r.exclusivePermits--
	}
	if success && e.generation == r.generation {
		r.recordSuccess()
	}
	return true
}

// recordSuccess counts a success. It doubles the limits after as many successes as requests
// may be in flight.
func (r *Limiter) recordSuccess() {
	if r.warm {
		return
	}
	r.successes++
	if r.successes < r.concurrency() {
		return
	}
	r.successes = 0
	r.rampFactor = min(2*r.rampFactor, maxRampFactor)
	r.updateWarm()
}

// updateWarm marks the replica as warm if both limits have reached the configured ones.
func (r *Limiter) updateWarm() {
	r.warm = r.concurrency() >= r.spec.Concurrency && r.tokenLimit() >= r.spec.MemoryTokens
}

// TurnCold resets the replica to its cold limits. It returns false if the replica was cold
// and its ramp-up had not begun.
func (r *Limiter) TurnCold() bool {
	changed := r.warm || r.rampFactor > 1
	r.rampFactor, r.successes, r.warm = 1, 0, false
	r.generation++
	return changed
}

// RampFactor returns the ramp-up factor; zero if the replica is warm.
func (r *Limiter) RampFactor() int {
	if r.warm {
		return 0
	}
	return r.rampFactor
}

// RestoreRamp sets the ramp-up factor from a handover or from evidence of peers. Zero means that
// the replica is warm.
func (r *Limiter) RestoreRamp(factor int) {
	if factor <= 0 {
		r.warm = true
		return
	}
	r.rampFactor, r.successes = min(factor, maxRampFactor), 0
	r.updateWarm()
}

// Has reports whether the permit is counted.
func (r *Limiter) Has(id goose.PermitID) bool {
	_, ok := r.entries[id]
	return ok
}

// GrantedSinceCold reports whether the permit is counted and was granted since the replica last turned
// cold.
func (r *Limiter) GrantedSinceCold(id goose.PermitID) bool {
	e, ok := r.entries[id]
	return ok && e.generation == r.generation
}

// Tokens returns the number of tokens in flight, without those of complete outputs.
func (r *Limiter) Tokens() int { return r.tokens - r.completeTokens }

// Requests returns the number of permits whose output is not complete.
func (r *Limiter) Requests() int { return len(r.entries) - r.completePermits }

// LongPrefills returns the number of long prefills in flight.
func (r *Limiter) LongPrefills() int { return r.longPrefills }
