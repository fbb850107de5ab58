// Package goosemember keeps the view of the fleet: heartbeats inside a data
// centre and digests between data centres.
package goosemember

import (
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Times of the membership protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// FailureTimeout is the silence after which a member counts as failed. Four
	// heartbeats may be lost before a live instance is suspected.
	FailureTimeout = 2 * time.Second
	// DigestInterval is the time between exchanges of two data centres.
	DigestInterval = time.Second
	// DigestTimeout is the silence after which a whole data centre counts as cut off.
	DigestTimeout = 5 * time.Second
)

// record is what is known about one member.
type record struct {
	member goose.Member
	// state is the hash of the state that the member itself sent last; zero
	// before the first.
	state uint64
	// has is the hash of this instance's state that the member last confirmed.
	has uint64
	// listed is true while the platform's list shows the instance as live.
	listed bool
	// heard is zero until the member was heard from directly.
	heard time.Time
	// told is when the member was last told this instance's state.
	told time.Time
	// confirmed is true while the digest of the member's data centre contains it.
	confirmed bool
}

// digest is what is known about another data centre.
type digest struct {
	hash uint64
	// confirmed is when the data centre last confirmed the hash.
	confirmed time.Time
}

// table is the mutable state behind the published view.
type table struct {
	mu      sync.Mutex
	self    goose.Member
	now     func() time.Time
	records map[goose.InstanceID]*record
	digests map[goose.DataCentre]digest
	// view is replaced as a whole; readers on the request path take no lock.
	view atomic.Pointer[view]
}

// view is an immutable snapshot of the table.
type view struct {
	self    goose.Member
	members []goose.Member
	// holders maps a pool to the live member with the newest epoch.
	holders map[goose.Pool]goose.Member
}

func newTable(self goose.Member, now func() time.Time) *table {
	t := &table{
		self:    self,
		now:     now,
		records: map[goose.InstanceID]*record{},
		digests: map[goose.DataCentre]digest{},
	}
	t.publish(self)
	return t
}

// hear notes a message that came from the member itself. An older incarnation
// never replaces a newer one.
func (t *table) hear(m goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Instance == t.self.Instance || m.Instance == "" {
		return
	}
	r := t.records[m.Instance]
	if r == nil {
		r = &record{}
		t.records[m.Instance] = r
	}
	if m.Incarnation < r.member.Incarnation {
		return
	}
	r.member, r.state = m, stateHash(m)
	r.heard = t.now()
}

// hearAgain notes a message from the member whose last state has this hash. It
// returns false if there is none, and the member must send its state.
func (t *table) hearAgain(state uint64) (goose.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == 0 {
		return goose.Member{}, false
	}
	for _, r := range t.records {
		if r.state == state {
			r.heard = t.now()
			return r.member, true
		}
	}
	return goose.Member{}, false
}

// states returns the hash of this instance's state that the member has, and that
// of the member's state known here; zero if there is none.
func (t *table) states(id goose.InstanceID) (has, known uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		return r.has, r.state
	}
	return 0, 0
}

// has notes that the member has the state of this instance with the hash.
func (t *table) has(id goose.InstanceID, state uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		r.has = state
	}
}

// toldMargin makes up for tickers that are late, so that a member that was told
// by the last beat is told again by the next one.
const toldMargin = HeartbeatInterval / 10

// told notes that a member was told this instance's state at a time.
func (t *table) told(id goose.InstanceID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && at.After(r.told) {
		r.told = at
	}
}

// toldLately reports whether the member was told this instance's state within
// the last heartbeat interval.
func (t *table) toldLately(id goose.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r != nil && t.now().Sub(r.told) < HeartbeatInterval-toldMargin
}

// unheard reports whether the member has been silent for two intervals.
func (t *table) unheard(id goose.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r == nil || t.now().Sub(r.heard) > 2*HeartbeatInterval
}

// list applies the platform's list. Members that it no longer shows are dropped
// once they are silent as well.
func (t *table) list(listed []goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		r.listed = false
	}
	for _, m := range listed {
		if m.Instance == t.self.Instance {
			continue
		}
		r := t.records[m.Instance]
		if r == nil {
			r = &record{member: m}
			t.records[m.Instance] = r
		}
		r.listed = !m.Leaving
		// The list lags: an address that was heard from is newer.
		if r.heard.IsZero() {
			r.member.Address, r.member.DataCentre = m.Address, m.DataCentre
		}
	}
	now := t.now()
	for id, r := range t.records {
		if !r.listed && now.Sub(t.heardAt(r)) > DigestTimeout {
			delete(t.records, id)
		}
	}
}

// applyDigest replaces what is known about another data centre.
func (t *table) applyDigest(dc goose.DataCentre, members []goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if dc == t.self.DataCentre {
		return
	}
	present := map[goose.InstanceID]bool{}
	for _, m := range members {
		present[m.Instance] = true
		r := t.records[m.Instance]
		if r == nil {
			r = &record{}
			t.records[m.Instance] = r
		}
		if m.Incarnation == r.member.Incarnation {
			m.Version = max(m.Version, r.member.Version)
		}
		if m.Incarnation >= r.member.Incarnation {
			r.member = m
		}
		r.confirmed = true
	}
	for id, r := range t.records {
		if r.member.DataCentre != dc || present[id] {
			continue
		}
		r.confirmed = false
		if !r.listed {
			delete(t.records, id)
		}
	}
	t.digests[dc] = digest{hash: digestHash(members), confirmed: t.now()}
}

// confirmDigest notes that a data centre still has the digest with this hash, and
// which versions are in force there. It returns false if the digest must be
// fetched.
func (t *table) confirmDigest(s digestState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.DataCentre == t.self.DataCentre {
		return true
	}
	d, ok := t.digests[s.DataCentre]
	if !ok || d.hash != s.Hash {
		return false
	}
	if at := t.now().Add(-s.Age); at.After(d.confirmed) {
		d.confirmed = at
		t.digests[s.DataCentre] = d
	}
	for _, r := range t.records {
		if r.member.DataCentre == s.DataCentre && r.confirmed {
			// Equal hashes are of equal incarnations, in which versions only increase.
			r.member.Version = max(r.member.Version, s.Versions.of(r.member.Instance))
		}
	}
	return true
}

// digestAge returns how long ago a data centre last confirmed its digest.
func (t *table) digestAge(dc goose.DataCentre) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.digests[dc].confirmed)
}

// digestHashes returns the hash of every other data centre's digest, the versions
// there and the age of its confirmation.
func (t *table) digestHashes() []digestState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	members := map[goose.DataCentre][]goose.Member{}
	for _, r := range t.records {
		if r.confirmed {
			members[r.member.DataCentre] = append(members[r.member.DataCentre], r.member)
		}
	}
	states := make([]digestState, 0, len(t.digests))
	for dc, d := range t.digests {
		if age := now.Sub(d.confirmed); age < DigestTimeout {
			states = append(states, digestState{DataCentre: dc, Hash: d.hash, Age: age, Versions: versionsOf(members[dc])})
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].DataCentre < states[j].DataCentre })
	return states
}

// heardAt returns when the member was last heard from. Other data centres are
// heard through their digests: without these, the holder of a permit there
// would count as silent between two reports, and its stream would be cancelled.
func (t *table) heardAt(r *record) time.Time {
	if d := t.digests[r.member.DataCentre]; r.confirmed && d.confirmed.After(r.heard) {
		return d.confirmed
	}
	return r.heard
}

// live reports whether the record's member answers. Members of other data
// centres are live while their data centre confirms its digest.
func (t *table) live(r *record, now time.Time) bool {
	if r.member.DataCentre == t.self.DataCentre {
		return !r.heard.IsZero() && now.Sub(r.heard) < FailureTimeout
	}
	d, ok := t.digests[r.member.DataCentre]
	if !ok || now.Sub(d.confirmed) >= DigestTimeout {
		return false
	}
	return r.confirmed
}

// publish rebuilds the view with self's present state.
func (t *table) publish(self goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	self.Live, self.Heard = true, now
	t.self = self
	members := make([]goose.Member, 0, len(t.records)+1)
	members = append(members, self)
	for _, r := range t.records {
		m := r.member
		m.Heard = t.heardAt(r)
		m.Live = t.live(r, now)
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
	t.view.Store(&view{self: self, members: members, holders: holders(members)})
}

// holders returns for each pool the live member with the newest epoch; between
// equal epochs the lower name wins, so that all instances choose alike.
func holders(members []goose.Member) map[goose.Pool]goose.Member {
	result := map[goose.Pool]goose.Member{}
	epochs := map[goose.Pool]goose.Epoch{}
	for _, m := range members {
		if !m.Live {
			continue
		}
		for _, p := range m.Pools {
			if p.Mode == goose.ModeStopped {
				continue
			}
			if e, ok := epochs[p.Pool]; ok && e >= p.Epoch {
				continue
			}
			epochs[p.Pool] = p.Epoch
			result[p.Pool] = m
		}
	}
	return result
}

// digestHash hashes the members of a digest but for their versions, which change
// at all of them with each change of the configuration: their members would be
// sent to all instances of the fleet. The order of members does not matter, nor
// that of a member's pools, which an instance lists in any order.
func digestHash(members []goose.Member) uint64 {
	var sum uint64
	for _, m := range members {
		h := xxhash.New()
		writeField(h, string(m.Instance), m.Address)
		writeNumber(h, m.Incarnation)
		if m.Leaving {
			writeField(h, "leaving")
		}
		sum += h.Sum64()
		for _, p := range m.Pools {
			h.Reset()
			writeField(h, string(m.Instance), string(p.Pool.DataCentre), string(p.Pool.Service), string(p.Mode))
			writeNumber(h, int64(p.Epoch))
			sum += h.Sum64()
		}
	}
	return sum
}

// stateHash hashes all that a heartbeat tells of a member; it is never zero.
func stateHash(m goose.Member) uint64 {
	h := xxhash.New()
	writeField(h, string(m.DataCentre))
	writeNumber(h, m.Version, int64(digestHash([]goose.Member{m})))
	return max(1, h.Sum64())
}

func writeField(h *xxhash.Digest, fields ...string) {
	for _, f := range fields {
		_, _ = h.WriteString(f)
		_, _ = h.Write([]byte{0})
	}
}

func writeNumber(h *xxhash.Digest, numbers ...int64) {
	var b [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(b[:], uint64(n))
		_, _ = h.Write(b[:])
	}
}
