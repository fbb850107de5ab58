package goosedispatch

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

const (
	// collectInterval is the time between two rounds of collecting while an
	// instance has not answered.
	collectInterval = 500 * time.Millisecond
	// lateCollectInterval is the least time between two rounds once the quarantine
	// is over. No request waits for the answers then, and a region can stay cut off
	// for minutes.
	lateCollectInterval = 5 * time.Second
	// warmthAge bounds evidence of warmth; the replica may have turned cold since.
	warmthAge = 30 * time.Second
)

// takeover is the state of learning what the former dispatcher granted.
type takeover struct {
	started time.Time
	// complete is set once every known instance has answered.
	complete bool
	// warmth is evidence that waits for the replica's own process id.
	warmth map[goose.ReplicaID]warmth
}

type warmth struct {
	process string
	at      time.Time
}

func newTakeover(now time.Time) takeover {
	return takeover{started: now, warmth: map[goose.ReplicaID]warmth{}}
}

// over reports whether no permit of a former dispatcher can start any more.
func (t *takeover) over(now time.Time, quarantine time.Duration) bool {
	return t.complete || now.Sub(t.started) >= quarantine
}

// quarantine is how long cold replicas get nothing while an instance has not
// answered. A plain service has no list of streams to read afterwards, so that
// its quarantine lasts until every earlier request is past its deadline.
func (p *Pool) quarantine() time.Duration {
	q := goose.PermitLifetime + lifetimeMargin
	if p.service.Kind == goose.KindPlain {
		q = max(q, p.service.Deadline+lifetimeMargin)
	}
	return q
}

// lateAfterTakeover returns by how much a request would be late that waits for the
// quarantine to end; zero if it would be in time, a replica is usable, or the
// instances that have not answered may still do so. Refused, it can go to another
// data centre. No more than half of its time may pass: the run takes the rest, and
// a new dispatcher does not know how long.
func (p *Pool) lateAfterTakeover(r goose.PermitRequest, left time.Duration, now time.Time) time.Duration {
	since, quarantine := now.Sub(p.takeover.started), p.quarantine()
	late := 2*(quarantine-since) - left
	if p.takeover.over(now, quarantine) || since < goose.PermitLifetime+lifetimeMargin || late <= 0 {
		return 0
	}
	a := p.authority(now)
	for _, c := range p.eligible(r.Workspace).replicas {
		if p.usable(c, a, now) {
			return 0
		}
	}
	return late
}

// restartTakeover begins to collect anew.
func (p *Pool) restartTakeover() {
	p.takeover = newTakeover(p.d.Clock.Now())
	for _, r := range p.replicas {
		r.inspected, r.commandKnown = false, false
	}
	select {
	case p.recollect <- struct{}{}:
	default:
	}
}

// collect asks the instances for their permits until all have answered, and
// again whenever the takeover restarts or a stream without an owner is found.
func (p *Pool) collect(ctx context.Context) {
	for {
		p.collectOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.recollect:
		case <-time.After(collectInterval):
		}
	}
}

func (p *Pool) collectOnce(ctx context.Context) {
	since, answered, began := p.beginCollect()
	if since.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got := func(all []goose.Collected) { p.collected(began, all) }
	p.collectedAll(since, p.d.Holders == nil || p.d.Holders.Collect(ctx, p.d.Pool, p.d.Epoch, answered, got))
}

// beginCollect returns since when the instances must have told what they hold,
// and those that have; zero if no question is due.
func (p *Pool) beginCollect() (since time.Time, answered map[goose.InstanceID]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.d.Clock.Now()
	if p.takeover.over(now, p.quarantine()) && now.Sub(p.collectedAt) < lateCollectInterval {
		return since, nil, now
	}
	if since = p.untold(now); since.IsZero() {
		return since, nil, now
	}
	answered = map[goose.InstanceID]bool{}
	for i, at := range p.told {
		if !at.Before(since) {
			answered[i] = true
		}
	}
	p.collectedAt = now
	return since, answered, now
}

// untold returns the newest start of a takeover, or sight of a stream or handle
// that has been without an owner for HolderTimeout, since which not every
// instance has told what it holds; zero if there is none.
func (p *Pool) untold(now time.Time) time.Time {
	var newest time.Time
	if p.toldAll.Before(p.takeover.started) {
		newest = p.takeover.started
	}
	note := func(since time.Time) {
		if now.Sub(since) >= goose.HolderTimeout && p.toldAll.Before(since) && since.After(newest) {
			newest = since
		}
	}
	for _, r := range p.replicas {
		for _, o := range r.orphans {
			note(o.since)
		}
		for _, since := range r.handles {
			note(since)
		}
	}
	return newest
}

// collected counts the permits that instances hold and keeps their evidence of
// warm replicas.
func (p *Pool) collected(began time.Time, all []goose.Collected) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.Clock.Now()
	for _, c := range all {
		p.told[c.Instance] = began
		for _, h := range c.Held {
			p.inherit(h, now)
		}
		for _, w := range c.Warm {
			p.addWarmth(w, now)
		}
	}
	for _, r := range p.replicas {
		p.confirmWarmth(r, now)
	}
	p.pump(now)
}

// collectedAll notes whether all instances have told what they hold since a
// time. Answers from before the takeover restarted do not end it.
func (p *Pool) collectedAll(since time.Time, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !complete {
		return
	}
	if since.After(p.toldAll) {
		p.toldAll = since
	}
	if since.Before(p.takeover.started) {
		return
	}
	now := p.d.Clock.Now()
	if !p.takeover.complete {
		gooseevent.PoolTakeover.Log(p.d.Log, "pool", p.d.Pool.String(), "permits", len(p.permits), "after", now.Sub(p.takeover.started))
	}
	p.takeover.complete = true
	p.pump(now)
}

func (p *Pool) addWarmth(w goose.Warmth, now time.Time) {
	at := now.Add(-w.Age)
	if old, ok := p.takeover.warmth[w.Replica]; ok && old.at.After(at) {
		return
	}
	p.takeover.warmth[w.Replica] = warmth{process: w.Process, at: at}
}

// confirmWarmth takes a replica for warm if a peer saw the process that runs
// there now answer at full limits, and the replica does not call itself cold.
func (p *Pool) confirmWarmth(r *replica, now time.Time) {
	w, ok := p.takeover.warmth[r.id]
	if !ok || !r.reachable || !r.commandKnown || r.process == "" {
		return
	}
	delete(p.takeover.warmth, r.id)
	if w.process == r.process && !r.coldReport && now.Sub(w.at) < warmthAge && w.at.After(r.commandEnded) && r.load == nil {
		cold := r.limits.Cold()
		r.limits.Restore(0)
		p.warmed(r, cold)
	}
}

// inherit counts a permit of a former dispatcher.
func (p *Pool) inherit(h goose.HeldPermit, now time.Time) {
	id := h.Permit.ID
	if p.permits[id] != nil || p.released.has(id) {
		return
	}
	g := &permit{
		permit:    h.Permit,
		request:   h.Request,
		granted:   now,
		deadline:  now.Add(h.Request.TimeLeft),
		polled:    now,
		started:   h.Started,
		exclusive: p.grade(h.Request) == goose.SuspicionSuspect,
		asked:     now,
	}
	for i, s := range h.Permit.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok {
			continue
		}
		if _, adopted := r.orphans[goose.AttemptID(id)]; adopted {
			p.removeOrphan(r, goose.AttemptID(id))
		}
		d := gooselimit.Demand{Tokens: s.Tokens, Exclusive: g.exclusive, Long: long(h.Request.Class)}
		if !h.Started {
			d.Prefill, d.Priority = s.Tokens, p.d.Discipline.Priority(h.Request.Class)
		}
		if i == len(h.Permit.Replicas)-1 {
			d.Tokens += h.Request.OutputTokens
		}
		p.count(g, part{replica: r, prompt: s.Tokens, demand: d})
	}
	p.hold(g)
}

func long(c goose.Class) bool { return c == goose.ClassLong || c == goose.ClassGiant }

// Recollect asks the instances again for their permits.
func (p *Pool) Recollect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restartTakeover()
}
