package goosedispatch

import (
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
)

// Guards against evidence of a cold start that leaves a replica at its full limits: without
// the handling of a row's evidence four requests are granted instead of one.
func TestReplicaBecomesCold(t *testing.T) {
	tests := map[string]func(h *harness, g goose.Permit){
		"process changed in a poll": func(h *harness, _ goose.Permit) {
			h.protocol.set("a:1", func(e *fakeEngine) { e.process = "p2" })
		},
		"cold poll":       func(h *harness, _ goose.Permit) { h.protocol.set("a:1", func(e *fakeEngine) { e.cold = true }) },
		"connection lost": func(h *harness, _ goose.Permit) { h.outage("a:1") },
		"attempt crashed": func(h *harness, g goose.Permit) {
			h.release(g, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeCrashed })
		},
		"cold in a report": func(h *harness, g goose.Permit) {
			h.release(g, func(x *goose.PermitReport) { x.Cold = true })
		},
		"process changed in a report": func(h *harness, g goose.Permit) {
			h.release(g, func(x *goose.PermitReport) { x.Process = "p2" })
		},
		"address changed": func(h *harness, _ goose.Permit) {
			h.source.change(func(c *fakeCatalogue) { c.servers[0].Address = "b:1" })
		},
		"removed and added again": func(h *harness, _ goose.Permit) {
			old := h.source.c.servers
			h.source.change(func(c *fakeCatalogue) { c.servers = nil })
			time.Sleep(6 * time.Second)
			h.source.change(func(c *fakeCatalogue) { c.servers = old })
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a")
				h.run()
				h.warm()
				g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
				change(h, g)
				h.release(g, nil)
				time.Sleep(2 * time.Second)
				if got := h.grants(); got != 1 {
					t.Errorf("grants afterwards: got %d, want 1", got)
				}
			})
		})
	}
}

func (h *harness) outage(address string) {
	h.protocol.set(address, func(e *fakeEngine) { e.unreachable = true })
	time.Sleep(time.Second)
	h.protocol.set(address, func(e *fakeEngine) { e.unreachable = false })
}

// Guards against retries that are all placed on a dead replica before its next regular load
// poll: an attempt that did not reach the replica requests a poll at once.
func TestUnsentAttemptRequestsPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		time.Sleep(50 * time.Millisecond)
		h.protocol.set("a:1", func(e *fakeEngine) { e.unreachable = true })
		g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
		h.release(g, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeNotSent })
		time.Sleep(200 * time.Millisecond)
		if got := h.grants(); got != 0 {
			t.Errorf("grants on a dead replica: got %d, want 0", got)
		}
	})
}

// Guards against a ramp of a replica that is cold according to its load reports but not to
// its responses.
func TestNoRampWhileReportedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, _ *Dependencies) {
			h.protocol.set("a:1", func(e *fakeEngine) { e.cold = true })
		}, "a")
		h.run()
		for i := range 3 {
			h.release(h.acquire(request(fmt.Sprint("s", i), 100), goose.PermitGranted).Permit, nil)
		}
		if got := h.grants(); got != 1 {
			t.Errorf("grants after three successes: got %d, want 1", got)
		}
	})
}

// Guards against a new dispatcher that grants on cold replicas while an instance may still
// use a permit of the former dispatcher, or while a stream of such a permit still runs.
func TestTakeover(t *testing.T) {
	heldPermit := func() goose.HeldPermit {
		q := request("old", 100)
		return goose.HeldPermit{Request: q, Started: true, Permit: goose.Permit{
			ID: "old", Request: q.Request, Pool: testPool, Replicas: []goose.ReplicaGrant{{Replica: "a", Address: "a:1", Tokens: 100}},
		}}
	}
	tests := map[string]struct {
		setup func(*harness)
		// after is when the grants are counted.
		after time.Duration
		want  int
	}{
		"all replied":                          {func(*harness) {}, time.Second, 1},
		"one instance silent":                  {func(h *harness) { h.holders.complete = false }, 3900 * time.Millisecond, 0},
		"one instance silent, quarantine over": {func(h *harness) { h.holders.complete = false }, 5 * time.Second, 1},
		"permit collected":                     {func(h *harness) { h.holders.collected = []goose.HolderState{{Held: []goose.HeldPermit{heldPermit()}}} }, time.Second, 0},
		"streams not readable":                 {func(h *harness) { h.protocol.set("a:1", func(e *fakeEngine) { e.noStreamCalls = true }) }, 9 * time.Second, 0},
		"stream without a permit":              {func(h *harness) { h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"] = true }) }, 5 * time.Second, 0},
		"ownerless stream cancelled":           {func(h *harness) { h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"] = true }) }, 9 * time.Second, 1},
		"complete stream of a silent instance": {func(h *harness) {
			h.holders.complete = false
			h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"], e.complete = true, map[goose.AttemptID]bool{"x": true} })
		}, 7 * time.Second, 1},
		"many small complete streams of a silent instance": {func(h *harness) {
			h.holders.complete = false
			h.protocol.set("a:1", func(e *fakeEngine) {
				e.usedKV, e.complete = 2000, map[goose.AttemptID]bool{}
				for i := range 12 {
					id := goose.AttemptID(fmt.Sprint("x", i))
					e.streams[id], e.complete[id] = true, true
				}
			})
		}, 7 * time.Second, 1},
		"running stream of a silent instance": {func(h *harness) {
			h.holders.complete = false
			h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"] = true })
		}, 7 * time.Second, 0},
		"stream of a silent instance completes": {func(h *harness) {
			h.holders.complete = false
			h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"] = true })
			time.AfterFunc(7*time.Second, func() {
				h.protocol.set("a:1", func(e *fakeEngine) { e.complete = map[goose.AttemptID]bool{"x": true} })
			})
		}, 13 * time.Second, 1},
		"warm process": {func(h *harness) {
			h.holders.collected = []goose.HolderState{{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p1"}}}}
		}, time.Second, 4},
		"former process was warm": {func(h *harness) {
			h.holders.collected = []goose.HolderState{{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p0"}}}}
		}, time.Second, 1},
		"warm long ago": {func(h *harness) {
			h.holders.collected = []goose.HolderState{{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p1", Age: time.Minute}}}}
		}, time.Second, 1},
		"plain, one instance silent": {func(h *harness) {
			h.source.c.service.Kind, h.holders.complete = goose.KindPlain, false
		}, 30 * time.Second, 0},
		"plain, deadline passed": {func(h *harness) {
			h.source.c.service.Kind, h.holders.complete = goose.KindPlain, false
		}, 32 * time.Second, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, _ *Dependencies) { tt.setup(h) }, "a")
				h.run()
				time.Sleep(tt.after - time.Second)
				if got := h.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against requests that wait in a pool until their deadline, although another data
// centre could serve them, because an instance does not reply to the pool's new dispatcher:
// the instance may be dead and still listed.
func TestTakeoverBeyondDeadline(t *testing.T) {
	tests := map[string]struct {
		complete bool
		// arrives and read are when the request arrives and when its reply is read.
		arrives, read time.Duration
		timeLeft      time.Duration
		want          goose.PermitStatus
	}{
		"may still reply":                  {false, time.Second, 2 * time.Second, 30 * time.Second, goose.PermitWaiting},
		"may no longer reply":              {false, time.Second, 5 * time.Second, 30 * time.Second, goose.PermitRefused},
		"quarantine outlasts the deadline": {false, 5 * time.Second, 5 * time.Second, 20 * time.Second, goose.PermitRefused},
		"half of the time is left":         {false, 5 * time.Second, 5 * time.Second, time.Minute, goose.PermitWaiting},
		"quarantine nearly over":           {false, 25 * time.Second, 25 * time.Second, 20 * time.Second, goose.PermitWaiting},
		"all replied":                      {true, 5 * time.Second, 5 * time.Second, 20 * time.Second, goose.PermitGranted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, _ *Dependencies) {
					h.source.c.service.Kind, h.holders.complete = goose.KindPlain, tt.complete
				}, "a")
				h.run()
				time.Sleep(tt.arrives - time.Second)
				q := request("q", 100)
				q.TimeLeft = tt.timeLeft
				ch, got, done := h.pool.beginPoll(time.Now(), q)
				time.Sleep(tt.read - tt.arrives)
				if !done {
					got = h.pool.endPoll(q.Request, ch)
				}
				if got.Status != tt.want {
					t.Errorf("got %s %v, want %s", got.Status, got.Refusal, tt.want)
				}
			})
		})
	}
}

// Guards against capacity that is freed while the request may still run, against streams
// that are cancelled although their holder is only partitioned, and against capacity that
// is never freed after the holder has died.
func TestHolderLost(t *testing.T) {
	silent := func(h *harness) { h.holders.set(func(f *fakeHolders) { f.silentSince = time.Now() }) }
	unlisted := func(h *harness) { silent(h); h.holders.set(func(f *fakeHolders) { f.unlisted = true }) }
	plain := func(c *fakeCatalogue) { c.service.Kind = goose.KindPlain }
	tests := map[string]struct {
		started bool
		setup   func(*harness)
		after   time.Duration
		want    int
	}{
		"live":                    {true, func(*harness) {}, 50 * time.Second, 0},
		"silent for a short time": {true, silent, 5 * time.Second, 0},
		"restarted":               {true, func(h *harness) { h.holders.set(func(f *fakeHolders) { f.restarts, f.restartSeen = 1, true }) }, 2 * time.Second, 1},
		"polls without heartbeats": {true, func(h *harness) {
			unlisted(h)
			time.AfterFunc(4*time.Second, func() { h.tryAcquire(request("x", 100)) })
		}, 8 * time.Second, 0},
		"silent, not listed":        {true, unlisted, 8 * time.Second, 1},
		"silent, listed":            {true, silent, 28 * time.Second, 0},
		"silent, past the deadline": {true, silent, 31 * time.Second, 1},
		"silent, stream ended":      {true, func(h *harness) { silent(h); h.protocol.set("a:1", func(e *fakeEngine) { clear(e.streams) }) }, 8 * time.Second, 1},
		"silent, stream complete": {true, func(h *harness) {
			silent(h)
			h.protocol.set("a:1", func(e *fakeEngine) { e.complete = maps.Clone(e.streams) })
		}, 8 * time.Second, 1},
		"silent, confirms":                  {true, func(h *harness) { silent(h); h.holders.set(func(f *fakeHolders) { f.confirms = true }) }, 40 * time.Second, 0},
		"silent, engine unreachable":        {true, func(h *harness) { unlisted(h); h.protocol.set("a:1", func(e *fakeEngine) { e.noStreamCalls = true }) }, 20 * time.Second, 0},
		"plain, silent":                     {true, func(h *harness) { silent(h); h.source.change(plain) }, 25 * time.Second, 0},
		"plain, call may have started late": {true, func(h *harness) { silent(h); h.source.change(plain) }, 32 * time.Second, 0},
		"plain, past the deadline":          {true, func(h *harness) { silent(h); h.source.change(plain) }, 35 * time.Second, 1},
		"reply may be lost":                 {false, func(*harness) {}, 3 * time.Second, 0},
		"reply was lost":                    {false, func(*harness) {}, 6 * time.Second, 1},
		"plain, reply was lost":             {false, func(h *harness) { h.source.change(plain) }, 6 * time.Second, 1},
		"plain, holder restarted": {false, func(h *harness) {
			h.source.change(plain)
			h.holders.set(func(f *fakeHolders) { f.restarts = 1 })
		}, 6 * time.Second, 0},
		"holder confirms":  {false, func(h *harness) { h.holders.set(func(f *fakeHolders) { f.confirms = true }) }, 20 * time.Second, 0},
		"release was lost": {true, func(*harness) {}, 62 * time.Second, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil, "a")
				h.run()
				g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
				h.protocol.set("a:1", func(e *fakeEngine) { e.streams[goose.AttemptID(g.ID)] = true })
				if tt.started {
					h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhaseStarted})
				}
				tt.setup(h)
				time.Sleep(tt.after)
				if got := h.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against a dispatcher that cancels streams that another part of the data centre
// owns, and against one that never cancels streams without an owner although every instance
// has reported its permits or the deadline of the streams has passed.
func TestOrphanStreams(t *testing.T) {
	leased, partitioned := Authority{Mode: goose.ModeLeased}, Authority{Mode: goose.ModeDegraded}
	allReachable := Authority{Mode: goose.ModeDegraded, AllReachable: true}
	repliesLate := func(h *harness) {
		time.AfterFunc(10*time.Second, func() { h.holders.set(func(f *fakeHolders) { f.complete = true }) })
	}
	tests := map[string]struct {
		authority Authority
		// complete is set if every instance replies.
		complete bool
		change   func(*harness)
		after    time.Duration
		want     int
	}{
		"degraded, partitioned":                      {partitioned, true, nil, 20 * time.Second, 1},
		"degraded, partitioned, past deadline":       {partitioned, true, nil, 40 * time.Second, 0},
		"degraded, all reachable":                    {allReachable, true, nil, 20 * time.Second, 0},
		"degraded, all reachable, one not yet asked": {allReachable, false, nil, 20 * time.Second, 1},
		"leased":                            {leased, true, nil, 20 * time.Second, 0},
		"leased, one silent":                {leased, false, nil, 28 * time.Second, 1},
		"leased, one silent, past deadline": {leased, false, nil, 40 * time.Second, 0},
		"leased, one replies late":          {leased, false, repliesLate, 20 * time.Second, 0},
		"leased, one holds the permit": {leased, false, func(h *harness) {
			repliesLate(h)
			q := request("x", 100)
			held := goose.HeldPermit{Request: q, Started: true, Permit: goose.Permit{
				ID: "x", Request: q.Request, Pool: testPool, Replicas: []goose.ReplicaGrant{{Replica: "a", Address: "a:1", Tokens: 100}},
			}}
			h.holders.set(func(f *fakeHolders) { f.collected = []goose.HolderState{{Held: []goose.HeldPermit{held}}} })
		}, 20 * time.Second, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, d *Dependencies) {
					d.Authority = func(time.Time) Authority { return tt.authority }
					h.holders.complete = tt.complete
				}, "a")
				h.run()
				if tt.change != nil {
					tt.change(h)
				}
				h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"] = true })
				time.Sleep(tt.after)
				h.protocol.set("a:1", func(e *fakeEngine) {
					if got := len(e.streams); got != tt.want {
						t.Errorf("streams: got %d, want %d", got, tt.want)
					}
				})
			})
		})
	}
}

// Guards against capacity that is freed by a report of another instance, or twice by a
// repeated report.
func TestReportsAreIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		g := h.acquire(request("r1", 100), goose.PermitGranted).Permit
		h.release(g, func(x *goose.PermitReport) { x.Instance = "i2" })
		if got := h.grants(); got != 0 {
			t.Errorf("after a report of another instance: got %d grants, want 0", got)
		}
		h.release(g, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeFailed })
		h.acquire(request("r2", 100), goose.PermitGranted)
		h.release(g, nil)
		if got := h.grants(); got != 0 {
			t.Errorf("after a repeated release: got %d grants, want 0", got)
		}
	})
}

// Guards against suspects that run alongside other requests, crash a third replica, or run as
// equal copies on several replicas, and against a crash that counts twice because two
// holders report it.
func TestSuspects(t *testing.T) {
	for _, process := range []string{"p1", ""} {
		t.Run("process "+process, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSuspects(t, process) })
		})
	}
}

func checkSuspects(t *testing.T, process string) {
	suspects := goosetest.NewSuspectTracker()
	h := newHarness(t, func(h *harness, d *Dependencies) {
		d.Suspects = suspects
		for _, a := range []string{"a:1", "b:1", "c:1"} {
			h.protocol.set(a, func(e *fakeEngine) { e.process = process })
		}
	}, "a", "b", "c")
	h.run()
	h.warm()
	bad, twin := request("bad", 100), request("bad", 100)
	twin.Request = "twin"
	g := h.acquire(bad, goose.PermitGranted).Permit
	twinPermit := h.acquire(twin, goose.PermitGranted).Permit
	if g.Replicas[0].Replica != twinPermit.Replicas[0].Replica {
		t.Fatalf("equal requests: got replicas %v and %v, want one", g.Replicas, twinPermit.Replicas)
	}
	crash := func(x *goose.PermitReport) { x.Outcome, x.Process = goose.OutcomeCrashed, "" }
	h.release(g, crash)
	h.release(twinPermit, crash)
	// The holders report the crash with the same process id; another id would be another
	// crash.
	if got := suspects.Processes; len(got) == 0 || got[0] != process {
		t.Errorf("processes of the crash: got %q, want %q", got, process)
	}
	bad.Request, twin.Request = "bad2", "twin2"
	// The engine of this test keeps its process id, so that a second crash of the same
	// replica would count as the first one.
	bad.Avoid = []goose.ReplicaID{twinPermit.Replicas[0].Replica}
	g = h.acquire(bad, goose.PermitGranted).Permit
	alone := g.Replicas[0].Replica
	if reply := h.tryAcquire(twin); reply.Status != goose.PermitWaiting {
		t.Fatalf("copy of a running suspect: got %s, want waiting", reply.Status)
	}
	for i := range 4 {
		other := h.acquire(request(fmt.Sprint("o", i), 100), goose.PermitGranted).Permit
		if other.Replicas[0].Replica == alone {
			t.Fatal("a request was placed alongside a suspect")
		}
	}
	h.release(g, crash)
	if reply := h.tryAcquire(twin); reply.Refusal.Code != goose.CodeCrashesBackend || reply.Refusal.Run != goose.RunStateNotRun {
		t.Errorf("after the second crash: got %v %s, want crashes-backend not-run", reply.Refusal, reply.Refusal.Run)
	}
}

// fakeTrials grades every request as on trial while onTrial is set.
type fakeTrials struct {
	*goosetest.SuspectTracker
	onTrial atomic.Bool
	// ended counts the trials that ended without a result.
	ended atomic.Int64
}

func (s *fakeTrials) Grade(goose.Fingerprint) goose.Suspicion {
	if s.onTrial.Load() {
		return goose.SuspicionOnTrial
	}
	return goose.SuspicionSuspect
}

func (s *fakeTrials) EndTrial(goose.Fingerprint) {
	s.onTrial.Store(false)
	s.ended.Add(1)
}

// Guards against a suspect that runs while another instance, which may have died, tries it
// elsewhere, against an equal request that is refused although the trial runs in this pool,
// and against a trial that never ends.
func TestSuspectOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTrials{SuspectTracker: goosetest.NewSuspectTracker()}
		h := newHarness(t, func(_ *harness, d *Dependencies) { d.Suspects = s }, "a", "b")
		h.run()
		h.warm()
		twin := request("twin", 100)
		twin.Fingerprint = request("bad", 100).Fingerprint
		g := h.acquire(request("bad", 100), goose.PermitGranted).Permit
		s.onTrial.Store(true)
		if reply := h.tryAcquire(twin); reply.Status != goose.PermitWaiting {
			t.Errorf("alongside a trial of this pool: got %s %v, want waiting", reply.Status, reply.Refusal)
		}
		h.release(g, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeCancelled })
		if s.onTrial.Load() || s.ended.Load() != 1 {
			t.Errorf("after a cancelled trial: got %d trials ended, want 1", s.ended.Load())
		}
		s.onTrial.Store(true)
		reply := h.tryAcquire(twin)
		if reply.Refusal.Code != goose.CodeOverloaded || reply.Refusal.Run != goose.RunStateNotRun || reply.Refusal.Reason != "suspect-on-trial" || reply.Refusal.RetryAfter != retryAfterTrial {
			t.Errorf("alongside a trial elsewhere: got %s %+v, want it refused as not run", reply.Status, reply.Refusal)
		}
		s.onTrial.Store(false)
		reply = h.acquire(twin, goose.PermitGranted)
		h.release(reply.Permit, func(x *goose.PermitReport) { x.Outcome = goose.OutcomeCrashed })
		if s.ended.Load() != 1 {
			t.Errorf("after a crash: got %d trials ended without a verdict, want 1", s.ended.Load())
		}
	})
}

// Guards against a request that keeps waiting although it is on trial elsewhere.
func TestWaitingSuspectOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTrials{SuspectTracker: goosetest.NewSuspectTracker()}
		h := newHarness(t, func(h *harness, d *Dependencies) {
			d.Suspects = s
			h.protocol.set("a:1", func(e *fakeEngine) { e.unreachable = true })
		}, "a")
		h.run()
		ch, reply, done := h.pool.beginPoll(time.Now(), request("bad", 100))
		if done {
			t.Fatalf("got %s %v, want it waiting", reply.Status, reply.Refusal)
		}
		s.onTrial.Store(true)
		time.Sleep(2 * tickInterval)
		select {
		case reply = <-ch:
			if reply.Refusal.Reason != "suspect-on-trial" {
				t.Errorf("got %s %v, want it refused for the trial", reply.Status, reply.Refusal)
			}
		default:
			t.Error("got no reply, want a refusal at once")
		}
	})
}

// Guards against the refusal of a request that waited for the trial of an equal request
// after the trial has ended without a crash.
func TestWaitingRequestAfterTrialIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTrials{SuspectTracker: goosetest.NewSuspectTracker()}
		h := newHarness(t, func(_ *harness, d *Dependencies) { d.Suspects = s }, "a")
		h.run()
		h.warm()
		g := h.acquire(request("bad", 100), goose.PermitGranted).Permit
		s.onTrial.Store(true)
		twin := request("twin", 100)
		twin.Fingerprint, twin.Suspicion = request("bad", 100).Fingerprint, goose.SuspicionOnTrial
		ch, reply, done := h.pool.beginPoll(time.Now(), twin)
		if done {
			t.Fatalf("got %s %v, want it waiting", reply.Status, reply.Refusal)
		}
		s.onTrial.Store(false)
		h.release(g, nil)
		time.Sleep(2 * tickInterval)
		if reply := h.pool.endPoll(twin.Request, ch); reply.Status != goose.PermitGranted {
			t.Errorf("got %s %v, want it granted", reply.Status, reply.Refusal)
		}
	})
}

// Guards against a long prefill that is counted permanently because its stream ended unread
// while its holder was silent.
func TestCompleteStreamEndsItsPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil, "a")
		h.run()
		h.warm()
		q := request("r1", 50_000)
		q.Class = goose.ClassLong
		g := h.acquire(q, goose.PermitGranted).Permit
		h.pool.Report(goose.PermitReport{Permit: g.ID, Instance: "i1", Phase: goose.PhaseStarted})
		h.protocol.set("a:1", func(e *fakeEngine) {
			e.streams[goose.AttemptID(g.ID)] = true
			e.complete = maps.Clone(e.streams)
		})
		h.holders.set(func(f *fakeHolders) { f.silentSince = time.Now() })
		time.Sleep(8 * time.Second)
		h.holders.set(func(f *fakeHolders) { f.silentSince = time.Time{} })
		h.release(g, nil)
		h.pool.mu.Lock()
		defer h.pool.mu.Unlock()
		if got := h.pool.longPrefills; got != 0 {
			t.Errorf("long prefills after the release: got %d, want 0", got)
		}
	})
}

// Guards against requests that are all placed on the busy replicas, because the unread
// responses for a dead instance count as load of an idle replica.
func TestCompleteStreamsAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, d *Dependencies) {
			d.Policy = gooseroute.NewAffinity(goose.SystemClock{})
			h.holders.complete = false
			h.protocol.set("a:1", func(e *fakeEngine) { e.streams["x"], e.complete = true, map[goose.AttemptID]bool{"x": true} })
		}, "a", "b")
		h.run()
		time.Sleep(7 * time.Second)
		h.warm()
		placed := map[goose.ReplicaID]int{}
		for i := range 4 {
			placed[h.acquire(request(fmt.Sprint("q", i), 100), goose.PermitGranted).Permit.Replicas[0].Replica]++
		}
		if got, want := placed["a"], 2; got != want {
			t.Errorf("requests on the replica with an unread response: got %d of 4, want %d", got, want)
		}
	})
}
