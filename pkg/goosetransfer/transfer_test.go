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
			x := table.Begin(LengthPausing, start, func(Kind) { cuts++ })
			x.Hold(tc.kind, start)
			for _, p := range tc.progress {
				x.Progress(p.bytes, start.Add(p.at))
			}
			if got := table.CutSlowest(Need{Kind: kind}, start.Add(tc.at)); got != tc.want || (cuts == 1) != tc.want {
				t.Errorf("got %t and %d cuts, want %t", got, cuts, tc.want)
			}
			if table.CutSlowest(Need{Kind: kind}, start.Add(tc.at)) {
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
		x := table.Begin(LengthPausing, start, func(Kind) { cuts = append(cuts, n) })
		x.Hold(kind, start)
		x.Progress(1000-100*n, start.Add(Window/2))
		transfers = append(transfers, x)
	}
	transfers[3].End()
	for table.CutSlowest(Need{Kind: kind}, start.Add(Window)) {
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
			table.Begin(LengthPausing, start, func(k Kind) { got = k }).Hold(tc.kind, start)
			if cut := table.CutSlowest(Need{}, start.Add(Window)); cut != tc.want || (got == tc.kind) != tc.want {
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
	x := table.Begin(LengthPausing, start, func(Kind) {})
	x.Hold(kind, start.Add(10*Window))
	if table.CutSlowest(Need{Kind: kind}, start.Add(10*Window+Window/2)) {
		t.Error("a transfer was cut that has had memory for less than a window")
	}
}

// Guards against transfers that are just fast enough and hold memory which faster requests need, and
// against transfers that are cut for requests that are no faster.
func TestSlowerTransferGivesWay(t *testing.T) {
	t.Parallel()
	const slow, fast = 5000, 400_000
	for name, tc := range map[string]struct {
		rate, needRate float64
		held           time.Duration
		want           bool
	}{
		"faster request":              {slow, fast, Window, true},
		"request of the same rate":    {slow, slow, Window, false},
		"request of an unknown rate":  {slow, 0, Window, false},
		"request that is somewhat so": {fast / 4, fast, Window, false},
		"memory held for a moment":    {slow, fast, Window - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Unix(1000, 0)
			table := New()
			x := table.Begin(LengthPausing, start, func(Kind) {})
			x.Hold(kind, start)
			x.Progress(int(tc.rate), start.Add(tc.held-time.Millisecond))
			if got := table.CutSlowest(Need{Kind: kind, Rate: tc.needRate}, start.Add(tc.held)); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against transfers that stop just short of their end and hold memory for the time in which a
// rate is measured, and against transfers that are cut because one packet was lost.
func TestOverdueTransferGivesWay(t *testing.T) {
	t.Parallel()
	const length = 1 << 20
	for name, tc := range map[string]struct {
		length Length
		sent   int
		pause  time.Duration
		want   bool
	}{
		"stops just short":               {length, length - 1, overdueGrace + time.Millisecond, true},
		"pauses for a moment":            {length, length - 1, overdueGrace - 1, false},
		"has a long way to go":           {length, length / 100, overdueGrace, false},
		"has sent nothing yet":           {length, 0, overdueGrace, false},
		"of unknown length, a moment":    {LengthUnknown, length, overdueGrace, false},
		"of unknown length":              {LengthUnknown, length, overdueGrace + overdueFactor*100*time.Millisecond, true},
		"may pause":                      {LengthPausing, length, Window - 1, false},
		"stops at half, at that rate":    {length, length / 2, overdueGrace + overdueFactor*100*time.Millisecond, true},
		"stops at half, a moment before": {length, length / 2, overdueGrace + overdueFactor*100*time.Millisecond - time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Unix(1000, 0)
			table := New()
			x := table.Begin(tc.length, start, func(Kind) {})
			x.Hold(kind, start)
			sentAt := start.Add(100 * time.Millisecond)
			x.Progress(tc.sent, sentAt)
			if got := table.CutSlowest(Need{Kind: kind}, sentAt.Add(tc.pause)); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}
