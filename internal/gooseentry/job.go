package gooseentry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var (
	errCallerGone = errors.New("caller gone")
	errDeadline   = errors.New("deadline of the request passed")
	errTold       = errors.New("the caller was already told that the request did not run")
	errExpired    = errors.New("permit expired before use")
)

// frameBuffer lets the reader of an engine run ahead of a caller; a full buffer
// holds the engine back through TCP.
const frameBuffer = 64

// job is one admitted request on its way. Its worker sends frames and then one
// result; the caller's side reads both.
type job struct {
	e *Entry
	q *request
	// ctx ends at the deadline or when the caller is gone.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// work ends at the deadline only; plain calls cannot be cancelled and run on.
	work   context.Context
	finish context.CancelFunc

	gate   sendGate
	frames chan goose.Frame
	result chan result
	// parties are the worker and the caller's side; the last one to leave ends
	// the work context.
	parties atomic.Int32
	// taken counts the output tokens passed to the caller's side, for the worker;
	// passed does so for both sides, and flushed counts those written to the caller.
	taken int
	// modelEnded is set once the model's last token came.
	modelEnded bool
	passed     atomic.Int64
	flushed    atomic.Int64
	avoid      []goose.ReplicaID
	retried    int
	expired    int
	// ran is set once an attempt may have had an effect.
	ran     bool
	claimed *goose.Order
	rounds  int
	// whole collects the answer of a streamed order for its record.
	whole collector
}

// result ends a job: a refusal, a plain answer, or neither after a whole stream.
type result struct {
	refusal *goose.Refusal
	answer  *goose.PlainResponse
}

func (e *Entry) newJob(q *request) *job {
	left := q.deadline.Sub(e.clock.Now())
	work, finish := context.WithTimeoutCause(context.Background(), left, errDeadline)
	ctx, cancel := context.WithCancelCause(work)
	e.retries.request()
	j := &job{
		e: e, q: q, ctx: ctx, cancel: cancel, work: work, finish: finish,
		frames: make(chan goose.Frame, frameBuffer), result: make(chan result, 1), whole: collector{id: q.id, q: q},
	}
	j.parties.Store(2)
	return j
}

// start runs the worker; the job counts as running until it has ended.
func (j *job) start(run func(*job) result) {
	j.e.running.add()
	go func() {
		defer j.e.running.leave()
		defer j.q.body.release()
		j.result <- run(j)
		j.part()
	}()
}

// attempts obtains permits and makes an attempt with each until the request has
// a final answer. An order is claimed after its permit was granted.
func (j *job) attempts(one func(goose.Protocol, *goose.Permit) (result, bool)) result {
	proto, err := j.e.protocolOf(j.q.service.Protocol)
	if err != nil {
		return j.settle(refusal(goose.CodeNotReady, "protocol", err.Error(), time.Second))
	}
	for {
		p, r := j.permit()
		if r != nil {
			j.unclaim()
			return j.settle(r)
		}
		ok, res, again := j.owns(p)
		if again {
			continue
		}
		if !ok {
			return res
		}
		if res, again := j.tryOnce(proto, p, one); !again {
			return res
		}
	}
}

// tryOnce makes one attempt. The run of a suspect is announced before: if this
// instance dies, others must not run it on another backend server, as nobody knows
// whether it crashed this one.
func (j *job) tryOnce(proto goose.Protocol, p *goose.Permit, one func(goose.Protocol, *goose.Permit) (result, bool)) (result, bool) {
	if j.e.suspects.BeginTrial(j.ctx, j.q.fingerprint) {
		defer j.e.suspects.EndTrial(j.q.fingerprint)
	}
	return one(proto, p)
}

func (j *job) part() {
	if j.parties.Add(-1) == 0 {
		j.finish()
	}
}

// leave ends the caller's side; work that was not cancelled by then runs on.
func (j *job) leave() {
	if j.flushed.Load() < j.passed.Load() {
		waste(j.wasteCause(), int(j.passed.Load()-j.flushed.Load()))
	}
	j.cancel(errCallerGone)
	j.part()
}

func (j *job) wasteCause() string {
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errCallerGone):
		return "caller-gone"
	case errors.Is(cause, errDeadline):
		return "deadline"
	}
	return "failed"
}

// ended returns the refusal for a request whose context has ended.
func (j *job) ended() *goose.Refusal {
	run := j.gate.close()
	if errors.Is(context.Cause(j.ctx), errCallerGone) {
		return &goose.Refusal{Code: goose.CodeDeadline, Message: errCallerGone.Error(), Run: run, Reason: "caller-gone"}
	}
	r := goose.Refusal{Code: goose.CodeDeadline, Message: errDeadline.Error(), Run: run}
	if run == goose.RunStateNotRun {
		r.RetryAfter = goose.RetryAfterDefault
	}
	return &r
}

// settle completes a refusal with what the request did so far.
func (j *job) settle(r *goose.Refusal) result {
	if r.Run == goose.RunStateNotRun {
		if run := j.gate.close(); run != goose.RunStateNotRun {
			c := r.WithRun(run)
			r = &c
		}
	}
	return result{refusal: r}
}

// mayRetry spends one retry of the request and of the instance's budget.
func (j *job) mayRetry(failed goose.ReplicaID) bool {
	if j.retried >= maxRetries || j.ctx.Err() != nil || !j.e.retries.retry() {
		return false
	}
	j.retried++
	j.avoid = append(j.avoid, failed)
	metrics.GetOrCreateCounter(`gooseberryhold_retries_total`).Inc()
	return true
}

const (
	maxRetries = 2
	// maxExpired bounds the permits that one request lets expire before use.
	maxExpired = 5
)

// check is the last step before the first byte: the permit must be valid and
// the caller not yet told that the request did not run.
func (j *job) check(p *goose.Permit) func() error {
	return func() error {
		if !p.Valid(j.e.clock.Now()) {
			return errExpired
		}
		if !j.gate.send() {
			return errTold
		}
		j.e.permits.ReportStarted(*p)
		return nil
	}
}

func (j *job) release(p *goose.Permit, r goose.PermitReport) {
	r.Permit, r.Pool, r.Instance, r.Phase = p.ID, p.Pool, j.e.instance, goose.PhaseReleased
	if r.Replica == "" {
		r.Replica = target(p).Replica
	}
	j.e.permits.Release(r)
}

// target is the replica that writes the answer: the last one of the permit.
func target(p *goose.Permit) goose.ReplicaGrant { return p.Replicas[len(p.Replicas)-1] }

// waste counts tokens that an engine generated and no caller got.
func waste(cause string, tokens int) {
	if tokens > 0 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_wasted_tokens_total{cause=%q}`, cause)).Add(tokens)
	}
}

func failed(reason, message string) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeBackendFailed, Message: message, Run: goose.RunStateUnknown, Reason: reason, RetryAfter: time.Second,
	}
}
