package gooseretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
)

func options(instances int) Options {
	return Options{
		Window: 10 * time.Second, Ratio: 0.2, Burst: 20, UsableShare: 1, Instances: func(time.Time) int { return instances },
	}
}

// Guards against retries that multiply the load of a failing service.
func TestRetry(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances, requests int
		// later is the time between the requests and the retries.
		later time.Duration
		want  int
	}{
		"idle":             {instances: 1, want: 20},
		"shared burst":     {instances: 4, want: 5},
		"ratio and burst":  {instances: 4, requests: 50, want: 15},
		"requests expired": {instances: 4, requests: 50, later: 11 * time.Second, want: 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := New(options(tc.instances))
			now := time.Unix(1000, 0)
			for range tc.requests {
				b.CountRequest("desk", now)
			}
			now = now.Add(tc.later)
			got := 0
			for b.TakeRetry("desk", now) {
				got++
			}
			if got != tc.want {
				t.Errorf("got %d retries, want %d", got, tc.want)
			}
			if !b.TakeRetry("other", now) {
				t.Error("got no retry for another service, want its own budget")
			}
		})
	}
}

// Guards against windows in which all instances together send more retries than allowed, for
// any sequence of requests and failures.
func TestRetryWindows(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 6).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(options(instances))
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("desk", now)
				requests = append(requests, now)
				continue
			}
			if b.TakeRetry("desk", now) {
				retries = append(retries, now)
			}
		}
		o := options(instances)
		for _, end := range retries {
			got := within(retries, end, o.Window*(stepsPerWindow-1)/stepsPerWindow)
			if limit := o.Ratio*float64(within(requests, end, o.Window)) + o.Burst; float64(got) > limit {
				t.Fatalf("got %d retries in a window, limit %.1f", got, limit)
			}
		}
	})
}

func within(all []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range all {
		if !at.After(end) && end.Sub(at) <= window {
			n++
		}
	}
	return n
}
