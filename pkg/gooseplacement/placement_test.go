package gooseplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

var start = time.Unix(1_000_000, 0)

// modelService returns a model service as installed by users: a replica prefills 177 tokens per
// millisecond and has memory for 315,000 tokens.
func modelService() goose.RoutedService {
	return goose.RoutedService{Name: "desk", ColdRate: 26, Engine: &goose.EngineProfile{
		Slots: 16, MemoryTokens: 315_000, StepsPerPass: 51, StepTime: 850 * time.Microsecond, StepTimePerSequence: 4250 * time.Nanosecond,
		StepTimePerThousandTokens: 2850 * time.Nanosecond, PrefillTokensPerSecond: 177_000, TimePerMillionPairs: 184 * time.Microsecond,
		MeanOutputTokens: 1600,
	}}
}

func plainService() goose.RoutedService { return goose.RoutedService{Name: "book"} }

func replicas(service goose.ServiceName, n int) []goosedirectory.Replica {
	all := make([]goosedirectory.Replica, n)
	for i := range all {
		all[i] = goosedirectory.Replica{Replica: goose.Replica{
			ID: goose.ReplicaID(fmt.Sprintf("i-%02d", i)), Service: service, DataCentre: "leith",
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 16, State: goose.StateActive, StartedUnixMS: 1,
		}}
	}
	return all
}

// newPlacer returns a placer whose random numbers are 0, so that it chooses the first of
// several equal replicas.
func newPlacer() *Placer {
	return New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: func(int) int { return 0 }})
}

// shortDemand, longDemand and hugeDemand return requests with prompts of the three kinds of
// lengths.
func shortDemand() Demand {
	return Demand{Service: modelService(), PromptTokens: 5_000, OutputTokens: 1_600, Objective: 300 * time.Millisecond, LongestPause: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
}

func longDemand() Demand {
	return Demand{Service: modelService(), PromptTokens: 154_000, OutputTokens: 800, Objective: 3 * time.Second, LongestPause: time.Second, TimeLeft: 15 * time.Second}
}

func hugeDemand() Demand {
	d := longDemand()
	d.PromptTokens = 340_000
	return d
}

// Guards against short prompts that wait behind long ones although other replicas are idle.
// The load pattern is long archive prompts mixed with short checks.
func TestShortPromptsAvoidLongPrefills(t *testing.T) {
	t.Parallel()
	pl, all, now := newPlacer(), replicas("desk", 23), start
	prefilling := map[goose.ReplicaID]bool{}
	for range 3 {
		c, o := pl.Choose(longDemand(), all, now)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q for a long prompt", o)
		}
		prefilling[c.Replica.ID] = true
		for _, h := range c.Helpers {
			prefilling[h.Replica.ID] = true
		}
	}
	for i := range 30 {
		now = now.Add(5 * time.Millisecond)
		c, o := pl.Choose(shortDemand(), all, now)
		if o != ObstacleNone || prefilling[c.Replica.ID] {
			t.Fatalf("got short request %d on replica %s, obstacle %q, want a replica that prefills no long prompt", i, c.Replica.ID, o)
		}
	}
}

// Guards against a long prompt whose prefill runs on a single replica, which makes its first
// token and the other streams of the replica late.
func TestLongPromptUsesSeveralReplicas(t *testing.T) {
	t.Parallel()
	pl := newPlacer()
	c, o := pl.Choose(longDemand(), replicas("desk", 23), start)
	if o != ObstacleNone || len(c.Helpers) < 3 {
		t.Fatalf("got %d helpers, obstacle %q, want several", len(c.Helpers), o)
	}
	if c.Expected > longDemand().Objective {
		t.Errorf("got an expected first token after %s, objective %s", c.Expected, longDemand().Objective)
	}
	seen := map[goose.ReplicaID]bool{c.Replica.ID: true}
	for _, h := range c.Helpers {
		if seen[h.Replica.ID] {
			t.Errorf("got replica %s twice", h.Replica.ID)
		}
		seen[h.Replica.ID] = true
		if h.Tokens != 0 {
			t.Errorf("got a reservation of %d tokens for a prompt that fits one replica", h.Tokens)
		}
	}
}

// Guards against a prompt larger than the memory of one replica whose parts do not fit into
// their replicas or do not add up to the whole.
func TestHugePromptReservesMemoryOnSeveralReplicas(t *testing.T) {
	t.Parallel()
	pl := newPlacer()
	d := hugeDemand()
	c, o := pl.Choose(d, replicas("desk", 40), start)
	if o != ObstacleNone {
		t.Fatalf("got obstacle %q", o)
	}
	total := 0
	for _, h := range c.Helpers {
		if h.Tokens <= 0 || h.Tokens > d.Service.Engine.MemoryTokens {
			t.Errorf("got a reservation of %d tokens", h.Tokens)
		}
		total += h.Tokens
	}
	rest := d.PromptTokens + d.OutputTokens - total
	if rest <= 0 || rest > d.Service.Engine.MemoryTokens {
		t.Errorf("got %d tokens left for the first replica", rest)
	}
}

// Guards against a prompt with a short prefill that exceeds the memory of a single replica:
// the replica would refuse it at every attempt.
func TestShortPrefillOverMemoryReservesMemoryOnSeveralReplicas(t *testing.T) {
	t.Parallel()
	d := shortDemand()
	d.Service.Engine.MemoryTokens = 3_000
	c, o := newPlacer().Choose(d, replicas("desk", 4), start)
	if o != ObstacleNone || len(c.Helpers) == 0 || c.Helpers[0].Tokens == 0 {
		t.Errorf("got helpers %+v, obstacle %q, want reserved memory", c.Helpers, o)
	}
}

// Guards against huge prompts that delay all other requests. The load pattern is several
// archive prompts larger than the memory of a replica that arrive almost at the same time.
func TestHugePromptNeedsIdleReplicas(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		earlier []Demand
		want    Obstacle
	}{
		"idle":               {want: ObstacleNone},
		"with short prompts": {earlier: []Demand{shortDemand(), shortDemand(), shortDemand()}, want: ObstacleNone},
		"with long prompts":  {earlier: []Demand{longDemand(), longDemand(), longDemand(), longDemand()}, want: ObstacleHuge},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("desk", 40)
			for _, d := range tc.earlier {
				if _, o := pl.Choose(d, all, start); o != ObstacleNone {
					t.Fatalf("got obstacle %q for an earlier request", o)
				}
			}
			if _, o := pl.Choose(hugeDemand(), all, start); o != tc.want {
				t.Errorf("got obstacle %q, want %q", o, tc.want)
			}
		})
	}
}

// Guards against a suspended replica that is chosen although others are available, and
// against a request that is refused because only suspended replicas are left.
func TestSuspendedReplicaIsLastChoice(t *testing.T) {
	t.Parallel()
	pl, all, now := newPlacer(), replicas("book", 3), start
	d := Demand{Service: plainService(), TimeLeft: time.Second}
	first, _ := pl.Choose(d, all, now)
	if got := pl.RecordEnd(first.AttemptID, true, true, now); got <= 0 {
		t.Fatalf("got a suspension of %s for an unreachable replica", got)
	}
	for range 6 {
		c, _ := pl.Choose(d, all, now)
		if c.Replica.ID == first.Replica.ID {
			t.Errorf("got suspended replica %s", c.Replica.ID)
		}
	}
	d.Avoid = map[goose.ReplicaID]bool{}
	for _, r := range all {
		if r.ID != first.Replica.ID {
			d.Avoid[r.ID] = true
		}
	}
	if c, o := pl.Choose(d, all, now); o != ObstacleNone || c.Replica.ID != first.Replica.ID {
		t.Errorf("got %s, obstacle %q, want the suspended replica, the only one left", c.Replica.ID, o)
	}
}

// Guards against a replica that is suspended after a single lost response.
func TestSingleFailureDoesNotSuspend(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("book", 1)
	d := Demand{Service: plainService(), TimeLeft: time.Second}
	c, _ := pl.Choose(d, all, start)
	if got := pl.RecordEnd(c.AttemptID, true, false, start); got != 0 {
		t.Errorf("got a suspension of %s after one failure", got)
	}
}

// Guards against wrong obstacles: the Retry-After time of the caller depends on them.
func TestObstacles(t *testing.T) {
	t.Parallel()
	late := shortDemand()
	late.TimeLeft = time.Millisecond
	tests := map[string]struct {
		demand   Demand
		replicas int
		earlier  int
		// running is set if the earlier requests are streaming their output.
		running bool
		want    Obstacle
	}{
		"no replica known":   {demand: shortDemand(), want: ObstacleNoReplica},
		"deadline too short": {demand: late, replicas: 3, want: ObstacleLate},
		"cold bound reached": {demand: shortDemand(), replicas: 1, earlier: 88, want: ObstacleCold},
		"queue full":         {demand: shortDemand(), replicas: 1, earlier: 17, running: true, want: ObstacleFull},
		"queue slot free":    {demand: shortDemand(), replicas: 1, earlier: 16, running: true, want: ObstacleNone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("desk", tc.replicas)
			for range tc.earlier {
				c, o := pl.Choose(tc.demand, all, start)
				if o != ObstacleNone {
					t.Fatalf("got obstacle %q for an earlier request", o)
				}
				if tc.running {
					pl.RecordFirstEvent(c.AttemptID, start)
					continue
				}
				pl.RecordEnd(c.AttemptID, false, false, start)
			}
			if _, o := pl.Choose(tc.demand, all, start); o != tc.want {
				t.Errorf("got obstacle %q, want %q", o, tc.want)
			}
		})
	}
}

// Guards against a cold replica that gets more requests from all instances together than
// its bound, for any sequence of requests.
func TestColdBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		placers := make([]*Placer, instances)
		for i := range placers {
			placers[i] = newPlacer()
		}
		cold := replicas("desk", 1)
		cold[0].ColdUntil = start.Add(time.Hour)
		limit := modelService().ColdRate*1.5 + 5
		var sent []time.Time
		now := start
		for range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			pl := placers[i]
			for j := range placers {
				if j != i {
					pl.SetPeerReport(goose.InstanceID(fmt.Sprint(j)), Report{}, now)
				}
			}
			if c, o := pl.Choose(shortDemand(), cold, now); o == ObstacleNone {
				pl.RecordEnd(c.AttemptID, false, false, now)
				sent = append(sent, now)
			}
		}
		for _, end := range sent {
			n := 0
			for _, at := range sent {
				if !at.After(end) && end.Sub(at) < time.Second {
					n++
				}
			}
			if float64(n) > limit {
				t.Fatalf("got %d requests in a second, limit %.0f, with %d instances", n, limit, instances)
			}
		}
	})
}

// Guards against requests of peers that are not counted, or that are still counted long
// after the peer has died.
func TestPeerLoadCounts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		age  time.Duration
		want goose.ReplicaID
	}{
		"heard":  {age: time.Second, want: "i-01"},
		"silent": {age: 2*PeerTimeout + time.Second, want: "i-00"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, all := newPlacer(), replicas("book", 2)
			pl.SetPeerReport("peer", Report{Replicas: map[goose.ReplicaID]Load{"i-00": {Requests: 5}}}, start)
			c, _ := pl.Choose(Demand{Service: plainService()}, all, start.Add(tc.age))
			if c.Replica.ID != tc.want {
				t.Errorf("got replica %s, want %s", c.Replica.ID, tc.want)
			}
		})
	}
}

// Guards against requests that have ended but whose capacity stays counted or is freed
// twice.
func TestLoadReturnsToZero(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pl, all, now := newPlacer(), replicas("desk", 23), start
		var attempts []uint64
		demands := []Demand{shortDemand(), longDemand(), hugeDemand()}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if c, o := pl.Choose(demands[rapid.IntRange(0, 2).Draw(t, "demand")], all, now); o == ObstacleNone {
					attempts = append(attempts, c.AttemptID)
				}
			case 1:
				if len(attempts) > 0 {
					pl.RecordFirstEvent(attempts[0], now)
				}
			case 2:
				if len(attempts) > 0 {
					pl.RecordEnd(attempts[0], rapid.Bool().Draw(t, "failed"), false, now)
					pl.RecordEnd(attempts[0], false, false, now)
					attempts = attempts[1:]
				}
			}
		}
		for _, id := range attempts {
			pl.RecordEnd(id, false, false, now)
		}
		if got := pl.Report(now).Replicas; len(got) != 0 {
			t.Fatalf("got load %v after the last request", got)
		}
	})
}

// Guards against a restarted replica that keeps the suspension of its previous process.
func TestRestartResetsHealth(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("book", 2)
	d := Demand{Service: plainService()}
	for range 2 {
		c, _ := pl.Choose(d, all[:1], start)
		pl.RecordEnd(c.AttemptID, true, true, start)
	}
	all[0].StartedUnixMS = 2
	if c, _ := pl.Choose(d, all, start); c.Replica.ID != "i-00" {
		t.Errorf("got replica %s, want the restarted one", c.Replica.ID)
	}
}

// Guards against very long parts of a prompt that delay streams with medium pauses although
// other replicas could prefill the parts. The load pattern is archive prompts mixed with
// charter prompts.
func TestLongPartsAvoidMediumStreams(t *testing.T) {
	t.Parallel()
	pl, all := newPlacer(), replicas("desk", 78)
	charter := Demand{
		Service: modelService(), PromptTokens: 45_000, OutputTokens: 1_000, Objective: 1500 * time.Millisecond,
		LongestPause: 600 * time.Millisecond, TimeLeft: 10 * time.Second,
	}
	streaming := map[goose.ReplicaID]bool{}
	for range 8 {
		c, o := pl.Choose(charter, all, start)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q for a charter", o)
		}
		pl.RecordFirstEvent(c.AttemptID, start)
		streaming[c.Replica.ID] = true
	}
	// All other replicas have slightly more load, so that without the penalty they would be
	// the second choice.
	busy := Report{Replicas: map[goose.ReplicaID]Load{}}
	for _, r := range all {
		if !streaming[r.ID] {
			busy.Replicas[r.ID] = Load{Requests: 1, Waiting: 1, Prefill: 50 * time.Millisecond}
		}
	}
	pl.SetPeerReport("peer", busy, start)
	archive := longDemand()
	archive.PromptTokens = 290_000
	c, o := pl.Choose(archive, all, start)
	if o != ObstacleNone || len(c.Helpers) < 8 {
		t.Fatalf("got %d helpers, obstacle %q, want many", len(c.Helpers), o)
	}
	for _, h := range append(c.Helpers, Helper{Replica: c.Replica}) {
		if streaming[h.Replica.ID] {
			t.Errorf("got a part of the archive on replica %s, which streams a charter", h.Replica.ID)
		}
	}
}

// Guards against instances that all choose the same replica because they have no data about
// each other's latest requests. The load pattern is a burst at many instances.
func TestInstancesSpreadBurst(t *testing.T) {
	t.Parallel()
	all := replicas("desk", 20)
	random := rand.New(rand.NewPCG(1, 2))
	got := map[goose.ReplicaID]int{}
	for range 60 {
		pl := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: random.IntN})
		c, o := pl.Choose(shortDemand(), all, start)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q", o)
		}
		got[c.Replica.ID]++
	}
	for id, n := range got {
		if n > 20 {
			t.Errorf("got %d of 60 first requests of instances on replica %s", n, id)
		}
	}
}

// Guards against instances that all send to the replica that was idle in the last reports of
// their peers. The load pattern is a burst at many instances whose reports are delayed.
func TestUnreportedLoadIsSpread(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// rate is the prefill time of short requests that arrives at all peers per second.
		rate float64
		// age is the age of the peers' reports.
		age time.Duration
		// least and most bound how many of 100 requests go to the idle replica.
		most, least int
	}{
		"burst, old reports":    {rate: 9, age: 250 * time.Millisecond, least: 2, most: 15},
		"burst, new reports":    {rate: 9, age: 2 * time.Millisecond, least: 90, most: 100},
		"low load, old reports": {rate: 0.1, age: 250 * time.Millisecond, least: 90, most: 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := replicas("desk", 40)
			random := rand.New(rand.NewPCG(1, 2))
			got := 0
			for range 100 {
				pl := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: random.IntN})
				r := Report{Replicas: map[goose.ReplicaID]Load{}, OfferedLoad: map[goose.ServiceName]OfferedLoad{"desk": {Short: tc.rate}}}
				for _, c := range all[1:] {
					r.Replicas[c.ID] = Load{Requests: 7, Waiting: 2, ShortPauseStreams: 7, Prefill: 70 * time.Millisecond, Tokens: 20_000}
				}
				pl.SetPeerReport("peer", r, start.Add(-tc.age))
				c, o := pl.Choose(shortDemand(), all, start)
				if o != ObstacleNone {
					t.Fatalf("got obstacle %q", o)
				}
				if c.Replica.ID == all[0].ID {
					got++
				}
			}
			if got < tc.least || got > tc.most {
				t.Errorf("got %d of 100 requests on the idle replica, want %d to %d", got, tc.least, tc.most)
			}
		})
	}
}

// Guards against the longest short prompts making the streams of one replica pause too
// long. The load pattern is a few prompts of several times the usual length.
func TestLongestShortPromptsUseTwoReplicas(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ tokens, want int }{
		"usual":   {tokens: 5_000, want: 0},
		"longer":  {tokens: 11_000, want: 0},
		"longest": {tokens: 23_000, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pl, d := newPlacer(), shortDemand()
			d.PromptTokens = tc.tokens
			c, o := pl.Choose(d, replicas("desk", 23), start)
			if o != ObstacleNone || len(c.Helpers) != tc.want {
				t.Fatalf("got %d helpers, obstacle %q, want %d", len(c.Helpers), o, tc.want)
			}
			for _, h := range c.Helpers {
				if h.Replica.ID == c.Replica.ID || h.Tokens != 0 {
					t.Errorf("got helper %s with %d reserved tokens for replica %s, want another replica and no reservation", h.Replica.ID, h.Tokens, c.Replica.ID)
				}
			}
		})
	}
}

// Guards against pool sizes that leave short or long prompts without a replica.
func TestLongPoolSize(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		offeredLoad OfferedLoad
		streams, n  int
		least, most int
	}{
		"idle":          {n: 23, least: 17, most: 17},
		"long burst":    {offeredLoad: OfferedLoad{Short: 0.4, Long: 16}, streams: 30, n: 23, least: 15, most: 17},
		"short burst":   {offeredLoad: OfferedLoad{Short: 3.4, Long: 0.2}, streams: 190, n: 23, least: 1, most: 2},
		"both":          {offeredLoad: OfferedLoad{Short: 3.4, Long: 16}, streams: 190, n: 23, least: 1, most: 5},
		"two replicas":  {offeredLoad: OfferedLoad{Long: 5}, n: 2, least: 1, most: 1},
		"many replicas": {offeredLoad: OfferedLoad{Long: 5}, n: 78, least: 58, most: 58},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := longPoolSize(tc.offeredLoad, tc.streams, tc.n); got < tc.least || got > tc.most {
				t.Errorf("got %d replicas for long prompts, want %d to %d", got, tc.least, tc.most)
			}
		})
	}
}
