package goosedispatch

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

const (
	// collectInterval is the time between two collect rounds while an instance has
	// not replied.
	collectInterval = 500 * time.Millisecond
	// lateCollectInterval is the minimum time between two collect rounds after the
	// quarantine. No request waits for the replies then, and a region can be
	// unreachable for minutes.
	lateCollectInterval = 5 * time.Second
	// maxWarmEvidenceAge bounds the age of evidence that a replica is warm: the
	// replica may have become cold since.
	maxWarmEvidenceAge = 30 * time.Second
)

// takeover is the state of a new dispatcher that learns from the instances what
// the former dispatcher granted.
type takeover struct {
	startedAt time.Time
	// complete is set once every known instance has replied.
	complete bool
	// warmEvidence is the evidence of warm replicas that has not been compared
	// with the replica's own process id yet.
	warmEvidence map[goose.ReplicaID]warmEvidence
}

type warmEvidence struct {
	process    string
	observedAt time.Time
}

func newTakeover(now time.Time) takeover {
	return takeover{startedAt: now, warmEvidence: map[goose.ReplicaID]warmEvidence{}}
}

// quarantineOver reports whether no permit of a former dispatcher can still start a
// request.
func (t *takeover) quarantineOver(now time.Time, quarantine time.Duration) bool {
	return t.complete || now.Sub(t.startedAt) >= quarantine
}

// quarantine returns how long cold replicas get no requests while an instance has
// not replied. A plain service has no list of streams that could be read after
// it, so that its quarantine lasts until every earlier request is past its
// deadline.
func (p *Pool) quarantine() time.Duration {
	q := goose.PermitLifetime + lifetimeMargin
	if p.service.Kind == goose.KindPlain {
		q = max(q, p.service.Deadline+lifetimeMargin)
	}
	return q
}

// takeoverLateness returns by how much a request that waits for the end of the
// quarantine would be late. It is zero if the request would be in time, a replica
// is usable, or the instances that have not replied may still do so. A refused
// request can go to another data centre. The wait may take half of the time left at
// most: the rest is for the run, whose duration a new dispatcher cannot estimate.
func (p *Pool) takeoverLateness(r goose.PermitRequest, left time.Duration, now time.Time) time.Duration {
	since, quarantine := now.Sub(p.takeover.startedAt), p.quarantine()
	late := 2*(quarantine-since) - left
	if p.takeover.quarantineOver(now, quarantine) || since < goose.PermitLifetime+lifetimeMargin || late <= 0 {
		return 0
	}
	a := p.authority(now)
	for _, c := range p.eligibleReplicas(r.Workspace).replicas {
		if p.usable(c, a, now) {
			return 0
		}
	}
	return late
}

// restartTakeover begins a new takeover: all permits, streams and commands have to
// be learned again.
func (p *Pool) restartTakeover() {
	p.takeover = newTakeover(p.deps.Clock.Now())
	for _, r := range p.replicas {
		r.inspected, r.commandKnown = false, false
	}
	select {
	case p.restartCollect <- struct{}{}:
	default:
	}
}

// collectLoop asks the instances for their permits until all have replied, and
// again whenever the takeover restarts or a stream without an owner is found.
func (p *Pool) collectLoop(ctx context.Context) {
	for {
		p.collectOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.restartCollect:
		case <-time.After(collectInterval):
		}
	}
}

func (p *Pool) collectOnce(ctx context.Context) {
	since, replied, began := p.beginCollect()
	if since.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	onReplies := func(all []goose.HolderState) { p.applyCollected(began, all) }
	p.finishCollect(since, p.deps.Holders == nil || p.deps.Holders.Collect(ctx, p.deps.Pool, p.deps.Epoch, replied, onReplies))
}

// beginCollect starts a collect round if one is due. The instances must have
// reported their permits after since, which is zero if no round is due; replied
// are those that have.
func (p *Pool) beginCollect() (since time.Time, replied map[goose.InstanceID]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.deps.Clock.Now()
	if p.takeover.quarantineOver(now, p.quarantine()) && now.Sub(p.lastCollectAt) < lateCollectInterval {
		return since, nil, now
	}
	if since = p.collectDueSince(now); since.IsZero() {
		return since, nil, now
	}
	replied = map[goose.InstanceID]bool{}
	for i, at := range p.collectedSince {
		if !at.Before(since) {
			replied[i] = true
		}
	}
	p.lastCollectAt = now
	return since, replied, now
}

// collectDueSince returns the newest event after which not every instance has
// reported its permits; zero if there is none. An event is the start of a takeover,
// or the first sight of a stream or handle that has had no permit for
// HolderTimeout.
func (p *Pool) collectDueSince(now time.Time) time.Time {
	var newest time.Time
	if p.allCollectedSince.Before(p.takeover.startedAt) {
		newest = p.takeover.startedAt
	}
	addEvent := func(since time.Time) {
		if now.Sub(since) >= goose.HolderTimeout && p.allCollectedSince.Before(since) && since.After(newest) {
			newest = since
		}
	}
	for _, r := range p.replicas {
		for _, o := range r.orphans {
			addEvent(o.firstSeen)
		}
		for _, since := range r.orphanHandles {
			addEvent(since)
		}
	}
	return newest
}

// applyCollected counts the permits that instances hold and applies their evidence
// of warm replicas. began is when the collect round began.
func (p *Pool) applyCollected(began time.Time, all []goose.HolderState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	for _, state := range all {
		p.collectedSince[state.Instance] = began
		for _, h := range state.Held {
			p.inheritPermit(h, now)
		}
		for _, w := range state.Warm {
			p.addWarmEvidence(w, now)
		}
	}
	for _, r := range p.replicas {
		p.applyWarmEvidence(r, now)
	}
	p.grantWaiting(now)
}

// finishCollect ends a collect round; complete is set if all instances have
// reported their permits after since. A round from before the takeover restarted
// does not end the takeover.
func (p *Pool) finishCollect(since time.Time, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !complete {
		return
	}
	if since.After(p.allCollectedSince) {
		p.allCollectedSince = since
	}
	if since.Before(p.takeover.startedAt) {
		return
	}
	now := p.deps.Clock.Now()
	if !p.takeover.complete {
		gooseevent.PoolTakeoverComplete.Log(p.deps.Log, "pool", p.deps.Pool.String(), "permits", len(p.permits), "after", now.Sub(p.takeover.startedAt))
	}
	p.takeover.complete = true
	p.grantWaiting(now)
}

func (p *Pool) addWarmEvidence(w goose.WarmEvidence, now time.Time) {
	at := now.Add(-w.Age)
	if old, ok := p.takeover.warmEvidence[w.Replica]; ok && old.observedAt.After(at) {
		return
	}
	p.takeover.warmEvidence[w.Replica] = warmEvidence{process: w.Process, observedAt: at}
}

// applyWarmEvidence marks a replica as warm if a peer got a response at full limits
// from the process that runs there now, and the replica does not report itself
// cold.
func (p *Pool) applyWarmEvidence(r *replica, now time.Time) {
	w, ok := p.takeover.warmEvidence[r.id]
	if !ok || !r.reachable || !r.commandKnown || r.process == "" {
		return
	}
	delete(p.takeover.warmEvidence, r.id)
	if w.process == r.process && !r.reportedCold && now.Sub(w.observedAt) < maxWarmEvidenceAge && w.observedAt.After(r.commandEndedAt) && r.activeCommand == nil {
		wasCold := r.limiter.Cold()
		r.limiter.RestoreRamp(0)
		p.logWarm(r, wasCold)
	}
}

// inheritPermit counts a permit of a former dispatcher.
func (p *Pool) inheritPermit(h goose.HeldPermit, now time.Time) {
	id := h.Permit.ID
	if p.permits[id] != nil || p.released.has(id) {
		return
	}
	g := &activePermit{
		permit:    h.Permit,
		request:   h.Request,
		grantedAt: now,
		deadline:  now.Add(h.Request.TimeLeft),
		polledAt:  now,
		started:   h.Started,
		exclusive: p.grade(h.Request) == goose.SuspicionSuspect,
		queriedAt: now,
	}
	for i, s := range h.Permit.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok {
			continue
		}
		if _, isOrphan := r.orphans[goose.AttemptID(id)]; isOrphan {
			p.removeOrphan(r, goose.AttemptID(id))
		}
		d := gooselimit.Demand{Tokens: s.Tokens, Exclusive: g.exclusive, Long: isLong(h.Request.Class)}
		if !h.Started {
			d.Prefill, d.Priority = s.Tokens, p.deps.Discipline.Priority(h.Request.Class)
		}
		if i == len(h.Permit.Replicas)-1 {
			d.Tokens += h.Request.OutputTokens
		}
		p.countPart(g, part{replica: r, prompt: s.Tokens, demand: d})
	}
	p.recordPermit(g)
}

func isLong(c goose.LengthClass) bool { return c == goose.ClassLong || c == goose.ClassGiant }

// RestartTakeover restarts the takeover, so that the instances are asked for their
// permits again.
func (p *Pool) RestartTakeover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restartTakeover()
}
