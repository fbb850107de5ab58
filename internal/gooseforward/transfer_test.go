package gooseforward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a caller that does not read its response and keeps a request, its memory and its
// connection after the deadline. A kernel takes less than the response.
func TestUnreadResponseEnds(t *testing.T) {
	t.Parallel()
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 7<<20))
	})
	conn, err := net.Dial("tcp4", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	if _, err := io.WriteString(conn, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 500\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	running := h.forwarder.o.Metrics.inFlight
	for started := time.Now(); h.reached("i-0") == 0 || running.Get() > 0; time.Sleep(time.Millisecond) {
		if time.Since(started) > testTimeout {
			t.Fatalf("got %d running requests, want none after the deadline", running.Get())
		}
	}
	if got := h.forwarder.responseMemory.Free(); got != h.forwarder.responseMemory.bytes {
		t.Errorf("got %d bytes free, want %d", got, h.forwarder.responseMemory.bytes)
	}
}
