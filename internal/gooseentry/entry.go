// Package gooseentry is the caller API of an entry instance: it authenticates
// and admits requests, obtains permits, runs requests on backend servers and
// streams the answers.
package gooseentry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Limits bound what an instance holds and how long it waits.
type Limits struct {
	// MaxBodyBytes bounds one request body; default 8 MiB.
	MaxBodyBytes int64
	// BodyBytesInFlight bounds all request bodies together; default 256 MiB.
	BodyBytesInFlight int64
	// DefaultDeadline serves services without one; default 5 min.
	DefaultDeadline time.Duration
	// BodyTimeout bounds the reading of a body; default 30 s.
	BodyTimeout time.Duration
	// KeepAlive is the pause after which an idle event stream gets a comment;
	// default 500 ms, so that two writes to a vanished caller fit into a second.
	KeepAlive time.Duration
	// Probe is the interval at which callers' connections are looked at;
	// default 250 ms.
	Probe time.Duration
	// HeaderDelay is how long a streamed request waits for its first token
	// before the status 200 is sent; default 3 s. A refusal before that has its
	// own status and Retry-After header.
	HeaderDelay time.Duration
	// RetryShare is the share of requests that may be retried; default 0.1.
	RetryShare float64
	// RetryBurst is how many retries an idle instance may do at once; default 10.
	RetryBurst float64
	// CancelTimeout bounds the attempts to cancel a stream at its engine before
	// the permit is released anyway; default 10 s.
	CancelTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	def(&l.MaxBodyBytes, 8<<20)
	def(&l.BodyBytesInFlight, 256<<20)
	def(&l.DefaultDeadline, 5*time.Minute)
	def(&l.BodyTimeout, 30*time.Second)
	def(&l.KeepAlive, 500*time.Millisecond)
	def(&l.Probe, 250*time.Millisecond)
	def(&l.HeaderDelay, 3*time.Second)
	def(&l.RetryShare, 0.1)
	def(&l.RetryBurst, 10)
	def(&l.CancelTimeout, 10*time.Second)
	return l
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Options are the dependencies of an Entry. All but Limits, Logger and Clock
// are required.
type Options struct {
	Instance      goose.InstanceID
	DataCentre    goose.DataCentre
	Configuration goose.ConfigurationSource
	Permits       goose.PermitClient
	Ledger        goose.Ledger
	Suspects      goose.SuspectTracker
	Membership    goose.Membership
	// Protocol returns the client of a backend protocol, as goose.NewProtocol does.
	Protocol func(name string) (goose.Protocol, error)
	Limits   Limits
	Logger   *slog.Logger
	Clock    goose.Clock
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	instance   goose.InstanceID
	dataCentre goose.DataCentre
	config     goose.ConfigurationSource
	permits    goose.PermitClient
	ledger     goose.Ledger
	suspects   goose.SuspectTracker
	membership goose.Membership
	protocol   func(string) (goose.Protocol, error)
	protocols  sync.Map
	limits     Limits
	log        *slog.Logger
	clock      goose.Clock

	bodies  byteBudget
	retries retryBudget
	flights flights
	running running
	seq     atomic.Uint64
	// incarnation keeps request ids of a restarted instance apart.
	incarnation string
}

// New returns an Entry; it panics if a dependency is missing.
func New(o Options) *Entry {
	if o.Configuration == nil || o.Permits == nil || o.Ledger == nil || o.Suspects == nil ||
		o.Membership == nil || o.Protocol == nil {
		panic("gooseentry: dependency missing in Options")
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	e := &Entry{
		instance:    o.Instance,
		dataCentre:  o.DataCentre,
		config:      o.Configuration,
		permits:     o.Permits,
		ledger:      o.Ledger,
		suspects:    o.Suspects,
		membership:  o.Membership,
		protocol:    o.Protocol,
		limits:      o.Limits.withDefaults(),
		log:         o.Logger,
		clock:       o.Clock,
		incarnation: newIncarnation(),
	}
	e.bodies.limit = e.limits.BodyBytesInFlight
	e.retries = retryBudget{share: e.limits.RetryShare, burst: e.limits.RetryBurst, left: e.limits.RetryBurst}
	return e
}

// FiberConfig returns the settings that the server of the caller API needs:
// bodies are streamed, so that bounds apply before a body is in memory, and
// the Entry checks their size itself.
func (e *Entry) FiberConfig() fiber.Config {
	return fiber.Config{
		StreamRequestBody: true,
		BodyLimit:         1 << 40,
		IdleTimeout:       2 * time.Minute,
		ReadTimeout:       30 * time.Second,
		ReadBufferSize:    16 << 10,
		CaseSensitive:     true,
		ErrorHandler:      e.refuseUnserved,
	}
}

// Register adds the routes of the caller API. The app must be made with
// FiberConfig or equal settings.
func (e *Entry) Register(app *fiber.App) {
	app.Use(liftWriteDeadline)
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.serveModel(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.serveModel(c, false) })
	app.All("/services/:service", e.servePlain)
	app.All("/services/:service/*", e.servePlain)
}

// Drain refuses new requests as leaving and waits for the running ones,
// including what they still have to cancel and report. The last answers may
// still be in the server's buffers: shut the app down gracefully afterwards.
func (e *Entry) Drain(ctx context.Context) error {
	if left := e.running.drain(ctx); left > 0 {
		return errors.Wrapf(context.Cause(ctx), "%d requests still running", left)
	}
	return nil
}

// Running returns the number of requests in flight, with what they still have
// to cancel and report.
func (e *Entry) Running() int {
	e.running.mu.Lock()
	defer e.running.mu.Unlock()
	return e.running.count
}

// protocolOf returns the cached client of a protocol.
func (e *Entry) protocolOf(name string) (goose.Protocol, error) {
	if p, ok := e.protocols.Load(name); ok {
		return p.(goose.Protocol), nil
	}
	p, err := e.protocol(name)
	if err != nil {
		return nil, err
	}
	kept, _ := e.protocols.LoadOrStore(name, p)
	return kept.(goose.Protocol), nil
}
