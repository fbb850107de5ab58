package goose

import (
	"context"
	"time"
)

// Times of the permit protocol.
const (
	// PollWait is the longest wait of one permit poll.
	PollWait = 2 * time.Second
	// PermitLifetime counts from when the instance sent the poll that was granted.
	PermitLifetime = 3 * time.Second
	// HolderTimeout is the silence after which a permit's holder may be dead.
	HolderTimeout = 6 * time.Second
)

// Suspicion grades a request by the crashes it was part of.
type Suspicion string

// Grades of suspicion.
const (
	SuspicionNone    Suspicion = "none"
	SuspicionSuspect Suspicion = "suspect"
	// SuspicionOnTrial is a suspect that runs alone somewhere.
	SuspicionOnTrial   Suspicion = "on-trial"
	SuspicionCondemned Suspicion = "condemned"
)

// PermitRequest asks the dispatcher of a pool for permission to run a request.
// An instance polls with the same request id until it is granted or refused.
type PermitRequest struct {
	Request      RequestID     `cbor:"1,keyasint"`
	Pool         Pool          `cbor:"2,keyasint"`
	Instance     InstanceID    `cbor:"3,keyasint"`
	PromptTokens int           `cbor:"4,keyasint"`
	OutputTokens int           `cbor:"5,keyasint,omitempty"`
	Class        Class         `cbor:"6,keyasint"`
	Prefix       []uint64      `cbor:"7,keyasint,omitempty"`
	Workspace    WorkspaceName `cbor:"8,keyasint"`
	// TimeLeft is the time to the deadline when the poll is sent.
	TimeLeft    time.Duration `cbor:"9,keyasint"`
	Fingerprint Fingerprint   `cbor:"10,keyasint"`
	Suspicion   Suspicion     `cbor:"11,keyasint"`
	// Avoid lists replicas that failed an earlier attempt of this request.
	Avoid []ReplicaID `cbor:"12,keyasint,omitempty"`
}

// Cost is the memory that the request can use, in tokens.
func (r PermitRequest) Cost() int { return r.PromptTokens + r.OutputTokens }

// ReplicaGrant names one replica of a permit.
type ReplicaGrant struct {
	Replica ReplicaID `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"`
	// Process is the process id that the dispatcher last saw; empty if unknown.
	Process string `cbor:"3,keyasint,omitempty"`
	// Tokens is the share of the prompt that runs here; the whole prompt
	// unless the permit has several replicas.
	Tokens int `cbor:"4,keyasint"`
	// Warm is set if the replica was at its full limits when the permit was
	// granted; only then is a success evidence for the next dispatcher.
	Warm bool `cbor:"5,keyasint,omitempty"`
}

// Permit allows one attempt on its replicas. The attempt's id is the permit's
// id. It is valid until Expires, by the holder's monotonic clock.
type Permit struct {
	ID       PermitID       `cbor:"1,keyasint"`
	Request  RequestID      `cbor:"2,keyasint"`
	Pool     Pool           `cbor:"3,keyasint"`
	Epoch    Epoch          `cbor:"4,keyasint"`
	Replicas []ReplicaGrant `cbor:"5,keyasint"`
	// Priority is passed to the engine; a smaller number runs earlier.
	Priority int `cbor:"6,keyasint"`
	// Dispatcher is the instance that granted the permit.
	Dispatcher InstanceID `cbor:"7,keyasint"`
	// Expires is set by the holder: time of sending the poll + PermitLifetime.
	Expires time.Time `cbor:"-"`
}

// Valid reports whether the permit may still be used to send a first byte.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Expires) }

// PermitStatus is the outcome of one poll.
type PermitStatus string

// Outcomes of a poll.
const (
	PermitGranted PermitStatus = "granted"
	PermitWaiting PermitStatus = "waiting"
	PermitRefused PermitStatus = "refused"
	// PermitElsewhere means that this instance does not dispatch the pool.
	PermitElsewhere PermitStatus = "elsewhere"
)

// PermitAnswer answers one poll.
type PermitAnswer struct {
	Status  PermitStatus `cbor:"1,keyasint"`
	Permit  Permit       `cbor:"2,keyasint,omitzero"`
	Refusal Refusal      `cbor:"3,keyasint,omitzero"`
}

// Outcome tells how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeNotSent   Outcome = "not-sent"
)

// ReportPhase tells whether an attempt runs or has ended.
type ReportPhase string

// Phases of a report.
const (
	PhaseStarted ReportPhase = "started"
	// PhasePrefilled means that the first token came: a long prefill is over.
	PhasePrefilled ReportPhase = "prefilled"
	PhaseReleased  ReportPhase = "released"
)

// PermitReport tells the dispatcher what became of a permit. Reports are
// repeated until acknowledged; applying one twice has no further effect.
type PermitReport struct {
	Permit   PermitID      `cbor:"1,keyasint"`
	Pool     Pool          `cbor:"2,keyasint"`
	Instance InstanceID    `cbor:"3,keyasint"`
	Phase    ReportPhase   `cbor:"4,keyasint"`
	Outcome  Outcome       `cbor:"5,keyasint,omitempty"`
	Output   int           `cbor:"6,keyasint,omitempty"`
	First    time.Duration `cbor:"7,keyasint,omitempty"`
	// Replica is where the outcome was seen; a crash concerns this replica alone.
	Replica ReplicaID `cbor:"8,keyasint,omitempty"`
	// Process is the process id that the replica reported during the attempt.
	Process string `cbor:"9,keyasint,omitempty"`
	// Cold is set if the replica reported itself cold during the attempt.
	Cold bool `cbor:"10,keyasint,omitempty"`
}

// HeldPermit is a permit as its holder knows it; a new dispatcher collects them.
type HeldPermit struct {
	Permit  Permit        `cbor:"1,keyasint"`
	Request PermitRequest `cbor:"2,keyasint"`
	Started bool          `cbor:"3,keyasint"`
}

// Warmth is evidence that a replica answered well: the process that answered,
// and how long ago.
type Warmth struct {
	Replica ReplicaID     `cbor:"1,keyasint"`
	Process string        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// Collected is one instance's answer to a new dispatcher.
type Collected struct {
	Instance InstanceID   `cbor:"1,keyasint"`
	Held     []HeldPermit `cbor:"2,keyasint"`
	Warm     []Warmth     `cbor:"3,keyasint"`
}

// Dispatcher grants permits for one pool.
type Dispatcher interface {
	// Acquire waits at most PollWait.
	Acquire(ctx context.Context, r PermitRequest) PermitAnswer
	// Abandon removes a waiting request; no effect once granted.
	Abandon(id RequestID)
	Report(r PermitReport)
}

// DispatchMode tells under which authority a dispatcher grants.
type DispatchMode string

// Modes of a dispatcher.
const (
	ModeLeased    DispatchMode = "leased"
	ModeConsented DispatchMode = "consented"
	ModeDegraded  DispatchMode = "degraded"
	ModeStopped   DispatchMode = "stopped"
)
