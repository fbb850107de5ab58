package gooseplatformtest

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// listenRetryInterval is the pause before a replica tries again to listen on its address.
const listenRetryInterval = 5 * time.Millisecond

// Replica is a backend server that simulates crashes: its connections and its listener are
// closed at once. After a crash it listens on the same address as a new process. It is safe
// for concurrent use.
type Replica struct {
	id, service string
	store       *Store
	handler     func(*Replica) http.Handler
	address     string

	mu     sync.Mutex
	server *http.Server
	// starts counts the simulated processes.
	starts int
	closed bool
}

// NewReplica starts a replica that runs until the test ends, and writes its entry to the
// store. Each simulated process calls h for its own handler.
func NewReplica(t testing.TB, store *Store, id, service string, h func(*Replica) http.Handler) *Replica {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Replica{id: id, service: service, store: store, handler: h, address: l.Addr().String()}
	r.serve(l)
	t.Cleanup(r.close)
	return r
}

// serve starts the next simulated process on the listener, unless the test has ended.
func (r *Replica) serve(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = l.Close()
		return
	}
	r.starts++
	r.server = &http.Server{Handler: WithStamp(r.id, r.handler(r)), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.store.Put("servers/"+r.id, r.entry())
}

// WithStamp adds the platform's stamp to the responses of h.
func WithStamp(stamp string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Stamp", stamp)
		h.ServeHTTP(w, r)
	})
}

func (r *Replica) entry() string {
	b, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.address, "zone": "leith", "slots": 8, "state": "ready",
		"version": "v1", "cold-left-ms": 0, "seq": 1, "born": r.starts,
	})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// Crash ends the simulated process; the next one starts after restartAfter.
func (r *Replica) Crash(restartAfter time.Duration) {
	r.mu.Lock()
	// An error of Close does not matter: the listener and the connections are closed anyway.
	_ = r.server.Close()
	r.mu.Unlock()
	time.AfterFunc(restartAfter, r.restart)
}

func (r *Replica) restart() {
	for {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		if l, err := net.Listen("tcp4", r.address); err == nil {
			r.serve(l)
			return
		}
		time.Sleep(listenRetryInterval)
	}
}

func (r *Replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.server.Close()
}
