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
	// dispatcher while a permit runs out.
	lifetimeMargin = time.Second
	// watchInterval is the time between two looks at the holders of permits.
	watchInterval = 500 * time.Millisecond
	// askInterval is the time between two questions about the same permits.
	askInterval = time.Second
	// confirmInterval is the time between two questions about a running permit.
	confirmInterval = time.Minute
	// abandonAfter is the silence after which a waiting request is removed.
	abandonAfter = goose.PollWait + time.Second
)

// tick expires waiting requests and looks after permits of silent holders.
func (p *Pool) tick(ctx context.Context, g *conc.WaitGroup, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	for _, i := range p.d.Discipline.Expire(now) {
		if w, ok := p.waiting[i.Request.Request]; ok {
			p.answer(w, refuse(p.expired(now, i.Request, "deadline passed in the queue")))
		}
	}
	for id, w := range p.waiting {
		if len(w.polls) == 0 && now.Sub(w.polled) >= abandonAfter {
			p.d.Discipline.Remove(id)
			p.answer(w, goose.PermitAnswer{})
		}
	}
	p.refuseSuspicious()
	p.refuseHopeless(now)
	p.pump(now)
	if p.d.Holders == nil || now.Sub(p.watched) < watchInterval {
		return
	}
	p.watched = now
	p.watchHolders(ctx, g, now)
}

// watchHolders finds permits whose holder is dead or does not know them, and
// frees them once their streams are gone. The stream of a holder that is only
// silent is left alone, and its permit freed once the stream has ended.
func (p *Pool) watchHolders(ctx context.Context, group *conc.WaitGroup, now time.Time) {
	ask := map[goose.InstanceID][]goose.PermitID{}
	signs := map[goose.InstanceID]lifeSign{}
	for id, g := range p.permits {
		s, ok := signs[g.request.Instance]
		if !ok {
			s = p.lifeSign(g.request.Instance)
			signs[g.request.Instance] = s
		}
		if !g.lost {
			g.lost = g.holderDead(s, now)
		}
		if g.lost {
			if !g.freeing {
				p.free(ctx, group, g, now)
			}
			continue
		}
		if g.silence(s, now) >= goose.HolderTimeout {
			p.lookUp(ctx, group, g, now)
		}
		if p.doubtful(g, s, now) {
			g.asked = now
			ask[g.request.Instance] = append(ask[g.request.Instance], id)
		}
	}
	for i, ids := range ask {
		group.Go(func() { p.ask(ctx, i, ids) })
	}
}

// lifeSign is when an instance last showed that it is alive.
type lifeSign struct {
	// known is set if the instance is a member: it is heard, or the platform's list
	// shows it.
	known bool
	// incarnation is 0 if the instance was never heard.
	incarnation int64
	heard       time.Time
}

// lifeSign counts polls and reports as well: digests from other data centres lag.
func (p *Pool) lifeSign(i goose.InstanceID) lifeSign {
	var s lifeSign
	if incarnation, heard, known := p.d.Holders.Alive(i); known {
		s = lifeSign{known: true, incarnation: incarnation, heard: heard}
	}
	if at := p.contacts[i]; at.After(s.heard) {
		s.heard = at
	}
	return s
}

// holderDead reports whether the holder is known to be dead, because it restarted
// or is silent and not in the platform's list any more, or is silent beyond the
// deadline of its request. Before, it may only be cut off from this dispatcher.
func (g *permit) holderDead(s lifeSign, now time.Time) bool {
	if g.incarnation == 0 {
		g.incarnation = s.incarnation
	}
	if s.incarnation != 0 && s.incarnation != g.incarnation {
		return true
	}
	return g.silence(s, now) >= goose.HolderTimeout && (!s.known || !now.Before(g.deadline))
}

// silence returns for how long the holder has not been heard.
func (g *permit) silence(s lifeSign, now time.Time) time.Duration {
	if g.granted.After(s.heard) {
		s.heard = g.granted
	}
	return now.Sub(s.heard)
}

// doubtful reports whether the answer with the permit may never have reached
// its holder: no start was reported although the permit can no longer be used.
// Running permits are confirmed rarely, in case a release was lost, but often
// before a silent holder counts as dead: its digests may be all that is missing.
func (p *Pool) doubtful(g *permit, s lifeSign, now time.Time) bool {
	if g.started && g.silence(s, now) < goose.HolderTimeout/2 {
		return now.Sub(g.asked) >= confirmInterval
	}
	return now.Sub(g.polled) >= goose.PermitLifetime+lifetimeMargin && now.Sub(g.asked) >= askInterval
}

func (p *Pool) ask(ctx context.Context, i goose.InstanceID, ids []goose.PermitID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.d.Holders.Held(ctx, i, p.d.Pool, ids)
	if err != nil {
		return
	}
	still := map[goose.PermitID]bool{}
	for _, id := range reply.Permits {
		still[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts[i] = p.d.Clock.Now()
	for _, id := range ids {
		if g, ok := p.permits[id]; ok && !still[id] {
			g.lost, g.denied = true, g.incarnation == reply.Incarnation
		}
	}
}

// free starts to cancel the streams of a lost permit. The work of a plain
// service cannot be cancelled: its capacity stays counted until the deadline
// of the request, unless a live holder said that it does not use the permit.
func (p *Pool) free(ctx context.Context, group *conc.WaitGroup, g *permit, now time.Time) {
	if p.service.Kind == goose.KindPlain {
		if g.denied || !now.Before(g.deadline) {
			p.freed(g, now)
		}
		return
	}
	protocol := p.d.Protocol(p.service.Protocol)
	if protocol == nil {
		return
	}
	g.freeing = true
	group.Go(func() {
		gone := cancelAll(ctx, protocol, g.permit)
		p.mu.Lock()
		defer p.mu.Unlock()
		g.freeing = false
		if gone && p.permits[g.permit.ID] == g {
			p.freed(g, p.d.Clock.Now())
		}
	})
}

// lookUp frees the permit of a silent holder if its stream is not in the replica's
// own list: the release was lost. A stream that has ended but was not read keeps
// its memory alone. A giant prompt moves from replica to replica and
// can be in none of their lists for a moment; it is freed at its deadline.
func (p *Pool) lookUp(ctx context.Context, group *conc.WaitGroup, g *permit, now time.Time) {
	protocol := p.d.Protocol(p.service.Protocol)
	if protocol == nil || p.service.Kind == goose.KindPlain || len(g.permit.Replicas) != 1 || g.freeing || now.Sub(g.lookedUp) < askInterval {
		return
	}
	g.freeing, g.lookedUp = true, now
	group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		state := lookUpStream(ctx, protocol, g.permit.Replicas[0].Address, goose.AttemptID(g.permit.ID))
		p.mu.Lock()
		defer p.mu.Unlock()
		g.freeing = false
		if p.permits[g.permit.ID] != g {
			return
		}
		switch now := p.d.Clock.Now(); state {
		case streamGone:
			p.freed(g, now)
		case streamComplete:
			p.completed(g, now)
		}
	})
}

// completed leaves a permit only the memory of its output.
func (p *Pool) completed(g *permit, now time.Time) {
	all := p.replicasOf(g)
	for _, r := range all {
		before := r.limits.Longs()
		r.limits.Complete(g.permit.ID, g.request.Cost())
		p.poolLongs += r.limits.Longs() - before
	}
	p.pumpReplicas(now, all...)
}

func (p *Pool) freed(g *permit, now time.Time) {
	gooseevent.PermitFreed.Log(p.d.Log, "pool", p.d.Pool.String(), "permit", g.permit.ID, "instance", g.request.Instance)
	p.drop(g, noSuccess)
	if !g.denied {
		p.abandon(g)
	}
	p.judgeSuspect(g, goose.OutcomeCancelled)
	p.pumpReplicas(now, p.replicasOf(g)...)
}

func noSuccess(goose.ReplicaID) bool { return false }

// cancelAll cancels a permit's streams; false if one may still run.
func cancelAll(ctx context.Context, protocol goose.Protocol, g goose.Permit) bool {
	gone := true
	for _, s := range g.Replicas {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := protocol.Cancel(ctx, s.Address, goose.AttemptID(g.ID))
		if err != nil && !errors.Is(err, goose.ErrStreamGone) {
			gone = gone && lookUpStream(ctx, protocol, s.Address, goose.AttemptID(g.ID)) == streamGone
		}
		cancel()
	}
	return gone
}

// streamState is what a replica's own list tells about a stream.
type streamState string

const (
	streamUnknown  streamState = "unknown"
	streamGone     streamState = "gone"
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
	return streamGone
}

// forget drops replicas that left the configuration and run nothing.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if !r.configured && len(r.permits) == 0 {
			p.remove(r)
		}
	}
}
