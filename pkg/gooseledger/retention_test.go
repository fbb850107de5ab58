package gooseledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// Guards against a record that expires while its order may still run, so that a
// repeated request runs at the same time, and against records that never expire.
func TestRecordOutlivesItsOrder(t *testing.T) {
	tests := map[string]struct {
		before time.Duration // age of the lease, which was granted for another order
		left   time.Duration // time that the order may run
	}{
		"order within the retention":           {left: 30 * time.Second},
		"order longer than the retention":      {left: 3 * time.Hour},
		"long order under a short one's lease": {before: 59 * time.Minute, left: 24 * time.Hour},
		"last order of a lease":                {before: time.Hour - time.Second, left: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				const period = 5 * time.Minute
				a, b := openLedger(t, m, "a"), openLedger(t, m, "b")
				a.retention.period = period
				other := goose.OrderKey{Workspace: order.Workspace, Service: order.Service, Key: "other"}
				a.MarkDone(a.Claim(t.Context(), other, "body", "attempt").Order, answer)
				time.Sleep(tt.before)

				deadline := time.Now().Add(tt.left)
				ctx, cancel := context.WithDeadline(t.Context(), deadline)
				defer cancel()
				c := a.Claim(ctx, order, "body", "attempt")
				if c.Status != goose.ClaimGranted {
					t.Fatalf("got %s, want %s", c.Status, goose.ClaimGranted)
				}
				time.Sleep(time.Until(deadline) - time.Second)
				requireClaim(t, b, "body", goose.ClaimRunning)
				a.MarkDone(c.Order, answer)
				time.Sleep(period)
				requireClaim(t, b, "body", goose.ClaimDone)
				time.Sleep(3 * slotDuration)
				requireClaim(t, b, "body", goose.ClaimGranted)
				synctest.Wait()
			})
		})
	}
}
