package goosestore

import (
	"context"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// historyLimit is the number of changes that are always kept for watches that start at
// an old revision; older ones may be compacted.
const historyLimit = 10_000

// Memory is a key-value store with the semantics of etcd v3: one revision per
// transaction that writes, leases that delete their keys, watches from a revision. It
// implements goose.Store in process; test servers also serve it over HTTP.
type Memory struct {
	clock  goose.Clock
	faults faultState
	calls  callCounter

	mu       sync.Mutex
	revision int64
	entries  map[string]goose.Entry
	leases   map[goose.LeaseID]*memoryLease
	lastID   goose.LeaseID
	// nextExpiry is a lower bound of the leases' deadlines.
	nextExpiry time.Time
	// history holds the newest changes in order of revision.
	history []goose.WatchEvent
	// compacted is the newest revision that is missing from history.
	compacted   int64
	watchers    map[*memoryWatcher]struct{}
	expiryTimer *time.Timer
	closed      bool
}

type memoryLease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

// NewMemory returns an empty store at revision 1 whose leases expire by clock.
func NewMemory(clock goose.Clock) *Memory {
	return &Memory{
		clock:    clock,
		revision: 1,
		entries:  map[string]goose.Entry{},
		leases:   map[goose.LeaseID]*memoryLease{},
		watchers: map[*memoryWatcher]struct{}{},
	}
}

// Get implements goose.Store.
func (m *Memory) Get(ctx context.Context, key string) (goose.Entry, bool, error) {
	var e goose.Entry
	var ok bool
	err := m.runCall(ctx, CallRange, func() error {
		e, ok = m.entries[key]
		e.Value = append([]byte(nil), e.Value...)
		return nil
	})
	if err != nil {
		return goose.Entry{}, false, err
	}
	return e, ok, nil
}

// GetAfter implements goose.Store.
func (m *Memory) GetAfter(ctx context.Context, key string, revision int64) (goose.Entry, bool, error) {
	e, ok, err := m.Get(ctx, key)
	if !ok || e.ModRevision <= revision {
		return goose.Entry{}, false, err
	}
	return e, true, nil
}

// List implements goose.Store.
func (m *Memory) List(ctx context.Context, prefix string, limit int) ([]goose.Entry, int64, error) {
	found, revision, _, err := m.Range(ctx, prefix, RangeEnd(prefix), limit)
	return found, revision, err
}

// Range returns at most limit entries (0: all) with from <= key < end in key
// order, the store's revision, and the number of entries without the limit. An
// empty end selects the key from alone; "\x00" means no upper bound.
func (m *Memory) Range(ctx context.Context, from, end string, limit int) ([]goose.Entry, int64, int, error) {
	var found []goose.Entry
	var revision int64
	err := m.runCall(ctx, CallRange, func() error {
		revision = m.revision
		if end == "" {
			if e, ok := m.entries[from]; ok {
				e.Value = append([]byte(nil), e.Value...)
				found = append(found, e)
			}
			return nil
		}
		for k, e := range m.entries {
			if inRange(k, from, end) {
				e.Value = append([]byte(nil), e.Value...)
				found = append(found, e)
			}
		}
		return nil
	})
	if err != nil {
		return nil, 0, 0, err
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	total := len(found)
	if limit > 0 && total > limit {
		found = found[:limit]
	}
	return found, revision, total, nil
}

// RangeEnd returns the end of the range that covers all keys with the prefix.
func RangeEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < math.MaxUint8 {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}

func inRange(key, from, end string) bool {
	return key >= from && (end == "\x00" || key < end)
}

// Commit implements goose.Store.
func (m *Memory) Commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	r, err := m.CommitAll(ctx, []goose.Txn{txn})
	if err != nil {
		return goose.TxnResult{}, err
	}
	return r[0], nil
}

// CommitAll implements goose.Store. All conditions are checked against the
// state before the call, as etcd does for nested transactions.
func (m *Memory) CommitAll(ctx context.Context, txns []goose.Txn) ([]goose.TxnResult, error) {
	if err := checkTxns(txns); err != nil {
		return nil, err
	}
	var results []goose.TxnResult
	err := m.runCall(ctx, CallTxn, func() error {
		var err error
		results, err = m.applyTxns(txns)
		return err
	})
	if err != nil {
		return nil, err
	}
	return results, nil
}

func (m *Memory) applyTxns(txns []goose.Txn) ([]goose.TxnResult, error) {
	results := make([]goose.TxnResult, len(txns))
	var ops []goose.Op
	for i, t := range txns {
		results[i].Succeeded = m.conditionsHold(t.If)
		if results[i].Succeeded {
			ops = append(ops, t.Then...)
		}
	}
	for _, op := range ops {
		if op.Lease != 0 && m.leases[op.Lease] == nil {
			return nil, errors.Wrapf(goose.ErrLeaseNotFound, "put %s", op.Key)
		}
	}
	m.applyOps(ops)
	for i := range results {
		results[i].Revision = m.revision
	}
	return results, nil
}

func (m *Memory) conditionsHold(conditions []goose.Compare) bool {
	for _, c := range conditions {
		if m.entries[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// applyOps applies the operations as one revision. Operations that only delete absent
// keys create no revision.
func (m *Memory) applyOps(ops []goose.Op) {
	next := m.revision + 1
	var events []goose.WatchEvent
	for _, op := range ops {
		old, ok := m.entries[op.Key]
		if op.Kind == goose.OpDelete {
			if !ok {
				continue
			}
			m.detachLease(old)
			delete(m.entries, op.Key)
			events = append(events, goose.WatchEvent{Deleted: true, Entry: goose.Entry{Key: op.Key, ModRevision: next}})
			continue
		}
		e := goose.Entry{Key: op.Key, Value: append([]byte(nil), op.Value...), CreateRevision: next, ModRevision: next, Lease: op.Lease}
		if ok {
			e.CreateRevision = old.CreateRevision
			m.detachLease(old)
		}
		if l := m.leases[op.Lease]; l != nil {
			l.keys[op.Key] = struct{}{}
		}
		m.entries[op.Key] = e
		events = append(events, goose.WatchEvent{Entry: e})
	}
	if len(events) == 0 {
		return
	}
	m.revision = next
	m.publish(events)
}

func (m *Memory) detachLease(e goose.Entry) {
	if l := m.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

func (m *Memory) publish(events []goose.WatchEvent) {
	m.history = append(m.history, events...)
	// The history is trimmed at twice the limit, so that not every change copies it.
	if over := len(m.history) - historyLimit; over > historyLimit {
		m.compacted = m.history[over-1].Entry.ModRevision
		m.history = append([]goose.WatchEvent(nil), m.history[over:]...)
	}
	for w := range m.watchers {
		for _, e := range events {
			m.deliver(w, e)
		}
	}
}

// Compact discards the changes up to the revision. A watch from this revision or an
// earlier one then fails with ErrCompacted.
func (m *Memory) Compact(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compacted = max(m.compacted, min(revision, m.revision))
	keep := sort.Search(len(m.history), func(i int) bool { return m.history[i].Entry.ModRevision > m.compacted })
	m.history = append([]goose.WatchEvent(nil), m.history[keep:]...)
}

// Revision returns the store's revision. It does not count as a call.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Close ends all watches; later calls return ErrUnavailable.
func (m *Memory) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.expiryTimer != nil {
		m.expiryTimer.Stop()
	}
	m.endWatches(goose.ErrUnavailable)
	return nil
}

func hasPrefix(e goose.WatchEvent, prefix string) bool { return strings.HasPrefix(e.Entry.Key, prefix) }
