package gooseforward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// crash simulates a crash of the replica's process: it closes the server.
func crash(_ http.ResponseWriter, r *http.Request) {
	server, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if !ok {
		panic("no server in the context of a request")
	}
	_ = server.Close()
}

// crashAfter streams n events and then crashes.
func crashAfter(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		events(1, n, false)(w, r)
		crash(w, r)
	}
}

// respondNever sends no response.
func respondNever(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// Guards against crashes that are not recorded as evidence against their request, and
// against evidence that stays although a replica survived the request.
func TestCrashEvidence(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path     string
		replicas []http.HandlerFunc
		// times is how often the caller sends the request; once if it is zero.
		times int
		want  uint32
		// status is that of the last response, and reached the attempts at each replica.
		status  int
		reached []int
	}{
		"crash":                         {path: "/order/x", replicas: []http.HandlerFunc{crash}, want: 2, status: 502, reached: []int{1}},
		"crashes at two attempts":       {path: "/look/x", replicas: []http.HandlerFunc{crash, crash, succeed}, want: 4, status: 502, reached: []int{1, 1, 0}},
		"sent again after two crashes":  {path: "/look/x", replicas: []http.HandlerFunc{crash, crash, succeed}, times: 2, want: 4, status: 503, reached: []int{1, 1, 0}},
		"an order that is sent again":   {path: "/order/x", replicas: []http.HandlerFunc{crash, crash, succeed}, times: 4, want: 4, status: 503, reached: []int{1, 1, 0}},
		"crash, then served":            {path: "/look/x", replicas: []http.HandlerFunc{crash, succeed}, want: 0, status: 200, reached: []int{1, 1}},
		"crash, then failed":            {path: "/look/x", replicas: []http.HandlerFunc{crash, fail}, want: 0, status: 500, reached: []int{1, 1}},
		"crash, then declined":          {path: "/look/x", replicas: []http.HandlerFunc{crash, decline}, want: 2, status: 502, reached: []int{1, 1}},
		"disconnected by live replicas": {path: "/look/x", replicas: []http.HandlerFunc{disconnect, truncate}, want: 2, status: 502, reached: []int{1, 1}},
		"crash inside a stream":         {path: "/whole/x", replicas: []http.HandlerFunc{crashAfter(2)}, want: 1, status: 200, reached: []int{1}},
		"streams that crash replicas":   {path: "/stream/x", replicas: []http.HandlerFunc{crash, crash, crash}, times: 3, want: 4, status: 503, reached: []int{1, 1, 0}},
		"slow until the deadline":       {path: "/short/x", replicas: []http.HandlerFunc{respondNever}, want: 0, status: 504, reached: []int{1}},
		"declined":                      {path: "/look/x", replicas: []http.HandlerFunc{decline, decline}, want: 0, status: 503, reached: []int{1, 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.replicas...)
			var got callerResponse
			for range max(tc.times, 1) {
				got = h.post(tc.path, "body")
			}
			if got.status != tc.status {
				t.Errorf("got status %d, want %d", got.status, tc.status)
			}
			f := goose.NewFingerprint("guild", "", []byte("body")).WithTarget(http.MethodPost, tc.path)
			if got := h.quarantine.CrashRecord(f, time.Now()).Weight; got != tc.want {
				t.Errorf("got weight %d, want %d", got, tc.want)
			}
			for i, want := range tc.reached {
				if got := h.reached(fmt.Sprintf("i-%d", i)); got != want {
					t.Errorf("got %d requests at replica %d, want %d", got, i, want)
				}
			}
		})
	}
}

// Guards against a crash that is not recorded because the replica ends without closing
// the connection, and the deadline of the request passes before the crash is noticed.
func TestCrashAfterDeadlineIsRecorded(t *testing.T) {
	t.Parallel()
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		server := r.Context().Value(http.ServerContextKey).(*http.Server)
		go func() { _ = server.Shutdown(context.Background()) }()
		<-r.Context().Done()
	})
	if got := h.post("/short/x", "body"); got.status != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want 504", got.status)
	}
	f := goose.NewFingerprint("guild", "", []byte("body")).WithTarget(http.MethodPost, "/short/x")
	for start := time.Now(); h.quarantine.CrashRecord(f, time.Now()).Weight == 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("the crash was not recorded as evidence against the request")
		}
	}
}

// Guards against concurrent copies of one request that each crash several replicas. The
// load pattern is that of callers that retry immediately and often.
func TestConcurrentCopiesOfSuspect(t *testing.T) {
	t.Parallel()
	const copies, replicas = 5, 12
	var all []http.HandlerFunc
	arrived := make(chan struct{}, copies*replicas)
	allArrived := make(chan struct{})
	for range replicas {
		all = append(all, func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			<-allArrived
			// The pause lets the retries of all copies arrive before one of them crashes its
			// replica.
			time.Sleep(placementRetryInterval)
			crash(w, r)
		})
	}
	h := newHarness(t, all...)
	var callers sync.WaitGroup
	for range copies {
		callers.Go(func() { h.post("/look/x", "body") })
	}
	for range copies {
		<-arrived
	}
	close(allArrived)
	callers.Wait()
	total := 0
	for n := range replicas {
		total += h.reached(fmt.Sprintf("i-%d", n))
	}
	// One more attempt is allowed, since the first ones may not suffice as evidence.
	if total > copies+1 {
		t.Errorf("got %d replicas reached by %d concurrent copies, want at most %d", total, copies, copies+1)
	}
}

// Guards against equal requests that stay refused although one of them has run without a
// crash.
func TestEqualRequestsAfterACrash(t *testing.T) {
	t.Parallel()
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * placementRetryInterval)
		succeed(w, nil)
	}
	h := newHarness(t, crash, slow, slow)
	h.post("/order/x", "body")
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			got := h.post("/order/x", "body")
			// On a busy machine the running request takes longer than equal ones wait for it.
			for start := time.Now(); got.status == http.StatusServiceUnavailable && time.Since(start) < testTimeout; {
				got = h.post("/order/x", "body")
			}
			if got.status != http.StatusOK {
				t.Errorf("got status %d, body %s, want the response", got.status, got.body)
			}
		})
	}
	callers.Wait()
}

// Guards against a quarantine refusal that does not state that the request did not run,
// and against a quarantine that also affects other requests of the same caller.
func TestQuarantineRefusal(t *testing.T) {
	t.Parallel()
	h := newHarness(t, crash, crash, succeed)
	h.post("/look/x", "body")
	got := h.post("/look/x", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a Retry-After", got.status, got.header.Get("Retry-After"))
	}
	for _, want := range []string{`"code":"quarantined"`, `"run":"not-run"`, `"reason":"crashes-replicas"`} {
		if !strings.Contains(got.body, want) {
			t.Errorf("got body %s, want %s in it", got.body, want)
		}
	}
	for name, other := range map[string][2]string{"another body": {"/look/x", "other"}, "another path": {"/look/y", "body"}, "an order": {"/order/x", "body"}} {
		if got := h.post(other[0], other[1]); got.status != http.StatusOK {
			t.Errorf("got status %d for %s, want 200", got.status, name)
		}
	}
}
