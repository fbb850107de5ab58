package goosetest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Backend is one backend server on loopback.
type Backend struct {
	*httptest.Server
	mu sync.Mutex
	// Got has method and path of each request, in the order of Bodies and Headers;
	// they are read when no request is in flight.
	Got      []string
	Bodies   [][]byte
	Headers  []http.Header
	released chan struct{}
}

// Handler serves all requests that a backend server accepts.
type Handler = func(*Backend, http.ResponseWriter, *http.Request)

// Answering sends the tokens up to n, from the offset that is asked for.
func Answering(n int) Handler {
	return func(_ *Backend, w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
		Chunks(w, r.Header.Get("X-Request-Id"), from, n)
		EndOfStream(w)
	}
}

// Dying sends the tokens up to n and ends as a crashed process does.
func Dying(n int) Handler {
	return func(b *Backend, w http.ResponseWriter, r *http.Request) {
		_ = b.Listener.Close()
		if n > 0 {
			Chunks(w, r.Header.Get("X-Request-Id"), 0, n)
		}
		HangUp(w)
	}
}

// Stuck sends the tokens up to n and then nothing; it responds to cancels.
func Stuck(n int) Handler {
	return func(b *Backend, w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		if n > 0 {
			Chunks(w, r.Header.Get("X-Request-Id"), 0, n)
		}
		select {
		case <-b.released:
		case <-r.Context().Done():
		}
	}
}

// NewBackend starts a server until the end of the test that records each request and body.
func NewBackend(t testing.TB, handle Handler) *Backend {
	b := &Backend{released: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		b.mu.Lock()
		b.Got = append(b.Got, r.Method+" "+r.URL.String())
		b.Bodies = append(b.Bodies, body)
		b.Headers = append(b.Headers, r.Header.Clone())
		b.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		handle(b, w, r)
	}))
	t.Cleanup(b.Close)
	t.Cleanup(func() { close(b.released) })
	return b
}

// Address returns host and port.
func (b *Backend) Address() string { return b.Listener.Addr().String() }

// Seen counts the requests that begin with prefix.
func (b *Backend) Seen(prefix string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, g := range b.Got {
		if strings.HasPrefix(g, prefix) {
			n++
		}
	}
	return n
}

// Chunks writes the frames of tokens from to to (exclusive), one token each.
func Chunks(w http.ResponseWriter, id string, from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"id\":%q,\"offset\":%d,\"tokens\":1,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i, i)
	}
	w.(http.Flusher).Flush()
}

// EndOfStream writes the end marker.
func EndOfStream(w http.ResponseWriter) {
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.(http.Flusher).Flush()
}

// HangUp cuts the connection without an end of the response.
func HangUp(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
