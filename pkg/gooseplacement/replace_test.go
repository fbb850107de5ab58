package gooseplacement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// giantDemand returns a request whose prompt exceeds the memory of a replica.
func giantDemand() Demand {
	d := longDemand()
	d.PromptTokens, d.Objective = 500_000, 8*time.Second
	e := *d.Service.Engine
	e.TimePerMillionPairs = 0
	d.Service.Engine = &e
	return d
}

// Guards against a set with more or less memory than the prompt needs, helpers that are used
// twice or above their free memory, refused helpers that are chosen again, kept ones that
// change, and a set that is given up although others have enough memory. The load pattern is
// prompts above a replica's memory while some replicas refuse reservations.
func TestReplace(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pl, all, d := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: rand.IntN}), replicas("desk", 23), giantDemand()
		d.Service.ColdRate, d.Avoid = 0, map[goose.ReplicaID]bool{}
		c, o := pl.Choose(d, all, start)
		if o != ObstacleNone || len(c.Helpers) == 0 {
			t.Fatalf("got %d helpers, obstacle %q", len(c.Helpers), o)
		}
		report := Report{Replicas: map[goose.ReplicaID]Load{}}
		for _, r := range all {
			report.Replicas[r.ID] = Load{Requests: 1, Tokens: rapid.IntRange(0, 400_000).Draw(t, "tokens")}
		}
		pl.SetPeerReport("peer", report, start)
		var refused []goose.ReplicaID
		needed := 0
		for _, h := range c.Helpers {
			if rapid.Bool().Draw(t, "refuses") {
				refused, d.Avoid[h.Replica.ID] = append(refused, h.Replica.ID), true
				needed += h.Tokens
			}
		}
		available := availableTokens(pl, c, d, maxHelpers-len(c.Helpers)+len(refused))
		next, added, ok := pl.Replace(c, refused, d, all, time.Hour, start)
		if want := needed > 0 && available >= needed; ok != want {
			t.Fatalf("got replaced %t, want %t for %d tokens of %d", ok, want, needed, available)
		}
		if !ok {
			return
		}
		if got, want := helperTokens(next.Helpers), helperTokens(c.Helpers); got != want || len(next.Helpers) > maxHelpers {
			t.Errorf("got %d tokens at %d helpers, want %d at most at %d", got, len(next.Helpers), want, maxHelpers)
		}
		seen := map[goose.ReplicaID]bool{c.Replica.ID: true}
		for _, h := range next.Helpers {
			if seen[h.Replica.ID] || d.Avoid[h.Replica.ID] {
				t.Errorf("got helper %s twice or after its refusal", h.Replica.ID)
			}
			seen[h.Replica.ID] = true
			if !slices.Contains(c.Helpers, h) && (!slices.Contains(added, h) || h.Tokens > modelService().Engine.MemoryTokens-report.Replicas[h.Replica.ID].Tokens) {
				t.Errorf("got helper %+v that is neither kept nor added, or above its free memory", h)
			}
		}
		if got := helperTokens(added); got != needed {
			t.Errorf("got %d tokens added, want %d", got, needed)
		}
		for _, h := range next.Helpers {
			if got := pl.Report(start).Replicas[h.Replica.ID].Tokens; got != h.Tokens {
				t.Errorf("got %d tokens reported for %s, want %d", got, h.Replica.ID, h.Tokens)
			}
		}
		pl.RecordEnd(c.AttemptID, false, false, start)
		if got := pl.Report(start).Replicas; len(got) != 0 {
			t.Errorf("got load %v after the end, want none", got)
		}
	})
}

func helperTokens(helpers []Helper) int {
	sum := 0
	for _, h := range helpers {
		sum += h.Tokens
	}
	return sum
}

// availableTokens returns the memory that the given number of replicas outside of the choice
// can reserve.
func availableTokens(pl *Placer, c Choice, d Demand, n int) int {
	var spare []int
	for _, r := range replicas("desk", 23) {
		used := slices.ContainsFunc(c.Helpers, func(h Helper) bool { return h.Replica.ID == r.ID })
		if r.ID != c.Replica.ID && !used && !d.Avoid[r.ID] {
			spare = append(spare, int(reserveShare*float64(max(d.Service.Engine.MemoryTokens-pl.load(r.ID, start).Tokens, 0))))
		}
	}
	slices.Sort(spare)
	slices.Reverse(spare)
	sum := 0
	for _, s := range spare[:min(len(spare), max(n, 0))] {
		sum += s
	}
	return sum
}

// Guards against memory that is reserved for a first replica that leaves, and at replacements
// that would make the first event late.
func TestReplaceGivesUp(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		prepare func(pl *Placer, c Choice)
		within  time.Duration
		want    bool
	}{
		"others are idle":     {prepare: func(*Placer, Choice) {}, within: time.Second, want: true},
		"first one leaves":    {prepare: func(pl *Placer, c Choice) { pl.RecordLeaving(c.Replica, start) }, within: time.Second},
		"others prefill long": {prepare: func(pl *Placer, _ Choice) { pl.SetPeerReport("peer", busyReport(time.Minute), start) }, within: time.Second},
		"in time after that":  {prepare: func(pl *Placer, _ Choice) { pl.SetPeerReport("peer", busyReport(time.Second), start) }, within: time.Hour, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all, d := newPlacer(), replicas("desk", 23), giantDemand()
			c, o := pl.Choose(d, all, start)
			if o != ObstacleNone {
				t.Fatalf("got obstacle %q", o)
			}
			tc.prepare(pl, c)
			refused := c.Helpers[0].Replica.ID
			d.Avoid = map[goose.ReplicaID]bool{refused: true}
			if _, _, got := pl.Replace(c, []goose.ReplicaID{refused}, d, all, tc.within, start); got != tc.want {
				t.Errorf("got replaced %t, want %t", got, tc.want)
			}
		})
	}
}

// busyReport returns a report of the given pending prefill on every replica.
func busyReport(prefill time.Duration) Report {
	r := Report{Replicas: map[goose.ReplicaID]Load{}}
	for _, c := range replicas("desk", 23) {
		r.Replicas[c.ID] = Load{Requests: 1, Waiting: 1, Prefill: prefill}
	}
	return r
}

// Guards against reservations that go on for longer than the objective allows, that end before
// a replica that does not respond can be replaced, or during which the first ones expire.
func TestReservationLimit(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		objective, expected, elapsed, left time.Duration
		want                               time.Duration
	}{
		"within the objective": {objective: 4 * time.Second, expected: 2500 * time.Millisecond, elapsed: 500 * time.Millisecond, left: 14 * time.Second, want: time.Second},
		"late":                 {objective: 4 * time.Second, expected: 4 * time.Second, elapsed: time.Second, left: 8 * time.Second, want: 500 * time.Millisecond},
		"no objective":         {expected: time.Second, left: 8 * time.Second, want: 500 * time.Millisecond},
		"a day":                {objective: 24 * time.Hour, left: 24 * time.Hour, want: maxReservationTime},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := NewReservationLimit(Choice{Expected: tc.expected}, Demand{Objective: tc.objective, TimeLeft: tc.left}, start.Add(-tc.elapsed), start)
			if !l.AllowsRound(maxReservationRounds, start.Add(tc.want-1)) || l.AllowsRound(1, start.Add(tc.want)) || l.AllowsRound(maxReservationRounds+1, start) {
				t.Errorf("got rounds that end at another time than after %s, or are not bounded", tc.want)
			}
			if got := l.RoundTime(start); got <= 0 || got >= tc.want {
				t.Errorf("got %s for the first round, want less than %s", got, tc.want)
			}
		})
	}
}

// Guards against the longest prompts that are refused for good after three declines within
// milliseconds, and against short ones that are sent to ever more replicas.
func TestAfterDecline(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		demand   Demand
		declines Declines
		elapsed  time.Duration
		want     bool
		pause    time.Duration
	}{
		"short":                       {demand: shortDemand(), declines: Declines{Replicas: 2}, want: true},
		"short, three":                {demand: shortDemand(), declines: Declines{Replicas: 3}},
		"plain, three":                {demand: Demand{Service: plainService()}, declines: Declines{Replicas: 3}},
		"longest, three":              {demand: longDemand(), declines: Declines{Replicas: 3}, elapsed: 90 * time.Millisecond, want: true},
		"longest, first draining":     {demand: longDemand(), declines: Declines{Replicas: 1, Draining: 1, LastDraining: true}, want: true, pause: minDrainPause},
		"longest, many draining":      {demand: longDemand(), declines: Declines{Replicas: 9, Draining: 9, LastDraining: true}, want: true, pause: maxDrainPause},
		"longest, late":               {demand: longDemand(), declines: Declines{Replicas: 3}, elapsed: 3 * time.Second},
		"longest, pause makes late":   {demand: longDemand(), declines: Declines{Replicas: 3, Draining: 3, LastDraining: true}, elapsed: 3*time.Second - 10*time.Millisecond},
		"longest, every replica full": {demand: longDemand(), declines: Declines{Replicas: maxLongestDeclines}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pause, got := tc.demand.AfterDecline(tc.declines, tc.elapsed)
			if got != tc.want || pause != tc.pause {
				t.Errorf("got %t after %s, want %t after %s", got, pause, tc.want, tc.pause)
			}
		})
	}
}
