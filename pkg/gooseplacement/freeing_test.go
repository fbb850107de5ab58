package gooseplacement

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// idleOnlyDemand returns a prompt that only idle replicas prefill.
func idleOnlyDemand() Demand {
	d := hugeDemand()
	d.PromptTokens, d.Objective, d.TimeLeft = 315_000, 8*time.Second, 30*time.Second
	e := *d.Service.Engine
	e.PrefillTokensPerSecond = 50_000
	d.Service.Engine = &e
	return d
}

// Guards against estimates that do not follow the remaining prefill, and against a wait for
// replicas that will not be enough. The load pattern is huge prompts while other long prompts
// are prefilled.
func TestFreeAfter(t *testing.T) {
	t.Parallel()
	full := func(prefill time.Duration, tokens int) Report {
		r := busyReport(prefill)
		for id, l := range r.Replicas {
			l.Tokens = tokens
			r.Replicas[id] = l
		}
		return r
	}
	tests := map[string]struct {
		demand Demand
		report Report
		avoid  int
		// obstacle is what Choose returns; the estimate is between least and most.
		obstacle    Obstacle
		least, most time.Duration
		want        bool
	}{
		"prefill of a second":  {demand: idleOnlyDemand(), report: full(time.Second, 0), obstacle: ObstacleHuge, least: 900 * time.Millisecond, most: time.Second, want: true},
		"prefill of two":       {demand: idleOnlyDemand(), report: full(2*time.Second, 0), obstacle: ObstacleHuge, least: 1900 * time.Millisecond, most: 2 * time.Second, want: true},
		"prefill of a minute":  {demand: idleOnlyDemand(), report: full(time.Minute, 0), obstacle: ObstacleHuge},
		"memory":               {demand: giantDemand(), report: full(time.Second, 310_000), obstacle: ObstacleMemory, least: time.Second, most: 4 * time.Second, want: true},
		"replicas were tried":  {demand: idleOnlyDemand(), report: full(time.Second, 0), avoid: 21, obstacle: ObstacleHuge},
		"memory was refused":   {demand: giantDemand(), report: full(time.Second, 0), avoid: 22, obstacle: ObstacleMemory},
		"every one was tried":  {demand: giantDemand(), report: full(time.Second, 0), avoid: 23, obstacle: ObstacleNoReplica},
		"all of them are free": {demand: giantDemand(), obstacle: ObstacleNone, want: true, most: 2 * freeingPrecision},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("desk", 23)
			pl.SetPeerReport("peer", tc.report, start)
			tc.demand.Service.ColdRate, tc.demand.Avoid = 0, map[goose.ReplicaID]bool{}
			for _, r := range all[:tc.avoid] {
				tc.demand.Avoid[r.ID] = true
			}
			f, got := pl.FreeAfter(tc.demand, all, start)
			if got != tc.want || got && (f.After < tc.least || f.After > tc.most || f.Expected <= 0) {
				t.Errorf("got %+v, %t, want %t within %s to %s", f, got, tc.want, tc.least, tc.most)
			}
			if c, o := pl.Choose(tc.demand, all, start); o != tc.obstacle {
				t.Errorf("got obstacle %q, %d helpers, want %q", o, len(c.Helpers), tc.obstacle)
			}
		})
	}
}

// Guards against requests that are held although they would be late, or while other requests
// take the replicas that they wait for.
func TestSetWait(t *testing.T) {
	t.Parallel()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	type step struct {
		at, after int
		want      bool
	}
	tests := map[string][]step{
		"in time":         {{0, 1000, true}, {500, 500, true}, {990, 10, true}},
		"too late":        {{0, 3500, false}},
		"not at once":     {{2000, 1500, false}},
		"estimate grows":  {{0, 500, true}, {400, 500, true}, {700, 500, true}, {800, 100, false}},
		"becomes late":    {{0, 2000, true}, {1500, 1600, false}},
		"without a delay": {{0, 0, true}, {90, 0, true}, {110, 0, false}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := SetWait{Arrived: start, Objective: 4 * time.Second}
			for _, s := range steps {
				if got := w.Continue(Forecast{After: ms(s.after), Expected: time.Second}, start.Add(ms(s.at))); got != s.want {
					t.Errorf("got %t after %d ms, want %t", got, s.at, s.want)
				}
			}
		})
	}
}
