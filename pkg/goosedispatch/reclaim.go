package goosedispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// lifetimeMargin covers the difference between the clocks of holder and
	// dispatcher until a permit expires.
	lifetimeMargin = time.Second
	// holderCheckInterval is the time between two checks of the holders of permits.
	holderCheckInterval = 500 * time.Millisecond
	// permitCheckInterval is the minimum time between two checks of the same permit:
	// queries to its holder, or look-ups of its stream.
	permitCheckInterval = time.Second
	// runningCheckInterval is the time between two queries to the holder of a
	// running permit.
	runningCheckInterval = time.Minute
	// abandonTimeout is the time without a poll after which a waiting request is
	// removed.
	abandonTimeout = goose.PollWait + time.Second
)

// tick expires waiting requests, grants what fits, and checks the holders of
// permits.
func (p *Pool) tick(ctx context.Context, g *conc.WaitGroup, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyConfiguration(now)
	for _, i := range p.deps.Discipline.Expire(now) {
		if w, ok := p.waiting[i.Request.Request]; ok {
			p.replyToPolls(w, refusedReply(p.deadlineRefusal(now, i.Request, "deadline passed in the queue")))
		}
	}
	for id, w := range p.waiting {
		if len(w.polls) == 0 && now.Sub(w.polledAt) >= abandonTimeout {
			p.deps.Discipline.Remove(id)
			p.replyToPolls(w, goose.PermitReply{})
		}
	}
	p.refuseSuspicious()
	p.refuseLate(now)
	p.grantWaiting(now)
	if p.deps.Holders == nil || now.Sub(p.holdersCheckedAt) < holderCheckInterval {
		return
	}
	p.holdersCheckedAt = now
	p.checkHolders(ctx, g, now)
}

// checkHolders finds permits whose holder is dead or does not hold them, and
// reclaims them once their streams are gone. The stream of a holder that is only
// silent is not cancelled; its permit is reclaimed once the stream has ended.
func (p *Pool) checkHolders(ctx context.Context, group *conc.WaitGroup, now time.Time) {
	toConfirm := map[goose.InstanceID][]goose.PermitID{}
	livenessByInstance := map[goose.InstanceID]liveness{}
	for id, g := range p.permits {
		s, ok := livenessByInstance[g.request.Instance]
		if !ok {
			s = p.livenessOf(g.request.Instance)
			livenessByInstance[g.request.Instance] = s
		}
		if !g.holderLost {
			g.holderLost = g.holderDead(s, now)
		}
		if g.holderLost {
			if !g.reclaiming {
				p.reclaim(ctx, group, g, now)
			}
			continue
		}
		if g.silence(s, now) >= goose.HolderTimeout {
			p.reclaimIfEnded(ctx, group, g, now)
		}
		if p.needsConfirmation(g, s, now) {
			g.queriedAt = now
			toConfirm[g.request.Instance] = append(toConfirm[g.request.Instance], id)
		}
	}
	for i, ids := range toConfirm {
		group.Go(func() { p.queryHolder(ctx, i, ids) })
	}
}

// liveness records when an instance was last known to be alive.
type liveness struct {
	// known is set if the instance is a member: its heartbeats arrive, or it is in
	// the platform's list.
	known bool
	// incarnation is 0 if no heartbeat of the instance has arrived.
	incarnation int64
	lastSeen    time.Time
}

// livenessOf also counts polls and reports of the instance, because digests from
// other data centres lag behind.
func (p *Pool) livenessOf(i goose.InstanceID) liveness {
	var s liveness
	if incarnation, lastHeard, known := p.deps.Holders.Liveness(i); known {
		s = liveness{known: true, incarnation: incarnation, lastSeen: lastHeard}
	}
	if at := p.lastContact[i]; at.After(s.lastSeen) {
		s.lastSeen = at
	}
	return s
}

// holderDead reports whether the holder counts as dead: it has restarted, or it is
// silent and either no longer in the platform's list or past the deadline of its
// request. Until then the holder may only be unreachable for this dispatcher.
func (p *activePermit) holderDead(s liveness, now time.Time) bool {
	if p.incarnation == 0 {
		p.incarnation = s.incarnation
	}
	if s.incarnation != 0 && s.incarnation != p.incarnation {
		return true
	}
	return p.silence(s, now) >= goose.HolderTimeout && (!s.known || !now.Before(p.deadline))
}

// silence returns the time since the last message or report of the holder.
func (p *activePermit) silence(s liveness, now time.Time) time.Duration {
	if p.grantedAt.After(s.lastSeen) {
		s.lastSeen = p.grantedAt
	}
	return now.Sub(s.lastSeen)
}

// needsConfirmation reports whether to ask the holder for the permit. A permit whose
// start was not reported before it expired may never have reached its holder.
// Running permits are confirmed rarely, in case a release was lost, but often before
// a silent holder counts as dead, because only its digests may be missing.
func (p *Pool) needsConfirmation(g *activePermit, s liveness, now time.Time) bool {
	if g.started && g.silence(s, now) < goose.HolderTimeout/2 {
		return now.Sub(g.queriedAt) >= runningCheckInterval
	}
	return now.Sub(g.polledAt) >= goose.PermitLifetime+lifetimeMargin && now.Sub(g.queriedAt) >= permitCheckInterval
}

func (p *Pool) queryHolder(ctx context.Context, i goose.InstanceID, ids []goose.PermitID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.deps.Holders.HeldPermits(ctx, i, p.deps.Pool, ids)
	if err != nil {
		return
	}
	held := map[goose.PermitID]bool{}
	for _, id := range reply.Permits {
		held[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact[i] = p.deps.Clock.Now()
	for _, id := range ids {
		if g, ok := p.permits[id]; ok && !held[id] {
			g.holderLost, g.holderDenied = true, g.incarnation == reply.Incarnation
		}
	}
}

// reclaim starts to cancel the streams of a permit whose holder is lost. A call to
// a plain service cannot be cancelled: its capacity stays counted until the deadline
// of the request, unless a live holder replied that it does not hold the permit.
func (p *Pool) reclaim(ctx context.Context, group *conc.WaitGroup, g *activePermit, now time.Time) {
	if p.service.Kind == goose.KindPlain {
		if g.holderDenied || !now.Before(g.deadline) {
			p.finishReclaim(g, now)
		}
		return
	}
	protocol := p.deps.Protocol(p.service.Protocol)
	if protocol == nil {
		return
	}
	g.reclaiming = true
	group.Go(func() {
		ended := cancelStreams(ctx, protocol, g.permit)
		p.mu.Lock()
		defer p.mu.Unlock()
		g.reclaiming = false
		if ended && p.permits[g.permit.ID] == g {
			p.finishReclaim(g, p.deps.Clock.Now())
		}
	})
}

// reclaimIfEnded reclaims the permit of a silent holder if its stream is not in the
// replica's own list: the release was lost. A complete stream that was not read
// keeps only its memory. A giant prompt moves from replica to replica and can be
// missing from all of their lists for a moment, so that its permit is reclaimed at
// its deadline.
func (p *Pool) reclaimIfEnded(ctx context.Context, group *conc.WaitGroup, g *activePermit, now time.Time) {
	protocol := p.deps.Protocol(p.service.Protocol)
	if protocol == nil || p.service.Kind == goose.KindPlain || len(g.permit.Replicas) != 1 || g.reclaiming || now.Sub(g.lookedUpAt) < permitCheckInterval {
		return
	}
	g.reclaiming, g.lookedUpAt = true, now
	group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		state := lookUpStream(ctx, protocol, g.permit.Replicas[0].Address, goose.AttemptID(g.permit.ID))
		p.mu.Lock()
		defer p.mu.Unlock()
		g.reclaiming = false
		if p.permits[g.permit.ID] != g {
			return
		}
		switch now := p.deps.Clock.Now(); state {
		case streamNotFound:
			p.finishReclaim(g, now)
		case streamComplete:
			p.markComplete(g, now)
		}
	})
}

// markComplete reduces the capacity of a permit to the memory of its output.
func (p *Pool) markComplete(g *activePermit, now time.Time) {
	all := p.replicasOf(g)
	for _, r := range all {
		before := r.limiter.LongPrefills()
		r.limiter.CompleteOutput(g.permit.ID, g.request.Cost())
		p.longPrefills += r.limiter.LongPrefills() - before
	}
	p.grantWaitingOn(now, all...)
}

func (p *Pool) finishReclaim(g *activePermit, now time.Time) {
	gooseevent.LostHolderPermitFreed.Log(p.deps.Log, "pool", p.deps.Pool.String(), "permit", g.permit.ID, "instance", g.request.Instance)
	p.dropPermit(g, noSuccess)
	if !g.holderDenied {
		p.countAbandoned(g)
	}
	p.endTrial(g, goose.OutcomeCancelled)
	p.grantWaitingOn(now, p.replicasOf(g)...)
}

func noSuccess(goose.ReplicaID) bool { return false }

// cancelStreams cancels a permit's streams; false if one may still run.
func cancelStreams(ctx context.Context, protocol goose.Protocol, g goose.Permit) bool {
	ended := true
	for _, s := range g.Replicas {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := protocol.Cancel(ctx, s.Address, goose.AttemptID(g.ID))
		if err != nil && !errors.Is(err, goose.ErrStreamNotFound) {
			ended = ended && lookUpStream(ctx, protocol, s.Address, goose.AttemptID(g.ID)) == streamNotFound
		}
		cancel()
	}
	return ended
}

// streamState is the state of a stream in the replica's own list.
type streamState string

const (
	streamUnknown  streamState = "unknown"
	streamNotFound streamState = "gone"
	streamRunning  streamState = "running"
	streamComplete streamState = "complete"
)

func lookUpStream(ctx context.Context, protocol goose.Protocol, address string, id goose.AttemptID) streamState {
	streams, err := protocol.Streams(ctx, address)
	if err != nil {
		return streamUnknown
	}
	for _, s := range streams {
		switch {
		case s.ID != id:
		case s.Done:
			return streamComplete
		default:
			return streamRunning
		}
	}
	return streamNotFound
}

// removeUnconfigured removes replicas that have left the configuration and run
// nothing.
func (p *Pool) removeUnconfigured() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if !r.configured && len(r.permits) == 0 {
			p.removeReplica(r)
		}
	}
}
