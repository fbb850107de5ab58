// Package gooseforward serves callers' requests by forwarding them unchanged to
// replicas. It finds the route and the workspace, chooses replicas, retries where a
// request may run again, and sends each caller one complete response.
package gooseforward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosebody"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseretry"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetable"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Options are the dependencies of a Forwarder; all are required.
type Options struct {
	Directory   *goosedirectory.Directory
	Placer      *gooseplacement.Placer
	Budget      *gooseretry.Budget
	Quarantine  *goosequarantine.Table
	HeaderCodec goose.HeaderCodec
	// StopAt returns when the instance ends the requests that still run; zero unless it
	// drains. While it drains, callers should send no further requests on their connections.
	StopAt func() time.Time
	// Draining ends when the instance begins to drain, after StopAt has been set.
	Draining context.Context
	// Stopping ends when the instance ends the requests that still run.
	Stopping context.Context
	// MemoryBytes is the memory of the machine; zero if unknown.
	MemoryBytes int64
	// MaxReservationTTL bounds how long the memory of a replica stays reserved without a renewal.
	MaxReservationTTL time.Duration
	Metrics           *Metrics
	Log               *slog.Logger
	Clock             goose.Clock
}

// Forwarder is an http.Handler for callers. It is safe for concurrent use.
type Forwarder struct {
	o              Options
	responseMemory *responseMemory
	bodyMemory     *bodyMemory
	discards       *discards
	callers        *gooseretry.Callers
	// transfers are the bodies that arrive and the responses that are written.
	transfers *goosetransfer.Table
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	t := goosetransfer.New()
	return &Forwarder{
		o: o, transfers: t, responseMemory: newResponseMemory(o.MemoryBytes, t), bodyMemory: newBodyMemory(o.MemoryBytes, t),
		discards: newDiscards(o.MemoryBytes, t), callers: gooseretry.NewCallers(),
	}
}

// notReadyRetryAfter is the Retry-After while the instance has no routing or the route
// leads to no service.
const notReadyRetryAfter = time.Second

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	c := &call{
		Forwarder: f, w: w, r: r, conn: conn, incoming: goosebody.New(r.Body, r.ContentLength, conn), arrived: f.o.Clock.Now(),
		tried: map[goose.ReplicaID]bool{}, declines: newDeclines(), snapshot: f.o.Directory.Current(),
	}
	if !f.o.StopAt().IsZero() {
		w.Header().Set("Connection", "close")
	}
	f.o.Metrics.inFlight.Inc()
	defer f.o.Metrics.inFlight.Dec()
	defer func() { f.responseMemory.release(c.responseBytes) }()
	if refusal, ok := c.admit(); !ok {
		c.limitWriting(c.arrived.Add(discardTimeout))
		c.refuseBeforeBody(refusal)
		return
	}
	c.limitWriting(c.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(f.o.Stopping, cancel)()
	c.ctx = ctx
	defer c.releaseBody()
	if refusal, ok := c.readBody(); !ok {
		if !c.committed {
			c.refuseBeforeBody(refusal)
		}
		return
	}
	f.o.Budget.CountRequest(c.service.Name, c.arrived)
	c.run()
}

// call is one request of a caller.
type call struct {
	*Forwarder
	w    http.ResponseWriter
	r    *http.Request
	conn goose.CallerConn
	// incoming is the body as it arrives.
	incoming io.Reader
	// ctx ends when the caller disconnects, the deadline passes or the instance stops.
	ctx      context.Context
	arrived  time.Time
	deadline time.Time
	snapshot *goosedirectory.Snapshot

	route     goose.Route
	service   goose.RoutedService
	workspace goose.RoutedWorkspace
	header    goose.RequestHeader
	body      []byte
	// heldBody is the memory that the body holds.
	heldBody heldBody
	// subjects are the fingerprints of the request, which is equal for equal requests
	// regardless of their ids, and of the shared parts of its prompt. They are zero until the
	// body was read.
	subjects goose.CrashSubjects
	// suspicion is the evidence against the request and the parts of its prompt when the
	// current attempt began.
	suspicion goosequarantine.Attempt
	urgency   int
	// callerRetry is set if the caller was refused before, in a large fleet.
	callerRetry bool

	// tried are the replicas that were sent the request, or that could not be reached.
	tried    map[goose.ReplicaID]bool
	declines declines
	// setWait bounds the wait for a set of replicas, and forecast is its latest estimate;
	// zero if there is none.
	setWait  gooseplacement.SetWait
	forecast gooseplacement.Forecast
	// runs counts the attempts that may have run.
	runs     int
	attempts []gooseevent.Attempt
	// attemptStart is the start of the current attempt, and timeToFirst the time to its
	// first event.
	attemptStart time.Time
	timeToFirst  time.Duration
	// lastEventAt is when the last event was written, and longestPause the longest time
	// between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// responseBytes is the response memory that the request holds.
	responseBytes int64
	// committed is set once a status was sent to the caller.
	committed bool
	// sequence is the part of a stream that the caller has.
	sequence sequence
}

// admit resolves the route, the workspace and the service of the request, or returns why
// the request is refused.
func (c *call) admit() (goose.Refusal, bool) {
	// The log line of a refusal contains the request's id, so the headers are read first.
	header, malformed := c.o.HeaderCodec.ParseRequest(c.r.Header)
	c.header, c.sequence.lastID = header, header.LastEvent
	table := c.snapshot.Table
	if table == nil {
		return goose.NotRunRefusal(goose.CodeNotReady, "this instance knows no routing yet").WithRetryAfter(notReadyRetryAfter), false
	}
	route, ok := table.Match(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		return goose.NotRunRefusal(goose.CodeNotFound, "no route for this host and path"), false
	}
	c.route = route
	if malformed != nil {
		return goose.NotRunRefusal(goose.CodeBadRequest, malformed.Error()), false
	}
	if table.KeyRequired() && !route.Public {
		w, ok := table.Workspace(header.Key)
		if !ok {
			return goose.NotRunRefusal(goose.CodeUnauthorised, "the key belongs to no workspace"), false
		}
		c.workspace = w
	}
	name, ok := goosetable.Pick(route, rand.Float64())
	service, known := table.Service(name)
	if !ok || !known {
		return goose.NotRunRefusal(goose.CodeNotReady, "the route leads to no service").WithRetryAfter(notReadyRetryAfter), false
	}
	c.service = service
	c.deadline = c.arrived.Add(c.timeLimit())
	c.callerRetry = c.isCallerRetry()
	c.urgency = c.requestUrgency()
	return goose.Refusal{}, true
}

// defaultTimeLimit bounds a request if neither the route nor the caller sets a timeout.
const defaultTimeLimit = time.Minute

func (c *call) timeLimit() time.Duration {
	limit := defaultTimeLimit
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.header.TimeLeft > 0 {
		limit = min(limit, c.header.TimeLeft)
	}
	return limit
}

// Requests of a smaller urgency run first: the urgency orders them by priority, and
// within a priority shorter prompts come before longer ones.
const (
	maxUrgency         = 9
	urgencyPerPriority = 2
	// callerRetryUrgency ranks the retry of a caller, which is late in any case, behind first
	// requests of the same priority and of the next one.
	callerRetryUrgency = 3
)

// isCallerRetry reports whether the caller was refused before. It is recognised for services with
// an engine in large fleets, in which it returns to another instance.
func (c *call) isCallerRetry() bool {
	if c.service.Engine == nil || !c.o.Placer.SplitReports() || !c.callers.IsRetry(c.route.Name, c.header.TimeLeft, c.route.Timeout, c.arrived) {
		return false
	}
	c.o.Metrics.countCallerRetry(c.service.Name)
	return true
}

func (c *call) requestUrgency() int {
	priority := c.route.Priority
	if c.workspace.HasPriority {
		priority = c.workspace.Priority
	}
	u := max(priority, 0) * urgencyPerPriority
	if goose.Classify(c.header.PromptTokens, longPromptTokens) != goose.ClassShort {
		u++
	}
	if c.callerRetry {
		u += callerRetryUrgency
	}
	return min(u, maxUrgency)
}

// longPromptTokens is the memory size that is passed to goose.Classify where only the short
// class matters; it has to be above that class.
const longPromptTokens = 1 << 30
