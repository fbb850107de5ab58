package gooseengine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// longBodyBytes is far above the socket buffers of both ends, so that a write of it blocks
// until the backend server reads.
const longBodyBytes = 16 << 20

// untilUploadBlocks is how long a backend server that does not read waits. The writer fills the
// socket buffers and blocks meanwhile, so that the kernel reports a reset to it.
const untilUploadBlocks = 20 * time.Millisecond

// serveRaw starts a backend server that handles its connections itself.
func serveRaw(t *testing.T, handle func(conn *net.TCPConn, head *http.Request)) string {
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
	return l.Addr().String()
}

// Guards against a part of a response that counts as complete because the write of the request
// was told of the reset, and the read was not. Guards also against sound responses that count as
// truncated since they began before the request was read.
func TestResponsesDuringUpload(t *testing.T) {
	t.Parallel()
	const created = "HTTP/1.1 201 Created\r\n"
	tests := map[string]struct {
		response string
		// read is set if the request is read after the response was written; otherwise the
		// connection is reset.
		read bool
		want error
	}{
		"reset":                     {response: created + "\r\nok", want: goose.ErrDisconnected},
		"reset after a head":        {response: created + "\r\n", want: goose.ErrDisconnected},
		"reset, length":             {response: created + "Content-Length: 2\r\n\r\nok"},
		"reset, chunks":             {response: created + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"reset, half of the length": {response: created + "Content-Length: 4\r\n\r\nok", want: goose.ErrDisconnected},
		"read later":                {response: created + "\r\nok", read: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(conn *net.TCPConn, head *http.Request) {
				_, _ = io.WriteString(conn, tc.response)
				time.Sleep(untilUploadBlocks)
				if tc.read {
					_, _ = io.Copy(io.Discard, head.Body)
					return
				}
				_ = conn.SetLinger(0)
			})
			a := attemptAt(address)
			a.Body = make([]byte, longBodyBytes)
			got, err := Plain{}.Call(t.Context(), a)
			if !errors.Is(err, tc.want) || tc.want == nil && string(got.Body) != "ok" {
				t.Errorf("got body %q, error %v, want error %v", got.Body, err, tc.want)
			}
		})
	}
}

// Guards against a stream that ends as complete because its connection ended during the upload.
func TestStreamDuringUpload(t *testing.T) {
	t.Parallel()
	address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+frame("a1", 0, 1, "x"))
		time.Sleep(untilUploadBlocks)
		_ = conn.SetLinger(0)
	})
	a := attemptAt(address)
	a.Body = make([]byte, longBodyBytes)
	s, err := OpenAI{}.Start(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := drain(s); text != "x" || !errors.Is(err, goose.ErrDisconnected) {
		t.Errorf("got %q, error %v, want %v", text, err, goose.ErrDisconnected)
	}
}

// Guards against an exchange in which both sides only write: the backend server responds before
// it reads a long request, and its response is longer than the socket buffers.
func TestLongResponseBeforeRequestIsRead(t *testing.T) {
	t.Parallel()
	address := serveRaw(t, func(conn *net.TCPConn, head *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 201 Created\r\nContent-Length: %d\r\n\r\n", longBodyBytes)
		_, _ = conn.Write(make([]byte, longBodyBytes))
		_, _ = io.Copy(io.Discard, head.Body)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a := attemptAt(address)
	a.Body = make([]byte, longBodyBytes)
	got, err := Plain{}.Call(ctx, a)
	if err != nil || len(got.Body) != longBodyBytes {
		t.Errorf("got %d bytes, error %v, want %d", len(got.Body), err, longBodyBytes)
	}
}
