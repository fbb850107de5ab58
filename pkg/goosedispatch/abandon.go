package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// An abandoned call has ended for its caller, but the plain service may still
// run or begin it: the call can neither be cancelled nor looked up, and a frozen
// service runs what it accepted when it goes on. Its capacity stays counted until
// the service must have ended it.

// abandon keeps counting a call that was released without an answer.
func (p *Pool) abandon(g *permit) {
	if p.service.Kind != goose.KindPlain {
		return
	}
	for _, r := range p.replicasOf(g) {
		if r.abandoned == nil {
			r.abandoned = map[goose.PermitID]*permit{}
		}
		r.abandoned[g.permit.ID] = g
		r.limits.Add(g.permit.ID, gooselimit.Demand{Tokens: g.request.Cost()})
	}
}

// callsSeen notes a load poll that a plain service answered. A poll that was sent
// when a permit could no longer be used is answered after the service began the
// call, and a call lasts no longer than the deadline of its service.
func (p *Pool) callsSeen(r *replica, pollSent, now time.Time) {
	if p.service.Kind != goose.KindPlain {
		return
	}
	for _, g := range r.permits {
		g.noteBegun(pollSent, now)
	}
	for id, g := range r.abandoned {
		g.noteBegun(pollSent, now)
		if !g.begun.IsZero() && now.Sub(g.begun) >= p.service.Deadline {
			r.endAbandoned(id)
		}
	}
}

func (g *permit) noteBegun(pollSent, now time.Time) {
	if g.begun.IsZero() && !pollSent.Before(g.polled.Add(goose.PermitLifetime)) {
		g.begun = now
	}
}

// clearAbandoned frees all calls: the process that accepted them is gone.
func (r *replica) clearAbandoned() {
	for id := range r.abandoned {
		r.endAbandoned(id)
	}
}

func (r *replica) endAbandoned(id goose.PermitID) {
	delete(r.abandoned, id)
	r.limits.Remove(id, false)
}
