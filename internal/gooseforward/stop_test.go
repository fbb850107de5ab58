package gooseforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against requests that an instance takes while it drains and then cuts: those whose
// deadline is later than the stop are refused at once as not run, however short earlier ones
// were, and the others are served.
func TestRequestsWhileInstanceStops(t *testing.T) {
	t.Parallel()
	const duration = 50 * time.Millisecond
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(duration)
		succeed(w, r)
	}
	tests := map[string]struct {
		path string
		// timeout is the caller's, if it is not zero; that of the route is an hour.
		timeout time.Duration
		// known is the number of requests that were served before.
		known int
		left  time.Duration
		want  int
	}{
		"time enough":                          {path: "/look/x", known: 3, left: 2 * time.Hour, want: http.StatusOK},
		"time enough for an order":             {path: "/order/x", known: 3, left: 2 * time.Hour, want: http.StatusOK},
		"too late":                             {path: "/look/x", known: 3, left: duration / 2, want: http.StatusServiceUnavailable},
		"too late for an order":                {path: "/order/x", known: 3, left: duration / 2, want: http.StatusServiceUnavailable},
		"after the end":                        {path: "/order/x", known: 3, left: -duration, want: http.StatusServiceUnavailable},
		"of unknown duration":                  {path: "/order/x", left: 2 * time.Hour, want: http.StatusOK},
		"of unknown duration, too late":        {path: "/order/x", left: time.Minute, want: http.StatusServiceUnavailable},
		"after the end, duration unknown":      {path: "/order/x", left: -duration, want: http.StatusServiceUnavailable},
		"usually short, deadline after stop":   {path: "/look/x", known: 3, left: time.Minute, want: http.StatusServiceUnavailable},
		"usually short order, deadline after":  {path: "/order/x", known: 3, left: time.Minute, want: http.StatusServiceUnavailable},
		"usually short stream, deadline after": {path: "/whole/x", known: 3, left: time.Minute, want: http.StatusServiceUnavailable},
		"short deadline of the caller":         {path: "/look/x", timeout: 10 * time.Second, left: time.Minute, want: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replica := slow
			if strings.HasPrefix(tc.path, "/whole/") {
				replica = streamOnce
			}
			h := newHarness(t, replica)
			for range tc.known {
				if got := h.post(tc.path, "body"); got.status != http.StatusOK {
					t.Fatalf("got status %d before the stop", got.status)
				}
			}
			before := h.reached("i-0")
			h.drain(tc.left)
			r := h.request(context.Background(), tc.path, "body")
			if tc.timeout > 0 {
				r.Header.Set("X-Deadline-Ms", strconv.FormatInt(tc.timeout.Milliseconds(), 10))
			}
			got := h.send(r)
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

// streamOnce responds with a stream of one event.
func streamOnce(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// Guards against requests whose bodies are still arriving when the instance begins to drain:
// their callers would wait for the body's end, and lose the refusal in a reset if the
// connection were closed with bytes unread.
func TestBodyArrivesWhileInstanceStops(t *testing.T) {
	t.Parallel()
	const length = 1000
	bodies := map[string]struct{ header, begin, end string }{
		"of known length": {
			header: fmt.Sprintf("Content-Length: %d", length),
			begin:  strings.Repeat("x", length/2), end: strings.Repeat("x", length/2),
		},
		"in chunks": {
			header: "Transfer-Encoding: chunked",
			begin:  "1f4\r\n" + strings.Repeat("x", length/2) + "\r\n", end: "1f4\r\n" + strings.Repeat("x", length/2) + "\r\n0\r\n\r\n",
		},
	}
	for name, body := range bodies {
		for _, drainFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, drains first %t", name, drainFirst), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, succeed)
				if drainFirst {
					h.drain(time.Minute)
				}
				conn, err := net.Dial("tcp4", strings.TrimPrefix(h.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				_, _ = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\n%s\r\n\r\n%s", body.header, body.begin)
				if !drainFirst {
					time.Sleep(50 * time.Millisecond)
					h.drain(time.Minute)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if _, err := io.WriteString(conn, body.end); err != nil {
					t.Errorf("got error %v for the rest of the body", err)
				}
				text, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || !strings.Contains(string(text), `"run":"not-run"`) {
					t.Errorf("got status %d, close %t, body %s, error %v, want a refusal as not run", resp.StatusCode, resp.Close, text, err)
				}
				if got := h.reached("i-0"); got != 0 {
					t.Errorf("got %d requests at the replica, want none", got)
				}
			})
		}
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
