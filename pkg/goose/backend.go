package goose

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Protocol returns.
var (
	// ErrNotSent means that no byte of the request reached the backend server.
	ErrNotSent = errors.New("request not sent")
	// ErrDisconnected means that the connection broke after bytes were sent.
	ErrDisconnected = errors.New("connection to backend server lost")
	// ErrStreamNotFound means that the backend server does not know the stream.
	ErrStreamNotFound = errors.New("stream not known to backend server")
)

// ProcessChangedError means that the process at a backend server's address is
// not the expected one. It matches ErrNotSent, since nothing was sent.
type ProcessChangedError struct {
	// Process is the ID of the process that runs there now.
	Process string
	Cold    bool
}

// Error names the process that runs there now.
func (e *ProcessChangedError) Error() string {
	return "backend server runs another process: " + e.Process
}

// Is reports whether target is ErrNotSent.
func (e *ProcessChangedError) Is(target error) bool { return target == ErrNotSent }

// StatusError is an HTTP error response of a backend server.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	Body   string
	Wish   Wish
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return errors.Errorf("backend server answered %d: %.200s", e.Status, e.Body).Error()
}

// Attempt is one try to run a request on one backend server.
type Attempt struct {
	ID       AttemptID
	Address  string
	Epoch    Epoch
	Priority int
	// Path, Method and ContentType are those of the caller's request.
	Path        string
	Method      string
	ContentType string
	Body        []byte
	// Offset is the number of output tokens that the caller already has; the
	// response starts after them.
	Offset int
	// Process is the ID of the process that the permit was granted for; empty if
	// unknown. A protocol that can identify the process sends nothing to another
	// one and returns a ProcessChangedError: a backend server that restarted is
	// cold, and the permit may have been granted by the limits of a warm one.
	Process string
	// BeforeSend runs immediately before the first byte is sent. If it returns an
	// error, nothing is sent and the attempt fails with ErrNotSent.
	BeforeSend func() error
}

// Frame is one chunk of a streamed response.
type Frame struct {
	Attempt AttemptID
	// Offset is the index of the frame's first token.
	Offset int
	Tokens int
	// Data is the payload as the backend server sent it.
	Data []byte
	// Text is the text of the frame's tokens.
	Text string
	// Finished is set if the model ended its output with this frame. The end
	// marker of the stream follows it.
	Finished bool
	// Last is set on the end marker of a complete response.
	Last bool
}

// Stream is a response in progress. Next returns io.EOF after the last frame of
// a complete response, and ErrDisconnected if the connection was lost earlier.
type Stream interface {
	Next() (Frame, error)
	// Process is the process ID of the backend server; empty if it has none.
	Process() string
	// Cold reports whether the backend server reported itself as cold.
	Cold() bool
	Close() error
}

// LoadReport is the load that a backend server reports. It lags behind the
// actual load.
type LoadReport struct {
	Process  string
	Cold     bool
	Running  int
	Waiting  int
	UsedKV   int
	Capacity int
	Model    string
	Wish     Wish
}

// RunningStream is one entry of the backend server's own list of streams.
type RunningStream struct {
	ID     AttemptID `json:"id"`
	Tokens int       `json:"tokens"`
	// Done marks a stream whose output is complete but not yet delivered.
	Done bool `json:"done"`
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	Process     string
	// Cold is set if the backend server reported itself as cold.
	Cold bool
	Wish Wish
}

// Protocol is a client of one kind of backend server. Implementations never
// retry a request on their own.
type Protocol interface {
	// Start sends the attempt and returns its stream once the backend server
	// accepted it. Errors are ErrNotSent, ErrDisconnected or a StatusError.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Resume continues an interrupted stream at an offset in output tokens.
	Resume(ctx context.Context, address string, id AttemptID, offset int) (Stream, error)
	Cancel(ctx context.Context, address string, id AttemptID) error
	Streams(ctx context.Context, address string) ([]RunningStream, error)
	Load(ctx context.Context, address string) (LoadReport, error)
	// Call runs a request whose response is not streamed (plain services).
	Call(ctx context.Context, a Attempt) (PlainResponse, error)
}

// KVHandle identifies a KV cache that an engine exported.
type KVHandle struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Tokens  int    `json:"tokens"`
	// Attempt is the attempt whose prefill created the handle; empty if the engine
	// does not report it.
	Attempt AttemptID `json:"attempt,omitempty"`
}

// KVLister lists the KV caches that an engine holds for export; a Protocol may
// implement it. Handles whose attempt has no owner can be deleted.
type KVLister interface {
	Handles(ctx context.Context, address string) ([]KVHandle, error)
}

// KVMover transfers KV caches between engines; a Protocol may implement it.
type KVMover interface {
	// Prefill imports the KV caches of the preceding segments, runs the prefill of
	// one more segment of the prompt, and exports the result.
	Prefill(ctx context.Context, a Attempt, segment []byte, preceding []KVHandle) (KVHandle, error)
	// StartWithKV is like Start, but first imports the KV caches of the preceding
	// segments.
	StartWithKV(ctx context.Context, a Attempt, preceding []KVHandle) (Stream, error)
	DeleteKV(ctx context.Context, h KVHandle) error
}

// CommandKind is the kind of a Command.
type CommandKind string

// Kinds of commands.
const (
	CommandLoadModel   CommandKind = "load-model"
	CommandLoadAdapter CommandKind = "load-adapter"
	CommandSetRole     CommandKind = "set-role"
)

// Command makes a backend server load a model or an adapter, or change its role.
type Command struct {
	Kind CommandKind `json:"kind" cbor:"1,keyasint"`
	// Name is the model, the adapter or the role.
	Name string `json:"name" cbor:"2,keyasint"`
	// Model is the base model of an adapter; empty otherwise.
	Model string `json:"model,omitempty" cbor:"3,keyasint,omitempty"`
	// Version is the version of the model or adapter; if it is empty, the backend
	// server chooses one.
	Version string `json:"version,omitempty" cbor:"4,keyasint,omitempty"`
	Epoch   Epoch  `json:"epoch" cbor:"5,keyasint"`
	// BeforeSend runs immediately before the first byte is sent. If it returns an
	// error, nothing is sent and the command fails with ErrNotSent.
	BeforeSend func() error `json:"-" cbor:"-"`
}

// String describes the command, such as "load-model mend-7 version 2".
func (c Command) String() string {
	s := string(c.Kind) + " " + c.Name
	if c.Model != "" {
		s += " on " + c.Model
	}
	if c.Version != "" {
		s += " version " + c.Version
	}
	return s
}

// IsLoad reports whether the command makes the backend server read from the weight
// store.
func (c Command) IsLoad() bool { return c.Kind == CommandLoadModel || c.Kind == CommandLoadAdapter }

// CommandStatus is the state of a backend server's last command. Unlike a
// LoadReport it does not lag.
type CommandStatus struct {
	// Running is set from the command's arrival until its end.
	Running bool
	// Command is the last command; its kind is empty if there was none.
	Command Command
	// Age is the time since the command ended; zero while it runs.
	Age time.Duration
	// Error is the reason why the command failed; empty if it did not.
	Error string
}

// Commander sends commands; a Protocol may implement it.
type Commander interface {
	// Send returns once the backend server has started the command. Errors are
	// ErrNotSent, ErrDisconnected or a StatusError, with status 412 for a stale
	// epoch.
	Send(ctx context.Context, address string, c Command) error
	// LastCommand returns the status of the last command, or a StatusError if the
	// backend server cannot report it.
	LastCommand(ctx context.Context, address string) (CommandStatus, error)
}

// CacheEvent reports that an engine stored or evicted a prefix block.
type CacheEvent struct {
	// Sequence increases by one with each event; a larger step means that events
	// were lost.
	Sequence int64     `json:"sequence"`
	Block    uint64    `json:"block"`
	Evicted  bool      `json:"evicted"`
	Time     time.Time `json:"time"`
}

// CacheEventSource streams the cache events of an engine; a Protocol may
// implement it.
type CacheEventSource interface {
	// CacheEvents calls apply for each event until ctx ends or the connection
	// breaks; it always returns an error.
	CacheEvents(ctx context.Context, address string, apply func(CacheEvent)) error
}

// CommandRequest is an operator's request to send a command to one backend server.
type CommandRequest struct {
	// ID identifies the request in the audit trail.
	ID      string    `cbor:"1,keyasint"`
	Author  string    `cbor:"2,keyasint"`
	Replica ReplicaID `cbor:"3,keyasint"`
	Command Command   `cbor:"4,keyasint"`
	// Force sends the command even if requests are running on the backend server.
	Force bool `cbor:"5,keyasint"`
}

// CommandOutcome is the outcome of a CommandRequest.
type CommandOutcome string

// Outcomes of commands.
const (
	// CommandAccepted means that the backend server has started the command.
	CommandAccepted CommandOutcome = "accepted"
	// CommandRefused means that the backend server did not and will not run it.
	CommandRefused CommandOutcome = "refused"
	// CommandUnknown means that the response was lost, so that the command may or
	// may not run.
	CommandUnknown CommandOutcome = "unknown"
)

// CommandResult is the outcome of a command. Reason is empty if it was accepted.
type CommandResult struct {
	Outcome CommandOutcome `cbor:"1,keyasint" json:"outcome"`
	Reason  string         `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
}

// String returns the outcome with its reason.
func (r CommandResult) String() string {
	if r.Reason == "" {
		return string(r.Outcome)
	}
	return string(r.Outcome) + ": " + r.Reason
}

// RefusedCommand returns the result of a command that was not run.
func RefusedCommand(reason string) CommandResult {
	return CommandResult{Outcome: CommandRefused, Reason: reason}
}

// CommandLog records commands and enforces the load rate of the weight store
// over all dispatchers of the fleet.
type CommandLog interface {
	// Begin records the command and, for a load, takes one slot of the load rate.
	// An error means that the command must not be sent.
	Begin(ctx context.Context, q CommandRequest) (CommandTicket, error)
}

// CommandTicket is the permission to send one command.
type CommandTicket interface {
	// Deadline is the time, by the local monotonic clock, after which the command must
	// not be sent, because its slot of the load rate may expire.
	Deadline() time.Time
	// RecordResult records the outcome. Until then the recorded outcome is CommandUnknown.
	RecordResult(ctx context.Context, r CommandResult) error
}
