package goose

import "time"

// QueueItem is one waiting permit request.
type QueueItem struct {
	Request PermitRequest
	Weight  float64
	// Arrived and Deadline are times by the dispatcher's clock.
	Arrived  time.Time
	Deadline time.Time
}

// QueueDiscipline orders waiting requests. It is not safe for concurrent use.
type QueueDiscipline interface {
	Push(QueueItem)
	// Remove returns false if the request is not in the queue.
	Remove(RequestID) bool
	// Pop removes and returns the first item in service order for which fits returns
	// true.
	Pop(fits func(QueueItem) bool) (QueueItem, bool)
	// Expire removes and returns the items whose deadline is not after now.
	Expire(now time.Time) []QueueItem
	// CostAhead returns the cost, in tokens, of the items that are served before a new
	// item of the class and workspace.
	CostAhead(LengthClass, WorkspaceName) int
	Len() int
	// Priority returns the priority that engines get for requests of a class; they
	// run requests with smaller numbers earlier.
	Priority(LengthClass) int
}

// Candidate is one replica that can take a request now.
type Candidate struct {
	Replica ReplicaID
	// Tokens and Requests are what the dispatcher itself counts as in flight.
	Tokens   int
	Requests int
	// ReportedTokens is the load from the replica's own report, which lags behind.
	ReportedTokens int
	MemoryTokens   int
}

// RoutingPolicy chooses the replica for a request. It is not safe for concurrent use.
type RoutingPolicy interface {
	// Choose returns an index into candidates, which is never empty.
	Choose(r PermitRequest, candidates []Candidate) int
	// RecordPlacement records that the replica now caches the request's prefix.
	RecordPlacement(r PermitRequest, id ReplicaID)
	// ObserveCacheEvent applies a cache event of a replica.
	ObserveCacheEvent(id ReplicaID, e CacheEvent)
	// Forget drops everything that is known about a replica's cache.
	Forget(id ReplicaID)
}
