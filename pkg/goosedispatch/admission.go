package goosedispatch

import (
	"fmt"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// maxQueueLength bounds the memory of the queue; a waiting request takes about 1 KB.
	maxQueueLength = 20_000
	// minRetryAfter and maxRetryAfter bound the retry-after time of refusals. A
	// client that retries earlier finds the same queue; beyond the maximum the
	// estimate of the queue is outdated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Minute
	// estimateDecay is the weight of the earlier observations when one is added.
	// About the last 50 observations determine the estimate.
	estimateDecay = 0.98
	// retryAfterTrial is the approximate run time of a short request that runs alone.
	retryAfterTrial = 5 * time.Second
	// reasonTakeoverTooLong is the refusal reason for requests with takeoverLateness.
	reasonTakeoverTooLong = "takeover lasts too long for the deadline"
)

// loadEstimate estimates how long permits hold their capacity.
type loadEstimate struct {
	// costSeconds, cost and count are decayed sums over released permits.
	costSeconds, cost, count float64
	// meanDuration is the mean time from grant to release, by request class.
	meanDuration map[goose.LengthClass]time.Duration
	// engines estimates the time that requests spend in the engines' own queues.
	engines engineEstimate
}

func (l *loadEstimate) recordDuration(c goose.LengthClass, cost int, d time.Duration) {
	if l.meanDuration == nil {
		l.meanDuration = map[goose.LengthClass]time.Duration{}
	}
	l.costSeconds = l.costSeconds*estimateDecay + float64(cost)*d.Seconds()
	l.cost = l.cost*estimateDecay + float64(cost)
	l.count = l.count*estimateDecay + 1
	if old, ok := l.meanDuration[c]; ok {
		d = old + (d-old)/10
	}
	l.meanDuration[c] = d
}

// drainRate estimates the tokens per second that the usable replicas release
// when they are full: their capacity divided by the mean time that a token is
// held. It is zero until the first release.
func (p *Pool) drainRate(now time.Time) float64 {
	l := p.loadEstimate
	if l.costSeconds <= 0 || l.cost <= 0 {
		return 0
	}
	a := p.authority(now)
	mean := l.cost / l.count
	capacity := 0.0
	for _, r := range p.configuredReplicas {
		if p.usable(r, a, now) {
			capacity += min(float64(r.limiter.TokenLimit()), float64(r.limiter.Concurrency())*mean)
		}
	}
	return capacity / (l.costSeconds / l.cost)
}

// admit decides whether a new request may join the queue. It returns a refusal
// and true if the request cannot be served in time.
func (p *Pool) admit(now time.Time, r goose.PermitRequest) (goose.Refusal, bool) {
	if r.TimeLeft <= 0 {
		return p.deadlineRefusal(now, r, "no time left"), true
	}
	if refusal, refused := p.unroutableRefusal(r); refused {
		return refusal, true
	}
	if refusal, refused := p.unwantedRefusal(r, now); refused {
		return refusal, true
	}
	if len(p.waiting) >= maxQueueLength {
		return p.overloadedRefusal(time.Second, "queue full"), true
	}
	if p.exceedsShares(r, now) {
		return p.overloadedRefusal(time.Second, "too large for a degraded dispatcher"), true
	}
	if late := p.takeoverLateness(r, r.TimeLeft, now); late > 0 {
		return p.overloadedRefusal(late, reasonTakeoverTooLong), true
	}
	if late := p.engineLateness(r, r.TimeLeft, now); late > 0 {
		return p.overloadedRefusal(late, "estimated time at the engines exceeds deadline"), true
	}
	rate := p.drainRate(now)
	if rate <= 0 {
		if !p.anyUsable(r, now) {
			return p.overloadedRefusal(time.Second, "no usable replica"), true
		}
		return goose.Refusal{}, false
	}
	ahead := p.deps.Discipline.CostAhead(r.Class, r.Workspace)
	if ahead == 0 {
		// The estimate is based on earlier releases alone. A request without a
		// queue ahead of it is admitted, because a wrong estimate would otherwise
		// never be corrected.
		return goose.Refusal{}, false
	}
	if late := p.lateness(ahead, rate, r); late > 0 {
		return p.overloadedRefusal(late, "estimated wait exceeds deadline"), true
	}
	return goose.Refusal{}, false
}

// lateness returns by how much a request would miss its deadline with the given
// tokens ahead of it. It is negative if the request would be in time.
func (p *Pool) lateness(ahead int, rate float64, r goose.PermitRequest) time.Duration {
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return wait + p.loadEstimate.meanDuration[r.Class] - r.TimeLeft
}

// deadlineRefusal refuses a request whose deadline has passed. Its retry-after
// time is the lateness of the request: once the queue is shorter by that time,
// a retry with the same time left can finish in time.
func (p *Pool) deadlineRefusal(now time.Time, r goose.PermitRequest, message string) goose.Refusal {
	after := goose.RetryAfterDefault
	if rate := p.drainRate(now); rate > 0 {
		after = clampRetryAfter(p.lateness(p.deps.Discipline.CostAhead(r.Class, r.Workspace), rate, r))
	}
	return goose.NotRunRefusal(goose.CodeDeadline, message).WithRetryAfter(after)
}

// anyUsable reports whether a replica that is open to the request can take work
// now or after the takeover.
func (p *Pool) anyUsable(r goose.PermitRequest, now time.Time) bool {
	a := p.authority(now)
	settling := now.Sub(p.startedAt) < settleTime || !p.takeover.quarantineOver(now, p.quarantine())
	for _, c := range p.eligibleReplicas(r.Workspace).replicas {
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

// exceedsShares reports whether the request needs more than a degraded dispatcher
// may ever use. Such a request is refused at once, so that another data centre
// can serve it.
func (p *Pool) exceedsShares(r goose.PermitRequest, now time.Time) bool {
	a := p.authority(now)
	if a.Mode != goose.ModeDegraded {
		return false
	}
	p.applyShares(a)
	set := p.eligibleReplicas(r.Workspace)
	most, sum := 0, 0
	for _, c := range set.replicas {
		if p.usable(c, a, now) {
			most, sum = max(most, c.limiter.TokenLimit()), sum+c.limiter.TokenLimit()
		}
	}
	if r.Cost() > set.maxMemory {
		return r.Cost() > sum
	}
	return r.Cost() > most
}

func (p *Pool) overloadedRefusal(after time.Duration, reason string) goose.Refusal {
	return goose.NotRunRefusal(goose.CodeOverloaded, "pool "+p.deps.Pool.String()+" has no capacity in time").
		WithReason(reason).WithRetryAfter(clampRetryAfter(after))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// unroutableRefusal refuses a request that no replica of the pool can ever run.
func (p *Pool) unroutableRefusal(r goose.PermitRequest) (goose.Refusal, bool) {
	if refusal, refused := suspicionRefusal(r.Fingerprint, p.grade(r)); refused {
		return refusal, true
	}
	set := p.eligibleReplicas(r.Workspace)
	if len(set.replicas) == 0 {
		return p.noReplicaRefusal(), true
	}
	if r.Cost() <= set.maxMemory {
		return goose.Refusal{}, false
	}
	if r.Class != goose.ClassGiant || r.Cost() > set.sumMemory || r.OutputTokens >= set.maxMemory {
		m := fmt.Sprintf("request needs %d tokens; the allowed backend servers hold %d at most, %d together",
			r.Cost(), set.maxMemory, set.sumMemory)
		return goose.NotRunRefusal(goose.CodePromptTooLong, m), true
	}
	return goose.Refusal{}, false
}

func (p *Pool) noReplicaRefusal() goose.Refusal {
	if len(p.configuredReplicas) > 0 {
		closed := true
		for _, r := range p.configuredReplicas {
			closed = closed && !r.open
		}
		if closed {
			return goose.NotRunRefusal(goose.CodeLeaving, "pool "+p.deps.Pool.String()+" is leaving").
				WithReason("pool-leaving").WithRetryAfter(goose.RetryAfterLeaving)
		}
	}
	return goose.NotRunRefusal(goose.CodeNoRoute, "no backend server of pool "+p.deps.Pool.String()+" is open to the workspace")
}

// suspicionRefusal refuses a request that crashed two backend servers, or that
// crashed one and is tried alone on another one now.
func suspicionRefusal(f goose.Fingerprint, g goose.Suspicion) (goose.Refusal, bool) {
	switch g {
	case goose.SuspicionCondemned:
		return goose.CondemnedRefusal(), true
	case goose.SuspicionOnTrial:
		return goose.NotRunRefusal(goose.CodeOverloaded, "request "+f.String()+" crashed a backend server and is tried alone on another one").
			WithReason("suspect-on-trial").WithRetryAfter(retryAfterTrial), true
	}
	return goose.Refusal{}, false
}

// refuseSuspicious refuses the waiting requests that have been condemned since
// they were admitted, or that are on trial elsewhere now.
func (p *Pool) refuseSuspicious() {
	for _, w := range p.waiting {
		if refusal, refused := suspicionRefusal(w.request.Fingerprint, p.grade(w.request)); refused {
			p.refuseWaiting(w, refusal)
		}
	}
}
