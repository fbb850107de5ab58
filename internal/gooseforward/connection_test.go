package gooseforward

import (
	"net/http"
	"testing"
)

// Guards against header lines of the connection to the replica that reach the caller: those that
// its header Connection names, and trailers.
func TestHeadersOfConnection(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ path, response string }{
		"body":   {path: "/order/x", response: "Content-Length: 4\r\n\r\ndone"},
		"chunks": {path: "/order/x", response: "Transfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n4\r\ndone\r\n0\r\nX-Late: a\r\n\r\n"},
		"stream": {path: "/stream/x", response: "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nConnection: close, x-hop,\r\nConnection: X-Second\r\n"+
				"X-Hop: a\r\nX-Second: b\r\nX-Kept: c\r\nKeep-Alive: timeout=5\r\n"+tc.response))
			got := h.post(tc.path, "body")
			if got.status != http.StatusOK || got.cut || got.header.Get("X-Kept") != "c" {
				t.Errorf("got status %d, cut %t, header %v, want a success with X-Kept", got.status, got.cut, got.header)
			}
			for _, name := range []string{"X-Hop", "X-Second", "Keep-Alive", "Trailer", "X-Late"} {
				if v := got.header.Values(name); v != nil {
					t.Errorf("got %s: %q, want none", name, v)
				}
			}
		})
	}
}

// Guards against a success whose stamp is removed on the way, since the replica calls it a header
// of the connection: callers do not accept it.
func TestStampOfConnection(t *testing.T) {
	t.Parallel()
	h := newHarness(t, raw("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nConnection: X-Stamp\r\nContent-Length: 4\r\n\r\ndone"))
	if got := h.post("/order/x", "body"); got.status != http.StatusBadGateway {
		t.Errorf("got status %d, header %v, want %d", got.status, got.header, http.StatusBadGateway)
	}
}
