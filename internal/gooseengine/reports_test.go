package gooseengine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against a new connection for each load report, which took most of a dispatcher's
// processor time. Also guards against an engine that counts as lost, and a restarted
// process that is not detected, because a reused connection has ended.
func TestLoadReusesConnection(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		header      string
		beforeThird func(s *httptest.Server, process *atomic.Value)
		want        int64
	}{
		"kept open":                {"", func(*httptest.Server, *atomic.Value) {}, 1},
		"closed with announcement": {"close", func(*httptest.Server, *atomic.Value) {}, 4},
		"closed by a restart":      {"", func(s *httptest.Server, p *atomic.Value) { p.Store("p2"); s.CloseClientConnections() }, 2},
		"canceled by the caller": {"", func(s *httptest.Server, p *atomic.Value) {
			ctx, cancel := context.WithCancel(context.Background())
			p.Store("wait")
			go cancel()
			if _, err := (OpenAI{}).Load(ctx, s.Listener.Addr().String()); err == nil {
				t.Error("got a report, want none after the context ended")
			}
			p.Store("p1")
		}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int64
			var process atomic.Value
			process.Store("p1")
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if process.Load() == "wait" {
					<-r.Context().Done()
					return
				}
				w.Header().Set("Connection", tt.header)
				// Engines report far more metrics than those that are parsed.
				_, _ = io.WriteString(w, strings.Repeat("other_metric 1\n", 10_000)+`engine_process_info{process="`+process.Load().(string)+`"} 1`+"\n")
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			for i := range 4 {
				if i == 2 {
					tt.beforeThird(s, &process)
				}
				r, err := OpenAI{}.Load(t.Context(), s.Listener.Addr().String())
				if err != nil || r.Process != process.Load() {
					t.Errorf("report %d: got process %q, %v, want %v", i, r.Process, err, process.Load())
				}
			}
			if got := conns.Load(); got != tt.want {
				t.Errorf("got %d connections for 4 reports, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an engine that fails the verification because its load report is long.
func TestVerifyLongReport(t *testing.T) {
	t.Parallel()
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" {
			_, _ = io.WriteString(w, strings.Repeat("other_metric 1\n", 10_000)+`engine_process_info{process="p"} 1`+"\n")
			return
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	a := attemptAt(address)
	a.Process = "p"
	s, err := OpenAI{}.Start(t.Context(), a)
	if err != nil {
		t.Fatalf("got %v, want a stream", err)
	}
	_ = s.Close()
	a.Process = "q"
	var changed *goose.ProcessChangedError
	if _, err := (OpenAI{}).Start(t.Context(), a); !errors.As(err, &changed) {
		t.Errorf("got %v, want a ProcessChangedError", err)
	}
}
