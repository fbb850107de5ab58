// Package goose holds the domain types, interfaces and plug-in registry of
// gooseberryhold. Implementations live in the sibling packages and register
// themselves by name.
package goose

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID names one entry instance; unique in a fleet.
type InstanceID string

// DataCentre names one data centre.
type DataCentre string

// ServiceName names a service that operators defined.
type ServiceName string

// WorkspaceName names a workspace, the unit of fairness and of access.
type WorkspaceName string

// ReplicaID names one backend server.
type ReplicaID string

// RequestID identifies one request of a caller within the fleet.
type RequestID string

// PermitID identifies one permit.
type PermitID string

// AttemptID identifies one attempt to run a request on a backend server.
type AttemptID string

// Epoch is the fencing token of a dispatcher: the create revision of its
// lease key. A larger epoch is newer.
type Epoch int64

// Fingerprint identifies equal requests: a hash over workspace, service and body.
type Fingerprint uint64

// NewFingerprint hashes workspace, service and body.
func NewFingerprint(w WorkspaceName, s ServiceName, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(w))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(s))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// WithTarget returns a fingerprint that also covers method and path. Many routed
// requests have no body and differ only in these.
func (f Fingerprint) WithTarget(method, path string) Fingerprint {
	return Fingerprint(xxhash.Sum64String(f.String() + " " + method + " " + path))
}

// NewPartFingerprint identifies a part of the prompts for a model, whatever requests contain it.
func NewPartFingerprint(model string, part PromptPartID) Fingerprint {
	return Fingerprint(xxhash.Sum64String("part " + model + " " + string(part)))
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	var b [8]byte
	for i := range b {
		b[i] = byte(f >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}

// Pool is the unit of dispatching: the backend servers of one service in one
// data centre.
type Pool struct {
	DataCentre DataCentre  `cbor:"1,keyasint" json:"data-centre" yaml:"data-centre"`
	Service    ServiceName `cbor:"2,keyasint" json:"service" yaml:"service"`
}

// String returns "data centre/service".
func (p Pool) String() string { return string(p.DataCentre) + "/" + string(p.Service) }

// LengthClass groups requests by prompt length.
type LengthClass string

// Length classes.
const (
	ClassShort  LengthClass = "short"
	ClassMedium LengthClass = "medium"
	ClassLong   LengthClass = "long"
	ClassGiant  LengthClass = "giant"
)

// Upper bounds of the classes in prompt tokens.
const (
	ShortTokens  = 8_000
	MediumTokens = 64_000
)

// Classify returns the length class of a prompt. memoryTokens is the memory of
// the largest engine that may run it.
func Classify(promptTokens, memoryTokens int) LengthClass {
	switch {
	case promptTokens > memoryTokens:
		return ClassGiant
	case promptTokens <= ShortTokens:
		return ClassShort
	case promptTokens <= MediumTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Clock returns the current time; tests replace it where testing/synctest does
// not fit.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine; its times carry a monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits until d has passed or ctx ends. It returns false if ctx has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
