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

// losing loses the next n transactions in the given way.
func losing(n int64, how goosestore.Loss) goosestore.Faults {
	var seen atomic.Int64
	return goosestore.Faults{Late: time.Minute, Lose: func(c goosestore.Call) goosestore.Loss {
		if c != goosestore.CallTxn || seen.Add(1) > n {
			return goosestore.LossNone
		}
		return how
	}}
}

// Guards against a claim that is granted without the store's confirmation,
// refused although it is this caller's, or left behind by a caller that was
// told that its order did not run.
func TestClaimUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults goosestore.Faults
		want   goose.ClaimStatus
		// after is what a repeat on another instance gets two minutes later.
		after goose.ClaimStatus
	}{
		"down":                             {goosestore.Faults{Down: true}, goose.ClaimUnavailable, goose.ClaimGranted},
		"slow beyond the claim timeout":    {goosestore.Faults{Slow: time.Minute}, goose.ClaimUnavailable, goose.ClaimGranted},
		"slow":                             {goosestore.Faults{Slow: 300 * time.Millisecond}, goose.ClaimGranted, goose.ClaimRunning},
		"answer lost":                      {losing(1, goosestore.LossAnswer), goose.ClaimGranted, goose.ClaimRunning},
		"answers lost repeatedly":          {losing(20, goosestore.LossAnswer), goose.ClaimGranted, goose.ClaimRunning},
		"request lost":                     {losing(1, goosestore.LossRequest), goose.ClaimGranted, goose.ClaimRunning},
		"all answers lost":                 {losing(1e9, goosestore.LossAnswer), goose.ClaimUnavailable, goose.ClaimGranted},
		"all requests lost":                {losing(1e9, goosestore.LossRequest), goose.ClaimUnavailable, goose.ClaimGranted},
		"all writes late":                  {losing(1e9, goosestore.LossLate), goose.ClaimUnavailable, goose.ClaimGranted},
		"first write late, then confirmed": {losing(1, goosestore.LossLate), goose.ClaimGranted, goose.ClaimRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b := open(t, m, "a"), open(t, m, "b")
				// The retention lease is there already: the fault hits the claim.
				_ = a.Claim(t.Context(), goose.OrderKey{Key: "earlier"}, "", "")
				m.SetFaults(tt.faults)
				claimAs(t, a, "body", tt.want)
				m.SetFaults(goosestore.Faults{})
				time.Sleep(2 * time.Minute)
				claimAs(t, b, "body", tt.after)
			})
		})
	}
}

// Guards against an outcome that is lost when the store does not take it at
// once, and against a caller's repeat that waits for the store.
func TestOutcomeUnderFaults(t *testing.T) {
	tests := map[string]goosestore.Faults{
		"down":              {Down: true},
		"slow":              {Slow: time.Minute},
		"answers lost":      losing(5, goosestore.LossAnswer),
		"requests lost":     losing(5, goosestore.LossRequest),
		"writes late":       losing(5, goosestore.LossLate),
		"every answer lost": {Lose: func(goosestore.Call) goosestore.Loss { return goosestore.LossAnswer }},
	}
	outcomes := map[goose.ClaimStatus]func(*Ledger, goose.Order){
		goose.ClaimDone:    func(l *Ledger, o goose.Order) { l.Finish(o, answer) },
		goose.ClaimUnknown: (*Ledger).Unknown,
		goose.ClaimGranted: (*Ledger).NotRun,
	}
	for name, faults := range tests {
		for want, end := range outcomes {
			t.Run(name+"/"+string(want), func(t *testing.T) {
				inBubble(t, func(t *testing.T, m *goosestore.Memory) {
					a, b := open(t, m, "a"), open(t, m, "b")
					o := claimAs(t, a, "body", goose.ClaimGranted)
					m.SetFaults(faults)
					end(a, o)
					joined := a.Join(t.Context(), o)
					if want == goose.ClaimDone && string(joined.Order.Answer.Body) != string(answer.Body) {
						t.Errorf("got %+v while the store has faults, want the answer", joined)
					}
					time.Sleep(time.Hour)
					m.SetFaults(goosestore.Faults{})
					closeAll(t, a)
					claimAs(t, b, "body", want)
				})
			})
		}
	}
}

// Guards against a record that contradicts what the claiming instance knows:
// instances that take it for dead, and operators, can be wrong.
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
			func(t *testing.T, b *Ledger) { claimAs(t, b, "body", goose.ClaimUnknown) },
			func(l *Ledger, o goose.Order) { l.Finish(o, answer) }, goose.ClaimDone,
		},
		"not run after unknown": {
			func(t *testing.T, b *Ledger) { claimAs(t, b, "body", goose.ClaimUnknown) },
			(*Ledger).NotRun, goose.ClaimGranted,
		},
		"finished after settled as not-run": {
			func(t *testing.T, b *Ledger) { settle(t, b, goose.OrderNotRun) },
			func(l *Ledger, o goose.Order) { l.Finish(o, answer) }, goose.ClaimDone,
		},
		"not run after settled as done": {
			func(t *testing.T, b *Ledger) { settle(t, b, goose.OrderDone) },
			(*Ledger).NotRun, goose.ClaimDone,
		},
		"finished after settled as not-run and claimed again": {
			func(t *testing.T, b *Ledger) {
				settle(t, b, goose.OrderNotRun)
				claimAs(t, b, "body", goose.ClaimGranted)
			},
			func(l *Ledger, o goose.Order) { l.Finish(o, answer) }, goose.ClaimRunning,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b := open(t, m, "a"), open(t, m, "b", "a")
				o := claimAs(t, a, "body", goose.ClaimGranted)
				tt.decide(t, b)
				tt.end(a, o)
				closeAll(t, a)
				claimAs(t, b, "body", tt.want)
			})
		})
	}
}

// Guards against a lost answer followed by an outage and the death of the
// instance: the order was not confirmed, but its record may have been written.
func TestLostAnswerThenDownThenDead(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a, b := open(t, m, "a"), open(t, m, "b", "a")
		_ = a.Claim(t.Context(), goose.OrderKey{Key: "earlier"}, "", "")
		m.SetFaults(losing(1, goosestore.LossAnswer))
		go func() {
			time.Sleep(settleWait / 2)
			m.SetFaults(goosestore.Faults{Down: true})
		}()
		claimAs(t, a, "body", goose.ClaimUnavailable)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if err := a.Close(ended); err == nil {
			t.Error("got no error for an instance that stops with an unfinished order")
		}
		m.SetFaults(goosestore.Faults{})
		if got := b.Sweep(t.Context()); got != 2 {
			t.Errorf("got %d claims marked unknown, want 2", got)
		}
		claimAs(t, b, "body", goose.ClaimUnknown)
	})
}

// Guards against records that are kept for ever or for less than the retention
// period, and against a store lease for each order.
func TestRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := open(t, m, "a")
		time.Sleep(slotLength)
		for i, after := range []time.Duration{0, slotLength - time.Second, time.Second} {
			time.Sleep(after)
			key := goose.OrderKey{Key: string(rune('a' + i))}
			l.Finish(l.Claim(t.Context(), key, "", "").Order, answer)
		}
		synctest.Wait()
		if got := m.Counts()[goosestore.CallLease]; got != 2 {
			t.Errorf("got %d leases, want one per hour with claims", got)
		}
		time.Sleep(DefaultRetention - time.Second)
		listed(t, l, goose.OrderDone, 3)
		time.Sleep(2 * time.Second)
		listed(t, l, goose.OrderDone, 1)
		time.Sleep(slotLength)
		listed(t, l, "", 0)
		closeAll(t, l)
	})
}

// Guards against a claim that fails for good after the store dropped the
// instance's retention lease.
func TestRetentionLeaseGone(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := open(t, m, "a")
		id, err := l.retention.lease(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Revoke(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		claimAs(t, l, "body", goose.ClaimGranted)
	})
}

// Guards against records that operators settle although they are known.
func TestSettleRefuses(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		l := open(t, m, "a")
		if err := l.Settle(t.Context(), order, goose.OrderDone, "isla"); !errors.Is(err, ErrNoOrder) {
			t.Errorf("got %v, want ErrNoOrder", err)
		}
		o := claimAs(t, l, "body", goose.ClaimGranted)
		if err := l.Settle(t.Context(), order, goose.OrderDone, "isla"); !errors.Is(err, ErrNotUnknown) {
			t.Errorf("got %v for a running order, want ErrNotUnknown", err)
		}
		l.Unknown(o)
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

// Guards against a repeat that is told that its order did not run because the
// store is down, although the order runs or ran on the same instance.
func TestRepeatsWhileStoreIsDown(t *testing.T) {
	tests := map[goose.ClaimStatus]func(*Ledger, goose.Order){
		goose.ClaimRunning:     func(*Ledger, goose.Order) {},
		goose.ClaimDone:        func(l *Ledger, o goose.Order) { l.Finish(o, answer) },
		goose.ClaimUnknown:     (*Ledger).Unknown,
		goose.ClaimUnavailable: (*Ledger).NotRun,
	}
	for want, end := range tests {
		t.Run(string(want), func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				l := open(t, m, "a")
				o := claimAs(t, l, "body", goose.ClaimGranted)
				m.SetFaults(goosestore.Faults{Down: true})
				end(l, o)
				time.Sleep(time.Hour)
				got := claimAs(t, l, "body", want)
				if want == goose.ClaimDone && string(got.Answer.Body) != string(answer.Body) {
					t.Errorf("got answer %q, want %q", got.Answer.Body, answer.Body)
				}
				claimAs(t, l, "other body", goose.ClaimKeyReused)
				if found, ok, err := l.Lookup(t.Context(), order); !ok || err != nil || found.Nonce != o.Nonce {
					t.Errorf("got %+v, %v, %v, want the order", found, ok, err)
				}
			})
		})
	}
}
