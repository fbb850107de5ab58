package gooseroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func candidates(tokens ...int) []goose.Candidate {
	var out []goose.Candidate
	for i, n := range tokens {
		out = append(out, goose.Candidate{Replica: goose.ReplicaID(fmt.Sprint("r", i)), Tokens: n, ReportedTokens: 100 - n, MemoryTokens: 1000})
	}
	return out
}

// Guards against requests that miss the replica that caches their prefix, overload
// one replica for its cache, or follow index entries that were evicted, are expired
// or are older than a gap in the events.
func TestAffinity(t *testing.T) {
	q := goose.PermitRequest{PrefixHashes: []uint64{1, 2, 3}}
	event := func(a *Affinity, sequence int64, block uint64, evicted bool) {
		a.ObserveCacheEvent("r1", goose.CacheEvent{Sequence: sequence, Block: block, Evicted: evicted, Time: a.clock.Now()})
	}
	tests := map[string]struct {
		setup func(*Affinity, *fakeClock)
		load  []int
		want  int
	}{
		"empty index":          {func(*Affinity, *fakeClock) {}, []int{5, 4, 0}, 2},
		"placed":               {func(a *Affinity, _ *fakeClock) { a.RecordPlacement(q, "r1") }, []int{0, 0, 0}, 1},
		"within the bound":     {func(a *Affinity, _ *fakeClock) { a.RecordPlacement(q, "r1") }, []int{80, 125, 95}, 1},
		"over the bound":       {func(a *Affinity, _ *fakeClock) { a.RecordPlacement(q, "r1") }, []int{80, 130, 90}, 0},
		"mean of all replicas": {func(a *Affinity, _ *fakeClock) { a.RecordPlacement(q, "r1"); a.SetMeanTokens(500) }, []int{80, 130, 90}, 1},
		"longer prefix": {func(a *Affinity, _ *fakeClock) {
			a.RecordPlacement(goose.PermitRequest{PrefixHashes: q.PrefixHashes[:1]}, "r0")
			a.RecordPlacement(q, "r1")
		}, []int{0, 0, 0}, 1},
		"added by an event": {func(a *Affinity, _ *fakeClock) { event(a, 1, 1, false) }, []int{0, 0, 0}, 1},
		"evicted": {func(a *Affinity, _ *fakeClock) {
			a.RecordPlacement(q, "r1")
			event(a, 1, 1, true)
		}, []int{0, 0, 0}, 0},
		"late eviction": {func(a *Affinity, c *fakeClock) {
			e := goose.CacheEvent{Sequence: 1, Block: 1, Evicted: true, Time: c.now}
			c.now = c.now.Add(time.Second)
			a.RecordPlacement(q, "r1")
			a.ObserveCacheEvent("r1", e)
		}, []int{0, 0, 0}, 1},
		"expired": {func(a *Affinity, c *fakeClock) {
			a.RecordPlacement(q, "r1")
			c.now = c.now.Add(entryLifetime + time.Second)
		}, []int{0, 0, 0}, 0},
		"gap in the events": {func(a *Affinity, c *fakeClock) {
			a.RecordPlacement(q, "r1")
			event(a, 1, 7, false)
			c.now = c.now.Add(time.Second)
			event(a, 5, 8, false)
			c.now = c.now.Add(gapLifetime + time.Second)
		}, []int{0, 0, 0}, 0},
		"forgotten": {func(a *Affinity, _ *fakeClock) {
			a.RecordPlacement(q, "r1")
			a.Forget("r1")
		}, []int{0, 0, 0}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClock{now: time.Unix(1000, 0)}
			a := NewAffinity(c)
			tt.setup(a, c)
			if got := a.Choose(q, candidates(tt.load...)); got != tt.want {
				t.Errorf("choice: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an index that grows without bound.
func TestIndexIsBounded(t *testing.T) {
	a := NewAffinity(&fakeClock{})
	for i := range uint64(5000) {
		a.RecordPlacement(goose.PermitRequest{PrefixHashes: []uint64{i}}, "r0")
	}
	if got := len(a.holders); got != maxBlocksPerReplica {
		t.Errorf("blocks in the index: got %d, want %d", got, maxBlocksPerReplica)
	}
}

// Guards against baselines that do not choose in the way that their names state.
func TestBaselines(t *testing.T) {
	cs := candidates(10, 90, 50)
	if got := (LeastLoaded{}).Choose(goose.PermitRequest{}, cs); got != 1 {
		t.Errorf("least loaded by report: got %d, want 1", got)
	}
	r := &RoundRobin{}
	for i, want := range []int{0, 1, 2, 0} {
		if got := r.Choose(goose.PermitRequest{}, cs); got != want {
			t.Errorf("round robin, choice %d: got %d, want %d", i, got, want)
		}
	}
}

func BenchmarkAffinityChoose(b *testing.B) {
	a := NewAffinity(goose.SystemClock{})
	load := make([]int, 27)
	cs := candidates(load...)
	for i, c := range cs {
		a.RecordPlacement(goose.PermitRequest{PrefixHashes: []uint64{1, 2, uint64(10 + i)}}, c.Replica)
	}
	q := goose.PermitRequest{PrefixHashes: []uint64{1, 2, 15, 99}}
	b.ReportAllocs()
	for b.Loop() {
		a.Choose(q, cs)
	}
}
