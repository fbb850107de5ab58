package gooseplacement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

// simulatedFleet is the placers of the instances of several data centres, in virtual time.
// Each of them reports to its data centre, and each data centre sends its sum to the others.
type simulatedFleet struct {
	random   *rand.Rand
	replicas []goosedirectory.Replica
	// placers are the placers of each data centre.
	placers map[goose.DataCentre][]*Placer
	names   []goose.DataCentre
	now     time.Time
	// busy is the number of streams at each replica.
	busy map[goose.ReplicaID]int
	ends []streamEnd
	// placed are the placers that have placed a request since their last report.
	placed map[*Placer]bool
}

// streamEnd is the end of a stream.
type streamEnd struct {
	at      time.Time
	placer  *Placer
	attempt uint64
	replica goose.ReplicaID
}

// newSimulatedFleet returns a fleet with the same number of instances and replicas in each of
// the data centres.
func newSimulatedFleet(dataCentres, instances, replicasEach int) *simulatedFleet {
	f := &simulatedFleet{
		random: rand.New(rand.NewPCG(1, 3)), placers: map[goose.DataCentre][]*Placer{}, now: start, busy: map[goose.ReplicaID]int{}, placed: map[*Placer]bool{},
	}
	for d := range dataCentres {
		dc := goose.DataCentre(fmt.Sprint("dc-", d))
		f.names = append(f.names, dc)
		for range instances {
			f.placers[dc] = append(f.placers[dc], New(Options{
				DataCentre: dc, ColdFactor: 1.5, ColdSlack: 5, Rand: f.random.IntN,
				Registered: func() Registered { return Registered{Own: instances, All: instances * dataCentres} },
			}))
		}
		for r := range replicasEach {
			f.replicas = append(f.replicas, goosedirectory.Replica{Replica: goose.Replica{
				ID: goose.ReplicaID(fmt.Sprintf("i-%d-%02d", d, r)), Service: "desk", DataCentre: dc, Slots: 10, State: goose.StateActive, StartedUnixMS: 1,
			}})
		}
	}
	return f
}

// report sends the reports of some instances of a data centre to the others.
func (f *simulatedFleet) report(dc goose.DataCentre, due func(*Placer) bool) {
	for i, from := range f.placers[dc] {
		if !due(from) {
			continue
		}
		r := from.Report(f.now)
		for _, to := range f.placers[dc] {
			if from != to {
				to.SetPeerReport(goose.InstanceID(fmt.Sprint(dc, i)), r, f.now)
			}
		}
	}
}

// reportSums sends the sum of each data centre to the instances of the others.
func (f *simulatedFleet) reportSums() {
	for _, dc := range f.names {
		sum := f.placers[dc][0].DataCentreReport(f.now)
		for _, other := range f.names {
			for _, to := range f.placers[other] {
				if other != dc {
					to.SetDataCentreReport(dc, sum, f.now)
				}
			}
		}
	}
}

func everybody(*Placer) bool { return true }

// reportAll sends all reports and sums.
func (f *simulatedFleet) reportAll() {
	for _, dc := range f.names {
		f.report(dc, everybody)
	}
	f.reportSums()
}

// endStreams ends the streams that have ended by now.
func (f *simulatedFleet) endStreams() {
	f.ends = slices.DeleteFunc(f.ends, func(e streamEnd) bool {
		if e.at.After(f.now) {
			return false
		}
		e.placer.RecordEnd(e.attempt, false, false, f.now)
		f.busy[e.replica]--
		return true
	})
}

// place places a short prompt at a random instance of a data centre. It returns the replica
// and whether it has a free slot.
func (f *simulatedFleet) place(d Demand, dc goose.DataCentre, stream time.Duration) (goosedirectory.Replica, bool) {
	pl := f.placers[dc][f.random.IntN(len(f.placers[dc]))]
	c, o := pl.Choose(d, f.replicas, f.now)
	if o != ObstacleNone {
		return goosedirectory.Replica{}, false
	}
	free := f.busy[c.Replica.ID] < c.Replica.Slots
	f.busy[c.Replica.ID]++
	pl.RecordFirstEvent(c.AttemptID, f.now.Add(c.Expected))
	f.placed[pl] = true
	f.ends = append(f.ends, streamEnd{at: f.now.Add(stream), placer: pl, attempt: c.AttemptID, replica: c.Replica.ID})
	return goosedirectory.Replica{Replica: c.Replica}, free
}

// Guards against instances of a large fleet that choose almost blindly, because the reports
// of hundreds of others are rare: short prompts then meet on full replicas while others have
// free slots. The load pattern is a burst of short streams that needs six of ten slots, at
// instances that have one request in flight each, evenly or all of it in two data centres to
// which callers have moved.
func TestLargeFleetSpreadsBurst(t *testing.T) {
	t.Parallel()
	const (
		dataCentres, instances, replicasEach = 5, 30, 16

		stream    = 1650 * time.Millisecond
		burst     = 5 * time.Second
		usedSlots = 0.6
		perSecond = usedSlots * dataCentres * replicasEach * 10 / 1.65
		// step is the delay of a report about a new request.
		step           = 20 * time.Millisecond
		stepsPerReport = 23
		stepsPerSum    = 20
		// maxOnFull is the part of the requests that may be refused or find no free slot, so
		// that 95 of 100 can begin in time.
		maxOnFull = 0.05
	)
	tests := map[string]struct {
		// callers are the data centres whose instances get the requests.
		callers int
	}{
		"evenly":                  {callers: dataCentres},
		"at two data centres":     {callers: 2},
		"at a single data centre": {callers: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(dataCentres, instances, replicasEach)
			d := shortDemand()
			d.Service.Engine.Slots, d.Service.Engine.StepsPerPass, d.Objective = 10, 80, 400*time.Millisecond
			onFull, requests, own := 0, 0, 0
			f.reportAll()
			due := 0.0
			for i := 1; f.now.Sub(start) < burst; i++ {
				f.now = f.now.Add(step)
				f.endStreams()
				for _, dc := range f.names {
					f.report(dc, func(pl *Placer) bool { return f.placed[pl] || i%stepsPerReport == 0 })
				}
				clear(f.placed)
				if i%stepsPerSum == 0 {
					f.reportSums()
				}
				for due += perSecond * step.Seconds(); due >= 1; due-- {
					dc := f.names[f.random.IntN(tc.callers)]
					r, free := f.place(d, dc, stream)
					requests++
					if !free {
						onFull++
					}
					if r.DataCentre == dc {
						own++
					}
				}
			}
			if got := float64(onFull) / float64(requests); got > maxOnFull {
				t.Errorf("got %.3f of %d requests without a free slot, want at most %.2f", got, requests, maxOnFull)
			}
			if got := float64(own) / float64(requests); tc.callers == dataCentres && got < 0.9 {
				t.Errorf("got %.2f of the requests in their own data centre, want most", got)
			}
			t.Logf("%.3f without a free slot, %.2f in their own data centre", float64(onFull)/float64(requests), float64(own)/float64(requests))
		})
	}
}

// Guards against sums of loads that differ from the reports, so that replicas seem loaded or
// idle for ever.
func TestPeerLoadsAreExact(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(3, 4))
	pl, all, now := newPlacer(), replicas("desk", 10), start
	for range 500 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		r := Report{Replicas: map[goose.ReplicaID]Load{}}
		for range random.IntN(4) {
			r.Replicas[all[random.IntN(len(all))].ID] = Load{Requests: random.IntN(3), Tokens: random.IntN(9000), Prefill: time.Duration(random.IntN(1000))}
		}
		if random.IntN(4) == 0 {
			pl.SetDataCentreReport(goose.DataCentre(fmt.Sprint("dc-", random.IntN(3))), r, now)
		} else {
			pl.SetPeerReport(goose.InstanceID(fmt.Sprint("edge-", random.IntN(8))), r, now)
		}
		pl.Instances(now)
		for _, replica := range all {
			var want Load
			for _, p := range pl.table.peers {
				want = want.plus(p.report.Replicas[replica.ID])
			}
			for _, p := range pl.table.dataCentres {
				want = want.plus(p.report.Replicas[replica.ID])
			}
			if got := pl.load(replica.ID, now); got != want {
				t.Fatalf("got load %+v of %s, want %+v", got, replica.ID, want)
			}
		}
	}
	now = now.Add(2 * PeerTimeout)
	pl.Instances(now)
	if got := len(pl.table.loads); got != 0 {
		t.Errorf("got loads of %d replicas after all peers are silent, want none", got)
	}
}

// Guards against one malformed report that makes every later request fail: its values are
// used in sums and as the bound of a random number.
func TestMalformedReports(t *testing.T) {
	t.Parallel()
	load := func(l Load) Report { return Report{Replicas: map[goose.ReplicaID]Load{"i-00": l}} }
	offered := func(o OfferedLoad) Report {
		return Report{OfferedLoad: map[goose.ServiceName]OfferedLoad{"desk": o}}
	}
	nan := 0.0
	nan /= nan
	tests := map[string]struct {
		report Report
		want   bool
	}{
		"empty":             {want: true},
		"usual":             {report: load(Load{Requests: 3, Waiting: 1, Tokens: 40_000, Prefill: time.Second, ShortPauseStreams: 2}), want: true},
		"offered":           {report: offered(OfferedLoad{Short: 7.5, Long: 60}), want: true},
		"negative requests": {report: load(Load{Requests: -1})},
		"requests":          {report: load(Load{Requests: 1 << 40})},
		"negative tokens":   {report: load(Load{Tokens: -5})},
		"tokens":            {report: load(Load{Tokens: 1 << 60})},
		"negative prefill":  {report: load(Load{Prefill: -1})},
		"prefill":           {report: load(Load{Prefill: 1 << 62})},
		"negative offered":  {report: offered(OfferedLoad{Short: -1})},
		"infinite offered":  {report: offered(OfferedLoad{Short: 1e300})},
		"no number":         {report: offered(OfferedLoad{Long: nan})},
		"instances":         {report: Report{Instances: -1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if err := tc.report.Validate(); (err == nil) != tc.want {
				t.Errorf("got error %v, want a valid report: %t", err, tc.want)
			}
		})
	}
}
