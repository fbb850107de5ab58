package gooseledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// Guards against a lookup that misses a run: that of another instance, that of
// a dead one, and the own one while the store is down.
func TestLookup(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b, c := open(t, m, "a"), open(t, m, "b"), open(t, m, "c", "a")
		look := func(l *Ledger, want goose.OrderState) {
			t.Helper()
			o, found, err := l.Lookup(t.Context(), order)
			if err != nil || found != (want != "") || o.State != want {
				t.Errorf("got %q, %v, %v; want %q", o.State, found, err, want)
			}
		}
		look(a, "")
		o := claimAs(t, a, "body", goose.ClaimGranted)
		look(b, goose.OrderClaimed)
		look(c, goose.OrderUnknown)
		m.SetFaults(goosestore.Faults{Down: true})
		a.Finish(o, answer)
		look(a, goose.OrderDone)
		if _, _, err := b.Lookup(t.Context(), order); err == nil {
			t.Error("lookup without the store: got no error")
		}
		m.SetFaults(goosestore.Faults{})
		time.Sleep(time.Minute)
		synctest.Wait()
		look(b, goose.OrderDone)
		closeAll(t, a, b, c)
	})
}
