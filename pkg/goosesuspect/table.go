// Package goosesuspect records which requests were in flight when backend servers crashed,
// and shares these records with other instances. It implements goose.SuspectTracker.
package goosesuspect

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Bounds of a table. When the number of crashes exceeds its bound, the oldest crash is
// evicted; when the number of marks does, the marks of lowest precedence are evicted.
const (
	MaxMarks   = 4096
	maxCrashes = 1024
)

// unknownProcessWindow is the time within which crashes of a replica count as the same crash if
// one of their process ids is unknown. The dispatcher and the instances whose streams broke
// record the same crash within moments, and some of them may lack the process id.
const unknownProcessWindow = 2 * time.Second

// Table implements goose.SuspectTracker. Grade does not take a lock.
type Table struct {
	clock goose.Clock
	// publish is called with the marks that this instance has created or changed. It must not
	// block.
	publish func([]Mark)
	// announce sends marks to all other instances and returns when they have replied or the
	// call has timed out. If nil, marks are not announced.
	announce func(context.Context, []Mark)
	// marks is replaced as a whole and never modified.
	marks atomic.Pointer[map[goose.Fingerprint]localMark]

	mu sync.Mutex
	// crashes maps the crashes recorded by this instance to their times.
	crashes map[Crash]time.Time
}

// New returns an empty table. It calls publish with the marks that this instance creates,
// without holding a lock; publish must not block. If publish is nil, marks stay local.
func New(clock goose.Clock, publish func([]Mark)) *Table {
	if publish == nil {
		publish = func([]Mark) {}
	}
	t := &Table{clock: clock, publish: publish, crashes: map[Crash]time.Time{}}
	t.marks.Store(&map[goose.Fingerprint]localMark{})
	return t
}

// Grade implements goose.SuspectTracker.
func (t *Table) Grade(f goose.Fingerprint) goose.Suspicion {
	m, ok := (*t.marks.Load())[f]
	if !ok || m.expired(t.clock.Now()) {
		return goose.SuspicionNone
	}
	return m.Grade
}

// RecordCrash implements goose.SuspectTracker. A suspect that was the only request in flight is
// condemned; all other requests become suspects.
func (t *Table) RecordCrash(id goose.ReplicaID, process string, inFlight []goose.Fingerprint) {
	crash := Crash{Replica: id, Process: process}
	now := t.clock.Now()
	t.mu.Lock()
	isNew := t.recordCrash(crash, now)
	var created []Mark
	if isNew && len(inFlight) > 0 {
		created = t.gradeRequests(crash, now, deduplicate(inFlight))
		t.mergeLocked(created, now)
	}
	t.mu.Unlock()
	if len(created) > 0 {
		t.publish(created)
	}
}

// recordCrash records a crash. It returns false if this instance had already recorded the
// crash.
func (t *Table) recordCrash(c Crash, now time.Time) bool {
	window := Lifetime
	if c.Process == "" {
		window = unknownProcessWindow
	}
	if at, ok := t.crashes[c]; ok && now.Sub(at) < window {
		return false
	}
	t.crashes[c] = now
	t.evictCrashes(now)
	return true
}

// evictCrashes evicts expired crashes if there are more than maxCrashes, and the oldest crash
// if there still are.
func (t *Table) evictCrashes(now time.Time) {
	if len(t.crashes) <= maxCrashes {
		return
	}
	var oldest Crash
	oldestAt := now.Add(time.Second)
	for c, at := range t.crashes {
		if now.Sub(at) >= Lifetime {
			delete(t.crashes, c)
		} else if at.Before(oldestAt) {
			oldest, oldestAt = c, at
		}
	}
	if len(t.crashes) > maxCrashes {
		delete(t.crashes, oldest)
	}
}

// gradeRequests returns the marks of the requests that were in flight during a crash.
func (t *Table) gradeRequests(crash Crash, now time.Time, inFlight []goose.Fingerprint) []Mark {
	created := make([]Mark, 0, len(inFlight))
	for _, f := range inFlight {
		old, ok := (*t.marks.Load())[f]
		if ok && old.expired(now) {
			ok = false
		}
		m := Mark{Fingerprint: f, Grade: goose.SuspicionSuspect, Time: now.UnixNano(), Crash: crash}
		if ok && isSuspect(old.Grade) && len(inFlight) == 1 && (old.repeated || !sameCrash(old.Mark, crash, now)) {
			m.Grade = goose.SuspicionCondemned
		}
		created = append(created, m)
	}
	return created
}

// sameCrash reports whether the mark was created for this crash by another instance. The same
// crash must not count twice.
func sameCrash(old Mark, c Crash, now time.Time) bool {
	return old.Crash.sameAs(c, now.Sub(time.Unix(0, old.Time)))
}

// Clear implements goose.SuspectTracker. Only a suspect can be cleared.
func (t *Table) Clear(f goose.Fingerprint) {
	if changed, ok := t.changeGrade(f, goose.SuspicionNone, isSuspect); ok {
		t.publish(changed)
	}
}

// BeginTrial implements goose.SuspectTracker. The mark remains at the peers if this
// instance dies, since no other instance may know whether the trial crashed its
// backend server.
func (t *Table) BeginTrial(ctx context.Context, f goose.Fingerprint) bool {
	changed, ok := t.changeGrade(f, goose.SuspicionOnTrial, func(g goose.Suspicion) bool { return g == goose.SuspicionSuspect })
	if ok && t.announce != nil {
		t.announce(ctx, changed)
	}
	return ok
}

// EndTrial implements goose.SuspectTracker.
func (t *Table) EndTrial(f goose.Fingerprint) {
	changed, ok := t.changeGrade(f, goose.SuspicionSuspect, func(g goose.Suspicion) bool { return g == goose.SuspicionOnTrial })
	if ok {
		t.publish(changed)
	}
}

// changeGrade changes the grade of a request if from accepts the present grade, and returns the
// new mark.
func (t *Table) changeGrade(f goose.Fingerprint, to goose.Suspicion, from func(goose.Suspicion) bool) ([]Mark, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := (*t.marks.Load())[f]
	if !ok || old.expired(now) || !from(old.Grade) {
		return nil, false
	}
	m := Mark{Fingerprint: f, Grade: to, Time: max(now.UnixNano(), old.Time+1)}
	if to != goose.SuspicionNone {
		m.Crash = old.Crash
	}
	t.mergeLocked([]Mark{m}, now)
	return []Mark{m}, true
}

// Merge adds the marks of a peer. Malformed and expired marks are ignored.
func (t *Table) Merge(marks []Mark) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeLocked(marks, now)
}

// Marks returns all marks that have not expired, ordered by fingerprint.
func (t *Table) Marks() []Mark {
	now := t.clock.Now()
	var all []Mark
	for _, m := range *t.marks.Load() {
		if !m.expired(now) {
			all = append(all, m.Mark)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Fingerprint < all[j].Fingerprint })
	return all
}

// mergeLocked merges marks into a copy of the present marks and stores the copy. The lock
// must be held.
func (t *Table) mergeLocked(marks []Mark, now time.Time) {
	next := map[goose.Fingerprint]localMark{}
	for f, m := range *t.marks.Load() {
		if !m.expired(now) {
			next[f] = m
		}
	}
	for _, m := range marks {
		local := m.withExpiry(now)
		if !m.valid() || local.expired(now) {
			continue
		}
		if old, ok := next[m.Fingerprint]; ok {
			local = merge(old, local)
		}
		next[m.Fingerprint] = local
	}
	evictMarks(next)
	t.marks.Store(&next)
}

// evictMarks evicts the marks of lowest precedence until there are at most MaxMarks.
func evictMarks(marks map[goose.Fingerprint]localMark) {
	excess := len(marks) - MaxMarks
	if excess <= 0 {
		return
	}
	all := make([]Mark, 0, len(marks))
	for _, m := range marks {
		all = append(all, m.Mark)
	}
	sort.Slice(all, func(i, j int) bool { return lowerPrecedence(all[i], all[j]) })
	for _, m := range all[:excess] {
		delete(marks, m.Fingerprint)
	}
}

// deduplicate returns the fingerprints without duplicates, in their original order.
func deduplicate(all []goose.Fingerprint) []goose.Fingerprint {
	seen := make(map[goose.Fingerprint]struct{}, len(all))
	var unique []goose.Fingerprint
	for _, f := range all {
		if _, ok := seen[f]; !ok {
			seen[f] = struct{}{}
			unique = append(unique, f)
		}
	}
	return unique
}
