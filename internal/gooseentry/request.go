package gooseentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// request is an admitted request of a caller. It owns all it refers to, as it
// may outlive the server's buffers.
type request struct {
	id        goose.RequestID
	workspace goose.WorkspaceName
	service   goose.ServiceSpec
	catalogue goose.Catalogue

	path        string
	method      string
	contentType string
	body        *body
	// orderKey is set for services that are not idempotent.
	orderKey goose.OrderKey
	bodyHash string

	created  time.Time
	deadline time.Time
	// promptTokens and outputTokens are zero for plain calls: their servers have
	// no KV memory to reserve.
	promptTokens int
	outputTokens int
	class        goose.LengthClass
	prefix       []uint64
	fingerprint  goose.Fingerprint
	fields       modelFields
	// asked numbers the permit requests: each has an id of its own, so that a
	// dispatcher never takes a retry for a repeated poll.
	asked int
	// suspect is set if the latest permit was asked for as a suspect, to run alone.
	suspect bool
}

func (q *request) order() bool { return !q.service.Idempotent }

func badRequest(format string, args ...any) *goose.Refusal {
	r := goose.NotRunRefusal(goose.CodeBadRequest, fmt.Sprintf(format, args...))
	return &r
}

func refusal(code goose.RefusalCode, reason, message string, after time.Duration) *goose.Refusal {
	r := goose.NotRunRefusal(code, message).WithReason(reason).WithRetryAfter(after)
	return &r
}

func (e *Entry) newRequestID() goose.RequestID {
	return goose.RequestID(fmt.Sprintf("%s-%s-%d", e.instance, e.incarnation, e.seq.Add(1)))
}

// begin authenticates the caller and reads the body.
func (e *Entry) begin(c fiber.Ctx, id goose.RequestID) (*request, *goose.Refusal) {
	start := e.clock.Now()
	cat := e.config.Current()
	if cat == nil || cat.Version() == 0 {
		return nil, refusal(goose.CodeNotReady, "no-configuration", "no configuration is in force yet", time.Second)
	}
	if cat.InstanceState(e.instance) == goose.StateLeaving {
		return nil, refusal(goose.CodeLeaving, "instance-leaving", "this instance takes no new work", time.Second)
	}
	w, ok := workspaceOf(cat, c.Get(fiber.HeaderAuthorization))
	if !ok {
		return nil, refusal(goose.CodeUnauthorised, "", "no workspace has this key", 0)
	}
	q := &request{
		id: id, workspace: w.Name, catalogue: cat, created: start,
		method: strings.Clone(c.Method()), contentType: strings.Clone(c.Get(fiber.HeaderContentType)),
	}
	timeout, bad := timeoutOf(c)
	if bad != nil {
		return nil, bad
	}
	if timeout > 0 {
		q.deadline = start.Add(timeout)
	}
	return q, e.takeBody(c, q, start)
}

func workspaceOf(cat goose.Catalogue, authorization string) (goose.WorkspaceSpec, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return goose.WorkspaceSpec{}, false
	}
	return cat.WorkspaceByKey(strings.TrimSpace(key))
}

// timeoutOf returns zero if the caller gave none.
func timeoutOf(c fiber.Ctx) (time.Duration, *goose.Refusal) {
	s := c.Get(headerTimeout)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, badRequest("%s is %.40q, not a Go duration above zero", headerTimeout, s)
	}
	return d, nil
}

func (e *Entry) takeBody(c fiber.Ctx, q *request, start time.Time) *goose.Refusal {
	until := start.Add(e.limits.BodyTimeout)
	if !q.deadline.IsZero() && q.deadline.Before(until) {
		until = q.deadline
	}
	_ = c.RequestCtx().SetReadDeadline(time.Now().Add(until.Sub(e.clock.Now())))
	b, err := e.readBody(c)
	switch {
	case err == nil:
		q.body = b
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refusal(goose.CodePromptTooLong, "body-too-large",
			fmt.Sprintf("the body exceeds %d bytes", e.limits.MaxBodyBytes), 0)
	case errors.Is(err, errBodyBudget):
		return refusal(goose.CodeOverloaded, "body-bytes-in-flight",
			"this instance holds too many request bodies", time.Second)
	}
	if !q.deadline.IsZero() && !e.clock.Now().Before(q.deadline) {
		return refusal(goose.CodeDeadline, "body", "the deadline passed while the body was read", 0)
	}
	return badRequest("the body could not be read: %v", errors.Cause(err))
}

// admit fills in what depends on the service and refuses what cannot run.
func (e *Entry) admit(q *request, kind goose.ServiceKind, name goose.ServiceName, key string) *goose.Refusal {
	s, ok := q.catalogue.Service(name)
	if !ok || s.Kind != kind {
		return refusal(goose.CodeBadRequest, "unknown-service", fmt.Sprintf("no %s service is named %.80q", kind, name), 0)
	}
	q.service = s
	q.setDeadline(e)
	if r := q.setOrder(key); r != nil {
		return r
	}
	centres := q.catalogue.DataCentresFor(q.workspace, name)
	if len(centres) == 0 {
		return noRoute(q)
	}
	q.class = goose.Classify(q.promptTokens, q.memory(centres))
	q.fingerprint = q.newFingerprint()
	if e.suspects.Grade(q.fingerprint) == goose.SuspicionCondemned {
		return crashes()
	}
	return nil
}

func crashes() *goose.Refusal {
	r := goose.CondemnedRefusal()
	return &r
}

func (q *request) setDeadline(e *Entry) {
	d := q.service.Deadline
	if d <= 0 {
		d = e.limits.DefaultDeadline
	}
	if own := e.clock.Now().Add(d); q.deadline.IsZero() || own.Before(q.deadline) {
		q.deadline = own
	}
}

func (q *request) setOrder(key string) *goose.Refusal {
	if q.service.Idempotent {
		return nil
	}
	if key == "" {
		return refusal(goose.CodeKeyRequired, "",
			fmt.Sprintf("service %q is not idempotent: give an %s header", q.service.Name, headerOrderKey), 0)
	}
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n%s\n", q.method, q.path, q.contentType)
	_, _ = sum.Write(q.body.bytes())
	q.bodyHash = hex.EncodeToString(sum.Sum(nil))
	q.orderKey = goose.OrderKey{Workspace: q.workspace, Service: q.service.Name, Key: strings.Clone(key)}
	return nil
}

// noRoute tells a service that is only away for now from one that the
// selectors close to the workspace.
func noRoute(q *request) *goose.Refusal {
	all := q.catalogue.Configuration()
	for i := range all.BackendServers {
		b := &all.BackendServers[i]
		if b.Service != q.service.Name {
			continue
		}
		dc, _ := q.catalogue.DataCentre(b.DataCentre)
		if b.State == goose.StateLeaving || dc.State == goose.StateLeaving {
			return refusal(goose.CodeLeaving, "backend-servers-leaving",
				"the backend servers of this service are leaving", goose.RetryAfterLeaving)
		}
	}
	return refusal(goose.CodeNoRoute, "", "no selector opens a backend server of this service to the workspace", 0)
}

// newFingerprint includes method and path for plain calls: calls without a body
// would otherwise all be equal, and equal requests share a replica and its
// crashes.
func (q *request) newFingerprint() goose.Fingerprint {
	f := goose.NewFingerprint(q.workspace, q.service.Name, q.body.bytes())
	if q.service.Kind == goose.KindPlain {
		return f.WithTarget(q.method, q.path)
	}
	return f
}

// memory is that of the largest engine that may run the request.
func (q *request) memory(centres []goose.DataCentre) int {
	most := 0
	for _, dc := range centres {
		for _, b := range q.catalogue.Allowed(q.workspace, goose.Pool{DataCentre: dc, Service: q.service.Name}) {
			most = max(most, b.MemoryTokens)
		}
	}
	return most
}
