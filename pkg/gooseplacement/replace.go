package gooseplacement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// maxHelpers is the largest number of helpers of one request.
const maxHelpers = maxParts - 1

// Replace moves the memory that helpers of an attempt have refused to other replicas and keeps
// the other helpers. It returns the changed choice and the helpers that were added. The
// replicas at fault must be in d.Avoid. It returns false if the other replicas do not have
// enough free memory, or would delay the first event beyond within.
func (pl *Placer) Replace(c Choice, refused []goose.ReplicaID, d Demand, replicas []goosedirectory.Replica, within time.Duration, now time.Time) (Choice, []Helper, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	a, ok := pl.attempts[c.AttemptID]
	if _, leaves := pl.leaving[processOf(c.Replica)]; !ok || leaves {
		return c, nil, false
	}
	pl.table.removeStale(now)
	kept, tokens := keptHelpers(c, refused)
	share := d.Service.Engine.PrefillTime(d.PromptTokens) / time.Duration(len(a.parts))
	spare := pl.spareReplicas(c, d, replicas, share, within, now)
	taken := substitute(spareTokens(spare, *d.Service.Engine), tokens, len(c.Helpers)-len(kept), maxHelpers-len(kept))
	if taken == nil {
		return c, nil, false
	}
	var added []Helper
	for i, n := range taken {
		if n > 0 {
			added = append(added, Helper{Replica: spare[i].Replica.Replica, Tokens: n})
		}
	}
	c.Helpers = slices.Concat(kept, added)
	pl.setParts(c.AttemptID, a, c)
	return c, added, true
}

// keptHelpers returns the helpers that have not refused, and the tokens of the others.
func keptHelpers(c Choice, refused []goose.ReplicaID) ([]Helper, int) {
	var kept []Helper
	tokens := 0
	for _, h := range c.Helpers {
		if slices.Contains(refused, h.Replica.ID) {
			tokens += h.Tokens
			continue
		}
		kept = append(kept, h)
	}
	return kept, tokens
}

// spareReplicas returns the replicas that do not take part in the choice and would finish their
// part of the prefill in time, in order of their cost. The lock must be held.
func (pl *Placer) spareReplicas(c Choice, d Demand, replicas []goosedirectory.Replica, share, within time.Duration, now time.Time) []candidate {
	all, _ := pl.candidates(d, pl.withoutLeaving(replicas), now)
	var spare []candidate
	for _, r := range all {
		used := r.ID == c.Replica.ID || slices.ContainsFunc(c.Helpers, func(h Helper) bool { return h.Replica.ID == r.ID })
		if used || r.load.Prefill+share+passDuration(*d.Service.Engine, r.load) > max(within, c.Expected) {
			continue
		}
		pl.setCost(&r, *d.Service.Engine, false, 0, now)
		r.cost += r.markCost
		spare = append(spare, r)
	}
	sort.SliceStable(spare, func(i, j int) bool { return spare[i].cost < spare[j].cost })
	return spare
}

// spareTokens returns the memory that one prompt may reserve at each replica, in tokens.
func spareTokens(all []candidate, e goose.EngineProfile) []int {
	spare := make([]int, len(all))
	for i, c := range all {
		spare[i] = int(reserveShare * float64(freeTokens(c, e)))
	}
	return spare
}

// substitute distributes tokens over replicas with the given spare memory, which are ordered by
// preference, and returns the tokens of each. It uses the first parts replicas that have room
// for an equal share, or else the largest ones, at most limit. It returns nil if these do not
// have enough.
func substitute(spare []int, tokens, parts, limit int) []int {
	if tokens <= 0 || parts <= 0 {
		return nil
	}
	share := (tokens + parts - 1) / parts
	var order []int
	for i, n := range spare {
		if n >= share && len(order) < parts {
			order = append(order, i)
		}
	}
	if len(order) < parts || parts > limit {
		share = tokens
		order = order[:0]
		for i := range spare {
			order = append(order, i)
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(spare[b], spare[a]) })
		order = order[:max(min(len(order), limit), 0)]
	}
	taken := make([]int, len(spare))
	for _, i := range order {
		taken[i] = max(min(spare[i], share, tokens), 0)
		tokens -= taken[i]
	}
	if tokens > 0 {
		return nil
	}
	return taken
}

// setParts replaces the parts of an attempt by those of the changed choice and divides the
// prefill equally. The lock must be held.
func (pl *Placer) setParts(id uint64, a *attempt, c Choice) {
	total := time.Duration(0)
	for _, p := range a.parts {
		total += p.prefill
		delete(pl.replicas[p.replica].parts, id)
	}
	share := total / time.Duration(1+len(c.Helpers))
	a.parts = append(a.parts[:0:0], part{replica: c.Replica.ID, prefill: share})
	for _, h := range c.Helpers {
		a.parts = append(a.parts, part{replica: h.Replica.ID, prefill: share, reservedTokens: h.Tokens})
	}
	for i, p := range a.parts {
		pl.replicas[p.replica].parts[id] = i
	}
	pl.requestReport()
}

const (
	// maxReservationRounds bounds the calls that one attempt costs the replicas.
	maxReservationRounds = 4
	// maxReservationTime keeps the first reservations of a set from expiring before the last
	// one is made: together with the interval of renewals it is below their lifetime.
	maxReservationTime = 2 * time.Second
	// lateReservationShare is the part of the time left that the reservations may take if the
	// objective is missed in any case.
	lateReservationShare = 1.0 / 16
	// roundShare is the part of the remaining time that one round may take, so that a replica
	// that does not respond can be replaced.
	roundShare = 0.5
)

// ReservationLimit bounds the reservations of an attempt in rounds and time.
type ReservationLimit struct {
	until time.Time
	// firstEventBy is when the first event is due.
	firstEventBy time.Time
}

// NewReservationLimit returns the limit for an attempt of a request that arrived at arrived:
// what the objective leaves beside the prefill.
func NewReservationLimit(c Choice, d Demand, arrived, now time.Time) ReservationLimit {
	late := time.Duration(lateReservationShare * float64(d.TimeLeft))
	left := max(arrived.Add(d.Objective).Sub(now)-c.Expected, late)
	l := ReservationLimit{until: now.Add(min(left, maxReservationTime)), firstEventBy: arrived.Add(d.Objective)}
	if !now.Before(l.firstEventBy) {
		l.firstEventBy = now.Add(d.TimeLeft)
	}
	return l
}

// AllowsRound reports whether the n-th round, counted from 1, may begin.
func (l ReservationLimit) AllowsRound(n int, now time.Time) bool {
	return n <= maxReservationRounds && now.Before(l.until)
}

// RoundTime returns how long a round that begins now may wait for responses.
func (l ReservationLimit) RoundTime(now time.Time) time.Duration {
	return time.Duration(roundShare * float64(l.until.Sub(now)))
}

// Within returns the time that is left until the first event is due.
func (l ReservationLimit) Within(now time.Time) time.Duration { return l.firstEventBy.Sub(now) }
