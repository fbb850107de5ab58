package gooseengine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against a request that reaches a process that has restarted cold since the permit
// was granted, and against a verification on another connection than that of the request.
func TestVerifyProcess(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// header and report are the process IDs in the header and in the metrics of the
		// load report; they are absent if empty.
		header, report string
		close          bool
		expected       string
		sent           bool
		changedTo      string
	}{
		"same process":                 {header: "p1", expected: "p1", sent: true},
		"same process in the metrics":  {report: "p1", expected: "p1", sent: true},
		"other process":                {header: "p2", expected: "p1", changedTo: "p2"},
		"other process in the metrics": {report: "p2", expected: "p1", changedTo: "p2"},
		"header before metrics":        {header: "p2", report: "p1", expected: "p1", changedTo: "p2"},
		"no process ID":                {expected: "p1"},
		"connection closed":            {header: "p1", close: true, expected: "p1"},
		"nothing expected":             {header: "p2", expected: "", sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var checked, sent string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == "/metrics" {
					checked = r.RemoteAddr
					if tt.header != "" {
						w.Header().Set(headerProcessID, tt.header)
					}
					if tt.close {
						w.Header().Set("Connection", "close")
					}
					if tt.report != "" {
						_, _ = io.WriteString(w, `engine_process_info{process="`+tt.report+`"} 1`+"\n")
					}
					return
				}
				sent = r.RemoteAddr
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			}))
			defer srv.Close()
			st, err := OpenAI{}.Start(context.Background(), goose.Attempt{
				ID: "a", Address: srv.Listener.Addr().String(), Method: http.MethodPost,
				Path: "/v1/completions", Process: tt.expected, Body: []byte("{}"),
			})
			if st != nil {
				defer func() { _ = st.Close() }()
			}
			mu.Lock()
			defer mu.Unlock()
			if got := sent != ""; got != tt.sent {
				t.Fatalf("got sent %t (%v), want %t", got, err, tt.sent)
			}
			if !tt.sent && !errors.Is(err, goose.ErrNotSent) {
				t.Errorf("got error %v, want %v", err, goose.ErrNotSent)
			}
			if tt.sent && tt.expected != "" && sent != checked {
				t.Errorf("got request on connection %s, want it on the verified connection %s", sent, checked)
			}
			changed := new(goose.ProcessChangedError)
			if got := errors.As(err, &changed); got != (tt.changedTo != "") || changed.Process != tt.changedTo {
				t.Errorf("got %v, want process %q", err, tt.changedTo)
			}
		})
	}
}
