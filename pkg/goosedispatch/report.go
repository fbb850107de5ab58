package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// firstTokenBase and firstTokenPerToken bound the time to first token of a
	// success. A replica that answers later is still loading and is not ramped up.
	firstTokenBase     = 2 * time.Second
	firstTokenPerToken = time.Millisecond
)

// Report implements goose.Dispatcher.
func (p *Pool) Report(r goose.PermitReport) { p.Apply(r) }

// Apply applies a report; false if the dispatcher has resigned, so that its
// successor must get the report. Applying a report twice has no further
// effect; a report on an unknown permit is remembered so that a collect that
// was answered earlier does not bring the permit back.
func (p *Pool) Apply(r goose.PermitReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resigned {
		return false
	}
	now := p.d.Clock.Now()
	p.contacts[r.Instance] = now
	p.apply(r, now)
	return true
}

func (p *Pool) apply(r goose.PermitReport, now time.Time) {
	g, ok := p.permits[r.Permit]
	switch {
	case !ok:
		if r.Phase == goose.PhaseReleased {
			p.released.add(r.Permit, now)
		}
		return
	case r.Instance != g.request.Instance:
		return
	}
	switch r.Phase {
	case goose.PhaseStarted:
		g.started = true
		return
	case goose.PhasePrefilled:
		g.started = true
		p.prefilled(g, now)
	case goose.PhaseReleased:
		p.finish(g, r, now)
	}
	p.pumpReplicas(now, p.replicasOf(g)...)
}

func (p *Pool) replicasOf(g *permit) []*replica {
	out := make([]*replica, 0, 1)
	for _, s := range g.permit.Replicas {
		if r, ok := p.replicas[s.Replica]; ok {
			out = append(out, r)
		}
	}
	return out
}

func (p *Pool) prefilled(g *permit, now time.Time) {
	p.firstToken(g, now.Sub(g.granted), now)
	for _, s := range g.permit.Replicas {
		if c, ok := p.replicas[s.Replica]; ok {
			before := c.limits.Longs()
			c.limits.PrefillDone(g.permit.ID)
			p.poolLongs += c.limits.Longs() - before
		}
	}
}

// finish applies the outcome of a permit and frees its capacity.
func (p *Pool) finish(g *permit, r goose.PermitReport, now time.Time) {
	if r.Replica == "" && len(g.permit.Replicas) > 0 {
		r.Replica = g.permit.Replicas[len(g.permit.Replicas)-1].Replica
	}
	good := false
	if c, ok := p.replicas[r.Replica]; ok {
		good = p.judge(c, g, r)
	}
	if r.Outcome == goose.OutcomeFinished {
		p.load.observe(g.request.Class, g.request.Cost(), now.Sub(g.granted))
		p.firstToken(g, r.First, now)
		p.load.finished(g, r.First, now)
		p.observeFirstToken(g, r)
	}
	p.judgeSuspect(g, r.Outcome)
	if !g.prefilled && r.Outcome == goose.OutcomeCancelled {
		p.gaveUp(g, now)
	}
	p.drop(g, func(id goose.ReplicaID) bool { return good && id == r.Replica })
	if r.Outcome == goose.OutcomeCancelled {
		p.abandon(g)
	}
}

// judgeSuspect ends the trial of a suspect that ran alone.
func (p *Pool) judgeSuspect(g *permit, o goose.Outcome) {
	if !g.exclusive || p.d.Suspects == nil {
		return
	}
	switch o {
	case goose.OutcomeFinished:
		p.d.Suspects.Cleared(g.request.Fingerprint)
	case goose.OutcomeCrashed:
	default:
		p.d.Suspects.Tried(g.request.Fingerprint)
	}
}

// observeFirstToken lets the bound on long prefills learn from short requests.
func (p *Pool) observeFirstToken(g *permit, r goose.PermitReport) {
	if g.request.Class != goose.ClassShort || g.company == "" || p.service.Kind != goose.KindModel {
		return
	}
	changed := p.d.LongBound.Observe(goose.FirstToken{
		Beside: g.company == companyLong, PromptTokens: g.request.PromptTokens, Wait: r.First,
	})
	if !changed {
		return
	}
	ratio := 0.0
	if b, ok := p.d.LongBound.(interface{ Ratio() (float64, bool) }); ok {
		ratio, _ = b.Ratio()
	}
	gooseevent.LongBoundChanged.Log(p.d.Log, "pool", p.d.Pool.String(), "limit", p.longLimit(), "replicas", len(p.order), "ratio", ratio)
}

// judge applies what a report tells about a replica. It returns whether the
// attempt is evidence that the replica is warm.
func (p *Pool) judge(c *replica, g *permit, r goose.PermitReport) bool {
	c.doubted = c.doubted || r.Outcome == goose.OutcomeNotSent || r.Outcome == goose.OutcomeFailed
	if r.Outcome == goose.OutcomeNotSent {
		// The holder names a process here only if it met another one than the
		// permit was granted for.
		if p.seen(c, r.Process) && r.Cold && !p.staleCold(c, g) {
			c.coldReport = true
			p.turnCold(c, "cold report")
		}
		return false
	}
	if r.Outcome == goose.OutcomeCrashed {
		p.crashReport(c, g, r.Process)
		return false
	}
	// This attempt survived: it is not among those that a crash broke off.
	delete(c.permits, g.permit.ID)
	if !p.seen(c, r.Process) {
		return false
	}
	if r.Cold && !p.staleCold(c, g) {
		c.coldReport = true
		p.turnCold(c, "cold report")
		return false
	}
	inTime := r.First <= firstTokenBase+time.Duration(g.request.PromptTokens)*firstTokenPerToken
	granted := g.process(c.id)
	same := granted == "" || r.Process == "" || granted == r.Process
	// While its load reports say cold, a replica is not ramped up.
	return r.Outcome == goose.OutcomeFinished && !r.Cold && !c.coldReport && inTime && same
}

// staleCold tells whether a cold report is older than what the replica's load
// reports say: the permit was granted before the replica last turned cold, and
// its newest load report is warm.
func (p *Pool) staleCold(c *replica, g *permit) bool {
	return !c.limits.Current(g.permit.ID) && c.reachable && !c.coldReport
}

// crashReport applies a broken attempt. The replica gets nothing until it
// answers a load poll, and is cold then.
func (p *Pool) crashReport(c *replica, g *permit, process string) {
	if process == "" {
		process = g.process(c.id)
	}
	if process == "" {
		process = c.process
	}
	for _, past := range c.past {
		if past == process {
			// The crash was noticed before; the process that runs now is another.
			p.crashed(c, process)
			return
		}
	}
	p.crashed(c, process)
	if process == "" || c.process == "" || process == c.process {
		p.retire(c)
	} else {
		p.seen(c, process)
		p.retire(c)
	}
	p.turnCold(c, "attempt broke off")
	c.reachable = false
}

// warmed logs that a replica finished its ramp.
func (p *Pool) warmed(r *replica, cold bool) {
	if cold && !r.limits.Cold() {
		gooseevent.ReplicaWarm.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", r.id)
	}
}

func (p *Pool) modeChanged(m goose.DispatchMode) {
	gooseevent.PoolMode.Log(p.d.Log, "pool", p.d.Pool.String(), "from", string(p.mode), "to", string(m))
	if p.mode == goose.ModeDegraded && m != goose.ModeStopped {
		// Other parts of the data centre may have granted replicas meanwhile.
		p.restartTakeover()
	}
	p.mode = m
}

// tombstones remember ended permits for a while.
type tombstones struct {
	at    map[goose.PermitID]time.Time
	order []goose.PermitID
}

// tombstoneAge exceeds the time in which an old list of held permits or
// streams can still arrive.
const tombstoneAge = 30 * time.Second

func newTombstones() tombstones { return tombstones{at: map[goose.PermitID]time.Time{}} }

func (t *tombstones) add(id goose.PermitID, now time.Time) {
	if _, ok := t.at[id]; !ok {
		t.order = append(t.order, id)
	}
	t.at[id] = now
	for len(t.order) > 0 && now.Sub(t.at[t.order[0]]) > tombstoneAge {
		delete(t.at, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *tombstones) has(id goose.PermitID) bool {
	_, ok := t.at[id]
	return ok
}
