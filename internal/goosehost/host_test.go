package goosehost_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecallertest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehosttest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// Guards against faults between the components, on the path from the store's entries to a
// caller's response, including changes of the routing and of the replicas.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.AddReplica("i-a", "a")
	f.AddReplica("i-b", "b")
	e := f.StartInstance("edge-1", io.Discard)
	if e.IsReady() {
		t.Error("got a ready instance without a routing")
	}
	f.WriteRouting(1, "a")
	goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
	goosehosttest.Eventually(t, "service a responds", func() bool { status, body := e.Get("k1"); return status == 200 && body == "i-a" })
	if status, body := e.Get("k2"); status != http.StatusUnauthorized {
		t.Errorf("got status %d, body %s for an unknown key, want 401", status, body)
	}
	f.WriteRouting(2, "b")
	goosehosttest.Eventually(t, "service b responds", func() bool { _, body := e.Get("k1"); return body == "i-b" })
	f.Store.Delete("servers/i-b")
	goosehosttest.Eventually(t, "no replica is left", func() bool { status, _ := e.Get("k1"); return status == 503 })
	f.AddReplica("i-b2", "b")
	goosehosttest.Eventually(t, "the new replica responds", func() bool { _, body := e.Get("k1"); return body == "i-b2" })
}

// Guards against an instance that stops serving because the store is unavailable, or that
// does not catch up when the store is available again.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "service a responds", func() bool { _, body := e.Get("k1"); return body == "i-a" })
	f.Store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultUnavailable })
	f.WriteRouting(2, "b")
	f.AddReplica("i-b", "b")
	for range 20 {
		if status, body := e.Get("k1"); status != 200 || body != "i-a" {
			t.Fatalf("got status %d, body %s while the store is unavailable", status, body)
		}
	}
	if !e.IsReady() {
		t.Error("got an instance that is not ready because the store is unavailable")
	}
	f.Store.SetFault(nil)
	goosehosttest.Eventually(t, "service b responds", func() bool { _, body := e.Get("k1"); return body == "i-b" })
}

// Guards against a malformed entry of another writer that crashes the instances which read
// it, or keeps them from following later changes.
func TestMalformedEntries(t *testing.T) {
	t.Parallel()
	deep := strings.Repeat("[", 300_000)
	odd := map[string]string{
		"servers/odd-1": deep + strings.Repeat("]", 300_000),
		"servers/odd-2": `{"service":"a","addr":"127.0.0.1:99999","zone":"leith","slots":8,"state":"ready","version":"v1","cold-left-ms":0,"seq":1,"born":1}`,
		"servers/odd-3": `{"service":"a","addr":"127.0.0.1:9","zone":"leith","slots":1e400,"state":"ready","version":"v1","cold-left-ms":0,"seq":1,"born":1}`,
		"servers/odd-4": `{"service":"a","addr":"127.0.0.1:9","zone":"leith","slots":9223372036854775807,"state":"ready","version":"v1","cold-left-ms":0,"seq":1,"born":9223372036854775807}`,
		"servers/":      `{"service":"a","addr":"127.0.0.1:9","zone":"leith","slots":8,"state":"ready","version":"v1","cold-left-ms":0,"seq":1,"born":1}`,
		"servers/i-a":   `{"service":"a","addr":"127.0.0.1:9","zone":"leith","slots":8,"state":"ready","version":"v1","cold-left-ms":0,"seq":1,"born":9000000000000}`,
		"op/evacuate/":  deep,

		"gooseberryhold/instances/odd":            deep,
		"gooseberryhold/crashes/odd":              deep,
		"gooseberryhold/crashes/00000000000000ff": `{"weight":99999999999999999999}`,
	}
	tests := map[string]func(f *goosehosttest.Fleet, read func()){
		"read at the start": func(f *goosehosttest.Fleet, read func()) {
			for key, value := range odd {
				f.Store.Put(key, value)
			}
			read()
		},
		"followed": func(f *goosehosttest.Fleet, read func()) {
			read()
			for key, value := range odd {
				f.Store.Put(key, value)
			}
		},
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := goosehosttest.New(t)
			f.WriteRouting(1, "a")
			f.AddReplica("i-a", "a")
			f.AddReplica("i-a2", "a")
			var e *goosehosttest.Instance
			write(f, func() {
				e = f.StartInstance("edge-1", io.Discard)
				goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
			})
			f.AddReplica("i-b", "b")
			f.WriteRouting(2, "b")
			goosehosttest.Eventually(t, "later changes are followed", func() bool { _, body := e.Get("k1"); return body == "i-b" })
			f.AddReplica("i-a", "a")
			f.Store.Delete("servers/i-a2")
			f.WriteRouting(3, "a")
			goosehosttest.Eventually(t, "the replica's own entry is used again", func() bool { _, body := e.Get("k1"); return body == "i-a" })
			for range 20 {
				if status, body := e.Get("k1"); status != http.StatusOK || body != "i-a" {
					t.Fatalf("got status %d, body %q, want every response from the only replica", status, body)
				}
			}
		})
	}
}

// Guards against a graceful shutdown that aborts requests, does not change the readiness,
// or leaves the registration in the store.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	f.AddReplica("i-a", "a")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "service a responds", func() bool { _, body := e.Get("k1"); return body == "i-a" })
	goosehosttest.Eventually(t, "the instance is registered", func() bool { return len(f.Store.Keys("gooseberryhold/instances/")) == 1 })
	e.BeginShutdown()
	goosehosttest.Eventually(t, "the instance is not ready", func() bool { return !e.IsReady() })
	if status, body := e.GetWithin("k1", time.Second); status != http.StatusOK || body != "i-a" {
		t.Errorf("got status %d, body %q right after the shutdown began, want the response of a request that ends in time", status, body)
	}
	if status, body := e.Get("k1"); status != http.StatusServiceUnavailable || !strings.Contains(body, `"run":"not-run"`) {
		t.Errorf("got status %d, body %q, want a refusal of a request whose deadline is after the stop", status, body)
	}
	goosehosttest.Eventually(t, "the registration is gone", func() bool { return len(f.Store.Keys("gooseberryhold/instances/")) == 0 })
}

// Guards against a success that no replica has given: net/http answers "OPTIONS *" by itself
// unless it is told otherwise.
func TestOptionsOfServerIsRefused(t *testing.T) {
	t.Parallel()
	f := goosehosttest.New(t)
	f.WriteRouting(1, "a")
	e := f.StartInstance("edge-1", io.Discard)
	goosehosttest.Eventually(t, "the instance is ready", e.IsReady)
	conn, err := goosecallertest.Dial(e.CallerAddress(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	got := conn.Exchange(goosecallertest.Request{Method: http.MethodOptions, Path: "*", Host: "desk.example", Timeout: time.Minute})
	if got.Err != nil || got.Status != http.StatusNotFound {
		t.Errorf("got status %d, error %v, want 404", got.Status, got.Err)
	}
}
