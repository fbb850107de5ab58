package goose

import (
	"context"
	"time"
)

// Timing of the permit protocol.
const (
	// PollWait is the longest time that a dispatcher holds one permit poll open.
	PollWait = 2 * time.Second
	// PermitLifetime counts from when the instance sent the poll that was granted.
	PermitLifetime = 3 * time.Second
	// HolderTimeout is the time without a message after which a permit's holder may
	// be considered dead.
	HolderTimeout = 6 * time.Second
)

// Suspicion is how strongly a request is suspected of crashing replicas, judged by
// the crashes during which it was in flight.
type Suspicion string

// Grades of suspicion.
const (
	SuspicionNone    Suspicion = "none"
	SuspicionSuspect Suspicion = "suspect"
	// SuspicionOnTrial is a suspect that runs alone on a replica, so that a crash can
	// be attributed to it.
	SuspicionOnTrial   Suspicion = "on-trial"
	SuspicionCondemned Suspicion = "condemned"
)

// PermitRequest asks the dispatcher of a pool for permission to run a request.
// An instance polls with the same request ID until it is granted or refused.
type PermitRequest struct {
	Request      RequestID     `cbor:"1,keyasint"`
	Pool         Pool          `cbor:"2,keyasint"`
	Instance     InstanceID    `cbor:"3,keyasint"`
	PromptTokens int           `cbor:"4,keyasint"`
	OutputTokens int           `cbor:"5,keyasint,omitempty"`
	Class        LengthClass   `cbor:"6,keyasint"`
	PrefixHashes []uint64      `cbor:"7,keyasint,omitempty"`
	Workspace    WorkspaceName `cbor:"8,keyasint"`
	// TimeLeft is the time to the deadline when the poll is sent.
	TimeLeft    time.Duration `cbor:"9,keyasint"`
	Fingerprint Fingerprint   `cbor:"10,keyasint"`
	Suspicion   Suspicion     `cbor:"11,keyasint"`
	// Avoid lists replicas that failed an earlier attempt of this request.
	Avoid []ReplicaID `cbor:"12,keyasint,omitempty"`
}

// Cost is the upper bound of the request's memory, in tokens.
func (r PermitRequest) Cost() int { return r.PromptTokens + r.OutputTokens }

// ReplicaGrant is one replica of a permit.
type ReplicaGrant struct {
	Replica ReplicaID `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"`
	// Process is the process ID that the dispatcher last saw; empty if unknown.
	Process string `cbor:"3,keyasint,omitempty"`
	// Tokens is the size of the part of the prompt that runs on this replica; the
	// whole prompt unless the permit has several replicas.
	Tokens int `cbor:"4,keyasint"`
	// Warm is set if the replica was warm, with its full limits, when the permit was
	// granted. Only then does a success show the next dispatcher that the replica is
	// warm.
	Warm bool `cbor:"5,keyasint,omitempty"`
}

// Permit allows one attempt on its replicas. The attempt has the same ID as the
// permit. The permit is valid until Expires, by the holder's monotonic clock.
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
	// Expires is set by the holder: the time of sending the poll + PermitLifetime.
	Expires time.Time `cbor:"-"`
}

// Valid reports whether the first byte of a request may still be sent under the
// permit.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Expires) }

// PermitStatus is the outcome of one poll.
type PermitStatus string

// Outcomes of a poll.
const (
	PermitGranted PermitStatus = "granted"
	PermitWaiting PermitStatus = "waiting"
	PermitRefused PermitStatus = "refused"
	// PermitNotDispatcher means that this instance does not dispatch the pool.
	PermitNotDispatcher PermitStatus = "elsewhere"
)

// PermitReply is the dispatcher's reply to one poll.
type PermitReply struct {
	Status  PermitStatus `cbor:"1,keyasint"`
	Permit  Permit       `cbor:"2,keyasint,omitzero"`
	Refusal Refusal      `cbor:"3,keyasint,omitzero"`
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome string

// Outcomes of attempts.
const (
	OutcomeFinished  AttemptOutcome = "finished"
	OutcomeFailed    AttemptOutcome = "failed"
	OutcomeCancelled AttemptOutcome = "cancelled"
	OutcomeCrashed   AttemptOutcome = "crashed"
	OutcomeNotSent   AttemptOutcome = "not-sent"
)

// ReportPhase is the phase of an attempt that a PermitReport is about.
type ReportPhase string

// Phases of a report.
const (
	PhaseStarted ReportPhase = "started"
	// PhasePrefilled means that the first token arrived, so that a long prefill has
	// ended.
	PhasePrefilled ReportPhase = "prefilled"
	PhaseReleased  ReportPhase = "released"
)

// PermitReport reports the progress of a permit's attempt to the dispatcher.
// Reports are resent until acknowledged; applying one twice has no further effect.
type PermitReport struct {
	Permit           PermitID       `cbor:"1,keyasint"`
	Pool             Pool           `cbor:"2,keyasint"`
	Instance         InstanceID     `cbor:"3,keyasint"`
	Phase            ReportPhase    `cbor:"4,keyasint"`
	Outcome          AttemptOutcome `cbor:"5,keyasint,omitempty"`
	OutputTokens     int            `cbor:"6,keyasint,omitempty"`
	TimeToFirstToken time.Duration  `cbor:"7,keyasint,omitempty"`
	// Replica is the replica on which the outcome was seen; a crash concerns only
	// this replica.
	Replica ReplicaID `cbor:"8,keyasint,omitempty"`
	// Process is the process ID that the replica reported during the attempt.
	Process string `cbor:"9,keyasint,omitempty"`
	// Cold is set if the replica reported itself cold during the attempt.
	Cold bool `cbor:"10,keyasint,omitempty"`
	// Leaving and Pause are the Wish of the replica's response.
	Leaving bool          `cbor:"11,keyasint,omitempty"`
	Pause   time.Duration `cbor:"12,keyasint,omitempty"`
}

// Wish returns the wish of the replica's response.
func (r PermitReport) Wish() Wish { return Wish{Leaving: r.Leaving, Pause: r.Pause} }

// HeldPermit is a permit as recorded by its holder. A new dispatcher collects the
// held permits from all instances.
type HeldPermit struct {
	Permit  Permit        `cbor:"1,keyasint"`
	Request PermitRequest `cbor:"2,keyasint"`
	Started bool          `cbor:"3,keyasint"`
}

// WarmEvidence is evidence that a replica is warm: the process that completed a request,
// and how long ago.
type WarmEvidence struct {
	Replica ReplicaID     `cbor:"1,keyasint"`
	Process string        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// HolderState is what one instance sends to a new dispatcher: the permits that it
// holds and the warm replicas that it has seen.
type HolderState struct {
	Instance InstanceID     `cbor:"1,keyasint"`
	Held     []HeldPermit   `cbor:"2,keyasint"`
	Warm     []WarmEvidence `cbor:"3,keyasint"`
}

// Dispatcher grants permits for one pool.
type Dispatcher interface {
	// Acquire waits at most PollWait.
	Acquire(ctx context.Context, r PermitRequest) PermitReply
	// Abandon removes a waiting request. It has no effect on a granted one.
	Abandon(id RequestID)
	Report(r PermitReport)
}

// DispatchMode is the authority under which a dispatcher grants permits.
type DispatchMode string

// Modes of a dispatcher.
const (
	ModeLeased    DispatchMode = "leased"
	ModeConsented DispatchMode = "consented"
	ModeDegraded  DispatchMode = "degraded"
	ModeStopped   DispatchMode = "stopped"
)
