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

// servePlain answers /services/<service>/<path>.
func (e *Entry) servePlain(c fiber.Ctx) error {
	id := e.newRequestID()
	c.Set(headerRequest, string(id))
	if !e.running.enter() {
		return e.refusePlain(c, id, nil, leaving())
	}
	defer e.running.leave()
	q, r := e.plainRequest(c, id)
	if r != nil {
		if q != nil {
			q.body.release()
		}
		return e.refusePlain(c, id, q, r)
	}
	j := e.newJob(q)
	conn := c.RequestCtx().Conn()
	j.start((*job).runPlain)
	return e.answerPlain(c, j, conn)
}

func (e *Entry) plainRequest(c fiber.Ctx, id goose.RequestID) (*request, *goose.Refusal) {
	q, r := e.begin(c, id)
	if r != nil {
		return q, r
	}
	name, err := url.PathUnescape(c.Params("service"))
	if err != nil {
		return q, badRequest("the service's name is not valid: %v", err)
	}
	q.path = servicePath(c.OriginalURL())
	return q, e.admit(q, goose.KindPlain, goose.ServiceName(strings.Clone(name)), c.Get(headerOrderKey))
}

// servicePath cuts the first two segments, /services/<service>, off a request
// URI.
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

func (e *Entry) answerPlain(c fiber.Ctx, j *job, conn net.Conn) error {
	defer j.leave()
	tick := time.NewTicker(e.limits.Probe)
	defer tick.Stop()
	for {
		w, _, res := j.next(tick.C, nil)
		if w == waitTick {
			if gone(conn) {
				j.cancel(errCallerGone)
			}
			continue
		}
		if res.refusal != nil {
			return e.refusePlain(c, j.q.id, j.q, res.refusal)
		}
		return sendAnswer(c, res.answer)
	}
}

func sendAnswer(c fiber.Ctx, a *goose.PlainResponse) error {
	boundWrite(c)
	c.Set(fiber.HeaderContentType, a.ContentType)
	return c.Status(a.Status).Send(a.Body)
}

// refusePlain refuses a request; one that names an order is told what all runs
// under its key did.
func (e *Entry) refusePlain(c fiber.Ctx, id goose.RequestID, q *request, r *goose.Refusal) error {
	if name, err := url.PathUnescape(c.Params("service")); err == nil {
		if key, ok := e.orderKeyOf(c, name); ok {
			return e.refuseOrder(c, id, key, q, r)
		}
	}
	if cat := e.config.Current(); r.Run == goose.RunStateNotRun && (cat == nil || cat.Version() == 0) && c.Get(headerOrderKey) != "" {
		// Without a configuration nobody knows whose record to read.
		return e.refuse(c, id, q, recordUnread(*r))
	}
	return e.refuse(c, id, q, *r)
}

// refuseOrder refuses a request for an order, or answers it if it repeats one.
func (e *Entry) refuseOrder(c fiber.Ctx, id goose.RequestID, key goose.OrderKey, q *request, r *goose.Refusal) error {
	res := e.restate(key, q, r)
	if res.answer != nil {
		return sendAnswer(c, res.answer)
	}
	return e.refuse(c, id, q, *res.refusal)
}

// runPlain runs a request with one whole answer. A call that was sent runs on
// when its caller leaves: plain services have no cancel operation, and an order
// needs its outcome recorded.
func (j *job) runPlain() result { return j.attempts(j.call) }

// call makes one attempt on a plain service.
func (j *job) call(proto goose.Protocol, p *goose.Permit) (res result, again bool) {
	g := target(p)
	j.e.flights.add(g.Replica, p.ID, flight{j.q.fingerprint, g.Process})
	defer j.e.flights.remove(g.Replica, p.ID)
	var sent time.Time
	check := j.check(p)
	answer, err := proto.Call(j.work, goose.Attempt{
		ID: goose.AttemptID(p.ID), Address: g.Address, Epoch: p.Epoch, Priority: p.Priority,
		Path: j.q.path, Method: j.q.method, ContentType: j.q.contentType, Body: j.q.body.bytes(),
		Check: func() error {
			sent = j.e.clock.Now()
			return check()
		},
	})
	switch {
	case err == nil:
		j.release(p, goose.PermitReport{
			Outcome: goose.OutcomeFinished, TimeToFirstToken: max(j.e.clock.Now().Sub(sent), 1), Process: answer.Process, Cold: answer.Cold,
		})
		j.finished(answer)
		j.cleared()
		return result{answer: &answer}, false
	case errors.Is(err, goose.ErrNotSent):
		return j.callNotSent(p, err)
	}
	return j.callLost(proto, p, err)
}

func (j *job) callNotSent(p *goose.Permit, err error) (res result, again bool) {
	if !j.ran {
		j.gate.reset()
	}
	j.release(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
	switch {
	case j.ctx.Err() != nil:
		j.unclaim()
		return result{refusal: j.ended()}, false
	case errors.Is(err, errExpired) && j.expired < maxExpired:
		j.expired++
		return result{}, true
	case errors.Is(err, errExpired):
		j.unclaim()
		return j.settle(refusal(goose.CodeOverloaded, "permits-expired", "permits expired before use", time.Second)), false
	case j.mayRetry(target(p).Replica):
		return result{}, true
	}
	j.unclaim()
	r := failed("not-reached", err.Error()).WithRun(goose.RunStateNotRun)
	return j.settle(&r), false
}

// callLost ends an attempt whose answer did not come whole.
func (j *job) callLost(proto goose.Protocol, p *goose.Permit, err error) (res result, again bool) {
	j.ran = true
	g := target(p)
	outcome := goose.OutcomeFailed
	if j.work.Err() != nil {
		outcome = goose.OutcomeCancelled
	} else if j.e.crashed(j.work, proto, g, g.Process) {
		outcome = goose.OutcomeCrashed
		j.e.noteCrash(g.Replica, g.Process)
	}
	j.release(p, goose.PermitReport{Outcome: outcome, Process: g.Process})
	if j.q.order() {
		return j.unknown(err), false
	}
	if outcome == goose.OutcomeCancelled {
		return result{refusal: j.ended()}, false
	}
	if j.e.suspects.Grade(j.q.fingerprint) == goose.SuspicionCondemned {
		r := crashes().WithRun(goose.RunStateUnknown)
		return j.settle(&r), false
	}
	if j.mayRetry(g.Replica) {
		return result{}, true
	}
	return j.settle(failed("attempts-failed", fmt.Sprint(err))), false
}
