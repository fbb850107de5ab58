package gooseplacement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// Guards against new work on a replica that has said that it leaves, while the registry still
// lists it as ready, and against a mark that outlives its process.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	t.Parallel()
	demands := map[string]Demand{"short": shortDemand(), "long": longDemand(), "huge": hugeDemand(), "plain": {Service: plainService()}}
	tests := map[string]struct {
		// relist changes the entry of the leaving replica in the registry.
		relist func(pl *Placer, r *goosedirectory.Replica)
		want   bool
	}{
		"listed as ready": {relist: func(*Placer, *goosedirectory.Replica) {}},
		"unlisted and listed again": {relist: func(pl *Placer, _ *goosedirectory.Replica) {
			pl.RemoveUnlisted(func(goose.ReplicaID) bool { return false }, start)
		}},
		"listed at another address":      {relist: func(_ *Placer, r *goosedirectory.Replica) { r.Address = "10.9.9.9:80" }},
		"a later process of the same id": {relist: func(_ *Placer, r *goosedirectory.Replica) { r.StartedUnixMS = 2 }, want: true},
		"another replica at its address": {relist: func(_ *Placer, r *goosedirectory.Replica) { r.ID = "i-new" }, want: true},
	}
	for name, tc := range tests {
		for kind, d := range demands {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				all := replicas(d.Service.Name, 6)
				pl := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: rand.IntN})
				if !pl.RecordLeaving(all[0].Replica, start) || pl.RecordLeaving(all[0].Replica, start) {
					t.Error("got a first response that is known, or a second one that is not")
				}
				tc.relist(pl, &all[0])
				got := false
				for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
					c, o := pl.Choose(d, all, now)
					if o != ObstacleNone {
						continue
					}
					got = got || c.Replica.ID == all[0].ID
					for _, h := range c.Helpers {
						got = got || h.Replica.ID == all[0].ID
					}
					pl.RecordEnd(c.AttemptID, false, false, now)
				}
				if tc.want {
					// The others may be better, so the replica is the only one here.
					_, o := pl.Choose(d, all[:1], start)
					got = o != ObstacleLeaving
				}
				if got != tc.want {
					t.Errorf("got work on the replica: %t, want %t", got, tc.want)
				}
			})
		}
	}
}

// Guards against requests that wait although every replica of their service leaves.
func TestAllReplicasLeave(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("desk", 3)
	for _, r := range all {
		pl.RecordLeaving(r.Replica, start)
	}
	if _, got := pl.Choose(shortDemand(), all, start); got != ObstacleLeaving {
		t.Errorf("got obstacle %q, want %q", got, ObstacleLeaving)
	}
	pl.RemoveUnlisted(func(goose.ReplicaID) bool { return true }, start.Add(leavingMemory))
	if _, got := pl.Choose(shortDemand(), all, start.Add(leavingMemory)); got != ObstacleNone {
		t.Errorf("got obstacle %q long after the last response, want none", got)
	}
}

// Guards against requests that reach a replica in a pause that it has asked for: because it is
// the only one that is not suspended, a later response asked for less, or it was unlisted.
func TestPausedReplicaGetsNothing(t *testing.T) {
	t.Parallel()
	const pause = 4 * time.Second
	tests := map[string]struct {
		prepare func(pl *Placer, all []goosedirectory.Replica)
		until   time.Duration
	}{
		"once":                {until: pause, prepare: func(*Placer, []goosedirectory.Replica) {}},
		"a shorter one later": {until: pause, prepare: func(pl *Placer, all []goosedirectory.Replica) { pl.RecordPause(all[0].Replica, time.Second, start) }},
		"a longer one later":  {until: 2 * pause, prepare: func(pl *Placer, all []goosedirectory.Replica) { pl.RecordPause(all[0].Replica, 2*pause, start) }},
		"unlisted meanwhile": {until: pause, prepare: func(pl *Placer, _ []goosedirectory.Replica) {
			pl.RemoveUnlisted(func(goose.ReplicaID) bool { return false }, start)
		}},
		"a later process meanwhile": {until: pause, prepare: func(_ *Placer, all []goosedirectory.Replica) { all[0].StartedUnixMS = 2 }},
		"all others suspended": {until: pause, prepare: func(pl *Placer, all []goosedirectory.Replica) {
			for range 8 {
				for range len(all) {
					if c, o := pl.Choose(Demand{Service: plainService()}, all, start); o == ObstacleNone {
						pl.RecordEnd(c.AttemptID, true, true, start)
					}
				}
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("book", 3)
			pl.RecordPause(all[0].Replica, pause, start)
			tc.prepare(pl, all)
			first := time.Duration(-1)
			for now := start; now.Before(start.Add(3 * pause)); now = now.Add(20 * time.Millisecond) {
				c, o := pl.Choose(Demand{Service: plainService()}, all, now)
				if o != ObstacleNone {
					continue
				}
				if c.Replica.ID == all[0].ID && first < 0 {
					first = now.Sub(start)
				}
				pl.RecordEnd(c.AttemptID, false, false, now)
			}
			if first < tc.until || first > tc.until+time.Second {
				t.Errorf("got the first request after %s, want it soon after %s", first, tc.until)
			}
		})
	}
}

// Guards against a burst at the end of a pause, which makes the replica ask for the next one,
// and against a replica that gets little for long after its pause.
func TestReturnAfterPause(t *testing.T) {
	t.Parallel()
	const pause, step = 4 * time.Second, 10 * time.Millisecond
	pl, all := newPlacer(), replicas("book", 1)
	pl.RecordPause(all[0].Replica, pause, start)
	begun := map[time.Duration]int{}
	end := start.Add(pause)
	for now := start; now.Before(end.Add(4 * time.Second)); now = now.Add(step) {
		// Ten requests at a time are offered.
		for range 10 {
			if c, o := pl.Choose(Demand{Service: plainService()}, all, now); o == ObstacleNone {
				begun[now.Sub(end).Truncate(500*time.Millisecond)]++
				pl.RecordEnd(c.AttemptID, false, false, now)
			}
		}
	}
	if got := begun[0]; got < 1 || got > 4 {
		t.Errorf("got %d requests in the first half second after the pause, want a few", got)
	}
	if got, offered := begun[3500*time.Millisecond], 500; got != offered {
		t.Errorf("got %d requests in half a second long after the pause, want all %d", got, offered)
	}
	for at, n := range begun {
		if at < 0 {
			t.Errorf("got %d requests %s before the end of the pause", n, -at)
		}
	}
}

// Guards against refusals that tell callers to come back before any replica wants requests, and
// against instances that all return to a replica at the moment its pause ends.
func TestEndOfPauses(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("book", 3)
	for n, r := range all {
		pl.RecordPause(r.Replica, time.Duration(n+2)*time.Second, start)
	}
	if _, got := pl.Choose(Demand{Service: plainService()}, all, start); got != ObstaclePaused {
		t.Errorf("got obstacle %q, want %q", got, ObstaclePaused)
	}
	if got := pl.ResumeAfter(all, start.Add(500*time.Millisecond)); got != 1500*time.Millisecond {
		t.Errorf("got %s until a replica wants requests, want 1.5 s", got)
	}
	if got := pl.PausedCount(start); got != len(all) {
		t.Errorf("got %d paused replicas, want %d", got, len(all))
	}
	ends := map[time.Duration]bool{}
	for range 20 {
		instance := New(Options{DataCentre: "leith", Rand: rand.IntN})
		instance.RecordPause(all[0].Replica, 10*time.Second, start)
		ends[instance.ResumeAfter(all[:1], start)] = true
	}
	if len(ends) < 10 {
		t.Errorf("got %d different ends of a pause at 20 instances, want them spread", len(ends))
	}
}

// Guards against reports that grow with the number of replicas that ever left, that name no
// process, or that carry the marks of data centres in a circle.
func TestReportedLeaving(t *testing.T) {
	t.Parallel()
	pl := newPlacer()
	at := func(i int) Process { return Process{Replica: "i-x", StartedUnixMS: int64(i)} }
	for i := range 2 * MaxReportedLeaving {
		pl.RecordLeaving(goose.Replica{ID: "i-x", StartedUnixMS: int64(i)}, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(time.Minute)
	pl.RecordReportedLeaving([]Process{at(1000)}, LeavingFromPeer, now)
	pl.RecordReportedLeaving([]Process{at(2000)}, LeavingFromDataCentre, now)
	own, sum := pl.Report(now), pl.DataCentreReport(now)
	for name, r := range map[string]Report{"report": own, "sum": sum} {
		if err := r.Validate(); err != nil || len(r.Leaving) != MaxReportedLeaving {
			t.Errorf("got %d processes in a %s, error %v, want %d", len(r.Leaving), name, err, MaxReportedLeaving)
		}
	}
	if own.Leaving[0] != at(2*MaxReportedLeaving-1) {
		t.Errorf("got %v first in a report, want the newest of its own", own.Leaving[0])
	}
	if sum.Leaving[0] != at(1000) || slices.Contains(sum.Leaving, at(2000)) {
		t.Errorf("got %v in a sum, want the one of the peer first and none of another sum", sum.Leaving)
	}
	for i := range 2 * maxLeaving {
		pl.RecordReportedLeaving([]Process{at(10_000 + i)}, LeavingFromPeer, now)
	}
	if got := pl.LeavingCount(); got > maxLeaving {
		t.Errorf("got %d processes remembered, want at most %d", got, maxLeaving)
	}
}
