package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Handover is the state that a dispatcher leaves to its successor on a planned
// resign. It is complete: the dispatcher granted nothing after it.
type Handover struct {
	Pool     goose.Pool         `cbor:"1,keyasint"`
	Epoch    goose.Epoch        `cbor:"2,keyasint"`
	Replicas []ReplicaState     `cbor:"3,keyasint"`
	Held     []goose.HeldPermit `cbor:"4,keyasint"`
	// Received is set by the successor.
	Received time.Time `cbor:"-"`
}

// ReplicaState is what a dispatcher knows about one replica.
type ReplicaState struct {
	Replica goose.ReplicaID `cbor:"1,keyasint"`
	Process string          `cbor:"2,keyasint"`
	// Ramp is the factor of the ramp; zero is warm.
	Ramp int `cbor:"3,keyasint"`
	// Inspected is set if the replica's streams were compared with the permits.
	Inspected bool `cbor:"4,keyasint"`
	// Load is the command that runs or may be on its way; its kind is empty if
	// there is none.
	Load goose.Command `cbor:"5,keyasint"`
}

// Resign stops granting for good and returns the state for the successor.
func (p *Pool) Resign() Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resigned = true
	p.stopWaiting()
	now := p.d.Clock.Now()
	h := Handover{Pool: p.d.Pool, Epoch: p.d.Epoch}
	for _, r := range p.order {
		if r.reachable {
			s := ReplicaState{
				Replica: r.id, Process: r.process, Ramp: r.limits.Ramp(), Inspected: r.inspected && len(r.orphans) == 0,
			}
			if r.load != nil && r.load.sent {
				s.Load = r.load.command
			}
			h.Replicas = append(h.Replicas, s)
		}
	}
	for _, g := range p.permits {
		q := g.request
		q.TimeLeft = g.deadline.Sub(now)
		if g.exclusive {
			q.Suspicion = goose.SuspicionSuspect
		}
		h.Held = append(h.Held, goose.HeldPermit{Permit: g.permit, Request: q, Started: g.started})
	}
	return h
}

// applyHandover takes over the former dispatcher's count and ramps. The first
// load poll still decides whether the same processes run.
func (p *Pool) applyHandover(now time.Time) {
	h := p.d.Handover
	if h == nil {
		return
	}
	for _, s := range h.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok || s.Process == "" && p.service.Kind != goose.KindPlain {
			continue
		}
		r.process, r.inspected = s.Process, s.Inspected
		r.limits.Restore(s.Ramp)
		if s.Load.Kind != "" {
			r.load = &load{command: s.Load, sent: true, quiet: now.Add(commandFlight)}
		}
	}
	for _, held := range h.Held {
		p.inherit(held, now)
	}
	p.takeover.complete = true
}
