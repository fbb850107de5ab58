package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// An abandoned call has ended for its caller, but the plain service may still run or
// start it: a call can neither be cancelled nor looked up, and a frozen service runs
// the accepted calls when it resumes. The capacity of the call stays counted until
// the service must have ended it.

// countAbandoned keeps counting a call to a plain service that was released without
// a response.
func (p *Pool) countAbandoned(g *activePermit) {
	if p.service.Kind != goose.KindPlain {
		return
	}
	for _, r := range p.replicasOf(g) {
		if r.abandonedCalls == nil {
			r.abandonedCalls = map[goose.PermitID]*activePermit{}
		}
		r.abandonedCalls[g.permit.ID] = g
		r.limiter.Add(g.permit.ID, gooselimit.Demand{Tokens: g.request.Cost()})
	}
}

// recordCallStarts applies a load poll that a plain service has responded to. If the
// poll was sent after a permit had expired, the service had started its call before
// it responded, and a call lasts no longer than the deadline of its service.
func (p *Pool) recordCallStarts(r *replica, pollSent, now time.Time) {
	if p.service.Kind != goose.KindPlain {
		return
	}
	for _, g := range r.permits {
		g.recordCallStart(pollSent, now)
	}
	for id, g := range r.abandonedCalls {
		g.recordCallStart(pollSent, now)
		if !g.callStartedAt.IsZero() && now.Sub(g.callStartedAt) >= p.service.Deadline {
			r.removeAbandoned(id)
		}
	}
}

func (p *activePermit) recordCallStart(pollSent, now time.Time) {
	if p.callStartedAt.IsZero() && !pollSent.Before(p.polledAt.Add(goose.PermitLifetime)) {
		p.callStartedAt = now
	}
}

// clearAbandoned stops counting all abandoned calls, because the process that
// accepted them has ended.
func (r *replica) clearAbandoned() {
	for id := range r.abandonedCalls {
		r.removeAbandoned(id)
	}
}

func (r *replica) removeAbandoned(id goose.PermitID) {
	delete(r.abandonedCalls, id)
	r.limiter.Remove(id, false)
}
