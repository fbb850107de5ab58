package goose

import "context"

// PeerClient calls other instances over the peer link. An error only means that no
// reply arrived; the call may have taken effect.
type PeerClient interface {
	// Call sends request to the instance at address and decodes the reply into the value.
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// PeerHandler serves one kind of peer call. decode decodes the request into a value; the
// handler's result is encoded as the reply.
type PeerHandler func(ctx context.Context, from InstanceID, decode func(any) error) (any, error)

// PeerRouter registers the handlers of peer calls.
type PeerRouter interface {
	// Handle registers the handler of a kind of call; it panics if the kind already
	// has one.
	Handle(kind string, h PeerHandler)
}

// PermitClient is the holder's side of the permit protocol: it polls dispatchers,
// keeps track of held permits and resends reports until acknowledged.
type PermitClient interface {
	// Acquire polls the pool's dispatcher until the request is granted, refused,
	// or ctx ends. Exactly one of permit and refusal is set; a nil permit means
	// that the request did not run.
	Acquire(ctx context.Context, r PermitRequest) (*Permit, *Refusal)
	// ReportStarted records that the first byte was sent.
	ReportStarted(p Permit)
	// Release ends the permit. Every acquired permit must be released once.
	Release(r PermitReport)
	// HolderState returns the permits held for a pool and the warm replicas seen in it.
	HolderState(p Pool) HolderState
}

// SuspectTracker tracks which requests are suspected of crashing replicas.
type SuspectTracker interface {
	Grade(f Fingerprint) Suspicion
	// RecordCrash records that a process of a replica crashed with these requests in
	// flight. Recording the same process twice has no further effect.
	RecordCrash(id ReplicaID, process string, inFlight []Fingerprint)
	// Clear records that a suspect finished while it ran alone.
	Clear(f Fingerprint)
	// BeginTrial records that a suspect is about to run alone. It returns once the other
	// instances have confirmed or did not reply in time. It returns false for a request
	// that is not a suspect or is already on trial.
	BeginTrial(ctx context.Context, f Fingerprint) bool
	// EndTrial records that a suspect's run alone ended without finishing or crashing.
	EndTrial(f Fingerprint)
}

// ClaimStatus is the outcome of an attempt to claim an order.
type ClaimStatus string

// Outcomes of a claim.
const (
	// ClaimGranted means that the one who claimed the order may run it, once.
	ClaimGranted ClaimStatus = "granted"
	// ClaimDone means that the order ran; Order holds the answer if it was kept.
	ClaimDone ClaimStatus = "done"
	// ClaimRunning means that another attempt is running; WaitForOutcome waits for its outcome.
	ClaimRunning ClaimStatus = "running"
	// ClaimUnknown means that the outcome is unknown; the order never runs again.
	ClaimUnknown ClaimStatus = "unknown"
	// ClaimKeyReused means that the key was used with another body.
	ClaimKeyReused ClaimStatus = "key-reused"
	// ClaimUnavailable means that the store did not confirm the claim; the order
	// must not run.
	ClaimUnavailable ClaimStatus = "unavailable"
)

// Claim is the outcome of an attempt to claim an order, with the order's record.
type Claim struct {
	Status ClaimStatus
	Order  Order
}

// Ledger records orders so that each runs at most once.
type Ledger interface {
	// Claim must return ClaimGranted before the first byte of an order is sent.
	// The order may run until ctx's deadline; its record lasts longer.
	Claim(ctx context.Context, key OrderKey, bodyHash string, attempt AttemptID) Claim
	// MarkDone records the answer; it retries the write in the background until it
	// succeeds.
	MarkDone(o Order, answer PlainResponse)
	// MarkNotRun records that a claimed order did not run, so that it may be claimed
	// again.
	MarkNotRun(o Order)
	// MarkUnknown records that the outcome of an order is not known.
	MarkUnknown(o Order)
	// WaitForOutcome waits for the outcome of an order that another attempt runs.
	WaitForOutcome(ctx context.Context, o Order) Claim
	// List returns the orders in a state (empty: all), at most limit.
	List(ctx context.Context, state OrderState, limit int) ([]Order, error)
	// Settle sets an unknown order to done or not-run at an operator's request.
	Settle(ctx context.Context, key OrderKey, to OrderState, operator string) error
}

// OrderReader reads an order without claiming it; a Ledger may implement it.
type OrderReader interface {
	// Lookup returns false if no order has the key.
	Lookup(ctx context.Context, key OrderKey) (Order, bool, error)
}
