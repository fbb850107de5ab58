package gooselimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// firstToken returns an observation of an engine that computes 50,000 tokens a
// second and makes requests beside a long prefill wait factor times as long.
func firstToken(prompt int, beside bool, factor float64) goose.FirstToken {
	wait := time.Duration(prompt+400) * 20 * time.Microsecond
	if beside {
		wait = time.Duration(float64(wait) * factor)
	}
	return goose.FirstToken{Beside: beside, PromptTokens: prompt, Wait: wait}
}

// Guards against bounds outside their limits, whatever is observed: none would
// stop long prompts, and more than the pool has would be no bound.
func TestLongBoundsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(goose.LongBoundNames()).Draw(t, "bound")
		b, err := goose.NewLongBound(name)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 80).Draw(t, "observations") {
			b.Observe(goose.FirstToken{
				Beside:       rapid.Bool().Draw(t, "beside"),
				PromptTokens: rapid.IntRange(-1, goose.ShortTokens).Draw(t, "prompt"),
				Wait:         time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "wait")),
			})
			n := rapid.IntRange(0, 60).Draw(t, "replicas")
			if got := b.Limit(n); got < max(1, n/2) || got > max(1, n) {
				t.Fatalf("%s, limit for %d replicas: got %d", name, n, got)
			}
		}
	})
}

// Guards against a bound that stays closed although short requests do not
// suffer, stays open although they do, or depends on what came before.
func TestAdaptiveBoundConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "replicas")
		a := NewAdaptive()
		feed := func(factor float64, count int) {
			for range count {
				a.Observe(firstToken(rapid.IntRange(1000, goose.ShortTokens).Draw(t, "prompt"), rapid.Bool().Draw(t, "beside"), factor))
			}
		}
		feed(rapid.Float64Range(0.5, 50).Draw(t, "before"), rapid.IntRange(0, 60).Draw(t, "observations before"))
		suffer := rapid.Bool().Draw(t, "suffer")
		factor, want := rapid.Float64Range(0.7, 1.4).Draw(t, "factor"), n
		if suffer {
			factor, want = rapid.Float64Range(4.5, 100).Draw(t, "factor"), max(1, n/2)
		}
		feed(factor, 400)
		if got := a.Limit(n); got != want {
			t.Fatalf("limit for %d replicas where short requests wait %.1f times as long: got %d, want %d", n, factor, got, want)
		}
	})
}

// Guards against a bound that swings with each observation, and against one
// that opens or closes on too few of them.
func TestAdaptiveBoundHasHysteresis(t *testing.T) {
	tests := map[string]struct {
		open    bool
		factor  float64
		samples int
		changes bool
	}{
		"between, from closed":      {false, 2.5, 200, false},
		"suffers from the start":    {false, 10, 200, false},
		"between, from open":        {true, 2.5, 200, false},
		"opens":                     {false, 1.2, 200, true},
		"closes":                    {true, 5, 200, true},
		"opens on few observations": {false, 1.2, openEvery/2 - 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAdaptive()
			if tt.open {
				for range 100 {
					a.Observe(firstToken(4000, true, 1.9))
					a.Observe(firstToken(4000, false, 1))
				}
			}
			start, changes := a.Limit(8), 0
			for range tt.samples {
				a.Observe(firstToken(4000, false, 1))
				if a.Observe(firstToken(4000, true, tt.factor)) {
					changes++
				}
			}
			if got := a.Limit(8) != start; got != tt.changes || changes > 2 {
				t.Errorf("from %d: got %d after %d changes, want a change: %v", start, a.Limit(8), changes, tt.changes)
			}
		})
	}
}

// Guards against a bound that stays closed because routing keeps short requests
// away from long prefills.
func TestAdaptiveBoundOpensWithoutSufferers(t *testing.T) {
	a := NewAdaptive()
	for range 3 * openEvery {
		a.Observe(firstToken(4000, false, 1))
	}
	if got := a.Limit(7); got != 7 {
		t.Errorf("limit for 7 replicas: got %d, want 7", got)
	}
}

// Guards against a closed bound that needs many more sufferers before it helps.
func TestAdaptiveBoundClosesAtOnce(t *testing.T) {
	a := NewAdaptive()
	for range 100 {
		a.Observe(firstToken(4000, false, 1))
		a.Observe(firstToken(4000, true, 1))
	}
	n := 0
	for a.Limit(8) > 4 && n < 100 {
		a.Observe(firstToken(4000, true, 30))
		n++
	}
	if n > 2 {
		t.Errorf("observations until the bound closed: got %d, want at most 2", n)
	}
}
