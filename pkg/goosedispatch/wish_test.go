package goosedispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against new work on a replica whose load reports say that it leaves, while its
// configuration says that it is active, and against a mark that outlives its process.
func TestReplicaSaysThatItLeaves(t *testing.T) {
	tests := map[string]struct {
		noLoadReport bool
		// after changes the engine once the replica is out.
		after func(*fakeEngine)
		// back is set if the replica gets work again.
		back bool
	}{
		"load report":              {after: func(*fakeEngine) {}},
		"no load report":           {noLoadReport: true, after: func(*fakeEngine) {}},
		"same process without it":  {after: func(e *fakeEngine) { e.wish = goose.Wish{} }},
		"a new process":            {after: func(e *fakeEngine) { e.process, e.wish = "p2", goose.Wish{} }, back: true},
		"a new one leaves as well": {after: func(e *fakeEngine) { e.process = "p2" }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a")
				h.protocol.set("a:1", func(e *fakeEngine) { e.noLoadReport = tc.noLoadReport })
				h.run()
				h.acquire(request("r1", 100), goose.PermitGranted)
				h.protocol.set("a:1", func(e *fakeEngine) { e.wish.Leaving = true })
				time.Sleep(time.Second)
				got := h.tryAcquire(request("r2", 100))
				if got.Status != goose.PermitRefused || got.Refusal.Code != goose.CodeLeaving || got.Refusal.Run != goose.RunStateNotRun {
					t.Errorf("got %s %+v, want a refusal as not run, because all replicas leave", got.Status, got.Refusal)
				}
				h.protocol.set("a:1", tc.after)
				time.Sleep(time.Minute)
				if got := h.tryAcquire(request("r3", 100)).Status == goose.PermitGranted; got != tc.back {
					t.Errorf("got work again: %t, want %t", got, tc.back)
				}
			})
		})
	}
}

// Guards against waiting requests that are kept although the last replica of the pool leaves
// or wants a pause, and against work on a replica that said so in the response to a request.
func TestWishInReport(t *testing.T) {
	tests := map[string]struct {
		change func(*goose.PermitReport)
		want   goose.RefusalCode
	}{
		"leaves":                 {change: func(r *goose.PermitReport) { r.Leaving = true }, want: goose.CodeLeaving},
		"leaves after a failure": {change: func(r *goose.PermitReport) { r.Leaving, r.Outcome = true, goose.OutcomeFailed }, want: goose.CodeLeaving},
		"wants a pause":          {change: func(r *goose.PermitReport) { r.Pause, r.Outcome = 5*time.Second, goose.OutcomeFailed }, want: goose.CodeOverloaded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a")
				h.run()
				first := h.acquire(request("r1", 100), goose.PermitGranted)
				got := make(chan goose.PermitReply)
				go func() { got <- h.pool.Acquire(t.Context(), request("r2", 100)) }()
				synctest.Wait()
				start := time.Now()
				h.release(first.Permit, tc.change)
				reply := <-got
				if reply.Status != goose.PermitRefused || reply.Refusal.Code != tc.want || time.Since(start) > 100*time.Millisecond {
					t.Errorf("got %s %+v after %s, want an immediate refusal with %s", reply.Status, reply.Refusal, time.Since(start), tc.want)
				}
			})
		})
	}
}

// Guards against a late report of an earlier process that takes out its successor.
func TestWishOfEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		first := h.acquire(request("r1", 100), goose.PermitGranted)
		h.protocol.set("a:1", func(e *fakeEngine) { e.process = "p2" })
		time.Sleep(5 * time.Second)
		h.release(first.Permit, func(r *goose.PermitReport) { r.Leaving = true })
		h.acquire(request("r2", 100), goose.PermitGranted)
	})
}

// Guards against requests to a replica in a pause that it has asked for, against a pause that
// a later response shortens, and against a burst at its end.
func TestReplicaAsksForPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a", "b")
		h.run()
		h.warm()
		const pause = 10 * time.Second
		h.protocol.set("a:1", func(e *fakeEngine) { e.noLoadReport, e.wish.Pause = true, pause })
		time.Sleep(time.Second)
		h.protocol.set("a:1", func(e *fakeEngine) { e.noLoadReport, e.wish.Pause = false, time.Second })
		time.Sleep(time.Second)
		h.protocol.set("a:1", func(e *fakeEngine) { e.wish.Pause = 0 })
		if got := h.grants(); got != 4 {
			t.Errorf("got %d grants with one of two replicas in a pause, want the 4 of the other", got)
		}
		refused := h.tryAcquire(request("r1", 100))
		if refused.Status == goose.PermitGranted {
			t.Errorf("got %s during the pause", refused.Status)
		}
		time.Sleep(pause)
		if got := h.grants(); got != 4+1 {
			t.Errorf("got %d grants at once after the pause, want the 4 from before and 1 at the cold limit", got)
		}
	})
}
