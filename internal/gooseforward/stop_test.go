package gooseforward

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against requests that an instance takes shortly before it stops and then cuts: those
// that cannot end in time are refused at once as not run, and the others are served.
func TestRequestsWhileInstanceStops(t *testing.T) {
	t.Parallel()
	const duration = 50 * time.Millisecond
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(duration)
		succeed(w, r)
	}
	tests := map[string]struct {
		path string
		// known is the number of requests that were served before.
		known int
		left  time.Duration
		want  int
	}{
		"time enough":                     {path: "/look/x", known: 3, left: time.Hour, want: http.StatusOK},
		"too late":                        {path: "/look/x", known: 3, left: duration / 2, want: http.StatusServiceUnavailable},
		"too late for an order":           {path: "/order/x", known: 3, left: duration / 2, want: http.StatusServiceUnavailable},
		"after the end":                   {path: "/order/x", known: 3, left: -duration, want: http.StatusServiceUnavailable},
		"of unknown duration":             {path: "/order/x", left: time.Hour, want: http.StatusOK},
		"after the end, duration unknown": {path: "/order/x", left: -duration, want: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, slow)
			for range tc.known {
				if got := h.post(tc.path, "body"); got.status != http.StatusOK {
					t.Fatalf("got status %d before the stop", got.status)
				}
			}
			before := h.reached("i-0")
			h.drain(tc.left)
			got := h.post(tc.path, "body")
			if got.status != tc.want {
				t.Errorf("got status %d, body %s, want %d", got.status, got.body, tc.want)
			}
			if tc.want == http.StatusOK {
				return
			}
			if !strings.Contains(got.body, `"run":"not-run"`) || got.header.Get("Retry-After") == "" || h.reached("i-0") != before {
				t.Errorf("got body %s, Retry-After %q, %d requests at the replica, want a refusal as not run", got.body, got.header.Get("Retry-After"), h.reached("i-0")-before)
			}
		})
	}
}

// Guards against a connection that is closed without a response when the instance stops while
// a replica still works on the request.
func TestRunningRequestGetsResponseAtStop(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"may be repeated": "/look/x", "may run once": "/order/x", "a stream before its first event": "/whole/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				respondNever(w, r)
			})
			answer := make(chan callerResponse)
			go func() { answer <- h.post(path, "body") }()
			<-arrived
			h.endWork()
			if got := <-answer; got.cut || got.status != http.StatusGatewayTimeout {
				t.Errorf("got status %d, cut %t, want a complete 504", got.status, got.cut)
			}
		})
	}
}
