package gooseproof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// peerPartition is a partition between the instances of one data centre, with or without
// a partition between them and the platform.
type peerPartition struct {
	// fault begins the partition. dispatcher dispatches the model's pool, and other is the
	// only other instance of the data centre.
	fault func(f *testFleet, dispatcher, other string) error
	// seconds is the duration of the partition.
	seconds int
}

// Durations of partitions in seconds. A short partition is longer than the lease, the
// promises and the quarantine of a successor. A long one is also longer than a caretaker's
// delay and its quarantine.
const (
	shortPartition = 11
	longPartition  = 18
)

var peerPartitions = map[string]peerPartition{
	"peers partitioned": {func(f *testFleet, dispatcher, _ string) error {
		return f.cutFromNeighbours(dispatcher, f.CutPeers)
	}, shortPartition},
	"peers partitioned, dispatcher without the store": {func(f *testFleet, dispatcher, _ string) error {
		return firstError(f.cutFromNeighbours(dispatcher, f.CutPeers), f.CutInstanceFromPlatform(f.ctx, dispatcher, true))
	}, shortPartition},
	"peers partitioned, neighbour without the store": {func(f *testFleet, _, other string) error {
		return firstError(f.cutFromNeighbours(other, f.CutPeers), f.CutInstanceFromPlatform(f.ctx, other, true))
	}, shortPartition},
	"peers partitioned, both without the store": {func(f *testFleet, dispatcher, _ string) error {
		return firstError(f.cutFromNeighbours(dispatcher, f.CutPeers), f.CutDataCentreFromPlatform(f.ctx, "leith", true))
	}, longPartition},
	"messages from dispatcher lost": {func(f *testFleet, dispatcher, _ string) error {
		return f.cutFromNeighbours(dispatcher, f.CutPeersOneWay)
	}, longPartition},
	"messages to dispatcher lost": {func(f *testFleet, _, other string) error {
		return f.cutFromNeighbours(other, f.CutPeersOneWay)
	}, longPartition},
	"messages from dispatcher lost, both without the store": {func(f *testFleet, dispatcher, _ string) error {
		return firstError(f.cutFromNeighbours(dispatcher, f.CutPeersOneWay), f.CutDataCentreFromPlatform(f.ctx, "leith", true))
	}, longPartition},
	"30 percent packet loss": {func(f *testFleet, _, _ string) error {
		return f.LosePeerPackets(f.ctx, 0.3)
	}, shortPartition},
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against two dispatchers that together give a cold backend server more than its
// limit, against an attempt that is sent twice, and against orders that run twice or whose
// callers get a wrong outcome, while a partition in one or both directions separates the
// instances of a data centre, with and without the store. One engine becomes cold every
// second, the other one every fourth second, so that it is warm for part of the time. Engines
// accept requests of any epoch, so that only the dispatchers keep the limit.
func TestPartitionInDataCentre(t *testing.T) {
	for name, partition := range peerPartitions {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, withPartitions, func(s *goosefleet.Spec) { s.Services[0].FencingIgnored = true })
			engines := f.BackendsOf(modelService, "leith")
			// Outputs of this length keep a cold engine busy without a pause.
			stop := f.startLoadOf(48, 300)
			dispatcher := f.dispatcher()
			h := &orderHistory{start: time.Now(), outcomes: map[string]int{}}
			sideA, sideB := f.InstancesOf("leith")[:1], f.InstancesOf("leith")[1:]
			waitEarly := f.sendOrders(h, sideA, sideB, "early")
			f.must(partition.fault(f, dispatcher, f.neighbour(dispatcher)))
			f.restartCold(engines...)
			for second := range partition.seconds {
				time.Sleep(time.Second)
				f.restartCold(engines[0])
				if second%4 == 3 {
					f.restartCold(engines[1])
				}
			}
			waitLate := f.sendOrders(h, sideA, sideB, "late")
			time.Sleep(2 * time.Second)
			f.must(f.CutDataCentreFromPlatform(f.ctx, "leith", false), f.RestorePeers(f.ctx))
			f.restartCold(engines...)
			time.Sleep(2 * time.Second)
			responses := stop()
			for _, names := range [][]string{waitEarly(), waitLate()} {
				for _, n := range names {
					f.resolveOrder(h, f.InstancesOf("leith")[0], n)
				}
				h.check(f, names)
			}
			got := f.engineTotals()
			if got.Overloads != 0 {
				t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
			}
			served := countIf(responses, response.served)
			if served == 0 {
				t.Error("got no request served")
			}
			f.eventually("leased dispatchers", time.Minute, func() error { return f.checkLeased("leith") })
			f.checkServing(f.InstancesOf("leith"), "healed")
			t.Logf("%d of %d requests served, %d engine restarts, %d requests above warm limits", served, len(responses), got.Crashes, got.RequestsAboveLimit)
		})
	}
}

// Guards against a dispatcher that cancels the streams of silent instances although these
// still serve their callers. The instances hold permits of this dispatcher or of a former
// one.
func TestPartitionCutsNoStreams(t *testing.T) {
	for _, name := range []string{"peers partitioned", "peers partitioned, dispatcher without the store", "peers partitioned, both without the store"} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, withPartitions, func(s *goosefleet.Spec) { s.Services[0].Flags = []string{"--scale", "1"} })
			f.warmUp()
			dispatcher := f.dispatcher()
			responses := make(chan response)
			holders := f.InstancesOf("leith")
			for _, i := range holders {
				go func() { responses <- f.generate(i.Caller, i.Name+" long answer", 1000, 2500) }()
			}
			f.eventually("streams to run", time.Minute, func() error {
				if got := f.engineTotals().RunningStreams; got < len(holders) {
					return errors.Errorf("%d streams run", got)
				}
				return nil
			})
			began := time.Now()
			f.must(peerPartitions[name].fault(f, dispatcher, f.neighbour(dispatcher)))
			for range holders {
				if res := <-responses; !res.served() {
					t.Errorf("got %v, want it served", res)
				}
			}
			// The streams must run longer than a dispatcher waits for a silent permit holder.
			if lasted := time.Since(began); lasted < 2*goose.HolderTimeout {
				t.Errorf("streams ended after %s, too early for the test", lasted)
			}
			if got := f.engineTotals().Cancelled; got != 0 {
				t.Errorf("got %d cancelled streams, want 0", got)
			}
			f.must(f.CutDataCentreFromPlatform(f.ctx, "leith", false), f.RestorePeers(f.ctx))
			f.eventually("engines to be empty", time.Minute, func() error {
				if c := f.engineTotals(); c.ListedStreams != 0 || c.KVTokensUsed != 0 {
					return errors.Errorf("%d streams listed, %d tokens in use", c.ListedStreams, c.KVTokensUsed)
				}
				return nil
			})
		})
	}
}

// restartCold restarts engines, which are cold afterwards.
func (f *testFleet) restartCold(engines ...*goosefleet.Simulator) {
	f.t.Helper()
	for _, b := range engines {
		f.must(b.SetFault(f.ctx, map[string]any{"cold": true}))
	}
}
