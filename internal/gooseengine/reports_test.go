package gooseengine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// Guards against a second copy of a load report that is taken for the next one: each report
// after it would be one behind.
func TestReportSentTwice(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	running := make(chan int)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for in := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					text := fmt.Sprintf("engine_process_info{process=\"p\"} 1\nengine_requests_running %d\n", <-running)
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					_, _ = io.WriteString(conn, text+text)
				}
			}()
		}
	}()
	for n := range 10 {
		go func() { running <- n }()
		r, err := OpenAI{}.Load(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if r.Running != n {
			t.Fatalf("got the report with %d running requests, want %d", r.Running, n)
		}
		// The second copy may arrive after the report has been read.
		time.Sleep(time.Millisecond)
	}
}
