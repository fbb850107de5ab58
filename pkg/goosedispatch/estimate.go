package goosedispatch

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

const (
	// estimateAge is how long an estimate is used without a new observation.
	// Refused requests add no observation, so that a wrong estimate has to expire.
	estimateAge = 30 * time.Second
	// idleEstimateAge is the same for a replica without requests: a wrong estimate
	// must not keep it idle, and a late request there delays no other one.
	idleEstimateAge = 5 * time.Second
	// estimateMargin is the factor by which the estimated time at the engines must
	// stay below the time left. Requests that arrive later but run earlier, and
	// differing output lengths, make some requests slower than the mean.
	estimateMargin = 1.25
	// arrivalWindow is the time constant of the rates at which prompt tokens
	// reach replicas. It is short enough to show a change of load before the first
	// requests that the change delays get their first tokens.
	arrivalWindow = 2 * time.Second
	// minSpeedShare is the minimum share of an engine's speed that is assumed to be
	// left for a class, so that the estimate stays finite.
	minSpeedShare = 0.1
)

// engineEstimate estimates how fast engines compute granted requests. The memory
// of an engine holds many more prompts than it can compute in time, so that the
// dispatcher's own queue can be empty while an engine's queue is long.
type engineEstimate struct {
	classes map[goose.LengthClass]*classEstimate
	// arrivals are the rates of prompt tokens granted per usable replica, by priority.
	arrivals [gooselimit.Priorities]arrivalRate
}

// arrivalRate is a smoothed rate in tokens per second.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

func (a *arrivalRate) rate(now time.Time) float64 {
	return a.perSecond * math.Exp(-now.Sub(a.updatedAt).Seconds()/arrivalWindow.Seconds())
}

func (a *arrivalRate) add(tokens float64, now time.Time) {
	a.perSecond = a.rate(now) + tokens/arrivalWindow.Seconds()
	a.updatedAt = now
}

// higherPriorityRate returns the prompt tokens per second that a replica gets with
// higher priorities than the given one.
func (e *engineEstimate) higherPriorityRate(priority int, now time.Time) float64 {
	sum := 0.0
	for i := range priority {
		sum += e.arrivals[i].rate(now)
	}
	return sum
}

// classEstimate holds exponentially decayed sums over the requests of a class.
type classEstimate struct {
	// prefillTokens are the prompt tokens computed until the first token of each
	// request, including those of requests that arrived later and ran earlier;
	// prefillSeconds are the times from grants to first tokens.
	prefillTokens, prefillSeconds float64
	// outputTokens are the requested output tokens, outputSeconds the times from
	// first tokens to the ends of the responses.
	outputTokens, outputSeconds float64
	updatedAt                   time.Time
}

func (e *engineEstimate) classOf(c goose.LengthClass) *classEstimate {
	if e.classes == nil {
		e.classes = map[goose.LengthClass]*classEstimate{}
	}
	if e.classes[c] == nil {
		e.classes[c] = &classEstimate{}
	}
	return e.classes[c]
}

func (c *classEstimate) addPrefill(tokens int, d time.Duration, now time.Time) {
	c.prefillTokens = c.prefillTokens*estimateDecay + float64(tokens)
	c.prefillSeconds = c.prefillSeconds*estimateDecay + d.Seconds()
	c.updatedAt = now
}

// expectedTime returns the expected time from a grant to the end of a response with
// the given output tokens. prompt are the prompt tokens to compute until its first
// token; overtaking are those of higher priorities that arrive each second in this
// time. It returns false without a recent observation.
func (c *classEstimate) expectedTime(prompt, output int, overtaking float64, now time.Time) (time.Duration, bool) {
	if c == nil || c.prefillTokens <= 0 || now.Sub(c.updatedAt) > estimateAge {
		return 0, false
	}
	perToken := c.prefillSeconds / c.prefillTokens
	seconds := float64(prompt) * perToken / max(minSpeedShare, 1-overtaking*perToken)
	if c.outputTokens > 0 {
		seconds += float64(output) / c.outputTokens * c.outputSeconds
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// olderThan reports whether the last observation is older than age.
func (c *classEstimate) olderThan(age time.Duration, now time.Time) bool {
	return c == nil || now.Sub(c.updatedAt) > age
}

// recordFirstToken records the time to first token of a permit, once.
func (p *Pool) recordFirstToken(g *activePermit, after time.Duration, now time.Time) {
	if g.backlogTokens > 0 && !g.prefilled {
		p.loadEstimate.engines.classOf(g.request.Class).addPrefill(p.computedTokens(g, after, now), after, now)
	}
	g.prefilled = true
}

// computedTokens returns the prompt tokens that the engine computed in the given
// time after the grant: the backlog at the grant, and a part, in proportion to the
// time, of the tokens with higher priorities that were granted there since.
func (p *Pool) computedTokens(g *activePermit, after time.Duration, now time.Time) int {
	elapsed, parts := now.Sub(g.grantedAt), p.replicasOf(g)
	if elapsed <= 0 || len(parts) == 0 {
		return g.backlogTokens
	}
	later := 0
	for _, r := range parts {
		later += r.higherPriorityTokens(g.permit.Priority)
	}
	// The segments of a giant prompt run one after the other, so that the mean
	// over its replicas is used.
	later = max(0, later-g.higherPriorityTokensAtGrant) / len(parts)
	return g.backlogTokens + int(float64(later)*min(1, after.Seconds()/elapsed.Seconds()))
}

// higherPriorityTokens returns the prompt tokens that have been granted on the
// replica with higher priorities than the given one.
func (r *replica) higherPriorityTokens(priority int) int {
	n := 0
	for _, tokens := range r.placedTokens[:priority] {
		n += tokens
	}
	return n
}

// recordArrival records the prompt tokens of a grant on a replica.
func (p *Pool) recordArrival(r *replica, prompt, priority int, now time.Time) {
	r.placedTokens[priority] += prompt
	p.loadEstimate.engines.arrivals[priority].add(float64(prompt)/float64(max(1, p.usableReplicas)), now)
}

// engineTime returns the expected time from a grant of the request to the end of its
// response, with the given prompt tokens ahead of its own; false without a recent
// observation.
func (p *Pool) engineTime(r goose.PermitRequest, ahead int, now time.Time) (time.Duration, bool) {
	e := &p.loadEstimate.engines
	overtaking := e.higherPriorityRate(p.deps.Discipline.Priority(r.Class), now)
	return e.classes[r.Class].expectedTime(ahead+r.PromptTokens, r.OutputTokens, overtaking, now)
}

// recordFinished records the end of a response; first is its time to first token.
func (l *loadEstimate) recordFinished(g *activePermit, first time.Duration, now time.Time) {
	c := l.engines.classOf(g.request.Class)
	c.outputTokens = c.outputTokens*estimateDecay + float64(g.request.OutputTokens)
	c.outputSeconds = c.outputSeconds*estimateDecay + max(0, now.Sub(g.grantedAt)-first).Seconds()
}

// recordCancelled records the wait of a permit that was cancelled before its first
// token if the wait exceeds the estimate: the request would have waited even longer.
func (p *Pool) recordCancelled(g *activePermit, now time.Time) {
	c, waited := p.loadEstimate.engines.classOf(g.request.Class), now.Sub(g.grantedAt)
	tokens := p.computedTokens(g, waited, now)
	if expected, ok := c.expectedTime(tokens, g.request.OutputTokens, 0, now); g.backlogTokens > 0 && ok && waited > expected {
		c.addPrefill(tokens, waited, now)
	}
}

// engineLateness returns by how much the request would miss its deadline even if
// it were granted now on the replica with the smallest backlog; zero if it would
// be in time or there is no estimate.
func (p *Pool) engineLateness(r goose.PermitRequest, left time.Duration, now time.Time) time.Duration {
	least, found, a := 0, false, p.authority(now)
	for _, c := range p.eligibleReplicas(r.Workspace).replicas {
		if !p.usable(c, a, now) {
			continue
		}
		if c.limiter.Requests() == 0 && p.loadEstimate.engines.classes[r.Class].olderThan(idleEstimateAge, now) {
			return 0
		}
		if n := c.limiter.PrefillTokens(p.deps.Discipline.Priority(r.Class)); !found || n < least {
			least, found = n, true
		}
	}
	d, ok := p.engineTime(r, least, now)
	if !found || !ok {
		return 0
	}
	return max(0, time.Duration(float64(d)*estimateMargin)-left)
}

// refuseLate refuses waiting requests that can no longer finish in time, before
// engines spend time on them.
func (p *Pool) refuseLate(now time.Time) {
	for _, w := range p.waiting {
		left := w.deadline.Sub(now)
		d, ok := p.engineTime(w.request, 0, now)
		if ok && d > left {
			p.refuseWaiting(w, p.overloadedRefusal(d-left, "estimated time at the engines exceeds deadline"))
		} else if late := p.takeoverLateness(w.request, left, now); late > 0 {
			p.refuseWaiting(w, p.overloadedRefusal(late, reasonTakeoverTooLong))
		}
	}
}

// candidatesInTime returns the candidates that are expected to finish the request
// in time; all of them if none is, or if there is no estimate.
func (p *Pool) candidatesInTime(r goose.PermitRequest, cs []goose.Candidate, rs []*replica, now time.Time) ([]goose.Candidate, []*replica) {
	w := p.waiting[r.Request]
	if _, known := p.engineTime(r, 0, now); w == nil || !known {
		return cs, rs
	}
	fits := func(c *replica) bool {
		d, _ := p.engineTime(r, c.limiter.PrefillTokens(p.deps.Discipline.Priority(r.Class)), now)
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
