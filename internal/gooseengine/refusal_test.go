package gooseengine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	reportResponse = "HTTP/1.1 200 OK\r\nX-Process-Id: p1\r\nContent-Length: 0\r\n\r\n"
	ownRefusal     = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
	otherRefusal   = "HTTP/1.1 412 Precondition Failed\r\nX-Request-Id: a0\r\nContent-Length: 0\r\n\r\n"
)

// Guards against an earlier refusal that an engine writes again on a connection: the next
// request on the connection would count as not run although the engine runs it.
func TestEarlierRefusal(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// report is written as the response to the request for the load report, and
		// response as the response to the attempt.
		report, response string
		want             error
		// arrives is set if the attempt arrives at the engine.
		arrives bool
	}{
		"own refusal":                       {report: reportResponse, response: ownRefusal, arrives: true},
		"own refusal after the report":      {report: reportResponse + ownRefusal, response: frame("a1", 0, 1, "x"), want: goose.ErrNotSent},
		"other refusal after the report":    {report: reportResponse + otherRefusal, response: frame("a1", 0, 1, "x"), want: goose.ErrNotSent},
		"other refusal before the response": {report: reportResponse, response: otherRefusal + frame("a1", 0, 1, "x"), want: goose.ErrDisconnected, arrives: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			arrived := make(chan bool, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(conn, tc.report)
				_, err = http.ReadRequest(in)
				arrived <- err == nil
				_, _ = io.WriteString(conn, tc.response)
			}()
			a := attemptAt(l.Addr().String())
			a.Process = "p1"
			_, err = OpenAI{}.Start(context.Background(), a)
			if tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
			var status *goose.StatusError
			if got := errors.As(err, &status); got != (tc.want == nil) {
				t.Errorf("got error %v, want a StatusError: %t", err, tc.want == nil)
			}
			if got := <-arrived; got != tc.arrives {
				t.Errorf("got attempt arrived at the engine %t, want %t", got, tc.arrives)
			}
		})
	}
}
