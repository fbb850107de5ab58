package gooseledger

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// loseTxns returns faults that lose the next n transactions in the given way.
func loseTxns(n int64, loss goosestore.Loss) goosestore.Faults {
	var seen atomic.Int64
	return goosestore.Faults{EffectDelay: time.Minute, Loss: func(c goosestore.CallKind) goosestore.Loss {
		if c != goosestore.CallTxn || seen.Add(1) > n {
			return goosestore.LossNone
		}
		return loss
	}}
}

// Guards against a claim that is granted without the store's confirmation, a
// claim that is refused although its own write took effect, and a record that
// stays claimed although its caller got a refusal which states that the order did
// not run.
func TestClaimUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults goosestore.Faults
		want   goose.ClaimStatus
		// after is the status of a repeated claim on another instance two minutes
		// later.
		after goose.ClaimStatus
	}{
		"down":                             {goosestore.Faults{Down: true}, goose.ClaimUnavailable, goose.ClaimGranted},
		"slow beyond the claim timeout":    {goosestore.Faults{Slow: time.Minute}, goose.ClaimUnavailable, goose.ClaimGranted},
		"slow":                             {goosestore.Faults{Slow: 300 * time.Millisecond}, goose.ClaimGranted, goose.ClaimRunning},
		"response lost":                    {loseTxns(1, goosestore.LossResponse), goose.ClaimGranted, goose.ClaimRunning},
		"responses lost repeatedly":        {loseTxns(20, goosestore.LossResponse), goose.ClaimGranted, goose.ClaimRunning},
		"request lost":                     {loseTxns(1, goosestore.LossRequest), goose.ClaimGranted, goose.ClaimRunning},
		"all responses lost":               {loseTxns(1e9, goosestore.LossResponse), goose.ClaimUnavailable, goose.ClaimGranted},
		"all requests lost":                {loseTxns(1e9, goosestore.LossRequest), goose.ClaimUnavailable, goose.ClaimGranted},
		"all writes late":                  {loseTxns(1e9, goosestore.LossResponseLateEffect), goose.ClaimUnavailable, goose.ClaimGranted},
		"first write late, then confirmed": {loseTxns(1, goosestore.LossResponseLateEffect), goose.ClaimGranted, goose.ClaimRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b := openLedger(t, m, "a"), openLedger(t, m, "b")
				// An earlier claim obtains the retention lease, so that the
				// faults affect the claim itself.
				_ = a.Claim(t.Context(), goose.OrderKey{Key: "earlier"}, "", "")
				m.SetFaults(tt.faults)
				requireClaim(t, a, "body", tt.want)
				m.SetFaults(goosestore.Faults{})
				time.Sleep(2 * time.Minute)
				requireClaim(t, b, "body", tt.after)
			})
		})
	}
}

// Guards against an outcome that is lost when the store does not accept it at
// once, and against a repeated request that waits for the store.
func TestOutcomeUnderFaults(t *testing.T) {
	tests := map[string]goosestore.Faults{
		"down":                {Down: true},
		"slow":                {Slow: time.Minute},
		"responses lost":      loseTxns(5, goosestore.LossResponse),
		"requests lost":       loseTxns(5, goosestore.LossRequest),
		"writes late":         loseTxns(5, goosestore.LossResponseLateEffect),
		"every response lost": {Loss: func(goosestore.CallKind) goosestore.Loss { return goosestore.LossResponse }},
	}
	outcomes := map[goose.ClaimStatus]func(*Ledger, goose.Order){
		goose.ClaimDone:    func(l *Ledger, o goose.Order) { l.MarkDone(o, answer) },
		goose.ClaimUnknown: (*Ledger).MarkUnknown,
		goose.ClaimGranted: (*Ledger).MarkNotRun,
	}
	for name, faults := range tests {
		for want, end := range outcomes {
			t.Run(name+"/"+string(want), func(t *testing.T) {
				inBubble(t, func(t *testing.T, m *goosestore.Memory) {
					a, b := openLedger(t, m, "a"), openLedger(t, m, "b")
					o := requireClaim(t, a, "body", goose.ClaimGranted)
					m.SetFaults(faults)
					end(a, o)
					joined := a.WaitForOutcome(t.Context(), o)
					if want == goose.ClaimDone && string(joined.Order.Answer.Body) != string(answer.Body) {
						t.Errorf("got %+v while the store has faults, want the answer", joined)
					}
					time.Sleep(time.Hour)
					m.SetFaults(goosestore.Faults{})
					closeAll(t, a)
					requireClaim(t, b, "body", want)
				})
			})
		}
	}
}

// Guards against a record that contradicts the outcome that the claiming instance
// knows: operators, and other instances that consider it dead, can be wrong.
func TestOutcomeAfterOthersDecided(t *testing.T) {
	settle := func(t *testing.T, b *Ledger, to goose.OrderState) {
		if err := b.Settle(t.Context(), order, to, "isla"); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		decide func(t *testing.T, b *Ledger)
		end    func(*Ledger, goose.Order)
		want   goose.ClaimStatus
	}{
		"finished after unknown": {
			func(t *testing.T, b *Ledger) { requireClaim(t, b, "body", goose.ClaimUnknown) },
			func(l *Ledger, o goose.Order) { l.MarkDone(o, answer) }, goose.ClaimDone,
		},
		"not run after unknown": {
			func(t *testing.T, b *Ledger) { requireClaim(t, b, "body", goose.ClaimUnknown) },
			(*Ledger).MarkNotRun, goose.ClaimGranted,
		},
		"finished after settled as not-run": {
			func(t *testing.T, b *Ledger) { settle(t, b, goose.OrderNotRun) },
			func(l *Ledger, o goose.Order) { l.MarkDone(o, answer) }, goose.ClaimDone,
		},
		"not run after settled as done": {
			func(t *testing.T, b *Ledger) { settle(t, b, goose.OrderDone) },
			(*Ledger).MarkNotRun, goose.ClaimDone,
		},
		"finished after settled as not-run and claimed again": {
			func(t *testing.T, b *Ledger) {
				settle(t, b, goose.OrderNotRun)
				requireClaim(t, b, "body", goose.ClaimGranted)
			},
			func(l *Ledger, o goose.Order) { l.MarkDone(o, answer) }, goose.ClaimRunning,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b := openLedger(t, m, "a"), openLedger(t, m, "b", "a")
				o := requireClaim(t, a, "body", goose.ClaimGranted)
				tt.decide(t, b)
				tt.end(a, o)
				closeAll(t, a)
				requireClaim(t, b, "body", tt.want)
			})
		})
	}
}

// Guards against a lost response that is followed by an outage of the store and
// a crash of the instance: the claim was not confirmed, but its record may have
// been written.
func TestLostResponseThenDownThenDead(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b := openLedger(t, m, "a"), openLedger(t, m, "b", "a")
		_ = a.Claim(t.Context(), goose.OrderKey{Key: "earlier"}, "", "")
		m.SetFaults(loseTxns(1, goosestore.LossResponse))
		go func() {
			time.Sleep(claimRetryPause / 2)
			m.SetFaults(goosestore.Faults{Down: true})
		}()
		requireClaim(t, a, "body", goose.ClaimUnavailable)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		if err := a.Close(cancelled); err == nil {
			t.Error("got no error for an instance that stops with an unfinished order")
		}
		m.SetFaults(goosestore.Faults{})
		if got := b.Sweep(t.Context()); got != 2 {
			t.Errorf("got %d claims marked unknown, want 2", got)
		}
		requireClaim(t, b, "body", goose.ClaimUnknown)
	})
}

// Guards against records that are kept for ever or for less than the retention
// period, and against one store lease per order.
func TestRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := openLedger(t, m, "a")
		time.Sleep(slotDuration)
		for i, after := range []time.Duration{0, slotDuration - time.Second, time.Second} {
			time.Sleep(after)
			key := goose.OrderKey{Key: string(rune('a' + i))}
			l.MarkDone(l.Claim(t.Context(), key, "", "").Order, answer)
		}
		synctest.Wait()
		if got := m.Counts()[goosestore.CallLease]; got != 2 {
			t.Errorf("got %d leases, want one per hour with claims", got)
		}
		time.Sleep(DefaultRetention - time.Second)
		checkListed(t, l, goose.OrderDone, 3)
		time.Sleep(2 * time.Second)
		checkListed(t, l, goose.OrderDone, 1)
		time.Sleep(slotDuration)
		checkListed(t, l, "", 0)
		closeAll(t, l)
	})
}

// Guards against claims that fail permanently after the store has dropped the
// instance's retention lease.
func TestRetentionLeaseNotFound(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := openLedger(t, m, "a")
		id, err := l.retention.lease(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Revoke(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		requireClaim(t, l, "body", goose.ClaimGranted)
	})
}

// Guards against operators that settle orders whose outcome is known or pending.
func TestSettleRefuses(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := openLedger(t, m, "a")
		if err := l.Settle(t.Context(), order, goose.OrderDone, "isla"); !errors.Is(err, ErrOrderNotFound) {
			t.Errorf("got %v, want ErrOrderNotFound", err)
		}
		o := requireClaim(t, l, "body", goose.ClaimGranted)
		if err := l.Settle(t.Context(), order, goose.OrderDone, "isla"); !errors.Is(err, ErrNotUnknown) {
			t.Errorf("got %v for a running order, want ErrNotUnknown", err)
		}
		l.MarkUnknown(o)
		closeAll(t, l)
		if err := l.Settle(t.Context(), order, goose.OrderClaimed, "isla"); err == nil {
			t.Error("got no error for settling as claimed")
		}
		for range 2 {
			if err := l.Settle(t.Context(), order, goose.OrderDone, "isla"); err != nil {
				t.Errorf("got %v, want a repeat to succeed", err)
			}
		}
	})
}

// Guards against a repeated request that gets the result that its order did not
// run because the store is down, although the order runs or ran on the same
// instance.
func TestRepeatsWhileStoreIsDown(t *testing.T) {
	tests := map[goose.ClaimStatus]func(*Ledger, goose.Order){
		goose.ClaimRunning:     func(*Ledger, goose.Order) {},
		goose.ClaimDone:        func(l *Ledger, o goose.Order) { l.MarkDone(o, answer) },
		goose.ClaimUnknown:     (*Ledger).MarkUnknown,
		goose.ClaimUnavailable: (*Ledger).MarkNotRun,
	}
	for want, end := range tests {
		t.Run(string(want), func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				l := openLedger(t, m, "a")
				o := requireClaim(t, l, "body", goose.ClaimGranted)
				m.SetFaults(goosestore.Faults{Down: true})
				end(l, o)
				time.Sleep(time.Hour)
				got := requireClaim(t, l, "body", want)
				if want == goose.ClaimDone && string(got.Answer.Body) != string(answer.Body) {
					t.Errorf("got answer %q, want %q", got.Answer.Body, answer.Body)
				}
				requireClaim(t, l, "other body", goose.ClaimKeyReused)
				if found, ok, err := l.Lookup(t.Context(), order); !ok || err != nil || found.Nonce != o.Nonce {
					t.Errorf("got %+v, %v, %v, want the order", found, ok, err)
				}
			})
		})
	}
}
