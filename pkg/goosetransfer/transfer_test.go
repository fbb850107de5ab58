package goosetransfer

import (
	"testing"
	"time"
)

const kind, otherKind Kind = "long", "small"

// Guards against slow transfers that keep memory which others need, and against transfers that are
// cut although they are fast enough. The load pattern is many bodies that stop short of their end.
func TestCutSlowest(t *testing.T) {
	t.Parallel()
	type progress struct {
		at    time.Duration
		bytes int
	}
	tests := map[string]struct {
		kind     Kind
		progress []progress
		at       time.Duration
		want     bool
	}{
		"stopped":                            {kind, nil, Window, true},
		"of another kind of memory":          {otherKind, nil, Window, false},
		"younger than a window":              {kind, nil, Window - 1, false},
		"one byte a millisecond":             {kind, []progress{{0, 900}, {Window, 900}}, Window + Window/2, true},
		"much at first, then stopped":        {kind, []progress{{0, 1 << 20}}, Window, true},
		"fast, then for a short time slow":   {kind, []progress{{0, 1 << 20}, {Window, 1}}, Window + Window/2, false},
		"just above the least rate":          {kind, []progress{{Window / 2, MinRate}}, Window, false},
		"just below the least rate":          {kind, []progress{{Window / 2, MinRate - 1}}, Window, true},
		"slow, then fast in the same window": {kind, []progress{{0, 0}, {Window, 0}, {Window + Window/2, MinRate}}, Window + Window/2, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Unix(1000, 0)
			table := New()
			cuts := 0
			x := table.Begin(start, func(Kind) { cuts++ })
			x.Hold(tc.kind, start)
			for _, p := range tc.progress {
				x.Progress(p.bytes, start.Add(p.at))
			}
			if got := table.CutSlowest(kind, start.Add(tc.at)); got != tc.want || (cuts == 1) != tc.want {
				t.Errorf("got %t and %d cuts, want %t", got, cuts, tc.want)
			}
			if table.CutSlowest(kind, start.Add(tc.at)) {
				t.Error("a transfer was cut twice")
			}
			if got := x.End(); got != tc.want {
				t.Errorf("got cut %t at the end, want %t", got, tc.want)
			}
		})
	}
}

// Guards against a faster transfer that is cut before the slowest, and against an ended one that
// is cut.
func TestSlowestIsCutFirst(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	table := New()
	var cuts []int
	var transfers []*Transfer
	for n := range 4 {
		x := table.Begin(start, func(Kind) { cuts = append(cuts, n) })
		x.Hold(kind, start)
		x.Progress(1000-100*n, start.Add(Window/2))
		transfers = append(transfers, x)
	}
	transfers[3].End()
	for table.CutSlowest(kind, start.Add(Window)) {
	}
	if len(cuts) != 3 || cuts[0] != 2 || cuts[1] != 1 || cuts[2] != 0 {
		t.Errorf("got transfers %v cut, want 2, 1, 0", cuts)
	}
}

// Guards against slow transfers that keep their connections from other callers: they are cut
// whatever memory they hold, but not while they wait for memory.
func TestSlowestOfAnyKindIsCut(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		kind Kind
		want bool
	}{"one kind": {kind, true}, "another kind": {otherKind, true}, "waits for memory": {"", false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := New()
			got := Kind("not cut")
			table.Begin(start, func(k Kind) { got = k }).Hold(tc.kind, start)
			if cut := table.CutSlowest("", start.Add(Window)); cut != tc.want || (got == tc.kind) != tc.want {
				t.Errorf("got %t, kind %q, want %t", cut, got, tc.want)
			}
		})
	}
}

// Guards against a transfer that counts as slow because it has waited for memory.
func TestWaitForMemoryIsNotSlow(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	table := New()
	x := table.Begin(start, func(Kind) {})
	x.Hold(kind, start.Add(10*Window))
	if table.CutSlowest(kind, start.Add(10*Window+Window/2)) {
		t.Error("a transfer was cut that has had memory for less than a window")
	}
}
