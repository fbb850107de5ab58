package goosedispatch

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

const (
	// estimateAge is how long an estimate counts without a new observation.
	// Requests that it refuses bring none, so that a wrong one must end by itself.
	estimateAge = 30 * time.Second
	// idleEstimateAge is the same for a replica without work: a wrong estimate must
	// not keep it idle, and a request that is late there costs no other one.
	idleEstimateAge = 5 * time.Second
	// estimateMargin is the factor by which the estimated time at the engines
	// must stay below the time left: requests that arrive later but run earlier,
	// and answers of other lengths, make single requests slower than the mean.
	estimateMargin = 1.25
	// arrivalWindow is the time constant of the rates at which prompt tokens
	// reach replicas: a change of load shows in it before the first requests that
	// the change delays have their first tokens.
	arrivalWindow = 2 * time.Second
	// leastLeft is the least part of an engine's speed that is taken to be left
	// for a class, so that the estimate stays finite.
	leastLeft = 0.1
)

// engineEstimate follows how fast engines compute what was granted to them.
// Their memory holds many prompts more than they can compute in time, so that
// the dispatcher's own queue can be empty while an engine's is long.
type engineEstimate struct {
	classes map[goose.Class]*classEstimate
	// arrivals are the prompt tokens that a replica gets, by priority.
	arrivals [gooselimit.Priorities]arrivalRate
}

// arrivalRate is a smoothed rate in tokens per second.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

func (a *arrivalRate) of(now time.Time) float64 {
	return a.perSecond * math.Exp(-now.Sub(a.at).Seconds()/arrivalWindow.Seconds())
}

func (a *arrivalRate) add(tokens float64, now time.Time) {
	a.perSecond = a.of(now) + tokens/arrivalWindow.Seconds()
	a.at = now
}

// before returns the prompt tokens per second that a replica gets of earlier
// priorities than the given one.
func (e *engineEstimate) before(priority int, now time.Time) float64 {
	sum := 0.0
	for i := range priority {
		sum += e.arrivals[i].of(now)
	}
	return sum
}

// classEstimate holds decayed sums over the requests of a class.
type classEstimate struct {
	// tokens are the prompt tokens computed until the first token of each request,
	// those of requests that came later and ran earlier included; seconds are the
	// times from grants to first tokens.
	tokens, seconds float64
	// restTokens are the output tokens asked for, restSeconds the times from
	// first tokens to ends.
	restTokens, restSeconds float64
	at                      time.Time
}

func (e *engineEstimate) of(c goose.Class) *classEstimate {
	if e.classes == nil {
		e.classes = map[goose.Class]*classEstimate{}
	}
	if e.classes[c] == nil {
		e.classes[c] = &classEstimate{}
	}
	return e.classes[c]
}

func (c *classEstimate) add(tokens int, d time.Duration, now time.Time) {
	c.tokens = c.tokens*estimateDecay + float64(tokens)
	c.seconds = c.seconds*estimateDecay + d.Seconds()
	c.at = now
}

// time returns the expected time from a grant to the end of an answer of the
// given output tokens, with the given prompt tokens to compute until its first
// one and overtaking more of them coming each second; false without a recent
// observation.
func (c *classEstimate) time(prompt, output int, overtaking float64, now time.Time) (time.Duration, bool) {
	if c == nil || c.tokens <= 0 || now.Sub(c.at) > estimateAge {
		return 0, false
	}
	perToken := c.seconds / c.tokens
	seconds := float64(prompt) * perToken / max(leastLeft, 1-overtaking*perToken)
	if c.restTokens > 0 {
		seconds += float64(output) / c.restTokens * c.restSeconds
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// older reports whether the last observation is older than age.
func (c *classEstimate) older(age time.Duration, now time.Time) bool {
	return c == nil || now.Sub(c.at) > age
}

// firstToken notes the first token of a permit, once.
func (p *Pool) firstToken(g *permit, after time.Duration, now time.Time) {
	if g.queued > 0 && !g.prefilled {
		p.load.engines.of(g.request.Class).add(p.computed(g, after, now), after, now)
	}
	g.prefilled = true
}

// computed returns the prompt tokens that the engine computed in the time from
// the grant: those that were queued and a part, by time, of those that were
// granted there since and run earlier.
func (p *Pool) computed(g *permit, after time.Duration, now time.Time) int {
	elapsed, parts := now.Sub(g.granted), p.replicasOf(g)
	if elapsed <= 0 || len(parts) == 0 {
		return g.queued
	}
	later := 0
	for _, r := range parts {
		later += r.placedBefore(g.permit.Priority)
	}
	// The segments of a giant prompt run one after the other, so that the mean
	// over its replicas counts.
	later = max(0, later-g.overtakers) / len(parts)
	return g.queued + int(float64(later)*min(1, after.Seconds()/elapsed.Seconds()))
}

// placedBefore returns the prompt tokens that were granted on the replica so far
// with earlier priorities than the given one.
func (r *replica) placedBefore(priority int) int {
	n := 0
	for _, tokens := range r.placed[:priority] {
		n += tokens
	}
	return n
}

// arrived notes the prompt of a grant on one of the usable replicas.
func (p *Pool) arrived(r *replica, prompt, priority int, now time.Time) {
	r.placed[priority] += prompt
	p.load.engines.arrivals[priority].add(float64(prompt)/float64(max(1, p.usables)), now)
}

// engineTime returns the expected time from a grant of the request to the end
// of its answer, with the given prompt tokens before its own; false if nothing
// is known.
func (p *Pool) engineTime(r goose.PermitRequest, ahead int, now time.Time) (time.Duration, bool) {
	e := &p.load.engines
	overtaking := e.before(p.d.Discipline.Priority(r.Class), now)
	return e.classes[r.Class].time(ahead+r.PromptTokens, r.OutputTokens, overtaking, now)
}

// finished notes the end of an answer whose first token took first.
func (l *loadEstimate) finished(g *permit, first time.Duration, now time.Time) {
	c := l.engines.of(g.request.Class)
	c.restTokens = c.restTokens*estimateDecay + float64(g.request.OutputTokens)
	c.restSeconds = c.restSeconds*estimateDecay + max(0, now.Sub(g.granted)-first).Seconds()
}

// gaveUp notes a permit that ended without a first token: its request would
// have waited longer still.
func (p *Pool) gaveUp(g *permit, now time.Time) {
	c, waited := p.load.engines.of(g.request.Class), now.Sub(g.granted)
	tokens := p.computed(g, waited, now)
	if expected, ok := c.time(tokens, g.request.OutputTokens, 0, now); g.queued > 0 && ok && waited > expected {
		c.add(tokens, waited, now)
	}
}

// lateAtEngines returns by how much the request would miss its deadline even if
// it were granted now on the replica with the least to compute; zero if it
// would be in time or nothing is known.
func (p *Pool) lateAtEngines(r goose.PermitRequest, left time.Duration, now time.Time) time.Duration {
	least, found, a := 0, false, p.authority(now)
	for _, c := range p.eligible(r.Workspace).replicas {
		if !p.usable(c, a, now) {
			continue
		}
		if c.limits.Requests() == 0 && p.load.engines.classes[r.Class].older(idleEstimateAge, now) {
			return 0
		}
		if n := c.limits.Prefills(p.d.Discipline.Priority(r.Class)); !found || n < least {
			least, found = n, true
		}
	}
	d, ok := p.engineTime(r, least, now)
	if !found || !ok {
		return 0
	}
	return max(0, time.Duration(float64(d)*estimateMargin)-left)
}

// refuseHopeless refuses waiting requests that can no longer finish in time,
// before engines spend work on them.
func (p *Pool) refuseHopeless(now time.Time) {
	for _, w := range p.waiting {
		left := w.deadline.Sub(now)
		d, ok := p.engineTime(w.request, 0, now)
		if ok && d > left {
			p.refuseWaiting(w, p.overloaded(d-left, "estimated time at the engines exceeds deadline"))
		} else if late := p.lateAfterTakeover(w.request, left, now); late > 0 {
			p.refuseWaiting(w, p.overloaded(late, takeoverTooLong))
		}
	}
}

// inTime keeps the candidates that are expected to finish the request in time;
// all of them if none is or nothing is known.
func (p *Pool) inTime(r goose.PermitRequest, cs []goose.Candidate, rs []*replica, now time.Time) ([]goose.Candidate, []*replica) {
	w := p.waiting[r.Request]
	if _, known := p.engineTime(r, 0, now); w == nil || !known {
		return cs, rs
	}
	fits := func(c *replica) bool {
		d, _ := p.engineTime(r, c.limits.Prefills(p.d.Discipline.Priority(r.Class)), now)
		return now.Add(time.Duration(float64(d) * estimateMargin)).Before(w.deadline)
	}
	if !slices.ContainsFunc(rs, fits) {
		return cs, rs
	}
	n := 0
	for i, c := range rs {
		if fits(c) {
			cs[n], rs[n] = cs[i], c
			n++
		}
	}
	return cs[:n], rs[:n]
}
