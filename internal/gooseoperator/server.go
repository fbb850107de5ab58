package gooseoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call, so that its response arrives before the client times
	// out.
	callTimeout = 8 * time.Second
	// commandTimeout bounds a command. The command may wait until commands of a former
	// dispatcher can no longer arrive and until running requests have finished.
	commandTimeout = 12 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	// jsonOverheadFactor allows for the JSON escapes in a configuration of maximum size.
	jsonOverheadFactor = 2
	defaultLimit       = 50
	maxLimit           = 1000
)

// Options are the dependencies of a Server. They are required unless their comment says
// otherwise.
type Options struct {
	// TokenHash is the SHA-256 sum of the operator token, in hexadecimal.
	TokenHash  string
	Repository *gooseconfig.Repository
	Source     *gooseconfig.Source
	// Refresh reads the published head and puts it in force on this instance.
	Refresh func(context.Context) error
	Members goose.Membership
	Ledger  goose.Ledger
	// Dispatchers calls the dispatchers of all pools.
	Dispatchers Dispatchers
	// CommandEntries returns the newest command records, newest first.
	CommandEntries func(ctx context.Context, limit int) ([]gooseload.Record, error)
	// Ready returns the reason why the instance refuses requests, or nil.
	Ready func() error
	// WriteMetrics writes metrics in Prometheus format.
	WriteMetrics func(io.Writer)
	// RequestsInFlight returns the number of requests in flight; may be nil.
	RequestsInFlight func() int
	Logger           *slog.Logger
}

// Dispatchers calls the dispatchers of all pools of the fleet.
type Dispatchers interface {
	Command(ctx context.Context, q goose.CommandRequest) goose.CommandResult
	PoolReports(ctx context.Context) []goosedispatch.PoolReport
}

// Server is the operator API of one instance.
type Server struct {
	Options
	tokenHash []byte
	app       *fiber.App
}

// New returns a server; Serve starts it.
func New(o Options) (*Server, error) {
	hash, err := hex.DecodeString(o.TokenHash)
	if err != nil || len(hash) != sha256.Size {
		return nil, errors.New("operator-token-hash: must be a SHA-256 sum in hexadecimal")
	}
	s := &Server{Options: o, tokenHash: hash}
	s.app = fiber.New(fiber.Config{
		BodyLimit: jsonOverheadFactor * gooseyaml.MaxBytes, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Immutable: true, ErrorHandler: s.sendError,
	})
	s.routes()
	return s, nil
}

// Serve handles calls on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}), "operator API")
}

// Shutdown stops listening and waits for running calls until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "stop operator API")
}

func (s *Server) routes() {
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
		s.WriteMetrics(c.Response().BodyWriter())
		return nil
	})
	api := s.app.Group("/operator", s.authenticate)
	route := func(path string) string { return strings.TrimPrefix(path, "/operator") }
	api.Get(route(pathStatus), func(c fiber.Ctx) error { return c.JSON(s.status()) })
	api.Get(route(pathConfig), func(c fiber.Ctx) error { return respond(c)(s.config()) })
	api.Put(route(pathConfig), s.handleApply)
	api.Post(route(pathLabel), s.handleLabel)
	api.Get(route(pathOrders), s.handleOrders)
	api.Post(route(pathOrders), s.handleSettle)
	api.Get(route(pathAudit), s.handleAudit)
	api.Post(route(pathCommands), s.handleCommand)
	api.Get(route(pathReplicas), func(c fiber.Ctx) error { return c.JSON(s.Dispatchers.PoolReports(c.Context())) })
	s.app.Use(func(c fiber.Ctx) error {
		return &APIError{Status: http.StatusNotFound, Code: goose.CodeNotFound, Message: "no such path: " + c.Path(), Run: goose.RunStateNotRun}
	})
}

func (s *Server) handleReady(c fiber.Ctx) error {
	if err := s.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// authenticate compares hashes in constant time, so that the response time reveals nothing
// about the token.
func (s *Server) authenticate(c fiber.Ctx) error {
	scheme, token, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(sum[:], s.tokenHash) != 1 || !strings.EqualFold(scheme, "bearer") {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return refusal(goose.CodeUnauthorised, "the operator token is missing or wrong")
	}
	return c.Next()
}

func (s *Server) handleApply(c fiber.Ctx) error {
	var q ApplyRequest
	if err := decodeBody(c, &q, &q.ChangeID, &q.Author); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	return respond(c)(s.apply(ctx, q))
}

func (s *Server) handleLabel(c fiber.Ctx) error {
	var q LabelRequest
	if err := decodeBody(c, &q, &q.ChangeID, &q.Author); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	return respond(c)(s.label(ctx, q))
}

func (s *Server) handleAudit(c fiber.Ctx) error {
	limit, err := parseLimit(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	return respond(c)(s.audit(ctx, limit, c.Query("change")))
}

func (s *Server) handleOrders(c fiber.Ctx) error {
	limit, err := parseLimit(c)
	if err != nil {
		return err
	}
	state := goose.OrderState(c.Query("state"))
	switch state {
	case "", goose.OrderClaimed, goose.OrderDone, goose.OrderNotRun, goose.OrderUnknown:
	default:
		return refusal(goose.CodeBadRequest, "state must be claimed, done, not-run or unknown")
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	return respond(c)(s.Ledger.List(ctx, state, limit))
}

func (s *Server) handleSettle(c fiber.Ctx) error {
	var q SettleRequest
	if err := decodeBody(c, &q, &q.Author); err != nil {
		return err
	}
	if q.State != goose.OrderDone && q.State != goose.OrderNotRun {
		return refusal(goose.CodeBadRequest, "an order is settled as done or not-run")
	}
	if q.Key.Workspace == "" || q.Key.Service == "" || q.Key.Key == "" {
		return refusal(goose.CodeBadRequest, "an order is named by its workspace, service and key")
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	if err := s.Ledger.Settle(ctx, q.Key, q.State, q.Author); err != nil {
		return settleError(err)
	}
	return c.JSON(q)
}

// respond returns a function that sends v as JSON, or returns err if it is not nil.
func respond(c fiber.Ctx) func(v any, err error) error {
	return func(v any, err error) error {
		if err != nil {
			return err
		}
		return c.JSON(v)
	}
}

// decodeBody decodes the JSON body, refuses unknown fields and checks that the required
// texts are not empty.
func decodeBody(c fiber.Ctx, target any, required ...*string) error {
	d := json.NewDecoder(strings.NewReader(string(c.Body())))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return refusal(goose.CodeBadRequest, "body: "+err.Error())
	}
	for _, text := range required {
		if *text == "" {
			return refusal(goose.CodeBadRequest, "body: change-id (where the call takes one) and author must be given")
		}
	}
	return nil
}

func parseLimit(c fiber.Ctx) (int, error) {
	text := c.Query("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, refusal(goose.CodeBadRequest, "limit must be from 1 to "+strconv.Itoa(maxLimit))
	}
	return n, nil
}
