package goosedispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against giants that hold some of their replicas while they wait for the others, that
// block each other, or whose parts do not add up to the request.
func TestGiantAcquiresReplicasInOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a", "b", "c", "d")
		h.run()
		h.warm()
		giant := func(id string) goose.PermitRequest {
			q := request(id, 250_000)
			q.OutputTokens = 1000
			return q
		}
		long := h.acquire(request("l1", 70_000), goose.PermitGranted).Permit
		if reply := h.tryAcquire(giant("g0")); reply.Status != goose.PermitWaiting {
			t.Errorf("giant on three of four replicas alongside a long prefill: got %s, want waiting", reply.Status)
		}
		h.release(long, nil)
		first := h.acquire(giant("g1"), goose.PermitGranted).Permit
		sum, counted := 0, 0
		for _, s := range first.Replicas {
			sum += s.Tokens
			counted += h.pool.replicas[s.Replica].limiter.Tokens()
		}
		if len(first.Replicas) != 3 || sum != 250_000 || counted != 251_000 {
			t.Errorf("giant: got %d replicas for %d tokens, %d counted; want 3 for 250000, 251000", len(first.Replicas), sum, counted)
		}
		if reply := h.tryAcquire(giant("g2")); reply.Status != goose.PermitWaiting {
			t.Errorf("second giant: got %s, want waiting", reply.Status)
		}
		h.acquire(request("s", 100), goose.PermitGranted)
		h.release(first, nil)
		h.acquire(giant("g3"), goose.PermitGranted)
		if reply := h.tryAcquire(request("huge", 400_001)); reply.Refusal.Code != goose.CodePromptTooLong {
			t.Errorf("more than the pool holds: got %v, want prompt-too-long", reply.Refusal)
		}
	})
}

// Guards against a large request that waits until its deadline because small requests take
// the released capacity first.
func TestLargeRequestIsNotStarved(t *testing.T) {
	for name, tokens := range map[string]int{"long": 99_000, "giant": 150_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a", "b")
				h.run()
				h.warm()
				ctx, cancel := context.WithCancel(t.Context())
				for w := range 20 {
					go func() {
						for i := 0; ctx.Err() == nil; i++ {
							if reply := h.pool.Acquire(ctx, request(fmt.Sprint(w, "-", i), 7000)); reply.Status == goose.PermitGranted {
								time.Sleep(time.Duration(50+w) * time.Millisecond)
								h.release(reply.Permit, nil)
							}
						}
					}()
				}
				time.Sleep(time.Second)
				start := time.Now()
				q := request("large", tokens)
				for h.pool.Acquire(ctx, q).Status == goose.PermitWaiting && time.Since(start) < 20*time.Second {
				}
				if got := time.Since(start); got > 4*time.Second {
					t.Errorf("wait of the large request: got %v, want under 4s", got)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against long prefills on more than half of the replicas.
func TestLongPrefillsLeaveHalfOfThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a", "b", "c", "d")
		h.run()
		h.warm()
		first := h.acquire(request("l1", 70_000), goose.PermitGranted).Permit
		h.acquire(request("l2", 70_000), goose.PermitGranted)
		if reply := h.tryAcquire(request("l3", 70_000)); reply.Status != goose.PermitWaiting {
			t.Errorf("third long prefill on four replicas: got %s, want waiting", reply.Status)
		}
		h.pool.Report(goose.PermitReport{Permit: first.ID, Instance: "i1", Phase: goose.PhasePrefilled})
		h.acquire(request("l4", 70_000), goose.PermitGranted)
	})
}

// recordingBound is a bound on long prefills that records its observations.
type recordingBound struct {
	limit int
	seen  []goose.TTFTSample
}

func (r *recordingBound) Limit(int) int { return r.limit }

func (r *recordingBound) Observe(o goose.TTFTSample) bool {
	r.seen = append(r.seen, o)
	return true
}

// Guards against a dispatcher that exceeds the bound on long prefills, that passes long or
// unfinished requests to it as observations, or that does not mark a request that ran alongside
// a long prefill.
func TestLongPrefillBoundObservesShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := &recordingBound{limit: 2}
		h := newHarness(t, func(_ *harness, d *Dependencies) { d.LongPrefillBound = bound }, "a", "b")
		h.run()
		h.warm()
		withoutLong := h.acquire(request("s1", 1000), goose.PermitGranted).Permit
		long := h.acquire(request("l1", 70_000), goose.PermitGranted).Permit
		h.acquire(request("l2", 70_000), goose.PermitGranted)
		bound.limit = 1
		if reply := h.tryAcquire(request("l3", 70_000)); reply.Status != goose.PermitWaiting {
			t.Errorf("long prefill beyond the bound: got %s, want waiting", reply.Status)
		}
		withLong := h.acquire(request("s2", 2000), goose.PermitGranted).Permit
		failed := h.acquire(request("s3", 3000), goose.PermitGranted).Permit
		h.release(withoutLong, func(p *goose.PermitReport) { p.TimeToFirstToken = time.Second })
		h.release(withLong, func(p *goose.PermitReport) { p.TimeToFirstToken = 2 * time.Second })
		h.release(failed, func(p *goose.PermitReport) { p.Outcome = goose.OutcomeFailed })
		h.release(long, nil)
		want := []goose.TTFTSample{
			{PromptTokens: 1000, TTFT: time.Second},
			{DuringLongPrefill: true, PromptTokens: 2000, TTFT: 2 * time.Second},
		}
		if !slices.Equal(bound.seen, want) {
			t.Errorf("observed: got %+v, want %+v", bound.seen, want)
		}
	})
}

// fillQueue trains the pool's estimate with a rate of 100,000 tokens per second (one second
// per request, room for four) and leaves twenty requests, which take five seconds, in its
// queue.
func (h *harness) fillQueue() {
	for i := range 8 {
		g := h.acquire(request(fmt.Sprint("w", i), 25_000), goose.PermitGranted).Permit
		time.Sleep(time.Second)
		h.release(g, nil)
	}
	for i := range 24 {
		go h.pool.Acquire(h.t.Context(), request(fmt.Sprint("q", i), 25_000))
	}
	synctest.Wait()
}

// Guards against requests that wait although they cannot meet their deadline, and against
// refusals without a retry-after time.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		h.warm()
		h.fillQueue()
		q := request("late", 25_000)
		q.TimeLeft = 5 * time.Second
		reply := h.tryAcquire(q)
		if reply.Refusal.Code != goose.CodeOverloaded || reply.Refusal.Run != goose.RunStateNotRun {
			t.Fatalf("five seconds of queue, one of work, five left: got %s %v, want overloaded", reply.Status, reply.Refusal)
		}
		if got := reply.Refusal.RetryAfter; got < time.Second/2 || got > 2*time.Second {
			t.Errorf("retry after: got %v, want about 1s", got)
		}
		q.TimeLeft = 8 * time.Second
		if reply := h.tryAcquire(q); reply.Status != goose.PermitWaiting {
			t.Errorf("with eight seconds left: got %s, want waiting", reply.Status)
		}
		time.Sleep(goose.PollWait + 2*time.Second)
		h.pool.mu.Lock()
		defer h.pool.mu.Unlock()
		if got := h.pool.deps.Discipline.Len(); got != 0 {
			t.Errorf("queue after the polls stopped: got %d, want 0", got)
		}
	})
}

// Guards against requests that wait although all replicas are unreachable, or cold in
// degraded mode: another data centre could serve them.
func TestNoUsableReplica(t *testing.T) {
	tests := map[string]func(*harness){
		"unreachable":    func(h *harness) { h.protocol.set("a:1", func(e *fakeEngine) { e.unreachable = true }) },
		"cold, degraded": func(h *harness) { h.mode = goose.ModeDegraded },
	}
	for name, setup := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, _ *Dependencies) { setup(h) }, "a")
				h.run()
				time.Sleep(4 * time.Second)
				if reply := h.tryAcquire(request("r1", 100)); reply.Refusal.Code != goose.CodeOverloaded || reply.Refusal.RetryAfter == 0 {
					t.Errorf("got %s %v, want overloaded with a retry-after time", reply.Status, reply.Refusal)
				}
			})
		})
	}
}

// Guards against a request that waits longer than its deadline, and against a refusal without
// a retry-after time.
func TestDeadlineInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		h.acquire(request("r1", 100), goose.PermitGranted)
		q := request("r2", 100)
		q.TimeLeft = 1500 * time.Millisecond
		reply := h.acquire(q, goose.PermitRefused)
		if reply.Refusal.Code != goose.CodeDeadline || reply.Refusal.Run != goose.RunStateNotRun {
			t.Errorf("got %v %s, want deadline not-run", reply.Refusal, reply.Refusal.Run)
		}
		if got, want := reply.Refusal.RetryAfter, goose.RetryAfterDefault; got != want {
			t.Errorf("retry after, before any release: got %v, want %v", got, want)
		}
	})
}

// Guards against refusals of expired requests whose retry-after time ignores the queue.
func TestRetryAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		h.warm()
		h.fillQueue()
		q := request("over", 25_000)
		q.TimeLeft = 0
		reply := h.tryAcquire(q)
		if reply.Refusal.Code != goose.CodeDeadline || reply.Refusal.Run != goose.RunStateNotRun {
			t.Fatalf("no time left: got %s %v, want deadline not-run", reply.Status, reply.Refusal)
		}
		if got := reply.Refusal.RetryAfter; got < 5*time.Second || got > 7*time.Second {
			t.Errorf("no time left: got retry after %v, want five seconds of queue and one of work", got)
		}
	})
}

// Guards against grants on leaving or removed replicas, and against added replicas that stay
// unused or start at full limits.
func TestConfigurationChanges(t *testing.T) {
	tests := map[string]struct {
		change func(*fakeCatalogue)
		want   int
		code   goose.RefusalCode
	}{
		"unchanged":          {func(*fakeCatalogue) {}, 4, ""},
		"server leaves":      {func(c *fakeCatalogue) { c.servers[0].State = goose.StateLeaving }, 0, goose.CodeLeaving},
		"data centre leaves": {func(c *fakeCatalogue) { c.leaving = true }, 0, goose.CodeLeaving},
		"server removed":     {func(c *fakeCatalogue) { c.servers = nil }, 0, goose.CodeNoRoute},
		"server added":       {func(c *fakeCatalogue) { c.servers = append(c.servers, server("b")) }, 5, ""},
		"lower concurrency":  {func(c *fakeCatalogue) { c.servers[0].Concurrency = 2 }, 2, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a")
				h.run()
				h.warm()
				wait := make(chan goose.PermitReply, 1)
				full := request("full", 100_000)
				g := h.acquire(full, goose.PermitGranted).Permit
				go func() { wait <- h.pool.Acquire(t.Context(), request("waiting", 100_000)) }()
				synctest.Wait()
				h.source.change(tt.change)
				time.Sleep(1500 * time.Millisecond)
				if reply := <-wait; reply.Refusal.Code != tt.code {
					t.Errorf("waiting request: got %v, want %q", reply.Refusal, tt.code)
				} else if leaving := tt.code == goose.CodeLeaving; leaving != (reply.Refusal.RetryAfter == goose.RetryAfterLeaving) {
					t.Errorf("waiting request: got retry after %v with code %q", reply.Refusal.RetryAfter, tt.code)
				}
				h.pool.Abandon("waiting")
				h.release(g, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeCancelled })
				if got := h.grants(); got != tt.want {
					t.Errorf("grants afterwards: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against grants on cold replicas in degraded mode, on replicas of other parts of the
// data centre, and without authority.
func TestModes(t *testing.T) {
	tests := map[string]struct {
		authority Authority
		warm      bool
		want      int
	}{
		"leased, warm":              {Authority{Mode: goose.ModeLeased}, true, 4},
		"consented, cold":           {Authority{Mode: goose.ModeConsented}, false, 1},
		"degraded, cold":            {Authority{Mode: goose.ModeDegraded}, false, 0},
		"degraded, warm":            {Authority{Mode: goose.ModeDegraded}, true, 4},
		"degraded, of another part": {Authority{Mode: goose.ModeDegraded, Owns: func(goose.ReplicaID) bool { return false }}, true, 0},
		"stopped":                   {Authority{Mode: goose.ModeStopped}, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(_ *harness, d *Dependencies) {
					d.Authority = func(time.Time) Authority { return tt.authority }
				}, "a")
				h.run()
				if tt.warm {
					h.warm()
				}
				if got := h.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against a graceful shutdown after which the successor treats warm replicas as cold,
// grants capacity twice, or loses the count of running permits.
func TestHandoverKeepsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a", "b")
		h.run()
		h.warm()
		h.pool.mu.Lock()
		h.pool.resetToCold(h.pool.replicas["b"], "test")
		h.pool.mu.Unlock()
		g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
		handover := h.pool.Resign()
		if reply := h.tryAcquire(request("r2", 100)); reply.Status != goose.PermitNotDispatcher {
			t.Errorf("after the resign: got %s, want elsewhere", reply.Status)
		}
		if h.pool.ApplyReport(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhaseReleased}) {
			t.Error("report after the resign: got accepted, want it for the successor")
		}
		next := newHarness(t, func(n *harness, d *Dependencies) {
			d.Handover, n.protocol, n.holders.complete = &handover, h.protocol, false
		}, "a", "b")
		next.run()
		if got := next.grants(); got != 4 {
			t.Errorf("grants alongside the inherited permit, one warm and one cold replica: got %d, want 4", got)
		}
	})
}
