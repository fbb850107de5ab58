package gooseentry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

var (
	errCallerDisconnected = errors.New("caller gone")
	errDeadline           = errors.New("deadline of the request passed")
	errNotRunReported     = errors.New("the caller was already told that the request did not run")
	errPermitExpired      = errors.New("permit expired before use")
)

// frameBufferSize is the number of frames that the worker may be ahead of the
// caller. A full buffer stops the worker's reads, and TCP flow control then
// slows the engine down.
const frameBufferSize = 64

// job is one admitted request that is being run. Its worker goroutine sends
// frames and then one result; the caller's handler reads both.
type job struct {
	entry *Entry
	req   *request
	// ctx ends at the deadline or when the caller has disconnected.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// workCtx ends at the deadline only. Plain calls use it because they cannot
	// be cancelled and continue without their caller.
	workCtx    context.Context
	cancelWork context.CancelFunc

	gate   sendGate
	frames chan goose.Frame
	result chan result
	// refs counts the worker and the caller's handler. The work context is
	// cancelled when both have ended.
	refs atomic.Int32
	// offset counts the output tokens passed to the caller's handler; only the
	// worker uses it. passedTokens is the same count for both goroutines, and
	// flushedTokens counts the tokens written to the caller.
	offset int
	// modelFinished is set once the model's last token has arrived.
	modelFinished  bool
	passedTokens   atomic.Int64
	flushedTokens  atomic.Int64
	avoidReplicas  []goose.ReplicaID
	retries        int
	expiredPermits int
	// mayHaveRun is set once an attempt may have had an effect.
	mayHaveRun   bool
	claimedOrder *goose.Order
	claimRounds  int
	// orderAnswer collects the answer of a streamed order for the order's
	// record.
	orderAnswer responseBuilder
	// suspicion is what was known of the parts of the prompt when the current attempt began;
	// nil between attempts.
	suspicion *goosequarantine.Attempt
}

// result is the end of a job: a refusal, a complete response, or neither after
// a complete stream.
type result struct {
	refusal  *goose.Refusal
	response *goose.PlainResponse
}

func (e *Entry) newJob(req *request) *job {
	left := req.deadline.Sub(e.clock.Now())
	workCtx, cancelWork := context.WithTimeoutCause(context.Background(), left, errDeadline)
	ctx, cancel := context.WithCancelCause(workCtx)
	e.retries.countRequest()
	j := &job{
		entry: e, req: req, ctx: ctx, cancel: cancel, workCtx: workCtx, cancelWork: cancelWork,
		frames: make(chan goose.Frame, frameBufferSize), result: make(chan result, 1), orderAnswer: responseBuilder{id: req.id, req: req},
	}
	j.refs.Store(2)
	return j
}

// start starts the worker. The job counts as running until its worker has
// ended.
func (j *job) start(run func(*job) result) {
	j.entry.running.add()
	go func() {
		defer j.entry.running.done()
		defer j.req.body.release()
		j.result <- run(j)
		j.unref()
	}()
}

// runAttempts obtains permits and makes an attempt with each until the request
// has a result. An order is claimed after its permit was granted.
func (j *job) runAttempts(attempt func(goose.Protocol, *goose.Permit) (result, bool)) result {
	proto, err := j.entry.cachedProtocol(j.req.service.Protocol)
	if err != nil {
		return j.refusalResult(newRefusal(goose.CodeNotReady, "protocol", err.Error(), time.Second))
	}
	defer j.endAttempt()
	for {
		if r := j.beginAttempt(); r != nil {
			j.unclaimOrder()
			return j.refusalResult(r)
		}
		p, r := j.acquirePermit()
		if r != nil {
			j.unclaimOrder()
			return j.refusalResult(r)
		}
		if r := j.beginSending(); r != nil {
			j.releasePermit(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
			j.unclaimOrder()
			return j.refusalResult(r)
		}
		ok, res, again := j.claimOrder(p)
		if again {
			continue
		}
		if !ok {
			return res
		}
		res, again = j.runAttempt(proto, p, attempt)
		j.endAttempt()
		if !again {
			return res
		}
	}
}

// runAttempt makes one attempt. The trial of a suspect is announced before it:
// if this instance dies, it is unknown whether the request crashed this backend
// server, so other instances must not run it on another one.
func (j *job) runAttempt(proto goose.Protocol, p *goose.Permit, attempt func(goose.Protocol, *goose.Permit) (result, bool)) (result, bool) {
	if j.entry.suspects.BeginTrial(j.ctx, j.req.fingerprint) {
		defer j.entry.suspects.EndTrial(j.req.fingerprint)
	}
	return attempt(proto, p)
}

func (j *job) unref() {
	if j.refs.Add(-1) == 0 {
		j.cancelWork()
	}
}

// detachCaller ends the caller's part in the job and cancels ctx. Work that
// uses workCtx, such as a plain call or an order, continues.
func (j *job) detachCaller() {
	if j.flushedTokens.Load() < j.passedTokens.Load() {
		countWastedTokens(j.wasteCause(), int(j.passedTokens.Load()-j.flushedTokens.Load()))
	}
	j.cancel(errCallerDisconnected)
	j.unref()
}

func (j *job) wasteCause() string {
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, errCallerDisconnected):
		return "caller-gone"
	case errors.Is(cause, errDeadline):
		return "deadline"
	}
	return "failed"
}

// contextRefusal returns the refusal for a request whose context has ended.
func (j *job) contextRefusal() *goose.Refusal {
	run := j.gate.close()
	if errors.Is(context.Cause(j.ctx), errCallerDisconnected) {
		return &goose.Refusal{Code: goose.CodeDeadline, Message: errCallerDisconnected.Error(), Run: run, Reason: "caller-gone"}
	}
	r := goose.Refusal{Code: goose.CodeDeadline, Message: errDeadline.Error(), Run: run}
	if run == goose.RunStateNotRun {
		r.RetryAfter = goose.RetryAfterDefault
	}
	return &r
}

// refusalResult returns a refusal as the result. A refusal that says not-run is
// corrected if the request may have run.
func (j *job) refusalResult(r *goose.Refusal) result {
	if r.Run == goose.RunStateNotRun {
		if run := j.gate.close(); run != goose.RunStateNotRun {
			c := r.WithRun(run)
			r = &c
		}
	}
	return result{refusal: r}
}

// takeRetry takes one retry from the request's limit and from the instance's
// retry budget. It returns false if either is used up or ctx has ended.
func (j *job) takeRetry(failed goose.ReplicaID) bool {
	if j.retries >= maxRetries || j.ctx.Err() != nil || !j.entry.retries.takeRetry() {
		return false
	}
	j.retries++
	j.avoidReplicas = append(j.avoidReplicas, failed)
	metrics.GetOrCreateCounter(`gooseberryhold_retries_total`).Inc()
	return true
}

const (
	maxRetries = 2
	// maxExpiredPermits bounds the permits of one request that expire before
	// use.
	maxExpiredPermits = 5
)

// sendCheck returns the check that runs directly before the first byte is sent:
// the permit must be valid, and the caller must not have received a refusal yet
// that states that the request did not run.
func (j *job) sendCheck(p *goose.Permit) func() error {
	return func() error {
		if !p.Valid(j.entry.clock.Now()) {
			return errPermitExpired
		}
		if !j.gate.allowSend() {
			return errNotRunReported
		}
		j.entry.permits.ReportStarted(*p)
		return nil
	}
}

func (j *job) releasePermit(p *goose.Permit, r goose.PermitReport) {
	r.Permit, r.Pool, r.Instance, r.Phase = p.ID, p.Pool, j.entry.instance, goose.PhaseReleased
	if r.Replica == "" {
		r.Replica = lastReplica(p).Replica
	}
	j.entry.permits.Release(r)
}

// lastReplica returns the last replica of the permit, which generates the
// output.
func lastReplica(p *goose.Permit) goose.ReplicaGrant { return p.Replicas[len(p.Replicas)-1] }

// countWastedTokens counts tokens that an engine generated and that were not
// delivered to a caller.
func countWastedTokens(cause string, tokens int) {
	if tokens > 0 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_wasted_tokens_total{cause=%q}`, cause)).Add(tokens)
	}
}

func backendFailedRefusal(reason, message string) *goose.Refusal {
	return &goose.Refusal{
		Code: goose.CodeBackendFailed, Message: message, Run: goose.RunStateUnknown, Reason: reason, RetryAfter: time.Second,
	}
}
