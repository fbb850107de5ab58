package gooseforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// longBodyBytes is far above the socket buffers of both ends, so that a write of it blocks
// until the replica reads.
const longBodyBytes = 16 << 20

// newRawHarness starts a forwarder for long bodies in front of one replica that handles its
// connections itself.
func newRawHarness(t *testing.T, handle func(conn *net.TCPConn, head *http.Request)) *harness {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if head, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					handle(conn.(*net.TCPConn), head)
				}
			}()
		}
	}()
	h := newHarness(t)
	h.directory.Apply(goose.StoreChange{Kind: goose.ChangeRouting, Routing: &goose.Routing{
		Version: 2, KeyRequired: true, Routes: routes(), Services: []goose.RoutedService{{Name: "desk"}},
		Workspaces: []goose.RoutedWorkspace{{Name: "guild", Keys: []string{"k1"}}},
		Limits:     goose.CallerLimits{BodyBytes: longBodyBytes},
	}}, time.Now())
	h.directory.Apply(goose.StoreChange{Kind: goose.ChangeReplica, Replica: goose.Replica{
		ID: "i-r", Service: "desk", DataCentre: "leith", Address: l.Addr().String(), Slots: 9, State: goose.StateActive, StartedUnixMS: 1,
	}}, time.Now())
	return h
}

// writeHead writes the head of a success with the given header lines, and a body.
func writeHead(conn net.Conn, head *http.Request, lines, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Attempt-Id: "+head.Header.Get("X-Attempt-Id")+"\r\n"+lines+"\r\n"+body)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// untilUploadBlocks is how long a replica that does not read waits. The writer fills the socket
// buffers and blocks meanwhile, so that the kernel reports a reset to it.
const untilUploadBlocks = 20 * time.Millisecond

// Guards against a part of a response that ends as complete because the write of the request was
// told of the reset, and the read was not. Guards also against sound responses that count as
// truncated since they began before the request was read.
func TestResponsesDuringUpload(t *testing.T) {
	t.Parallel()
	const event = "id: 1\ndata: 1\n\n"
	tests := map[string]struct {
		path   string
		handle func(conn *net.TCPConn, head *http.Request)
		// body is the complete response; empty if the response must not end as complete.
		body string
	}{
		"body, reset": {path: "/order/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "", "par")
			time.Sleep(untilUploadBlocks)
			reset(conn)
		}},
		"body, closed with unread bytes": {path: "/order/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "", "par")
			time.Sleep(untilUploadBlocks)
		}},
		"body, half-closed, reset": {path: "/order/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "", "par")
			_ = conn.CloseWrite()
			time.Sleep(untilUploadBlocks)
			reset(conn)
		}},
		"body, half-closed before the request is read": {path: "/order/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "", "par")
			_ = conn.CloseWrite()
			time.Sleep(untilUploadBlocks)
			_, _ = io.Copy(io.Discard, head.Body)
		}},
		"body, reset at the end of the request": {path: "/order/x", handle: func(conn *net.TCPConn, head *http.Request) {
			_, _ = io.Copy(io.Discard, head.Body)
			writeHead(conn, head, "", "par")
			reset(conn)
		}},
		"stream, reset": {path: "/stream/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "Content-Type: text/event-stream\r\n", event)
			time.Sleep(untilUploadBlocks)
			reset(conn)
		}},
		"stream, closed with unread bytes": {path: "/stream/x", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "Content-Type: text/event-stream\r\n", event)
			time.Sleep(untilUploadBlocks)
		}},
		"body, whole": {path: "/order/x", body: "done", handle: func(conn *net.TCPConn, head *http.Request) {
			_, _ = io.Copy(io.Discard, head.Body)
			writeHead(conn, head, "", "done")
		}},
		"body, before the request is read": {path: "/order/x", body: "done", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "", "done")
			time.Sleep(untilUploadBlocks)
			_, _ = io.Copy(io.Discard, head.Body)
		}},
		"stream, before the request is read": {path: "/stream/x", body: event, handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "Content-Type: text/event-stream\r\n", event)
			time.Sleep(untilUploadBlocks)
			_, _ = io.Copy(io.Discard, head.Body)
		}},
		"body with a length, reset after it": {path: "/order/x", body: "done", handle: func(conn *net.TCPConn, head *http.Request) {
			writeHead(conn, head, "Content-Length: 4\r\n", "done")
			time.Sleep(untilUploadBlocks)
			reset(conn)
		}},
	}
	upload := strings.Repeat("x", longBodyBytes)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newRawHarness(t, tc.handle)
			got := h.post(tc.path, upload)
			complete := got.status == http.StatusOK && !got.cut
			if complete != (tc.body != "") || complete && got.body != tc.body {
				t.Errorf("got status %d, cut %t, body %q, want complete %t, %q", got.status, got.cut, got.body, tc.body != "", tc.body)
			}
		})
	}
}
