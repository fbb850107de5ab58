package goosedispatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// Guards against a cold replica that gets more requests than its cold limit, and
// against released capacity that is not granted to a waiting request.
func TestColdReplicaTakesOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		first := h.acquire(request("r1", 100), goose.PermitGranted)
		got := make(chan goose.PermitReply)
		go func() { got <- h.pool.Acquire(t.Context(), request("r2", 100)) }()
		synctest.Wait()
		select {
		case reply := <-got:
			t.Fatalf("second request on a cold replica: got %s, want none yet", reply.Status)
		default:
		}
		h.release(first.Permit, nil)
		if reply := <-got; reply.Status != goose.PermitGranted {
			t.Fatalf("after the release: got %s, want granted", reply.Status)
		}
	})
}

// Guards against two permits for one request after a lost reply.
func TestRepeatedPollGetsTheSamePermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		first := h.acquire(request("r1", 100), goose.PermitGranted)
		second := h.acquire(request("r1", 100), goose.PermitGranted)
		if first.Permit.ID != second.Permit.ID {
			t.Errorf("second poll: got permit %s, want %s", second.Permit.ID, first.Permit.ID)
		}
	})
}

// Guards against polls that wait longer than PollWait.
func TestPollTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		h.acquire(request("r1", 100), goose.PermitGranted)
		start := time.Now()
		h.acquire(request("r2", 100), goose.PermitWaiting)
		if got := time.Since(start); got != goose.PollWait {
			t.Errorf("poll waited %v, want %v", got, goose.PollWait)
		}
	})
}

// Guards against a dispatcher that grants more than its share of a warm replica, one
// that still applies the share when it has the whole replica again, and one that keeps
// a request waiting that its share can never hold.
func TestShareBoundsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a atomic.Pointer[Authority]
		a.Store(&Authority{Mode: goose.ModeLeased})
		h := newHarness(t, func(_ *harness, d *Dependencies) { d.Authority = func(time.Time) Authority { return *a.Load() } }, "a")
		h.run()
		h.warm()
		a.Store(&Authority{
			Mode:  goose.ModeDegraded,
			Share: func(goose.ReplicaID) gooselimit.Share { return gooselimit.ShareSmaller },
		})
		if got := h.tryAcquire(request("large", 60_000)); got.Status != goose.PermitRefused || got.Refusal.Code != goose.CodeOverloaded {
			t.Errorf("request above the share: got %s %v, want it refused", got.Status, got.Refusal)
		}
		if got := h.grants(); got != 2 {
			t.Errorf("half: got %d grants, want 2", got)
		}
		a.Store(&Authority{Mode: goose.ModeLeased})
		// After degraded mode a replica must first report whether a command runs.
		time.Sleep(2 * pollInterval)
		if got := h.tryAcquire(request("whole", 60_000)); got.Status != goose.PermitGranted {
			t.Errorf("whole: got %s, want granted", got.Status)
		}
	})
}
