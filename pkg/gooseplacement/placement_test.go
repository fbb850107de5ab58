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

// desk is a model service like those of the installations: 177 tokens are read in a
// millisecond, and 315,000 fit into a replica.
func desk() goose.RoutedService {
	return goose.RoutedService{Name: "desk", ColdRate: 26, Engine: &goose.EngineProfile{
		Slots: 16, MemoryTokens: 315_000, Stride: 51, Step: 850 * time.Microsecond, PerSequence: 4250 * time.Nanosecond,
		ContextPerThousand: 2850 * time.Nanosecond, ReadPerSecond: 177_000, PairsPerMillion: 184 * time.Microsecond,
		UsualOutput: 1600,
	}}
}

func plain() goose.RoutedService { return goose.RoutedService{Name: "book"} }

func replicas(service goose.ServiceName, n int) []goosedirectory.Replica {
	all := make([]goosedirectory.Replica, n)
	for i := range all {
		all[i] = goosedirectory.Replica{Replica: goose.Replica{
			ID: goose.ReplicaID(fmt.Sprintf("i-%02d", i)), Service: service, DataCentre: "leith",
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 16, State: goose.StateActive, Born: 1,
		}}
	}
	return all
}

// newBoard returns a board that takes the first of several replicas alike.
func newBoard() *Board {
	return New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: func(int) int { return 0 }})
}

// Prompts of the three lengths that callers send.
func short() Demand {
	return Demand{Service: desk(), PromptTokens: 5_000, OutputTokens: 1_600, Objective: 300 * time.Millisecond, LongestPause: 250 * time.Millisecond, TimeLeft: 10 * time.Second}
}

func long() Demand {
	return Demand{Service: desk(), PromptTokens: 154_000, OutputTokens: 800, Objective: 3 * time.Second, LongestPause: time.Second, TimeLeft: 15 * time.Second}
}

func huge() Demand {
	d := long()
	d.PromptTokens = 340_000
	return d
}

// Guards against short prompts that wait behind long ones although other replicas are
// free: the load pattern of archives beside short checks.
func TestShortBesideLong(t *testing.T) {
	t.Parallel()
	b, all, now := newBoard(), replicas("desk", 23), start
	reading := map[goose.ReplicaID]bool{}
	for range 3 {
		c, o := b.Choose(long(), all, now)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q for a long prompt", o)
		}
		reading[c.Replica.ID] = true
		for _, h := range c.Helpers {
			reading[h.Replica.ID] = true
		}
	}
	for i := range 30 {
		now = now.Add(5 * time.Millisecond)
		c, o := b.Choose(short(), all, now)
		if o != ObstacleNone || reading[c.Replica.ID] {
			t.Fatalf("got short request %d on %s, obstacle %q, which reads a long prompt", i, c.Replica.ID, o)
		}
	}
}

// Guards against a long prompt that one replica reads alone, so that its first token
// and the streams beside it are late.
func TestLongIsReadByMany(t *testing.T) {
	t.Parallel()
	b := newBoard()
	c, o := b.Choose(long(), replicas("desk", 23), start)
	if o != ObstacleNone || len(c.Helpers) < 3 {
		t.Fatalf("got %d helpers, obstacle %q, want several", len(c.Helpers), o)
	}
	if c.Expected > long().Objective {
		t.Errorf("got an expected first token after %s, objective %s", c.Expected, long().Objective)
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

// Guards against a prompt over one replica's memory whose parts do not fit or do not
// add up.
func TestHugeIsSpread(t *testing.T) {
	t.Parallel()
	b := newBoard()
	d := huge()
	c, o := b.Choose(d, replicas("desk", 40), start)
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

// Guards against a prompt that is read in no time but exceeds the memory of a replica,
// which would decline it for ever.
func TestQuickPromptOverMemoryIsSpread(t *testing.T) {
	t.Parallel()
	d := short()
	d.Service.Engine.MemoryTokens = 3_000
	c, o := newBoard().Choose(d, replicas("desk", 4), start)
	if o != ObstacleNone || len(c.Helpers) == 0 || c.Helpers[0].Tokens == 0 {
		t.Errorf("got helpers %+v, obstacle %q, want reserved memory", c.Helpers, o)
	}
}

// Guards against huge prompts that hold up everybody else: the load pattern of several
// archives above the memory of a replica within moments.
func TestHugeWaitsForNobody(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		before []Demand
		want   Obstacle
	}{
		"idle":              {want: ObstacleNone},
		"beside short ones": {before: []Demand{short(), short(), short()}, want: ObstacleNone},
		"beside long ones":  {before: []Demand{long(), long(), long(), long()}, want: ObstacleHuge},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, all := newBoard(), replicas("desk", 40)
			for _, d := range tc.before {
				if _, o := b.Choose(d, all, start); o != ObstacleNone {
					t.Fatalf("got obstacle %q before", o)
				}
			}
			if _, o := b.Choose(huge(), all, start); o != tc.want {
				t.Errorf("got obstacle %q, want %q", o, tc.want)
			}
		})
	}
}

// Guards against replicas that are chosen again although they failed, and against a
// request that is refused although only suspended replicas are left.
func TestSuspended(t *testing.T) {
	t.Parallel()
	b, all, now := newBoard(), replicas("book", 3), start
	d := Demand{Service: plain(), TimeLeft: time.Second}
	first, _ := b.Choose(d, all, now)
	if got := b.Ended(first.Flight, true, true, now); got <= 0 {
		t.Fatalf("got a suspension of %s for an unreachable replica", got)
	}
	for range 6 {
		c, _ := b.Choose(d, all, now)
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
	if c, o := b.Choose(d, all, now); o != ObstacleNone || c.Replica.ID != first.Replica.ID {
		t.Errorf("got %s, obstacle %q, want the suspended replica as the last one left", c.Replica.ID, o)
	}
}

// Guards against a single lost answer that takes a replica out.
func TestOneFailureSuspendsNothing(t *testing.T) {
	t.Parallel()
	b, all := newBoard(), replicas("book", 1)
	d := Demand{Service: plain(), TimeLeft: time.Second}
	c, _ := b.Choose(d, all, start)
	if got := b.Ended(c.Flight, true, false, start); got != 0 {
		t.Errorf("got a suspension of %s after one failure", got)
	}
}

// Guards against obstacles that are reported as another one, since the caller is told
// when to come back by them.
func TestObstacles(t *testing.T) {
	t.Parallel()
	late := short()
	late.TimeLeft = time.Millisecond
	tests := map[string]struct {
		demand   Demand
		replicas int
		before   int
		// running is set if the requests before write.
		running bool
		want    Obstacle
	}{
		"none known": {demand: short(), want: ObstacleNoReplica},
		"too late":   {demand: late, replicas: 3, want: ObstacleLate},
		"cold bound": {demand: short(), replicas: 1, before: 88, want: ObstacleCold},
		"slots full": {demand: short(), replicas: 1, before: 17, running: true, want: ObstacleFull},
		"slot free":  {demand: short(), replicas: 1, before: 16, running: true, want: ObstacleNone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, all := newBoard(), replicas("desk", tc.replicas)
			for range tc.before {
				c, o := b.Choose(tc.demand, all, start)
				if o != ObstacleNone {
					t.Fatalf("got obstacle %q before", o)
				}
				if tc.running {
					b.Started(c.Flight, start)
					continue
				}
				b.Ended(c.Flight, false, false, start)
			}
			if _, o := b.Choose(tc.demand, all, start); o != tc.want {
				t.Errorf("got obstacle %q, want %q", o, tc.want)
			}
		})
	}
}

// Guards against a cold replica that gets more than it bears from all instances
// together, whatever their requests.
func TestColdBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		boards := make([]*Board, instances)
		for i := range boards {
			boards[i] = newBoard()
		}
		cold := replicas("desk", 1)
		cold[0].ColdUntil = start.Add(time.Hour)
		limit := desk().ColdRate*1.5 + 5
		var sent []time.Time
		now := start
		for range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			b := boards[i]
			for j := range boards {
				if j != i {
					b.Heard(goose.InstanceID(fmt.Sprint(j)), Report{}, now)
				}
			}
			if c, o := b.Choose(short(), cold, now); o == ObstacleNone {
				b.Ended(c.Flight, false, false, now)
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

// Guards against requests of other instances that are not counted, or that count for
// ever after their instance has died.
func TestPeersCount(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		age  time.Duration
		want goose.ReplicaID
	}{
		"heard":  {age: time.Second, want: "i-01"},
		"silent": {age: 2*PeerSilence + time.Second, want: "i-00"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, all := newBoard(), replicas("book", 2)
			b.Heard("peer", Report{Replicas: map[goose.ReplicaID]Load{"i-00": {Requests: 5}}}, start)
			c, _ := b.Choose(Demand{Service: plain()}, all, start.Add(tc.age))
			if c.Replica.ID != tc.want {
				t.Errorf("got replica %s, want %s", c.Replica.ID, tc.want)
			}
		})
	}
}

// Guards against capacity that is counted for ever, or freed twice, by requests that
// have ended.
func TestLoadReturnsToZero(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		b, all, now := newBoard(), replicas("desk", 23), start
		var flights []uint64
		demands := []Demand{short(), long(), huge()}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if c, o := b.Choose(demands[rapid.IntRange(0, 2).Draw(t, "demand")], all, now); o == ObstacleNone {
					flights = append(flights, c.Flight)
				}
			case 1:
				if len(flights) > 0 {
					b.Started(flights[0], now)
				}
			case 2:
				if len(flights) > 0 {
					b.Ended(flights[0], rapid.Bool().Draw(t, "failed"), false, now)
					b.Ended(flights[0], false, false, now)
					flights = flights[1:]
				}
			}
		}
		for _, f := range flights {
			b.Ended(f, false, false, now)
		}
		if got := b.Report(now).Replicas; len(got) != 0 {
			t.Fatalf("got load %v after the last request", got)
		}
	})
}

// Guards against a replica whose health outlives its process.
func TestNewProcessIsHealthy(t *testing.T) {
	t.Parallel()
	b, all := newBoard(), replicas("book", 2)
	d := Demand{Service: plain()}
	for range 2 {
		c, _ := b.Choose(d, all[:1], start)
		b.Ended(c.Flight, true, true, start)
	}
	all[0].Born = 2
	if c, _ := b.Choose(d, all, start); c.Replica.ID != "i-00" {
		t.Errorf("got replica %s, want the one that has started anew", c.Replica.ID)
	}
}

// Guards against very long parts of prompts that make streams with medium pauses late
// although other replicas could read them: the load pattern of archives beside charters.
func TestLongPartsAvoidMediumStreams(t *testing.T) {
	t.Parallel()
	b, all := newBoard(), replicas("desk", 78)
	charter := Demand{
		Service: desk(), PromptTokens: 45_000, OutputTokens: 1_000, Objective: 1500 * time.Millisecond,
		LongestPause: 600 * time.Millisecond, TimeLeft: 10 * time.Second,
	}
	writing := map[goose.ReplicaID]bool{}
	for range 8 {
		c, o := b.Choose(charter, all, start)
		if o != ObstacleNone {
			t.Fatalf("got obstacle %q for a charter", o)
		}
		b.Started(c.Flight, start)
		writing[c.Replica.ID] = true
	}
	// All others are a little busier, and would be the second choice.
	busy := Report{Replicas: map[goose.ReplicaID]Load{}}
	for _, r := range all {
		if !writing[r.ID] {
			busy.Replicas[r.ID] = Load{Requests: 1, Waiting: 1, Prefill: 50 * time.Millisecond}
		}
	}
	b.Heard("peer", busy, start)
	archive := long()
	archive.PromptTokens = 290_000
	c, o := b.Choose(archive, all, start)
	if o != ObstacleNone || len(c.Helpers) < 8 {
		t.Fatalf("got %d helpers, obstacle %q, want many", len(c.Helpers), o)
	}
	for _, h := range append(c.Helpers, Helper{Replica: c.Replica}) {
		if writing[h.Replica.ID] {
			t.Errorf("got a part of the archive on %s, which writes a charter", h.Replica.ID)
		}
	}
}

// Guards against instances that know nothing of each other's last requests and all
// take the same replica: the load pattern of a burst at many instances.
func TestInstancesDoNotMeet(t *testing.T) {
	t.Parallel()
	all := replicas("desk", 20)
	random := rand.New(rand.NewPCG(1, 2))
	got := map[goose.ReplicaID]int{}
	for range 60 {
		b := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: random.IntN})
		c, o := b.Choose(short(), all, start)
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

// Guards against instances that all send to the replica that was idle at their peers' last
// reports: the load pattern of a burst at many instances whose reports lag.
func TestUnseenWorkIsSpread(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// rate is the engine time that short requests of all peers bring in a second, and
		// age that of their reports.
		rate float64
		age  time.Duration
		// most is the largest number of 100 requests on the idle replica.
		most, least int
	}{
		"burst, old reports": {rate: 9, age: 250 * time.Millisecond, least: 2, most: 15},
		"burst, new reports": {rate: 9, age: 2 * time.Millisecond, least: 90, most: 100},
		"calm, old reports":  {rate: 0.1, age: 250 * time.Millisecond, least: 90, most: 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := replicas("desk", 40)
			random := rand.New(rand.NewPCG(1, 2))
			got := 0
			for range 100 {
				b := New(Options{DataCentre: "leith", ColdFactor: 1.5, ColdSlack: 5, Rand: random.IntN})
				r := Report{Replicas: map[goose.ReplicaID]Load{}, Work: map[goose.ServiceName]Work{"desk": {Short: tc.rate}}}
				for _, c := range all[1:] {
					r.Replicas[c.ID] = Load{Requests: 7, Waiting: 2, Tight: 7, Prefill: 70 * time.Millisecond, Tokens: 20_000}
				}
				b.Heard("peer", r, start.Add(-tc.age))
				c, o := b.Choose(short(), all, start)
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

// Guards against the longest of the short prompts that make the streams of one replica
// pause too long: the load pattern of a few prompts several times the usual length.
func TestLongestShortsAreReadByTwo(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ tokens, want int }{
		"usual":   {tokens: 5_000, want: 0},
		"longer":  {tokens: 11_000, want: 0},
		"longest": {tokens: 23_000, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, d := newBoard(), short()
			d.PromptTokens = tc.tokens
			c, o := b.Choose(d, replicas("desk", 23), start)
			if o != ObstacleNone || len(c.Helpers) != tc.want {
				t.Fatalf("got %d helpers, obstacle %q, want %d", len(c.Helpers), o, tc.want)
			}
			for _, h := range c.Helpers {
				if h.Replica.ID == c.Replica.ID || h.Tokens != 0 {
					t.Errorf("got helper %s with %d tokens beside replica %s", h.Replica.ID, h.Tokens, c.Replica.ID)
				}
			}
		})
	}
}

// Guards against pools that leave one kind of prompts without a replica.
func TestLongPoolSize(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		work        Work
		streams, n  int
		least, most int
	}{
		"idle":          {n: 23, least: 17, most: 17},
		"long burst":    {work: Work{Short: 0.4, Long: 16}, streams: 30, n: 23, least: 15, most: 17},
		"short burst":   {work: Work{Short: 3.4, Long: 0.2}, streams: 190, n: 23, least: 1, most: 2},
		"both":          {work: Work{Short: 3.4, Long: 16}, streams: 190, n: 23, least: 1, most: 5},
		"two replicas":  {work: Work{Long: 5}, n: 2, least: 1, most: 1},
		"many replicas": {work: Work{Long: 5}, n: 78, least: 58, most: 58},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := longPoolSize(tc.work, tc.streams, tc.n); got < tc.least || got > tc.most {
				t.Errorf("got %d replicas for long prompts, want %d to %d", got, tc.least, tc.most)
			}
		})
	}
}
