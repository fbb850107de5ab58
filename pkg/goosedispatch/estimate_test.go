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
func (h *harness) trainEstimate(tokens int) {
	for i := range 10 {
		g := h.acquire(promptRequest(fmt.Sprint("learn", tokens, i), tokens), goose.PermitGranted).Permit
		first := time.Duration(tokens) * time.Second / 10_000
		time.Sleep(first)
		h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
		time.Sleep(time.Second)
		h.release(g, func(p *goose.PermitReport) { p.TimeToFirstToken = first })
	}
}

// Guards against requests that are granted although they wait in the engines' own queues
// until after their deadline, so that engines compute responses that no caller reads, and
// against refusals of requests that would be in time. When the estimate did not depend on
// the output length, the longest responses were cut off at their deadline.
func TestAdmissionCountsEngineBacklog(t *testing.T) {
	tests := map[string]struct {
		// ahead are the prompt tokens of the requests granted before on the only engine.
		ahead  []int
		done   bool
		tokens int
		// output is the number of output tokens.
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
				h := newHarness(t, nil, "a")
				h.run()
				h.warm()
				h.trainEstimate(5_000)
				h.trainEstimate(10_000)
				for i, n := range tt.ahead {
					g := h.acquire(promptRequest(fmt.Sprint("ahead", i), n), goose.PermitGranted).Permit
					if tt.done {
						h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					}
				}
				q := promptRequest("q", tt.tokens)
				q.TimeLeft, q.OutputTokens = tt.left, tt.output
				reply := h.tryAcquire(q)
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
				h := newHarness(t, nil, "a")
				h.holders.set(func(f *fakeHolders) { f.confirms = true })
				h.run()
				h.warm()
				h.trainEstimate(10_000)
				if tt.busy {
					h.acquire(promptRequest("busy", 100), goose.PermitGranted)
				}
				time.Sleep(tt.after)
				q := promptRequest("q", 40_000)
				q.TimeLeft = 4 * time.Second
				if reply := h.tryAcquire(q); reply.Status != tt.want {
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
		h := newHarness(t, nil, "a")
		h.run()
		h.warm()
		h.trainEstimate(20_000)
		for i := range 4 {
			h.acquire(promptRequest(fmt.Sprint("full", i), 24_000), goose.PermitGranted)
		}
		h.pool.mu.Lock()
		for id := range h.pool.permits {
			h.pool.replicas["a"].limiter.PrefillDone(id)
		}
		h.pool.mu.Unlock()
		q := promptRequest("q", 20_000)
		q.TimeLeft = 5 * time.Second
		start := time.Now()
		var reply goose.PermitReply
		for reply = h.pool.Acquire(t.Context(), q); reply.Status == goose.PermitWaiting; reply = h.pool.Acquire(t.Context(), q) {
		}
		if got := time.Since(start); reply.Refusal.Code != goose.CodeOverloaded || got < time.Second || got > 3*time.Second {
			t.Errorf("three seconds of work, five left, no capacity: got %s %v after %v, want overloaded after about 2s", reply.Status, reply.Refusal, got)
		}
	})
}

// Guards against a replica chosen by the policy that cannot respond in time while another
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
				h := newHarness(t, nil, "a", "b")
				h.run()
				h.warm()
				h.trainEstimate(10_000)
				h.pool.mu.Lock()
				h.pool.replicas["a"].limiter.Add("other", gooselimit.Demand{Tokens: 50_000, Prefill: 50_000, Priority: 1})
				h.pool.mu.Unlock()
				q := promptRequest("q", 10_000)
				q.TimeLeft = tt.left
				if got := h.acquire(q, goose.PermitGranted).Permit.Replicas[0].Replica; got != tt.want {
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
				h := newHarness(t, nil, "a")
				h.holders.set(func(f *fakeHolders) { f.confirms = true })
				h.run()
				h.warm()
				h.trainEstimate(10_000)
				for i := range 3 {
					g := h.acquire(promptRequest(fmt.Sprint("lost", i), 10_000), goose.PermitGranted).Permit
					time.Sleep(20 * time.Second)
					h.release(g, func(p *goose.PermitReport) { p.Outcome = outcome })
					h.refreshEstimate()
				}
				q := promptRequest("q", 10_000)
				q.TimeLeft = 4 * time.Second
				if reply := h.tryAcquire(q); reply.Status != want {
					t.Errorf("two seconds of work, four left: got %s %v, want %s", reply.Status, reply.Refusal, want)
				}
			})
		})
	}
}

// refreshEstimate keeps the estimate of the medium class from expiring.
func (h *harness) refreshEstimate() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.pool.loadEstimate.engines.classOf(goose.ClassMedium).updatedAt = time.Now()
}

// runShortRequests runs short requests with 5,000 prompt tokens a second in total.
func (h *harness) runShortRequests(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		h.release(h.acquire(promptRequest(fmt.Sprint("short", time.Now().UnixNano()), 1_000), goose.PermitGranted).Permit, nil)
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
				h := newHarness(t, nil, "a")
				h.holders.set(func(f *fakeHolders) { f.confirms = true })
				h.run()
				h.warm()
				if !tt.shortDuringTraining {
					h.trainEstimate(10_000)
				}
				for i := 0; tt.shortDuringTraining && i < 10; i++ {
					g := h.acquire(promptRequest(fmt.Sprint("beside", i), 10_000), goose.PermitGranted).Permit
					h.runShortRequests(2 * time.Second)
					h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					time.Sleep(time.Second)
					h.release(g, func(p *goose.PermitReport) { p.TimeToFirstToken = 2 * time.Second })
				}
				h.acquire(promptRequest("busy", 100), goose.PermitGranted)
				if tt.shortAfterTraining {
					h.runShortRequests(8 * time.Second)
				} else {
					time.Sleep(8 * time.Second)
				}
				q := promptRequest("q", 20_000)
				q.TimeLeft = 5 * time.Second
				if reply := h.tryAcquire(q); reply.Status != tt.want {
					t.Errorf("two seconds of work and one of output, five left: got %s %v, want %s", reply.Status, reply.Refusal, tt.want)
				}
			})
		})
	}
}
