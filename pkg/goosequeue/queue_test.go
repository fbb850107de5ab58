package goosequeue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func item(id int, c goose.LengthClass, w string, cost int, weight float64) goose.QueueItem {
	return goose.QueueItem{
		Request: goose.PermitRequest{
			Request: goose.RequestID(fmt.Sprint(id)), Class: c, Workspace: goose.WorkspaceName(w), PromptTokens: cost,
		},
		Weight: weight, Deadline: time.Unix(int64(id%50), 0),
	}
}

func fitsAll(goose.QueueItem) bool { return true }

// Guards against requests that are lost, served twice or counted wrongly after any
// sequence of pushes, pops, removals and expiries, including items that do not fit.
func TestNothingLostOrDuplicated(t *testing.T) {
	for _, name := range []string{"fair", "fifo"} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkNothingLost(t, name) }) })
	}
}

func checkNothingLost(t *rapid.T, name string) {
	q, err := goose.NewDiscipline(name)
	if err != nil {
		t.Fatal(err)
	}
	waiting, costs, n := map[goose.RequestID]bool{}, map[goose.RequestID]int{}, 0
	checkOut := func(i goose.QueueItem) {
		if !waiting[i.Request.Request] {
			t.Fatalf("request %s left the queue: got a request that was not in it", i.Request.Request)
		}
		delete(waiting, i.Request.Request)
	}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			n++
			class := rapid.SampledFrom(classOrder[:]).Draw(t, "class")
			weight := rapid.SampledFrom([]float64{0, 1, 3, math.NaN(), math.Inf(1)}).Draw(t, "weight")
			i := item(n, class, rapid.StringMatching("[a-c]").Draw(t, "w"), rapid.IntRange(0, 100).Draw(t, "cost"), weight)
			q.Push(i)
			waiting[i.Request.Request], costs[i.Request.Request] = true, i.Request.Cost()
		},
		"pop": func(t *rapid.T) {
			limit := rapid.IntRange(0, 100).Draw(t, "limit")
			fits := func(i goose.QueueItem) bool { return i.Request.Cost() <= limit }
			if i, ok := q.Pop(fits); ok {
				if !fits(i) {
					t.Fatalf("popped cost %d, want at most %d", i.Request.Cost(), limit)
				}
				checkOut(i)
				return
			}
			for id := range waiting {
				if costs[id] <= limit {
					t.Fatalf("nothing popped, want request %s with cost %d", id, costs[id])
				}
			}
		},
		"remove": func(t *rapid.T) {
			id := goose.RequestID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
			if got := q.Remove(id); got != waiting[id] {
				t.Fatalf("remove %s: got %v, want %v", id, got, waiting[id])
			}
			delete(waiting, id)
		},
		"expire": func(t *rapid.T) {
			now := time.Unix(int64(rapid.IntRange(0, 50).Draw(t, "now")), 0)
			for _, i := range q.Expire(now) {
				checkOut(i)
			}
		},
		"": func(t *rapid.T) {
			if q.Len() != len(waiting) {
				t.Fatalf("length: got %d, want %d", q.Len(), len(waiting))
			}
		},
	})
	for i, ok := q.Pop(fitsAll); ok; i, ok = q.Pop(fitsAll) {
		checkOut(i)
	}
	if len(waiting) != 0 || q.CostAhead(goose.ClassShort, "a") != 0 {
		t.Fatalf("after all pops: %d waiting, %d ahead, want none", len(waiting), q.CostAhead(goose.ClassShort, "a"))
	}
}

// Guards against a workspace that gets less than its weighted share of tokens while
// it always has a backlog, for any sizes of requests.
func TestWeightsAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, served, n := NewFair(), map[string]float64{}, 0
		weights := map[string]float64{
			"a": rapid.Float64Range(0.5, 8).Draw(t, "a"), "b": rapid.Float64Range(0.5, 8).Draw(t, "b"),
		}
		sizes := map[string]int{"a": rapid.IntRange(1, 50).Draw(t, "size a"), "b": rapid.IntRange(1, 50).Draw(t, "size b")}
		push := func(w string) {
			n++
			q.Push(item(n, goose.ClassShort, w, sizes[w], weights[w]))
		}
		for range 2 {
			push("a")
			push("b")
		}
		for range 400 {
			i, _ := q.Pop(fitsAll)
			w := string(i.Request.Workspace)
			served[w] += float64(i.Request.Cost())
			push(w)
		}
		got := served["a"]/weights["a"] - served["b"]/weights["b"]
		bound := 2 * (float64(sizes["a"])/weights["a"] + float64(sizes["b"])/weights["b"])
		if math.Abs(got) > bound {
			t.Fatalf("difference of served cost over weight: got %v, want at most %v", got, bound)
		}
	})
}

// Guards against short requests that starve the other classes, and against other
// classes that exceed their guaranteed share while short requests wait.
func TestSharesOfClasses(t *testing.T) {
	q, served, n := NewFair(), map[goose.LengthClass]float64{}, 0
	cost := map[goose.LengthClass]int{goose.ClassShort: 1000, goose.ClassMedium: 30_000, goose.ClassLong: 150_000, goose.ClassGiant: 600_000}
	push := func(c goose.LengthClass) {
		n++
		q.Push(item(n, c, "w", cost[c], 1))
	}
	for _, c := range classOrder {
		push(c)
		push(c)
	}
	total := 0.0
	for range 100_000 {
		i, _ := q.Pop(fitsAll)
		served[i.Request.Class] += float64(i.Request.Cost())
		total += float64(i.Request.Cost())
		push(i.Request.Class)
	}
	for i, c := range classOrder {
		if got, want := served[c]/total, guaranteedShares[i]; i > 0 && math.Abs(got-want) > 0.02 {
			t.Errorf("share of %s: got %.3f, want %.2f", c, got, want)
		}
	}
}

// Guards against a workspace that accumulates credit while it is idle and then gets
// all service, and against one that is still charged for service long ago.
func TestNewFlowStartsAtVirtualTime(t *testing.T) {
	q := NewFair()
	for i := range 100 {
		q.Push(item(i, goose.ClassShort, "busy", 10, 1))
	}
	for range 50 {
		q.Pop(fitsAll)
	}
	for i := range 50 {
		q.Push(item(1000+i, goose.ClassShort, "new", 10, 1))
	}
	count := map[goose.WorkspaceName]int{}
	for range 20 {
		i, _ := q.Pop(fitsAll)
		count[i.Request.Workspace]++
	}
	if count["new"] < 9 || count["new"] > 11 {
		t.Errorf("new workspace in 20 pops: got %d, want about half", count["new"])
	}
}

// Guards against an estimate of the cost ahead that ignores the order of service.
func TestAhead(t *testing.T) {
	q := NewFair()
	for i := range 10 {
		q.Push(item(i, goose.ClassShort, "a", 100, 1))
	}
	q.Push(item(20, goose.ClassLong, "a", 100_000, 1))
	tests := map[string]struct {
		class     goose.LengthClass
		workspace goose.WorkspaceName
		low, high int
	}{
		"own backlog":            {goose.ClassShort, "a", 1000, 1250},
		"fair share for another": {goose.ClassShort, "b", 0, 200},
		"after a long request":   {goose.ClassLong, "a", 100_000, 101_000},
	}
	for name, tt := range tests {
		if got := q.CostAhead(tt.class, tt.workspace); got < tt.low || got > tt.high {
			t.Errorf("%s: got %d, want %d to %d", name, got, tt.low, tt.high)
		}
	}
}

func BenchmarkFairPushPop(b *testing.B) {
	q := NewFair()
	for i := range 1000 {
		q.Push(item(i, classOrder[i%4], fmt.Sprint("w", i%200), 100+i, 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		i, _ := q.Pop(fitsAll)
		q.Push(i)
	}
}

// Guards against a baseline whose priorities let the engines reorder requests by
// length class, and against priorities of the fair discipline that let short requests
// wait behind long ones.
func TestPriority(t *testing.T) {
	t.Parallel()
	fair, fifo := NewFair(), NewFIFO()
	for i, c := range []goose.LengthClass{goose.ClassShort, goose.ClassMedium, goose.ClassLong, goose.ClassGiant} {
		if got, want := fair.Priority(c), i; got != want {
			t.Errorf("fair, %s: got priority %d, want %d", c, got, want)
		}
		if got, want := fifo.Priority(c), 0; got != want {
			t.Errorf("first in, first out, %s: got priority %d, want %d", c, got, want)
		}
	}
}
