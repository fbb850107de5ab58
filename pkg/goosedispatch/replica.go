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

// pastProcesses bounds the memory of process ids whose late reports are ignored.
const pastProcesses = 8

// replica is what the dispatcher knows about one backend server.
type replica struct {
	id     goose.ReplicaID
	index  int
	spec   goose.BackendServer
	limits *gooselimit.Replica
	// configured is false once the replica left the configuration; it is kept
	// while permits run on it.
	configured bool
	// open is false while the replica or its data centre is leaving.
	open bool
	// reachable is false until the replica answered a load poll, and again
	// after a lost connection.
	reachable bool
	// misses counts polls without an answer in time.
	misses  int
	process string
	past    []string
	// changes counts the process changes; it dates load polls.
	changes int
	// placed are the prompt tokens granted here so far, by priority.
	placed [gooselimit.Priorities]int
	// reported is the KV use by the replica's own report.
	reported int
	// coldReport is the cold flag of the last load report.
	coldReport bool
	// inspected is set once the replica's own list of streams was read after
	// the quarantine; a cold replica gets nothing before.
	inspected   bool
	inspectedAt time.Time
	permits     map[goose.PermitID]*permit
	orphans     map[goose.AttemptID]*orphan
	// abandoned are the calls to a plain service that were released without an
	// answer; their capacity is still counted.
	abandoned map[goose.PermitID]*permit
	// handles are the exported KV caches without a permit, and since when.
	handles map[string]time.Time
	// busy is set while a background check of the replica runs.
	busy bool
	// doubted asks for a load poll at the next tick: an attempt did not reach the
	// replica or failed there.
	doubted bool
	// load is the command in progress; nil if there is none.
	load *load
	// commandKnown is set once the replica told about its last command; it gets
	// nothing before, since a former dispatcher may have sent one.
	commandKnown bool
	// commandEnded is when the last command ended; older evidence of warmth does
	// not count.
	commandEnded time.Time
	// stopWatch ends the watch of cache events; nil without one.
	stopWatch context.CancelFunc
}

// orphan is a stream in the replica's own list that belongs to no permit.
type orphan struct{ since time.Time }

// eligible is a set of replicas that the selectors open to some workspaces.
type eligible struct {
	replicas  []*replica
	members   map[*replica]bool
	maxMemory int
	sumMemory int
}

// refresh applies a changed configuration.
func (p *Pool) refresh(now time.Time) {
	c := p.d.Configuration.Current()
	if c == nil || c.Version() == p.version {
		return
	}
	p.version = c.Version()
	p.service, _ = c.Service(p.d.Pool.Service)
	dc, known := c.DataCentre(p.d.Pool.DataCentre)
	dcOpen := !known || dc.State != goose.StateLeaving
	for _, r := range p.replicas {
		r.configured, r.open = false, false
	}
	for _, s := range c.Pool(p.d.Pool) {
		p.place(s, dcOpen)
	}
	p.reorder()
	p.eligibles = map[goose.WorkspaceName]*eligible{}
	p.sets = map[uint64]*eligible{}
	p.earmark.clear()
	p.refuseUnroutable()
	p.pump(now)
}

func (p *Pool) place(s goose.BackendServer, dcOpen bool) {
	r, ok := p.replicas[s.Name]
	if !ok {
		r = &replica{
			id:      s.Name,
			limits:  gooselimit.New(s),
			permits: map[goose.PermitID]*permit{},
			orphans: map[goose.AttemptID]*orphan{},
		}
		p.replicas[s.Name] = r
	}
	if ok && r.spec.Address != s.Address {
		// Another address is another machine: nothing known about the old one holds.
		r.endWatch()
		p.turnCold(r, "address changed")
		r.clearAbandoned()
		r.reachable, r.inspected, r.commandKnown = false, false, false
		p.retire(r)
	}
	r.spec, r.configured = s, true
	r.open = dcOpen && s.State != goose.StateLeaving
	r.limits.SetSpec(s)
}

// reorder rebuilds the list of configured replicas and forgets removed ones
// that run nothing any more.
func (p *Pool) reorder() {
	p.order = p.order[:0]
	for _, r := range p.replicas {
		switch {
		case r.configured:
			p.order = append(p.order, r)
		case len(r.permits) == 0:
			p.remove(r)
		}
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].id < p.order[j].id })
	for i, r := range p.order {
		r.index = i
	}
}

// remove forgets a replica that left the configuration and runs nothing.
func (p *Pool) remove(r *replica) {
	r.endWatch()
	delete(p.replicas, r.id)
	p.d.Policy.Forget(r.id)
}

func (r *replica) endWatch() {
	if r.stopWatch != nil {
		r.stopWatch()
	}
}

// refuseUnroutable refuses the waiting requests that a changed configuration
// leaves without a replica.
func (p *Pool) refuseUnroutable() {
	for _, w := range p.waiting {
		if refusal, bad := p.unroutable(w.request); bad {
			p.refuseWaiting(w, refusal)
		}
	}
}

// eligible returns the replicas that the workspace may reach.
func (p *Pool) eligible(w goose.WorkspaceName) *eligible {
	if e, ok := p.eligibles[w]; ok {
		return e
	}
	allowed := p.d.Configuration.Current().Allowed(w, p.d.Pool)
	e := &eligible{members: map[*replica]bool{}}
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
	// Workspaces with equal sets share one value, so that one failed search for
	// a replica answers for all of them.
	if same, ok := p.sets[h.Sum64()]; ok {
		e = same
	} else {
		p.sets[h.Sum64()] = e
	}
	p.eligibles[w] = e
	return e
}

// usable reports whether new work may go to the replica.
func (p *Pool) usable(r *replica, a Authority, now time.Time) bool {
	if !r.configured || !r.open || !r.reachable || r.load != nil || !r.commandKnown {
		return false
	}
	if a.Owns != nil && !a.Owns(r.id) {
		return false
	}
	if !r.limits.Cold() {
		return true
	}
	return a.Mode != goose.ModeDegraded && r.inspected && p.takeover.over(now, p.quarantine())
}

// turnCold puts the replica back to its cold limits.
func (p *Pool) turnCold(r *replica, reason string) {
	if r.limits.TurnCold() {
		gooseevent.ReplicaCold.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", r.id, "reason", reason)
	}
	p.earmark.lost(r)
}

// seen compares a process id with the known one. Another process means that
// the replica restarted: it is cold, and its cache is empty. It returns false
// for a process that is known to be gone.
func (p *Pool) seen(r *replica, process string) bool {
	if process == "" || process == r.process {
		return true
	}
	if slices.Contains(r.past, process) {
		return false
	}
	if r.process == "" {
		r.process = process
		return true
	}
	p.replaced(r, process)
	return true
}

// polled is seen for a load report, which the replica gives about itself now:
// a process that was taken for gone may be back after a cut connection. It
// returns false for a report that was asked for before the process changed.
func (p *Pool) polled(r *replica, process string, changes int) bool {
	switch {
	case process == "" || process == r.process:
		return true
	case changes != r.changes:
		return false
	}
	r.past = slices.DeleteFunc(r.past, func(s string) bool { return s == process })
	if r.process == "" {
		r.process = process
		return true
	}
	p.replaced(r, process)
	return true
}

// replaced notes that another process runs on the replica.
func (p *Pool) replaced(r *replica, process string) {
	p.crashed(r, r.process)
	p.retire(r)
	r.clearAbandoned()
	r.process = process
	p.turnCold(r, "process changed")
}

// retire moves the present process id to the past ones.
func (p *Pool) retire(r *replica) {
	if r.process != "" {
		r.past = append(r.past, r.process)
		if len(r.past) > pastProcesses {
			r.past = r.past[1:]
		}
	}
	r.process = ""
	r.changes++
	p.d.Policy.Forget(r.id)
}

// crashed tells the suspects what ran on a process that broke off its work.
func (p *Pool) crashed(r *replica, process string) {
	if p.d.Suspects == nil || len(r.permits) == 0 {
		return
	}
	var prints []goose.Fingerprint
	for _, g := range r.permits {
		// A permit is noted once per replica, also when the process is unknown
		// and each holder reports the crash on its own.
		if q := g.process(r.id); (q == "" || q == process) && !slices.Contains(g.crashed, r.id) {
			g.crashed = append(g.crashed, r.id)
			prints = append(prints, g.request.Fingerprint)
		}
	}
	if len(prints) == 0 {
		return
	}
	gooseevent.ReplicaCrashed.Log(p.d.Log, "pool", p.d.Pool.String(), "replica", r.id, "process", process, "requests", len(prints))
	p.d.Suspects.Crashed(r.id, process, prints)
	p.refuseSuspicious()
}
