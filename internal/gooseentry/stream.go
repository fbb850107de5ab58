package gooseentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// attemptResult is how an attempt ended.
type attemptResult int

const (
	// attemptDone means that the complete stream was passed on.
	attemptDone attemptResult = iota
	// attemptNotSent means that no byte was sent.
	attemptNotSent
	// attemptFailed means that the attempt failed and cannot be resumed.
	attemptFailed
	// attemptEnded means that the deadline passed or the caller disconnected.
	attemptEnded
	// attemptRefused means that the engine refused the request and a retry would
	// not help.
	attemptRefused
)

// resumePauses are the pauses before each try to resume a broken stream. An
// engine that is still unreachable after them counts as lost.
var resumePauses = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}

// attempt is one run of a request on an engine with one permit.
type attempt struct {
	job              *job
	permit           *goose.Permit
	grant            goose.ReplicaGrant
	proto            goose.Protocol
	id               goose.AttemptID
	process          string
	cold             bool
	sentAt           time.Time
	timeToFirstToken time.Duration
	startOffset      int
	err              error
	// ctx is the job's context. For an order it lasts until the deadline,
	// because the outcome of an order that was sent must be recorded.
	ctx context.Context
	// handles are the KV caches exported for this attempt. unknownHandleReplicas
	// are the replicas that may hold one whose ID is not known.
	handles               []goose.KVHandle
	unknownHandleReplicas []goose.ReplicaGrant
	// accepted is set once the engine has responded.
	accepted bool
}

// runModel runs a model request on engines.
func (j *job) runModel() result { return j.runAttempts(j.streamModel) }

// streamModel makes one attempt on the engine of a permit. If again is set, the
// request needs another attempt.
func (j *job) streamModel(proto goose.Protocol, p *goose.Permit) (res result, again bool) {
	a := &attempt{job: j, permit: p, grant: lastReplica(p), proto: proto, id: goose.AttemptID(p.ID), startOffset: j.offset, ctx: j.ctx}
	if j.req.isOrder() {
		a.ctx = j.workCtx
	}
	res, again = j.afterAttempt(a, a.run())
	if again {
		return result{}, true
	}
	return j.recordOrderOutcome(res, a), false
}

// recordOrderOutcome records the outcome of an order.
func (j *job) recordOrderOutcome(res result, a *attempt) result {
	switch {
	case j.claimedOrder == nil:
	case !j.mayHaveRun && res.refusal != nil:
		j.unclaimOrder()
	case res.refusal != nil:
		return j.recordUnknown(a.err)
	default:
		j.recordAnswer(goose.PlainResponse{
			Status: http.StatusOK, ContentType: "application/json", Body: j.orderAnswer.encode(), Process: a.process,
		})
	}
	return res
}

// acquirePermit obtains a permit. It returns a refusal if the request must end.
func (j *job) acquirePermit() (*goose.Permit, *goose.Refusal) {
	p, r := j.entry.acquirePermit(j.ctx, j.req, j.avoidReplicas)
	if j.ctx.Err() != nil {
		if p != nil {
			j.releasePermit(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
		}
		return nil, j.contextRefusal()
	}
	return p, r
}

// afterAttempt turns the end of an attempt into a result or, if again is set,
// another attempt.
func (j *job) afterAttempt(a *attempt, v attemptResult) (res result, again bool) {
	switch v {
	case attemptDone:
		j.clearSuspicion()
		return result{}, false
	case attemptEnded:
		return result{refusal: j.contextRefusal()}, false
	case attemptRefused:
		return result{refusal: statusRefusal(a.err)}, false
	case attemptNotSent:
		// An expired permit or a changed process takes no retry from the request.
		// The dispatcher learns of it by the permit report and takes it into
		// account for the next permit.
		if errors.Is(a.err, errPermitExpired) || errors.As(a.err, new(*goose.ProcessChangedError)) {
			j.expiredPermits++
			if j.expiredPermits < maxExpiredPermits {
				return result{}, true
			}
			return j.refusalResult(newRefusal(goose.CodeOverloaded, "permits-expired", "permits expired before use", time.Second)), false
		}
	}
	if j.entry.suspects.Grade(j.req.fingerprint) == goose.SuspicionCondemned {
		r := condemnedRefusal().WithRun(goose.RunStateUnknown)
		return j.refusalResult(&r), false
	}
	if (!j.req.isOrder() || !j.mayHaveRun) && j.takeRetry(a.grant.Replica) {
		return result{}, true
	}
	r := backendFailedRefusal("attempts-failed", a.err.Error())
	if v == attemptNotSent {
		c := r.WithRun(goose.RunStateNotRun)
		r = &c
	}
	return j.refusalResult(r), false
}

// clearSuspicion ends the suspicion of a request that finished while it ran
// alone.
func (j *job) clearSuspicion() {
	if j.req.isSuspect {
		j.entry.suspects.Clear(j.req.fingerprint)
	}
}

// statusRefusal turns an engine's error status into the request's refusal.
func statusRefusal(err error) *goose.Refusal {
	var s *goose.StatusError
	if errors.As(err, &s) && s.Status < http.StatusInternalServerError {
		return &goose.Refusal{Code: goose.CodeBadRequest, Message: s.Error(), Run: goose.RunStateUnknown, Reason: "refused-by-backend"}
	}
	return backendFailedRefusal("backend-error", err.Error())
}

func (a *attempt) run() attemptResult {
	for _, g := range a.permit.Replicas {
		a.job.entry.inFlight.add(g.Replica, a.permit.ID, inFlightRequest{a.job.req.fingerprint, g.Process})
		defer a.job.entry.inFlight.remove(g.Replica, a.permit.ID)
	}
	st, err := a.start()
	if err != nil {
		a.err = err
		if v, final := a.handleStartError(err); final {
			return v
		}
	}
	for {
		if st != nil {
			a.observeStream(st)
			err = a.passFrames(st)
			_ = st.Close()
			if err == nil {
				a.recordResponding(a.job.entry.clock.Now())
				a.finish(goose.OutcomeFinished)
				return attemptDone
			}
			a.err = err
		}
		if a.ctx.Err() != nil {
			a.abandon(goose.OutcomeCancelled)
			return attemptEnded
		}
		if st = a.resume(); st == nil {
			return a.endLost()
		}
	}
}

func (a *attempt) start() (goose.Stream, error) {
	check := a.job.sendCheck(a.permit)
	firstCheck := func() error {
		a.sentAt = a.job.entry.clock.Now()
		return check()
	}
	if len(a.permit.Replicas) > 1 {
		return a.startGiant(firstCheck)
	}
	return a.proto.Start(a.ctx, a.protocolAttempt(a.grant, firstCheck))
}

func (a *attempt) protocolAttempt(g goose.ReplicaGrant, check func() error) goose.Attempt {
	a.process = g.Process
	return goose.Attempt{
		ID: a.id, Address: g.Address, Epoch: a.permit.Epoch, Priority: a.permit.Priority,
		Path: a.job.req.path, Method: a.job.req.method, ContentType: a.job.req.contentType,
		Body: a.job.req.body.bytes(), Offset: a.job.offset, Process: g.Process, BeforeSend: check,
	}
}

// handleStartError handles an error of the start call. final is false if the
// engine may run the attempt nevertheless.
func (a *attempt) handleStartError(err error) (v attemptResult, final bool) {
	var status *goose.StatusError
	switch {
	case errors.Is(err, goose.ErrNotSent):
		return a.endNotSent(), true
	case errors.Is(err, errSegmentNotSent), a.grant != lastReplica(a.permit):
		// The replica of an earlier segment failed, so there is no stream to
		// resume yet.
		a.job.mayHaveRun = true
		return a.endLost(), true
	case errors.As(err, &status):
		if status.Status == http.StatusPreconditionFailed && len(a.handles) == 0 {
			// The fencing token is outdated, and the engine refused the attempt
			// before running it.
			return a.endNotSent(), true
		}
		a.job.mayHaveRun = true
		a.abandon(goose.OutcomeFailed)
		switch status.Status {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return attemptRefused, true
		}
		return attemptFailed, true
	}
	a.job.mayHaveRun = true
	return 0, false
}

// endNotSent ends an attempt that the engine did not accept.
func (a *attempt) endNotSent() attemptResult {
	// sendCheck has set the gate to sent, but the write after it sent nothing.
	if !a.job.mayHaveRun {
		a.job.gate.reset()
	}
	if changed := new(goose.ProcessChangedError); errors.As(a.err, &changed) {
		a.process, a.cold = changed.Process, changed.Cold
	} else {
		a.process, a.cold = "", false
	}
	a.finish(goose.OutcomeNotSent)
	if a.job.ctx.Err() != nil {
		return attemptEnded
	}
	return attemptNotSent
}

// observeStream records what the engine reports with its stream: its process,
// and whether it was cold.
func (a *attempt) observeStream(st goose.Stream) {
	a.accepted, a.job.mayHaveRun = true, true
	if p := st.Process(); p != "" {
		a.process = p
		a.job.entry.inFlight.add(a.grant.Replica, a.permit.ID, inFlightRequest{a.job.req.fingerprint, p})
	}
	a.cold = a.cold || st.Cold()
}

// passFrames passes frames on until the stream is complete or fails. It returns
// nil for a complete stream.
func (a *attempt) passFrames(st goose.Stream) error {
	for {
		f, err := st.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, goose.ErrDisconnected) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.timeToFirstToken == 0 && f.Tokens > 0 {
			a.timeToFirstToken = max(a.job.entry.clock.Now().Sub(a.sentAt), 1)
			firstTokenSeconds[a.job.req.class].Update(a.job.entry.clock.Now().Sub(a.job.req.created).Seconds())
			if n, ok := a.job.entry.permits.(prefillReporter); ok {
				n.ReportPrefilled(*a.permit)
			}
		}
		a.recordProgress()
		if err := a.passFrame(f); err != nil {
			return err
		}
	}
}

// passFrame passes a frame to the caller's handler.
func (a *attempt) passFrame(f goose.Frame) error {
	if a.job.req.isOrder() {
		a.job.orderAnswer.addFrame(f)
	}
	select {
	case a.job.frames <- f:
	case <-a.job.ctx.Done():
		if !a.job.req.isOrder() || a.ctx.Err() != nil {
			return context.Cause(a.job.ctx)
		}
	}
	a.job.modelFinished = a.job.modelFinished || f.Finished
	a.job.offset += f.Tokens
	a.job.passedTokens.Add(int64(f.Tokens))
	return nil
}

// firstTokenSeconds holds the histograms of the time to first token from the
// request's arrival, by length class.
var firstTokenSeconds = func() map[goose.LengthClass]*metrics.Histogram {
	all := map[goose.LengthClass]*metrics.Histogram{}
	for _, c := range []goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant} {
		all[c] = metrics.NewHistogram(fmt.Sprintf(`gooseberryhold_first_token_seconds{class=%q}`, c))
	}
	return all
}()

// prefillReporter is an optional interface of the PermitClient. ReportPrefilled
// is called when the prefill of a prompt has ended.
type prefillReporter interface{ ReportPrefilled(p goose.Permit) }

// resume resumes the stream at the job's offset. It returns nil if the stream
// is lost.
func (a *attempt) resume() goose.Stream {
	for _, pause := range resumePauses {
		if !goose.Sleep(a.ctx, pause) {
			return nil
		}
		st, err := a.proto.Resume(a.ctx, a.grant.Address, a.id, a.job.offset)
		switch {
		case err == nil:
			return st
		case errors.Is(err, goose.ErrStreamNotFound), errors.Is(err, syscall.ECONNREFUSED):
			return nil
		}
	}
	return nil
}

// endLost ends an attempt whose stream cannot be resumed.
func (a *attempt) endLost() attemptResult {
	if a.ctx.Err() != nil {
		a.abandon(goose.OutcomeCancelled)
		return attemptEnded
	}
	if a.allTokensPassed() && a.passFrame(goose.Frame{Attempt: a.id, Offset: a.job.offset, Last: true}) == nil {
		a.abandon(goose.OutcomeFinished)
		return attemptDone
	}
	if a.job.entry.processCrashed(a.ctx, a.proto, a.grant, a.process) {
		a.job.entry.recordCrash(a.grant.Replica, a.process)
		a.recordPartCrash()
		a.finish(goose.OutcomeCrashed)
		return attemptFailed
	}
	a.abandon(goose.OutcomeFailed)
	return attemptFailed
}

// allTokensPassed reports whether all tokens arrived and only the end marker is
// missing. An engine drops a stream that it has delivered, and another engine
// would generate more tokens.
func (a *attempt) allTokensPassed() bool {
	return a.job.offset > 0 && (a.job.modelFinished || a.job.offset >= a.job.req.outputTokens)
}

// crashCheckPauses are the pauses before each try to find out whether a process
// has crashed.
var crashCheckPauses = []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// processCrashed reports whether the process that ran an attempt no longer
// exists. A replica that does not respond at all may only be unreachable, so it
// does not count as crashed.
func (e *Entry) processCrashed(ctx context.Context, proto goose.Protocol, g goose.ReplicaGrant, process string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for _, pause := range crashCheckPauses {
		if !goose.Sleep(ctx, pause) {
			return false
		}
		report, err := proto.Load(ctx, g.Address)
		switch {
		case err == nil:
			return process != "" && report.Process != "" && report.Process != process
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
	}
	return false
}

func (e *Entry) recordCrash(id goose.ReplicaID, process string) {
	process, inFlight := e.inFlight.affectedByCrash(id, process)
	e.suspects.RecordCrash(id, process, inFlight)
}

// crashCheckTimeout bounds the check for a crash, because a retry waits for it.
const crashCheckTimeout = 1500 * time.Millisecond

func (a *attempt) permitReport(o goose.AttemptOutcome) goose.PermitReport {
	r := goose.PermitReport{
		Outcome: o, OutputTokens: a.job.offset - a.startOffset, TimeToFirstToken: a.timeToFirstToken,
		Replica: a.grant.Replica, Process: a.process, Cold: a.cold,
	}
	var status *goose.StatusError
	if errors.As(a.err, &status) {
		r.Leaving, r.Pause = status.Wish.Leaving, status.Wish.Pause
	}
	return r
}

// finish releases the permit after the KV caches of the attempt are deleted.
func (a *attempt) finish(o goose.AttemptOutcome) {
	if len(a.permit.Replicas) == 1 {
		a.job.releasePermit(a.permit, a.permitReport(o))
		return
	}
	// If one replica failed, those of other segments may still be working.
	a.releaseInBackground(o, o != goose.OutcomeFinished)
}

// abandon cancels the stream at the engine in the background and releases the
// permit once the engine has confirmed this, so that the capacity does not
// count as free while the engine is still working.
func (a *attempt) abandon(o goose.AttemptOutcome) { a.releaseInBackground(o, true) }

func (a *attempt) releaseInBackground(o goose.AttemptOutcome, cancel bool) {
	// The report is taken now because the job's next attempt may already run
	// during the clean-up.
	report := a.permitReport(o)
	a.job.entry.running.add()
	go func() {
		defer a.job.entry.running.done()
		a.cleanUp(cancel)
		a.job.releasePermit(a.permit, report)
	}()
}
