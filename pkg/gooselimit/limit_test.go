package gooselimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func spec(concurrency, cold int) goose.BackendServer {
	return goose.BackendServer{MemoryTokens: 1000 * concurrency, Concurrency: concurrency, ColdConcurrency: cold, ColdTokens: 1000 * cold}
}

// Guards against any sequence of events after which a replica has more in flight than its
// cold limit plus the successes of permits granted since it became cold, or more in memory,
// complete outputs included, than it has.
func TestColdBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(1, 12).Draw(t, "concurrency")
		cold := rapid.IntRange(1, concurrency).Draw(t, "cold")
		s := spec(concurrency, cold)
		l := New(s)
		var ids []goose.PermitID
		granted, generation, successes := map[goose.PermitID]int{}, 0, 0
		tokens := map[goose.PermitID]int{}
		complete := map[goose.PermitID]bool{}
		grant := func() {
			d := Demand{Tokens: rapid.IntRange(1, 2000).Draw(t, "tokens"), Long: rapid.IntRange(0, 9).Draw(t, "long") == 0}
			if !l.Fits(d) {
				return
			}
			id := goose.PermitID(fmt.Sprint(len(granted)))
			l.Add(id, d)
			ids, granted[id], tokens[id] = append(ids, id), generation, d.Tokens
			running, load, memory, allowed := 0, 0, 0, s.ColdTokens*(cold+successes)/cold
			for _, id := range ids {
				memory += tokens[id]
				if !complete[id] {
					running++
					load += tokens[id]
				}
			}
			if want := min(concurrency, cold+successes); running > want {
				t.Fatalf("requests after a grant: got %d, want at most %d", running, want)
			}
			if load > allowed || memory > s.MemoryTokens {
				t.Fatalf("tokens after a grant: got %d, with complete ones %d, want at most %d and %d", load, memory, allowed, s.MemoryTokens)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(*rapid.T) { grant() },
			"grant some": func(*rapid.T) {
				for range 4 {
					grant()
				}
			},
			"release": func(t *rapid.T) {
				if len(ids) == 0 {
					return
				}
				k := rapid.IntRange(0, len(ids)-1).Draw(t, "permit")
				good := rapid.IntRange(0, 3).Draw(t, "good") > 0
				if good && granted[ids[k]] == generation {
					successes++
				}
				l.Remove(ids[k], good)
				l.Remove(ids[k], good)
				ids = append(ids[:k], ids[k+1:]...)
			},
			"turn cold": func(*rapid.T) {
				l.ResetToCold()
				generation++
				successes = 0
			},
			"complete": func(*rapid.T) {
				if len(ids) > 0 {
					k := rapid.IntRange(0, len(ids)-1).Draw(t, "complete")
					limit := rapid.IntRange(0, 2000).Draw(t, "memory")
					l.CompleteOutput(ids[k], limit)
					l.CompleteOutput(ids[k], limit)
					complete[ids[k]], tokens[ids[k]] = true, min(tokens[ids[k]], limit)
				}
			},
			"prefill done": func(*rapid.T) {
				if len(ids) > 0 {
					l.PrefillDone(ids[0])
				}
			},
		})
	})
}

// Guards against a ramp-up that never reaches the full limits, and against counts that do not
// return to zero.
func TestRampReachesFullLimits(t *testing.T) {
	l := New(spec(32, 2))
	for i := range 62 {
		if !l.Cold() {
			t.Fatalf("warm after %d successes, want 62 or fewer only at the end", i)
		}
		id := goose.PermitID(fmt.Sprint(i))
		l.Add(id, Demand{Tokens: 10})
		l.Remove(id, true)
		if i == 29 && l.Concurrency() != 32 {
			t.Errorf("concurrency after 30 successes: got %d, want 32", l.Concurrency())
		}
		if l.Concurrency() == 32 && l.TokenLimit() == 32_000 {
			break
		}
	}
	if l.Cold() || l.Tokens() != 0 || l.Requests() != 0 {
		t.Errorf("at the end: cold %v, tokens %d, requests %d; want warm and nothing in flight", l.Cold(), l.Tokens(), l.Requests())
	}
}

// Guards against demands that are granted alongside a suspect, or alongside a long prefill
// if they are long themselves.
func TestFits(t *testing.T) {
	tests := map[string]struct {
		running Demand
		next    Demand
		want    bool
	}{
		"alongside a request":            {Demand{Tokens: 1}, Demand{Tokens: 1}, true},
		"alongside a suspect":            {Demand{Tokens: 1, Exclusive: true}, Demand{Tokens: 1}, false},
		"suspect alongside a request":    {Demand{Tokens: 1}, Demand{Tokens: 1, Exclusive: true}, false},
		"second long prefill":            {Demand{Tokens: 1, Long: true}, Demand{Tokens: 1, Long: true}, false},
		"short alongside a long prefill": {Demand{Tokens: 1, Long: true}, Demand{Tokens: 1}, true},
		"more memory than there is":      {Demand{Tokens: 3000}, Demand{Tokens: 1001}, false},
		"exactly the memory there is":    {Demand{Tokens: 3000}, Demand{Tokens: 1000}, true},
		"alone, beyond the cold limit":   {Demand{}, Demand{Tokens: 4001}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(spec(4, 4))
			l.Add("a", tt.running)
			if got := l.Fits(tt.next); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			l.PrefillDone("a")
			if got := l.Fits(tt.next); tt.running.Long && !got {
				t.Errorf("after the prefill: got %v, want true", got)
			}
		})
	}
}

// Guards against two dispatchers, each with one half of the limits, that together exceed the
// limits of a warm replica, no matter how much of each other's work they count, and against
// known work of the other dispatcher that counts against a dispatcher's own half.
func TestSharesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec(rapid.IntRange(1, 9).Draw(t, "concurrency"), 1)
		larger, smaller := New(s), New(s)
		sides := []*Limiter{larger, smaller}
		larger.SetShare(ShareLarger)
		smaller.SetShare(ShareSmaller)
		type grant struct {
			side   int
			tokens int
		}
		running := map[goose.PermitID]grant{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			for _, l := range sides {
				l.RestoreRamp(0)
			}
			id := goose.PermitID(fmt.Sprint(i))
			g := grant{rapid.IntRange(0, 1).Draw(t, "side"), rapid.IntRange(1, 1500).Draw(t, "tokens")}
			if sides[g.side].Fits(Demand{Tokens: g.tokens}) {
				sides[g.side].Add(id, Demand{Tokens: g.tokens})
				running[id] = g
				if rapid.Bool().Draw(t, "seen") {
					sides[1-g.side].Add(id, Demand{Tokens: g.tokens, Foreign: true})
				}
			} else if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				for id := range running {
					larger.Remove(id, true)
					smaller.Remove(id, true)
					delete(running, id)
					break
				}
			}
			tokens := 0
			for _, g := range running {
				tokens += g.tokens
			}
			if len(running) > s.Concurrency || tokens > s.MemoryTokens {
				t.Fatalf("got %d requests with %d tokens, want at most %d with %d", len(running), tokens, s.Concurrency, s.MemoryTokens)
			}
		}
	})
}

// Guards against a share that shrinks because the other dispatcher uses its own share.
func TestForeignWorkKeepsOwnShare(t *testing.T) {
	l := New(spec(4, 1))
	l.RestoreRamp(0)
	l.SetShare(ShareSmaller)
	l.Add("a", Demand{Tokens: 1000, Foreign: true})
	l.Add("b", Demand{Tokens: 1000, Foreign: true})
	for i := range 3 {
		got, want := l.Fits(Demand{Tokens: 1000}), i < 2
		if got != want {
			t.Errorf("own request %d: got %v, want %v", i, got, want)
		}
		if got {
			l.Add(goose.PermitID(fmt.Sprint(i)), Demand{Tokens: 1000})
		}
	}
	l.SetShare(ShareWhole)
	if l.Fits(Demand{Tokens: 1}) {
		t.Error("full replica: got a fit for one more request, want none")
	}
}

// Guards against prompt tokens that stay counted as pending or are subtracted twice, for any
// order of first tokens and releases.
func TestPrefillsCountPermitsWithoutFirstToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(spec(12, 1))
		pending := map[goose.PermitID]Demand{}
		id := func() goose.PermitID { return goose.PermitID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "permit"))) }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id, d := id(), Demand{
					Tokens: 9, Long: rapid.Bool().Draw(t, "long"),
					Prefill: rapid.IntRange(0, 5000).Draw(t, "prefill"), Priority: rapid.IntRange(0, Priorities-1).Draw(t, "priority"),
				}
				if !l.Has(id) {
					pending[id] = d
				}
				l.Add(id, d)
			},
			"first token": func(*rapid.T) {
				id := id()
				l.PrefillDone(id)
				delete(pending, id)
			},
			"release": func(*rapid.T) {
				id := id()
				l.Remove(id, rapid.Bool().Draw(t, "good"))
				delete(pending, id)
			},
			"": func(t *rapid.T) {
				for p := range Priorities {
					want := 0
					for _, d := range pending {
						if d.Priority <= p {
							want += d.Prefill
						}
					}
					if got := l.PrefillTokens(p); got != want {
						t.Fatalf("prompt tokens up to priority %d: got %d, want %d", p, got, want)
					}
				}
			},
		})
	})
}

// Guards against a cold replica that gets no requests while complete outputs wait in its
// memory to be read, and against complete outputs that do not count against its memory.
func TestCompleteOutputsAreNoLoad(t *testing.T) {
	l := New(spec(4, 1))
	small := Demand{Tokens: 500}
	l.Add("a", Demand{Tokens: 3000})
	if l.Fits(small) {
		t.Error("alongside a running request on a cold replica: got a fit, want none")
	}
	l.CompleteOutput("a", 5000)
	if got, want := l.FreeTokens(), 1000; !l.Fits(small) || got != want {
		t.Errorf("alongside a complete output: got %d tokens free, want %d", got, want)
	}
	l.RestoreRamp(0)
	if got, want := l.FreeTokens(), 1000; got != want {
		t.Errorf("warm, alongside a complete output of 3000 tokens: got %d tokens free, want %d", got, want)
	}
	l.CompleteOutput("a", 200)
	if got, want := l.FreeTokens(), 3800; got != want {
		t.Errorf("warm, alongside a complete output of 200 tokens at most: got %d tokens free, want %d", got, want)
	}
	l.Remove("a", true)
	if got, want := l.FreeTokens(), 4000; got != want {
		t.Errorf("after the release: got %d tokens free, want %d", got, want)
	}
}
