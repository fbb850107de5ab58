package goosedispatch

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// leavingMemory is how long a process counts as leaving after its last response that said
	// so. A plain service that gets no requests does not show that it has restarted.
	leavingMemory = 10 * time.Minute
	// maxPause bounds the pause that a replica may ask for.
	maxPause = 10 * time.Minute
)

// wishes is what a replica has said about further requests.
type wishes struct {
	// leavingUntil is until when the present process counts as leaving.
	leavingUntil time.Time
	// pausedUntil holds for a later process of the replica, too.
	pausedUntil time.Time
}

func (w wishes) leaving(now time.Time) bool { return now.Before(w.leavingUntil) }
func (w wishes) paused(now time.Time) bool  { return now.Before(w.pausedUntil) }

// wantsWork reports whether the replica has not said that it leaves or wants a pause.
func (w wishes) wantsWork(now time.Time) bool { return !w.leaving(now) && !w.paused(now) }

// recordWish records what the head of a response of the replica's present process says. The
// longest pause counts, and the replica is cold at its end, so that requests return a little
// at a time.
func (p *Pool) recordWish(r *replica, w goose.Wish, now time.Time) {
	if w.Leaving {
		if !r.wishes.leaving(now) {
			gooseevent.ReplicaLeaving.Log(p.deps.Log, slog.String("pool", p.deps.Pool.String()), slog.String("replica", string(r.id)), slog.String("process", r.process))
		}
		r.wishes.leavingUntil = now.Add(leavingMemory)
	}
	if until := now.Add(min(w.Pause, maxPause)); w.Pause > 0 && until.After(r.wishes.pausedUntil) {
		r.wishes.pausedUntil = until
		gooseevent.ReplicaPaused.Log(p.deps.Log, slog.String("pool", p.deps.Pool.String()), slog.String("replica", string(r.id)), slog.Duration("pause", w.Pause))
		p.resetToCold(r, "pause")
	}
	if !r.wishes.wantsWork(now) {
		p.reservation.dropReplica(r)
		p.refuseUnwanted(now)
	}
}

// refuseUnwanted refuses the waiting requests of which no replica wants any.
func (p *Pool) refuseUnwanted(now time.Time) {
	for _, w := range p.waiting {
		if refusal, refused := p.unwantedRefusal(w.request, now); refused {
			p.refuseWaiting(w, refusal)
		}
	}
}

// unwantedRefusal refuses a request if every replica that is open to it leaves or wants a
// pause. The request may be repeated at the end of the first pause or somewhat later, so that
// callers do not return together.
func (p *Pool) unwantedRefusal(r goose.PermitRequest, now time.Time) (goose.Refusal, bool) {
	eligible := p.eligibleReplicas(r.Workspace).replicas
	if len(eligible) == 0 {
		return goose.Refusal{}, false
	}
	earliest := time.Duration(0)
	for _, c := range eligible {
		if c.wishes.wantsWork(now) {
			return goose.Refusal{}, false
		}
		if left := c.wishes.pausedUntil.Sub(now); !c.wishes.leaving(now) && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	if earliest == 0 {
		return goose.NotRunRefusal(goose.CodeLeaving, "all backend servers of pool "+p.deps.Pool.String()+" are leaving").
			WithReason("backend-servers-leaving").WithRetryAfter(goose.RetryAfterLeaving), true
	}
	return p.overloadedRefusal(earliest+rand.N(max(earliest/2, goose.RetryAfterDefault)), "backend servers want a pause"), true
}
