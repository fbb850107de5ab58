package gooseforward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// giant sends a prompt that needs the memory of three replicas of a harness.
func (h *harness) giant() callerResponse {
	r := h.request(h.t.Context(), "/stream/x", "")
	r.Header.Set("X-Tokens", "2300,10")
	return h.send(r)
}

// reservations returns the counter of reservations with the result.
func (h *harness) reservations(result reservationResult) int {
	m := h.forwarder.o.Metrics
	return int(m.set.GetOrCreateCounter(fmt.Sprintf("gooseberryhold_reservations_total{service=%q,result=%q}", "desk", result)).Get())
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func answerStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// Guards against a refusal by one helper that costs the reservations at all others, and the
// request. The load pattern is prompts above a replica's memory in a fleet under load.
func TestRefusingHelperIsReplaced(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		refuse http.HandlerFunc
		// released is set if the replica may have reserved memory.
		released bool
	}{
		"memory not free": {refuse: answerStatus(http.StatusConflict)},
		"draining":        {refuse: answerStatus(http.StatusServiceUnavailable)},
		"leaving":         {refuse: leaving(answerStatus(http.StatusServiceUnavailable))},
		"no response":     {refuse: disconnect, released: true},
		"unclear":         {refuse: answerStatus(http.StatusBadGateway), released: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newReservations()
			m.refuse, m.answer = "i-2", tc.refuse
			served := make(chan string, 1)
			h := newEngineHarnessOf(t, 5, m, func(w http.ResponseWriter, r *http.Request) {
				if tickets, least := m.held(); tickets != 2 || least != 1 {
					t.Errorf("got %d tickets, reserved %d times, want two, once", tickets, least)
				}
				for _, id := range []string{"i-0", "i-1", "i-3", "i-4"} {
					if n := m.releases(id); n != 0 {
						t.Errorf("got %d releases at %s before the request, want its reservation kept", n, id)
					}
				}
				served <- r.Header.Get("X-Helpers")
				events(1, 2, false)(w, r)
			})
			if got := h.giant(); got.status != http.StatusOK || got.body != eventText(2) {
				t.Fatalf("got status %d, body %q", got.status, got.body)
			}
			if got := <-served; strings.Count(got, "/a1-") != 2 || strings.Contains(got, h.address("i-2")) {
				t.Errorf("got helpers %q, want two without the one that refused", got)
			}
			if tickets, _ := m.held(); tickets != 0 {
				t.Errorf("got %d tickets after the request, want none", tickets)
			}
			if tc.released {
				waitUntil(t, "the release of the reservation without a result", func() bool { return m.releases("i-2") > 0 })
			}
			for result, want := range map[reservationResult]int{reservationMade: 2, reservationRefused: 1, reservationReplaced: 1, reservationUnused: 0} {
				if got := h.reservations(result); got != want {
					t.Errorf("got %d reservations counted as %s, want %d", got, result, want)
				}
			}
			if !h.log.Has(`"event":750`) || len(h.placer.Report(time.Now()).Replicas) != 0 {
				t.Errorf("got load %v and log %s, want none and a line about the replacement", h.placer.Report(time.Now()).Replicas, h.log.String())
			}
		})
	}
}

// Guards against releases that are sent once and lost, so that memory lies reserved unused.
func TestReleaseIsRepeated(t *testing.T) {
	t.Parallel()
	m := newReservations()
	m.failReleases = 2
	h := newEngineHarnessOf(t, 3, m, events(1, 2, false))
	if got := h.giant(); got.status != http.StatusOK {
		t.Fatalf("got status %d", got.status)
	}
	waitUntil(t, "the release", func() bool { tickets, _ := m.held(); return tickets == 0 })
}

// Guards against memory that stays reserved because a reservation arrives after its release.
func TestLateReservationIsReleased(t *testing.T) {
	t.Parallel()
	m := newReservations()
	m.refuse, m.delay = "i-2", reservationTimeout+100*time.Millisecond
	h := newEngineHarnessOf(t, 5, m, events(1, 2, false))
	if got := h.giant(); got.status != http.StatusOK {
		t.Fatalf("got status %d", got.status)
	}
	waitUntil(t, "the release of the late reservation", func() bool {
		tickets, _ := m.held()
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.late > 0 && tickets == 0
	})
}

// Guards against a first replica that is given up, and a helper that is used again, after the
// first replica has named the helper as the one at fault.
func TestHelperAtFaultIsExcluded(t *testing.T) {
	t.Parallel()
	var h *harness
	var mu sync.Mutex
	var attempts []string
	handle := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		helpers := strings.Split(r.Header.Get("X-Helpers"), ",")
		attempts = append(attempts, r.Header.Get("X-Expect-Instance")+": "+strings.Join(helpers, ","))
		if len(attempts) <= 2 {
			w.Header().Set("At-Server", helpers[0])
			decline(w, r)
			return
		}
		events(1, 2, false)(w, r)
	}
	h = newSlowEngineHarness(t, 9, handle)
	r := h.request(t.Context(), "/stream/x", "")
	r.Header.Set("X-Tokens", "900,10")
	if got := h.send(r); got.status != http.StatusOK || got.body != eventText(2) {
		t.Fatalf("got status %d, body %q after the attempts %v", got.status, got.body, attempts)
	}
	first, _, _ := strings.Cut(attempts[0], ":")
	for i, a := range attempts {
		replica, helpers, _ := strings.Cut(a, ": ")
		if replica != first {
			t.Errorf("got attempt %d at %s, want %s again", i, replica, first)
		}
		for _, earlier := range attempts[:i] {
			_, list, _ := strings.Cut(earlier, ": ")
			if fault, _, _ := strings.Cut(list, ","); strings.Contains(helpers+",", fault+",") {
				t.Errorf("got helpers %s in attempt %d, want them without %s", helpers, i, fault)
			}
		}
	}
}

// Guards against the longest prompts that are refused for good after three leaving replicas
// have declined them within milliseconds.
func TestLongestPromptOutlastsDeclines(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	declined := 0
	h := newSlowEngineHarness(t, 9, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if declined < 5 {
			declined++
			leaving(decline)(w, r)
			return
		}
		events(1, 2, false)(w, r)
	})
	r := h.request(t.Context(), "/stream/x", "")
	r.Header.Set("X-Tokens", "900,10")
	if got := h.send(r); got.status != http.StatusOK || got.body != eventText(2) {
		t.Errorf("got status %d, body %q after %d declines, want the response of the sixth replica", got.status, got.body, declined)
	}
}

// busy reports a pending prefill on all replicas of the harness, as a peer does.
func (h *harness) busy(prefill time.Duration, tokens int) {
	r := gooseplacement.Report{Replicas: map[goose.ReplicaID]gooseplacement.Load{}}
	for _, replica := range h.directory.Current().Replicas("desk") {
		r.Replicas[replica.ID] = gooseplacement.Load{Requests: 1, Waiting: 1, Prefill: prefill, Tokens: tokens}
	}
	h.placer.SetPeerReport("peer", r, time.Now())
}

// Guards against long prompts that are refused although a set of replicas becomes free within
// their objective, and against those that are held although none does, their caller has
// disconnected, or all replicas have gone.
func TestWaitForSet(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path    string
		prefill time.Duration
		// meanwhile happens while the request waits.
		meanwhile func(h *harness, cancel context.CancelFunc)
		want      int
		// retryAfter is the least value of Retry-After.
		retryAfter float64
	}{
		"becomes free":       {path: "/stream/x", prefill: 3 * time.Second, meanwhile: func(h *harness, _ context.CancelFunc) { h.busy(0, 0) }, want: 200},
		"not in time":        {path: "/brief/x", prefill: 3 * time.Second, want: 429, retryAfter: 2.8},
		"caller disconnects": {path: "/stream/x", prefill: 3 * time.Second, meanwhile: func(_ *harness, cancel context.CancelFunc) { cancel() }},
		"replicas go": {path: "/stream/x", prefill: 3 * time.Second, meanwhile: func(h *harness, _ context.CancelFunc) {
			h.directory.Replace([]goose.ChangeKind{goose.ChangeReplica}, nil, time.Now())
		}, want: 503},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newReservations()
			h := newEngineHarnessOf(t, 3, m, events(1, 2, false))
			h.busy(tc.prefill, 1000)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan callerResponse, 1)
			go func() {
				r := h.request(ctx, tc.path, "")
				r.Header.Set("X-Tokens", "2300,10")
				done <- h.send(r)
			}()
			if tc.meanwhile != nil {
				waitUntil(t, "the wait", func() bool { return h.log.Has(`"event":752`) })
				tc.meanwhile(h, cancel)
			}
			got := <-done
			if got.status != tc.want {
				t.Errorf("got status %d, body %s, want %d", got.status, got.body, tc.want)
			}
			if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); tc.retryAfter > 0 && (err != nil || after < tc.retryAfter || after > 2*tc.retryAfter) {
				t.Errorf("got Retry-After %q, want about %g", got.header.Get("Retry-After"), tc.retryAfter)
			}
			waitUntil(t, "the end of the request", func() bool { return h.log.Has(`"event":710`) || h.log.Has(`"event":711`) })
			if tickets, _ := m.held(); tickets != 0 {
				t.Errorf("got %d tickets, want none", tickets)
			}
		})
	}
}
