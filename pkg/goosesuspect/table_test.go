package goosesuspect

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// fakeClock advances only when a test calls advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_700_000_000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type fingerprint = goose.Fingerprint

// Guards against a request that is not condemned after its second crash and can crash a third
// backend server, and against innocent requests that are refused.
func TestGrades(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		run  func(t *Table, c *fakeClock)
		want map[fingerprint]goose.Suspicion
	}{
		"first crash marks all": {
			func(t *Table, _ *fakeClock) { t.RecordCrash("r1", "p1", []fingerprint{1, 2}) },
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect, 2: goose.SuspicionSuspect, 3: goose.SuspicionNone},
		},
		"second crash as the only request condemns a suspect": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1, 2})
				c.advance(time.Second)
				t.RecordCrash("r2", "p2", []fingerprint{1, 1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned, 2: goose.SuspicionSuspect},
		},
		"on trial": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.BeginTrial(context.Background(), 1)
				t.BeginTrial(context.Background(), 2)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionOnTrial, 2: goose.SuspicionNone},
		},
		"trial without a verdict": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1, 2})
				t.BeginTrial(context.Background(), 1)
				t.EndTrial(1)
				t.EndTrial(2)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect, 2: goose.SuspicionSuspect},
		},
		"crash on trial": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.BeginTrial(context.Background(), 1)
				t.RecordCrash("r2", "p2", []fingerprint{1})
				t.EndTrial(1)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned},
		},
		"first crash noted again on trial": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				c.advance(time.Second)
				t.BeginTrial(context.Background(), 1)
				t.Merge([]Mark{{1, goose.SuspicionSuspect, c.Now().UnixNano() - 1, Crash{"r1", "p1"}}})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionOnTrial},
		},
		"cleared on trial": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.BeginTrial(context.Background(), 1)
				t.Clear(1)
				t.EndTrial(1)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionNone},
		},
		"second crash with other requests condemns none": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1, 2})
				t.RecordCrash("r2", "p2", []fingerprint{1, 2})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect, 2: goose.SuspicionSuspect},
		},
		"first crash as the only request only marks it": {
			func(t *Table, _ *fakeClock) { t.RecordCrash("r1", "p1", []fingerprint{1}) },
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"same process twice": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.RecordCrash("r1", "p1", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"same crash without process id twice": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "", []fingerprint{1})
				c.advance(unknownProcessWindow / 2)
				t.RecordCrash("r1", "", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"same crash, process id known in one record": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "", []fingerprint{1})
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.RecordCrash("r1", "p2", []fingerprint{2})
				c.advance(unknownProcessWindow / 2)
				t.RecordCrash("r1", "", []fingerprint{2})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect, 2: goose.SuspicionSuspect},
		},
		"same crash by two peers, process id known to one": {
			func(t *Table, c *fakeClock) {
				for i, process := range []string{"", "p1"} {
					t.Merge([]Mark{{1, goose.SuspicionSuspect, c.Now().UnixNano() + int64(i), Crash{"r1", process}}})
				}
				t.RecordCrash("r1", "p1", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"second crash, process id known only then": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "", []fingerprint{1})
				c.advance(unknownProcessWindow)
				t.RecordCrash("r1", "p1", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned},
		},
		"second crash without process id": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "", []fingerprint{1})
				c.advance(unknownProcessWindow)
				t.RecordCrash("r1", "", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned},
		},
		"cleared": {
			func(t *Table, _ *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1, 2})
				t.Clear(1)
				t.Clear(9)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionNone, 2: goose.SuspicionSuspect, 9: goose.SuspicionNone},
		},
		"crash as the only request after clearing marks again": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.Clear(1)
				c.advance(time.Second)
				t.RecordCrash("r2", "p2", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"condemned is not cleared": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.RecordCrash("r2", "p2", []fingerprint{1})
				c.advance(time.Second)
				t.Clear(1)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned},
		},
		"crash known from a peer counts once": {
			func(t *Table, c *fakeClock) {
				t.Merge([]Mark{{1, goose.SuspicionSuspect, c.Now().UnixNano(), Crash{"r1", "p1"}}})
				t.RecordCrash("r1", "p1", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"crash known from two peers counts once": {
			func(t *Table, c *fakeClock) {
				for i := range int64(2) {
					t.Merge([]Mark{{1, goose.SuspicionSuspect, c.Now().UnixNano() - i, Crash{"r1", "p1"}}})
				}
				t.RecordCrash("r1", "p1", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"second crash known from a peer that missed the first": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1, 2})
				c.advance(time.Second)
				t.Merge([]Mark{{1, goose.SuspicionSuspect, c.Now().UnixNano(), Crash{"r2", "p2"}}})
				t.RecordCrash("r2", "p2", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionCondemned, 2: goose.SuspicionSuspect},
		},
		"just before expiry": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				c.advance(Lifetime - 1)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
		"expired": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				t.RecordCrash("r2", "p2", []fingerprint{1})
				c.advance(Lifetime)
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionNone},
		},
		"expired suspect is not condemned": {
			func(t *Table, c *fakeClock) {
				t.RecordCrash("r1", "p1", []fingerprint{1})
				c.advance(Lifetime)
				t.RecordCrash("r2", "p2", []fingerprint{1})
			},
			map[fingerprint]goose.Suspicion{1: goose.SuspicionSuspect},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := newFakeClock()
			table := New(clock, nil)
			tt.run(table, clock)
			for f, want := range tt.want {
				if got := table.Grade(f); got != want {
					t.Errorf("request %d: got %s, want %s", f, got, want)
				}
			}
		})
	}
}

// Guards against a peer's fast clock that extends the lifetime of a mark, and against
// malformed marks.
func TestMergeIgnoresBadMarks(t *testing.T) {
	t.Parallel()
	clock := newFakeClock()
	table := New(clock, nil)
	now := clock.Now()
	table.Merge([]Mark{
		{Fingerprint: 1, Grade: goose.SuspicionSuspect, Time: now.Add(time.Hour).UnixNano()},
		{Fingerprint: 2, Grade: "guilty", Time: now.UnixNano()},
		{Fingerprint: 3, Grade: goose.SuspicionCondemned, Time: now.Add(-Lifetime).UnixNano()},
		{Fingerprint: 4, Grade: goose.SuspicionCondemned},
	})
	if got := table.Marks(); len(got) != 1 || got[0].Fingerprint != 1 {
		t.Errorf("got %+v, want the mark of request 1", got)
	}
	clock.advance(Lifetime)
	if got := table.Grade(1); got != goose.SuspicionNone {
		t.Errorf("got %s after the lifetime, want none", got)
	}
}

// Guards against memory that grows with the number of crashes, and against condemned marks
// that are evicted before suspects.
func TestBoundedMemory(t *testing.T) {
	t.Parallel()
	clock := newFakeClock()
	table := New(clock, nil)
	table.RecordCrash("r", "first", []fingerprint{1})
	table.RecordCrash("r", "second", []fingerprint{1})
	for i := range 2 * maxCrashes {
		clock.advance(time.Millisecond)
		table.RecordCrash("r", time.Duration(i).String(), nil)
	}
	for i := range 2 * MaxMarks / 1000 {
		all := make([]fingerprint, 1000)
		for j := range all {
			all[j] = fingerprint(10 + 1000*i + j)
		}
		table.RecordCrash("s", time.Duration(i).String(), all)
	}
	if got := len(table.Marks()); got != MaxMarks {
		t.Errorf("got %d marks, want %d", got, MaxMarks)
	}
	if got := len(table.crashes); got > maxCrashes {
		t.Errorf("got %d crashes, want at most %d", got, maxCrashes)
	}
	if got := table.Grade(1); got != goose.SuspicionCondemned {
		t.Errorf("got %s, want condemned", got)
	}
}

func drawMark(t *rapid.T) Mark {
	return Mark{
		Fingerprint: fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
		Grade:       rapid.SampledFrom([]goose.Suspicion{goose.SuspicionNone, goose.SuspicionSuspect, goose.SuspicionOnTrial, goose.SuspicionCondemned}).Draw(t, "grade"),
		Time:        1_700_000_000e9 - rapid.Int64Range(0, 3).Draw(t, "age"),
		Crash:       Crash{goose.ReplicaID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "replica")), rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "process")},
	}
}

// Guards against instances that differ permanently because marks reached them in different
// orders or more than once.
func TestMergeConverges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(rapid.Custom(drawMark), 1, 12).Draw(t, "marks")
		clock := newFakeClock()
		a, b := New(clock, nil), New(clock, nil)
		a.Merge(marks)
		for _, m := range rapid.Permutation(append(marks, marks...)).Draw(t, "order") {
			b.Merge([]Mark{m})
		}
		got, want := b.Marks(), a.Marks()
		if len(got) != len(want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		for i := range got {
			if got[i] != want[i] {
				t.Fatalf("got %+v, want %+v", got[i], want[i])
			}
		}
	})
}
