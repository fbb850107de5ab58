package goose

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Protocol.
var (
	// ErrNotSent means that no byte of the request reached the backend server.
	ErrNotSent = errors.New("request not sent")
	// ErrDisconnected means that the connection broke after bytes were sent.
	ErrDisconnected = errors.New("connection to backend server lost")
	// ErrStreamGone means that the backend server does not know the stream.
	ErrStreamGone = errors.New("stream not known to backend server")
)

// ProcessChangedError means that another process than expected answers at a
// backend server's address. It is an ErrNotSent.
type ProcessChangedError struct {
	// Process is the process that answers now.
	Process string
	Cold    bool
}

// Error returns the process that answers now.
func (e *ProcessChangedError) Error() string {
	return "backend server runs another process: " + e.Process
}

// Is reports whether target is ErrNotSent.
func (e *ProcessChangedError) Is(target error) bool { return target == ErrNotSent }

// StatusError is an HTTP error answer of a backend server.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	Body   string
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
	// Offset is the number of output tokens that the caller already has;
	// the answer starts behind them.
	Offset int
	// Process is the process that the permit counts on; empty if unknown. A
	// protocol that can tell sends nothing to another process and returns a
	// ProcessChangedError: a backend server that restarted is cold, and the
	// permit was granted by the limits of a warm one.
	Process string
	// Check runs last before the first byte is sent; an error stops the attempt
	// as ErrNotSent.
	Check func() error
}

// Frame is one piece of a streamed answer.
type Frame struct {
	Attempt AttemptID
	// Offset is the index of the frame's first token.
	Offset int
	Tokens int
	// Data is the payload as the backend server sent it.
	Data []byte
	// Text is the text of the frame's tokens.
	Text string
	// Finished is set if the model ended the answer with this frame; the end
	// marker still follows.
	Finished bool
	// Last marks the end of a whole answer.
	Last bool
}

// Stream is a running answer. Next returns io.EOF after the last frame of a
// whole answer, ErrDisconnected if it broke off.
type Stream interface {
	Next() (Frame, error)
	// Process is the process id of the backend server; empty if it has none.
	Process() string
	// Cold reports whether the backend server called itself cold.
	Cold() bool
	Close() error
}

// LoadReport is what a backend server says about itself, with a lag.
type LoadReport struct {
	Process  string
	Cold     bool
	Running  int
	Waiting  int
	UsedKV   int
	Capacity int
	Model    string
}

// RunningStream is one stream in the backend server's own list.
type RunningStream struct {
	ID     AttemptID `json:"id"`
	Tokens int       `json:"tokens"`
	// Done marks a stream whose output is complete but not yet delivered.
	Done bool `json:"done"`
}

// PlainAnswer is the whole answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Process     string
	// Cold is set if the backend server called itself cold.
	Cold bool
}

// Protocol speaks to backend servers of one kind. Implementations never send a
// request twice on their own.
type Protocol interface {
	// Start sends the attempt and returns its stream once the backend server
	// accepted it. Errors are ErrNotSent, ErrDisconnected or a StatusError.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Resume continues a cut stream at an offset in output tokens.
	Resume(ctx context.Context, address string, id AttemptID, offset int) (Stream, error)
	Cancel(ctx context.Context, address string, id AttemptID) error
	Streams(ctx context.Context, address string) ([]RunningStream, error)
	Load(ctx context.Context, address string) (LoadReport, error)
	// Call runs a request with one whole answer (plain services).
	Call(ctx context.Context, a Attempt) (PlainAnswer, error)
}

// KVHandle names a KV cache that an engine exported.
type KVHandle struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Tokens  int    `json:"tokens"`
	// Attempt is the attempt whose prefill made the handle; empty if the engine
	// does not tell.
	Attempt AttemptID `json:"attempt,omitempty"`
}

// KVLister lists the KV caches that an engine holds for export; a Protocol may
// implement it. Handles whose attempt has no owner can be deleted.
type KVLister interface {
	Handles(ctx context.Context, address string) ([]KVHandle, error)
}

// KVMover moves KV caches between engines; a Protocol may implement it.
type KVMover interface {
	// Prefill runs a segment of a prompt behind the imported handles and
	// exports the result.
	Prefill(ctx context.Context, a Attempt, segment []byte, behind []KVHandle) (KVHandle, error)
	// StartWith is Start behind imported handles.
	StartWith(ctx context.Context, a Attempt, behind []KVHandle) (Stream, error)
	DeleteKV(ctx context.Context, h KVHandle) error
}

// CommandKind names an order to a backend server about itself.
type CommandKind string

// Kinds of commands.
const (
	CommandLoadModel   CommandKind = "load-model"
	CommandLoadAdapter CommandKind = "load-adapter"
	CommandSetRole     CommandKind = "set-role"
)

// Command tells a backend server to change itself.
type Command struct {
	Kind CommandKind `json:"kind" cbor:"1,keyasint"`
	// Name is the model, the adapter or the role.
	Name string `json:"name" cbor:"2,keyasint"`
	// Model is the base model of an adapter; empty otherwise.
	Model string `json:"model,omitempty" cbor:"3,keyasint,omitempty"`
	// Version is that of the model or adapter; empty is the backend server's choice.
	Version string `json:"version,omitempty" cbor:"4,keyasint,omitempty"`
	Epoch   Epoch  `json:"epoch" cbor:"5,keyasint"`
	// Check runs last before the first byte is sent; an error stops the command
	// as ErrNotSent.
	Check func() error `json:"-" cbor:"-"`
}

// String names what the command asks for, such as "load-model mend-7 version 2".
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

// Loads reports whether the command reads from the weight store.
func (c Command) Loads() bool { return c.Kind == CommandLoadModel || c.Kind == CommandLoadAdapter }

// CommandStatus is what a backend server says about its last command, without lag.
type CommandStatus struct {
	// Running is set from the command's arrival until its end.
	Running bool
	// Command is the last command; its kind is empty if there was none.
	Command Command
	// Age is the time since the command ended; zero while it runs.
	Age time.Duration
	// Error tells why the command failed; empty if it did not.
	Error string
}

// Commander sends commands; a Protocol may implement it.
type Commander interface {
	// Send returns once the backend server has begun the command. Errors are
	// ErrNotSent, ErrDisconnected or a StatusError, with status 412 for an old
	// epoch.
	Send(ctx context.Context, address string, c Command) error
	// LastCommand returns a StatusError if the backend server cannot tell.
	LastCommand(ctx context.Context, address string) (CommandStatus, error)
}

// CacheEvent tells that an engine stored or evicted a prefix block.
type CacheEvent struct {
	// Sequence rises by one; a jump is a gap.
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

// CommandRequest is an operator's order to command one backend server.
type CommandRequest struct {
	// ID names the order in the audit trail.
	ID      string    `cbor:"1,keyasint"`
	Author  string    `cbor:"2,keyasint"`
	Replica ReplicaID `cbor:"3,keyasint"`
	Command Command   `cbor:"4,keyasint"`
	// Force sends the command although requests run on the backend server.
	Force bool `cbor:"5,keyasint"`
}

// CommandOutcome tells what became of a CommandRequest.
type CommandOutcome string

// Outcomes of commands.
const (
	// CommandAccepted means that the backend server has begun the command.
	CommandAccepted CommandOutcome = "accepted"
	// CommandRefused means that the backend server did not and will not run it.
	CommandRefused CommandOutcome = "refused"
	// CommandUnknown means that the answer was lost.
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

// CommandLog records commands and shares the rate of the weight store between
// all dispatchers of the fleet.
type CommandLog interface {
	// Begin records the command and, for a load, takes one place in the rate. An
	// error means that the command must not be sent.
	Begin(ctx context.Context, q CommandRequest) (CommandTicket, error)
}

// CommandTicket allows one command to be sent.
type CommandTicket interface {
	// Until is when the place in the rate is lost, by the local monotonic clock.
	Until() time.Time
	// End records the outcome. Without it the record says unknown.
	End(ctx context.Context, r CommandResult) error
}
