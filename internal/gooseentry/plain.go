package gooseentry

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// servePlain handles /services/<service>/<path>.
func (e *Entry) servePlain(c fiber.Ctx) error {
	id := e.newRequestID()
	c.Set(headerRequestID, string(id))
	if !e.running.tryAdd() {
		return e.sendPlainRefusal(c, id, nil, leavingRefusal())
	}
	defer e.running.done()
	req, r := e.readPlainRequest(c, id)
	if r != nil {
		if req != nil {
			req.body.release()
		}
		return e.sendPlainRefusal(c, id, req, r)
	}
	j := e.newJob(req)
	conn := c.RequestCtx().Conn()
	j.start((*job).runPlain)
	return e.respondPlain(c, j, conn)
}

func (e *Entry) readPlainRequest(c fiber.Ctx, id goose.RequestID) (*request, *goose.Refusal) {
	req, r := e.readRequest(c, id)
	if r != nil {
		return req, r
	}
	name, err := url.PathUnescape(c.Params("service"))
	if err != nil {
		return req, badRequestRefusal("the service's name is not valid: %v", err)
	}
	req.path = servicePath(c.OriginalURL())
	return req, e.admit(req, goose.KindPlain, goose.ServiceName(strings.Clone(name)), c.Get(headerOrderKey))
}

// servicePath removes the first two segments, /services/<service>, from a
// request URI.
func servicePath(uri string) string {
	rest := strings.TrimPrefix(uri, "/")
	_, rest, _ = strings.Cut(rest, "/")
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return strings.Clone(rest[i:])
}

func (e *Entry) respondPlain(c fiber.Ctx, j *job, conn net.Conn) error {
	defer j.detachCaller()
	tick := time.NewTicker(e.limits.ProbeInterval)
	defer tick.Stop()
	for {
		ev, _, res := j.nextEvent(tick.C, nil)
		if ev == jobEventProbe {
			if callerDisconnected(conn) {
				j.cancel(errCallerDisconnected)
			}
			continue
		}
		if res.refusal != nil {
			return e.sendPlainRefusal(c, j.req.id, j.req, res.refusal)
		}
		return sendResponse(c, res.response)
	}
}

func sendResponse(c fiber.Ctx, resp *goose.PlainResponse) error {
	setWriteDeadline(c)
	c.Set(fiber.HeaderContentType, resp.ContentType)
	return c.Status(resp.Status).Send(resp.Body)
}

// sendPlainRefusal sends the refusal of a plain request. The refusal of a
// request that names an order describes all runs under the order's key.
func (e *Entry) sendPlainRefusal(c fiber.Ctx, id goose.RequestID, req *request, r *goose.Refusal) error {
	if name, err := url.PathUnescape(c.Params("service")); err == nil {
		if key, ok := e.orderKeyOf(c, name); ok {
			return e.sendOrderRefusal(c, id, key, req, r)
		}
	}
	if catalogue := e.config.Current(); r.Run == goose.RunStateNotRun && (catalogue == nil || catalogue.Version() == 0) && c.Get(headerOrderKey) != "" {
		// Without a configuration the workspace and the service are unknown, so
		// the order's record cannot be found.
		return e.sendRefusal(c, id, req, markRecordUnread(*r))
	}
	return e.sendRefusal(c, id, req, *r)
}

// sendOrderRefusal sends the refusal of a request for an order, or the stored
// answer if the request repeats an order that ran.
func (e *Entry) sendOrderRefusal(c fiber.Ctx, id goose.RequestID, key goose.OrderKey, req *request, r *goose.Refusal) error {
	res := e.correctRefusal(key, req, r)
	if res.response != nil {
		return sendResponse(c, res.response)
	}
	return e.sendRefusal(c, id, req, *res.refusal)
}

// runPlain runs a request to a plain service, which has one complete response.
// A call that was sent continues when its caller disconnects: plain services
// have no cancel operation, and the outcome of an order must be recorded.
func (j *job) runPlain() result { return j.runAttempts(j.callPlain) }

// callPlain makes one attempt on a plain service.
func (j *job) callPlain(proto goose.Protocol, p *goose.Permit) (res result, again bool) {
	g := lastReplica(p)
	j.entry.inFlight.add(g.Replica, p.ID, inFlightRequest{j.req.fingerprint, g.Process})
	defer j.entry.inFlight.remove(g.Replica, p.ID)
	var sent time.Time
	check := j.sendCheck(p)
	resp, err := proto.Call(j.workCtx, goose.Attempt{
		ID: goose.AttemptID(p.ID), Address: g.Address, Epoch: p.Epoch, Priority: p.Priority,
		Path: j.req.path, Method: j.req.method, ContentType: j.req.contentType, Body: j.req.body.bytes(),
		BeforeSend: func() error {
			sent = j.entry.clock.Now()
			return check()
		},
	})
	switch {
	case err == nil:
		j.releasePermit(p, goose.PermitReport{
			Outcome: goose.OutcomeFinished, TimeToFirstToken: max(j.entry.clock.Now().Sub(sent), 1), Process: resp.Process, Cold: resp.Cold,
			Leaving: resp.Wish.Leaving, Pause: resp.Wish.Pause,
		})
		j.recordAnswer(resp)
		j.clearSuspicion()
		return result{response: &resp}, false
	case errors.Is(err, goose.ErrNotSent):
		return j.handleNotSent(p, err)
	}
	return j.handleLostResponse(proto, p, err)
}

func (j *job) handleNotSent(p *goose.Permit, err error) (res result, again bool) {
	if !j.mayHaveRun {
		j.gate.reset()
	}
	j.releasePermit(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
	switch {
	case j.ctx.Err() != nil:
		j.unclaimOrder()
		return result{refusal: j.contextRefusal()}, false
	case errors.Is(err, errPermitExpired) && j.expiredPermits < maxExpiredPermits:
		j.expiredPermits++
		return result{}, true
	case errors.Is(err, errPermitExpired):
		j.unclaimOrder()
		return j.refusalResult(newRefusal(goose.CodeOverloaded, "permits-expired", "permits expired before use", time.Second)), false
	case j.takeRetry(lastReplica(p).Replica):
		return result{}, true
	}
	j.unclaimOrder()
	r := backendFailedRefusal("not-reached", err.Error()).WithRun(goose.RunStateNotRun)
	return j.refusalResult(&r), false
}

// handleLostResponse ends an attempt whose response did not arrive completely.
func (j *job) handleLostResponse(proto goose.Protocol, p *goose.Permit, err error) (res result, again bool) {
	j.mayHaveRun = true
	g := lastReplica(p)
	outcome := goose.OutcomeFailed
	if j.workCtx.Err() != nil {
		outcome = goose.OutcomeCancelled
	} else if j.entry.processCrashed(j.workCtx, proto, g, g.Process) {
		outcome = goose.OutcomeCrashed
		j.entry.recordCrash(g.Replica, g.Process)
	}
	j.releasePermit(p, goose.PermitReport{Outcome: outcome, Process: g.Process})
	if j.req.isOrder() {
		return j.recordUnknown(err), false
	}
	if outcome == goose.OutcomeCancelled {
		return result{refusal: j.contextRefusal()}, false
	}
	if j.entry.suspects.Grade(j.req.fingerprint) == goose.SuspicionCondemned {
		r := condemnedRefusal().WithRun(goose.RunStateUnknown)
		return j.refusalResult(&r), false
	}
	if j.takeRetry(g.Replica) {
		return result{}, true
	}
	return j.refusalResult(backendFailedRefusal("attempts-failed", fmt.Sprint(err))), false
}
