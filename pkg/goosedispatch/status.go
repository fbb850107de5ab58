package goosedispatch

import (
	"sort"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Status is the status of a pool's dispatcher for operators.
type Status struct {
	Pool     goose.Pool         `cbor:"1,keyasint" json:"pool"`
	Epoch    goose.Epoch        `cbor:"2,keyasint" json:"epoch"`
	Mode     goose.DispatchMode `cbor:"3,keyasint" json:"mode"`
	Waiting  int                `cbor:"4,keyasint" json:"waiting"`
	Permits  int                `cbor:"5,keyasint" json:"permits"`
	Replicas []ReplicaStatus    `cbor:"6,keyasint" json:"replicas"`
}

// ReplicaStatus is the status of a replica for operators.
type ReplicaStatus struct {
	Replica   goose.ReplicaID `cbor:"1,keyasint" json:"replica"`
	Process   string          `cbor:"2,keyasint" json:"process"`
	Reachable bool            `cbor:"3,keyasint" json:"reachable"`
	Cold      bool            `cbor:"4,keyasint" json:"cold"`
	// Concurrency and TokenLimit are the current limits.
	Concurrency int `cbor:"5,keyasint" json:"concurrency"`
	TokenLimit  int `cbor:"6,keyasint" json:"token-limit"`
	// Requests and Tokens are those in flight.
	Requests int `cbor:"7,keyasint" json:"requests"`
	Tokens   int `cbor:"8,keyasint" json:"tokens"`
	// Load is the command in progress; empty if there is none.
	Load string `cbor:"10,keyasint" json:"load,omitempty"`
	// Orphans are streams without an owner.
	Orphans int `cbor:"9,keyasint" json:"orphans"`
	// Leaving and Paused are set if the replica has said in its responses that it leaves, or
	// wants no requests for a while.
	Leaving bool `cbor:"11,keyasint,omitempty" json:"leaving,omitempty"`
	Paused  bool `cbor:"12,keyasint,omitempty" json:"paused,omitempty"`
}

// Status returns a snapshot of the dispatcher.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	s := Status{
		Pool: p.deps.Pool, Epoch: p.deps.Epoch, Mode: p.authority(now).Mode,
		Waiting: len(p.waiting), Permits: len(p.permits),
	}
	for _, r := range p.configuredReplicas {
		load := ""
		if r.activeCommand != nil {
			load = r.activeCommand.command.String()
		}
		s.Replicas = append(s.Replicas, ReplicaStatus{
			Load:    load,
			Replica: r.id, Process: r.process, Reachable: r.reachable, Cold: r.limiter.Cold(),
			Concurrency: r.limiter.Concurrency(), TokenLimit: r.limiter.TokenLimit(),
			Requests: r.limiter.Requests(), Tokens: r.limiter.Tokens(), Orphans: len(r.orphans),
			Leaving: r.wishes.leaving(now), Paused: r.wishes.paused(now),
		})
	}
	return s
}

// Idle reports whether no request waits or runs.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0 && len(p.permits) == 0
}

// Status returns the pools that this instance dispatches, ordered by name.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	var pools []*Pool
	for _, s := range m.states {
		if s.dispatcher != nil {
			pools = append(pools, s.dispatcher.pool)
		}
	}
	m.mu.Unlock()
	out := make([]Status, 0, len(pools))
	for _, p := range pools {
		out = append(out, p.Status())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool.String() < out[j].Pool.String() })
	return out
}
