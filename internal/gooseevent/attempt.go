package gooseevent

import "github.com/gooseberryhold/gooseberryhold/pkg/goose"

// Attempt is one attempt of a request at a replica, as it appears in log events. Durations
// are in the format of time.Duration. Fields that do not apply to an attempt are empty.
type Attempt struct {
	Replica goose.ReplicaID `json:"replica"`
	Outcome string          `json:"outcome"`
	Status  int             `json:"status,omitempty"`
	// Helpers are the replicas that ran the prefill of parts of the prompt.
	Helpers []goose.ReplicaID `json:"helpers,omitempty"`
	// RequestsBefore is the number of requests that the replica was known to have before the attempt.
	RequestsBefore int `json:"load"`
	// ExpectedTimeToFirst is the estimated time to the first event.
	ExpectedTimeToFirst string `json:"expected,omitempty"`
	// TimeToFirst is the actual time to the first event.
	TimeToFirst string `json:"first,omitempty"`
	// Duration is the duration of the attempt.
	Duration string `json:"after"`
	// FaultAt is the helper that caused the failure; empty if the replica itself caused it.
	FaultAt string `json:"fault-at,omitempty"`
	Error   string `json:"error,omitempty"`
	// Process is the state of the replica's process, probed right after the attempt was lost.
	Process string `json:"process,omitempty"`
	// Weight is the weight of the evidence, after the attempt, that the request crashes
	// replicas.
	Weight uint32 `json:"weight,omitempty"`
}
