package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Replica is a replica of a service. It answers as PROTOCOL.md says.
type Replica struct {
	p       *Platform
	ID      string
	Service string
	Zone    string
	Slots   int
	addr    string
	born    int64
	server  *http.Server
	// Trouble, if it returns true, has handled the request instead.
	Trouble func(w http.ResponseWriter, r *http.Request) bool
	// Early, if set, handles a request whose body has not been read.
	Early func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	seq  int
	Runs int
}

// windowBytes is the receive buffer of a replica's connections: links have small windows.
const windowBytes = 64 << 10

func smallWindow(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	return errors.Join(err, failed)
}

// NewReplica starts a replica and writes its entry.
func (p *Platform) NewReplica(id, service, zone string, slots int) (*Replica, error) {
	config := net.ListenConfig{Control: smallWindow}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{p: p, ID: id, Service: service, Zone: zone, Slots: slots, addr: l.Addr().String(), born: time.Now().UnixMilli()}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	r.Report("ready")
	return r, nil
}

// Report writes the entry.
func (r *Replica) Report(state string) {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": r.Service, "addr": r.addr, "zone": r.Zone, "version": "1", "slots": r.Slots, "state": state, "cold-left-ms": 0, "seq": seq, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.p.Store.Put("servers/"+r.ID, string(b))
}

// Close ends the replica.
func (r *Replica) Close() { _ = r.server.Close() }

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Instance", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := q.Header.Get("X-Attempt-Id")
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Stamp", r.ID+"."+attempt)
	if r.Early != nil {
		r.Early(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.Runs++
	r.mu.Unlock()
	r.p.Record.Log("%s runs %s (%s %s, %d bytes)", r.ID, attempt, q.Method, q.URL.Path, len(body))
	if r.Trouble != nil && r.Trouble(w, q) {
		return
	}
	if strings.HasPrefix(q.URL.Path, "/motto/") {
		r.stream(w, q)
		return
	}
	time.Sleep(60 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "done %s", attempt)
}

// stream writes the events of a short answer.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request) {
	const events = 33
	first := 1
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &first)
	if q.Header.Get("Last-Event-Id") != "" {
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(30 * time.Millisecond)
	for n := first; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}
