// Package goosesuspect notes which requests were in flight when backend servers
// crashed, and tells other instances. It implements goose.Suspects.
package goosesuspect

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Bounds of a table. When one is exceeded, the oldest entries go first.
const (
	MaxMarks   = 4096
	maxCrashes = 1024
)

// namelessWindow is how long crashes of a replica count as one if a process id of
// them is not known: the dispatcher and the instances whose streams broke note the
// same crash within moments, and not all of them may have learnt the process.
const namelessWindow = 2 * time.Second

// Table implements goose.Suspects. Grade reads without a lock.
type Table struct {
	clock goose.Clock
	// spread gets marks that were made or changed here; it must not block.
	spread func([]Mark)
	// announce sends marks to all other instances and returns once they answered
	// or took too long; nil keeps marks local.
	announce func(context.Context, []Mark)
	marks    atomic.Pointer[map[goose.Fingerprint]held]

	mu sync.Mutex
	// crashes are the crashes noted here, with their time.
	crashes map[Crash]time.Time
}

// New returns an empty table. spread gets every mark made here, without a lock
// held, and must not block; nil keeps marks local.
func New(clock goose.Clock, spread func([]Mark)) *Table {
	if spread == nil {
		spread = func([]Mark) {}
	}
	t := &Table{clock: clock, spread: spread, crashes: map[Crash]time.Time{}}
	t.marks.Store(&map[goose.Fingerprint]held{})
	return t
}

// Grade implements goose.Suspects.
func (t *Table) Grade(f goose.Fingerprint) goose.Suspicion {
	m, ok := (*t.marks.Load())[f]
	if !ok || m.expired(t.clock.Now()) {
		return goose.SuspicionNone
	}
	return m.Grade
}

// Crashed implements goose.Suspects. A suspect that was the only request in
// flight is condemned, all others become suspects.
func (t *Table) Crashed(id goose.ReplicaID, process string, inFlight []goose.Fingerprint) {
	crash := Crash{Replica: id, Process: process}
	now := t.clock.Now()
	t.mu.Lock()
	fresh := t.note(crash, now)
	var made []Mark
	if fresh && len(inFlight) > 0 {
		made = t.grade(crash, now, distinct(inFlight))
		t.apply(made, now)
	}
	t.mu.Unlock()
	if len(made) > 0 {
		t.spread(made)
	}
}

// note returns false if the crash was noted here before.
func (t *Table) note(c Crash, now time.Time) bool {
	window := Lifetime
	if c.Process == "" {
		window = namelessWindow
	}
	if at, ok := t.crashes[c]; ok && now.Sub(at) < window {
		return false
	}
	t.crashes[c] = now
	t.trimCrashes(now)
	return true
}

func (t *Table) trimCrashes(now time.Time) {
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

func (t *Table) grade(crash Crash, now time.Time, inFlight []goose.Fingerprint) []Mark {
	made := make([]Mark, 0, len(inFlight))
	for _, f := range inFlight {
		old, ok := (*t.marks.Load())[f]
		if ok && old.expired(now) {
			ok = false
		}
		m := Mark{Fingerprint: f, Grade: goose.SuspicionSuspect, Time: now.UnixNano(), Crash: crash}
		if ok && suspected(old.Grade) && len(inFlight) == 1 && (old.repeated || !same(old.Mark, crash, now)) {
			m.Grade = goose.SuspicionCondemned
		}
		made = append(made, m)
	}
	return made
}

// same reports whether the mark stems from this crash, noted by another
// instance: one crash must not count twice.
func same(old Mark, c Crash, now time.Time) bool {
	return old.Crash.same(c, now.Sub(time.Unix(0, old.Time)))
}

// Cleared implements goose.Suspects. Only a suspect can be cleared.
func (t *Table) Cleared(f goose.Fingerprint) {
	if made, ok := t.change(f, goose.SuspicionNone, suspected); ok {
		t.spread(made)
	}
}

// Try implements goose.Suspects. The mark stays if this instance dies: nobody else
// may know whether the trial crashed its backend server.
func (t *Table) Try(ctx context.Context, f goose.Fingerprint) bool {
	made, ok := t.change(f, goose.SuspicionOnTrial, func(g goose.Suspicion) bool { return g == goose.SuspicionSuspect })
	if ok && t.announce != nil {
		t.announce(ctx, made)
	}
	return ok
}

// Tried implements goose.Suspects.
func (t *Table) Tried(f goose.Fingerprint) {
	made, ok := t.change(f, goose.SuspicionSuspect, func(g goose.Suspicion) bool { return g == goose.SuspicionOnTrial })
	if ok {
		t.spread(made)
	}
}

// change gives a request another grade if its present one allows it, and returns
// the new mark.
func (t *Table) change(f goose.Fingerprint, to goose.Suspicion, from func(goose.Suspicion) bool) ([]Mark, bool) {
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
	t.apply([]Mark{m}, now)
	return []Mark{m}, true
}

// Merge adds marks of a peer; marks that are malformed or expired are ignored.
func (t *Table) Merge(marks []Mark) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(marks, now)
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

// apply merges marks into a copy of the table.
func (t *Table) apply(marks []Mark, now time.Time) {
	next := map[goose.Fingerprint]held{}
	for f, m := range *t.marks.Load() {
		if !m.expired(now) {
			next[f] = m
		}
	}
	for _, m := range marks {
		h := m.hold(now)
		if !m.valid() || h.expired(now) {
			continue
		}
		if old, ok := next[m.Fingerprint]; ok {
			h = merge(old, h)
		}
		next[m.Fingerprint] = h
	}
	trim(next)
	t.marks.Store(&next)
}

// trim drops the marks that count least until the table is within its bound.
func trim(marks map[goose.Fingerprint]held) {
	over := len(marks) - MaxMarks
	if over <= 0 {
		return
	}
	all := make([]Mark, 0, len(marks))
	for _, m := range marks {
		all = append(all, m.Mark)
	}
	sort.Slice(all, func(i, j int) bool { return less(all[i], all[j]) })
	for _, m := range all[:over] {
		delete(marks, m.Fingerprint)
	}
}

func distinct(all []goose.Fingerprint) []goose.Fingerprint {
	seen := make(map[goose.Fingerprint]struct{}, len(all))
	var out []goose.Fingerprint
	for _, f := range all {
		if _, ok := seen[f]; !ok {
			seen[f] = struct{}{}
			out = append(out, f)
		}
	}
	return out
}
