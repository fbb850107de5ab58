package goosememory

import (
	"context"
	"slices"
	"sync"
	"testing"
)

// waitFor returns once n claims wait.
func waitFor(b *Budget, n int) {
	for {
		b.mu.Lock()
		waiting := len(b.waiting)
		b.mu.Unlock()
		if waiting == n {
			return
		}
	}
}

// Guards against requests that keep those of others from memory: senders that hold it for long,
// owners that hold much, and many small claims beside a large one.
func TestOrderOfClaims(t *testing.T) {
	t.Parallel()
	const size = 100
	for name, tc := range map[string]struct {
		held    []Claim
		waiting []Claim
		want    []int
	}{
		"order of arrival":      {nil, []Claim{{Bytes: 60}, {Bytes: 60}, {Bytes: 60}}, []int{0, 1, 2}},
		"fast sender":           {nil, []Claim{{Bytes: 60, Rate: 5000}, {Bytes: 60, Rate: 400_000}}, []int{1, 0}},
		"similar rates":         {nil, []Claim{{Bytes: 60, Rate: 300_000}, {Bytes: 60, Rate: 400_000}}, []int{0, 1}},
		"large claim":           {nil, []Claim{{Bytes: 100}, {Bytes: 1}}, []int{0, 1}},
		"owner that holds much": {[]Claim{{Bytes: 10, Owners: []Owner{"a"}}}, []Claim{{Bytes: 60, Owners: []Owner{"a"}}, {Bytes: 60, Owners: []Owner{"b"}}}, []int{1, 0}},
		"one of two owners":     {[]Claim{{Bytes: 10, Owners: []Owner{"x"}}}, []Claim{{Bytes: 60, Owners: []Owner{"a", "x"}}, {Bytes: 60, Owners: []Owner{"a", "y"}}}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := New(size)
			left := int64(size)
			for _, c := range tc.held {
				if !b.TryAcquire(c) {
					t.Fatalf("got no memory for %v", c)
				}
				left -= c.Bytes
			}
			rest := Claim{Bytes: left}
			if !b.TryAcquire(rest) {
				t.Fatal("got no memory for the rest")
			}
			var mu sync.Mutex
			var got []int
			var all sync.WaitGroup
			for n, c := range tc.waiting {
				all.Go(func() {
					if !b.Acquire(context.Background(), c) {
						t.Errorf("claim %d got no memory", n)
					}
					mu.Lock()
					got = append(got, n)
					mu.Unlock()
					b.Release(c)
				})
				waitFor(b, n+1)
			}
			b.Release(rest)
			for _, c := range tc.held {
				b.Release(c)
			}
			all.Wait()
			if !slices.Equal(got, tc.want) {
				t.Errorf("got memory in the order %v, want %v", got, tc.want)
			}
			if b.Free() != size || len(b.held) != 0 {
				t.Errorf("got %d bytes free and %v held, want %d and none", b.Free(), b.held, size)
			}
		})
	}
}

// Guards against a claim that has given up and keeps memory, or keeps those behind it waiting.
func TestClaimThatGivesUp(t *testing.T) {
	t.Parallel()
	b := New(100)
	half := Claim{Bytes: 50}
	if !b.TryAcquire(half) {
		t.Fatal("got no memory")
	}
	ctx, cancel := context.WithCancel(context.Background())
	gaveUp := make(chan bool)
	go func() { gaveUp <- !b.Acquire(ctx, Claim{Bytes: 80}) }()
	waitFor(b, 1)
	if b.TryAcquire(half) {
		t.Fatal("got memory before a claim that waits")
	}
	served := make(chan bool)
	go func() { served <- b.Acquire(context.Background(), half) }()
	waitFor(b, 2)
	cancel()
	if !<-gaveUp {
		t.Error("got memory for a claim that does not fit")
	}
	if !<-served {
		t.Error("got no memory behind a claim that has given up")
	}
	b.Release(half)
	b.Release(half.WithBytes(20))
	b.Release(half.WithBytes(30))
	if got := b.Free(); got != 100 {
		t.Errorf("got %d bytes free, want 100", got)
	}
}
