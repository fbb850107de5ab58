package gooseentry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
)

// BenchmarkLargeBody reports the bytes that the whole process allocates for one
// request with a prompt of 4 MB. The test backend server reads the body without
// copying it.
func BenchmarkLargeBody(b *testing.B) {
	engine := goosetest.NewBackend(b, nil)
	engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		goosetest.EndOfStream(w)
	})
	e := newTestEntry(b, func(o *Options, e *testEntry) {
		for i := range e.catalogue.Servers {
			e.catalogue.Servers[i].MemoryTokens = 2_000_000
		}
	}, engine)
	body := strings.Replace(chatBody, "sharpen", strings.Repeat("sharpen the die ", 4<<20/16), 1)
	body = strings.Replace(body, `"stream":true,`, "", 1)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if got := e.post(b, "/v1/chat/completions", body).status; got != http.StatusOK {
			b.Fatalf("status %d", got)
		}
	}
}

// BenchmarkStreamedToken reports the cost of one token from the engine's socket
// to the caller's, including the test's engine and caller.
func BenchmarkStreamedToken(b *testing.B) {
	engine := goosetest.NewBackend(b, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		for i := range b.N {
			goosetest.Chunks(w, r.Header.Get("X-Request-Id"), i, i+1)
		}
		goosetest.EndOfStream(w)
	})
	e := newTestEntry(b, nil, engine)
	b.ReportAllocs()
	b.ResetTimer()
	resp := e.post(b, "/v1/chat/completions", chatBody)
	b.StopTimer()
	if !strings.HasSuffix(resp.body, "data: [DONE]\n\n") {
		b.Errorf("response ended early: %.200q", resp.body[max(0, len(resp.body)-200):])
	}
}

// BenchmarkRequest reports the allocations of one short request with one output
// token, sent through an entry instance and directly to its engine. The
// difference is the cost of the serving layer, without the permits of a
// dispatcher.
func BenchmarkRequest(b *testing.B) {
	engine := goosetest.NewBackend(b, nil)
	engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		goosetest.EndOfStream(w)
	})
	e := newTestEntry(b, nil, engine)
	for name, url := range map[string]string{"through": e.url, "direct": engine.URL} {
		b.Run(name, func(b *testing.B) {
			target := &testEntry{url: url}
			b.ReportAllocs()
			for b.Loop() {
				if got := target.post(b, "/v1/chat/completions", chatBody); got.status != http.StatusOK {
					b.Fatalf("status %d", got.status)
				}
			}
		})
	}
}
