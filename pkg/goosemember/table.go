// Package goosemember maintains each instance's view of the fleet, through
// heartbeats inside a data centre and digests between data centres.
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

// Timing of the membership protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// FailureTimeout is the silence after which a member counts as failed. Four
	// heartbeats may be lost before a live instance is suspected.
	FailureTimeout = 2 * time.Second
	// DigestInterval is the time between exchanges of two data centres.
	DigestInterval = time.Second
	// DigestTimeout is the silence after which a whole data centre counts as
	// cut off.
	DigestTimeout = 5 * time.Second
)

// record holds what is known about one member.
type record struct {
	member goose.Member
	// stateHash is the hash of the last state that the member itself sent; zero
	// if it has sent none.
	stateHash uint64
	// ackedHash is the hash of this instance's state that the member last
	// acknowledged.
	ackedHash uint64
	// listed is true while the platform's list shows the instance as live.
	listed bool
	// lastMessage is when the member itself last sent a message; zero if it has
	// not.
	lastMessage time.Time
	// stateSentAt is when the member was last sent this instance's state.
	stateSentAt time.Time
	// inDigest is true while the digest of the member's data centre contains it.
	inDigest bool
}

// digest holds what is known about the digest of another data centre.
type digest struct {
	hash uint64
	// confirmedAt is when the data centre last confirmed the hash.
	confirmedAt time.Time
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
	// dispatchers maps a pool to the live member that dispatches it with the
	// newest epoch.
	dispatchers map[goose.Pool]goose.Member
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

// observe records the state in a message from the member itself. An older
// incarnation never replaces a newer one.
func (t *table) observe(m goose.Member) {
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
	r.member, r.stateHash = m, stateHash(m)
	r.lastMessage = t.now()
}

// observeUnchanged records a message from the member whose last state has this
// hash. It returns false if there is no such member; the sender must then send
// its state.
func (t *table) observeUnchanged(hash uint64) (goose.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hash == 0 {
		return goose.Member{}, false
	}
	for _, r := range t.records {
		if r.stateHash == hash {
			r.lastMessage = t.now()
			return r.member, true
		}
	}
	return goose.Member{}, false
}

// stateHashes returns the hash of this instance's state that the member last
// acknowledged, and the hash of the member's state that is known here. A hash is
// zero if there is no such state.
func (t *table) stateHashes(id goose.InstanceID) (acked, known uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		return r.ackedHash, r.stateHash
	}
	return 0, 0
}

// setAckedHash records that the member acknowledged this instance's state with
// the hash.
func (t *table) setAckedHash(id goose.InstanceID, hash uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		r.ackedHash = hash
	}
}

// heartbeatMargin allows for late tickers, so that a member that got the last
// heartbeat also gets the next one.
const heartbeatMargin = HeartbeatInterval / 10

// markStateSent records that a member was sent this instance's state at the
// given time.
func (t *table) markStateSent(id goose.InstanceID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && at.After(r.stateSentAt) {
		r.stateSentAt = at
	}
}

// stateSentRecently reports whether the member was sent this instance's state
// within the last heartbeat interval.
func (t *table) stateSentRecently(id goose.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r != nil && t.now().Sub(r.stateSentAt) < HeartbeatInterval-heartbeatMargin
}

// isSilent reports whether the member has been silent for two heartbeat
// intervals.
func (t *table) isSilent(id goose.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r == nil || t.now().Sub(r.lastMessage) > 2*HeartbeatInterval
}

// applyList applies the platform's list. Members that it no longer shows, or
// shows as leaving, are dropped once they are silent as well.
func (t *table) applyList(list []goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		r.listed = false
	}
	for _, m := range list {
		if m.Instance == t.self.Instance {
			continue
		}
		r := t.records[m.Instance]
		if r == nil {
			r = &record{member: m}
			t.records[m.Instance] = r
		}
		r.listed = !m.Leaving
		// The list lags behind: the address in a member's own message is newer.
		if r.lastMessage.IsZero() {
			r.member.Address, r.member.DataCentre = m.Address, m.DataCentre
		}
	}
	now := t.now()
	for id, r := range t.records {
		if !r.listed && now.Sub(t.lastHeard(r)) > DigestTimeout {
			delete(t.records, id)
		}
	}
}

// applyDigest replaces the known members of another data centre.
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
		r.inDigest = true
	}
	for id, r := range t.records {
		if r.member.DataCentre != dc || present[id] {
			continue
		}
		r.inDigest = false
		if !r.listed {
			delete(t.records, id)
		}
	}
	t.digests[dc] = digest{hash: digestHash(members), confirmedAt: t.now()}
}

// confirmDigest records that a data centre still has the digest with this hash,
// and which versions are in force there. It returns false if the digest must be
// fetched.
func (t *table) confirmDigest(s digestSummary) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.DataCentre == t.self.DataCentre {
		return true
	}
	d, ok := t.digests[s.DataCentre]
	if !ok || d.hash != s.Hash {
		return false
	}
	if at := t.now().Add(-s.Age); at.After(d.confirmedAt) {
		d.confirmedAt = at
		t.digests[s.DataCentre] = d
	}
	for _, r := range t.records {
		if r.member.DataCentre == s.DataCentre && r.inDigest {
			// Equal hashes imply equal incarnations, and within an incarnation
			// versions only increase.
			r.member.Version = max(r.member.Version, s.Versions.forMember(r.member.Instance))
		}
	}
	return true
}

// digestAge returns how long ago a data centre last confirmed its digest.
func (t *table) digestAge(dc goose.DataCentre) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.digests[dc].confirmedAt)
}

// digestSummaries returns, for every other data centre that was confirmed within
// DigestTimeout, the hash of its digest, the versions there and the age of the
// confirmation.
func (t *table) digestSummaries() []digestSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	members := map[goose.DataCentre][]goose.Member{}
	for _, r := range t.records {
		if r.inDigest {
			members[r.member.DataCentre] = append(members[r.member.DataCentre], r.member)
		}
	}
	summaries := make([]digestSummary, 0, len(t.digests))
	for dc, d := range t.digests {
		if age := now.Sub(d.confirmedAt); age < DigestTimeout {
			summaries = append(summaries, digestSummary{DataCentre: dc, Hash: d.hash, Age: age, Versions: versionsOf(members[dc])})
		}
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].DataCentre < summaries[j].DataCentre })
	return summaries
}

// lastHeard returns when the last message of the member arrived. The digest of
// another data centre counts as a message from its members: otherwise the holder
// of a permit there would count as silent between two reports, and its stream
// would be cancelled.
func (t *table) lastHeard(r *record) time.Time {
	if d := t.digests[r.member.DataCentre]; r.inDigest && d.confirmedAt.After(r.lastMessage) {
		return d.confirmedAt
	}
	return r.lastMessage
}

// isLive reports whether the record's member counts as live. Members of another
// data centre are live while its digest contains them and the data centre
// confirms it.
func (t *table) isLive(r *record, now time.Time) bool {
	if r.member.DataCentre == t.self.DataCentre {
		return !r.lastMessage.IsZero() && now.Sub(r.lastMessage) < FailureTimeout
	}
	d, ok := t.digests[r.member.DataCentre]
	if !ok || now.Sub(d.confirmedAt) >= DigestTimeout {
		return false
	}
	return r.inDigest
}

// publish rebuilds the view with the current state of this instance.
func (t *table) publish(self goose.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	self.Live, self.LastHeard = true, now
	t.self = self
	members := make([]goose.Member, 0, len(t.records)+1)
	members = append(members, self)
	for _, r := range t.records {
		m := r.member
		m.LastHeard = t.lastHeard(r)
		m.Live = t.isLive(r, now)
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
	t.view.Store(&view{self: self, members: members, dispatchers: dispatchers(members)})
}

// dispatchers returns, for each pool, the live member that dispatches it with the
// newest epoch. Of equal epochs the member with the lower name is chosen, so that
// all instances choose the same member.
func dispatchers(members []goose.Member) map[goose.Pool]goose.Member {
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

// digestHash hashes the members of a digest without their versions. Versions
// change at all members with each change of the configuration; if the hash
// depended on them, the members would then be sent to all instances of the fleet.
// The hash does not depend on the order of the members, nor on the order of a
// member's pools, which an instance lists in any order.
func digestHash(members []goose.Member) uint64 {
	var sum uint64
	for _, m := range members {
		h := xxhash.New()
		writeStrings(h, string(m.Instance), m.Address)
		writeInts(h, m.Incarnation)
		if m.Leaving {
			writeStrings(h, "leaving")
		}
		sum += h.Sum64()
		for _, p := range m.Pools {
			h.Reset()
			writeStrings(h, string(m.Instance), string(p.Pool.DataCentre), string(p.Pool.Service), string(p.Mode))
			writeInts(h, int64(p.Epoch))
			sum += h.Sum64()
		}
	}
	return sum
}

// stateHash hashes everything that a heartbeat contains about a member. The hash
// is never zero.
func stateHash(m goose.Member) uint64 {
	h := xxhash.New()
	writeStrings(h, string(m.DataCentre))
	writeInts(h, m.Version, int64(digestHash([]goose.Member{m})))
	return max(1, h.Sum64())
}

func writeStrings(h *xxhash.Digest, fields ...string) {
	for _, f := range fields {
		_, _ = h.WriteString(f)
		_, _ = h.Write([]byte{0})
	}
}

func writeInts(h *xxhash.Digest, numbers ...int64) {
	var b [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(b[:], uint64(n))
		_, _ = h.Write(b[:])
	}
}
