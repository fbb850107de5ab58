package goosepermit

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

// Guards against a separate call for every report of a request, which overloads a
// dispatcher, against a release that is delayed as long as the reports that free no
// capacity, and against delayed reports of the end of a long prefill, which free capacity.
func TestReportsShareCalls(t *testing.T) {
	tests := map[string]struct {
		class goose.LengthClass
		runs  time.Duration
		want  int
	}{
		"ends before the report of its start is due": {goose.ClassShort, progressDelay / 2, 1},
		"ends after the report of its start":         {goose.ClassShort, 2 * progressDelay, 2},
		"long prefill":                               {goose.ClassLong, progressDelay / 2, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
				dispatcher, others := c.dispatcher()
				r := request()
				r.Class = tt.class
				p, _ := others[0].holder.Acquire(t.Context(), r)
				others[0].holder.ReportStarted(*p)
				others[0].holder.ReportPrefilled(*p)
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

// Guards against a dispatcher that queries permits whose start is still to be reported,
// against one that never learns of the start because the call was lost, and against a long
// stream whose permit is freed because of missing reports.
func TestStartIsReportedInTime(t *testing.T) {
	for name, lost := range map[string]bool{"delivered": false, "lost once": true} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
				_, others := c.dispatcher()
				p := others[0].acquire()
				others[0].holder.ReportStarted(p)
				c.withLock(func() { c.callsFail = lost })
				time.Sleep(progressDelay + progressDelay/4)
				c.withLock(func() { c.callsFail = false })
				time.Sleep(30 * time.Second)
				if got := c.peers.Calls(goosedispatch.KindHeld); got != 0 {
					t.Errorf("queries of the permit: got %d, want 0", got)
				}
				if got := c.peers.Calls(goosedispatch.KindReport); got != 1 {
					t.Errorf("report calls: got %d, want 1", got)
				}
				if _, refusal := others[0].holder.Acquire(t.Context(), requestWithShortDeadline()); refusal == nil {
					t.Error("second permit of a cold replica while the first is held: got one, want none")
				}
			})
		})
	}
}

func requestWithShortDeadline() goose.PermitRequest {
	r := request()
	r.TimeLeft = time.Second
	return r
}

// Guards against reports that are deferred when the dispatcher dies and never reach its
// successor, which would query the permit repeatedly.
func TestDeferredReportReachesSuccessor(t *testing.T) {
	inCluster(t, 3, 1, func(t *testing.T, c *cluster) {
		dispatcher, others := c.dispatcher()
		p := others[0].acquire()
		others[0].holder.ReportStarted(p)
		c.kill(dispatcher.id)
		time.Sleep(20 * time.Second)
		before := c.peers.Calls(goosedispatch.KindHeld)
		time.Sleep(20 * time.Second)
		if got := c.peers.Calls(goosedispatch.KindHeld) - before; got != 0 {
			t.Errorf("queries by the successor: got %d, want 0", got)
		}
		if got := others[0].holder.unacknowledged(); got != 0 {
			t.Errorf("pending reports: got %d, want 0", got)
		}
	})
}

// Guards against reports that are never sent when an instance stops while streams run longer
// than the drain timeout.
func TestCloseSendsDeferredReports(t *testing.T) {
	inCluster(t, 2, 1, func(t *testing.T, c *cluster) {
		_, others := c.dispatcher()
		p := others[0].acquire()
		others[0].holder.ReportStarted(p)
		start := time.Now()
		others[0].holder.Close(t.Context())
		if got := time.Since(start); got > progressDelay/2 || c.peers.Calls(goosedispatch.KindReport) != 1 {
			t.Errorf("close: got %d report calls after %v, want 1 at once", c.peers.Calls(goosedispatch.KindReport), got)
		}
	})
}
