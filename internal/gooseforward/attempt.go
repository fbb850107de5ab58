package gooseforward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// outcome is how an attempt ended.
type outcome string

// Outcomes of attempts.
const (
	// outcomeDone means that the caller received the complete response.
	outcomeDone outcome = "done"
	// outcomeNotSent means that no byte of the request was sent to the replica.
	outcomeNotSent outcome = "not-sent"
	// outcomeNoMemory means that a helper replica did not reserve its part of the memory.
	outcomeNoMemory outcome = "no-memory"
	// outcomeNotRun means that the replica stated that it did not run the request.
	outcomeNotRun outcome = "not-run"
	// outcomeFailed means that the replica ran the request and responded with a failure.
	outcomeFailed outcome = "failed"
	// outcomeLost means that no complete response arrived; the request may have run.
	outcomeLost outcome = "lost"
	// outcomeSilent means that the replica sent nothing for longer than allowed.
	outcomeSilent outcome = "silent"
	// outcomeCallerDisconnected means that the caller has disconnected.
	outcomeCallerDisconnected outcome = "caller-gone"
	// outcomeDeadline means that the deadline of the request has passed.
	outcomeDeadline outcome = "deadline"
)

// result is the result of an attempt.
type result struct {
	outcome outcome
	// response is the replica's complete response if it is a failure that the caller may
	// receive.
	response *response
	status   int
	// faultAt names the helper replica at fault; it is empty if the serving replica itself
	// is at fault.
	faultAt string
	// draining is set if a replica that declined the request is being drained or has ended.
	draining bool
	err      error
	// timeToFirst is the time to the first event, or zero if none arrived.
	timeToFirst time.Duration
	// process is the state of the replica's process, probed if the response was lost.
	process processState
}

// placementRetryInterval is the interval between two attempts to place a request.
// A request waits for a cold replica during the objective divided by placementWaitDivisor.
const (
	placementRetryInterval = 40 * time.Millisecond
	placementWaitDivisor   = 8
)

// run tries replicas until the caller has its final response.
func (c *call) run() {
	var last result
	for {
		if !c.beginAttempt(last) {
			return
		}
		choice, obstacle := c.chooseReplica()
		if obstacle != gooseplacement.ObstacleNone {
			c.o.Quarantine.EndAttempt(c.suspicion)
			c.writeFailure(last, obstacle)
			return
		}
		if !c.beginSending(choice, last) {
			return
		}
		last = c.tryReplica(choice)
		switch last.outcome {
		case outcomeDone, outcomeCallerDisconnected:
			c.finish(last)
			return
		case outcomeFailed, outcomeLost, outcomeSilent:
			c.runs++
		}
		if !c.mayRetry(last) {
			c.writeFailure(last, gooseplacement.ObstacleNone)
			return
		}
	}
}

func (c *call) demand(now time.Time) gooseplacement.Demand {
	d := gooseplacement.Demand{
		Service: c.service, PromptTokens: c.header.PromptTokens, OutputTokens: c.expectedOutputTokens(),
		LongestPause: c.route.MaxPause, Objective: c.route.Objective, TimeLeft: c.deadline.Sub(now), CallerRetry: c.callerRetry, Avoid: c.avoided(now),
	}
	if c.committed || c.runs > 0 {
		// The caller has already waited, or has a part of the response, so that a late rest
		// is better than none.
		d.Objective = 0
	}
	return d
}

// expectedOutputTokens is the memory that the output is expected to need, in tokens.
func (c *call) expectedOutputTokens() int {
	if c.header.OutputEstimate > 0 {
		return min(c.header.OutputEstimate, c.header.OutputTokens)
	}
	if c.service.Engine != nil && c.service.Engine.MeanOutputTokens > 0 {
		return min(c.service.Engine.MeanOutputTokens, c.header.OutputTokens)
	}
	return c.header.OutputTokens
}

// mayRetry reports whether the request may be sent to another replica after the result.
func (c *call) mayRetry(last result) bool {
	now := c.o.Clock.Now()
	if c.ctx.Err() != nil || !now.Before(c.deadline) {
		return false
	}
	switch last.outcome {
	case outcomeNotSent:
		return true
	case outcomeNoMemory:
		return c.mayTryOthers(now)
	case outcomeNotRun:
		return c.mayTryOthers(now) && c.o.Budget.TakeRetry(c.service.Name, c.o.Clock.Now())
	case outcomeSilent:
		// The silence timer has already taken the retry from the budget.
		return c.route.Retryable()
	case outcomeFailed, outcomeLost:
		_, quarantined := c.o.Quarantine.Quarantined(c.subjects, now)
		return !quarantined && c.route.Retryable() && c.runs < c.route.MaxAttempts && c.o.Budget.TakeRetry(c.service.Name, now)
	}
	return false
}

// tryReplica sends the request to the chosen replica and forwards a successful response
// to the caller.
func (c *call) tryReplica(choice gooseplacement.Choice) result {
	c.attemptStart = c.o.Clock.Now()
	c.tried[choice.Replica.ID] = true
	c.timeToFirst = 0
	r := c.runAttempt(&choice)
	r.timeToFirst = c.timeToFirst
	weight := c.recordCrashEvidence(choice, &r)
	c.o.Quarantine.EndAttempt(c.suspicion)
	helperAtFault := c.recordDecline(choice, r)
	now := c.o.Clock.Now()
	failed := r.outcome == outcomeNotSent || r.outcome == outcomeLost || r.outcome == outcomeSilent || r.outcome == outcomeFailed ||
		r.outcome == outcomeNotRun && !helperAtFault
	suspension := c.o.Placer.RecordEnd(choice.AttemptID, failed, r.outcome == outcomeNotSent, now)
	a := gooseevent.Attempt{
		Replica: choice.Replica.ID, Outcome: string(r.outcome), Status: r.status, Helpers: helperIDs(choice),
		RequestsBefore: choice.Load.Requests, FaultAt: r.faultAt, Duration: now.Sub(c.attemptStart).Round(time.Microsecond).String(),
	}
	if choice.Expected > 0 {
		a.ExpectedTimeToFirst = choice.Expected.Round(time.Millisecond).String()
	}
	if r.timeToFirst > 0 {
		a.TimeToFirst = r.timeToFirst.Round(time.Millisecond).String()
	}
	if r.err != nil {
		a.Error = r.err.Error()
	}
	a.Process, a.Weight = string(r.process), weight
	c.attempts = append(c.attempts, a)
	c.o.Metrics.countAttempt(c.service.Name, r.outcome)
	if failed {
		gooseevent.AttemptFailed.Log(c.o.Log, slog.String("request", string(c.header.Attempt)),
			slog.String("fingerprint", c.fingerprintText()), slog.Any("parts", c.partTexts()), slog.Any("attempt", a))
	}
	if suspension > 0 {
		gooseevent.ReplicaSuspended.Log(c.o.Log, slog.String("replica", string(choice.Replica.ID)), slog.Duration("pause", suspension))
	}
	return r
}

func helperIDs(choice gooseplacement.Choice) []goose.ReplicaID { return replicaIDs(choice.Helpers) }

func replicaIDs(helpers []gooseplacement.Helper) []goose.ReplicaID {
	var ids []goose.ReplicaID
	for _, h := range helpers {
		ids = append(ids, h.Replica.ID)
	}
	return ids
}

// runAttempt reserves the memory of the helpers, sends the request and forwards the
// response. It changes the helpers in placed if some of them were replaced.
func (c *call) runAttempt(placed *gooseplacement.Choice) result {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	choice, release, err := c.reserve(ctx, *placed)
	*placed = choice
	if err != nil {
		return result{outcome: outcomeNoMemory, err: err}
	}
	defer release()
	silence := c.startSilenceTimer(choice, cancel)
	defer silence.Stop()
	u, err := send(ctx, choice.Replica.Address, c.outgoingRequest(choice))
	if err != nil {
		return c.classifyError(ctx, err)
	}
	defer u.close()
	header := c.o.HeaderCodec.ParseResponse(u.resp.StatusCode, u.resp.Header)
	c.recordWishes(choice.Replica, header, c.header.Attempt)
	if header.Attempt != "" && c.header.Attempt != "" && header.Attempt != c.header.Attempt {
		return result{outcome: outcomeLost, err: errors.Errorf("response belongs to attempt %q", header.Attempt)}
	}
	if c.route.Kind == goose.RouteStream && u.resp.StatusCode == http.StatusOK {
		return c.forwardStream(ctx, u, header, choice, silence)
	}
	return c.forwardResponse(ctx, u, header, choice, silence)
}

// classifyError returns the result of an attempt that ended without a complete response.
func (c *call) classifyError(ctx context.Context, err error) result {
	switch {
	case c.r.Context().Err() != nil:
		return result{outcome: outcomeCallerDisconnected, err: err}
	case errors.Is(err, goose.ErrNotSent) && c.ctx.Err() == nil:
		return result{outcome: outcomeNotSent, err: err}
	case c.ctx.Err() != nil:
		return result{outcome: outcomeDeadline, err: err}
	case errors.Is(context.Cause(ctx), errSilent):
		return result{outcome: outcomeSilent, err: errSilent}
	}
	return result{outcome: outcomeLost, err: err}
}

func (c *call) outgoingRequest(choice gooseplacement.Choice) outgoingRequest {
	f := goose.ForwardHeader{
		TimeLeft: c.deadline.Sub(c.o.Clock.Now()), Replica: choice.Replica.ID, Workspace: c.workspace.Name,
		Urgency: c.urgency, LastEvent: c.sequence.lastID,
	}
	for _, h := range choice.Helpers {
		helper := goose.PrefillHelper{Address: h.Replica.Address}
		if h.Tokens > 0 {
			helper.Ticket = c.ticket(choice)
		}
		f.Helpers = append(f.Helpers, helper)
	}
	return outgoingRequest{
		method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host,
		header: c.o.HeaderCodec.ForwardHeaders(c.r.Header, f), body: c.body,
	}
}

// finish records the end of a request whose response is complete or whose caller has
// disconnected.
func (c *call) finish(last result) {
	c.o.Metrics.countRequest(c.service.Name, string(last.outcome))
	gooseevent.RequestForwarded.Log(c.o.Log, append(c.logAttrs(), slog.String("outcome", string(last.outcome)))...)
	if last.outcome == outcomeCallerDisconnected {
		panic(http.ErrAbortHandler)
	}
}
