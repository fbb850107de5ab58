package gooseforward

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// raw responds with the given bytes. A line ID in them is replaced by the header that
// contains the request's id.
func raw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		// The client may have closed the connection already.
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID\r\n", "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n"))
	}
}

// Guards against an interim response of a replica that the caller receives as the final
// one: a success without the replica's response.
func TestInterimResponses(t *testing.T) {
	t.Parallel()
	const done = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\nContent-Length: 4\r\n\r\ndone"
	tests := map[string]struct {
		response string
		want     int
		body     string
	}{
		"early hints":           {response: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + done, want: http.StatusOK, body: "done"},
		"several":               {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + done, want: http.StatusOK, body: "done"},
		"interim response only": {response: "HTTP/1.1 103 Early Hints\r\n\r\n", want: http.StatusBadGateway},
		"another protocol":      {response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nbytes", want: http.StatusBadGateway},
		"invalid status code":   {response: "HTTP/1.1 099 What\r\n\r\n", want: http.StatusBadGateway},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, raw(tc.response))
			got := h.post("/order/x", "body")
			if got.status != tc.want || tc.body != "" && got.body != tc.body || got.cut {
				t.Errorf("got status %d, body %q, cut %t, want %d, %q", got.status, got.body, got.cut, tc.want, tc.body)
			}
			if got.status == http.StatusOK && got.header.Get("X-Stamp") != "s" {
				t.Errorf("got a success with the stamp %q, want the replica's", got.header.Get("X-Stamp"))
			}
		})
	}
}
