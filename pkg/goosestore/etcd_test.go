package goosestore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// calls maps the names of all calls of an Etcd to functions that make them.
var calls = map[string]func(ctx context.Context, e *Etcd) error{
	"get":    func(ctx context.Context, e *Etcd) error { _, _, err := e.Get(ctx, "k"); return err },
	"list":   func(ctx context.Context, e *Etcd) error { _, _, err := e.List(ctx, "k", 0); return err },
	"commit": func(ctx context.Context, e *Etcd) error { _, err := e.Commit(ctx, goose.Txn{}); return err },
	"commit all": func(ctx context.Context, e *Etcd) error {
		_, err := e.CommitAll(ctx, make([]goose.Txn, 2))
		return err
	},
	"grant":      func(ctx context.Context, e *Etcd) error { _, err := e.Grant(ctx, time.Second); return err },
	"keep-alive": func(ctx context.Context, e *Etcd) error { _, err := e.KeepAlive(ctx, 1); return err },
	"revoke":     func(ctx context.Context, e *Etcd) error { return e.Revoke(ctx, 1) },
	"watch": func(ctx context.Context, e *Etcd) error {
		w, err := e.Watch(ctx, "k", 1)
		if err == nil {
			w.Close()
		}
		return err
	},
}

// responseTimeout bounds calls that get a response; noResponseTimeout ends those that
// get none.
const (
	responseTimeout   = time.Minute
	noResponseTimeout = 2 * time.Second
)

func newTestEtcd(t *testing.T, timeout time.Duration, h http.HandlerFunc) *Etcd {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	e, err := NewEtcd(s.URL, Options{CallTimeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// Guards against a call that is retried by the client, or reported as one without
// effect, if its response is lost, broken or late.
func TestNoResponse(t *testing.T) {
	t.Parallel()
	responses := map[string]http.HandlerFunc{
		"connection closed":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no response":        func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"malformed response": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"header":`) },
		"truncated response": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "{")
		},
		"empty response":   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) },
		"internal error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"proposal timeout": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
	for name, respond := range responses {
		for call, do := range calls {
			t.Run(name+"/"+call, func(t *testing.T) {
				t.Parallel()
				timeout := responseTimeout
				if name == "no response" {
					timeout = noResponseTimeout
				}
				var requests atomic.Int64
				e := newTestEtcd(t, timeout, func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					respond(w, r)
				})
				err := do(t.Context(), e)
				noContent := name == "empty response" && (call == "revoke")
				if !noContent && (err == nil || errors.Is(err, goose.ErrUnavailable) && call != "watch") {
					t.Errorf("got %v, want an uncertain outcome", err)
				}
				if got := requests.Load(); got != 1 {
					t.Errorf("got %d requests, want 1", got)
				}
			})
		}
	}
}

// Guards against calls without effect that are reported as uncertain, so that claims
// are resolved needlessly, and against the reverse.
func TestErrorKinds(t *testing.T) {
	t.Parallel()
	responses := map[string]struct {
		status int
		body   string
		want   error
	}{
		"too many requests": {http.StatusTooManyRequests, `{"code":8,"message":"etcdserver: too many requests"}`, goose.ErrUnavailable},
		"no leader":         {http.StatusServiceUnavailable, `{"code":14,"message":"etcdserver: no leader"}`, goose.ErrOutcomeUnknown},
		"lease not found":   {http.StatusNotFound, `{"code":5,"message":"etcdserver: requested lease not found"}`, goose.ErrLeaseNotFound},
		"wrong path":        {http.StatusNotFound, `404 page not found`, nil},
		"bad request":       {http.StatusBadRequest, `{"code":3,"message":"etcdserver: key is not provided"}`, nil},
	}
	for name, tt := range responses {
		for call, do := range calls {
			t.Run(name+"/"+call, func(t *testing.T) {
				t.Parallel()
				e := newTestEtcd(t, responseTimeout, func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(tt.status)
					_, _ = io.WriteString(w, tt.body)
				})
				err := do(t.Context(), e)
				for _, kind := range []error{goose.ErrUnavailable, goose.ErrOutcomeUnknown, goose.ErrLeaseNotFound} {
					if got, want := errors.Is(err, kind), errors.Is(tt.want, kind); got != want || err == nil {
						t.Errorf("got %v, want %v", err, tt.want)
					}
				}
			})
		}
	}
}

// Guards against a refused connection or an ended context that is reported as a lost
// response.
func TestNotSent(t *testing.T) {
	t.Parallel()
	refused, err := NewEtcd(refusingAddress(t), Options{})
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	e := newTestEtcd(t, responseTimeout, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for call, do := range calls {
		if err := do(t.Context(), refused); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("%s, connection refused: got %v, want ErrUnavailable", call, err)
		}
		if err := do(ended, e); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("%s, context ended: got %v, want ErrUnavailable", call, err)
		}
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("got %d requests, want none", got)
	}
	if _, err := NewEtcd("no-port", Options{}); err == nil {
		t.Error("got no error for an address without port")
	}
}

// refusingAddress returns an address that refuses connections until the test ends. Its port is
// bound: that of a closed listener may be given to the server of another test.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

// Guards against a watch that hangs after its stream was broken, its context ended or
// its client was closed.
func TestWatchEnds(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		end  func(e *Etcd, cancel, broken func())
		want error
	}{
		"stream broke":  {func(_ *Etcd, _, broken func()) { broken() }, goose.ErrUnavailable},
		"context ended": {func(_ *Etcd, cancel, _ func()) { cancel() }, nil},
		"store closed":  {func(e *Etcd, _, _ func()) { _ = e.Close() }, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stop := make(chan struct{})
			e := newTestEtcd(t, responseTimeout, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, `{"result":{"created":true}}`+"\n")
				_ = http.NewResponseController(w).Flush()
				select {
				case <-stop:
				case <-r.Context().Done():
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w, err := e.Watch(ctx, "k", 0)
			if err != nil {
				t.Fatal(err)
			}
			tt.end(e, cancel, func() { close(stop) })
			for range w.Events() {
				t.Error("got a change")
			}
			if err := w.Err(); !errors.Is(err, tt.want) || tt.want == nil && err != nil {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
