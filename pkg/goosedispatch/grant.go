package goosedispatch

import (
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// permit is one grant that has not ended.
type permit struct {
	permit   goose.Permit
	request  goose.PermitRequest
	granted  time.Time
	deadline time.Time
	// polled is when the last poll that could carry this permit arrived; the
	// holder cannot use the permit later than polled + PermitLifetime.
	polled  time.Time
	started bool
	// exclusive is set for a suspect that runs alone.
	exclusive bool
	// company tells whether a long prefill was in progress on the replica at
	// the grant; empty for a permit of another dispatcher.
	company company
	// queued are the prompt tokens that the engine computes until this request's
	// first token, by the permits in force at the grant; 0 for a permit of
	// another dispatcher.
	queued int
	// overtakers are the prompt tokens of earlier priorities that had been granted
	// on the replicas before this permit.
	overtakers int
	// prefilled is set once the first token came.
	prefilled bool
	// incarnation is the holder's, 0 if unknown.
	incarnation int64
	// asked is when the holder last confirmed that it holds the permit.
	asked time.Time
	// lost is set once the holder counts as dead; the capacity stays counted
	// until the streams are gone from the replicas.
	lost bool
	// denied is set if the process that got the permit said that it does not
	// hold it.
	denied bool
	// crashed lists the replicas whose crash was noted for this permit.
	crashed []goose.ReplicaID
	// freeing is set while a background call cancels or looks up the streams.
	freeing bool
	// lookedUp is when the stream of a silent holder was last looked up.
	lookedUp time.Time
	// begun is when a plain service is first known to have begun the call.
	begun time.Time
}

// company tells what a request runs beside.
type company string

const (
	companyLong company = "long"
	companyNone company = "none"
)

// process returns the process id of a replica at the time of the grant.
func (g *permit) process(id goose.ReplicaID) string {
	for _, s := range g.permit.Replicas {
		if s.Replica == id {
			return s.Process
		}
	}
	return ""
}

// pin keeps equal requests on one replica.
type pin struct {
	replica goose.ReplicaID
	permits int
}

// choice is the placement that the last successful search found.
type choice struct {
	parts     []part
	exclusive bool
	// candidates and replicas are buffers of the search.
	candidates []goose.Candidate
	replicas   []*replica
}

// part is what one replica takes of a request.
type part struct {
	replica *replica
	prompt  int
	demand  gooselimit.Demand
}

// memoKey names a kind of request for which a failed search is remembered
// during one pump.
type memoKey struct {
	set  *eligible
	long bool
}

// pump grants waiting requests in service order until none fits.
func (p *Pool) pump(now time.Time) {
	a, ok := p.mayGrant(now)
	if !ok {
		return
	}
	p.earmarkFirst(a, now)
	p.serve(a, now, nil)
}

// pumpReplicas grants waiting requests on replicas that had something
// released. Nothing fitted before, so that no other replica needs a look; the
// next tick looks at all of them.
func (p *Pool) pumpReplicas(now time.Time, only ...*replica) {
	a, ok := p.mayGrant(now)
	if !ok || len(only) == 0 {
		return
	}
	p.serve(a, now, only)
}

// pumpRequest grants one request that has just begun to poll, if it fits.
func (p *Pool) pumpRequest(now time.Time, w *waiter) {
	a, ok := p.mayGrant(now)
	if !ok {
		return
	}
	p.beginSearch(nil)
	if !p.fits(w.request, a, now) {
		return
	}
	id := w.request.Request
	if _, ok := p.d.Discipline.Pop(func(i goose.QueueItem) bool { return i.Request.Request == id }); ok {
		p.grant(w, now)
	}
}

// mayGrant reports whether there is authority to grant and a request waits.
func (p *Pool) mayGrant(now time.Time) (Authority, bool) {
	a := p.authority(now)
	if p.resigned || a.Mode == goose.ModeStopped {
		p.stopWaiting()
		return a, false
	}
	p.applyShares(a)
	if len(p.waiting) == 0 {
		return a, false
	}
	p.usables = 0
	for _, r := range p.order {
		if p.usable(r, a, now) {
			p.usables++
		}
	}
	return a, true
}

// applyShares sets the shares of all replicas, and the whole once more when the
// authority no longer names shares.
func (p *Pool) applyShares(a Authority) {
	if a.Share == nil && !p.shared {
		return
	}
	p.shared = a.Share != nil
	for _, r := range p.order {
		s := gooselimit.ShareWhole
		if a.Share != nil {
			s = a.Share(r.id)
		}
		r.limits.SetShare(s)
	}
}

func (p *Pool) beginSearch(only []*replica) {
	clear(p.memo)
	p.only, p.meanKnown = only, false
}

// serve grants until nothing fits. With replicas in only, requests are placed
// on these alone, and the search ends once they are full.
func (p *Pool) serve(a Authority, now time.Time, only []*replica) {
	p.beginSearch(only)
	fits := func(i goose.QueueItem) bool { return p.fits(i.Request, a, now) }
	for len(p.waiting) > 0 && (only == nil || anyFree(only)) {
		i, ok := p.d.Discipline.Pop(fits)
		if !ok {
			return
		}
		w := p.waiting[i.Request.Request]
		if p.earmark.is(w.request.Request) {
			// The replicas kept free are open to others again.
			clear(p.memo)
			p.only, only = nil, nil
		}
		p.grant(w, now)
	}
}

func anyFree(all []*replica) bool {
	for _, r := range all {
		if r.limits.Free() > 0 {
			return true
		}
	}
	return false
}

// observeMean tells the policy the mean load, once in each search.
func (p *Pool) observeMean(a Authority, now time.Time) {
	m, ok := p.d.Policy.(meanPolicy)
	if !ok || p.meanKnown {
		return
	}
	p.meanKnown = true
	sum, n := 0, 0
	for _, r := range p.order {
		if p.usable(r, a, now) {
			sum += r.limits.Tokens()
			n++
		}
	}
	m.SetMeanTokens(float64(sum) / float64(max(1, n)))
}

// fits searches replicas for a waiting request and remembers them in p.choice.
// Only a request with an open poll fits: the answer must reach its holder.
func (p *Pool) fits(r goose.PermitRequest, a Authority, now time.Time) bool {
	w := p.waiting[r.Request]
	if w == nil || len(w.polls) == 0 {
		return false
	}
	set := p.eligible(r.Workspace)
	if p.known(r, set) {
		return false
	}
	grade := p.grade(r)
	if grade == goose.SuspicionCondemned || grade == goose.SuspicionOnTrial {
		return false
	}
	if r.Class == goose.ClassGiant && r.Cost() > set.maxMemory {
		if p.only != nil {
			// The next tick looks for a set of replicas.
			return false
		}
		return p.fitsGiant(r, set, grade, a, now)
	}
	return p.fitsOne(r, set, grade, a, now)
}

func (p *Pool) fitsOne(r goose.PermitRequest, set *eligible, grade goose.Suspicion, a Authority, now time.Time) bool {
	d := p.demand(r, grade)
	pinned, isPinned := p.pins[r.Fingerprint]
	plain := !isPinned && len(r.Avoid) == 0 && !d.Exclusive
	if d.Long && p.poolLongs >= p.longLimit() {
		return false
	}
	avoid := p.avoided(r, set)
	candidates, replicas := p.choice.candidates[:0], p.choice.replicas[:0]
	search := set.replicas
	if p.only != nil {
		search = p.only
	}
	for _, c := range search {
		if p.only != nil && !set.members[c] {
			continue
		}
		if isPinned && c.id != pinned.replica || !p.earmark.allows(c, r.Request) {
			continue
		}
		if !c.limits.Fits(d) || !p.usable(c, a, now) || slices.Contains(avoid, c.id) {
			continue
		}
		candidates = append(candidates, candidate(c))
		replicas = append(replicas, c)
	}
	candidates, replicas = p.inTime(r, candidates, replicas, now)
	p.choice.candidates, p.choice.replicas = candidates, replicas
	if len(candidates) == 0 {
		if plain && !p.earmark.is(r.Request) {
			p.memo[memoKey{set: set, long: d.Long}] = d.Tokens
		}
		return false
	}
	p.observeMean(a, now)
	chosen := replicas[p.d.Policy.Choose(r, candidates)]
	p.choice.parts = append(p.choice.parts[:0], part{replica: chosen, prompt: r.PromptTokens, demand: d})
	p.choice.exclusive = d.Exclusive
	return true
}

// known reports whether an equal or smaller request of the same kind was
// searched for in vain. Requests with a place of their own are not compared.
func (p *Pool) known(r goose.PermitRequest, set *eligible) bool {
	least, ok := p.memo[memoKey{set: set, long: long(r.Class)}]
	if !ok || r.Cost() < least || p.earmark.is(r.Request) {
		return false
	}
	// A failed search holds for restricted requests as well, but not for giants,
	// which are split.
	return r.Cost() <= set.maxMemory
}

func candidate(r *replica) goose.Candidate {
	return goose.Candidate{
		Replica:        r.id,
		Tokens:         r.limits.Tokens(),
		Requests:       r.limits.Requests(),
		ReportedTokens: r.reported,
		MemoryTokens:   r.spec.MemoryTokens,
	}
}

func (p *Pool) demand(r goose.PermitRequest, grade goose.Suspicion) gooselimit.Demand {
	return gooselimit.Demand{
		Tokens:    r.Cost(),
		Prefill:   r.PromptTokens,
		Priority:  p.d.Discipline.Priority(r.Class),
		Long:      long(r.Class),
		Exclusive: grade == goose.SuspicionSuspect,
	}
}

// longLimit is the number of replicas that may run long prefills at one time.
func (p *Pool) longLimit() int { return p.d.LongBound.Limit(len(p.order)) }

// avoided returns the replicas to avoid; none if that would leave no replica.
func (p *Pool) avoided(r goose.PermitRequest, set *eligible) []goose.ReplicaID {
	if len(r.Avoid) == 0 {
		return nil
	}
	for _, c := range set.replicas {
		if c.reachable && !slices.Contains(r.Avoid, c.id) {
			return r.Avoid
		}
	}
	return nil
}

// grade returns the graver of what the instance of the request and this one know.
// Whoever tries a suspect in this pool has a permit: equal requests wait for its
// end. Without one it runs elsewhere, or its instance has died.
func (p *Pool) grade(r goose.PermitRequest) goose.Suspicion {
	g := r.Suspicion
	if p.d.Suspects != nil && g != goose.SuspicionCondemned {
		if own := p.d.Suspects.Grade(r.Fingerprint); own == goose.SuspicionCondemned || own == goose.SuspicionOnTrial ||
			g == "" || g == goose.SuspicionNone {
			g = own
		}
	}
	if _, here := p.pins[r.Fingerprint]; here && g == goose.SuspicionOnTrial {
		return goose.SuspicionSuspect
	}
	return g
}

// grant turns p.choice into a permit and answers the open polls.
func (p *Pool) grant(w *waiter, now time.Time) {
	g := &permit{
		request:   w.request,
		granted:   now,
		deadline:  w.deadline,
		polled:    now,
		exclusive: p.choice.exclusive,
		company:   companyNone,
		asked:     now,
		permit: goose.Permit{
			ID:         p.nextID(),
			Request:    w.request.Request,
			Pool:       p.d.Pool,
			Epoch:      p.d.Epoch,
			Priority:   p.d.Discipline.Priority(w.request.Class),
			Dispatcher: p.d.Self,
		},
	}
	if p.d.Holders != nil {
		g.incarnation, _, _ = p.d.Holders.Alive(w.request.Instance)
	}
	for _, c := range p.choice.parts {
		if c.replica.limits.Longs() > 0 {
			g.company = companyLong
		}
		g.queued = max(g.queued, c.replica.limits.Prefills(g.permit.Priority)+w.request.PromptTokens)
		g.overtakers += c.replica.placedBefore(g.permit.Priority)
		p.arrived(c.replica, c.prompt, g.permit.Priority, now)
		g.permit.Replicas = append(g.permit.Replicas, goose.ReplicaGrant{
			Replica: c.replica.id,
			Address: c.replica.spec.Address,
			Process: c.replica.process,
			Tokens:  c.prompt,
			Warm:    !c.replica.limits.Cold(),
		})
		p.count(g, c)
		p.d.Policy.Placed(w.request, c.replica.id)
	}
	p.hold(g)
	p.answer(w, goose.PermitAnswer{Status: goose.PermitGranted, Permit: g.permit})
}

// count adds one part of a permit to its replica.
func (p *Pool) count(g *permit, c part) {
	before := c.replica.limits.Longs()
	c.replica.limits.Add(g.permit.ID, c.demand)
	c.replica.permits[g.permit.ID] = g
	p.poolLongs += c.replica.limits.Longs() - before
}

// hold records a permit.
func (p *Pool) hold(g *permit) {
	p.permits[g.permit.ID] = g
	p.granted[g.permit.Request] = g
	if len(g.permit.Replicas) == 0 {
		return
	}
	n, ok := p.pins[g.request.Fingerprint]
	if !ok {
		n = &pin{replica: g.permit.Replicas[0].Replica}
		p.pins[g.request.Fingerprint] = n
	}
	n.permits++
}

// drop forgets a permit and frees its capacity.
func (p *Pool) drop(g *permit, success func(goose.ReplicaID) bool) {
	id := g.permit.ID
	delete(p.permits, id)
	if p.granted[g.permit.Request] == g {
		delete(p.granted, g.permit.Request)
	}
	p.released.add(id, p.d.Clock.Now())
	for _, s := range g.permit.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok {
			continue
		}
		before, cold := r.limits.Longs(), r.limits.Cold()
		r.limits.Remove(id, success(s.Replica))
		delete(r.permits, id)
		p.poolLongs += r.limits.Longs() - before
		p.warmed(r, cold)
		if !r.configured && len(r.permits) == 0 {
			p.remove(r)
		}
	}
	if n, ok := p.pins[g.request.Fingerprint]; ok && len(g.permit.Replicas) > 0 {
		if n.permits--; n.permits <= 0 {
			delete(p.pins, g.request.Fingerprint)
		}
	}
}
