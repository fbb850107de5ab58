package gooseplacement

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// Demand describes the requirements of a request.
type Demand struct {
	Service goose.RoutedService
	// PromptTokens and OutputTokens are zero for services without an engine.
	PromptTokens, OutputTokens int
	// LongestPause is the longest pause between two events with which the stream is still
	// on time.
	LongestPause time.Duration
	// Objective is the target for the time to the first event; zero if there is none, so
	// that a late response is still better than a refusal.
	Objective time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// CallerRetry is set if the caller was refused before. Its response is late in any case, and
	// a second refusal is final.
	CallerRetry bool
	// Avoid is the set of replicas that were already tried.
	Avoid map[goose.ReplicaID]bool
}

// Helper is a replica that prefills a part of the prompt of another replica.
type Helper struct {
	Replica goose.Replica
	// Tokens is the memory to reserve at the helper, in tokens; zero if the helper only
	// computes its part of the prefill.
	Tokens int
}

// Choice is the placement of an attempt. Its capacity is counted until Placer.RecordEnd is
// called.
type Choice struct {
	// AttemptID is the id of the attempt.
	AttemptID uint64
	Replica   goose.Replica
	Helpers   []Helper
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Load is the load of the replica before this attempt, according to the information at
	// this instance.
	Load Load
}

// Obstacle is the reason why a request cannot be placed now.
type Obstacle string

// Reasons why a request cannot be placed.
const (
	ObstacleNone Obstacle = ""
	// ObstacleNoReplica means that the service has no known replica that was not already
	// tried.
	ObstacleNoReplica Obstacle = "no-replica"
	// ObstacleLeaving means that all replicas of the service leave.
	ObstacleLeaving Obstacle = "leaving"
	// ObstaclePaused means that the replicas want no requests from this instance for a while.
	ObstaclePaused Obstacle = "paused"
	// ObstacleCold means that all replicas have reached the request rate bound for cold
	// replicas.
	ObstacleCold Obstacle = "cold"
	// ObstacleMemory means that no set of replicas has enough free memory.
	ObstacleMemory Obstacle = "memory"
	// ObstacleFull means that a short request would miss its objective on every
	// replica.
	ObstacleFull Obstacle = "full"
	// ObstacleHuge means that not enough replicas are idle for a huge prompt.
	ObstacleHuge Obstacle = "huge"
	// ObstacleLate means that no replica can respond before the deadline.
	ObstacleLate Obstacle = "late"
)

// candidate is a replica that may serve the request.
type candidate struct {
	goosedirectory.Replica
	load  Load
	state *replicaState
	// inLongPool is set if the replica belongs to the pool for long prompts.
	inLongPool bool
	// markCost is the cost of the replica's marks.
	markCost time.Duration
	// cost ranks the replica. It is the estimated time to the first event plus penalties;
	// without an engine, the utilisation of the slots takes the place of the estimate.
	cost time.Duration
}

// Choose picks the replicas of a request among those of its service and counts the
// attempt. It returns an obstacle if the request cannot be placed now.
func (pl *Placer) Choose(d Demand, replicas []goosedirectory.Replica, now time.Time) (Choice, Obstacle) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	p, o := pl.place(d, replicas, now)
	if o != ObstacleNone {
		return Choice{}, o
	}
	return pl.countAttempt(d, p, now), ObstacleNone
}

// CanPlace reports whether Choose would find replicas. It does not count an attempt.
func (pl *Placer) CanPlace(d Demand, replicas []goosedirectory.Replica, now time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	_, o := pl.place(d, replicas, now)
	return o == ObstacleNone
}

// place picks the replicas of a request without counting an attempt. If the data centres
// report sums, the loads of its own replicas are known best, so the replicas of the others
// are used only if none of its own can serve the request in good time.
func (pl *Placer) place(d Demand, replicas []goosedirectory.Replica, now time.Time) (placement, Obstacle) {
	pl.table.removeStale(now)
	staying := pl.withoutLeaving(replicas)
	if len(staying) == 0 && len(replicas) > 0 {
		return placement{}, ObstacleLeaving
	}
	all, obstacle := pl.candidates(d, staying, now)
	if obstacle != ObstacleNone {
		return placement{}, obstacle
	}
	own := all
	if pl.table.split() {
		own = pl.ownCandidates(all)
	}
	if len(own) == 0 || len(own) == len(all) {
		return pl.placeAmong(d, all, now)
	}
	near, obstacle := pl.placeAmong(d, own, now)
	if obstacle == ObstacleNone && near.inGoodTime(d) {
		return near, ObstacleNone
	}
	if d.Service.Engine != nil {
		all = pl.withoutFullDataCentres(*d.Service.Engine, all)
	}
	far, farObstacle := pl.placeAmong(d, all, now)
	if farObstacle != ObstacleNone || obstacle == ObstacleNone && far.freeSlots(d) <= near.freeSlots(d) && near.expected <= far.expected {
		return near, obstacle
	}
	return far, ObstacleNone
}

// inGoodTime reports whether the first replica has more than the last of its slots free,
// which a request of a peer may take at the same time, and the estimate is well within the
// objective.
func (p placement) inGoodTime(d Demand) bool {
	return p.freeSlots(d) > 1 && (d.Objective <= 0 || p.expected <= time.Duration(nearShare*float64(d.Objective)))
}

// freeSlots returns the number of free slots of the first replica.
func (p placement) freeSlots(d Demand) int {
	if p.replicas[0].markCost >= fullPenalty {
		return 0
	}
	slots := p.replicas[0].Slots
	if d.Service.Engine != nil {
		slots = d.Service.Engine.Slots
	}
	return slots - p.replicas[0].load.Requests
}

// nearShare is the part of the objective that the estimate for the replicas of the own data
// centre may take; above it, those of the others are considered.
const nearShare = 0.8

// placeAmong picks the replicas of a request among the candidates, whose order it may change.
func (pl *Placer) placeAmong(d Demand, all []candidate, now time.Time) (placement, Obstacle) {
	if d.Service.Engine == nil {
		return pl.placePlain(all, now), ObstacleNone
	}
	return pl.placeEngine(d, all, now)
}

// anyFar reports whether any of the candidates belongs to another data centre.
func (pl *Placer) anyFar(all []candidate) bool {
	return slices.ContainsFunc(all, func(c candidate) bool { return c.DataCentre != pl.opts.DataCentre })
}

// ownCandidates returns the candidates of the own data centre.
func (pl *Placer) ownCandidates(all []candidate) []candidate {
	var own []candidate
	for _, c := range all {
		if c.DataCentre == pl.opts.DataCentre {
			own = append(own, c)
		}
	}
	return own
}

// candidates returns the replicas that were not already tried and are not suspended. If all
// of them are suspended, it returns the suspended ones. It returns an obstacle if there are
// none.
func (pl *Placer) candidates(d Demand, replicas []goosedirectory.Replica, now time.Time) ([]candidate, Obstacle) {
	long := pl.longPool(d.Service, replicas, now)
	bound := pl.coldBound(d.Service, now)
	var healthy, suspended []candidate
	none := ObstacleNoReplica
	for _, r := range replicas {
		if d.Avoid[r.ID] {
			continue
		}
		s := pl.stateOf(r.Replica)
		if bound.reached(s, r.DataCentre == pl.opts.DataCentre, now.Before(r.ColdUntil.Add(coldMargin)), now) {
			none = ObstacleCold
			continue
		}
		if s.isPaused(now) {
			if none == ObstacleNoReplica {
				none = ObstaclePaused
			}
			continue
		}
		c := candidate{Replica: r, load: pl.load(r.ID, now), state: s, inLongPool: long[r.ID]}
		c.markCost = pl.markCost(r.Replica, c.load, d, now)
		if now.Before(s.health.suspendedUntil) {
			suspended = append(suspended, c)
			continue
		}
		healthy = append(healthy, c)
	}
	switch {
	case len(healthy) > 0:
		return healthy, ObstacleNone
	case len(suspended) > 0:
		return suspended, ObstacleNone
	}
	return nil, none
}

// placePlain picks the replica of a service without an engine, by the number of requests in
// flight relative to its slots.
func (pl *Placer) placePlain(all []candidate, now time.Time) placement {
	for i := range all {
		c := &all[i]
		utilisation := float64(c.load.Requests+1) / float64(max(c.Slots, 1))
		c.cost = time.Duration(utilisation*c.state.health.slownessAt(now)*float64(fullSlotsCost)) +
			time.Duration(c.state.health.failureRate*float64(failurePenalty)) + pl.distance(c.DataCentre) + c.markCost
	}
	return placement{replicas: []candidate{all[pl.anyOfCheapest(all, plainCostSpread)]}}
}

// fullSlotsCost is the cost of a full set of slots. It weighs the utilisation of a replica
// against the penalties.
const fullSlotsCost = 50 * time.Millisecond

// distance returns the penalty for the data centre of a replica.
func (pl *Placer) distance(dc goose.DataCentre) time.Duration {
	if dc == pl.opts.DataCentre {
		return 0
	}
	return distancePenalty
}

// Instances learn of each other's requests with a delay. If all instances chose the cheapest
// replica, the requests sent within that delay would all go to the same replica. Each
// instance therefore chooses at random among the replicas whose cost is nearly the lowest.
const (
	plainCostSpread = 10 * time.Millisecond
	longCostJitter  = 60 * time.Millisecond
)

// anyOfCheapest returns the index of a random one of the replicas whose cost is within
// spread of the lowest cost.
func (pl *Placer) anyOfCheapest(all []candidate, spread time.Duration) int {
	lowest := all[0].cost
	for _, c := range all[1:] {
		lowest = min(lowest, c.cost)
	}
	var cheapest []int
	for i, c := range all {
		if c.cost <= lowest+spread {
			cheapest = append(cheapest, i)
		}
	}
	return cheapest[pl.opts.Rand(len(cheapest))]
}

// placeEngine picks one or two replicas for a short prompt and several replicas for a long
// one.
func (pl *Placer) placeEngine(d Demand, all []candidate, now time.Time) (placement, Obstacle) {
	e := *d.Service.Engine
	prefill := e.PrefillTime(d.PromptTokens)
	divided := pl.divides(prefill, all)
	short := isShort(prefill) || divided
	for i := range all {
		pl.setCost(&all[i], e, short, d.PromptTokens+d.OutputTokens, now)
		all[i].cost += all[i].markCost
		if !short {
			if prefill > mediumPartPrefill*maxParts {
				all[i].cost += time.Duration(all[i].load.MediumPauseStreams) * delayedStreamPenalty
			}
			all[i].cost += time.Duration(pl.opts.Rand(int(longCostJitter)))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].cost < all[j].cost })
	if short {
		unreported := pl.unreportedLoad(d.Service.Name, pl.anyFar(all), now)
		for n := range shortPartCount(all, prefill) {
			i := n + pl.pickWeighted(all[n:], unreported)
			all[n], all[i] = all[i], all[n]
		}
	}
	p, obstacle := plan(d, all, prefill, short)
	if divided && d.PromptTokens+d.OutputTokens <= e.MemoryTokens {
		p, obstacle = placement{replicas: dividedReplicas(all, prefill)}, ObstacleNone
	}
	if obstacle != ObstacleNone {
		return placement{}, obstacle
	}
	p.expected = p.timeToFirst(e, prefill, now)
	if d.TimeLeft > 0 && p.expected > d.TimeLeft {
		return placement{}, ObstacleLate
	}
	if isShort(prefill) && pl.wouldQueue(d, p.replicas[0], p.expected) {
		return placement{}, ObstacleFull
	}
	return p, ObstacleNone
}

// timeToFirst returns the estimated time to the first event: that of the slowest part of the
// prefill.
func (p placement) timeToFirst(e goose.EngineProfile, prefill time.Duration, now time.Time) time.Duration {
	share := prefill / time.Duration(len(p.replicas))
	slowest := time.Duration(0)
	for _, c := range p.replicas {
		wait := c.load.Prefill + share + passDuration(e, c.load)
		slowest = max(slowest, time.Duration(float64(wait)*c.state.health.slownessAt(now)))
	}
	return slowest
}

// lateFactor is the tolerance for estimates that are too high.
const lateFactor = 1.5

// wouldQueue reports whether a short request would miss its objective on the best replica.
// If such requests were accepted, the following ones would be late as well: when there are
// more requests than slots for some seconds, every response is late although no more requests
// are served.
func (pl *Placer) wouldQueue(d Demand, best candidate, expected time.Duration) bool {
	if d.Objective <= 0 {
		return false
	}
	slots := d.Service.Engine.Slots
	return best.load.Requests >= slots+pl.maxQueued(d.CallerRetry, slots) || float64(expected) > lateFactor*float64(d.Objective)
}

// countAttempt counts the attempt on its replicas. The first replica responds to the request.
func (pl *Placer) countAttempt(d Demand, p placement, now time.Time) Choice {
	replicas, reserved, expected := p.replicas, p.reservedTokens, p.expected
	prefill := time.Duration(0)
	if d.Service.Engine != nil {
		prefill = d.Service.Engine.PrefillTime(d.PromptTokens)
	}
	a := &attempt{
		tokens: d.PromptTokens + d.OutputTokens, maxPause: d.LongestPause, placedAt: now, expected: expected,
	}
	if d.Service.Engine != nil {
		a.slots = d.Service.Engine.Slots
	}
	c := Choice{Replica: replicas[0].Replica.Replica, Expected: expected, Load: replicas[0].load}
	for i, r := range replicas {
		p := part{replica: r.ID, prefill: prefill / time.Duration(len(replicas))}
		if i > 0 {
			h := Helper{Replica: r.Replica.Replica}
			if reserved != nil {
				h.Tokens = reserved[i]
				p.reservedTokens = h.Tokens
				a.tokens -= h.Tokens
			}
			c.Helpers = append(c.Helpers, h)
		}
		a.parts = append(a.parts, p)
	}
	c.AttemptID = pl.recordAttempt(a, d.Service.Name, isShort(prefill), prefill, now)
	return c
}
