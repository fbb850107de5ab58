package gooseretry

import (
	"testing"
	"time"
)

// Guards against first requests that count as retries, and against callers that return after a
// refusal and count as new ones, so that they are refused again. The load pattern is a burst
// above capacity whose refused callers return to other instances.
func TestCallerRetry(t *testing.T) {
	t.Parallel()
	const timeout = 10 * time.Second
	start := time.Unix(1_000, 0)
	tests := map[string]struct {
		// stated are the times left of the requests before.
		stated []time.Duration
		left   time.Duration
		want   bool
	}{
		"first request":               {left: timeout},
		"first request, after a hop":  {left: timeout - 10*time.Millisecond},
		"no time stated":              {left: 0},
		"returned":                    {left: 8 * time.Second, want: true},
		"returned at once":            {left: timeout - 100*time.Millisecond, want: true},
		"all callers wait for less":   {stated: repeat(4*time.Second, minStated), left: 4 * time.Second},
		"returned, all wait for less": {stated: repeat(4*time.Second, minStated), left: 3 * time.Second, want: true},
		"too few to tell":             {stated: repeat(4*time.Second, 3), left: 4 * time.Second, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := NewCallers()
			for i, left := range tc.stated {
				c.IsRetry("r", left, timeout, start.Add(time.Duration(i)*time.Millisecond))
			}
			if got := c.IsRetry("r", tc.left, timeout, start.Add(time.Second)); got != tc.want {
				t.Errorf("got retry %t, want %t", got, tc.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = d
	}
	return all
}
