package goosestand

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseetcd"
)

// Errors of the key-value state, with etcd's messages.
var (
	errLeaseNotFound = errors.New("etcdserver: requested lease not found")
	errCompacted     = errors.New("etcdserver: mvcc: required revision has been compacted")
	errDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
	errTooManyOps    = errors.New("etcdserver: too many operations in txn request")
	errTooLarge      = errors.New("etcdserver: request is too large")
	errEmptyKey      = errors.New("etcdserver: key is not provided")
)

const (
	// maxTxnOps is etcd's default limit on the operations of a transaction.
	maxTxnOps = 128
	// maxValueBytes bounds the length of a value.
	maxValueBytes = 1 << 20
)

// keyValue is a stored key with its value and revisions.
type keyValue struct {
	key, value                           []byte
	createRevision, modRevision, version int64
	leaseID                              int64
}

// change is one event of the history.
type change struct {
	deleted bool
	kv      keyValue
}

// keyValueState is the state that the store simulator serves over HTTP. The
// revision increases by one with every transaction that changes a key.
type keyValueState interface {
	txn(t *gooseetcd.TxnRequest) (*gooseetcd.TxnResponse, error)
	grant(ttl int64) int64
	keepAlive(id int64) int64
	revoke(id int64) error
	revision() int64
	// history returns the changes of keys in [key, end) from a revision on and a
	// channel that is closed at the next change.
	history(key, end []byte, from int64) ([]change, <-chan struct{}, error)
	compact(to int64) int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// memoryState is a keyValueState that is kept in memory.
type memoryState struct {
	mu              sync.Mutex
	currentRevision int64
	compacted       int64
	keys            map[string]*keyValue
	leases          map[int64]*lease
	nextLease       int64
	changes         []change
	changed         chan struct{}
}

func newMemoryState() *memoryState {
	return &memoryState{
		currentRevision: 1, keys: map[string]*keyValue{}, leases: map[int64]*lease{},
		nextLease: time.Now().UnixNano() & 0x7fffffffff, changed: make(chan struct{}),
	}
}

// lockAndExpire acquires the lock and removes expired leases.
func (m *memoryState) lockAndExpire() {
	m.mu.Lock()
	now := time.Now()
	for id, l := range m.leases {
		if now.After(l.expires) {
			m.removeLease(id, l)
		}
	}
}

func (m *memoryState) removeLease(id int64, l *lease) {
	delete(m.leases, id)
	if len(l.keys) == 0 {
		return
	}
	m.currentRevision++
	for k := range l.keys {
		m.removeKey(k, m.currentRevision)
	}
	m.notifyChange()
}

// expireLeases removes expired leases until stop is closed.
func (m *memoryState) expireLeases(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			m.lockAndExpire()
			m.mu.Unlock()
		}
	}
}

func (m *memoryState) notifyChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryState) removeKey(key string, rev int64) {
	kv, ok := m.keys[key]
	if !ok {
		return
	}
	delete(m.keys, key)
	if l := m.leases[kv.leaseID]; l != nil {
		delete(l.keys, key)
	}
	m.changes = append(m.changes, change{true, keyValue{key: kv.key, modRevision: rev}})
}

func (m *memoryState) revision() int64 {
	m.lockAndExpire()
	defer m.mu.Unlock()
	return m.currentRevision
}

// inRange reports whether a key lies in etcd's [key, end) range.
func inRange(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, key) >= 0
	default:
		return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
	}
}

func (m *memoryState) readRange(r *gooseetcd.RangeRequest) *gooseetcd.RangeResponse {
	var matches []*keyValue
	if len(r.RangeEnd) == 0 {
		if kv, ok := m.keys[string(r.Key)]; ok {
			matches = append(matches, kv)
		}
	} else {
		for _, kv := range m.keys {
			if inRange(kv.key, r.Key, r.RangeEnd) {
				matches = append(matches, kv)
			}
		}
		sort.Slice(matches, func(i, j int) bool { return bytes.Compare(matches[i].key, matches[j].key) < 0 })
	}
	resp := &gooseetcd.RangeResponse{Count: gooseetcd.Number(len(matches))}
	if r.CountOnly {
		return resp
	}
	if r.Limit > 0 && int(r.Limit) < len(matches) {
		matches, resp.More = matches[:r.Limit], true
	}
	for _, kv := range matches {
		if kv.modRevision >= int64(r.MinModRevision) {
			resp.KVs = append(resp.KVs, kv.etcdKV(r.KeysOnly))
		}
	}
	return resp
}

func (m *memoryState) txn(t *gooseetcd.TxnRequest) (*gooseetcd.TxnResponse, error) {
	if err := checkTxn(t, map[string]bool{}); err != nil {
		return nil, err
	}
	m.lockAndExpire()
	defer m.mu.Unlock()
	if err := m.checkLeases(t); err != nil {
		return nil, err
	}
	rev, before := m.currentRevision+1, len(m.changes)
	resp := m.runTxn(t, rev)
	if len(m.changes) > before {
		m.currentRevision = rev
		m.notifyChange()
	}
	resp.SetRevision(m.currentRevision)
	return resp, nil
}

// checkLeases returns an error for a transaction that puts a key with a lease
// that does not exist. The caller holds the lock.
func (m *memoryState) checkLeases(t *gooseetcd.TxnRequest) error {
	for _, ops := range [][]gooseetcd.Operation{t.Success, t.Failure} {
		for _, op := range ops {
			if op.Put != nil && op.Put.Lease != 0 && m.leases[int64(op.Put.Lease)] == nil {
				return errLeaseNotFound
			}
			if op.Txn != nil {
				if err := m.checkLeases(op.Txn); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (m *memoryState) runTxn(t *gooseetcd.TxnRequest, rev int64) *gooseetcd.TxnResponse {
	resp := &gooseetcd.TxnResponse{Succeeded: true}
	for i := range t.Compare {
		if !m.conditionHolds(&t.Compare[i]) {
			resp.Succeeded = false
			break
		}
	}
	ops := t.Success
	if !resp.Succeeded {
		ops = t.Failure
	}
	for _, op := range ops {
		resp.Responses = append(resp.Responses, m.applyOperation(op, rev))
	}
	return resp
}

func (m *memoryState) applyOperation(op gooseetcd.Operation, rev int64) gooseetcd.OperationResponse {
	switch {
	case op.Put != nil:
		m.putKey(op.Put, rev)
		return gooseetcd.OperationResponse{Put: &gooseetcd.PutResponse{}}
	case op.Delete != nil:
		var deleted []string
		for k, kv := range m.keys {
			if inRange(kv.key, op.Delete.Key, op.Delete.RangeEnd) {
				deleted = append(deleted, k)
			}
		}
		sort.Strings(deleted)
		for _, k := range deleted {
			m.removeKey(k, rev)
		}
		return gooseetcd.OperationResponse{Delete: &gooseetcd.DeleteResponse{Deleted: gooseetcd.Number(len(deleted))}}
	case op.Txn != nil:
		return gooseetcd.OperationResponse{Txn: m.runTxn(op.Txn, rev)}
	case op.Range != nil:
		return gooseetcd.OperationResponse{Range: m.readRange(op.Range)}
	}
	return gooseetcd.OperationResponse{}
}

func (m *memoryState) putKey(p *gooseetcd.PutRequest, rev int64) {
	kv := &keyValue{key: p.Key, value: p.Value, createRevision: rev, modRevision: rev, version: 1, leaseID: int64(p.Lease)}
	if old, ok := m.keys[string(p.Key)]; ok {
		kv.createRevision, kv.version = old.createRevision, old.version+1
		if l := m.leases[old.leaseID]; l != nil {
			delete(l.keys, string(p.Key))
		}
	}
	if l := m.leases[kv.leaseID]; l != nil {
		l.keys[string(p.Key)] = struct{}{}
	}
	m.keys[string(p.Key)] = kv
	m.changes = append(m.changes, change{false, *kv})
}

// conditionHolds evaluates a comparison. The revisions of an absent key are zero.
func (m *memoryState) conditionHolds(c *gooseetcd.Comparison) bool {
	kv := m.keys[string(c.Key)]
	if kv == nil {
		kv = &keyValue{}
	}
	var order int
	switch strings.ToUpper(c.Target) {
	case "MOD":
		order = compare(kv.modRevision, int64(c.ModRevision))
	case "CREATE":
		order = compare(kv.createRevision, int64(c.CreateRevision))
	case "LEASE":
		order = compare(kv.leaseID, int64(c.Lease))
	case "VALUE":
		if kv.modRevision == 0 {
			return false
		}
		order = bytes.Compare(kv.value, c.Value)
	default:
		order = compare(kv.version, int64(c.Version))
	}
	switch strings.ToUpper(c.Result) {
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	case "NOT_EQUAL":
		return order != 0
	default:
		return order == 0
	}
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (m *memoryState) grant(ttl int64) int64 {
	m.lockAndExpire()
	defer m.mu.Unlock()
	m.nextLease++
	d := time.Duration(max(1, ttl)) * time.Second
	m.leases[m.nextLease] = &lease{ttl: d, expires: time.Now().Add(d), keys: map[string]struct{}{}}
	return m.nextLease
}

// keepAlive renews a lease and returns its TTL in seconds, or zero if the lease
// does not exist.
func (m *memoryState) keepAlive(id int64) int64 {
	m.lockAndExpire()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	return int64(l.ttl / time.Second)
}

func (m *memoryState) revoke(id int64) error {
	m.lockAndExpire()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return errLeaseNotFound
	}
	m.removeLease(id, l)
	return nil
}

func (m *memoryState) history(key, end []byte, from int64) ([]change, <-chan struct{}, error) {
	m.lockAndExpire()
	defer m.mu.Unlock()
	if from <= m.compacted {
		return nil, nil, errCompacted
	}
	i := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].kv.modRevision >= from })
	var matches []change
	for _, c := range m.changes[i:] {
		if inRange(c.kv.key, key, end) {
			matches = append(matches, c)
		}
	}
	return matches, m.changed, nil
}

// compact removes the history up to a revision, which it returns. Zero means the
// current revision.
func (m *memoryState) compact(to int64) int64 {
	m.lockAndExpire()
	defer m.mu.Unlock()
	if to == 0 || to > m.currentRevision {
		to = m.currentRevision
	}
	m.compacted = max(m.compacted, to)
	i := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].kv.modRevision > to })
	m.changes = append([]change(nil), m.changes[i:]...)
	return m.compacted
}
