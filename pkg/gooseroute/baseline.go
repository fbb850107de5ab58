// Package gooseroute holds the routing policies of a dispatcher: "affinity"
// (prefix affinity with bounded load) and the baselines "least-loaded" and
// "round-robin".
package gooseroute

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func init() {
	goose.RegisterPolicy("affinity", func() goose.RoutingPolicy { return NewAffinity(goose.SystemClock{}) })
	goose.RegisterPolicy("least-loaded", func() goose.RoutingPolicy { return LeastLoaded{} })
	goose.RegisterPolicy("round-robin", func() goose.RoutingPolicy { return &RoundRobin{} })
}

// LeastLoaded chooses the replica with the smallest load by the replicas' own
// reports, which lag behind.
type LeastLoaded struct{}

// Choose returns the candidate with the smallest reported share of its memory.
func (LeastLoaded) Choose(_ goose.PermitRequest, cs []goose.Candidate) int {
	best := 0
	for i := range cs {
		if memoryShare(cs[i].ReportedTokens, cs[i]) < memoryShare(cs[best].ReportedTokens, cs[best]) {
			best = i
		}
	}
	return best
}

func memoryShare(tokens int, c goose.Candidate) float64 {
	return float64(tokens) / float64(max(1, c.MemoryTokens))
}

// RecordPlacement has no effect.
func (LeastLoaded) RecordPlacement(goose.PermitRequest, goose.ReplicaID) {}

// ObserveCacheEvent has no effect.
func (LeastLoaded) ObserveCacheEvent(goose.ReplicaID, goose.CacheEvent) {}

// Forget has no effect.
func (LeastLoaded) Forget(goose.ReplicaID) {}

// RoundRobin chooses the replicas in turn, in order of their names.
type RoundRobin struct{ last goose.ReplicaID }

// Choose returns the candidate whose name follows the last chosen one.
func (r *RoundRobin) Choose(_ goose.PermitRequest, cs []goose.Candidate) int {
	next, first := -1, 0
	for i := range cs {
		if cs[i].Replica < cs[first].Replica {
			first = i
		}
		if cs[i].Replica > r.last && (next < 0 || cs[i].Replica < cs[next].Replica) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last = cs[next].Replica
	return next
}

// RecordPlacement has no effect.
func (*RoundRobin) RecordPlacement(goose.PermitRequest, goose.ReplicaID) {}

// ObserveCacheEvent has no effect.
func (*RoundRobin) ObserveCacheEvent(goose.ReplicaID, goose.CacheEvent) {}

// Forget has no effect.
func (*RoundRobin) Forget(goose.ReplicaID) {}
