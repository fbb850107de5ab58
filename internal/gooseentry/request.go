package gooseentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosebody"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// request is a caller's request. It owns all its data, because it may outlive
// the HTTP server's buffers.
type request struct {
	id        goose.RequestID
	workspace goose.WorkspaceName
	service   goose.ServiceSpec
	catalogue goose.Catalogue

	path        string
	method      string
	contentType string
	body        *body
	// orderKey is set only for services that are not idempotent.
	orderKey goose.OrderKey
	bodyHash string

	created  time.Time
	deadline time.Time
	// promptTokens and outputTokens are zero for plain calls, because their
	// backend servers have no KV memory to reserve.
	promptTokens int
	outputTokens int
	class        goose.LengthClass
	prefixHashes []uint64
	fingerprint  goose.Fingerprint
	// subjects are the shared parts of the prompt. Crashes by the request as a whole are
	// recorded by the goose.SuspectTracker.
	subjects goose.CrashSubjects
	fields   modelFields
	// permitRequests counts the permit requests. Each has an ID of its own, so
	// that a dispatcher does not take a retry for a repeated poll.
	permitRequests int
	// isSuspect is set if the latest permit was requested for a suspect, which
	// runs alone on its replica.
	isSuspect bool
}

func (req *request) isOrder() bool { return !req.service.Idempotent }

func badRequestRefusal(format string, args ...any) *goose.Refusal {
	r := goose.NotRunRefusal(goose.CodeBadRequest, fmt.Sprintf(format, args...))
	return &r
}

func newRefusal(code goose.RefusalCode, reason, message string, after time.Duration) *goose.Refusal {
	r := goose.NotRunRefusal(code, message).WithReason(reason).WithRetryAfter(after)
	return &r
}

func (e *Entry) newRequestID() goose.RequestID {
	return goose.RequestID(fmt.Sprintf("%s-%s-%d", e.instance, e.incarnation, e.requestSeq.Add(1)))
}

// readRequest authenticates the caller and reads the body.
func (e *Entry) readRequest(c fiber.Ctx, id goose.RequestID) (*request, *goose.Refusal) {
	start := e.clock.Now()
	catalogue := e.config.Current()
	if catalogue == nil || catalogue.Version() == 0 {
		return nil, newRefusal(goose.CodeNotReady, "no-configuration", "no configuration is in force yet", time.Second)
	}
	if catalogue.InstanceState(e.instance) == goose.StateLeaving {
		return nil, newRefusal(goose.CodeLeaving, "instance-leaving", "this instance takes no new work", time.Second)
	}
	w, ok := workspaceOf(catalogue, c.Get(fiber.HeaderAuthorization))
	if !ok {
		return nil, newRefusal(goose.CodeUnauthorised, "", "no workspace has this key", 0)
	}
	req := &request{
		id: id, workspace: w.Name, catalogue: catalogue, created: start,
		method: strings.Clone(c.Method()), contentType: strings.Clone(c.Get(fiber.HeaderContentType)),
	}
	timeout, bad := requestTimeout(c)
	if bad != nil {
		return nil, bad
	}
	if timeout > 0 {
		req.deadline = start.Add(timeout)
	}
	return req, e.receiveBody(c, req, start)
}

func workspaceOf(catalogue goose.Catalogue, authorization string) (goose.WorkspaceSpec, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return goose.WorkspaceSpec{}, false
	}
	return catalogue.WorkspaceByKey(strings.TrimSpace(key))
}

// requestTimeout returns the timeout in the request's header, or zero if there
// is none.
func requestTimeout(c fiber.Ctx) (time.Duration, *goose.Refusal) {
	s := c.Get(headerTimeout)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, badRequestRefusal("%s is %.40q, not a Go duration above zero", headerTimeout, s)
	}
	return d, nil
}

func (e *Entry) receiveBody(c fiber.Ctx, req *request, start time.Time) *goose.Refusal {
	until := start.Add(e.limits.BodyTimeout)
	if !req.deadline.IsZero() && req.deadline.Before(until) {
		until = req.deadline
	}
	_ = c.RequestCtx().SetReadDeadline(time.Now().Add(until.Sub(e.clock.Now())))
	b, err := e.readBody(c, req.workspace)
	switch {
	case err == nil:
		req.body = b
		return nil
	case errors.Is(err, errBodyTooLarge):
		return newRefusal(goose.CodePromptTooLong, "body-too-large",
			fmt.Sprintf("the body exceeds %d bytes", e.limits.MaxBodyBytes), 0)
	case errors.Is(err, errBodyBudget):
		return newRefusal(goose.CodeOverloaded, "body-bytes-in-flight",
			"this instance holds too many request bodies", time.Second)
	case errors.Is(err, errSlowBody):
		return newRefusal(goose.CodeRequestTimeout, "slow-body",
			"the body arrives too slowly while others need its memory or its connection", time.Second)
	case errors.Is(err, goosebody.ErrChunkOverhead):
		return newRefusal(goose.CodeBadRequest, "chunk-overhead", goosebody.ErrChunkOverhead.Error(), 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || !req.deadline.IsZero() && !e.clock.Now().Before(req.deadline) {
		return newRefusal(goose.CodeRequestTimeout, "body", "the body did not arrive in time", 0)
	}
	return badRequestRefusal("the body could not be read: %v", errors.Cause(err))
}

// admit sets the fields that depend on the service and refuses requests that
// cannot run.
func (e *Entry) admit(req *request, kind goose.ServiceKind, name goose.ServiceName, key string) *goose.Refusal {
	s, ok := req.catalogue.Service(name)
	if !ok || s.Kind != kind {
		return newRefusal(goose.CodeBadRequest, "unknown-service", fmt.Sprintf("no %s service is named %.80q", kind, name), 0)
	}
	req.service = s
	req.setDeadline(e)
	if stopAt := e.stopAt(); !stopAt.IsZero() && req.deadline.After(stopAt) {
		return newRefusal(goose.CodeLeaving, "instance-stopping", "this instance stops before the request's deadline", stoppingRetryAfter)
	}
	if r := req.setOrder(key); r != nil {
		return r
	}
	dataCentres := req.catalogue.DataCentresFor(req.workspace, name)
	if len(dataCentres) == 0 {
		return noRouteRefusal(req)
	}
	req.class = goose.Classify(req.promptTokens, req.maxMemoryTokens(dataCentres))
	req.fingerprint = req.newFingerprint()
	if e.suspects.Grade(req.fingerprint) == goose.SuspicionCondemned {
		return condemnedRefusal()
	}
	return nil
}

func condemnedRefusal() *goose.Refusal {
	r := goose.CondemnedRefusal()
	return &r
}

// stoppingRetryAfter is the Retry-After of an instance that stops: others can take the request at
// once.
const stoppingRetryAfter = 100 * time.Millisecond

func (req *request) setDeadline(e *Entry) {
	d := req.service.Deadline
	if d <= 0 {
		d = e.limits.DefaultDeadline
	}
	if own := e.clock.Now().Add(d); req.deadline.IsZero() || own.Before(req.deadline) {
		req.deadline = own
	}
}

func (req *request) setOrder(key string) *goose.Refusal {
	if req.service.Idempotent {
		return nil
	}
	if key == "" {
		return newRefusal(goose.CodeKeyRequired, "",
			fmt.Sprintf("service %q is not idempotent: give an %s header", req.service.Name, headerOrderKey), 0)
	}
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n%s\n", req.method, req.path, req.contentType)
	_, _ = sum.Write(req.body.bytes())
	req.bodyHash = hex.EncodeToString(sum.Sum(nil))
	req.orderKey = goose.OrderKey{Workspace: req.workspace, Service: req.service.Name, Key: strings.Clone(key)}
	return nil
}

// noRouteRefusal distinguishes a service whose backend servers are leaving from
// one that no selector opens to the workspace.
func noRouteRefusal(req *request) *goose.Refusal {
	config := req.catalogue.Configuration()
	for i := range config.BackendServers {
		b := &config.BackendServers[i]
		if b.Service != req.service.Name {
			continue
		}
		dc, _ := req.catalogue.DataCentre(b.DataCentre)
		if b.State == goose.StateLeaving || dc.State == goose.StateLeaving {
			return newRefusal(goose.CodeLeaving, "backend-servers-leaving",
				"the backend servers of this service are leaving", goose.RetryAfterLeaving)
		}
	}
	return newRefusal(goose.CodeNoRoute, "", "no selector opens a backend server of this service to the workspace", 0)
}

// newFingerprint includes the method and path for plain calls. Without them,
// all calls without a body would have the same fingerprint and would share a
// replica and the suspicion after its crashes.
func (req *request) newFingerprint() goose.Fingerprint {
	f := goose.NewFingerprint(req.workspace, req.service.Name, req.body.bytes())
	if req.service.Kind == goose.KindPlain {
		return f.WithTarget(req.method, req.path)
	}
	return f
}

// maxMemoryTokens returns the memory of the largest engine that may run the
// request.
func (req *request) maxMemoryTokens(dataCentres []goose.DataCentre) int {
	most := 0
	for _, dc := range dataCentres {
		for _, b := range req.catalogue.Allowed(req.workspace, goose.Pool{DataCentre: dc, Service: req.service.Name}) {
			most = max(most, b.MemoryTokens)
		}
	}
	return most
}
