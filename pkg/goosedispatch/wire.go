package goosedispatch

import "github.com/gooseberryhold/gooseberryhold/pkg/goose"

// Kinds of peer calls.
const (
	// KindAcquire takes a goose.PermitRequest and returns a goose.PermitReply.
	KindAcquire = "permit-acquire"
	// KindAbandon takes an AbandonRequest.
	KindAbandon = "permit-abandon"
	// KindReport takes a ReportRequest and returns a ReportReply.
	KindReport = "permit-report"
	// KindCollect takes a CollectRequest and returns a goose.HolderState.
	KindCollect = "permit-collect"
	// KindHeld takes a HeldRequest and returns a HeldReply.
	KindHeld = "permit-held"
	// KindHandover takes a Handover and returns a HandoverReply.
	KindHandover = "pool-handover"
	// KindConsent takes a ConsentRequest and returns a ConsentReply.
	KindConsent = "pool-consent"
	// KindCommand takes a CommandCall and returns a goose.CommandResult.
	KindCommand = "pool-command"
	// KindStatus takes a StatusCall and returns a StatusReply.
	KindStatus = "pool-status"
	// KindVersion takes a VersionRequest and returns a VersionReply.
	KindVersion = "pool-version"
)

// AbandonRequest asks to remove a waiting request from the queue of a pool.
type AbandonRequest struct {
	Pool    goose.Pool      `cbor:"1,keyasint"`
	Request goose.RequestID `cbor:"2,keyasint"`
}

// ReportRequest carries reports on permits of one pool.
type ReportRequest struct {
	Pool    goose.Pool           `cbor:"1,keyasint"`
	Reports []goose.PermitReport `cbor:"2,keyasint"`
}

// ReportReply acknowledges reports. Accepted is false if the instance does not
// dispatch the pool; the reports must be sent to its successor.
type ReportReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// CollectRequest asks for the permits held for a pool. From then on the holder
// drops grants of epochs before Epoch.
type CollectRequest struct {
	Pool  goose.Pool  `cbor:"1,keyasint"`
	Epoch goose.Epoch `cbor:"2,keyasint"`
}

// HeldRequest asks which of some permits the instance still holds.
type HeldRequest struct {
	Pool    goose.Pool       `cbor:"1,keyasint"`
	Permits []goose.PermitID `cbor:"2,keyasint"`
}

// HeldReply lists the permits that are still held. Incarnation is the incarnation of
// the instance: a restarted instance has no record of what its former process left
// running.
type HeldReply struct {
	Permits     []goose.PermitID `cbor:"1,keyasint"`
	Incarnation int64            `cbor:"2,keyasint"`
}

// HandoverReply states whether the successor accepts the state.
type HandoverReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// ConsentRequest asks a peer to promise not to take a pool.
type ConsentRequest struct {
	Pool  goose.Pool  `cbor:"1,keyasint"`
	Epoch goose.Epoch `cbor:"2,keyasint"`
}

// ConsentReply states whether the peer promises. A promise is valid for
// PromiseValidity from when the request was sent.
type ConsentReply struct {
	Promised bool `cbor:"1,keyasint"`
}

// VersionRequest asks for the configuration version in force at the instance.
type VersionRequest struct{}

// VersionReply is the configuration version of an instance that has not paused since
// it last confirmed its configuration. Other instances return an error.
type VersionReply struct {
	Version int64 `cbor:"1,keyasint"`
}
