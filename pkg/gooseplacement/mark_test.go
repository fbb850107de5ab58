package gooseplacement

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against requests that go to a replica which has just declined others because it is
// full, slow or without memory, against marks that take a replica out for good, and against
// those that outlive their process. The load pattern is bursts above the slots of some replicas.
func TestMarkedReplicaIsLast(t *testing.T) {
	t.Parallel()
	demands := map[string]Demand{"plain": {Service: plainService()}, "long": longDemand(), "giant": giantDemand()}
	// lastFor are the demands for which a mark counts.
	lastFor := map[MarkKind][]string{
		MarkFull: {"plain", "long", "giant"}, MarkSlow: {"plain", "long", "giant"}, MarkNoMemory: {"long", "giant"},
	}
	for kind, names := range lastFor {
		for _, name := range names {
			t.Run(string(kind)+", "+name, func(t *testing.T) {
				t.Parallel()
				d, all := demands[name], replicas(demands[name].Service.Name, 23)
				d.Service.ColdRate = 0
				// chosen returns whether the first choice contains the marked replica.
				chosen := func(mark goose.Replica, age time.Duration, others int) bool {
					pl := newPlacer()
					pl.RecordMark(mark, kind, start.Add(-age))
					c, o := pl.Choose(d, append(all[:1:1], all[1:others+1]...), start)
					if o != ObstacleNone {
						t.Fatalf("got obstacle %q", o)
					}
					used := c.Replica.ID == all[0].ID
					for _, h := range c.Helpers {
						used = used || h.Replica.ID == all[0].ID
					}
					return used
				}
				unmarked := chosen(all[1].Replica, time.Hour, len(all)-1)
				if chosen(all[0].Replica, 0, len(all)-1) {
					t.Error("got the marked replica while others are free")
				}
				later := all[0].Replica
				later.StartedUnixMS++
				if got := chosen(later, 0, len(all)-1); got != unmarked {
					t.Errorf("got the replica of another process: %t, want %t", got, unmarked)
				}
				if got := chosen(all[0].Replica, 2*reportedMarkTTL(kind), len(all)-1); got != unmarked {
					t.Errorf("got the replica after its mark has expired: %t, want %t", got, unmarked)
				}
				if name != "giant" && !chosen(all[0].Replica, 0, 0) {
					t.Error("got no request on the only replica because of its mark")
				}
			})
		}
	}
}

// Guards against short prompts that all avoid a replica which has declined one request: all
// instances get its mark at the same time, so that the others are overrun and this one is idle.
func TestMarksLeaveShortPrompts(t *testing.T) {
	t.Parallel()
	for _, kind := range []MarkKind{MarkFull, MarkSlow, MarkNoMemory} {
		pl, all, d := newPlacer(), replicas("desk", 1), shortDemand()
		pl.RecordMark(all[0].Replica, kind, start)
		if got := pl.markCost(all[0].Replica, Load{}, d, start); got != 0 {
			t.Errorf("%s: got cost %s for a short prompt, want none", kind, got)
		}
	}
}

// Guards against a mark that outlasts the time in which slots or memory become free, which
// leaves a replica idle, and one that ends before the requests under way have ended.
func TestMarkTTL(t *testing.T) {
	t.Parallel()
	e := *modelService().Engine
	one, slow := e, e
	one.Slots, slow.StepTime = 1, 20*time.Millisecond
	tests := map[string]struct {
		kind        MarkKind
		engine      *goose.EngineProfile
		least, most time.Duration
	}{
		"full":                {kind: MarkFull, engine: &e, least: 100 * time.Millisecond, most: 200 * time.Millisecond},
		"full, one slot":      {kind: MarkFull, engine: &one, least: maxMarkTTL, most: maxMarkTTL},
		"full, plain":         {kind: MarkFull, least: plainMarkTTL, most: plainMarkTTL},
		"no memory":           {kind: MarkNoMemory, engine: &e, least: 300 * time.Millisecond, most: 800 * time.Millisecond},
		"no memory, slow one": {kind: MarkNoMemory, engine: &slow, least: maxMarkTTL, most: maxMarkTTL},
		"slow":                {kind: MarkSlow, engine: &e, least: slowMarkTTL, most: slowMarkTTL},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := markTTL(tc.kind, tc.engine, Load{}); got < tc.least || got > tc.most {
				t.Errorf("got %s, want %s to %s", got, tc.least, tc.most)
			}
		})
	}
}

// Guards against a replica that responds slowly to one instance and keeps its share of the
// requests of the others.
func TestSlowReplicaIsMarked(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("desk", 1)
	for range 3 {
		c, o := pl.Choose(shortDemand(), all, start)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q", o)
		}
		pl.RecordFirstEvent(c.AttemptID, start.Add(10*(c.Expected+estimateSlack)))
		pl.RecordEnd(c.AttemptID, false, false, start.Add(10*(c.Expected+estimateSlack)))
	}
	now := start.Add(10 * time.Second)
	if got := pl.MarkCount(MarkSlow, start.Add(time.Second)); got != 1 {
		t.Errorf("got %d slow replicas, want 1", got)
	}
	if got := pl.MarkCount(MarkSlow, now); got != 0 {
		t.Errorf("got %d slow replicas later, want none", got)
	}
}

// Guards against reports that grow without a bound, marks that instances keep alive between
// each other, an older observation that renews a newer one, and memory that forged marks fill.
func TestReportedMarks(t *testing.T) {
	t.Parallel()
	pl, now := newPlacer(), start.Add(time.Second)
	process := func(i int) Process { return Process{Replica: "i-x", StartedUnixMS: int64(i)} }
	for i := 1; i <= 2*MaxReportedMarks; i++ {
		if !pl.RecordMark(goose.Replica{ID: "i-x", StartedUnixMS: int64(i)}, MarkFull, now.Add(-time.Duration(200-i)*time.Millisecond)) {
			t.Errorf("got mark %d as known", i)
		}
	}
	select {
	case <-pl.ReportDue():
	default:
		t.Error("got no report due for new marks")
	}
	reported := func(i int, age time.Duration) []Mark {
		return []Mark{{Process: process(i), Kind: MarkFull, Age: age}}
	}
	pl.RecordReportedMarks(reported(1000, time.Millisecond), LeavingFromPeer, now)
	pl.RecordReportedMarks(reported(1000, 100*time.Millisecond), LeavingFromPeer, now)
	pl.RecordReportedMarks(reported(2000, time.Millisecond), LeavingFromDataCentre, now)
	pl.RecordReportedMarks(reported(3000, maxMarkTTL), LeavingFromPeer, now)
	own, sum := pl.Report(now), pl.DataCentreReport(now)
	for name, r := range map[string]Report{"report": own, "sum": sum} {
		if err := r.Validate(); err != nil || len(r.Marks) != MaxReportedMarks {
			t.Errorf("got %d marks in a %s, error %v, want %d", len(r.Marks), name, err, MaxReportedMarks)
		}
	}
	if got := own.Marks[0].Process; got != process(2*MaxReportedMarks) {
		t.Errorf("got %v first in a report, want the newest of its own", got)
	}
	if got := sum.Marks[0]; got.Process != process(1000) || got.Age != time.Millisecond {
		t.Errorf("got %v first in a sum, want the newest observation of the peer", got)
	}
	for _, r := range []Report{own, sum} {
		for _, m := range r.Marks {
			if m.Process == process(2000) || m.Process == process(3000) {
				t.Errorf("got %v, want no mark of another sum and no old one", m)
			}
		}
	}
	if got := pl.Report(now.Add(maxMarkTTL)).Marks; len(got) != 0 {
		t.Errorf("got marks %v after their time, want none", got)
	}
	for i := range 2 * maxMarks {
		pl.RecordReportedMarks(reported(10_000+i, 0), LeavingFromPeer, now)
	}
	if got := pl.MarkCount(MarkFull, now); got > maxMarks {
		t.Errorf("got %d marks kept, want at most %d", got, maxMarks)
	}
	pl.RecordReportedMarks(reported(1, 0), LeavingFromPeer, now.Add(time.Minute))
	if got := pl.MarkCount(MarkFull, now.Add(time.Minute)); got != 1 {
		t.Errorf("got %d marks after the others have expired, want the new one", got)
	}
}
