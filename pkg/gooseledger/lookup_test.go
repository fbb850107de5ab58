package gooseledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// Guards against a lookup that misses an order: one of another instance, one of a
// dead instance, and one of its own instance while the store is down.
func TestLookup(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b, c := openLedger(t, m, "a"), openLedger(t, m, "b"), openLedger(t, m, "c", "a")
		checkLookup := func(l *Ledger, want goose.OrderState) {
			t.Helper()
			o, found, err := l.Lookup(t.Context(), order)
			if err != nil || found != (want != "") || o.State != want {
				t.Errorf("got %q, %v, %v; want %q", o.State, found, err, want)
			}
		}
		checkLookup(a, "")
		o := requireClaim(t, a, "body", goose.ClaimGranted)
		checkLookup(b, goose.OrderClaimed)
		checkLookup(c, goose.OrderUnknown)
		m.SetFaults(goosestore.Faults{Down: true})
		a.MarkDone(o, answer)
		checkLookup(a, goose.OrderDone)
		if _, _, err := b.Lookup(t.Context(), order); err == nil {
			t.Error("lookup without the store: got no error")
		}
		m.SetFaults(goosestore.Faults{})
		time.Sleep(time.Minute)
		synctest.Wait()
		checkLookup(b, goose.OrderDone)
		closeAll(t, a, b, c)
	})
}
