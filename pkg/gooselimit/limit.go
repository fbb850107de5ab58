// Package gooselimit holds the limits of one replica: memory, concurrency, the
// cold limits with their ramp-up on evidence, long prefills, and exclusive use.
package gooselimit

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Demand is what one permit takes from a replica.
type Demand struct {
	// Tokens is the memory in tokens (prompt and output).
	Tokens int
	// Long marks a long prefill; a replica runs at most one.
	Long bool
	// Exclusive marks a suspect; it runs alone on its replica.
	Exclusive bool
	// Foreign marks work that another dispatcher may have placed. It counts
	// against the limits, but not against this dispatcher's share of them.
	Foreign bool
	// Prefill are the prompt tokens to compute until the first token.
	Prefill int
	// Priority is that of the engine, from 0 to Priorities-1; a smaller number
	// runs earlier.
	Priority int
}

// Share is the part of a replica's limits that one dispatcher may use while
// another one may grant on the same replica.
type Share string

// Shares of the limits. The larger and the smaller half together are the whole.
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
	// complete is set once nothing is left to compute.
	complete bool
}

// Replica keeps the limits of one replica. It is not safe for concurrent use.
type Replica struct {
	spec goose.BackendServer
	// factor is the ramp: limits are the cold limits times factor.
	factor int
	// successes counts towards the next doubling.
	successes int
	// generation rises each time the replica turns cold; permits of an older
	// generation are no evidence of warmth.
	generation int64
	warm       bool
	share      Share

	entries map[goose.PermitID]entry
	tokens  int
	// foreign and foreignTokens are the parts of entries and tokens that other
	// dispatchers may have placed.
	foreign, foreignTokens int
	// complete and completeTokens are the parts of entries and tokens that only
	// occupy memory.
	complete, completeTokens int

	longs     int
	exclusive int
	// prefills are the prompt tokens of permits without a first token.
	prefills [Priorities]int
}

// New returns the limits of a cold replica.
func New(spec goose.BackendServer) *Replica {
	r := &Replica{spec: spec, factor: 1, entries: map[goose.PermitID]entry{}}
	r.settle()
	return r
}

// SetSpec applies changed limits; the ramp goes on from where it is.
func (r *Replica) SetSpec(spec goose.BackendServer) {
	r.spec = spec
	if r.warm {
		return
	}
	r.settle()
}

// Spec returns the configured limits.
func (r *Replica) Spec() goose.BackendServer { return r.spec }

// SetShare bounds this dispatcher's own permits to a share of the configured
// limits. The cold limits are not shared: one dispatcher alone may use them.
func (r *Replica) SetShare(s Share) { r.share = s }

// ownFits reports whether the share of the limits leaves room for the demand
// beside this dispatcher's own permits.
func (r *Replica) ownFits(d Demand) bool {
	if r.share == ShareWhole {
		return true
	}
	return len(r.entries)-r.foreign < r.share.of(r.spec.Concurrency) &&
		r.tokens-r.foreignTokens+d.Tokens <= r.share.of(r.spec.MemoryTokens)
}

// Concurrency returns the present limit of this dispatcher's requests in flight.
func (r *Replica) Concurrency() int { return min(r.concurrency(), r.share.of(r.spec.Concurrency)) }

// TokenLimit returns the present limit of this dispatcher's tokens in flight.
func (r *Replica) TokenLimit() int { return min(r.tokenLimit(), r.share.of(r.spec.MemoryTokens)) }

// concurrency returns the limit of all requests in flight.
func (r *Replica) concurrency() int {
	if r.warm {
		return r.spec.Concurrency
	}
	return min(r.spec.Concurrency, scaled(r.spec.ColdConcurrency, r.factor))
}

// tokenLimit returns the limit of all tokens in flight.
func (r *Replica) tokenLimit() int {
	if r.warm {
		return r.spec.MemoryTokens
	}
	return min(r.spec.MemoryTokens, scaled(r.spec.ColdTokens, r.factor))
}

// maxFactor bounds the ramp so that limits cannot overflow.
const maxFactor = 1 << 20

func scaled(limit, factor int) int {
	if limit <= 0 {
		return 0
	}
	return limit * factor
}

// Cold reports whether a limit is still below the configured one.
func (r *Replica) Cold() bool { return !r.warm }

// Fits reports whether the demand can be granted now.
func (r *Replica) Fits(d Demand) bool {
	switch {
	case r.exclusive > 0, d.Exclusive && len(r.entries) > 0:
		return false
	case d.Long && r.longs > 0:
		return false
	case r.Requests() >= r.concurrency():
		return false
	}
	return d.Tokens <= r.room() && r.ownFits(d)
}

// room returns the tokens that fit beside those in flight. The memory of complete
// answers is no load, so that a cold replica bears as much beside them.
func (r *Replica) room() int {
	return min(r.tokenLimit()-r.Tokens(), r.spec.MemoryTokens-r.tokens)
}

// Free returns the tokens that can be granted now; zero if no request fits.
func (r *Replica) Free() int {
	if r.exclusive > 0 || r.Requests() >= r.concurrency() || !r.ownFits(Demand{}) {
		return 0
	}
	own := r.share.of(r.spec.MemoryTokens) - (r.tokens - r.foreignTokens)
	return max(0, min(r.room(), own))
}

// Add counts a permit. Adding a known id has no effect. It does not check the
// limits: permits and streams found at a takeover count even above them.
func (r *Replica) Add(id goose.PermitID, d Demand) {
	if _, ok := r.entries[id]; ok {
		return
	}
	r.entries[id] = entry{demand: d, generation: r.generation}
	r.tokens += d.Tokens
	if d.Foreign {
		r.foreign++
		r.foreignTokens += d.Tokens
	}
	r.prefills[d.Priority] += d.Prefill
	if d.Long {
		r.longs++
	}
	if d.Exclusive {
		r.exclusive++
	}
}

// PrefillDone notes that the prefill of a permit is over.
func (r *Replica) PrefillDone(id goose.PermitID) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if e.demand.Long {
		r.longs--
	}
	r.prefills[e.demand.Priority] -= e.demand.Prefill
	e.demand.Long, e.demand.Prefill = false, 0
	r.entries[id] = e
}

// Complete notes that the output of a permit is whole and waits in the replica's
// memory for its reader. It no longer counts against concurrency and the cold
// limits, and with no more memory than the given tokens.
func (r *Replica) Complete(id goose.PermitID, tokens int) {
	r.PrefillDone(id)
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !e.complete {
		e.complete = true
		r.complete++
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

// Prefills returns the prompt tokens that the replica has to compute for
// permits of the priority or an earlier one.
func (r *Replica) Prefills(priority int) int {
	n := 0
	for _, tokens := range r.prefills[:priority+1] {
		n += tokens
	}
	return n
}

// Remove frees a permit; false if it is not counted. success is set if the
// whole answer came with its first token in time; it raises the limits if the
// permit was granted since the replica last turned cold.
func (r *Replica) Remove(id goose.PermitID, success bool) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	delete(r.entries, id)
	r.tokens -= e.demand.Tokens
	if e.demand.Foreign {
		r.foreign--
		r.foreignTokens -= e.demand.Tokens
	}
	if e.complete {
		r.complete--
		r.completeTokens -= e.demand.Tokens
	}
	r.prefills[e.demand.Priority] -= e.demand.Prefill
	if e.demand.Long {
		r.longs--
	}
	if e.demand.Exclusive {
		r.exclusive--
	}
	if success && e.generation == r.generation {
		r.succeed()
	}
	return true
}

func (r *Replica) succeed() {
	if r.warm {
		return
	}
	r.successes++
	if r.successes < r.concurrency() {
		return
	}
	r.successes = 0
	r.factor = min(2*r.factor, maxFactor)
	r.settle()
}

// settle marks the replica warm once both limits reached the configured ones.
func (r *Replica) settle() {
	r.warm = r.concurrency() >= r.spec.Concurrency && r.tokenLimit() >= r.spec.MemoryTokens
}

// TurnCold puts the replica back to its cold limits. It returns false if the
// replica was cold and had not begun to ramp up.
func (r *Replica) TurnCold() bool {
	changed := r.warm || r.factor > 1
	r.factor, r.successes, r.warm = 1, 0, false
	r.generation++
	return changed
}

// Ramp returns the factor of the ramp; zero if the replica is warm.
func (r *Replica) Ramp() int {
	if r.warm {
		return 0
	}
	return r.factor
}

// Restore sets the ramp from a handover or from evidence of peers; zero is warm.
func (r *Replica) Restore(factor int) {
	if factor <= 0 {
		r.warm = true
		return
	}
	r.factor, r.successes = min(factor, maxFactor), 0
	r.settle()
}

// Has reports whether the permit is counted.
func (r *Replica) Has(id goose.PermitID) bool {
	_, ok := r.entries[id]
	return ok
}

// Current reports whether the permit was granted since the replica last turned cold.
func (r *Replica) Current(id goose.PermitID) bool {
	e, ok := r.entries[id]
	return ok && e.generation == r.generation
}

// Tokens returns the tokens in flight, without those of complete answers.
func (r *Replica) Tokens() int { return r.tokens - r.completeTokens }

// Requests returns the permits in flight that the replica has still to compute for.
func (r *Replica) Requests() int { return len(r.entries) - r.complete }

// Longs returns the long prefills in flight.
func (r *Replica) Longs() int { return r.longs }
