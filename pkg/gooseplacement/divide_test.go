package gooseplacement

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// loadedPlacer returns a placer whose peers have the same load on each replica. In a large fleet
// another data centre sends sums.
func loadedPlacer(all []goosedirectory.Replica, l Load, large bool) *Placer {
	pl := newPlacer()
	loads := map[goose.ReplicaID]Load{}
	for _, r := range all {
		loads[r.ID] = l
	}
	pl.SetPeerReport("edge-2", Report{Replicas: loads}, start)
	if large {
		pl.SetDataCentreReport("ayr", Report{Instances: 30}, start)
	}
	return pl
}

// Guards against long prompts that one or two replicas prefill alone while the pool for long
// prompts is small, so that all streams of these replicas pause for longer than callers
// tolerate. The load pattern is long prompts in a burst of short ones, and after it.
func TestLongPromptIsDivided(t *testing.T) {
	t.Parallel()
	const tokens = 45_000
	streams := func(n int) Load { return Load{Requests: n, Tokens: n * 6_600, ShortPauseStreams: n} }
	tests := map[string]struct {
		streams int
		large   bool
		// minParts and maxPart are the least number of parts and the longest one.
		minParts int
		maxPart  time.Duration
	}{
		"burst of short prompts, large fleet": {streams: 9, large: true, minParts: 7, maxPart: dividedPartPrefill},
		"few short prompts, large fleet":      {streams: 1, large: true, minParts: 7, maxPart: dividedPartPrefill},
		"burst of short prompts, small fleet": {streams: 9, minParts: 1, maxPart: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := replicas("desk", 23)
			pl, d := loadedPlacer(all, streams(tc.streams), tc.large), longDemand()
			d.PromptTokens, d.Service.ColdRate = tokens, 0
			pool := pl.longPool(d.Service, all, start)
			c, o := pl.Choose(d, all, start)
			if o != ObstacleNone {
				t.Fatalf("got obstacle %q", o)
			}
			parts := 1 + len(c.Helpers)
			if part := d.Service.Engine.PrefillTime(tokens) / time.Duration(parts); parts < tc.minParts || part > tc.maxPart {
				t.Errorf("got %d parts of %s, want at least %d of at most %s", parts, part, tc.minParts, tc.maxPart)
			}
			if !tc.large {
				return
			}
			if pool[c.Replica.ID] {
				t.Error("got a response from the pool for long prompts, in which streams pause for huge ones")
			}
			used := 0
			for _, h := range c.Helpers {
				if pool[h.Replica.ID] {
					used++
				}
			}
			if want := min(len(pool), len(c.Helpers)); used != want {
				t.Errorf("got %d helpers of the pool for long prompts, want %d", used, want)
			}
		})
	}
}

// Guards against a divided prompt that waits for the huge prompts of its helpers.
func TestDividedPromptAvoidsBusyHelpers(t *testing.T) {
	t.Parallel()
	all := replicas("desk", 23)
	pl, d := loadedPlacer(all, Load{}, true), longDemand()
	d.PromptTokens, d.Service.ColdRate = 45_000, 0
	loads := map[goose.ReplicaID]Load{}
	for id := range pl.longPool(d.Service, all, start) {
		if len(loads) == 8 {
			break
		}
		loads[id] = Load{Requests: 1, Waiting: 1, Tokens: 300_000, Prefill: 2 * maxHelperPrefill}
	}
	pl.SetPeerReport("edge-2", Report{Replicas: loads}, start)
	c, o := pl.Choose(d, all, start)
	if o != ObstacleNone {
		t.Fatalf("got obstacle %q", o)
	}
	if c.Expected >= maxHelperPrefill {
		t.Errorf("got an estimate of %s, want less than the prefill of the busy replicas", c.Expected)
	}
}
