package goosecommand_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecommand"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
)

// Guards against a failed request whose cause cannot be found by its ID. A real instance
// fails a request, and the command explain reads its log as shown in docs/OPERATIONS.md.
func TestExplainFailedRequest(t *testing.T) {
	t.Parallel()
	disconnect := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	decline := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := map[string]struct {
		service, method, path string
		replica               http.HandlerFunc
		status                int
		want                  []string
	}{
		"refused under overload": {
			service: "a", method: http.MethodGet, path: "/x/1", replica: decline, status: http.StatusServiceUnavailable,
			want: []string{"overloaded, not-run", "cause: the backend servers declined the request", "replica i-1: not-run", "status 503"},
		},
		"connection closed by the backend server": {
			service: "a", method: http.MethodGet, path: "/x/1", replica: disconnect, status: http.StatusBadGateway,
			want: []string{"backend-failed, unknown", "cause: the backend server gave no whole answer", "replica i-1: lost"},
		},
		"order with unknown outcome": {
			service: "c", method: http.MethodPost, path: "/o/1", replica: silent, status: http.StatusGatewayTimeout,
			want: []string{"deadline, unknown", "cause: the request's time is over; last attempt, replica i-1: deadline"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := filepath.Join(t.TempDir(), "edge-1.log")
			out, err := os.Create(log)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = out.Close() })
			f := goosehosttest.New(t)
			f.WriteRouting(1, "a")
			f.AddReplicaFunc("i-1", tc.service, tc.replica)
			e := f.StartInstance("edge-1", out)
			goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
			if got, body := e.Send(tc.method, tc.path, "k1", "id-of-it"); got != tc.status {
				t.Errorf("got status %d, body %s, want %d", got, body, tc.status)
			}
			var explained bytes.Buffer
			goosehosttest.Eventually(t, "the log has the request", func() bool {
				explained.Reset()
				app := &goosecommand.App{Stdout: &explained, Stderr: &bytes.Buffer{}}
				return app.Run(context.Background(), []string{"explain", "id-of-it", log}) == goosecommand.ExitDone &&
					strings.Contains(explained.String(), "refused with code")
			})
			for _, want := range tc.want {
				if !strings.Contains(explained.String(), want) {
					t.Errorf("got explanation\n%swant %q in it", explained.String(), want)
				}
			}
		})
	}
}
