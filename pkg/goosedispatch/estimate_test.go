package goosedispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// promptRequest returns a request with 100 output tokens.
func promptRequest(id string, tokens int) goose.PermitRequest {
	q := request(id, tokens)
	q.OutputTokens = 100
	return q
}

// trainEstimate reports requests of an engine that computes 10,000 prompt tokens and
// generates 100 output tokens a second.
func (r *harness) trainEstimate(tokens int) {
	for i := range 10 {
		g := r.acquire(promptRequest(fmt.Sprint("learn", tokens, i), tokens), goose.PermitGranted).Permit
		first := time.Duration(tokens) * time.Second / 10_000
		time.Sleep(first)
		r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
		time.Sleep(time.Second)
		r.release(g, func(p *goose.PermitReport) { p.TimeToFirstToken = first })
	}
}

// Guards against requests that are granted although they wait in the engines' own queues
// until after their deadline, so that engines compute answers that nobody reads, and
// against refusals of requests that would be in time. When the estimate did not depend
// on the length of the answer, the longest answers were cut off at their deadline.
func TestAdmissionCountsEngineBacklog(t *testing.T) {
	tests := map[string]struct {
		// ahead are the prompt tokens of the requests granted before on the only engine.
		ahead  []int
		done   bool
		tokens int
		// output is the length of the answer.
		output int
		left   time.Duration
		want   goose.PermitStatus
	}{
		"in time":                             {[]int{10_000, 10_000}, false, 10_000, 100, 6 * time.Second, goose.PermitGranted},
		"too late":                            {[]int{10_000, 10_000, 10_000}, false, 10_000, 100, 6 * time.Second, goose.PermitRefused},
		"too late without backlog":            {nil, false, 40_000, 100, 4 * time.Second, goose.PermitRefused},
		"backlog is computed":                 {[]int{10_000, 10_000, 10_000}, true, 10_000, 100, 6 * time.Second, goose.PermitGranted},
		"short request overtakes longer ones": {[]int{10_000, 10_000, 10_000}, false, 5_000, 100, 3 * time.Second, goose.PermitGranted},
		"long answer is late":                 {[]int{10_000, 10_000}, false, 10_000, 300, 6 * time.Second, goose.PermitRefused},
		"short answer is in time":             {[]int{10_000, 10_000, 10_000}, false, 10_000, 10, 6 * time.Second, goose.PermitGranted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil, "a")
				r.run()
				r.warm()
				r.trainEstimate(5_000)
				r.trainEstimate(10_000)
				for i, n := range tt.ahead {
					g := r.acquire(promptRequest(fmt.Sprint("ahead", i), n), goose.PermitGranted).Permit
					if tt.done {
						r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					}
				}
				q := promptRequest("q", tt.tokens)
				q.TimeLeft, q.OutputTokens = tt.left, tt.output
				reply := r.tryAcquire(q)
				if reply.Status != tt.want {
					t.Fatalf("got %s %v, want %s", reply.Status, reply.Refusal, tt.want)
				}
				if reply.Status == goose.PermitRefused && (reply.Refusal.Code != goose.CodeOverloaded || reply.Refusal.Run != goose.RunStateNotRun || reply.Refusal.RetryAfter <= 0) {
					t.Errorf("refusal: got %+v, want overloaded, not-run and retry-after", reply.Refusal)
				}
			})
		})
	}
}

// Guards against an estimate that refuses all requests permanently, or keeps a replica
// without requests idle: refused requests add no observation that would correct it.
func TestEngineEstimateExpires(t *testing.T) {
	tests := map[string]struct {
		busy  bool
		after time.Duration
		want  goose.PermitStatus
	}{
		"idle, recent": {false, 0, goose.PermitRefused},
		"idle, older":  {false, idleEstimateAge + time.Second, goose.PermitGranted},
		"busy, older":  {true, idleEstimateAge + time.Second, goose.PermitRefused},
		"busy, old":    {true, estimateAge + time.Second, goose.PermitGranted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirms = true })
				r.run()
				r.warm()
				r.trainEstimate(10_000)
				if tt.busy {
					r.acquire(promptRequest("busy", 100), goose.PermitGranted)
				}
				time.Sleep(tt.after)
				q := promptRequest("q", 40_000)
				q.TimeLeft = 4 * time.Second
				if reply := r.tryAcquire(q); reply.Status != tt.want {
					t.Errorf("four seconds of work, four left: got %s, want %s", reply.Status, tt.want)
				}
			})
		})
	}
}

// Guards against requests that are granted although they can no longer finish in time
// after their wait, so that the engine's time is wasted.
func TestLateWaitingRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil, "a")
		r.run()
		r.warm()
		r.trainEstimate(20_000)
		for i := range 4 {
			r.acquire(promptRequest(fmt.Sprint("full", i), 24_000), goose.PermitGranted)
		}
		r.pool.mu.Lock()
		for id := range r.pool.permits {
			r.pool.replicas["a"].limiter.PrefillDone(id)
		}
		r.pool.mu.Unlock()
		q := promptRequest("q", 20_000)
		q.TimeLeft = 5 * time.Second
		start := time.Now()
		var reply goose.PermitReply
		for reply = r.pool.Acquire(t.Context(), q); reply.Status == goose.PermitWaiting; reply = r.pool.Acquire(t.Context(), q) {
		}
		if got := time.Since(start); reply.Refusal.Code != goose.CodeOverloaded || got < time.Second || got > 3*time.Second {
			t.Errorf("three seconds of work, five left, no capacity: got %s %v after %v, want overloaded after about 2s", reply.Status, reply.Refusal, got)
		}
	})
}

// Guards against a replica chosen by the policy that cannot answer in time while another
// one can, and against replicas that are excluded although they are in time.
func TestReplicasInTimeAreChosen(t *testing.T) {
	tests := map[string]struct {
		left time.Duration
		want goose.ReplicaID
	}{
		"first is late":    {6 * time.Second, "b"},
		"first is in time": {30 * time.Second, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil, "a", "b")
				r.run()
				r.warm()
				r.trainEstimate(10_000)
				r.pool.mu.Lock()
				r.pool.replicas["a"].limiter.Add("other", gooselimit.Demand{Tokens: 50_000, Prefill: 50_000, Priority: 1})
				r.pool.mu.Unlock()
				q := promptRequest("q", 10_000)
				q.TimeLeft = tt.left
				if got := r.acquire(q, goose.PermitGranted).Permit.Replicas[0].Replica; got != tt.want {
					t.Errorf("replica: got %s, want %s", got, tt.want)
				}
			})
		})
	}
}

// Guards against failed attempts that count as slow engines, so that requests are refused
// for half a minute after a failure, and against an estimate that leaves out requests
// that were cancelled because they waited too long.
func TestEngineEstimateCountsCancelledRequests(t *testing.T) {
	tests := map[goose.AttemptOutcome]goose.PermitStatus{
		goose.OutcomeNotSent:   goose.PermitGranted,
		goose.OutcomeFailed:    goose.PermitGranted,
		goose.OutcomeCancelled: goose.PermitRefused,
	}
	for outcome, want := range tests {
		t.Run(string(outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirms = true })
				r.run()
				r.warm()
				r.trainEstimate(10_000)
				for i := range 3 {
					g := r.acquire(promptRequest(fmt.Sprint("lost", i), 10_000), goose.PermitGranted).Permit
					time.Sleep(20 * time.Second)
					r.release(g, func(p *goose.PermitReport) { p.Outcome = outcome })
					r.refreshEstimate()
				}
				q := promptRequest("q", 10_000)
				q.TimeLeft = 4 * time.Second
				if reply := r.tryAcquire(q); reply.Status != want {
					t.Errorf("two seconds of work, four left: got %s %v, want %s", reply.Status, reply.Refusal, want)
				}
			})
		})
	}
}

// refreshEstimate keeps the estimate of the medium class from expiring.
func (r *harness) refreshEstimate() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.loadEstimate.engines.classOf(goose.ClassMedium).updatedAt = time.Now()
}

// runShortRequests runs short requests with 5,000 prompt tokens a second in total.
func (r *harness) runShortRequests(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		r.release(r.acquire(promptRequest(fmt.Sprint("short", time.Now().UnixNano()), 1_000), goose.PermitGranted).Permit, nil)
	}
}

// Guards against an estimate that counts only the prompts ahead of a request: at the start
// of an overload, requests were granted that later shorter requests made late, and after
// it requests that would have been in time were refused.
func TestEstimateCountsLaterShortRequests(t *testing.T) {
	tests := map[string]struct {
		shortDuringTraining, shortAfterTraining bool
		want                                    goose.PermitStatus
	}{
		"no short requests":              {false, false, goose.PermitGranted},
		"short requests after training":  {false, true, goose.PermitRefused},
		"short requests during training": {true, false, goose.PermitGranted},
		"short requests throughout":      {true, true, goose.PermitRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirms = true })
				r.run()
				r.warm()
				if !tt.shortDuringTraining {
					r.trainEstimate(10_000)
				}
				for i := 0; tt.shortDuringTraining && i < 10; i++ {
					g := r.acquire(promptRequest(fmt.Sprint("beside", i), 10_000), goose.PermitGranted).Permit
					r.runShortRequests(2 * time.Second)
					r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					time.Sleep(time.Second)
					r.release(g, func(p *goose.PermitReport) { p.TimeToFirstToken = 2 * time.Second })
				}
				r.acquire(promptRequest("busy", 100), goose.PermitGranted)
				if tt.shortAfterTraining {
					r.runShortRequests(8 * time.Second)
				} else {
					time.Sleep(8 * time.Second)
				}
				q := promptRequest("q", 20_000)
				q.TimeLeft = 5 * time.Second
				if reply := r.tryAcquire(q); reply.Status != tt.want {
					t.Errorf("two seconds of work and one of output, five left: got %s %v, want %s", reply.Status, reply.Refusal, tt.want)
				}
			})
		})
	}
}
