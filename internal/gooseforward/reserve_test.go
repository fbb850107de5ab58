package gooseforward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// reservations records the memory that replicas have reserved, by replica and ticket.
type reservations struct {
	mu      sync.Mutex
	tokens  map[string]int
	renewed map[string]int
	// refuse is the id of a replica without free memory. answer is its response, 409 if nil.
	refuse string
	answer http.HandlerFunc
	// delay is the time after which the replica reserves instead of refusing.
	delay time.Duration
	// released counts the releases at each replica. The first failReleases of all get no
	// response.
	released     map[string]int
	failReleases int
	// late counts the reservations made after the delay.
	late int
}

func newReservations() *reservations {
	return &reservations{tokens: map[string]int{}, renewed: map[string]int{}, released: map[string]int{}}
}

// serve serves a reservation or a release at a replica. It returns false for other
// requests.
func (m *reservations) serve(id string, w http.ResponseWriter, r *http.Request, body string) bool {
	if r.URL.Path != "/v1/order" {
		return false
	}
	var o struct {
		Op, ID string
		Tokens int
	}
	if err := json.Unmarshal([]byte(body), &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := id + "/" + o.ID
	switch {
	case o.Op == "release":
		m.released[id]++
		if m.failReleases > 0 {
			m.failReleases--
			panic(http.ErrAbortHandler)
		}
		delete(m.tokens, key)
	case id == m.refuse && m.delay > 0:
		m.mu.Unlock()
		time.Sleep(m.delay)
		m.mu.Lock()
		m.tokens[key] = o.Tokens
		m.late++
	case id == m.refuse && m.answer != nil:
		m.answer(w, r)
	case id == m.refuse:
		w.WriteHeader(http.StatusConflict)
	default:
		m.tokens[key] = o.Tokens
		m.renewed[key]++
	}
	return true
}

// releases returns the number of releases at a replica.
func (m *reservations) releases(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released[id]
}

// held returns the number of tickets that are held, and how often the least renewed of
// them was reserved.
func (m *reservations) held() (tickets, least int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.tokens {
		if n := m.renewed[key]; least == 0 || n < least {
			least = n
		}
	}
	return len(m.tokens), least
}

// newEngineHarness starts a harness with three replicas that have memory for 1,000 tokens each;
// handle serves their streams.
func newEngineHarness(t *testing.T, m *reservations, handle http.HandlerFunc) *harness {
	t.Helper()
	return newEngineHarnessOf(t, 3, m, handle)
}

// newEngineHarnessOf is newEngineHarness for n replicas.
func newEngineHarnessOf(t *testing.T, n int, m *reservations, handle http.HandlerFunc) *harness {
	t.Helper()
	service := goose.RoutedService{Name: "desk", Engine: &goose.EngineProfile{
		Slots: 16, MemoryTokens: 1000, StepsPerPass: 1, StepTime: time.Microsecond, PrefillTokensPerSecond: 177_000,
	}}
	var h *harness
	handler := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			h.mu.Lock()
			body := h.bodies[id][len(h.bodies[id])-1]
			h.mu.Unlock()
			if !m.serve(id, w, r, body) {
				handle(w, r)
			}
		}
	}
	var handlers []http.HandlerFunc
	for i := range n {
		handlers = append(handlers, handler("i-"+strconv.Itoa(i)))
	}
	h = newServiceHarness(t, service, handlers...)
	return h
}

// newSlowEngineHarness starts a harness with n replicas, each of which has memory for 1,000
// tokens and prefills one token per millisecond.
func newSlowEngineHarness(t *testing.T, n int, handle http.HandlerFunc) *harness {
	t.Helper()
	handlers := make([]http.HandlerFunc, n)
	for i := range handlers {
		handlers[i] = handle
	}
	return newServiceHarness(t, goose.RoutedService{Name: "desk", Engine: &goose.EngineProfile{
		Slots: 16, MemoryTokens: 1000, StepsPerPass: 1, StepTime: time.Microsecond, PrefillTokensPerSecond: 1000,
	}}, handlers...)
}

// address returns the address of a replica.
func (h *harness) address(id goose.ReplicaID) string {
	r, _ := h.directory.Current().Lookup(id)
	return r.Address
}

// Guards against reservations of a prompt over several replicas that expire while the
// prompt runs, or that stay after it has ended.
func TestReservationIsRenewedAndReleased(t *testing.T) {
	t.Parallel()
	m := newReservations()
	s := newEngineHarness(t, m, func(w http.ResponseWriter, r *http.Request) {
		if got := strings.Count(r.Header.Get("X-Helpers"), "/a1-"); got != 2 {
			t.Errorf("got helpers %q, want two with tickets", r.Header.Get("X-Helpers"))
		}
		for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
			if tickets, least := m.held(); tickets == 2 && least >= 2 {
				break
			}
			if time.Now().After(deadline) {
				t.Error("the reservations were not renewed")
				break
			}
		}
		events(1, 2, false)(w, r)
	})
	r := s.request(t.Context(), "/stream/x", "")
	r.Header.Set("X-Tokens", "2300,10")
	if got := s.send(r); got.status != http.StatusOK || got.body != eventText(2) {
		t.Errorf("got status %d, body %q", got.status, got.body)
	}
	if tickets, _ := m.held(); tickets != 0 {
		t.Errorf("got %d tickets after the request, want none", tickets)
	}
}

// Guards against a prompt that runs with only a part of its memory, and against parts that
// stay reserved when another part is refused.
func TestReservationAllOrNothing(t *testing.T) {
	t.Parallel()
	m := newReservations()
	m.refuse = "i-2"
	s := newEngineHarness(t, m, func(w http.ResponseWriter, _ *http.Request) {
		t.Error("got a request whose memory is not reserved")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := s.request(t.Context(), "/brief/x", "")
	r.Header.Set("X-Tokens", "2300,10")
	got := s.send(r)
	if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests || !strings.Contains(got.body, `"run":"not-run"`) {
		t.Errorf("got status %d, body %s, want a refusal as not run", got.status, got.body)
	}
	if tickets, _ := m.held(); tickets != 0 {
		t.Errorf("got %d tickets after the refusal, want none", tickets)
	}
	if got := s.reservations(reservationUnused); got != 1 {
		t.Errorf("got %d reservations counted as released unused, want 1", got)
	}
}
