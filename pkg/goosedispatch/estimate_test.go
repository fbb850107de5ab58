package goosedispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// prompt returns a request for an answer of 100 tokens.
func prompt(id string, tokens int) goose.PermitRequest {
	q := request(id, tokens)
	q.OutputTokens = 100
	return q
}

// learn lets the dispatcher see an engine that computes 10,000 prompt tokens
// and makes 100 output tokens a second.
func (r *rig) learn(tokens int) {
	for i := range 10 {
		g := r.acquire(prompt(fmt.Sprint("learn", tokens, i), tokens), goose.PermitGranted).Permit
		first := time.Duration(tokens) * time.Second / 10_000
		time.Sleep(first)
		r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
		time.Sleep(time.Second)
		r.release(g, func(p *goose.PermitReport) { p.First = first })
	}
}

// Guards against requests that are granted although the engines' own queues
// keep them until after their deadline, so that engines compute for nobody, and
// against refusals of requests that would be in time. Answers of all lengths
// counted alike, those of most tokens were cut off at their deadline.
func TestAdmissionCountsTheEnginesQueues(t *testing.T) {
	tests := map[string]struct {
		// ahead are the prompts that the only engine has to compute.
		ahead  []int
		done   bool
		tokens int
		// output is the length of the answer.
		output int
		left   time.Duration
		want   goose.PermitStatus
	}{
		"in time":                       {[]int{10_000, 10_000}, false, 10_000, 100, 6 * time.Second, goose.PermitGranted},
		"too late":                      {[]int{10_000, 10_000, 10_000}, false, 10_000, 100, 6 * time.Second, goose.PermitRefused},
		"too late alone":                {nil, false, 40_000, 100, 4 * time.Second, goose.PermitRefused},
		"prompts before are computed":   {[]int{10_000, 10_000, 10_000}, true, 10_000, 100, 6 * time.Second, goose.PermitGranted},
		"longer ones give way to short": {[]int{10_000, 10_000, 10_000}, false, 5_000, 100, 3 * time.Second, goose.PermitGranted},
		"late by a long answer":         {[]int{10_000, 10_000}, false, 10_000, 300, 6 * time.Second, goose.PermitRefused},
		"in time by a short answer":     {[]int{10_000, 10_000, 10_000}, false, 10_000, 10, 6 * time.Second, goose.PermitGranted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil, "a")
				r.run()
				r.warm()
				r.learn(5_000)
				r.learn(10_000)
				for i, n := range tt.ahead {
					g := r.acquire(prompt(fmt.Sprint("ahead", i), n), goose.PermitGranted).Permit
					if tt.done {
						r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					}
				}
				q := prompt("q", tt.tokens)
				q.TimeLeft, q.OutputTokens = tt.left, tt.output
				a := r.try(q)
				if a.Status != tt.want {
					t.Fatalf("got %s %v, want %s", a.Status, a.Refusal, tt.want)
				}
				if a.Status == goose.PermitRefused && (a.Refusal.Code != goose.CodeOverloaded || a.Refusal.Run != goose.RunNot || a.Refusal.RetryAfter <= 0) {
					t.Errorf("refusal: got %+v, want overloaded, not-run and advice", a.Refusal)
				}
			})
		})
	}
}

// Guards against an estimate that refuses everything for ever, or keeps a
// replica without work idle: refused requests bring no observation that would
// correct it.
func TestEngineEstimateExpires(t *testing.T) {
	tests := map[string]struct {
		busy  bool
		after time.Duration
		want  goose.PermitStatus
	}{
		"idle, recent":   {false, 0, goose.PermitRefused},
		"idle, older":    {false, idleEstimateAge + time.Second, goose.PermitGranted},
		"at work, older": {true, idleEstimateAge + time.Second, goose.PermitRefused},
		"at work, old":   {true, estimateAge + time.Second, goose.PermitGranted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirm = true })
				r.run()
				r.warm()
				r.learn(10_000)
				if tt.busy {
					r.acquire(prompt("busy", 100), goose.PermitGranted)
				}
				time.Sleep(tt.after)
				q := prompt("q", 40_000)
				q.TimeLeft = 4 * time.Second
				if a := r.try(q); a.Status != tt.want {
					t.Errorf("four seconds of work, four left: got %s, want %s", a.Status, tt.want)
				}
			})
		})
	}
}

// Guards against requests that wait in the queue until they can no longer
// finish and then take an engine's time for nobody.
func TestHopelessRequestsLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil, "a")
		r.run()
		r.warm()
		r.learn(20_000)
		for i := range 4 {
			r.acquire(prompt(fmt.Sprint("full", i), 24_000), goose.PermitGranted)
		}
		r.pool.mu.Lock()
		for id := range r.pool.permits {
			r.pool.replicas["a"].limits.PrefillDone(id)
		}
		r.pool.mu.Unlock()
		q := prompt("q", 20_000)
		q.TimeLeft = 5 * time.Second
		start := time.Now()
		var a goose.PermitAnswer
		for a = r.pool.Acquire(t.Context(), q); a.Status == goose.PermitWaiting; a = r.pool.Acquire(t.Context(), q) {
		}
		if got := time.Since(start); a.Refusal.Code != goose.CodeOverloaded || got < time.Second || got > 3*time.Second {
			t.Errorf("three seconds of work, five left, no capacity: got %s %v after %v, want overloaded after about 2s", a.Status, a.Refusal, got)
		}
	})
}

// Guards against a policy's choice of a replica that cannot answer in time
// while another can, and against a choice that is narrowed without need.
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
				r := newRig(t, nil, "a", "b")
				r.run()
				r.warm()
				r.learn(10_000)
				r.pool.mu.Lock()
				r.pool.replicas["a"].limits.Add("other", gooselimit.Demand{Tokens: 50_000, Prefill: 50_000, Priority: 1})
				r.pool.mu.Unlock()
				q := prompt("q", 10_000)
				q.TimeLeft = tt.left
				if got := r.acquire(q, goose.PermitGranted).Permit.Replicas[0].Replica; got != tt.want {
					t.Errorf("replica: got %s, want %s", got, tt.want)
				}
			})
		})
	}
}

// Guards against faults that make engines look slow, so that requests are
// refused for half a minute after them, and against an estimate that counts
// only the requests that were lucky.
func TestEngineEstimateCountsWhatWasCancelled(t *testing.T) {
	tests := map[goose.Outcome]goose.PermitStatus{
		goose.OutcomeNotSent:   goose.PermitGranted,
		goose.OutcomeFailed:    goose.PermitGranted,
		goose.OutcomeCancelled: goose.PermitRefused,
	}
	for outcome, want := range tests {
		t.Run(string(outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirm = true })
				r.run()
				r.warm()
				r.learn(10_000)
				for i := range 3 {
					g := r.acquire(prompt(fmt.Sprint("lost", i), 10_000), goose.PermitGranted).Permit
					time.Sleep(20 * time.Second)
					r.release(g, func(p *goose.PermitReport) { p.Outcome = outcome })
					r.learnOnce()
				}
				q := prompt("q", 10_000)
				q.TimeLeft = 4 * time.Second
				if a := r.try(q); a.Status != want {
					t.Errorf("two seconds of work, four left: got %s %v, want %s", a.Status, a.Refusal, want)
				}
			})
		})
	}
}

// learnOnce keeps the estimate of the medium class from expiring.
func (r *rig) learnOnce() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.load.engines.of(goose.ClassMedium).at = time.Now()
}

// shorts grants and ends short requests of 5,000 prompt tokens a second.
func (r *rig) shorts(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		r.release(r.acquire(prompt(fmt.Sprint("short", time.Now().UnixNano()), 1_000), goose.PermitGranted).Permit, nil)
	}
}

// Guards against an estimate that knows only the prompts before a request: at
// the start of an overload requests were granted that later shorter ones made
// late, and after it requests in time were refused.
func TestEstimateCountsLaterShortRequests(t *testing.T) {
	tests := map[string]struct {
		learned, now bool
		want         goose.PermitStatus
	}{
		"never":            {false, false, goose.PermitGranted},
		"since it learned": {false, true, goose.PermitRefused},
		"while it learned": {true, false, goose.PermitGranted},
		"all the time":     {true, true, goose.PermitRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil, "a")
				r.holders.set(func(f *fakeHolders) { f.confirm = true })
				r.run()
				r.warm()
				if !tt.learned {
					r.learn(10_000)
				}
				for i := 0; tt.learned && i < 10; i++ {
					g := r.acquire(prompt(fmt.Sprint("beside", i), 10_000), goose.PermitGranted).Permit
					r.shorts(2 * time.Second)
					r.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhasePrefilled})
					time.Sleep(time.Second)
					r.release(g, func(p *goose.PermitReport) { p.First = 2 * time.Second })
				}
				r.acquire(prompt("busy", 100), goose.PermitGranted)
				if tt.now {
					r.shorts(8 * time.Second)
				} else {
					time.Sleep(8 * time.Second)
				}
				q := prompt("q", 20_000)
				q.TimeLeft = 5 * time.Second
				if a := r.try(q); a.Status != tt.want {
					t.Errorf("two seconds of work and one of output, five left: got %s %v, want %s", a.Status, a.Refusal, tt.want)
				}
			})
		})
	}
}
