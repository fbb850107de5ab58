package goosedispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against calls that exceed the cold limit of a frozen plain service when it
// resumes, because capacity was freed when their callers cancelled them; and
// against capacity that is never freed.
func TestAbandonedCalls(t *testing.T) {
	const deadline = 30 * time.Second // of the service in the harness
	freeze := func(e *fakeEngine) { e.frozen = true }
	thaw := func(e *fakeEngine) { e.frozen = false }
	tests := map[string]struct {
		kind    goose.ServiceKind
		outcome goose.AttemptOutcome
		process string // after the freeze
		after   time.Duration
		want    int
	}{
		"call may still run":   {goose.KindPlain, goose.OutcomeCancelled, "p1", deadline - 2*time.Second, 0},
		"call must have ended": {goose.KindPlain, goose.OutcomeCancelled, "p1", deadline + 3*time.Second, 1},
		"process replaced":     {goose.KindPlain, goose.OutcomeCancelled, "p2", 3 * time.Second, 1},
		"call got a response":  {goose.KindPlain, goose.OutcomeFailed, "p1", 3 * time.Second, 1},
		"engine":               {goose.KindModel, goose.OutcomeCancelled, "p1", 3 * time.Second, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, _ *Dependencies) { h.source.c.service.Kind = tt.kind }, "a")
				h.run()
				if tt.kind == goose.KindPlain {
					time.Sleep(deadline + goose.PermitLifetime) // quarantine of a plain service
				}
				g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
				h.protocol.set("a:1", freeze)
				h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhaseStarted})
				time.Sleep(10 * time.Second)
				h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhaseReleased, Outcome: tt.outcome, Replica: "a", Process: "p1"})
				h.protocol.set("a:1", func(e *fakeEngine) { e.process = tt.process; thaw(e) })
				time.Sleep(tt.after)
				if got := h.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}
