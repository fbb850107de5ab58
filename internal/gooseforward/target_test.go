package gooseforward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sendTarget sends a request with the target as it is and returns the status.
func (h *harness) sendTarget(method, host, target string) (int, error) {
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target, host)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// lastTarget returns the method and target of the last request at the replica.
func (h *harness) lastTarget() (method, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.seen["i-0"]
	if len(all) == 0 {
		return "", ""
	}
	return all[len(all)-1].Method, all[len(all)-1].RequestURI
}

// Guards against targets that reach the replica changed: one with two slashes at its begin came
// as "://orders/7".
func TestTargetIsNotChanged(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	tests := map[string]struct {
		target string
		want   int
		host   string
	}{
		"usual":                   {"/look/7", http.StatusOK, "desk.example"},
		"query":                   {"/look/7?q=1&q=%20+", http.StatusOK, "desk.example"},
		"empty query":             {"/look/7?", http.StatusOK, "desk.example"},
		"two slashes inside":      {"/look//7", http.StatusOK, "desk.example"},
		"dots":                    {"/look/../look/./7", http.StatusOK, "desk.example"},
		"percent signs":           {"/look/%2F%2e%2E%c3%a9", http.StatusOK, "desk.example"},
		"quotes and brackets":     {`/look/"[]<>|'`, http.StatusOK, "desk.example"},
		"colon and at":            {"/look/a:b@c;d,e=f", http.StatusOK, "desk.example"},
		"prefix with a percent":   {"/look%2F7", http.StatusNotFound, "desk.example"},
		"two slashes at begin":    {"//look/7", http.StatusNotFound, "desk.example"},
		"absolute form":           {"http://desk.example/look/7", http.StatusOK, "desk.example"},
		"asterisk":                {"*", http.StatusNotFound, "desk.example"},
		"two slashes, root route": {"//orders/7", http.StatusOK, "root.example"},
		"only slashes":            {"///", http.StatusOK, "root.example"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			before := h.reached("i-0")
			status, err := h.sendTarget(http.MethodPost, tc.host, tc.target)
			if err != nil || status != tc.want {
				t.Fatalf("got status %d, error %v, want %d", status, err, tc.want)
			}
			if tc.want != http.StatusOK {
				if got := h.reached("i-0"); got != before {
					t.Error("a request without a route has reached the replica")
				}
				return
			}
			if method, got := h.lastTarget(); got != tc.target || method != http.MethodPost {
				t.Errorf("got %s %s at the replica, want POST %s", method, got, tc.target)
			}
		})
	}
}

// Guards against targets that no table of tests has: whatever is answered with success has
// reached the replica as it was sent.
func TestAnyTargetIsNotChanged(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	rapid.Check(t, func(rt *rapid.T) {
		target := rapid.SampledFrom([]string{"/", "//", "///", "/look/"}).Draw(rt, "begin") + rapid.StringMatching(`[!-~]{0,20}`).Draw(rt, "rest")
		status, err := h.sendTarget(http.MethodPost, "root.example", target)
		if err != nil || status != http.StatusOK {
			return
		}
		if _, got := h.lastTarget(); got != target {
			rt.Fatalf("got %q at the replica, want %q", got, target)
		}
	})
}

// Guards against a request line or framing that a replica reads differently: the bytes of a
// request as they are written.
func TestRequestAsWritten(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		request outgoingRequest
		want    string
	}{
		"two slashes": {
			outgoingRequest{method: "POST", uri: "//orders/7", host: "desk.example", header: http.Header{"X-Attempt-Id": {"a1"}}, body: []byte("die")},
			"POST //orders/7 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nX-Attempt-Id: a1\r\nContent-Length: 3\r\n\r\ndie",
		},
		"no body":      {outgoingRequest{method: "GET", uri: "/x", host: "h"}, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"empty body":   {outgoingRequest{method: "POST", uri: "/x", host: "h"}, "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"own framing":  {outgoingRequest{method: "GET", uri: "/x", host: "h", header: http.Header{"Content-Length": {"9"}, "Transfer-Encoding": {"chunked"}, "Host": {"o"}}}, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"line in name": {outgoingRequest{method: "GET", uri: "/x", host: "h", header: http.Header{"X-A": {"b\r\nX-Tenant: c"}}}, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-A: b  X-Tenant: c\r\n\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var text strings.Builder
			if err := tc.request.write(&text); err != nil {
				t.Fatal(err)
			}
			if got := text.String(); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a response to HEAD that states another length than the replica's.
func TestHeadRequest(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ response, want string }{
		"length":  {response: "Content-Length: 11\r\n\r\n", want: "11"},
		"chunks":  {response: "Transfer-Encoding: chunked\r\n\r\n"},
		"neither": {response: "\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\n"+tc.response))
			r := h.request(t.Context(), "/look/x", "")
			r.Method = http.MethodHead
			got := h.send(r)
			if got.status != http.StatusOK || got.cut || got.body != "" || got.header.Get("Content-Length") != tc.want {
				t.Errorf("got status %d, body %q, length %q, want length %q", got.status, got.body, got.header.Get("Content-Length"), tc.want)
			}
		})
	}
}
