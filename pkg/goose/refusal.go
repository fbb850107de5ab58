package goose

import (
	"encoding/json"
	"math"
	"time"
)

// Run is whether a refused request ran.
type Run string

// Run states of refused requests.
const (
	RunNot     Run = "not-run"
	RunUnknown Run = "unknown"
	RunDone    Run = "ran"
)

// Code is the machine-readable kind of a refusal.
type Code string

// Codes of refusals.
const (
	CodeUnauthorised     Code = "unauthorised"
	CodeBadRequest       Code = "bad-request"
	CodePromptTooLong    Code = "prompt-too-long"
	CodeKeyRequired      Code = "key-required"
	CodeKeyReused        Code = "key-reused"
	CodeNoRoute          Code = "no-route"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeStoreUnavailable Code = "store-unavailable"
	CodeNotReady         Code = "not-ready"
	CodeLeaving          Code = "leaving"
	CodeOrderUnknown     Code = "order-unknown"
	CodeCrashesBackend   Code = "crashes-backend"
	// CodeQuarantined is for a request that crashed replicas. It is sent to no other replica
	// until the time that the refusal states.
	CodeQuarantined      Code = "quarantined"
	CodeBackendFailed    Code = "backend-failed"
	CodeConflict         Code = "conflict"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
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

var statusByCode = map[Code]int{
	CodeUnauthorised:     401,
	CodeBadRequest:       400,
	CodePromptTooLong:    413,
	CodeKeyRequired:      400,
	CodeKeyReused:        409,
	CodeNoRoute:          403,
	CodeOverloaded:       429,
	CodeDeadline:         504,
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

// CodeOfStatus returns the code for a request that the HTTP server itself refused
// with a status, before any handler ran.
func CodeOfStatus(status int) Code {
	switch status {
	case statusByCode[CodeNotFound]:
		return CodeNotFound
	case statusByCode[CodeMethodNotAllowed]:
		return CodeMethodNotAllowed
	}
	return CodeBadRequest
}

// Status returns the HTTP status of the code; 500 for an unknown one.
func (c Code) Status() int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return 500
}

// Refusal is the final response to a request that gets no result.
type Refusal struct {
	Code    Code   `cbor:"1,keyasint" json:"code"`
	Message string `cbor:"2,keyasint" json:"message"`
	Run     Run    `cbor:"3,keyasint" json:"run"`
	Reason  string `cbor:"4,keyasint" json:"reason,omitempty"`
	// RetryAfter is the delay after which the caller may retry; zero means that none
	// is suggested.
	RetryAfter time.Duration `cbor:"5,keyasint" json:"-"`
}

// NotRun returns a refusal of a request that did not run.
func NotRun(c Code, message string) Refusal {
	return Refusal{Code: c, Message: message, Run: RunNot}
}

// Condemned returns the refusal of a request that crashed two backend servers. Instances
// that know of the crashes and dispatchers return the same one.
func Condemned() Refusal {
	return NotRun(CodeCrashesBackend, "this request crashed two backend servers").WithReason(string(SuspicionCondemned))
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
func (r Refusal) WithRun(run Run) Refusal {
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
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Run          Run    `json:"run"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
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
