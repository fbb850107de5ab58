package goosedispatch

import (
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// activePermit is a granted permit that has not been released.
type activePermit struct {
	permit    goose.Permit
	request   goose.PermitRequest
	grantedAt time.Time
	deadline  time.Time
	// polledAt is when the last poll that may have got this permit as its reply
	// arrived; the holder cannot use the permit after polledAt + PermitLifetime.
	polledAt time.Time
	started  bool
	// exclusive is set for a suspect, which runs alone on its replica.
	exclusive bool
	// longPrefill records whether a long prefill was in progress on the replica at
	// the grant; empty for a permit of another dispatcher.
	longPrefill longPrefillState
	// backlogTokens are the prompt tokens that the engine computes until this
	// request's first token, according to the permits in flight at the grant; 0
	// for a permit of another dispatcher.
	backlogTokens int
	// higherPriorityTokensAtGrant are the prompt tokens of higher priorities that had
	// been granted on the replicas before this permit.
	higherPriorityTokensAtGrant int
	// prefilled is set once the first token has been reported.
	prefilled bool
	// incarnation is the incarnation of the holder; 0 if it is unknown.
	incarnation int64
	// queriedAt is when the holder was last queried for the permit; at first the
	// time of the grant.
	queriedAt time.Time
	// holderLost is set once the holder counts as dead or does not hold the permit.
	// The capacity stays counted until the streams are gone from the replicas.
	holderLost bool
	// holderDenied is set if the process that got the permit replied that it does
	// not hold it.
	holderDenied bool
	// crashedReplicas lists the replicas whose crash was recorded for this permit.
	crashedReplicas []goose.ReplicaID
	// reclaiming is set while a background call cancels or looks up the streams.
	reclaiming bool
	// lookedUpAt is when the stream of a silent holder was last looked up.
	lookedUpAt time.Time
	// callStartedAt is when a plain service is first known to have started the call.
	callStartedAt time.Time
}

// longPrefillState states whether a long prefill was in progress on the replica of
// a request when the request was granted.
type longPrefillState string

const (
	longPrefillPresent longPrefillState = "long"
	longPrefillAbsent  longPrefillState = "none"
)

// processAtGrant returns the process id of a replica at the time of the grant.
func (p *activePermit) processAtGrant(id goose.ReplicaID) string {
	for _, s := range p.permit.Replicas {
		if s.Replica == id {
			return s.Process
		}
	}
	return ""
}

// pin binds requests with equal fingerprints to one replica while one of them
// holds a permit.
type pin struct {
	replica goose.ReplicaID
	permits int
}

// placement is the result of the last successful search for replicas.
type placement struct {
	parts     []part
	exclusive bool
	// candidates and replicas are buffers that each search reuses.
	candidates []goose.Candidate
	replicas   []*replica
}

// part is the portion of a request that one replica runs.
type part struct {
	replica *replica
	prompt  int
	demand  gooselimit.Demand
}

// searchKey identifies a kind of request. A failed search for it is remembered
// until the next search begins.
type searchKey struct {
	set  *eligibleSet
	long bool
}

// grantWaiting grants waiting requests in service order until none fits.
func (p *Pool) grantWaiting(now time.Time) {
	a, ok := p.mayGrant(now)
	if !ok {
		return
	}
	p.reserveForOldest(a, now)
	p.grantInOrder(a, now, nil)
}

// grantWaitingOn grants waiting requests on replicas with released capacity.
// Nothing fitted on the other replicas before, so that they are not searched;
// the next tick searches all replicas.
func (p *Pool) grantWaitingOn(now time.Time, only ...*replica) {
	a, ok := p.mayGrant(now)
	if !ok || len(only) == 0 {
		return
	}
	p.grantInOrder(a, now, only)
}

// grantRequest grants one request that has just begun to poll, if it fits.
func (p *Pool) grantRequest(now time.Time, w *waiter) {
	a, ok := p.mayGrant(now)
	if !ok {
		return
	}
	p.beginSearch(nil)
	if !p.findPlacement(w.request, a, now) {
		return
	}
	id := w.request.Request
	if _, ok := p.deps.Discipline.Pop(func(i goose.QueueItem) bool { return i.Request.Request == id }); ok {
		p.issuePermit(w, now)
	}
}

// mayGrant returns the authority, and whether it allows grants and a request
// waits. Without authority it sends the waiting requests elsewhere.
func (p *Pool) mayGrant(now time.Time) (Authority, bool) {
	a := p.authority(now)
	if p.resigned || a.Mode == goose.ModeStopped {
		p.redirectWaiting()
		return a, false
	}
	p.applyShares(a)
	if len(p.waiting) == 0 {
		return a, false
	}
	p.usableReplicas = 0
	for _, r := range p.configuredReplicas {
		if p.usable(r, a, now) {
			p.usableReplicas++
		}
	}
	return a, true
}

// applyShares sets this dispatcher's shares of all replicas. It restores the
// whole limits when the authority no longer bounds the shares.
func (p *Pool) applyShares(a Authority) {
	if a.Share == nil && !p.sharesApplied {
		return
	}
	p.sharesApplied = a.Share != nil
	for _, r := range p.configuredReplicas {
		s := gooselimit.ShareWhole
		if a.Share != nil {
			s = a.Share(r.id)
		}
		r.limiter.SetShare(s)
	}
}

func (p *Pool) beginSearch(only []*replica) {
	clear(p.failedSearches)
	p.searchOnly, p.meanLoadSet = only, false
}

// grantInOrder grants waiting requests in service order until none fits. If only
// is not nil, requests are placed on its replicas alone, and the search ends once
// these are full.
func (p *Pool) grantInOrder(a Authority, now time.Time, only []*replica) {
	p.beginSearch(only)
	fits := func(i goose.QueueItem) bool { return p.findPlacement(i.Request, a, now) }
	for len(p.waiting) > 0 && (only == nil || anyHasFreeTokens(only)) {
		i, ok := p.deps.Discipline.Pop(fits)
		if !ok {
			return
		}
		w := p.waiting[i.Request.Request]
		if p.reservation.isFor(w.request.Request) {
			// The reserved replicas are open to other requests again.
			clear(p.failedSearches)
			p.searchOnly, only = nil, nil
		}
		p.issuePermit(w, now)
	}
}

func anyHasFreeTokens(all []*replica) bool {
	for _, r := range all {
		if r.limiter.FreeTokens() > 0 {
			return true
		}
	}
	return false
}

// updateMeanLoad passes the mean load of the usable replicas to the policy, once
// in each search.
func (p *Pool) updateMeanLoad(a Authority, now time.Time) {
	m, ok := p.deps.Policy.(meanLoadPolicy)
	if !ok || p.meanLoadSet {
		return
	}
	p.meanLoadSet = true
	sum, n := 0, 0
	for _, r := range p.configuredReplicas {
		if p.usable(r, a, now) {
			sum += r.limiter.Tokens()
			n++
		}
	}
	m.SetMeanTokens(float64(sum) / float64(max(1, n)))
}

// findPlacement searches replicas for a waiting request and stores them in
// p.placement. A request without an open poll is not placed, because the permit
// could not reach its holder.
func (p *Pool) findPlacement(r goose.PermitRequest, a Authority, now time.Time) bool {
	w := p.waiting[r.Request]
	if w == nil || len(w.polls) == 0 {
		return false
	}
	set := p.eligibleReplicas(r.Workspace)
	if p.knownNotToFit(r, set) {
		return false
	}
	grade := p.grade(r)
	if grade == goose.SuspicionCondemned || grade == goose.SuspicionOnTrial {
		return false
	}
	if r.Class == goose.ClassGiant && r.Cost() > set.maxMemory {
		if p.searchOnly != nil {
			// The next tick searches all replicas for a set that holds the request.
			return false
		}
		return p.findGiantPlacement(r, set, grade, a, now)
	}
	return p.findSinglePlacement(r, set, grade, a, now)
}

func (p *Pool) findSinglePlacement(r goose.PermitRequest, set *eligibleSet, grade goose.Suspicion, a Authority, now time.Time) bool {
	d := p.demand(r, grade)
	pinned, isPinned := p.pins[r.Fingerprint]
	plain := !isPinned && len(r.Avoid) == 0 && !d.Exclusive
	if d.Long && p.longPrefills >= p.longPrefillLimit() {
		return false
	}
	avoid := p.replicasToAvoid(r, set)
	candidates, replicas := p.placement.candidates[:0], p.placement.replicas[:0]
	search := set.replicas
	if p.searchOnly != nil {
		search = p.searchOnly
	}
	for _, c := range search {
		if p.searchOnly != nil && !set.members[c] {
			continue
		}
		if isPinned && c.id != pinned.replica || !p.reservation.allows(c, r.Request) {
			continue
		}
		if !c.limiter.Fits(d) || !p.usable(c, a, now) || slices.Contains(avoid, c.id) {
			continue
		}
		candidates = append(candidates, newCandidate(c))
		replicas = append(replicas, c)
	}
	candidates, replicas = p.candidatesInTime(r, candidates, replicas, now)
	p.placement.candidates, p.placement.replicas = candidates, replicas
	if len(candidates) == 0 {
		if plain && !p.reservation.isFor(r.Request) {
			p.failedSearches[searchKey{set: set, long: d.Long}] = d.Tokens
		}
		return false
	}
	p.updateMeanLoad(a, now)
	chosen := replicas[p.deps.Policy.Choose(r, candidates)]
	p.placement.parts = append(p.placement.parts[:0], part{replica: chosen, prompt: r.PromptTokens, demand: d})
	p.placement.exclusive = d.Exclusive
	return true
}

// knownNotToFit reports whether the search for an equal or smaller request of the
// same kind has failed. It does not apply to the request with a reservation.
func (p *Pool) knownNotToFit(r goose.PermitRequest, set *eligibleSet) bool {
	least, ok := p.failedSearches[searchKey{set: set, long: isLong(r.Class)}]
	if !ok || r.Cost() < least || p.reservation.isFor(r.Request) {
		return false
	}
	// A failed search also holds for requests that are restricted to fewer
	// replicas, but not for giants, which are split over several replicas.
	return r.Cost() <= set.maxMemory
}

func newCandidate(r *replica) goose.Candidate {
	return goose.Candidate{
		Replica:        r.id,
		Tokens:         r.limiter.Tokens(),
		Requests:       r.limiter.Requests(),
		ReportedTokens: r.reportedTokens,
		MemoryTokens:   r.spec.MemoryTokens,
	}
}

func (p *Pool) demand(r goose.PermitRequest, grade goose.Suspicion) gooselimit.Demand {
	return gooselimit.Demand{
		Tokens:    r.Cost(),
		Prefill:   r.PromptTokens,
		Priority:  p.deps.Discipline.Priority(r.Class),
		Long:      isLong(r.Class),
		Exclusive: grade == goose.SuspicionSuspect,
	}
}

// longPrefillLimit returns the number of replicas that may run long prefills at
// one time.
func (p *Pool) longPrefillLimit() int {
	return p.deps.LongPrefillBound.Limit(len(p.configuredReplicas))
}

// replicasToAvoid returns the replicas that the request asks to avoid; none if
// no other reachable replica would be left.
func (p *Pool) replicasToAvoid(r goose.PermitRequest, set *eligibleSet) []goose.ReplicaID {
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

// grade returns the more severe of two grades: that of the instance of the request
// and that of this instance. A trial in this pool holds a permit, and equal
// requests wait for its end. If no permit exists, the trial runs in another pool,
// or the instance that began it has died.
func (p *Pool) grade(r goose.PermitRequest) goose.Suspicion {
	g := r.Suspicion
	if p.deps.Suspects != nil && g != goose.SuspicionCondemned {
		if own := p.deps.Suspects.Grade(r.Fingerprint); own == goose.SuspicionCondemned || own == goose.SuspicionOnTrial ||
			g == "" || g == goose.SuspicionNone {
			g = own
		}
	}
	if _, here := p.pins[r.Fingerprint]; here && g == goose.SuspicionOnTrial {
		return goose.SuspicionSuspect
	}
	return g
}

// issuePermit turns p.placement into a permit and replies to the open polls.
func (p *Pool) issuePermit(w *waiter, now time.Time) {
	g := &activePermit{
		request:     w.request,
		grantedAt:   now,
		deadline:    w.deadline,
		polledAt:    now,
		exclusive:   p.placement.exclusive,
		longPrefill: longPrefillAbsent,
		queriedAt:   now,
		permit: goose.Permit{
			ID:         p.nextPermitID(),
			Request:    w.request.Request,
			Pool:       p.deps.Pool,
			Epoch:      p.deps.Epoch,
			Priority:   p.deps.Discipline.Priority(w.request.Class),
			Dispatcher: p.deps.Self,
		},
	}
	if p.deps.Holders != nil {
		g.incarnation, _, _ = p.deps.Holders.Liveness(w.request.Instance)
	}
	for _, c := range p.placement.parts {
		if c.replica.limiter.LongPrefills() > 0 {
			g.longPrefill = longPrefillPresent
		}
		g.backlogTokens = max(g.backlogTokens, c.replica.limiter.PrefillTokens(g.permit.Priority)+w.request.PromptTokens)
		g.higherPriorityTokensAtGrant += c.replica.higherPriorityTokens(g.permit.Priority)
		p.recordArrival(c.replica, c.prompt, g.permit.Priority, now)
		g.permit.Replicas = append(g.permit.Replicas, goose.ReplicaGrant{
			Replica: c.replica.id,
			Address: c.replica.spec.Address,
			Process: c.replica.process,
			Tokens:  c.prompt,
			Warm:    !c.replica.limiter.Cold(),
		})
		p.countPart(g, c)
		p.deps.Policy.RecordPlacement(w.request, c.replica.id)
	}
	p.recordPermit(g)
	p.replyToPolls(w, goose.PermitReply{Status: goose.PermitGranted, Permit: g.permit})
}

// countPart counts one part of a permit against the limits of its replica.
func (p *Pool) countPart(g *activePermit, c part) {
	before := c.replica.limiter.LongPrefills()
	c.replica.limiter.Add(g.permit.ID, c.demand)
	c.replica.permits[g.permit.ID] = g
	p.longPrefills += c.replica.limiter.LongPrefills() - before
}

// recordPermit adds a permit to the active ones and pins its fingerprint.
func (p *Pool) recordPermit(g *activePermit) {
	p.permits[g.permit.ID] = g
	p.permitsByRequest[g.permit.Request] = g
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

// dropPermit removes a permit and frees its capacity.
func (p *Pool) dropPermit(g *activePermit, success func(goose.ReplicaID) bool) {
	id := g.permit.ID
	delete(p.permits, id)
	if p.permitsByRequest[g.permit.Request] == g {
		delete(p.permitsByRequest, g.permit.Request)
	}
	p.released.add(id, p.deps.Clock.Now())
	for _, s := range g.permit.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok {
			continue
		}
		before, wasCold := r.limiter.LongPrefills(), r.limiter.Cold()
		r.limiter.Remove(id, success(s.Replica))
		delete(r.permits, id)
		p.longPrefills += r.limiter.LongPrefills() - before
		p.logWarm(r, wasCold)
		if !r.configured && len(r.permits) == 0 {
			p.removeReplica(r)
		}
	}
	if n, ok := p.pins[g.request.Fingerprint]; ok && len(g.permit.Replicas) > 0 {
		if n.permits--; n.permits <= 0 {
			delete(p.pins, g.request.Fingerprint)
		}
	}
}
