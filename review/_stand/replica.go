package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// run is one request that a replica has run.
type run struct {
	at                     time.Time
	replica, attempt, path string
}

// replica is a plain backend server that registers itself in the store.
type replica struct {
	id, service, zone string
	address           string
	born              int64
	work              time.Duration
	store             *gooseplatformtest.Store
	server            *httptest.Server
	rec               *record

	mu   sync.Mutex
	runs []run
}

func newReplica(rec *record, store *gooseplatformtest.Store, id, service, zone string, work time.Duration) *replica {
	r := &replica{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), work: work, store: store, rec: rec}
	r.server = httptest.NewServer(r)
	r.address = strings.TrimPrefix(r.server.URL, "http://")
	return r
}

// register writes the replica's entry and returns when the store has acknowledged it.
func (r *replica) register(state string) time.Time {
	r.store.Put("servers/"+r.id, r.entry(state))
	return time.Now()
}

func (r *replica) entry(state string) string {
	entry, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": state, "cold-left-ms": 0,
		"seq": 1, "born": r.born,
	})
	must(err)
	return string(entry)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	h := w.Header()
	attempt := req.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Instance", r.id)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, _ := io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	r.runs = append(r.runs, run{at: arrived, replica: r.id, attempt: attempt, path: req.RequestURI})
	r.mu.Unlock()
	r.rec.add("run    %s at %s: %s %s, body %d bytes", attempt, r.id, req.Method, req.RequestURI, n)
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		return
	}
	h.Set("X-Stamp", "stamp-"+r.id)
	body := fmt.Sprintf("done %s", attempt)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// all returns the runs so far.
func (r *replica) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// reportInterval is heartbeat-ms of the settings.
const reportInterval = 1200 * time.Millisecond

// report writes the replica's entry at each interval, if it has changed.
func (r *replica) report(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(reportInterval):
		}
		var now, own map[string]any
		text, _ := r.store.Get("servers/" + r.id)
		must(json.Unmarshal([]byte(r.entry("ready")), &own))
		if json.Unmarshal([]byte(text), &now) != nil || !reflect.DeepEqual(now, own) {
			r.register("ready")
		}
	}
}
