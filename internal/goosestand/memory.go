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

// Errors of the key-value state, in etcd's words.
var (
	errLeaseNotFound = errors.New("etcdserver: requested lease not found")
	errCompacted     = errors.New("etcdserver: mvcc: required revision has been compacted")
	errDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
	errTooManyOps    = errors.New("etcdserver: too many operations in txn request")
	errTooLarge      = errors.New("etcdserver: request is too large")
	errEmptyKey      = errors.New("etcdserver: key is not provided")
)

const (
	// maxTxnOps is etcd's default bound on the operations of a transaction.
	maxTxnOps = 128
	// maxValue bounds a value.
	maxValue = 1 << 20
)

// keyValue is one key as stored.
type keyValue struct {
	key, value          []byte
	create, mod, number int64
	lease               int64
}

// change is one event of the history.
type change struct {
	deleted bool
	kv      keyValue
}

// keyValueState is what the store simulator serves over HTTP. Revisions rise
// by one with every changing transaction.
type keyValueState interface {
	txn(t *gooseetcd.TxnRequest) (*gooseetcd.TxnAnswer, error)
	grant(ttl int64) int64
	keepAlive(id int64) int64
	revoke(id int64) error
	revision() int64
	// history returns the changes from a revision on and a channel that is
	// closed at the next change.
	history(key, end []byte, from int64) ([]change, <-chan struct{}, error)
	compact(to int64) int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// memory is a keyValueState in the process's memory.
type memory struct {
	mu        sync.Mutex
	rev       int64
	compacted int64
	keys      map[string]*keyValue
	leases    map[int64]*lease
	nextLease int64
	log       []change
	changed   chan struct{}
}

func newMemory() *memory {
	return &memory{
		rev: 1, keys: map[string]*keyValue{}, leases: map[int64]*lease{},
		nextLease: time.Now().UnixNano() & 0x7fffffffff, changed: make(chan struct{}),
	}
}

// lock takes the lock and removes expired leases.
func (m *memory) lock() {
	m.mu.Lock()
	now := time.Now()
	for id, l := range m.leases {
		if now.After(l.expires) {
			m.dropLease(id, l)
		}
	}
}

func (m *memory) dropLease(id int64, l *lease) {
	delete(m.leases, id)
	if len(l.keys) == 0 {
		return
	}
	m.rev++
	for k := range l.keys {
		m.remove(k, m.rev)
	}
	m.notify()
}

// expire removes expired leases until stop is closed.
func (m *memory) expire(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			m.lock()
			m.mu.Unlock()
		}
	}
}

func (m *memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) remove(key string, rev int64) {
	kv, ok := m.keys[key]
	if !ok {
		return
	}
	delete(m.keys, key)
	if l := m.leases[kv.lease]; l != nil {
		delete(l.keys, key)
	}
	m.log = append(m.log, change{true, keyValue{key: kv.key, mod: rev}})
}

func (m *memory) revision() int64 {
	m.lock()
	defer m.mu.Unlock()
	return m.rev
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

func (m *memory) read(r *gooseetcd.RangeRequest) *gooseetcd.RangeAnswer {
	var found []*keyValue
	if len(r.RangeEnd) == 0 {
		if kv, ok := m.keys[string(r.Key)]; ok {
			found = append(found, kv)
		}
	} else {
		for _, kv := range m.keys {
			if inRange(kv.key, r.Key, r.RangeEnd) {
				found = append(found, kv)
			}
		}
		sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].key, found[j].key) < 0 })
	}
	a := &gooseetcd.RangeAnswer{Count: gooseetcd.Number(len(found))}
	if r.CountOnly {
		return a
	}
	if r.Limit > 0 && int(r.Limit) < len(found) {
		found, a.More = found[:r.Limit], true
	}
	for _, kv := range found {
		if kv.mod >= int64(r.MinModRevision) {
			a.KVs = append(a.KVs, kv.wire(r.KeysOnly))
		}
	}
	return a
}

func (m *memory) txn(t *gooseetcd.TxnRequest) (*gooseetcd.TxnAnswer, error) {
	if err := checkTxn(t, map[string]bool{}); err != nil {
		return nil, err
	}
	m.lock()
	defer m.mu.Unlock()
	if err := m.checkLeases(t); err != nil {
		return nil, err
	}
	rev, before := m.rev+1, len(m.log)
	a := m.run(t, rev)
	if len(m.log) > before {
		m.rev = rev
		m.notify()
	}
	a.SetRevision(m.rev)
	return a, nil
}

// checkLeases refuses a transaction that puts a key under a missing lease.
func (m *memory) checkLeases(t *gooseetcd.TxnRequest) error {
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

func (m *memory) run(t *gooseetcd.TxnRequest, rev int64) *gooseetcd.TxnAnswer {
	a := &gooseetcd.TxnAnswer{Succeeded: true}
	for i := range t.Compare {
		if !m.holds(&t.Compare[i]) {
			a.Succeeded = false
			break
		}
	}
	ops := t.Success
	if !a.Succeeded {
		ops = t.Failure
	}
	for _, op := range ops {
		a.Responses = append(a.Responses, m.apply(op, rev))
	}
	return a
}

func (m *memory) apply(op gooseetcd.Operation, rev int64) gooseetcd.Answer {
	switch {
	case op.Put != nil:
		m.put(op.Put, rev)
		return gooseetcd.Answer{Put: &gooseetcd.PutAnswer{}}
	case op.Delete != nil:
		var gone []string
		for k, kv := range m.keys {
			if inRange(kv.key, op.Delete.Key, op.Delete.RangeEnd) {
				gone = append(gone, k)
			}
		}
		sort.Strings(gone)
		for _, k := range gone {
			m.remove(k, rev)
		}
		return gooseetcd.Answer{Delete: &gooseetcd.DeleteAnswer{Deleted: gooseetcd.Number(len(gone))}}
	case op.Txn != nil:
		return gooseetcd.Answer{Txn: m.run(op.Txn, rev)}
	case op.Range != nil:
		return gooseetcd.Answer{Range: m.read(op.Range)}
	}
	return gooseetcd.Answer{}
}

func (m *memory) put(p *gooseetcd.PutRequest, rev int64) {
	kv := &keyValue{key: p.Key, value: p.Value, create: rev, mod: rev, number: 1, lease: int64(p.Lease)}
	if old, ok := m.keys[string(p.Key)]; ok {
		kv.create, kv.number = old.create, old.number+1
		if l := m.leases[old.lease]; l != nil {
			delete(l.keys, string(p.Key))
		}
	}
	if l := m.leases[kv.lease]; l != nil {
		l.keys[string(p.Key)] = struct{}{}
	}
	m.keys[string(p.Key)] = kv
	m.log = append(m.log, change{false, *kv})
}

// holds evaluates a comparison; an absent key has zero revisions.
func (m *memory) holds(c *gooseetcd.Comparison) bool {
	kv := m.keys[string(c.Key)]
	if kv == nil {
		kv = &keyValue{}
	}
	var d int
	switch strings.ToUpper(c.Target) {
	case "MOD":
		d = compare(kv.mod, int64(c.ModRevision))
	case "CREATE":
		d = compare(kv.create, int64(c.CreateRevision))
	case "LEASE":
		d = compare(kv.lease, int64(c.Lease))
	case "VALUE":
		if kv.mod == 0 {
			return false
		}
		d = bytes.Compare(kv.value, c.Value)
	default:
		d = compare(kv.number, int64(c.Version))
	}
	switch strings.ToUpper(c.Result) {
	case "GREATER":
		return d > 0
	case "LESS":
		return d < 0
	case "NOT_EQUAL":
		return d != 0
	default:
		return d == 0
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

func (m *memory) grant(ttl int64) int64 {
	m.lock()
	defer m.mu.Unlock()
	m.nextLease++
	d := time.Duration(max(1, ttl)) * time.Second
	m.leases[m.nextLease] = &lease{ttl: d, expires: time.Now().Add(d), keys: map[string]struct{}{}}
	return m.nextLease
}

// keepAlive renews a lease and returns its TTL in seconds; zero if it is gone.
func (m *memory) keepAlive(id int64) int64 {
	m.lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	return int64(l.ttl / time.Second)
}

func (m *memory) revoke(id int64) error {
	m.lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return errLeaseNotFound
	}
	m.dropLease(id, l)
	return nil
}

func (m *memory) history(key, end []byte, from int64) ([]change, <-chan struct{}, error) {
	m.lock()
	defer m.mu.Unlock()
	if from <= m.compacted {
		return nil, nil, errCompacted
	}
	i := sort.Search(len(m.log), func(i int) bool { return m.log[i].kv.mod >= from })
	var out []change
	for _, c := range m.log[i:] {
		if inRange(c.kv.key, key, end) {
			out = append(out, c)
		}
	}
	return out, m.changed, nil
}

// compact forgets the history up to a revision; zero is the present one.
func (m *memory) compact(to int64) int64 {
	m.lock()
	defer m.mu.Unlock()
	if to == 0 || to > m.rev {
		to = m.rev
	}
	m.compacted = max(m.compacted, to)
	i := sort.Search(len(m.log), func(i int) bool { return m.log[i].kv.mod > to })
	m.log = append([]change(nil), m.log[i:]...)
	return m.compacted
}
