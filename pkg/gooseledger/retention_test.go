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
// repeat runs beside it, and against records that never expire.
func TestRecordOutlivesItsOrder(t *testing.T) {
	tests := map[string]struct {
		before time.Duration // since the lease was granted for another order
		left   time.Duration // of the order
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
				a, b := open(t, m, "a"), open(t, m, "b")
				a.retention.period = period
				other := goose.OrderKey{Workspace: order.Workspace, Service: order.Service, Key: "other"}
				a.Finish(a.Claim(t.Context(), other, "body", "attempt").Order, answer)
				time.Sleep(tt.before)

				deadline := time.Now().Add(tt.left)
				ctx, cancel := context.WithDeadline(t.Context(), deadline)
				defer cancel()
				c := a.Claim(ctx, order, "body", "attempt")
				if c.Status != goose.ClaimGranted {
					t.Fatalf("got %s, want %s", c.Status, goose.ClaimGranted)
				}
				time.Sleep(time.Until(deadline) - time.Second)
				claimAs(t, b, "body", goose.ClaimRunning)
				a.Finish(c.Order, answer)
				time.Sleep(period)
				claimAs(t, b, "body", goose.ClaimDone)
				time.Sleep(3 * slotLength)
				claimAs(t, b, "body", goose.ClaimGranted)
				synctest.Wait()
			})
		})
	}
}
