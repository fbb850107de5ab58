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
	// maxClaimRounds bounds how often one request claims an order whose other
	// runs end without effect.
	maxClaimRounds = 5
	// orderLookupTimeout bounds how long a refusal waits for the state of an
	// order.
	orderLookupTimeout = 200 * time.Millisecond
	// reasonRecordUnread is the reason of refusals for which the order's record
	// could not be read.
	reasonRecordUnread = "earlier-runs-not-read"
)

// claimOrder claims the order of a request that has one; ok means that the
// request may run. Otherwise the permit is released, and the request ends with
// res or, if again is set, needs another permit.
func (j *job) claimOrder(p *goose.Permit) (ok bool, res result, again bool) {
	if !j.req.isOrder() || j.claimedOrder != nil {
		return true, res, false
	}
	attempt := goose.AttemptID(p.ID)
	c := j.entry.ledger.Claim(j.ctx, j.req.orderKey, j.req.bodyHash, attempt)
	if c.Status == goose.ClaimGranted {
		j.claimedOrder = &c.Order
		if j.ctx.Err() == nil {
			return true, res, false
		}
		j.unclaimOrder()
	}
	j.releasePermit(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
	if c.Status == goose.ClaimRunning {
		// The outcome of the order is unknown until the run in progress ends.
		j.gate.allowSend()
		c = j.entry.ledger.WaitForOutcome(j.ctx, c.Order)
	}
	j.claimRounds++
	if c.Order.State == goose.OrderNotRun && j.claimRounds < maxClaimRounds && j.ctx.Err() == nil {
		j.gate.reset()
		return false, res, true
	}
	return false, j.claimResult(c, attempt), false
}

// claimResult returns the result of a request that may not run its order.
func (j *job) claimResult(c goose.Claim, attempt goose.AttemptID) result {
	switch c.Status {
	case goose.ClaimDone:
		return recordedResult(c.Order)
	case goose.ClaimKeyReused:
		return result{refusal: keyReusedRefusal(c.Order)}
	case goose.ClaimUnknown:
		return result{refusal: orderUnknownRefusal("")}
	}
	if j.ctx.Err() != nil {
		return result{refusal: j.contextRefusal()}
	}
	if c.Status == goose.ClaimUnavailable {
		return result{refusal: j.claimUnavailableRefusal(c.Order, attempt)}
	}
	return result{refusal: orderUnknownRefusal("still-running")}
}

// recordedResult returns the result for a repeat of an order that ran.
func recordedResult(o goose.Order) result {
	if !o.AnswerKept {
		return result{refusal: &goose.Refusal{
			Code: goose.CodeConflict, Run: goose.RunStateRan, Reason: "answer-not-kept",
			Message: "the order ran; its answer was not kept",
		}}
	}
	a := o.Answer
	return result{response: &a}
}

// runStateOf returns the run state of an order: what all runs under its key
// did.
func runStateOf(o goose.Order) goose.RunState {
	switch o.State {
	case goose.OrderDone:
		return goose.RunStateRan
	case goose.OrderNotRun:
		return goose.RunStateNotRun
	}
	return goose.RunStateUnknown
}

func keyReusedRefusal(o goose.Order) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeKeyReused, Run: runStateOf(o), Message: "the key was used with another request", Reason: string(o.State),
	}
}

// claimUnavailableRefusal returns the refusal of an order whose claim the store
// did not confirm. The ledger may return the record that it tried to write;
// then nothing is known of any run.
func (j *job) claimUnavailableRefusal(o goose.Order, attempt goose.AttemptID) *goose.Refusal {
	r := goose.Refusal{
		Code: goose.CodeStoreUnavailable, Run: runStateOf(o), RetryAfter: 2 * time.Second,
		Message: "the store did not confirm the claim", Reason: "claim",
	}
	if o.State == "" || o.Attempt == attempt {
		_ = j.gate.close()
		r = markRecordUnread(r)
	}
	return &r
}

// markRecordUnread changes the refusal of an order whose record could not be
// read: this request did not run, but an earlier one with its key may have. A
// caller that is told not-run could place the order in another way, and the
// order would run twice.
func markRecordUnread(r goose.Refusal) goose.Refusal {
	r.Run, r.Reason = goose.RunStateUnknown, reasonRecordUnread
	r.Message += "; this request did not run, earlier ones with its key could not be checked"
	return r
}

func orderUnknownRefusal(reason string) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeOrderUnknown, Run: goose.RunStateUnknown, Reason: reason,
		Message: "it is not known whether the order ran; it will not run again",
	}
}

// unclaimOrder records that a claimed order did not run.
func (j *job) unclaimOrder() {
	if j.claimedOrder != nil {
		j.entry.ledger.MarkNotRun(*j.claimedOrder)
		j.claimedOrder = nil
	}
}

// recordAnswer stores the answer of a claimed order.
func (j *job) recordAnswer(a goose.PlainResponse) {
	if j.claimedOrder != nil {
		j.entry.ledger.MarkDone(*j.claimedOrder, a)
	}
}

// recordUnknown records that a claimed order was sent and that no complete
// response came. If the deadline has passed, the refusal is that of the
// deadline.
func (j *job) recordUnknown(err error) result {
	j.entry.ledger.MarkUnknown(*j.claimedOrder)
	gooseevent.OrderOutcomeUnknown.Log(j.entry.log, "request", j.req.id, "workspace", j.req.workspace,
		"service", j.req.service.Name, "error", err)
	if j.workCtx.Err() != nil {
		return result{refusal: j.contextRefusal()}
	}
	return result{refusal: orderUnknownRefusal("answer-lost")}
}

// orderKeyOf returns the key of the order that a request names. It needs only
// the headers, so that it also works for a request that was refused before its
// body was read.
func (e *Entry) orderKeyOf(c fiber.Ctx, service string) (goose.OrderKey, bool) {
	key := c.Get(headerOrderKey)
	catalogue := e.config.Current()
	if key == "" || catalogue == nil || catalogue.Version() == 0 {
		return goose.OrderKey{}, false
	}
	s, ok := catalogue.Service(goose.ServiceName(service))
	w, known := workspaceOf(catalogue, c.Get(fiber.HeaderAuthorization))
	if !ok || !known || s.Idempotent {
		return goose.OrderKey{}, false
	}
	return goose.OrderKey{Workspace: w.Name, Service: s.Name, Key: strings.Clone(key)}, true
}

// correctRefusal corrects a refusal that says not-run although an earlier
// request with the same order key ran or runs: the refusal of an order
// describes all runs under the key. A repeat of an order whose answer is stored
// gets that answer. If the store does not respond, the run state is unknown.
// req may be nil.
func (e *Entry) correctRefusal(key goose.OrderKey, req *request, r *goose.Refusal) result {
	same := result{refusal: r}
	reader, ok := e.ledger.(goose.OrderReader)
	if !ok || r.Run != goose.RunStateNotRun {
		return same
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLookupTimeout)
	defer cancel()
	o, found, err := reader.Lookup(ctx, key)
	if err != nil {
		c := markRecordUnread(*r)
		return result{refusal: &c}
	}
	if !found {
		return same
	}
	if req != nil && o.State == goose.OrderDone && o.AnswerKept && o.BodyHash == req.bodyHash {
		return recordedResult(o)
	}
	c := r.WithRun(runStateOf(o))
	return result{refusal: &c}
}
