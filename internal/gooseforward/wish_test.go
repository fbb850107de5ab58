package gooseforward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// leaving adds to a handler that its replica leaves.
func leaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		h(w, r)
	}
}

// pausing declines requests and asks for a pause.
func pausing(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", seconds)
		decline(w, r)
	}
}

// Guards against requests that reach a replica after any of its responses has said that it
// leaves, while the store still lists it as ready, and against a response that is cut for it.
func TestReplicaLeaves(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		path     string
		response http.HandlerFunc
		// want is the status of the first response.
		want int
	}{
		"an answer":          {path: "/look/x", response: succeed, want: 200},
		"an order":           {path: "/order/x", response: succeed, want: 200},
		"a stream":           {path: "/stream/x", response: events(1, 3, false), want: 200},
		"a refusal":          {path: "/look/x", response: decline, want: 200},
		"an order's refusal": {path: "/order/x", response: decline, want: 200},
		"a failure":          {path: "/look/x", response: fail, want: 200},
		"a broken stream":    {path: "/stream/x", response: events(1, 2, true), want: 200},
		"of another request": {path: "/look/x", response: respondForOther, want: 200},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := http.HandlerFunc(succeed)
			if tc.path == "/stream/x" {
				second = events(1, 3, false)
			}
			h := newHarness(t, leaving(tc.response), second)
			if got := h.post(tc.path, "body"); got.status != tc.want || got.cut {
				t.Errorf("got status %d, cut %t for the first request, want %d", got.status, got.cut, tc.want)
			}
			for range 5 {
				if got := h.post(tc.path, "body"); got.status != http.StatusOK {
					t.Errorf("got status %d, want the response of the other replica", got.status)
				}
			}
			if got := h.reached("i-0"); got != 1 {
				t.Errorf("got %d requests at the replica that leaves, want 1", got)
			}
			if !h.log.Has(`"event":726`) {
				t.Error("got no line about the replica that leaves")
			}
			if t.Failed() {
				t.Logf("log of the forwarder:\n%s", h.log.String())
			}
		})
	}
}

// Guards against callers that wait although all replicas leave.
func TestAllReplicasLeave(t *testing.T) {
	t.Parallel()
	h := newHarness(t, leaving(succeed))
	h.post("/look/x", "body")
	got := h.post("/order/x", "body")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":"leaving","message"`) || !strings.Contains(got.body, `"run":"not-run"`) {
		t.Errorf("got status %d, body %s, want a refusal as not run", got.status, got.body)
	}
}

// Guards against requests that reach a replica in a pause that it has asked for, and against
// refusals that tell callers to come back before it ends.
func TestReplicaWantsPause(t *testing.T) {
	t.Parallel()
	const pause = 5
	tests := map[string]struct {
		replicas []http.HandlerFunc
		path     string
		sends    int
		// reached are the requests at the first replica; refused is whether the last request is
		// refused.
		reached int
		refused bool
	}{
		"another replica":      {replicas: []http.HandlerFunc{pausing("5"), succeed}, path: "/look/x", sends: 6, reached: 1},
		"orders":               {replicas: []http.HandlerFunc{pausing("5"), succeed}, path: "/order/x", sends: 6, reached: 1},
		"streams":              {replicas: []http.HandlerFunc{pausing("5"), events(1, 3, false)}, path: "/stream/x", sends: 6, reached: 1},
		"the only replica":     {replicas: []http.HandlerFunc{pausing("5")}, path: "/look/x", sends: 6, reached: 1, refused: true},
		"all replicas":         {replicas: []http.HandlerFunc{pausing("5"), pausing("6")}, path: "/order/x", sends: 6, reached: 1, refused: true},
		"a value that is none": {replicas: []http.HandlerFunc{pausing("soon"), succeed}, path: "/look/x", sends: 1, reached: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.replicas...)
			var got callerResponse
			for range tc.sends {
				got = h.post(tc.path, "body")
			}
			if n := h.reached("i-0"); n != tc.reached {
				t.Errorf("got %d requests at the replica, want %d", n, tc.reached)
			}
			if !tc.refused {
				if got.status != http.StatusOK {
					t.Errorf("got status %d, want 200", got.status)
				}
				return
			}
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != http.StatusTooManyRequests || err != nil || after < pause-1 || after > 2*pause {
				t.Errorf("got status %d, Retry-After %q, want 429 with about %d to %d s", got.status, got.header.Get("Retry-After"), pause, 2*pause)
			}
		})
	}
}

// Guards against a pause that is counted for another replica than the one that asked for it.
func TestPauseOfHelper(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed, succeed)
	now := time.Now()
	h.placer.RecordPause(goose.Replica{ID: "i-1", StartedUnixMS: 1}, time.Minute, now)
	if got := h.post("/look/x", "body"); got.status != http.StatusOK || h.reached("i-0") != 1 {
		t.Errorf("got status %d, %d requests at the other replica, want it to serve", got.status, h.reached("i-0"))
	}
}
