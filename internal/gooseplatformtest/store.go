// Package gooseplatformtest has fakes of the users' platform for tests: its key-value store
// and its replicas, both with injected faults.
package gooseplatformtest

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store injects into a call.
type Fault string

// Faults of the store.
const (
	FaultNone Fault = ""
	// FaultUnavailable responds with status 503 and does not execute the call.
	FaultUnavailable Fault = "busy"
	// FaultLoseResponse executes the call and closes the connection without a response.
	FaultLoseResponse Fault = "lost"
	// FaultResetConnection closes the connection and does not execute the call.
	FaultResetConnection Fault = "reset"
	// FaultHoldResponse executes the call and holds its response back until ReleaseHeld.
	FaultHoldResponse Fault = "held"
)

// pageSize is the number of items in one page of a range. It is small, so that tests read
// several pages.
const pageSize = 3

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is an http.Handler that serves the platform's key-value calls from memory. It
// is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	// compactedRevision is the newest revision that has been removed from the history.
	compactedRevision int64
	items             map[string]item
	history           []item
	leases            map[int64]time.Duration
	lastLease         int64
	// era is how often the store was restored from a copy.
	era int64
	// release is closed when the responses that are held back may be sent.
	release chan struct{}
	fault   func(path string) Fault
	calls   map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed: make(chan struct{}), release: make(chan struct{}), items: map[string]item{}, leases: map[int64]time.Duration{}, calls: map[string]int{},
	}
}

// SetFault sets the function that returns the fault of a call; nil means no faults. A watch
// that is waiting ends if its call now has a fault.
func (s *Store) SetFault(f func(path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatches()
}

// Put writes an item without a lease, as an operator or a replica does.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, []byte(value), 0)
	s.notifyWatches()
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notifyWatches()
}

// Get returns the value of an item.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return string(i.Value), ok
}

// Keys returns the keys with a prefix in sorted order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Compact removes the history, which ends watches of older revisions with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// ExpireLeases ends all leases and removes their items, as if the leases had expired.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.notifyWatches()
}

// CallCount returns how often a path was called, including calls that failed.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) endLease(lease int64) {
	delete(s.leases, lease)
	for k, i := range s.items {
		if i.Lease == lease {
			s.remove(k)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	era := s.era
	fault := FaultNone
	if s.fault != nil {
		fault = s.fault(r.URL.Path)
	}
	s.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		setEra(w, era)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultResetConnection:
		panic(http.ErrAbortHandler)
	}
	status, body, era := s.handle(r)
	switch fault {
	case FaultLoseResponse:
		panic(http.ErrAbortHandler)
	case FaultHoldResponse:
		s.waitForRelease(r.Context())
	}
	w.Header().Set("Content-Type", "application/json")
	setEra(w, era)
	w.WriteHeader(status)
	// The test may have closed the connection, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}

// handle executes a call. It returns the status and the body of the response, and the era in which
// the call was executed.
func (s *Store) handle(r *http.Request) (status int, body any, era int64) {
	if r.URL.Path == "/v1/kv-watch" {
		return s.watch(r)
	}
	request, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body = s.execute(r, request)
	return status, body, s.era
}

// execute executes a call that does not wait. The lock must be held.
func (s *Store) execute(r *http.Request, request []byte) (int, any) {
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch {
	case r.URL.Path == "/v1/kv-key":
		return s.get(r.URL.Query().Get("key"))
	case r.URL.Path == "/v1/kv-range":
		return s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.URL.Path == "/v1/kv-txn":
		return s.txn(request)
	case r.URL.Path == "/v1/kv-lease":
		return s.grant(request)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		return s.keepAlive(id)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		return s.revoke(id)
	}
	return http.StatusNotFound, nil
}

func (s *Store) get(key string) (int, any) {
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, struct {
		item
		CurrentRev int64 `json:"current-rev"`
	}{i, s.revision}
}

func (s *Store) list(prefix, after string) (int, any) {
	var all []item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			all = append(all, i)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	more := len(all) > pageSize
	if more {
		all = all[:pageSize]
	}
	return http.StatusOK, map[string]any{"items": all, "more-pages": more, "current-rev": s.revision}
}

// endsWatch reports whether the present fault of a path ends its waiting calls. The lock must be held.
func (s *Store) endsWatch(path string) bool {
	if s.fault == nil {
		return false
	}
	fault := s.fault(path)
	return fault != FaultNone && fault != FaultHoldResponse
}

func (s *Store) watch(r *http.Request) (status int, body any, era int64) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		era = s.era
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil, era
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed, faulty := s.revision, s.changed, s.endsWatch(r.URL.Path)
		s.mu.Unlock()
		if faulty {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current-rev": revision}, era
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusOK, nil, era
		case <-limit.C:
			return http.StatusOK, map[string]any{"events": events, "current-rev": revision}, era
		}
	}
}

func (s *Store) txn(request []byte) (int, any) {
	var t struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Drop []string
	}
	if err := json.Unmarshal(request, &t); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Drop {
		s.remove(k)
	}
	s.notifyWatches()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(request []byte) (int, any) {
	var q struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.Unmarshal(request, &q); err != nil || q.TTL <= 0 {
		return http.StatusBadRequest, nil
	}
	return http.StatusOK, map[string]any{"lease": s.newLease(time.Duration(q.TTL) * time.Millisecond), "ttl-ms": q.TTL}
}

// newLease returns the id of a new lease. The lock must be held.
func (s *Store) newLease(ttl time.Duration) int64 {
	s.lastLease++
	s.leases[s.lastLease] = ttl
	return s.lastLease
}

func (s *Store) keepAlive(id string) (int, any) {
	n, _ := strconv.ParseInt(id, 10, 64)
	ttl, ok := s.leases[n]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"ttl-ms": ttl.Milliseconds()}
}

func (s *Store) revoke(id string) (int, any) {
	n, _ := strconv.ParseInt(id, 10, 64)
	if _, ok := s.leases[n]; !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(n)
	s.notifyWatches()
	return http.StatusOK, map[string]any{}
}
