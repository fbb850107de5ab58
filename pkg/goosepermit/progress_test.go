package goosepermit

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

// Guards against a call of its own for every report of a request, which takes a
// dispatcher past its traffic, against a release that waits as long as the
// reports that free nothing, and against reports that wait although they free a
// long prefill.
func TestReportsShareCalls(t *testing.T) {
	tests := map[string]struct {
		class goose.Class
		runs  time.Duration
		want  int
	}{
		"ends before the report of its start is due": {goose.ClassShort, progressDelay / 2, 1},
		"ends after it": {goose.ClassShort, 2 * progressDelay, 2},
		"long prefill":  {goose.ClassLong, progressDelay / 2, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
				dispatcher, others := c.dispatcher()
				q := request()
				q.Class = tt.class
				p, _ := others[0].holder.Acquire(t.Context(), q)
				others[0].holder.Started(*p)
				others[0].holder.Prefilled(*p)
				time.Sleep(tt.runs)
				others[0].finish(*p)
				start := time.Now()
				dispatcher.acquire()
				if got := time.Since(start); got > 100*time.Millisecond {
					t.Errorf("wait for the released capacity: got %v, want at most 100ms", got)
				}
				time.Sleep(2 * progressDelay)
				if got := c.peers.Calls(goosedispatch.KindReport); got != tt.want {
					t.Errorf("report calls: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against a dispatcher that asks after permits whose start waits to be
// reported, against one that never learns of it since the call was lost, and
// against a long stream whose permit is freed for lack of reports.
func TestStartIsKnownInTime(t *testing.T) {
	for name, lost := range map[string]bool{"delivered": false, "lost once": true} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
				_, others := c.dispatcher()
				p := others[0].acquire()
				others[0].holder.Started(p)
				c.set(func() { c.callsFail = lost })
				time.Sleep(progressDelay + progressDelay/4)
				c.set(func() { c.callsFail = false })
				time.Sleep(30 * time.Second)
				if got := c.peers.Calls(goosedispatch.KindHeld); got != 0 {
					t.Errorf("questions about the permit: got %d, want 0", got)
				}
				if got := c.peers.Calls(goosedispatch.KindReport); got != 1 {
					t.Errorf("report calls: got %d, want 1", got)
				}
				if _, refusal := others[0].holder.Acquire(t.Context(), shortWait()); refusal == nil {
					t.Error("second permit of a cold replica that runs the first: got one, want none")
				}
			})
		})
	}
}

func shortWait() goose.PermitRequest {
	q := request()
	q.TimeLeft = time.Second
	return q
}

// Guards against reports that wait while the dispatcher dies and never reach its
// successor, which would ask about the permit again and again.
func TestWaitingReportReachesSuccessor(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		p := others[0].acquire()
		others[0].holder.Started(p)
		c.kill(dispatcher.id)
		time.Sleep(20 * time.Second)
		before := c.peers.Calls(goosedispatch.KindHeld)
		time.Sleep(20 * time.Second)
		if got := c.peers.Calls(goosedispatch.KindHeld) - before; got != 0 {
			t.Errorf("questions of the successor: got %d, want 0", got)
		}
		if got := others[0].holder.pending(); got != 0 {
			t.Errorf("reports that wait: got %d, want 0", got)
		}
	})
}

// Guards against reports that are left behind when an instance stops with
// streams that outlive the drain timeout.
func TestCloseSendsWaitingReports(t *testing.T) {
	inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
		_, others := c.dispatcher()
		p := others[0].acquire()
		others[0].holder.Started(p)
		start := time.Now()
		others[0].holder.Close(t.Context())
		if got := time.Since(start); got > progressDelay/2 || c.peers.Calls(goosedispatch.KindReport) != 1 {
			t.Errorf("close: got %d report calls after %v, want 1 at once", c.peers.Calls(goosedispatch.KindReport), got)
		}
	})
}
