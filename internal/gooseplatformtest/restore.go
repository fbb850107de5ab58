package gooseplatformtest

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader is the header of all responses with the number of times the store was restored.
const eraHeader = "Store-Era"

func setEra(w http.ResponseWriter, era int64) { w.Header().Set(eraHeader, strconv.FormatInt(era, 10)) }

// Copy is an immutable copy of the contents of a store.
type Copy struct {
	revision, compactedRevision, lastLease int64
	items                                  map[string]item
	history                                []item
	leases                                 map[int64]time.Duration
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision, compactedRevision: s.compactedRevision, lastLease: s.lastLease,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: maps.Clone(s.leases),
	}
}

// Write is a write of another client of the store.
type Write func(s *Store)

// PutEntry writes an entry without a lease.
func PutEntry(key, value string) Write { return func(s *Store) { s.put(key, []byte(value), 0) } }

// GrantLeases grants n leases.
func GrantLeases(n int) Write {
	return func(s *Store) {
		for range n {
			s.newLease(time.Minute)
		}
	}
}

// Restore replaces the contents of the store by a copy and begins the next era. Entries and leases
// that are newer than the copy are gone, and their revisions and lease ids are assigned again.
// Calls that are waiting go on with the contents of the copy. The writes are made before any call
// sees the restored store.
func (s *Store) Restore(c Copy, writes ...Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision, s.lastLease = c.revision, c.compactedRevision, c.lastLease
	s.items, s.history, s.leases = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)
	for _, w := range writes {
		w(s)
	}
	s.notifyWatches()
}

// WriteAgain writes what operators and replicas had written before the store was restored, unless
// they have written it since: before is a copy of the store at its restoration from restored.
func (s *Store) WriteAgain(before, restored Copy, own func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := map[string]bool{}
	for _, i := range s.history {
		written[i.Key] = written[i.Key] || i.Revision > restored.revision
	}
	for key, i := range before.items {
		if own(key) && !written[key] {
			s.put(key, i.Value, 0)
		}
	}
	for key := range restored.items {
		if _, kept := before.items[key]; own(key) && !kept && !written[key] {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// ReleaseHeld sends the responses that FaultHoldResponse holds back.
func (s *Store) ReleaseHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

func (s *Store) waitForRelease(ctx context.Context) {
	s.mu.Lock()
	release := s.release
	s.mu.Unlock()
	select {
	case <-release:
	case <-ctx.Done():
	}
}
