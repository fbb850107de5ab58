package gooseplacement

import (
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// Demand is what a request needs.
type Demand struct {
	Service goose.RoutedService
	// PromptTokens and OutputTokens are zero for plain services.
	PromptTokens, OutputTokens int
	// LongestPause is the pause between events above which the stream is late.
	LongestPause time.Duration
	// Objective is the time to the first event within which an answer has its full
	// value; zero if a late answer is better than none.
	Objective time.Duration
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Avoid are replicas that were tried before.
	Avoid map[goose.ReplicaID]bool
}

// Helper reads a part of the prompt of another replica.
type Helper struct {
	Replica goose.Replica
	// Tokens is the memory to reserve at the helper; zero if it only reads.
	Tokens int
}

// Choice is where an attempt goes. Its capacity is counted until Board.Ended.
type Choice struct {
	Flight  uint64
	Replica goose.Replica
	Helpers []Helper
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Load is that of the replica before this attempt, by what is known here.
	Load Load
}

// Obstacle tells why there is no choice.
type Obstacle string

// Obstacles.
const (
	ObstacleNone Obstacle = ""
	// ObstacleNoReplica means that no replica of the service is known that was not
	// tried before.
	ObstacleNoReplica Obstacle = "no-replica"
	// ObstacleCold means that all replicas are at the bound for cold ones.
	ObstacleCold Obstacle = "cold"
	// ObstacleMemory means that no set of replicas has the memory.
	ObstacleMemory Obstacle = "memory"
	// ObstacleFull means that a short request would miss its objective on every
	// replica.
	ObstacleFull Obstacle = "full"
	// ObstacleHuge means that too few replicas are idle for a huge prompt.
	ObstacleHuge Obstacle = "huge"
	// ObstacleLate means that no replica can answer in time.
	ObstacleLate Obstacle = "late"
)

// Penalties in estimated time to the first event.
const (
	// requestPenalty spreads requests that are estimated alike.
	requestPenalty = 2 * time.Millisecond
	// distancePenalty is a little more than the round trip to another data centre.
	distancePenalty = 3 * time.Millisecond
	// failurePenalty is the price of a failed attempt, which is repeated elsewhere.
	failurePenalty = 800 * time.Millisecond
	// fullPenalty puts replicas without a free slot last.
	fullPenalty = 5 * time.Second
	// tightPenalty is the price of one stream that a long prefill makes late.
	tightPenalty = 100 * time.Millisecond
	// crowdPenalty is the price of one stream that several short prompts at once make
	// late.
	crowdPenalty = 15 * time.Millisecond
	// poolPenalty keeps short prompts off the replicas that read long ones, and
	// longPenalty long prompts off the others.
	poolPenalty = 200 * time.Millisecond
	longPenalty = 1500 * time.Millisecond
)

// crowdedPrefill is the reading that waits at a replica above which another short
// prompt makes the streams beside it late.
const crowdedPrefill = 90 * time.Millisecond

// candidate is a replica that may take the request.
type candidate struct {
	goosedirectory.Replica
	load  Load
	state *replica
	// long marks a replica of the pool for long prompts.
	long bool
	cost time.Duration
}

// Choose picks the replicas of a request among those of its service and counts the
// attempt. It returns an obstacle if the request cannot be served now.
func (b *Board) Choose(d Demand, replicas []goosedirectory.Replica, now time.Time) (Choice, Obstacle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, o := b.place(d, replicas, now)
	if o != ObstacleNone {
		return Choice{}, o
	}
	return b.take(d, p, now), ObstacleNone
}

// Offers reports whether Choose would find replicas; it counts nothing.
func (b *Board) Offers(d Demand, replicas []goosedirectory.Replica, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, o := b.place(d, replicas, now)
	return o == ObstacleNone
}

// place picks the replicas of a request without counting it.
func (b *Board) place(d Demand, replicas []goosedirectory.Replica, now time.Time) (placement, Obstacle) {
	b.dropSilent(now)
	all, atBound := b.candidates(d, replicas, now)
	if len(all) == 0 {
		if atBound {
			return placement{}, ObstacleCold
		}
		return placement{}, ObstacleNoReplica
	}
	if d.Service.Engine == nil {
		return b.placePlain(all, now), ObstacleNone
	}
	return b.placeEngine(d, all, now)
}

// candidates returns the replicas that were not tried and are not suspended; all
// that were not tried if every one is suspended. atBound tells that the cold bound left
// some out.
func (b *Board) candidates(d Demand, replicas []goosedirectory.Replica, now time.Time) ([]candidate, bool) {
	long := b.longPool(d.Service, replicas, now)
	var sound, suspended []candidate
	atBound := false
	for _, r := range replicas {
		if d.Avoid[r.ID] {
			continue
		}
		s := b.state(r.Replica)
		if b.atColdBound(d.Service, s, now.Before(r.ColdUntil.Add(coldMargin)), now) {
			atBound = true
			continue
		}
		c := candidate{Replica: r, load: b.load(r.ID, now), state: s, long: long[r.ID]}
		if now.Before(s.health.suspended) {
			suspended = append(suspended, c)
			continue
		}
		sound = append(sound, c)
	}
	if len(sound) == 0 {
		return suspended, atBound
	}
	return sound, atBound
}

const (
	// coldWindow is the time over which a cold replica's requests are bounded.
	coldWindow = time.Second
	// coldShare is the part of the cold bound that the instances use together: a
	// request can arrive later than it was sent.
	coldShare = 0.8
	// coldMargin is added to the time for which a replica says that it is cold.
	coldMargin = time.Second
	// warmFactor widens an instance's share of the bound for a replica that does not
	// say that it is cold: it can turn cold before anybody is told, but instances
	// rarely all send to the same one.
	warmFactor = 2.5
)

// atColdBound reports whether the replica got this instance's share of what a cold
// one may get.
func (b *Board) atColdBound(s goose.RoutedService, r *replica, cold bool, now time.Time) bool {
	if s.ColdRate <= 0 {
		return false
	}
	share := coldShare * (s.ColdRate*b.o.ColdFactor + b.o.ColdSlack) / float64(1+len(b.peers))
	if !cold {
		share *= warmFactor
	}
	window := coldWindow
	if share < 1 {
		window = time.Duration(float64(coldWindow) / share)
		share = 1
	}
	drop := 0
	for drop < len(r.sent) && now.Sub(r.sent[drop]) > window {
		drop++
	}
	r.sent = r.sent[drop:]
	return len(r.sent) >= int(share)
}

// placePlain picks the replica with the fewest requests for its slots.
func (b *Board) placePlain(all []candidate, now time.Time) placement {
	for i := range all {
		c := &all[i]
		used := float64(c.load.Requests+1) / float64(max(c.Slots, 1))
		c.cost = time.Duration(used*c.state.health.factor(now)*float64(plainUnit)) +
			time.Duration(c.state.health.failures*float64(failurePenalty)) + b.distance(c.DataCentre)
	}
	return placement{replicas: []candidate{all[b.anyOfCheapest(all, plainSpread)]}}
}

// plainUnit weighs a full set of slots against the other penalties.
const plainUnit = 50 * time.Millisecond

func (b *Board) distance(dc goose.DataCentre) time.Duration {
	if dc == b.o.DataCentre {
		return 0
	}
	return distancePenalty
}

// Instances know each other's requests only with a lag. If all took the cheapest
// replica, the requests of that time would meet there; so each takes any of those that
// are hardly worse.
const (
	plainSpread = 10 * time.Millisecond
	longSpread  = 60 * time.Millisecond
)

// anyOfCheapest returns the index of one of the replicas whose cost is within spread
// of the least.
func (b *Board) anyOfCheapest(all []candidate, spread time.Duration) int {
	least := all[0].cost
	for _, c := range all[1:] {
		least = min(least, c.cost)
	}
	var near []int
	for i, c := range all {
		if c.cost <= least+spread {
			near = append(near, i)
		}
	}
	return near[b.o.Rand(len(near))]
}

// placeEngine places short prompts on one or two replicas and reads long ones on several.
func (b *Board) placeEngine(d Demand, all []candidate, now time.Time) (placement, Obstacle) {
	e := *d.Service.Engine
	prefill := e.Prefill(d.PromptTokens)
	short := isShort(prefill)
	for i := range all {
		b.price(&all[i], e, short, d.PromptTokens+d.OutputTokens, now)
		if !short {
			if prefill > mediumPart*maxParts {
				all[i].cost += time.Duration(all[i].load.Medium) * tightPenalty
			}
			all[i].cost += time.Duration(b.o.Rand(int(longSpread)))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].cost < all[j].cost })
	if short {
		work := b.unseen(d.Service.Name, now)
		for n := range shortWidth(all, prefill) {
			i := n + b.draw(all[n:], work)
			all[n], all[i] = all[i], all[n]
		}
	}
	p, obstacle := plan(d, all, prefill, short)
	if obstacle != ObstacleNone {
		return placement{}, obstacle
	}
	share := prefill / time.Duration(len(p.replicas))
	for _, c := range p.replicas {
		wait := c.load.Prefill + share + pass(e, c.load)
		p.expected = max(p.expected, time.Duration(float64(wait)*c.state.health.factor(now)))
	}
	if d.TimeLeft > 0 && p.expected > d.TimeLeft {
		return placement{}, ObstacleLate
	}
	if short && b.wouldQueue(d, p.replicas[0], p.expected) {
		return placement{}, ObstacleFull
	}
	return p, ObstacleNone
}

// queueSlots is the number of requests that may wait for a slot of a replica: one
// becomes free several times in the objective of a short request.
const queueSlots = 1

// lateFactor allows for estimates that are too long.
const lateFactor = 1.5

// wouldQueue reports whether a short request would miss its objective on the best
// replica. Taken all the same, it would make the next ones late as well: more requests
// than slots for some seconds make every answer late, and none of them more are served.
func (b *Board) wouldQueue(d Demand, best candidate, expected time.Duration) bool {
	if d.Objective <= 0 {
		return false
	}
	return best.load.Requests >= d.Service.Engine.Slots+queueSlots || float64(expected) > lateFactor*float64(d.Objective)
}

// price sets the cost of a replica for a request.
func (b *Board) price(c *candidate, e goose.EngineProfile, short bool, tokens int, now time.Time) {
	wait := c.load.Prefill + pass(e, c.load)
	cost := time.Duration(float64(wait) * c.state.health.factor(now))
	cost += time.Duration(c.load.Requests)*requestPenalty + b.distance(c.DataCentre)
	cost += time.Duration(c.state.health.failures * float64(failurePenalty))
	switch {
	case short && c.long:
		cost += poolPenalty
	case short && c.load.Prefill > crowdedPrefill:
		// One pass would read so many prompts that the streams beside it pause.
		cost += time.Duration(c.load.Tight) * crowdPenalty
	case !short && !c.long:
		cost += longPenalty + time.Duration(c.load.Tight)*tightPenalty
	case !short:
		cost += time.Duration(c.load.Tight) * tightPenalty
	}
	if c.load.Requests >= e.Slots || short && c.load.Tokens+tokens > e.MemoryTokens {
		cost += fullPenalty
	}
	c.cost = cost
}

// pass is the time of one pass of an engine with the load: it ends before a new
// prompt is read.
func pass(e goose.EngineProfile, l Load) time.Duration {
	writers := l.Requests - l.Waiting
	step := e.Step + time.Duration(max(writers, 1))*e.PerSequence +
		time.Duration(float64(l.Tokens)/1000*float64(e.ContextPerThousand))
	return step * time.Duration(max(e.Stride, 1))
}

// take counts the attempt on its replicas; the first one answers.
func (b *Board) take(d Demand, p placement, now time.Time) Choice {
	on, reserved, expected := p.replicas, p.tokens, p.expected
	prefill := time.Duration(0)
	if d.Service.Engine != nil {
		prefill = d.Service.Engine.Prefill(d.PromptTokens)
	}
	f := &flight{
		tokens: d.PromptTokens + d.OutputTokens, pause: d.LongestPause, begun: now, expected: expected,
	}
	c := Choice{Replica: on[0].Replica.Replica, Expected: expected, Load: on[0].load}
	for i, r := range on {
		p := part{replica: r.ID, prefill: prefill / time.Duration(len(on))}
		if i > 0 {
			h := Helper{Replica: r.Replica.Replica}
			if reserved != nil {
				h.Tokens = reserved[i]
				p.reserved = h.Tokens
				f.tokens -= h.Tokens
			}
			c.Helpers = append(c.Helpers, h)
		}
		f.parts = append(f.parts, p)
	}
	c.Flight = b.begin(f, d.Service.Name, isShort(prefill), prefill, now)
	return c
}
