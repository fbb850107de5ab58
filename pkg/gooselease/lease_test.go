package gooselease

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

const (
	key = "pools/leith/mend-llm"
	ttl = 3 * time.Second
)

var logger = slog.New(slog.DiscardHandler)

func campaign(t *testing.T, s goose.Store, i goose.InstanceID) *HeldLease {
	t.Helper()
	h, err := New(s, i, ttl, logger).Campaign(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func resign(t *testing.T, h *HeldLease) {
	t.Helper()
	if err := h.Resign(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against two holders at a time, and against epochs that do not increase.
func TestOneHolder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := goosestore.NewMemory(goose.SystemClock{})
		a := campaign(t, m, "a")
		_, err := New(m, "b", ttl, logger).Campaign(t.Context(), key)
		var heldByOther *HeldByOtherError
		if !errors.As(err, &heldByOther) || heldByOther.Holder.Instance != "a" || heldByOther.Holder.Epoch != a.Epoch() {
			t.Errorf("got %v, want held by a", err)
		}
		time.Sleep(10 * ttl)
		if got := a.Status(); got != StatusHeld {
			t.Errorf("got %s after renewals, want held", got)
		}
		resign(t, a)
		<-a.Done()
		if !a.Deadline().IsZero() || a.Status() != StatusResigned {
			t.Errorf("got %s, %s after resigning", a.Deadline(), a.Status())
		}
		b := campaign(t, m, "b")
		if b.Epoch() <= a.Epoch() {
			t.Errorf("got epoch %d after %d", b.Epoch(), a.Epoch())
		}
		resign(t, b)
	})
}

// pausableStore is a clock and a store that simulate a pause of the process:
// the clock can jump forward while the response to a renewal is in flight.
type pausableStore struct {
	*goosestore.Memory
	mu     sync.Mutex
	offset time.Duration
	// onRenew runs once, after the next renewal has taken effect.
	onRenew atomic.Pointer[func()]
}

func (p *pausableStore) Now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.offset)
}

func (p *pausableStore) advance(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset += d
}

func (p *pausableStore) KeepAlive(ctx context.Context, id goose.LeaseID) (time.Duration, error) {
	d, err := p.Memory.KeepAlive(ctx, id)
	if f := p.onRenew.Swap(nil); f != nil {
		(*f)()
	}
	return d, err
}

func newPausableStore() *pausableStore {
	p := &pausableStore{}
	p.Memory = goosestore.NewMemory(p)
	return p
}

// Guards against a process that was paused past the TTL and relies on a stale
// deadline, before or after its first renewal, while another instance holds the
// key.
func TestPausedPastTTL(t *testing.T) {
	t.Parallel()
	tests := map[string]func(p *pausableStore){
		"between renewals": func(p *pausableStore) { p.advance(2 * ttl) },
		"during a renewal": func(p *pausableStore) {
			jump := func() { p.advance(ttl) }
			p.onRenew.Store(&jump)
			time.Sleep(ttl / 3)
		},
		"while the store is down": func(p *pausableStore) {
			p.SetFaults(goosestore.Faults{Down: true})
			time.Sleep(ttl / 2)
			p.advance(ttl)
			time.Sleep(ttl)
			p.SetFaults(goosestore.Faults{})
		},
		"while responses are lost": func(p *pausableStore) {
			p.SetFaults(goosestore.Faults{Loss: func(goosestore.CallKind) goosestore.Loss { return goosestore.LossResponse }})
			time.Sleep(ttl / 2)
			p.advance(2 * ttl)
			p.Expire()
			p.SetFaults(goosestore.Faults{})
		},
	}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newPausableStore()
				a, err := New(p, "a", ttl, logger).WithClock(p).Campaign(t.Context(), key)
				if err != nil {
					t.Fatal(err)
				}
				pause(p)
				synctest.Wait()
				if got := a.Status(); got != StatusUnreachable {
					t.Errorf("got %s right after the pause, want unreachable", got)
				}
				b := campaign(t, p.Memory, "b")
				<-a.Done()
				if a.Status() != StatusLost || b.Epoch() <= a.Epoch() {
					t.Errorf("got %s with epoch %d, want lost before epoch %d", a.Status(), a.Epoch(), b.Epoch())
				}
				resign(t, b)
			})
		})
	}
}

// Guards against a holder that stops renewing or loses its key because the
// store does not respond for a short time, and against a holder that extends
// its deadline beyond what the store granted.
func TestRenewalUnderFaults(t *testing.T) {
	t.Parallel()
	loseLeaseCalls := func(n int64, loss goosestore.Loss) goosestore.Faults {
		var seen atomic.Int64
		return goosestore.Faults{Loss: func(c goosestore.CallKind) goosestore.Loss {
			if c != goosestore.CallLease || seen.Add(1) > n {
				return goosestore.LossNone
			}
			return loss
		}}
	}
	tests := map[string]struct {
		faults goosestore.Faults
		after  time.Duration
		want   Status
		// later is the status one TTL after the faults have ended.
		later Status
	}{
		"one response lost":        {loseLeaseCalls(1, goosestore.LossResponse), 3 * ttl, StatusHeld, StatusHeld},
		"one request lost":         {loseLeaseCalls(1, goosestore.LossRequest), 3 * ttl, StatusHeld, StatusHeld},
		"all responses lost":       {loseLeaseCalls(1e9, goosestore.LossResponse), 3 * ttl, StatusUnreachable, StatusHeld},
		"all requests lost":        {loseLeaseCalls(1e9, goosestore.LossRequest), 3 * ttl, StatusUnreachable, StatusLost},
		"down for a moment":        {goosestore.Faults{Down: true}, ttl / 2, StatusHeld, StatusHeld},
		"down for long":            {goosestore.Faults{Down: true}, 3 * ttl, StatusUnreachable, StatusLost},
		"slow":                     {goosestore.Faults{Slow: ttl / 4}, 3 * ttl, StatusHeld, StatusHeld},
		"slower than the renewals": {goosestore.Faults{Slow: ttl}, 3 * ttl, StatusUnreachable, StatusHeld},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := goosestore.NewMemory(goose.SystemClock{})
				h := campaign(t, m, "a")
				m.SetFaults(tt.faults)
				time.Sleep(tt.after)
				if got := h.Status(); got != tt.want {
					t.Errorf("got %s under faults, want %s", got, tt.want)
				}
				m.SetFaults(goosestore.Faults{})
				time.Sleep(ttl)
				if got := h.Status(); got != tt.later {
					t.Errorf("got %s afterwards, want %s", got, tt.later)
				}
				resign(t, h)
			})
		})
	}
}

// Guards against a campaign whose lost response leaves the key without a holder
// that uses it, and against a campaign that acquires the key after its caller got
// an error.
func TestCampaignUnderFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		how  goosestore.Loss
		n    int64
		held bool
	}{
		"response lost":      {goosestore.LossResponse, 1, true},
		"request lost":       {goosestore.LossRequest, 1, true},
		"late":               {goosestore.LossResponseLateEffect, 1, true},
		"all responses lost": {goosestore.LossResponse, 1e9, false},
		"all requests late":  {goosestore.LossResponseLateEffect, 1e9, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := goosestore.NewMemory(goose.SystemClock{})
				var seen atomic.Int64
				m.SetFaults(goosestore.Faults{EffectDelay: ttl / 2, Loss: func(c goosestore.CallKind) goosestore.Loss {
					if c != goosestore.CallTxn || seen.Add(1) > tt.n {
						return goosestore.LossNone
					}
					return tt.how
				}})
				ctx, cancel := context.WithTimeout(t.Context(), ttl/3)
				defer cancel()
				want := time.Now().Add(ttl)
				h, err := New(m, "a", ttl, logger).Campaign(ctx, key)
				if held := err == nil; held != tt.held {
					t.Fatalf("got %v, want held %v", err, tt.held)
				}
				if tt.held && !h.Deadline().Equal(want) {
					t.Errorf("got deadline %s, want %s, counted from the start", h.Deadline(), want)
				}
				m.SetFaults(goosestore.Faults{})
				if !tt.held {
					if !errors.Is(err, goose.ErrOutcomeUnknown) {
						t.Errorf("got %v, want ErrOutcomeUnknown", err)
					}
					time.Sleep(time.Millisecond)
					h = campaign(t, m, "b")
				}
				time.Sleep(2 * ttl)
				if got := h.Status(); got != StatusHeld {
					t.Errorf("got %s, want held", got)
				}
				resign(t, h)
			})
		})
	}
}

// Guards against a key that no instance can acquire for a TTL because calls were
// lost while its holder resigned, and against waiters that miss the deletion.
func TestResignWakesWaiters(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := goosestore.NewMemory(goose.SystemClock{})
		h := campaign(t, m, "a")
		waiter := New(m, "b", ttl, logger)
		free := make(chan error, 1)
		go func() { free <- waiter.AwaitFree(context.Background(), key) }()
		synctest.Wait()
		var seen atomic.Int64
		m.SetFaults(goosestore.Faults{Loss: func(goosestore.CallKind) goosestore.Loss {
			if seen.Add(1) == 1 {
				return goosestore.LossRequest
			}
			return goosestore.LossNone
		}})
		start := time.Now()
		resign(t, h)
		if err := <-free; err != nil || time.Since(start) >= ttl {
			t.Errorf("got %v after %s, want the key free at once", err, time.Since(start))
		}
		b := campaign(t, m, "b")
		m.SetFaults(goosestore.Faults{Down: true})
		if err := waiter.AwaitFree(t.Context(), key); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("got %v while the store is down, want ErrUnavailable", err)
		}
		m.SetFaults(goosestore.Faults{})
		resign(t, b)
	})
}

// Guards against a holder that extends its deadline again although the key was
// deleted while the store did not respond.
func TestKeyDeletedDuringOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := goosestore.NewMemory(goose.SystemClock{})
		h := campaign(t, m, "a")
		m.SetFaults(goosestore.Faults{Loss: func(c goosestore.CallKind) goosestore.Loss {
			if c == goosestore.CallLease {
				return goosestore.LossResponse
			}
			return goosestore.LossNone
		}})
		time.Sleep(2 * ttl)
		if _, err := m.Commit(t.Context(), goose.Txn{Then: []goose.Op{goose.Delete(key)}}); err != nil {
			t.Fatal(err)
		}
		m.SetFaults(goosestore.Faults{})
		<-h.Done()
		if got := h.Status(); got != StatusLost {
			t.Errorf("got %s, want lost", got)
		}
	})
}

// Guards against a key's value that makes the decoder panic, or that is accepted
// without a nonce.
var decodeTarget = goosefuzz.Target{
	Runs:  500_000,
	Seeds: [][]any{{[]byte("\xa2\x01aa\x02ab")}},
	Check: func(t *testing.T, value []byte) {
		if r, err := decodeRecord(value); err == nil && r.Nonce == "" {
			t.Errorf("got %+v without error", r)
		}
	},
}

func FuzzDecode(f *testing.F)     { decodeTarget.Fuzz(f) }
func TestFuzzDecode(t *testing.T) { decodeTarget.Test(t) }

// BenchmarkStatus measures the check that a dispatcher makes before each grant.
func BenchmarkStatus(b *testing.B) {
	h, err := New(goosestore.NewMemory(goose.SystemClock{}), "a", ttl, logger).Campaign(context.Background(), key)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if h.Status() != StatusHeld {
			b.Fatal("not held")
		}
	}
	_ = h.Resign(context.Background())
}

// BenchmarkCampaign measures acquiring and resigning a key without store latency,
// and reports the store calls per iteration.
func BenchmarkCampaign(b *testing.B) {
	m := goosestore.NewMemory(goose.SystemClock{})
	c := New(m, "a", ttl, logger)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		h, err := c.Campaign(context.Background(), key)
		if err != nil {
			b.Fatal(err)
		}
		if err := h.Resign(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.Counts().Total())/float64(n), "calls/op")
}
