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

// verdict tells what to do after an attempt.
type verdict int

const (
	// verdictDone means that the whole answer was passed on.
	verdictDone verdict = iota
	// verdictNotSent means that no byte was sent.
	verdictNotSent
	// verdictFailed means that the attempt broke and cannot be resumed.
	verdictFailed
	// verdictEnded means that the deadline passed or the caller is gone.
	verdictEnded
	// verdictRefused means that the engine's answer is final.
	verdictRefused
)

// resumePauses are the waits before tries to resume a cut stream; an engine
// that is still unreachable after them counts as lost.
var resumePauses = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}

// attempt is one permit in use on an engine.
type attempt struct {
	j       *job
	p       *goose.Permit
	g       goose.ReplicaGrant
	proto   goose.Protocol
	id      goose.AttemptID
	process string
	cold    bool
	sent    time.Time
	first   time.Duration
	from    int
	err     error
	// ctx is the job's; for an order it lasts until the deadline, as an order
	// that was sent needs its outcome.
	ctx context.Context
	// handles are the KV caches exported for this attempt, and searched the
	// replicas that may hold one whose id is not known.
	handles  []goose.KVHandle
	searched []goose.ReplicaGrant
	// accepted is set once the engine answered.
	accepted bool
}

// runModel runs a request on engines.
func (j *job) runModel() result { return j.attempts(j.stream) }

// stream makes one attempt on the engine of a permit; again asks for another one.
func (j *job) stream(proto goose.Protocol, p *goose.Permit) (res result, again bool) {
	a := &attempt{j: j, p: p, g: target(p), proto: proto, id: goose.AttemptID(p.ID), from: j.taken, ctx: j.ctx}
	if j.q.order() {
		a.ctx = j.work
	}
	res, again = j.after(a, a.run())
	if again {
		return result{}, true
	}
	return j.close(res, a), false
}

// close records the outcome of an order.
func (j *job) close(res result, a *attempt) result {
	switch {
	case j.claimed == nil:
	case !j.ran && res.refusal != nil:
		j.unclaim()
	case res.refusal != nil:
		return j.unknown(a.err)
	default:
		j.finished(goose.PlainResponse{
			Status: http.StatusOK, ContentType: "application/json", Body: j.whole.render(), Process: a.process,
		})
	}
	return res
}

// permit acquires a permit; the refusal is set if the request must end.
func (j *job) permit() (*goose.Permit, *goose.Refusal) {
	p, r := j.e.acquire(j.ctx, j.q, j.avoid)
	if j.ctx.Err() != nil {
		if p != nil {
			j.release(p, goose.PermitReport{Outcome: goose.OutcomeNotSent})
		}
		return nil, j.ended()
	}
	return p, r
}

// after turns the end of an attempt into a result or another attempt.
func (j *job) after(a *attempt, v verdict) (res result, again bool) {
	switch v {
	case verdictDone:
		j.cleared()
		return result{}, false
	case verdictEnded:
		return result{refusal: j.ended()}, false
	case verdictRefused:
		return result{refusal: refusalOf(a.err)}, false
	case verdictNotSent:
		// Both cost the request nothing; the next permit is granted by what the
		// dispatcher has learnt.
		if errors.Is(a.err, errExpired) || errors.As(a.err, new(*goose.ProcessChangedError)) {
			j.expired++
			if j.expired < maxExpired {
				return result{}, true
			}
			return j.settle(refusal(goose.CodeOverloaded, "permits-expired", "permits expired before use", time.Second)), false
		}
	}
	if j.e.suspects.Grade(j.q.fingerprint) == goose.SuspicionCondemned {
		r := crashes().WithRun(goose.RunStateUnknown)
		return j.settle(&r), false
	}
	if (!j.q.order() || !j.ran) && j.mayRetry(a.g.Replica) {
		return result{}, true
	}
	r := failed("attempts-failed", a.err.Error())
	if v == verdictNotSent {
		c := r.WithRun(goose.RunStateNotRun)
		r = &c
	}
	return j.settle(r), false
}

// cleared ends the suspicion of a request that finished while it ran alone.
func (j *job) cleared() {
	if j.q.suspect {
		j.e.suspects.Clear(j.q.fingerprint)
	}
}

// refusalOf turns an engine's error status into the final answer.
func refusalOf(err error) *goose.Refusal {
	var s *goose.StatusError
	if errors.As(err, &s) && s.Status < http.StatusInternalServerError {
		return &goose.Refusal{Code: goose.CodeBadRequest, Message: s.Error(), Run: goose.RunStateUnknown, Reason: "refused-by-backend"}
	}
	return failed("backend-error", err.Error())
}

func (a *attempt) run() verdict {
	for _, g := range a.p.Replicas {
		a.j.e.flights.add(g.Replica, a.p.ID, flight{a.j.q.fingerprint, g.Process})
		defer a.j.e.flights.remove(g.Replica, a.p.ID)
	}
	st, err := a.start()
	if err != nil {
		a.err = err
		if v, final := a.startFailed(err); final {
			return v
		}
	}
	for {
		if st != nil {
			a.see(st)
			err = a.pump(st)
			_ = st.Close()
			if err == nil {
				a.end(goose.OutcomeFinished)
				return verdictDone
			}
			a.err = err
		}
		if a.ctx.Err() != nil {
			a.abandon(goose.OutcomeCancelled)
			return verdictEnded
		}
		if st = a.resume(); st == nil {
			return a.lost()
		}
	}
}

func (a *attempt) start() (goose.Stream, error) {
	check := a.j.check(a.p)
	first := func() error {
		a.sent = a.j.e.clock.Now()
		return check()
	}
	if len(a.p.Replicas) > 1 {
		return a.startGiant(first)
	}
	return a.proto.Start(a.ctx, a.request(a.g, first))
}

func (a *attempt) request(g goose.ReplicaGrant, check func() error) goose.Attempt {
	a.process = g.Process
	return goose.Attempt{
		ID: a.id, Address: g.Address, Epoch: a.p.Epoch, Priority: a.p.Priority,
		Path: a.j.q.path, Method: a.j.q.method, ContentType: a.j.q.contentType,
		Body: a.j.q.body.bytes(), Offset: a.j.taken, Process: g.Process, Check: check,
	}
}

// startFailed returns false if the engine may nevertheless run the attempt.
func (a *attempt) startFailed(err error) (v verdict, final bool) {
	var status *goose.StatusError
	switch {
	case errors.Is(err, goose.ErrNotSent):
		return a.notSent(), true
	case errors.Is(err, errSegment), a.g != target(a.p):
		// A segment's replica failed: there is no stream to resume yet.
		a.j.ran = true
		return a.lost(), true
	case errors.As(err, &status):
		if status.Status == http.StatusPreconditionFailed && len(a.handles) == 0 {
			// The fencing token is old: the engine refused the attempt unseen.
			return a.notSent(), true
		}
		a.j.ran = true
		a.abandon(goose.OutcomeFailed)
		switch status.Status {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return verdictRefused, true
		}
		return verdictFailed, true
	}
	a.j.ran = true
	return 0, false
}

// notSent ends an attempt that the engine did not take.
func (a *attempt) notSent() verdict {
	// The gate opens in Check, before the write that then sent nothing.
	if !a.j.ran {
		a.j.gate.reset()
	}
	if changed := new(goose.ProcessChangedError); errors.As(a.err, &changed) {
		a.process, a.cold = changed.Process, changed.Cold
	} else {
		a.process, a.cold = "", false
	}
	a.end(goose.OutcomeNotSent)
	if a.j.ctx.Err() != nil {
		return verdictEnded
	}
	return verdictNotSent
}

// see notes what the engine said about itself.
func (a *attempt) see(st goose.Stream) {
	a.accepted, a.j.ran = true, true
	if p := st.Process(); p != "" {
		a.process = p
		a.j.e.flights.add(a.g.Replica, a.p.ID, flight{a.j.q.fingerprint, p})
	}
	a.cold = a.cold || st.Cold()
}

// pump passes frames on until the answer is whole (nil) or broke.
func (a *attempt) pump(st goose.Stream) error {
	for {
		f, err := st.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, goose.ErrDisconnected) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.first == 0 && f.Tokens > 0 {
			a.first = max(a.j.e.clock.Now().Sub(a.sent), 1)
			firstTokens[a.j.q.class].Update(a.j.e.clock.Now().Sub(a.j.q.created).Seconds())
			if n, ok := a.j.e.permits.(prefillReporter); ok {
				n.ReportPrefilled(*a.p)
			}
		}
		if err := a.pass(f); err != nil {
			return err
		}
	}
}

// pass hands a frame to the caller's side.
func (a *attempt) pass(f goose.Frame) error {
	if a.j.q.order() {
		a.j.whole.add(f)
	}
	select {
	case a.j.frames <- f:
	case <-a.j.ctx.Done():
		if !a.j.q.order() || a.ctx.Err() != nil {
			return context.Cause(a.j.ctx)
		}
	}
	a.j.modelEnded = a.j.modelEnded || f.Finished
	a.j.taken += f.Tokens
	a.j.passed.Add(int64(f.Tokens))
	return nil
}

// firstTokens are the times to first token as callers see them, by length class.
var firstTokens = func() map[goose.LengthClass]*metrics.Histogram {
	all := map[goose.LengthClass]*metrics.Histogram{}
	for _, c := range []goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant} {
		all[c] = metrics.NewHistogram(fmt.Sprintf(`gooseberryhold_first_token_seconds{class=%q}`, c))
	}
	return all
}()

// prefillReporter is told when a prompt's prefill is over; Permits may implement it.
type prefillReporter interface{ ReportPrefilled(p goose.Permit) }

// resume returns nil if the stream is lost.
func (a *attempt) resume() goose.Stream {
	for _, pause := range resumePauses {
		if !goose.Sleep(a.ctx, pause) {
			return nil
		}
		st, err := a.proto.Resume(a.ctx, a.g.Address, a.id, a.j.taken)
		switch {
		case err == nil:
			return st
		case errors.Is(err, goose.ErrStreamNotFound), errors.Is(err, syscall.ECONNREFUSED):
			return nil
		}
	}
	return nil
}

// lost ends an attempt whose stream cannot be resumed.
func (a *attempt) lost() verdict {
	if a.ctx.Err() != nil {
		a.abandon(goose.OutcomeCancelled)
		return verdictEnded
	}
	if a.whole() && a.pass(goose.Frame{Attempt: a.id, Offset: a.j.taken, Last: true}) == nil {
		a.abandon(goose.OutcomeFinished)
		return verdictDone
	}
	if a.j.e.crashed(a.ctx, a.proto, a.g, a.process) {
		a.j.e.noteCrash(a.g.Replica, a.process)
		a.end(goose.OutcomeCrashed)
		return verdictFailed
	}
	a.abandon(goose.OutcomeFailed)
	return verdictFailed
}

// whole reports whether all tokens came and only the end marker is missing. An
// engine forgets a delivered stream, and another one would generate more.
func (a *attempt) whole() bool {
	return a.j.taken > 0 && (a.j.modelEnded || a.j.taken >= a.j.q.outputTokens)
}

// loadPauses are the waits before tries to learn what became of a process.
var loadPauses = []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// crashed reports whether the process that ran an attempt is no more. A
// replica that does not answer at all may only be cut off.
func (e *Entry) crashed(ctx context.Context, proto goose.Protocol, g goose.ReplicaGrant, process string) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for _, pause := range loadPauses {
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

func (e *Entry) noteCrash(id goose.ReplicaID, process string) {
	process, inFlight := e.flights.crashed(id, process)
	e.suspects.RecordCrash(id, process, inFlight)
}

// loadTimeout bounds the search for a crash, during which a retry waits.
const loadTimeout = 1500 * time.Millisecond

func (a *attempt) report(o goose.AttemptOutcome) goose.PermitReport {
	return goose.PermitReport{
		Outcome: o, OutputTokens: a.j.taken - a.from, TimeToFirstToken: a.first,
		Replica: a.g.Replica, Process: a.process, Cold: a.cold,
	}
}

// end releases the permit, after the KV caches of the attempt are deleted.
func (a *attempt) end(o goose.AttemptOutcome) {
	if len(a.p.Replicas) == 1 {
		a.j.release(a.p, a.report(o))
		return
	}
	// Replicas of earlier segments may still work if another one failed.
	a.later(o, o != goose.OutcomeFinished)
}

// abandon cancels the stream at the engine in the background and releases the
// permit once the engine confirmed it, so that the capacity is not counted free
// while the engine still works.
func (a *attempt) abandon(o goose.AttemptOutcome) { a.later(o, true) }

func (a *attempt) later(o goose.AttemptOutcome, cancel bool) {
	// The next attempt of the job may already run during the clean-up.
	report := a.report(o)
	a.j.e.running.add()
	go func() {
		defer a.j.e.running.leave()
		a.cleanUp(cancel)
		a.j.release(a.p, report)
	}()
}
