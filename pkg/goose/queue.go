package goose

import "time"

// QueueItem is one waiting permit request.
type QueueItem struct {
	Request PermitRequest
	Weight  float64
	// Arrived and Deadline are by the dispatcher's clock.
	Arrived  time.Time
	Deadline time.Time
}

// Discipline orders waiting requests. It is not safe for concurrent use.
type Discipline interface {
	Push(QueueItem)
	// Remove returns false if the request does not wait.
	Remove(RequestID) bool
	// Pop removes and returns the first item in service order that fits.
	Pop(fits func(QueueItem) bool) (QueueItem, bool)
	// Expire removes and returns the items whose deadline is not after now.
	Expire(now time.Time) []QueueItem
	// Ahead returns the cost in tokens that is served before a new item of the
	// class and workspace.
	Ahead(Class, WorkspaceName) int
	Len() int
	// Priority returns the priority that a class has at the engines; they run
	// requests of smaller numbers earlier.
	Priority(Class) int
}

// Candidate is one replica that can take a request now.
type Candidate struct {
	Replica ReplicaID
	// Tokens and Requests are in flight by the dispatcher's own count.
	Tokens   int
	Requests int
	// ReportedTokens is the load by the replica's own lagging report.
	ReportedTokens int
	MemoryTokens   int
}

// Policy chooses among candidates. It is not safe for concurrent use.
type Policy interface {
	// Choose returns an index into candidates, which is never empty.
	Choose(r PermitRequest, candidates []Candidate) int
	// Placed notes that the request's prefix is now on the replica.
	Placed(r PermitRequest, id ReplicaID)
	// Observe applies a cache event of a replica.
	Observe(id ReplicaID, e CacheEvent)
	// Forget drops all that is known about a replica's cache.
	Forget(id ReplicaID)
}
