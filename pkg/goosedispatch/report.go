package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// firstTokenBase and firstTokenPerToken bound the time to first token of a success. A
	// replica that responds later is still loading its model and is not ramped up.
	firstTokenBase     = 2 * time.Second
	firstTokenPerToken = time.Millisecond
)

// Report implements goose.Dispatcher.
func (p *Pool) Report(r goose.PermitReport) { p.ApplyReport(r) }

// ApplyReport applies a report. It returns false if the dispatcher has resigned, so that the
// report must be sent to its successor. Applying a report twice has no further effect.
// The release of an unknown permit is remembered, so that a collect that was replied to
// earlier does not count the permit again.
func (p *Pool) ApplyReport(r goose.PermitReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resigned {
		return false
	}
	now := p.deps.Clock.Now()
	p.lastContact[r.Instance] = now
	p.applyReport(r, now)
	return true
}

func (p *Pool) applyReport(r goose.PermitReport, now time.Time) {
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
		p.recordPrefilled(g, now)
	case goose.PhaseReleased:
		p.finishPermit(g, r, now)
	}
	p.grantWaitingOn(now, p.replicasOf(g)...)
}

func (p *Pool) replicasOf(g *activePermit) []*replica {
	out := make([]*replica, 0, 1)
	for _, s := range g.permit.Replicas {
		if r, ok := p.replicas[s.Replica]; ok {
			out = append(out, r)
		}
	}
	return out
}

func (p *Pool) recordPrefilled(g *activePermit, now time.Time) {
	p.recordFirstToken(g, now.Sub(g.grantedAt), now)
	for _, s := range g.permit.Replicas {
		if c, ok := p.replicas[s.Replica]; ok {
			before := c.limiter.LongPrefills()
			c.limiter.PrefillDone(g.permit.ID)
			p.longPrefills += c.limiter.LongPrefills() - before
		}
	}
}

// finishPermit applies the outcome of a permit and frees its capacity.
func (p *Pool) finishPermit(g *activePermit, r goose.PermitReport, now time.Time) {
	if r.Replica == "" && len(g.permit.Replicas) > 0 {
		r.Replica = g.permit.Replicas[len(g.permit.Replicas)-1].Replica
	}
	success := false
	if c, ok := p.replicas[r.Replica]; ok {
		success = p.applyOutcome(c, g, r, now)
	}
	if r.Outcome == goose.OutcomeFinished {
		p.loadEstimate.recordDuration(g.request.Class, g.request.Cost(), now.Sub(g.grantedAt))
		p.recordFirstToken(g, r.TimeToFirstToken, now)
		p.loadEstimate.recordFinished(g, r.TimeToFirstToken, now)
		p.observeFirstToken(g, r)
	}
	p.endTrial(g, r.Outcome)
	if !g.prefilled && r.Outcome == goose.OutcomeCancelled {
		p.recordCancelled(g, now)
	}
	p.dropPermit(g, func(id goose.ReplicaID) bool { return success && id == r.Replica })
	if r.Outcome == goose.OutcomeCancelled {
		p.countAbandoned(g)
	}
}

// endTrial ends the trial of a suspect that ran alone.
func (p *Pool) endTrial(g *activePermit, o goose.AttemptOutcome) {
	if !g.exclusive || p.deps.Suspects == nil {
		return
	}
	switch o {
	case goose.OutcomeFinished:
		p.deps.Suspects.Clear(g.request.Fingerprint)
	case goose.OutcomeCrashed:
	default:
		p.deps.Suspects.EndTrial(g.request.Fingerprint)
	}
}

// observeFirstToken passes the time to first token of a short request to the bound on
// long prefills.
func (p *Pool) observeFirstToken(g *activePermit, r goose.PermitReport) {
	if g.request.Class != goose.ClassShort || g.longPrefill == "" || p.service.Kind != goose.KindModel {
		return
	}
	changed := p.deps.LongPrefillBound.Observe(goose.TTFTSample{
		DuringLongPrefill: g.longPrefill == longPrefillPresent, PromptTokens: g.request.PromptTokens, TTFT: r.TimeToFirstToken,
	})
	if !changed {
		return
	}
	ratio := 0.0
	if b, ok := p.deps.LongPrefillBound.(interface{ Ratio() (float64, bool) }); ok {
		ratio, _ = b.Ratio()
	}
	gooseevent.LongPrefillBoundChanged.Log(p.deps.Log, "pool", p.deps.Pool.String(), "limit", p.longPrefillLimit(), "replicas", len(p.configuredReplicas), "ratio", ratio)
}

// applyOutcome applies a report to the state of a replica. It returns whether the attempt is
// evidence that the replica is warm.
func (p *Pool) applyOutcome(c *replica, g *activePermit, r goose.PermitReport, now time.Time) bool {
	c.pollRequested = c.pollRequested || r.Outcome == goose.OutcomeNotSent || r.Outcome == goose.OutcomeFailed
	if r.Outcome == goose.OutcomeNotSent {
		// The holder names a process here only if it differs from the process that
		// the permit was granted for.
		if p.observeProcess(c, r.Process) && r.Cold && !p.staleColdReport(c, g) {
			c.reportedCold = true
			p.resetToCold(c, "cold report")
		}
		return false
	}
	if r.Outcome == goose.OutcomeCrashed {
		p.applyCrash(c, g, r.Process)
		return false
	}
	// This attempt has ended, so that a later crash did not abort it.
	delete(c.permits, g.permit.ID)
	if !p.observeProcess(c, r.Process) {
		return false
	}
	p.recordWish(c, r.Wish(), now)
	if r.Cold && !p.staleColdReport(c, g) {
		c.reportedCold = true
		p.resetToCold(c, "cold report")
		return false
	}
	inTime := r.TimeToFirstToken <= firstTokenBase+time.Duration(g.request.PromptTokens)*firstTokenPerToken
	processAtGrant := g.processAtGrant(c.id)
	sameProcess := processAtGrant == "" || r.Process == "" || processAtGrant == r.Process
	// A replica is not ramped up while its load reports mark it as cold.
	return r.Outcome == goose.OutcomeFinished && !r.Cold && !c.reportedCold && inTime && sameProcess
}

// staleColdReport reports whether the cold flag of a permit report is older than the
// replica's load reports: the permit was granted before the replica last became cold, and
// its newest load report is warm.
func (p *Pool) staleColdReport(c *replica, g *activePermit) bool {
	return !c.limiter.GrantedSinceCold(g.permit.ID) && c.reachable && !c.reportedCold
}

// applyCrash applies the report of a crashed attempt. The replica gets no requests
// until it responds to a load poll, and is cold then.
func (p *Pool) applyCrash(c *replica, g *activePermit, process string) {
	if process == "" {
		process = g.processAtGrant(c.id)
	}
	if process == "" {
		process = c.process
	}
	for _, past := range c.pastProcesses {
		if past == process {
			// The crash is known already; another process runs now.
			p.recordCrash(c, process)
			return
		}
	}
	p.recordCrash(c, process)
	if process == "" || c.process == "" || process == c.process {
		p.retireProcess(c)
	} else {
		p.observeProcess(c, process)
		p.retireProcess(c)
	}
	p.resetToCold(c, "attempt broke off")
	c.reachable = false
}

// logWarm logs that a replica has finished its ramp; wasCold is its state before.
func (p *Pool) logWarm(r *replica, wasCold bool) {
	if wasCold && !r.limiter.Cold() {
		gooseevent.ReplicaWarm.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", r.id)
	}
}

func (p *Pool) changeMode(m goose.DispatchMode) {
	gooseevent.PoolModeChanged.Log(p.deps.Log, "pool", p.deps.Pool.String(), "from", string(p.mode), "to", string(m))
	if p.mode == goose.ModeDegraded && m != goose.ModeStopped {
		// Other parts of the data centre may have granted on the replicas in the meantime.
		p.restartTakeover()
	}
	p.mode = m
}

// tombstones holds the ids of ended permits for tombstoneAge.
type tombstones struct {
	at    map[goose.PermitID]time.Time
	order []goose.PermitID
}

// tombstoneAge exceeds the time in which an outdated list of held permits or streams
// can still arrive.
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
