package gooseentry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	orderPath = "/services/orders/book"
	orderBody = `{"tool":"die"}`
)

// Guards against an order that runs twice, is lost or gets a wrong answer: a
// repeat with the same key never reaches the backend server a second time.
func TestOrders(t *testing.T) {
	booking := func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("booked"))
	}
	expiring := func(n int) func(*Options, *testEntry) {
		return func(_ *Options, e *testEntry) {
			e.permits.Lifetime = map[int]time.Duration{}
			for i := 1; i <= n; i++ {
				e.permits.Lifetime[i] = 500 * time.Millisecond
			}
			e.ledger.Delay = time.Second
		}
	}
	for name, c := range map[string]struct {
		change   func(*Options, *testEntry)
		handle   goosetest.Handler
		header   []string
		first    string
		repeat   string
		sent     int
		state    goose.OrderState
		claims   int64
		outcomes string
	}{
		"answered": {
			handle: booking, first: "booked", repeat: "booked", sent: 1, state: goose.OrderDone,
			claims: 2, outcomes: "finished not-sent",
		},
		"permit expires during a slow claim": {
			change: expiring(1), handle: booking, first: "booked", repeat: "booked", sent: 1, state: goose.OrderDone,
			claims: 2, outcomes: "not-sent finished not-sent",
		},
		"response lost": {
			handle: func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) { goosetest.HangUp(w) },
			first:  "order-unknown unknown", repeat: "order-unknown unknown", sent: 1, state: goose.OrderUnknown,
			claims: 2, outcomes: "failed not-sent",
		},
		"deadline while it runs": {
			handle: goosetest.Stuck(0),
			header: []string{"X-Request-Timeout", "1s"},
			first:  "deadline unknown", repeat: "order-unknown unknown", sent: 1, state: goose.OrderUnknown,
			claims: 2, outcomes: "cancelled not-sent",
		},
		"deadline during the claim": {
			change: expiring(0), handle: booking, header: []string{"X-Request-Timeout", "700ms"},
			first: "deadline not-run", repeat: "deadline not-run", state: goose.OrderNotRun, claims: 2, outcomes: "not-sent not-sent",
		},
		"backend server unreachable": {
			change: func(_ *Options, e *testEntry) { e.catalogue.Servers[2].Address = "127.0.0.1:1" }, handle: booking,
			first: "overloaded not-run", repeat: "overloaded not-run", state: goose.OrderNotRun, claims: 2, outcomes: "not-sent not-sent",
		},
	} {
		t.Run(name, func(t *testing.T) {
			shop := goosetest.NewBackend(t, c.handle)
			e := newTestEntry(t, c.change, shop)
			for i, want := range []string{c.first, c.repeat} {
				resp := e.post(t, orderPath, orderBody, append(c.header, "Idempotency-Key", "k")...)
				got := resp.body
				if resp.status != http.StatusCreated {
					ref := decodeRefusal(t, got)
					got = string(ref.Code) + " " + string(ref.Run)
				}
				if got != want {
					t.Errorf("response %d: got %q, want %q", i+1, got, want)
				}
				e.waitIdle(t)
			}
			e.waitDrained(t)
			if got := shop.Seen("POST"); got != c.sent {
				t.Errorf("requests at the backend server: got %d, want %d", got, c.sent)
			}
			if got := e.ledger.Orders["k"].State; got != c.state {
				t.Errorf("state: got %q, want %q", got, c.state)
			}
			if got := e.ledger.Claims.Load(); got != c.claims {
				t.Errorf("claims: got %d, want %d", got, c.claims)
			}
			if got := e.permits.Outcomes(); got != c.outcomes {
				t.Errorf("outcomes: got %q, want %q", got, c.outcomes)
			}
		})
	}
}

// Guards against an order on a model service that is retried after its engine
// crashed, or whose repeat runs again.
func TestModelOrder(t *testing.T) {
	for name, c := range map[string]struct {
		handle goosetest.Handler
		first  string
		repeat string
	}{
		"answered":       {handle: goosetest.Answering(2), first: "t0 t1 ", repeat: `"content":"t0 t1 "`},
		"engine crashes": {handle: goosetest.Dying(2), first: "order-unknown", repeat: "order-unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			one, other := goosetest.NewBackend(t, c.handle), goosetest.NewBackend(t, c.handle)
			e := newTestEntry(t, func(_ *Options, e *testEntry) { e.catalogue.Services[0].Idempotent = false }, one, other)
			for i, want := range []string{c.first, c.repeat} {
				resp := e.post(t, "/v1/chat/completions", chatBody, "Idempotency-Key", "k")
				if !strings.Contains(streamText(resp.body)+resp.body, want) {
					t.Errorf("response %d: got %q, want %q in it", i+1, resp.body, want)
				}
				e.waitIdle(t)
			}
			if got := one.Seen("POST") + other.Seen("POST"); got != 1 {
				t.Errorf("attempts: got %d, want 1", got)
			}
		})
	}
}

// waitIdle waits until no request is in flight.
func (e *testEntry) waitIdle(t testing.TB) {
	t.Helper()
	for range 5000 {
		if e.RequestsInFlight() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("requests still running")
}

// Guards against two concurrent requests for the same order that both run, and
// against an order that is cancelled because its caller disconnects: the other
// caller still gets the answer.
func TestConcurrentRepeatsOfOrder(t *testing.T) {
	running := make(chan struct{})
	release := make(chan struct{})
	shop := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = w.Write([]byte("booked"))
	})
	e := newTestEntry(t, nil, shop)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error)
	go func() {
		resp, err := e.send(ctx, orderPath, orderBody, "Idempotency-Key", "k")
		if err == nil {
			_ = resp.Body.Close()
		}
		left <- err
	}()
	<-running
	joined := make(chan response)
	go func() { joined <- e.post(t, orderPath, orderBody, "Idempotency-Key", "k") }()
	for e.ledger.Claims.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	leave()
	if err := <-left; err == nil {
		t.Error("first caller: got a response, want a failed request")
	}
	// The first caller's handler ends. Its worker and the second caller's
	// handler and worker continue.
	for e.RequestsInFlight() > 3 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	if got := (<-joined).body; got != "booked" {
		t.Errorf("second caller: got %q, want %q", got, "booked")
	}
	e.waitDrained(t)
	if got := shop.Seen("POST"); got != 1 {
		t.Errorf("requests at the backend server: got %d, want 1", got)
	}
	if got, want := e.permits.Outcomes(), "not-sent finished"; got != want {
		t.Errorf("outcomes: got %q, want %q", got, want)
	}
}

// Guards against a refusal that says not-run for an order that an earlier
// request with the same key ran: a repeat gets the answer, even without a
// permit.
func TestRefusedRepeatReportsEarlierRun(t *testing.T) {
	shop := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("booked")) })
	e := newTestEntry(t, func(o *Options, e *testEntry) { o.Ledger = lookupLedger{e.ledger} }, shop)
	e.post(t, orderPath, orderBody, "Idempotency-Key", "k")
	e.permits.Mu.Lock()
	e.permits.Refuse = func(goose.PermitRequest) *goose.Refusal {
		n := goose.NotRunRefusal(goose.CodeOverloaded, "full")
		return &n
	}
	e.permits.Mu.Unlock()
	for name, c := range map[string]struct{ key, body, want string }{
		"repeat":                   {key: "k", body: orderBody, want: "booked"},
		"different body, same key": {key: "k", body: "{}", want: `"run":"ran"`},
		"new order":                {key: "new", body: orderBody, want: `"run":"not-run"`},
		"repeat, not admitted":     {key: "k", body: strings.Repeat("x", 9<<20), want: `"run":"ran"`},
	} {
		if got := e.post(t, orderPath, c.body, "Idempotency-Key", c.key).body; !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q in it", name, got, c.want)
		}
	}
}

type lookupLedger struct{ *goosetest.Ledger }

func (l lookupLedger) Lookup(_ context.Context, k goose.OrderKey) (goose.Order, bool, error) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	o, ok := l.Orders[k.Key]
	return o, ok, nil
}
