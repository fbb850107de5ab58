package goosedispatch

import (
	"fmt"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// maxWaiting bounds the queue; a request costs about 1 KB.
	maxWaiting = 20_000
	// minRetryAfter and maxRetryAfter bound the advice to refused clients: below
	// the first they come back before the queue moved, above the second the
	// estimate is too old to be of use.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Minute
	// estimateDecay weighs past releases: the last 50 or so count most.
	estimateDecay = 0.98
	// retryAfterTrial is about the time that a short request takes alone.
	retryAfterTrial = 5 * time.Second
	// takeoverTooLong is the reason of lateAfterTakeover.
	takeoverTooLong = "takeover lasts too long for the deadline"
)

// loadEstimate follows how long permits keep their capacity.
type loadEstimate struct {
	// costSeconds, cost and count are decayed sums over released permits.
	costSeconds, cost, count float64
	// run is the mean time of a class from grant to release.
	run map[goose.Class]time.Duration
	// engines follows the engines' own queues.
	engines engineEstimate
}

func (l *loadEstimate) observe(c goose.Class, cost int, d time.Duration) {
	if l.run == nil {
		l.run = map[goose.Class]time.Duration{}
	}
	l.costSeconds = l.costSeconds*estimateDecay + float64(cost)*d.Seconds()
	l.cost = l.cost*estimateDecay + float64(cost)
	l.count = l.count*estimateDecay + 1
	if old, ok := l.run[c]; ok {
		d = old + (d-old)/10
	}
	l.run[c] = d
}

// drainRate estimates the tokens per second that the usable replicas release
// when they are full: their capacity over the mean time that a token is held.
// It is zero while nothing was released yet.
func (p *Pool) drainRate(now time.Time) float64 {
	l := p.load
	if l.costSeconds <= 0 || l.cost <= 0 {
		return 0
	}
	a := p.authority(now)
	mean := l.cost / l.count
	capacity := 0.0
	for _, r := range p.order {
		if p.usable(r, a, now) {
			capacity += min(float64(r.limits.TokenLimit()), float64(r.limits.Concurrency())*mean)
		}
	}
	return capacity / (l.costSeconds / l.cost)
}

// admit decides at once whether a new request can be served in time.
func (p *Pool) admit(now time.Time, r goose.PermitRequest) (goose.Refusal, bool) {
	if r.TimeLeft <= 0 {
		return p.expired(now, r, "no time left"), true
	}
	if refusal, bad := p.unroutable(r); bad {
		return refusal, true
	}
	if len(p.waiting) >= maxWaiting {
		return p.overloaded(time.Second, "queue full"), true
	}
	if p.aboveShares(r, now) {
		return p.overloaded(time.Second, "too large for a degraded dispatcher"), true
	}
	if late := p.lateAfterTakeover(r, r.TimeLeft, now); late > 0 {
		return p.overloaded(late, takeoverTooLong), true
	}
	if late := p.lateAtEngines(r, r.TimeLeft, now); late > 0 {
		return p.overloaded(late, "estimated time at the engines exceeds deadline"), true
	}
	rate := p.drainRate(now)
	if rate <= 0 {
		if !p.anyUsable(r, now) {
			return p.overloaded(time.Second, "no usable replica"), true
		}
		return goose.Refusal{}, false
	}
	ahead := p.d.Discipline.Ahead(r.Class, r.Workspace)
	if ahead == 0 {
		// The estimate rests on earlier releases alone. Without a queue the
		// request is tried, or a wrong estimate would never be corrected.
		return goose.Refusal{}, false
	}
	if late := p.late(ahead, rate, r); late > 0 {
		return p.overloaded(late, "estimated wait exceeds deadline"), true
	}
	return goose.Refusal{}, false
}

// late is how much longer a request would take than it has time, with the
// given tokens ahead of it.
func (p *Pool) late(ahead int, rate float64, r goose.PermitRequest) time.Duration {
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return wait + p.load.run[r.Class] - r.TimeLeft
}

// expired refuses a request whose time is over. One that comes back with the
// same time is in time once the queue has become as much shorter as the request
// would be late now.
func (p *Pool) expired(now time.Time, r goose.PermitRequest, message string) goose.Refusal {
	after := goose.RetryAfterDefault
	if rate := p.drainRate(now); rate > 0 {
		after = retryAfter(p.late(p.d.Discipline.Ahead(r.Class, r.Workspace), rate, r))
	}
	return goose.NotRun(goose.CodeDeadline, message).WithRetryAfter(after)
}

// anyUsable reports whether a replica of the request could take work now or
// after the takeover.
func (p *Pool) anyUsable(r goose.PermitRequest, now time.Time) bool {
	a := p.authority(now)
	settling := now.Sub(p.startedAt) < settleTime || !p.takeover.over(now, p.quarantine())
	for _, c := range p.eligible(r.Workspace).replicas {
		if p.usable(c, a, now) {
			return true
		}
		if settling && a.Mode != goose.ModeDegraded && c.open {
			return true
		}
		if !c.inspected && c.reachable && a.Mode != goose.ModeDegraded {
			return true
		}
	}
	return false
}

// aboveShares reports whether the request needs more than a degraded dispatcher
// may ever use. Refused at once, it can go to another data centre.
func (p *Pool) aboveShares(r goose.PermitRequest, now time.Time) bool {
	a := p.authority(now)
	if a.Mode != goose.ModeDegraded {
		return false
	}
	p.applyShares(a)
	set := p.eligible(r.Workspace)
	most, sum := 0, 0
	for _, c := range set.replicas {
		if p.usable(c, a, now) {
			most, sum = max(most, c.limits.TokenLimit()), sum+c.limits.TokenLimit()
		}
	}
	if r.Cost() > set.maxMemory {
		return r.Cost() > sum
	}
	return r.Cost() > most
}

func (p *Pool) overloaded(after time.Duration, reason string) goose.Refusal {
	return goose.NotRun(goose.CodeOverloaded, "pool "+p.d.Pool.String()+" has no capacity in time").
		WithReason(reason).WithRetryAfter(retryAfter(after))
}

func retryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// unroutable refuses requests that no replica of the pool can ever run.
func (p *Pool) unroutable(r goose.PermitRequest) (goose.Refusal, bool) {
	if refusal, refused := suspicious(r.Fingerprint, p.grade(r)); refused {
		return refusal, true
	}
	set := p.eligible(r.Workspace)
	if len(set.replicas) == 0 {
		return p.noReplica(), true
	}
	if r.Cost() <= set.maxMemory {
		return goose.Refusal{}, false
	}
	if r.Class != goose.ClassGiant || r.Cost() > set.sumMemory || r.OutputTokens >= set.maxMemory {
		m := fmt.Sprintf("request needs %d tokens; the allowed backend servers hold %d at most, %d together",
			r.Cost(), set.maxMemory, set.sumMemory)
		return goose.NotRun(goose.CodePromptTooLong, m), true
	}
	return goose.Refusal{}, false
}

func (p *Pool) noReplica() goose.Refusal {
	if len(p.order) > 0 {
		closed := true
		for _, r := range p.order {
			closed = closed && !r.open
		}
		if closed {
			return goose.NotRun(goose.CodeLeaving, "pool "+p.d.Pool.String()+" is leaving").
				WithReason("pool-leaving").WithRetryAfter(goose.RetryAfterLeaving)
		}
	}
	return goose.NotRun(goose.CodeNoRoute, "no backend server of pool "+p.d.Pool.String()+" is open to the workspace")
}

// suspicious refuses a request that crashed two backend servers, or that may be
// crashing the second one now.
func suspicious(f goose.Fingerprint, g goose.Suspicion) (goose.Refusal, bool) {
	switch g {
	case goose.SuspicionCondemned:
		return goose.Condemned(), true
	case goose.SuspicionOnTrial:
		return goose.NotRun(goose.CodeOverloaded, "request "+f.String()+" crashed a backend server and is tried alone on another one").
			WithReason("suspect-on-trial").WithRetryAfter(retryAfterTrial), true
	}
	return goose.Refusal{}, false
}

// refuseSuspicious refuses waiting requests that were condemned or put on trial
// elsewhere meanwhile.
func (p *Pool) refuseSuspicious() {
	for _, w := range p.waiting {
		if refusal, refused := suspicious(w.request.Fingerprint, p.grade(w.request)); refused {
			p.refuseWaiting(w, refusal)
		}
	}
}
