package gooseentry

import (
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// maxRounds bounds how often one request claims an order whose other runs
	// end without effect.
	maxRounds = 5
	// lookupTimeout bounds what a refusal waits for the state of an order.
	lookupTimeout = 200 * time.Millisecond
	// reasonUnread is the reason of refusals that could not look up the order.
	reasonUnread = "earlier-runs-not-read"
)

// owns claims the order of a request that has one. If the order is not this
// request's to run, the permit is given back, and the request ends with res or
// asks for a permit again.
func (j *job) owns(p *goose.Permit) (ok bool, res result, again bool) {
	if !j.q.order() || j.claimed != nil {
		return true, res, false
	}
	attempt := goose.AttemptID(p.ID)
	c := j.e.ledger.Claim(j.ctx, j.q.orderKey, j.q.bodyHash, attempt)
	if c.Status == goose.ClaimGranted {
		j.claimed = &c.Order
		if j.ctx.Err() == nil {
			return true, res, false
		}
		j.unclaim()
	}
	j.release(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
	if c.Status == goose.ClaimRunning {
		// Until the run in progress ends, nothing certain can be said of the order.
		j.gate.send()
		c = j.e.ledger.WaitForOutcome(j.ctx, c.Order)
	}
	j.rounds++
	if c.Order.State == goose.OrderNotRun && j.rounds < maxRounds && j.ctx.Err() == nil {
		j.gate.reset()
		return false, res, true
	}
	return false, j.notOwned(c, attempt), false
}

// notOwned answers a request whose order it may not run.
func (j *job) notOwned(c goose.Claim, attempt goose.AttemptID) result {
	switch c.Status {
	case goose.ClaimDone:
		return recorded(c.Order)
	case goose.ClaimKeyReused:
		return result{refusal: reused(c.Order)}
	case goose.ClaimUnknown:
		return result{refusal: orderUnknown("")}
	}
	if j.ctx.Err() != nil {
		return result{refusal: j.ended()}
	}
	if c.Status == goose.ClaimUnavailable {
		return result{refusal: j.unavailable(c.Order, attempt)}
	}
	return result{refusal: orderUnknown("still-running")}
}

// recorded answers a repeat of an order that ran.
func recorded(o goose.Order) result {
	if !o.AnswerKept {
		return result{refusal: &goose.Refusal{
			Code: goose.CodeConflict, Run: goose.RunStateRan, Reason: "answer-not-kept",
			Message: "the order ran; its answer was not kept",
		}}
	}
	a := o.Answer
	return result{answer: &a}
}

// runOf tells what all runs under an order's key did.
func runOf(o goose.Order) goose.RunState {
	switch o.State {
	case goose.OrderDone:
		return goose.RunStateRan
	case goose.OrderNotRun:
		return goose.RunStateNotRun
	}
	return goose.RunStateUnknown
}

func reused(o goose.Order) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeKeyReused, Run: runOf(o), Message: "the key was used with another request", Reason: string(o.State),
	}
}

// unavailable refuses an order that the store did not confirm. The ledger may
// return the record that it tried to write; then no run is known.
func (j *job) unavailable(o goose.Order, attempt goose.AttemptID) *goose.Refusal {
	r := goose.Refusal{
		Code: goose.CodeStoreUnavailable, Run: runOf(o), RetryAfter: 2 * time.Second,
		Message: "the store did not confirm the claim", Reason: "claim",
	}
	if o.State == "" || o.Attempt == attempt {
		_ = j.gate.close()
		r = recordUnread(r)
	}
	return &r
}

// recordUnread marks a refusal of an order whose record could not be read: this
// request did not run, but an earlier one with its key may have. A caller that
// was told not-run could place the order by another way, and it would run twice.
func recordUnread(r goose.Refusal) goose.Refusal {
	r.Run, r.Reason = goose.RunStateUnknown, reasonUnread
	r.Message += "; this request did not run, earlier ones with its key could not be checked"
	return r
}

func orderUnknown(reason string) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeOrderUnknown, Run: goose.RunStateUnknown, Reason: reason,
		Message: "it is not known whether the order ran; it will not run again",
	}
}

// unclaim records that a claimed order did not run.
func (j *job) unclaim() {
	if j.claimed != nil {
		j.e.ledger.MarkNotRun(*j.claimed)
		j.claimed = nil
	}
}

// finished records the answer of a claimed order.
func (j *job) finished(a goose.PlainResponse) {
	if j.claimed != nil {
		j.e.ledger.MarkDone(*j.claimed, a)
	}
}

// unknown records that a claimed order was sent and got no whole answer. An
// order that its deadline ended is refused for that.
func (j *job) unknown(err error) result {
	j.e.ledger.MarkUnknown(*j.claimed)
	gooseevent.OrderUnknown.Log(j.e.log, "request", j.q.id, "workspace", j.q.workspace,
		"service", j.q.service.Name, "error", err)
	if j.work.Err() != nil {
		return result{refusal: j.ended()}
	}
	return result{refusal: orderUnknown("answer-lost")}
}

// orderKeyOf returns the order that a request names, also if it was refused
// before it was read.
func (e *Entry) orderKeyOf(c fiber.Ctx, service string) (goose.OrderKey, bool) {
	key := c.Get(headerOrderKey)
	cat := e.config.Current()
	if key == "" || cat == nil || cat.Version() == 0 {
		return goose.OrderKey{}, false
	}
	s, ok := cat.Service(goose.ServiceName(service))
	w, known := workspaceOf(cat, c.Get(fiber.HeaderAuthorization))
	if !ok || !known || s.Idempotent {
		return goose.OrderKey{}, false
	}
	return goose.OrderKey{Workspace: w.Name, Service: s.Name, Key: strings.Clone(key)}, true
}

// restate corrects a refusal that says not-run for an order that an earlier
// request with its key ran or runs: for an order the refusal speaks of all runs
// under the key. A repeat of an order whose answer was kept gets that answer.
// If the store does not answer, no run is known. q may be nil.
func (e *Entry) restate(key goose.OrderKey, q *request, r *goose.Refusal) result {
	same := result{refusal: r}
	reader, ok := e.ledger.(goose.OrderReader)
	if !ok || r.Run != goose.RunStateNotRun {
		return same
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	o, found, err := reader.Lookup(ctx, key)
	if err != nil {
		c := recordUnread(*r)
		return result{refusal: &c}
	}
	if !found {
		return same
	}
	if q != nil && o.State == goose.OrderDone && o.AnswerKept && o.BodyHash == q.bodyHash {
		return recorded(o)
	}
	c := r.WithRun(runOf(o))
	return result{refusal: &c}
}
