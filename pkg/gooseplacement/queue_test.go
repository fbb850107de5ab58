package gooseplacement

import "testing"

// Guards against first requests that queue at replicas without a free slot, so that all are late
// although no more are served, and against callers that are refused twice. The load pattern is
// more short streams than slots for some seconds.
func TestQueueForSlot(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		running      int
		large, retry bool
		want         Obstacle
	}{
		"small fleet, one may queue":                 {running: 16},
		"small fleet, one queues":                    {running: 17, want: ObstacleFull},
		"small fleet, retry of a caller":             {running: 17, retry: true, want: ObstacleFull},
		"large fleet, a slot is free":                {running: 15, large: true},
		"large fleet, no slot is free":               {running: 16, large: true, want: ObstacleFull},
		"large fleet, retry of a caller":             {running: 20, large: true, retry: true},
		"large fleet, retry of a caller, long queue": {running: 21, large: true, retry: true, want: ObstacleFull},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all, d := replicas("desk", 3), shortDemand()
			d.Service.ColdRate, d.CallerRetry = 0, tc.retry
			pl := loadedPlacer(all, Load{Requests: tc.running, Tokens: 100_000, ShortPauseStreams: tc.running}, tc.large)
			if _, o := pl.Choose(d, all, start); o != tc.want {
				t.Errorf("got obstacle %q, want %q", o, tc.want)
			}
		})
	}
}
