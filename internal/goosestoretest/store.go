// Package goosestoretest has an in-memory goose.Store with injected faults, for the tests of
// packages that read and publish configuration, and a fake of etcd's HTTP/JSON API.
package goosestoretest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// Fault returns the error of one call. With nil the call succeeds. With an error that wraps
// goose.ErrOutcomeUnknown the call takes effect and its response is lost. With any other
// error, such as goose.ErrUnavailable, the call does not take effect.
type Fault func(call string) error

// Store is an in-memory goose.Store that accepts and ignores leases.
type Store struct {
	mu       sync.Mutex
	fault    Fault
	revision int64
	entries  map[string]goose.Entry
	history  []goose.WatchEvent
	watchers map[*watcher]bool
	calls    map[string]int
}

var _ goose.PollingStore = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{entries: map[string]goose.Entry{}, watchers: map[*watcher]bool{}, calls: map[string]int{}}
}

// SetFault sets the fault of later calls; nil means no faults. A fault of "watch" also ends
// the running watches.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f == nil || f("watch") == nil {
		return
	}
	for w := range s.watchers {
		w.end(goose.ErrUnavailable)
		delete(s.watchers, w)
	}
}

// SetDown makes every call fail with goose.ErrUnavailable if down is true, and removes any
// fault if it is false.
func (s *Store) SetDown(down bool) {
	if !down {
		s.SetFault(nil)
		return
	}
	s.SetFault(func(string) error { return goose.ErrUnavailable })
}

// CallCount returns how often a method was called: "get", "list", "commit", "watch",
// "poll" or "keep-alive".
func (s *Store) CallCount(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// do counts the call and runs f under the lock, unless the fault prevents the call.
func (s *Store) do(call string, f func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
	var err error
	if s.fault != nil {
		err = s.fault(call)
	}
	if err == nil || errors.Is(err, goose.ErrOutcomeUnknown) {
		f()
	}
	return err
}

// Get implements goose.Store.
func (s *Store) Get(_ context.Context, key string) (e goose.Entry, ok bool, err error) {
	err = s.do("get", func() { e, ok = s.entries[key] })
	if err != nil {
		return goose.Entry{}, false, err
	}
	return e, ok, nil
}

// GetAfter implements goose.Store.
func (s *Store) GetAfter(ctx context.Context, key string, revision int64) (goose.Entry, bool, error) {
	e, ok, err := s.Get(ctx, key)
	if !ok || e.ModRevision <= revision {
		return goose.Entry{}, false, err
	}
	return e, true, nil
}

// List implements goose.Store.
func (s *Store) List(_ context.Context, prefix string, limit int) (out []goose.Entry, revision int64, err error) {
	err = s.do("list", func() {
		revision = s.revision
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) {
				out = append(out, e)
			}
		}
	})
	if err != nil {
		return nil, 0, err
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, revision, nil
}

// Commit implements goose.Store.
func (s *Store) Commit(_ context.Context, txn goose.Txn) (r goose.TxnResult, err error) {
	err = s.do("commit", func() { r = s.apply(txn) })
	if err != nil {
		return goose.TxnResult{}, err
	}
	return r, nil
}

// CommitAll implements goose.Store.
func (s *Store) CommitAll(_ context.Context, txns []goose.Txn) (out []goose.TxnResult, err error) {
	err = s.do("commit", func() {
		for _, t := range txns {
			out = append(out, s.apply(t))
		}
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

func (s *Store) apply(txn goose.Txn) goose.TxnResult {
	for _, c := range txn.If {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			return goose.TxnResult{Revision: s.revision}
		}
	}
	s.revision++
	for _, op := range txn.Then {
		e := goose.Entry{Key: op.Key, Value: op.Value, CreateRevision: s.revision, ModRevision: s.revision, Lease: op.Lease}
		if op.Kind == goose.OpDelete {
			delete(s.entries, op.Key)
			s.publish(goose.WatchEvent{Deleted: true, Entry: goose.Entry{Key: op.Key, ModRevision: s.revision}})
			continue
		}
		if old, ok := s.entries[op.Key]; ok {
			e.CreateRevision = old.CreateRevision
		}
		s.entries[op.Key] = e
		s.publish(goose.WatchEvent{Entry: e})
	}
	return goose.TxnResult{Succeeded: true, Revision: s.revision}
}

func (s *Store) publish(e goose.WatchEvent) {
	s.history = append(s.history, e)
	for w := range s.watchers {
		w.send(e)
	}
}

// Grant implements goose.Store.
func (s *Store) Grant(context.Context, time.Duration) (goose.LeaseID, error) { return 1, nil }

// KeepAlive implements goose.Store.
func (s *Store) KeepAlive(context.Context, goose.LeaseID) (time.Duration, error) {
	return time.Minute, s.do("keep-alive", func() {})
}

// Revoke implements goose.Store.
func (s *Store) Revoke(context.Context, goose.LeaseID) error { return nil }

// Close implements goose.Store.
func (s *Store) Close() error { return nil }

// pollInterval is the interval at which a waiting poll checks for changes.
const pollInterval = 5 * time.Millisecond

// Poll implements goose.PollingStore.
func (s *Store) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]goose.WatchEvent, int64, error) {
	until := time.Now().Add(wait)
	var events []goose.WatchEvent
	var revision int64
	find := func() {
		events, revision = nil, s.revision
		for _, e := range s.history {
			if e.Entry.ModRevision > after && strings.HasPrefix(e.Entry.Key, prefix) {
				events = append(events, e)
			}
		}
	}
	if err := s.do("poll", find); err != nil {
		return nil, 0, err
	}
	for len(events) == 0 && time.Now().Before(until) {
		if !goose.Sleep(ctx, pollInterval) {
			return nil, 0, errors.Wrap(goose.ErrUnavailable, "poll cancelled")
		}
		s.mu.Lock()
		find()
		s.mu.Unlock()
	}
	return events, revision, nil
}

// Watch implements goose.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (goose.Watcher, error) {
	w := &watcher{prefix: prefix, events: make(chan goose.WatchEvent, 4096), done: make(chan struct{})}
	err := s.do("watch", func() {
		s.watchers[w] = true
		for _, e := range s.history {
			if e.Entry.ModRevision >= from {
				w.send(e)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	w.store = s
	context.AfterFunc(ctx, w.Close)
	return w, nil
}

type watcher struct {
	prefix string
	events chan goose.WatchEvent
	store  *Store
	once   sync.Once
	done   chan struct{}
	err    error
}

func (w *watcher) send(e goose.WatchEvent) {
	if strings.HasPrefix(e.Entry.Key, w.prefix) {
		w.events <- e
	}
}

func (w *watcher) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
		close(w.events)
	})
}

func (w *watcher) Events() <-chan goose.WatchEvent { return w.events }

func (w *watcher) Err() error {
	<-w.done
	return w.err
}

func (w *watcher) Close() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	delete(w.store.watchers, w)
	w.end(context.Canceled)
}

// StallWatches makes the running watches deliver no more events without ending them, as can
// happen in an outage of the store.
func (s *Store) StallWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.watchers)
}
