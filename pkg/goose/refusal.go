package goose

import (
	"encoding/json"
	"math"
	"time"
)

// RunState is whether a refused request ran.
type RunState string

// Run states of refused requests.
const (
	RunStateNotRun  RunState = "not-run"
	RunStateUnknown RunState = "unknown"
	RunStateRan     RunState = "ran"
)

// RefusalCode is the machine-readable kind of a refusal.
type RefusalCode string

// Codes of refusals.
const (
	CodeUnauthorised     RefusalCode = "unauthorised"
	CodeBadRequest       RefusalCode = "bad-request"
	CodePromptTooLong    RefusalCode = "prompt-too-long"
	CodeKeyRequired      RefusalCode = "key-required"
	CodeKeyReused        RefusalCode = "key-reused"
	CodeNoRoute          RefusalCode = "no-route"
	CodeOverloaded       RefusalCode = "overloaded"
	CodeDeadline         RefusalCode = "deadline"
	CodeRequestTimeout   RefusalCode = "request-timeout"
	CodeStoreUnavailable RefusalCode = "store-unavailable"
	CodeNotReady         RefusalCode = "not-ready"
	CodeLeaving          RefusalCode = "leaving"
	CodeOrderUnknown     RefusalCode = "order-unknown"
	CodeCrashesBackend   RefusalCode = "crashes-backend"
	// CodeQuarantined is for a request that crashed replicas. It is sent to no other replica
	// until the time that the refusal states.
	CodeQuarantined      RefusalCode = "quarantined"
	CodeBackendFailed    RefusalCode = "backend-failed"
	CodeConflict         RefusalCode = "conflict"
	CodeNotFound         RefusalCode = "not-found"
	CodeMethodNotAllowed RefusalCode = "method-not-allowed"
)

// Retry delays of refusals for which no delay can be estimated.
const (
	// RetryAfterDefault is used if the length of the wait is unknown: no request was
	// released yet, or the request's deadline expired and the queue is not known.
	RetryAfterDefault = time.Second
	// RetryAfterLeaving is about the time that a change of the configuration takes to
	// be in force everywhere, so that other backend servers can take over.
	RetryAfterLeaving = 5 * time.Second
)

var statusByCode = map[RefusalCode]int{
	CodeUnauthorised:     401,
	CodeBadRequest:       400,
	CodePromptTooLong:    413,
	CodeKeyRequired:      400,
	CodeKeyReused:        409,
	CodeNoRoute:          403,
	CodeOverloaded:       429,
	CodeDeadline:         504,
	CodeRequestTimeout:   408,
	CodeStoreUnavailable: 503,
	CodeNotReady:         503,
	CodeLeaving:          503,
	CodeOrderUnknown:     409,
	CodeCrashesBackend:   422,
	CodeQuarantined:      503,
	CodeBackendFailed:    502,
	CodeConflict:         409,
	CodeNotFound:         404,
	CodeMethodNotAllowed: 405,
}

// CodeForStatus returns the code for a request that the HTTP server itself refused
// with a status, before any handler ran.
func CodeForStatus(status int) RefusalCode {
	switch status {
	case statusByCode[CodeNotFound]:
		return CodeNotFound
	case statusByCode[CodeMethodNotAllowed]:
		return CodeMethodNotAllowed
	}
	return CodeBadRequest
}

// Status returns the HTTP status of the code; 500 for an unknown one.
func (c RefusalCode) Status() int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return 500
}

// Refusal is the final response to a request that gets no result.
type Refusal struct {
	Code    RefusalCode `cbor:"1,keyasint" json:"code"`
	Message string      `cbor:"2,keyasint" json:"message"`
	Run     RunState    `cbor:"3,keyasint" json:"run"`
	Reason  string      `cbor:"4,keyasint" json:"reason,omitempty"`
	// RetryAfter is the delay after which the caller may retry; zero means that none
	// is suggested.
	RetryAfter time.Duration `cbor:"5,keyasint" json:"-"`
}

// NotRunRefusal returns a refusal of a request that did not run.
func NotRunRefusal(c RefusalCode, message string) Refusal {
	return Refusal{Code: c, Message: message, Run: RunStateNotRun}
}

// CondemnedRefusal returns the refusal of a request that crashed two backend servers. Instances
// that know of the crashes and dispatchers return the same one.
func CondemnedRefusal() Refusal {
	return NotRunRefusal(CodeCrashesBackend, "this request crashed two backend servers").WithReason(string(SuspicionCondemned))
}

// WithRetryAfter returns the refusal with a retry delay.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal {
	r.RetryAfter = d
	return r
}

// WithReason returns the refusal with a machine-readable reason.
func (r Refusal) WithReason(reason string) Refusal {
	r.Reason = reason
	return r
}

// WithRun returns the refusal with another run state.
func (r Refusal) WithRun(run RunState) Refusal {
	r.Run = run
	return r
}

// String returns the code and message.
func (r Refusal) String() string { return string(r.Code) + ": " + r.Message }

// RefusalBody is the JSON form of a refusal.
type RefusalBody struct {
	Error RefusalError `json:"error"`
}

// RefusalError is the content of a RefusalBody.
type RefusalError struct {
	Code         RefusalCode `json:"code"`
	Message      string      `json:"message"`
	Run          RunState    `json:"run"`
	Reason       string      `json:"reason,omitempty"`
	RetryAfterMS int64       `json:"retry-after-ms,omitempty"`
}

// Body returns the refusal as JSON, as callers get it.
func (r Refusal) Body() []byte {
	b, err := json.Marshal(RefusalBody{RefusalError{
		Code: r.Code, Message: r.Message, Run: r.Run, Reason: r.Reason,
		RetryAfterMS: int64(math.Ceil(float64(r.RetryAfter) / float64(time.Millisecond))),
	}})
	if err != nil {
		panic("goose: refusal cannot be encoded: " + err.Error())
	}
	return b
}
