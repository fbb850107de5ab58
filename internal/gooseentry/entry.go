// Package gooseentry is the caller API of an entry instance: it authenticates
// and admits requests, obtains permits, runs requests on backend servers and
// streams the responses.
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
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// Limits bound what an instance holds and how long it waits.
type Limits struct {
	// MaxBodyBytes bounds one request body; default 8 MiB.
	MaxBodyBytes int64
	// MaxBodyBytesInFlight bounds the total size of all request bodies; default 256
	// MiB.
	MaxBodyBytesInFlight int64
	// DefaultDeadline applies to services that have no deadline; default 5 min.
	DefaultDeadline time.Duration
	// BodyTimeout bounds the reading of a body; default 30 s.
	BodyTimeout time.Duration
	// KeepAliveInterval is the time after which an idle event stream gets a
	// comment; default 500 ms, so that two writes to a caller that has
	// disconnected fit into one second.
	KeepAliveInterval time.Duration
	// ProbeInterval is the time between two checks whether a caller is still
	// connected; default 250 ms.
	ProbeInterval time.Duration
	// HeaderDelay is how long a streamed request waits for its first token
	// before the status 200 is sent; default 3 s. A refusal before that has its
	// own status and Retry-After header.
	HeaderDelay time.Duration
	// RetryShare is the share of requests that may be retried; default 0.1.
	RetryShare float64
	// RetryBurst is the number of retries that an idle instance may start at
	// once; default 10.
	RetryBurst float64
	// CancelTimeout bounds the attempts to cancel a stream at its engine. After
	// it, the permit is released even if the stream was not cancelled; default
	// 10 s.
	CancelTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, 8<<20)
	setDefault(&l.MaxBodyBytesInFlight, 256<<20)
	setDefault(&l.DefaultDeadline, 5*time.Minute)
	setDefault(&l.BodyTimeout, 30*time.Second)
	setDefault(&l.KeepAliveInterval, 500*time.Millisecond)
	setDefault(&l.ProbeInterval, 250*time.Millisecond)
	setDefault(&l.HeaderDelay, 3*time.Second)
	setDefault(&l.RetryShare, 0.1)
	setDefault(&l.RetryBurst, 10)
	setDefault(&l.CancelTimeout, 10*time.Second)
	return l
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Options are the dependencies of an Entry. All but StopAt, Limits, Logger and Clock
// are required.
type Options struct {
	Instance      goose.InstanceID
	DataCentre    goose.DataCentre
	Configuration goose.ConfigurationSource
	Permits       goose.PermitClient
	Ledger        goose.Ledger
	Suspects      goose.SuspectTracker
	// Quarantine holds the evidence against parts of prompts.
	Quarantine *goosequarantine.Table
	Membership goose.Membership
	// Protocol returns the client of a backend protocol, as goose.NewProtocol does.
	Protocol func(name string) (goose.Protocol, error)
	// StopAt returns when the instance ends the requests that still run; zero unless it drains.
	StopAt func() time.Time
	Limits Limits
	Logger *slog.Logger
	Clock  goose.Clock
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	instance    goose.InstanceID
	dataCentre  goose.DataCentre
	config      goose.ConfigurationSource
	permits     goose.PermitClient
	ledger      goose.Ledger
	suspects    goose.SuspectTracker
	quarantine  *goosequarantine.Table
	membership  goose.Membership
	newProtocol func(string) (goose.Protocol, error)
	protocols   sync.Map
	stopAt      func() time.Time
	limits      Limits
	log         *slog.Logger
	clock       goose.Clock

	bodies     *bodyMemory
	retries    retryBudget
	inFlight   inFlightRequests
	running    requestTracker
	requestSeq atomic.Uint64
	// incarnation makes request IDs differ from those before a restart of the
	// instance.
	incarnation string
}

// New returns an Entry; it panics if a dependency is missing.
func New(o Options) *Entry {
	if o.Configuration == nil || o.Permits == nil || o.Ledger == nil || o.Suspects == nil || o.Quarantine == nil ||
		o.Membership == nil || o.Protocol == nil {
		panic("gooseentry: dependency missing in Options")
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.StopAt == nil {
		o.StopAt = func() time.Time { return time.Time{} }
	}
	e := &Entry{
		instance:    o.Instance,
		dataCentre:  o.DataCentre,
		config:      o.Configuration,
		permits:     o.Permits,
		ledger:      o.Ledger,
		suspects:    o.Suspects,
		quarantine:  o.Quarantine,
		membership:  o.Membership,
		newProtocol: o.Protocol,
		stopAt:      o.StopAt,
		limits:      o.Limits.withDefaults(),
		log:         o.Logger,
		clock:       o.Clock,
		incarnation: newIncarnation(),
	}
	e.bodies = newBodyMemory(e.limits)
	e.retries = retryBudget{share: e.limits.RetryShare, burst: e.limits.RetryBurst, available: e.limits.RetryBurst}
	return e
}

// FiberConfig returns the settings that the HTTP server of the caller API
// needs. Request bodies are streamed, so that limits apply before a body is in
// memory, and the Entry checks the size of bodies itself.
func (e *Entry) FiberConfig() fiber.Config {
	return fiber.Config{
		StreamRequestBody: true,
		BodyLimit:         1 << 40,
		IdleTimeout:       2 * time.Minute,
		ReadTimeout:       30 * time.Second,
		ReadBufferSize:    16 << 10,
		CaseSensitive:     true,
		ErrorHandler:      e.handleServerError,
	}
}

// Register adds the routes of the caller API. The app must be created with
// FiberConfig or equal settings.
func (e *Entry) Register(app *fiber.App) {
	app.Use(clearWriteDeadline)
	app.Use(e.boundHead)
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.serveModel(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.serveModel(c, false) })
	app.All("/services/:service", e.servePlain)
	app.All("/services/:service/*", e.servePlain)
}

// Drain refuses new requests with the code leaving and waits for the running
// ones, including their pending cancellations and reports. The last responses
// may still be in the HTTP server's buffers, so shut the app down gracefully
// afterwards.
func (e *Entry) Drain(ctx context.Context) error {
	if left := e.running.drain(ctx); left > 0 {
		return errors.Wrapf(context.Cause(ctx), "%d requests still running", left)
	}
	return nil
}

// RequestsInFlight returns the number of requests in flight, including those
// that still have cancellations or reports pending.
func (e *Entry) RequestsInFlight() int {
	e.running.mu.Lock()
	defer e.running.mu.Unlock()
	return e.running.count
}

// cachedProtocol returns the client of a protocol and creates it on first use.
func (e *Entry) cachedProtocol(name string) (goose.Protocol, error) {
	if p, ok := e.protocols.Load(name); ok {
		return p.(goose.Protocol), nil
	}
	p, err := e.newProtocol(name)
	if err != nil {
		return nil, err
	}
	kept, _ := e.protocols.LoadOrStore(name, p)
	return kept.(goose.Protocol), nil
}
