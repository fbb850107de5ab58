package gooseledger

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

var (
	logger = slog.New(slog.DiscardHandler)
	order  = goose.OrderKey{Workspace: "print-room", Service: "order-book", Key: "k-1"}
	answer = goose.PlainResponse{Status: 201, ContentType: "text/plain", Body: []byte("order 7")}
)

// inBubble runs a test with virtual time and a store in memory.
func inBubble(t *testing.T, test func(t *testing.T, m *goosestore.Memory)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		test(t, goosestore.NewMemory(goose.SystemClock{}))
		// A sender may still wait for a batch that another sender has taken. It
		// ends by itself, and the bubble must not end before it.
		time.Sleep(time.Second)
	})
}

// openLedger returns the ledger of the instance self, for which the instances
// in dead count as dead.
func openLedger(t *testing.T, s goose.Store, self goose.InstanceID, dead ...goose.InstanceID) *Ledger {
	t.Helper()
	l := New(Options{
		Store: s, Fleet: "f", Self: self, Incarnation: 1, Logger: logger,
		IsDead: func(i goose.InstanceID, _ int64, _ time.Time) bool {
			for _, d := range dead {
				if d == i {
					return true
				}
			}
			return false
		},
	})
	t.Cleanup(l.cancel)
	return l
}

func requireClaim(t *testing.T, l *Ledger, body string, want goose.ClaimStatus) goose.Order {
	t.Helper()
	c := l.Claim(t.Context(), order, body, "attempt")
	if c.Status != want {
		t.Fatalf("got %s (%+v), want %s", c.Status, c.Order, want)
	}
	return c.Order
}

func closeAll(t *testing.T, ledgers ...*Ledger) {
	t.Helper()
	for _, l := range ledgers {
		if err := l.Close(context.Background()); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a repeated request that runs again or gets another answer.
func TestRepeats(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b := openLedger(t, m, "a"), openLedger(t, m, "b")
		o := requireClaim(t, a, "body", goose.ClaimGranted)
		requireClaim(t, b, "body", goose.ClaimRunning)
		requireClaim(t, b, "other body", goose.ClaimKeyReused)
		a.MarkDone(o, answer)
		synctest.Wait()
		done := requireClaim(t, b, "body", goose.ClaimDone)
		if !done.AnswerKept || string(done.Answer.Body) != "order 7" || done.Answer.Status != 201 {
			t.Errorf("got %+v, want the first answer", done)
		}
		requireClaim(t, b, "other body", goose.ClaimKeyReused)
		closeAll(t, a, b)
	})
}

// Guards against an order that stays blocked by a run that never reached a
// backend server.
func TestNotRunMayBeClaimedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b := openLedger(t, m, "a"), openLedger(t, m, "b")
		a.MarkNotRun(requireClaim(t, a, "body", goose.ClaimGranted))
		synctest.Wait()
		b.MarkUnknown(requireClaim(t, b, "body", goose.ClaimGranted))
		synctest.Wait()
		requireClaim(t, a, "body", goose.ClaimUnknown)
		closeAll(t, a, b)
	})
}

// Guards against an order of a dead instance that runs a second time, or that
// operators can neither see nor settle.
func TestDeadInstance(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b := openLedger(t, m, "a"), openLedger(t, m, "b", "a")
		requireClaim(t, a, "body", goose.ClaimGranted)
		checkListed(t, b, goose.OrderUnknown, 1)
		requireClaim(t, b, "body", goose.ClaimUnknown)
		checkListed(t, b, goose.OrderUnknown, 1)
		checkListed(t, b, goose.OrderClaimed, 0)
		if o, ok, err := b.Lookup(t.Context(), order); !ok || err != nil || o.State != goose.OrderUnknown {
			t.Errorf("got %+v, %v, %v, want the unknown order", o, ok, err)
		}
		if err := b.Settle(t.Context(), order, goose.OrderNotRun, "isla"); err != nil {
			t.Fatal(err)
		}
		checkListed(t, b, goose.OrderUnknown, 0)
		b.MarkDone(requireClaim(t, b, "body", goose.ClaimGranted), answer)
		closeAll(t, b)
		checkListed(t, b, goose.OrderDone, 1)
	})
}

func checkListed(t *testing.T, l *Ledger, state goose.OrderState, want int) {
	t.Helper()
	got, err := l.List(t.Context(), state, 0)
	if err != nil || len(got) != want {
		t.Errorf("got %d orders (%v) in state %q, want %d", len(got), err, state, want)
	}
}

// Guards against a record that makes the decoder panic or yields an order
// without state or nonce.
var decodeTarget = goosefuzz.Target{
	Runs:  500_000,
	Seeds: [][]any{{encodeOrder(goose.Order{Key: order, State: goose.OrderDone, Nonce: newNonce(7), Answer: answer, AnswerKept: true})}},
	Check: func(t *testing.T, value []byte) {
		o, err := decodeOrder(goose.Entry{Value: value})
		if err != nil {
			return
		}
		if again, err := decodeOrder(goose.Entry{Value: encodeOrder(o)}); err != nil || again.Nonce != o.Nonce || again.State != o.State {
			t.Errorf("got %+v, %v, want %+v", again, err, o)
		}
	},
}

func FuzzDecode(f *testing.F)     { decodeTarget.Fuzz(f) }
func TestFuzzDecode(t *testing.T) { decodeTarget.Test(t) }
