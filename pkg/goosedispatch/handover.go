package goosedispatch

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Handover is the state that a dispatcher passes to its successor on a planned
// resign. It is complete, because the dispatcher grants nothing afterwards.
type Handover struct {
	Pool     goose.Pool         `cbor:"1,keyasint"`
	Epoch    goose.Epoch        `cbor:"2,keyasint"`
	Replicas []ReplicaState     `cbor:"3,keyasint"`
	Held     []goose.HeldPermit `cbor:"4,keyasint"`
	// ReceivedAt is when the state arrived; the successor sets it.
	ReceivedAt time.Time `cbor:"-"`
}

// ReplicaState is the state of one replica in a Handover.
type ReplicaState struct {
	Replica goose.ReplicaID `cbor:"1,keyasint"`
	Process string          `cbor:"2,keyasint"`
	// RampFactor is the factor of the cold limits; zero means that the replica is warm.
	RampFactor int `cbor:"3,keyasint"`
	// Inspected is set if the replica's streams were compared with the permits and
	// each had one.
	Inspected bool `cbor:"4,keyasint"`
	// Command is the command that runs or may be in transit; its kind is empty if
	// there is none.
	Command goose.Command `cbor:"5,keyasint"`
}

// Resign stops granting permanently and returns the state for the successor.
func (p *Pool) Resign() Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resigned = true
	p.redirectWaiting()
	now := p.deps.Clock.Now()
	h := Handover{Pool: p.deps.Pool, Epoch: p.deps.Epoch}
	for _, r := range p.configuredReplicas {
		if r.reachable {
			s := ReplicaState{
				Replica: r.id, Process: r.process, RampFactor: r.limiter.RampFactor(), Inspected: r.inspected && len(r.orphans) == 0,
			}
			if r.activeCommand != nil && r.activeCommand.sent {
				s.Command = r.activeCommand.command
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

// applyHandover applies the former dispatcher's permits and ramps. The first load
// poll still determines whether the same processes run.
func (p *Pool) applyHandover(now time.Time) {
	h := p.deps.Handover
	if h == nil {
		return
	}
	for _, s := range h.Replicas {
		r, ok := p.replicas[s.Replica]
		if !ok || s.Process == "" && p.service.Kind != goose.KindPlain {
			continue
		}
		r.process, r.inspected = s.Process, s.Inspected
		r.limiter.RestoreRamp(s.RampFactor)
		if s.Command.Kind != "" {
			r.activeCommand = &activeCommand{command: s.Command, sent: true, deliveredBy: now.Add(commandTransitTime)}
		}
	}
	for _, held := range h.Held {
		p.inheritPermit(held, now)
	}
	p.takeover.complete = true
}
