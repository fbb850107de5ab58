package gooseproof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// split is a way in which the instances of one data centre lose each other or
// the platform.
type split struct {
	// fault gets the instance that dispatches the model's pool and its only
	// neighbour.
	fault func(r *rig, dispatcher, other string) error
	// seconds is how long it lasts.
	seconds int
}

// A short split outlasts the lease, the promises and the quarantine of a
// successor; a long one a caretaker's delay and its quarantine, too.
const (
	shortSplit = 11
	longSplit  = 18
)

var splits = map[string]split{
	"peers cut": {func(r *rig, d, _ string) error {
		return r.cutInstance(d, r.CutInstances)
	}, shortSplit},
	"peers cut, dispatcher without the store": {func(r *rig, d, _ string) error {
		return first(r.cutInstance(d, r.CutInstances), r.CutPlatform(r.ctx, d, true))
	}, shortSplit},
	"peers cut, neighbour without the store": {func(r *rig, _, o string) error {
		return first(r.cutInstance(o, r.CutInstances), r.CutPlatform(r.ctx, o, true))
	}, shortSplit},
	"peers cut, both without the store": {func(r *rig, d, _ string) error {
		return first(r.cutInstance(d, r.CutInstances), r.CutDataCentre(r.ctx, "leith", true))
	}, longSplit},
	"dispatcher not heard": {func(r *rig, d, _ string) error {
		return r.cutInstance(d, r.CutOneWay)
	}, longSplit},
	"dispatcher does not hear": {func(r *rig, _, o string) error {
		return r.cutInstance(o, r.CutOneWay)
	}, longSplit},
	"dispatcher not heard, both without the store": {func(r *rig, d, _ string) error {
		return first(r.cutInstance(d, r.CutOneWay), r.CutDataCentre(r.ctx, "leith", true))
	}, longSplit},
	"three in ten packets lost": {func(r *rig, _, _ string) error {
		return r.LosePeerPackets(r.ctx, 0.3)
	}, shortSplit},
}

func first(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against two dispatchers that together give a cold backend server more
// than its limit, one attempt that is sent twice, and orders that run twice or
// that callers are told wrong things about, while the instances of a data centre
// do not hear each other in one direction or both, with and without the store.
// One engine turns cold each second, the other one each fourth, so that it is
// warm for part of the time. Engines take the work of any epoch, so that nothing
// but the dispatchers keeps the limit.
func TestSplitDataCentre(t *testing.T) {
	for name, split := range splits {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, partitions, func(s *goosefleet.Spec) { s.Services[0].FencingIgnored = true })
			engines := r.BackendsOf(model, "leith")
			// Answers of this length keep a cold engine busy without a pause.
			stop := r.loadOf(48, 300)
			d := r.dispatcher()
			h := &orderHistory{start: time.Now(), told: map[string]int{}}
			one, two := r.InstancesOf("leith")[:1], r.InstancesOf("leith")[1:]
			early := r.orders(h, one, two, "early")
			r.do(split.fault(r, d, r.other(d)))
			r.turnCold(engines...)
			for second := range split.seconds {
				time.Sleep(time.Second)
				r.turnCold(engines[0])
				if second%4 == 3 {
					r.turnCold(engines[1])
				}
			}
			late := r.orders(h, one, two, "late")
			time.Sleep(2 * time.Second)
			r.do(r.CutDataCentre(r.ctx, "leith", false), r.HealPeers(r.ctx))
			r.turnCold(engines...)
			time.Sleep(2 * time.Second)
			answers := stop()
			for _, names := range [][]string{early(), late()} {
				for _, n := range names {
					r.settled(h, r.InstancesOf("leith")[0], n)
				}
				h.check(r, names)
			}
			got := r.engineTotals()
			if got.Overloads != 0 {
				t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
			}
			served := count(answers, answer.served)
			if served == 0 {
				t.Error("got no request served")
			}
			r.eventually("leased dispatchers", time.Minute, func() error { return r.leased("leith") })
			r.servesAll(r.InstancesOf("leith"), "healed")
			t.Logf("%d of %d requests served, %d engine restarts, %d requests above warm limits", served, len(answers), got.Crashes, got.AboveLimit)
		})
	}
}

// Guards against a dispatcher that cancels the streams of instances that it does
// not hear although they serve their callers, as holders of its own permits or of
// those of a former dispatcher.
func TestSplitCutsNoStreams(t *testing.T) {
	for _, name := range []string{"peers cut", "peers cut, dispatcher without the store", "peers cut, both without the store"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, partitions, func(s *goosefleet.Spec) { s.Services[0].Flags = []string{"--scale", "1"} })
			r.warm()
			d := r.dispatcher()
			answers := make(chan answer)
			holders := r.InstancesOf("leith")
			for _, i := range holders {
				go func() { answers <- r.generate(i.Caller, i.Name+" long answer", 1000, 2500) }()
			}
			r.eventually("streams to run", time.Minute, func() error {
				if got := r.engineTotals().Streams; got < len(holders) {
					return errors.Errorf("%d streams run", got)
				}
				return nil
			})
			began := time.Now()
			r.do(splits[name].fault(r, d, r.other(d)))
			for range holders {
				if a := <-answers; !a.served() {
					t.Errorf("got %v, want it served", a)
				}
			}
			// The streams must outlast what a dispatcher waits for a silent holder.
			if lasted := time.Since(began); lasted < 2*goose.HolderTimeout {
				t.Errorf("streams ended after %s, too early for the test", lasted)
			}
			if got := r.engineTotals().Cancelled; got != 0 {
				t.Errorf("got %d cancelled streams, want 0", got)
			}
			r.do(r.CutDataCentre(r.ctx, "leith", false), r.HealPeers(r.ctx))
			r.eventually("engines to be empty", time.Minute, func() error {
				if c := r.engineTotals(); c.Listed != 0 || c.KVUsed != 0 {
					return errors.Errorf("%d streams listed, %d tokens in use", c.Listed, c.KVUsed)
				}
				return nil
			})
		})
	}
}

// turnCold restarts engines, which come back cold.
func (r *rig) turnCold(engines ...*goosefleet.Simulator) {
	r.t.Helper()
	for _, b := range engines {
		r.do(b.SetFault(r.ctx, map[string]any{"cold": true}))
	}
}
