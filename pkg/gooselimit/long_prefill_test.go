package gooselimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// ttftSample returns an observation of an engine that computes 50,000 tokens per second and
// on which requests alongside a long prefill wait factor times as long.
func ttftSample(prompt int, duringLongPrefill bool, factor float64) goose.TTFTSample {
	wait := time.Duration(prompt+400) * 20 * time.Microsecond
	if duringLongPrefill {
		wait = time.Duration(float64(wait) * factor)
	}
	return goose.TTFTSample{DuringLongPrefill: duringLongPrefill, PromptTokens: prompt, TTFT: wait}
}

// Guards against bounds out of range for any observations: a bound of zero would block long
// prompts, and a bound above the size of the pool would limit nothing.
func TestLongPrefillBoundsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(goose.LongPrefillBoundNames()).Draw(t, "bound")
		b, err := goose.NewLongPrefillBound(name)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 80).Draw(t, "observations") {
			b.Observe(goose.TTFTSample{
				DuringLongPrefill: rapid.Bool().Draw(t, "beside"),
				PromptTokens:      rapid.IntRange(-1, goose.ShortTokens).Draw(t, "prompt"),
				TTFT:              time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "wait")),
			})
			n := rapid.IntRange(0, 60).Draw(t, "replicas")
			if got := b.Limit(n); got < max(1, n/2) || got > max(1, n) {
				t.Fatalf("%s, limit for %d replicas: got %d", name, n, got)
			}
		}
	})
}

// Guards against a bound that stays low although short requests are not delayed, stays high
// although they are, or depends on earlier observations.
func TestAdaptiveBoundConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "replicas")
		a := NewAdaptiveBound()
		feed := func(factor float64, count int) {
			for range count {
				a.Observe(ttftSample(rapid.IntRange(1000, goose.ShortTokens).Draw(t, "prompt"), rapid.Bool().Draw(t, "beside"), factor))
			}
		}
		feed(rapid.Float64Range(0.5, 50).Draw(t, "before"), rapid.IntRange(0, 60).Draw(t, "observations before"))
		delayed := rapid.Bool().Draw(t, "suffer")
		factor, want := rapid.Float64Range(0.7, 1.4).Draw(t, "factor"), n
		if delayed {
			factor, want = rapid.Float64Range(4.5, 100).Draw(t, "factor"), max(1, n/2)
		}
		feed(factor, 400)
		if got := a.Limit(n); got != want {
			t.Fatalf("limit for %d replicas where short requests wait %.1f times as long: got %d, want %d", n, factor, got, want)
		}
	})
}

// Guards against a bound that oscillates with each observation, and against one that changes
// after too few observations.
func TestAdaptiveBoundHasHysteresis(t *testing.T) {
	tests := map[string]struct {
		open    bool
		factor  float64
		samples int
		changes bool
	}{
		"between, from low":      {false, 2.5, 200, false},
		"delayed from the start": {false, 10, 200, false},
		"between, from high":     {true, 2.5, 200, false},
		"opens":                  {false, 1.2, 200, true},
		"closes":                 {true, 5, 200, true},
		"too few observations":   {false, 1.2, requestsPerStep/2 - 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAdaptiveBound()
			if tt.open {
				for range 100 {
					a.Observe(ttftSample(4000, true, 1.9))
					a.Observe(ttftSample(4000, false, 1))
				}
			}
			start, changes := a.Limit(8), 0
			for range tt.samples {
				a.Observe(ttftSample(4000, false, 1))
				if a.Observe(ttftSample(4000, true, tt.factor)) {
					changes++
				}
			}
			if got := a.Limit(8) != start; got != tt.changes || changes > 2 {
				t.Errorf("limit from %d: got %d after %d changes, want a change: %v", start, a.Limit(8), changes, tt.changes)
			}
		})
	}
}

// Guards against a bound that stays low because routing keeps short requests away from long
// prefills.
func TestAdaptiveBoundRisesWithoutObservationsAlongsideLong(t *testing.T) {
	a := NewAdaptiveBound()
	for range 3 * requestsPerStep {
		a.Observe(ttftSample(4000, false, 1))
	}
	if got := a.Limit(7); got != 7 {
		t.Errorf("limit for 7 replicas: got %d, want 7", got)
	}
}

// Guards against a bound that is lowered only after many more short requests were delayed.
func TestAdaptiveBoundDropsAtOnce(t *testing.T) {
	a := NewAdaptiveBound()
	for range 100 {
		a.Observe(ttftSample(4000, false, 1))
		a.Observe(ttftSample(4000, true, 1))
	}
	n := 0
	for a.Limit(8) > 4 && n < 100 {
		a.Observe(ttftSample(4000, true, 30))
		n++
	}
	if n > 2 {
		t.Errorf("observations until the bound was lowered: got %d, want at most 2", n)
	}
}
