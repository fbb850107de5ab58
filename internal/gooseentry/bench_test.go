package gooseentry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
)

// BenchmarkLargeBody reports the bytes that the whole process allocates for one
// request with a prompt of 4 MB; a test backend server reads it without a copy.
func BenchmarkLargeBody(b *testing.B) {
	engine := goosetest.NewBackend(b, nil)
	engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		goosetest.EndOfStream(w)
	})
	r := newRig(b, func(o *Options, r *rig) {
		for i := range r.cat.Servers {
			r.cat.Servers[i].MemoryTokens = 2_000_000
		}
	}, engine)
	body := strings.Replace(chat, "sharpen", strings.Repeat("sharpen the die ", 4<<20/16), 1)
	body = strings.Replace(body, `"stream":true,`, "", 1)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if got := r.post(b, "/v1/chat/completions", body).status; got != http.StatusOK {
			b.Fatalf("status %d", got)
		}
	}
}

// BenchmarkStreamedToken reports the cost of one token from the engine's socket
// to the caller's, both ends of the test included.
func BenchmarkStreamedToken(b *testing.B) {
	engine := goosetest.NewBackend(b, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		for i := range b.N {
			goosetest.Chunks(w, r.Header.Get("X-Request-Id"), i, i+1)
		}
		goosetest.EndOfStream(w)
	})
	r := newRig(b, nil, engine)
	b.ReportAllocs()
	b.ResetTimer()
	a := r.post(b, "/v1/chat/completions", chat)
	b.StopTimer()
	if !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		b.Errorf("answer broke off: %.200q", a.body[max(0, len(a.body)-200):])
	}
}

// BenchmarkRequest reports the allocations of one short request with one token
// of answer through an entry instance and sent to its engine: the difference is
// the serving layer's, without permits of a dispatcher.
func BenchmarkRequest(b *testing.B) {
	engine := goosetest.NewBackend(b, nil)
	engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		goosetest.EndOfStream(w)
	})
	r := newRig(b, nil, engine)
	for name, url := range map[string]string{"through": r.url, "direct": engine.URL} {
		b.Run(name, func(b *testing.B) {
			to := &rig{url: url}
			b.ReportAllocs()
			for b.Loop() {
				if got := to.post(b, "/v1/chat/completions", chat); got.status != http.StatusOK {
					b.Fatalf("status %d", got.status)
				}
			}
		})
	}
}
