package goosedispatch

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// maxPastProcesses bounds the list of former process ids of a replica. Late reports
// that name one of them are ignored.
const maxPastProcesses = 8

// replica is the dispatcher's state of one backend server.
type replica struct {
	id      goose.ReplicaID
	index   int
	spec    goose.BackendServer
	limiter *gooselimit.Limiter
	// configured is false once the replica has left the configuration; its state
	// is kept while permits run on it.
	configured bool
	// open is false while the replica or its data centre is leaving.
	open bool
	// reachable is false until the replica has responded to a load poll, and again
	// after a lost connection or a crash.
	reachable bool
	// missedPolls counts the load polls in a row without a response in time.
	missedPolls   int
	process       string
	pastProcesses []string
	wishes        wishes
	// processChanges counts the process changes. A load poll stores the count when
	// it begins, so that a report from before a change can be recognised.
	processChanges int
	// placedTokens are all prompt tokens granted on the replica so far, by priority.
	placedTokens [gooselimit.Priorities]int
	// reportedTokens is the KV use in tokens of the last load report.
	reportedTokens int
	// reportedCold is the cold flag of the last load report, or is set by a later
	// permit report.
	reportedCold bool
	// inspected is set once the replica's own list of streams has been read after
	// the quarantine; before that a cold replica gets no requests.
	inspected   bool
	inspectedAt time.Time
	permits     map[goose.PermitID]*activePermit
	orphans     map[goose.AttemptID]*orphanStream
	// abandonedCalls are the calls to a plain service that were released without
	// a response; their capacity is still counted.
	abandonedCalls map[goose.PermitID]*activePermit
	// orphanHandles maps the handles of exported KV caches without a permit to when
	// they were first seen.
	orphanHandles map[string]time.Time
	// polling is set while a background poll of the replica runs.
	polling bool
	// pollRequested requests a load poll at the next tick, because an attempt did
	// not reach the replica or failed there.
	pollRequested bool
	// activeCommand is the command in progress on the replica; nil if there is none.
	activeCommand *activeCommand
	// commandKnown is set once the replica has reported its last command. Before
	// that it gets no requests, because a former dispatcher may have sent a command.
	commandKnown bool
	// commandEndedAt is when the last command ended; older evidence that the
	// replica is warm does not count.
	commandEndedAt time.Time
	// stopWatch ends the watch of cache events; nil if there is none.
	stopWatch context.CancelFunc
}

// orphanStream is a stream in the replica's own list without a permit.
type orphanStream struct{ firstSeen time.Time }

// eligibleSet is the set of replicas that the selectors open to a workspace.
// Workspaces with equal sets share one value.
type eligibleSet struct {
	replicas  []*replica
	members   map[*replica]bool
	maxMemory int
	sumMemory int
}

// applyConfiguration applies the current configuration if its version has changed.
func (p *Pool) applyConfiguration(now time.Time) {
	c := p.deps.Configuration.Current()
	if c == nil || c.Version() == p.configurationVersion {
		return
	}
	p.configurationVersion = c.Version()
	p.service, _ = c.Service(p.deps.Pool.Service)
	dc, known := c.DataCentre(p.deps.Pool.DataCentre)
	dcOpen := !known || dc.State != goose.StateLeaving
	for _, r := range p.replicas {
		r.configured, r.open = false, false
	}
	for _, s := range c.Pool(p.deps.Pool) {
		p.configureReplica(s, dcOpen)
	}
	p.rebuildConfiguredReplicas()
	p.eligibleByWorkspace = map[goose.WorkspaceName]*eligibleSet{}
	p.eligibleByHash = map[uint64]*eligibleSet{}
	p.reservation.clear()
	p.refuseUnroutable()
	p.grantWaiting(now)
}

func (p *Pool) configureReplica(s goose.BackendServer, dcOpen bool) {
	r, ok := p.replicas[s.Name]
	if !ok {
		r = &replica{
			id:      s.Name,
			limiter: gooselimit.New(s),
			permits: map[goose.PermitID]*activePermit{},
			orphans: map[goose.AttemptID]*orphanStream{},
		}
		p.replicas[s.Name] = r
	}
	if ok && r.spec.Address != s.Address {
		// Another address means another machine: nothing known about the old one
		// applies to it.
		r.endCacheWatch()
		p.resetToCold(r, "address changed")
		r.clearAbandoned()
		r.reachable, r.inspected, r.commandKnown = false, false, false
		p.retireProcess(r)
	}
	r.spec, r.configured = s, true
	r.open = dcOpen && s.State != goose.StateLeaving
	r.limiter.SetSpec(s)
}

// rebuildConfiguredReplicas rebuilds the list of configured replicas and removes
// those that have left the configuration and run nothing.
func (p *Pool) rebuildConfiguredReplicas() {
	p.configuredReplicas = p.configuredReplicas[:0]
	for _, r := range p.replicas {
		switch {
		case r.configured:
			p.configuredReplicas = append(p.configuredReplicas, r)
		case len(r.permits) == 0:
			p.removeReplica(r)
		}
	}
	sort.Slice(p.configuredReplicas, func(i, j int) bool { return p.configuredReplicas[i].id < p.configuredReplicas[j].id })
	for i, r := range p.configuredReplicas {
		r.index = i
	}
}

// removeReplica removes a replica that has left the configuration and runs nothing.
func (p *Pool) removeReplica(r *replica) {
	r.endCacheWatch()
	delete(p.replicas, r.id)
	p.deps.Policy.Forget(r.id)
}

func (r *replica) endCacheWatch() {
	if r.stopWatch != nil {
		r.stopWatch()
	}
}

// refuseUnroutable refuses the waiting requests that no replica can run after a
// change of the configuration.
func (p *Pool) refuseUnroutable() {
	for _, w := range p.waiting {
		if refusal, refused := p.unroutableRefusal(w.request); refused {
			p.refuseWaiting(w, refusal)
		}
	}
}

// eligibleReplicas returns the set of replicas that are open to the workspace.
func (p *Pool) eligibleReplicas(w goose.WorkspaceName) *eligibleSet {
	if e, ok := p.eligibleByWorkspace[w]; ok {
		return e
	}
	allowed := p.deps.Configuration.Current().Allowed(w, p.deps.Pool)
	e := &eligibleSet{members: map[*replica]bool{}}
	for _, s := range allowed {
		if r, ok := p.replicas[s.Name]; ok && r.configured {
			e.replicas = append(e.replicas, r)
			e.members[r] = true
		}
	}
	sort.Slice(e.replicas, func(i, j int) bool { return e.replicas[i].index < e.replicas[j].index })
	h := xxhash.New()
	for _, r := range e.replicas {
		_, _ = h.WriteString(string(r.id))
		_, _ = h.Write([]byte{0})
		e.maxMemory = max(e.maxMemory, r.spec.MemoryTokens)
		e.sumMemory += r.spec.MemoryTokens
	}
	// Workspaces with equal sets share one value, so that one failed search
	// for a replica holds for all of them.
	if same, ok := p.eligibleByHash[h.Sum64()]; ok {
		e = same
	} else {
		p.eligibleByHash[h.Sum64()] = e
	}
	p.eligibleByWorkspace[w] = e
	return e
}

// usable reports whether new requests may be placed on the replica.
func (p *Pool) usable(r *replica, a Authority, now time.Time) bool {
	if !r.configured || !r.open || !r.reachable || r.activeCommand != nil || !r.commandKnown || !r.wishes.wantsWork(now) {
		return false
	}
	if a.Owns != nil && !a.Owns(r.id) {
		return false
	}
	if !r.limiter.Cold() {
		return true
	}
	return a.Mode != goose.ModeDegraded && r.inspected && p.takeover.quarantineOver(now, p.quarantine())
}

// resetToCold resets the replica to its cold limits.
func (p *Pool) resetToCold(r *replica, reason string) {
	if r.limiter.ResetToCold() {
		gooseevent.ReplicaCold.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", r.id, "reason", reason)
	}
	p.reservation.dropReplica(r)
}

// observeProcess compares a process id from a permit report with the known one.
// Another process means that the replica has restarted: it is cold, and its cache
// is empty. It returns false for a process that is known to have ended.
func (p *Pool) observeProcess(r *replica, process string) bool {
	if process == "" || process == r.process {
		return true
	}
	if slices.Contains(r.pastProcesses, process) {
		return false
	}
	if r.process == "" {
		r.process = process
		return true
	}
	p.replaceProcess(r, process)
	return true
}

// observePolledProcess does the same for a load report, which describes the
// replica at present: a process that was assumed to have ended may be reachable
// again after a lost connection. It returns false for the response to a poll that
// began before the process changed.
func (p *Pool) observePolledProcess(r *replica, process string, changes int) bool {
	switch {
	case process == "" || process == r.process:
		return true
	case changes != r.processChanges:
		return false
	}
	r.pastProcesses = slices.DeleteFunc(r.pastProcesses, func(s string) bool { return s == process })
	if r.process == "" {
		r.process = process
		return true
	}
	p.replaceProcess(r, process)
	return true
}

// replaceProcess records that another process runs on the replica.
func (p *Pool) replaceProcess(r *replica, process string) {
	p.recordCrash(r, r.process)
	p.retireProcess(r)
	r.clearAbandoned()
	r.process = process
	p.resetToCold(r, "process changed")
}

// retireProcess moves the current process id to the past ones.
func (p *Pool) retireProcess(r *replica) {
	if r.process != "" {
		r.pastProcesses = append(r.pastProcesses, r.process)
		if len(r.pastProcesses) > maxPastProcesses {
			r.pastProcesses = r.pastProcesses[1:]
		}
	}
	r.process = ""
	r.processChanges++
	r.wishes.leavingUntil = time.Time{}
	p.deps.Policy.Forget(r.id)
}

// recordCrash records the requests that ran on a crashed process as suspects.
func (p *Pool) recordCrash(r *replica, process string) {
	if p.deps.Suspects == nil || len(r.permits) == 0 {
		return
	}
	var fingerprints []goose.Fingerprint
	for _, g := range r.permits {
		// A permit is recorded once per replica, also when the process is unknown
		// and each holder reports the crash separately.
		if q := g.processAtGrant(r.id); (q == "" || q == process) && !slices.Contains(g.crashedReplicas, r.id) {
			g.crashedReplicas = append(g.crashedReplicas, r.id)
			fingerprints = append(fingerprints, g.request.Fingerprint)
		}
	}
	if len(fingerprints) == 0 {
		return
	}
	gooseevent.ReplicaCrashed.Log(p.deps.Log, "pool", p.deps.Pool.String(), "replica", r.id, "process", process, "requests", len(fingerprints))
	p.deps.Suspects.RecordCrash(r.id, process, fingerprints)
	p.refuseSuspicious()
}
