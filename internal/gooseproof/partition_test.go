package gooseproof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// withPartitions lets a test cut instances off from each other.
func withPartitions(s *goosefleet.Spec) { s.Partitions = true }

// must fails the test if a step of a fault has failed.
func (f *testFleet) must(steps ...error) {
	f.t.Helper()
	for _, err := range steps {
		if err != nil {
			f.t.Fatal(err)
		}
	}
}

// cutFromNeighbours applies cut to an instance and each other instance of its data centre.
func (f *testFleet) cutFromNeighbours(name string, cut func(ctx context.Context, name, other string) error) error {
	i, err := f.Instance(name)
	if err != nil {
		return err
	}
	for _, o := range f.InstancesOf(i.DataCentre) {
		if o == i {
			continue
		}
		if err := cut(f.ctx, name, o.Name); err != nil {
			return err
		}
	}
	return nil
}

// neighbour returns the other instance of the data centre leith, which must have two.
func (f *testFleet) neighbour(name string) string {
	for _, i := range f.InstancesOf("leith") {
		if i.Name != name {
			return i.Name
		}
	}
	f.t.Fatalf("%s has no neighbour", name)
	return ""
}

// watchVersions fails the test if the version in force at an instance decreases, until stop
// is called.
func (f *testFleet) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for _, i := range f.Instances {
		wg.Go(func() {
			var last int64
			for ctx.Err() == nil {
				if s, err := f.operators[i.Name].Status(ctx); err == nil && s.Version != 0 {
					if s.Version < last {
						f.t.Errorf("%s: got version %d after %d", i.Name, s.Version, last)
					}
					last = s.Version
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// setLabel publishes a label through an instance and returns an error if it was refused.
func (f *testFleet) setLabel(instance, name string) error {
	_, err := f.RunOperatorCommandAt(f.ctx, instance, "label", "data-centre/leith", name+"=yes", "--wait", "0s")
	return err
}

// checkLabel returns an error while the label is not in force at an instance.
func (f *testFleet) checkLabel(instance, name string) error {
	c, err := f.operators[instance].Config(f.ctx)
	if err == nil && !strings.Contains(c.Configuration, name+":") {
		err = errors.Errorf("%s: label %s is not in force", instance, name)
	}
	return err
}

// liveMembers returns how many members of a data centre are live in an instance's view.
func (f *testFleet) liveMembers(instance, dc string) (int, error) {
	status, err := f.operators[instance].Status(f.ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, m := range status.Members {
		if m.Live && string(m.DataCentre) == dc {
			n++
		}
	}
	return n, nil
}

// waitSilent waits until all members of a data centre are silent in an instance's view.
func (f *testFleet) waitSilent(instance, dc string) {
	f.t.Helper()
	f.eventually(instance+" sees only silent members of "+dc, time.Minute, func() error {
		n, err := f.liveMembers(instance, dc)
		if err == nil && n != 0 {
			err = errors.Errorf("%d members are live", n)
		}
		return err
	})
}

// checkServing fails the test if an instance does not serve model requests now.
func (f *testFleet) checkServing(instances []*goosefleet.Instance, name string) {
	f.t.Helper()
	for _, i := range instances {
		for n := range 4 {
			if res := f.generate(i.Caller, fmt.Sprintf("%s-%s-%d", name, i.Name, n), 1500, 16); !res.served() {
				f.t.Errorf("%s, request %d at %s: got %v, want it served", name, n, i.Name, res)
			}
		}
	}
}

// Guards against data centres that stop serving when a partition separates them, against an
// accepted change that does not reach the other side or is reverted when the partition ends,
// and against a data centre without the store that does not get the change from its peers
// after the partition.
func TestDataCentresCutFromEachOther(t *testing.T) {
	f := newTestFleet(t, withPartitions)
	f.warmUp()
	stop := f.watchVersions()
	for _, pair := range [][2]string{{"leith", "musselburgh"}, {"leith", "dalkeith"}, {"musselburgh", "dalkeith"}} {
		f.must(f.CutPeersOfDataCentres(f.ctx, pair[0], pair[1]))
	}
	near, far := f.InstancesOf("leith")[0].Name, f.InstancesOf("musselburgh")[1].Name
	f.waitSilent(near, "musselburgh")
	f.waitSilent(far, "leith")
	f.checkServing(f.Instances, "cut")
	f.must(f.setLabel(near, "near"), f.setLabel(far, "far"))
	for _, i := range f.Instances {
		for _, name := range []string{"near", "far"} {
			f.eventually("change through the store", time.Minute, func() error { return f.checkLabel(i.Name, name) })
		}
	}
	// Without the store the other side can get the next change only from its peers, which it
	// does not reach yet.
	f.must(f.CutDataCentreFromPlatform(f.ctx, "musselburgh", true), f.setLabel(near, "later"))
	f.eventually("change through the store", time.Minute, func() error { return f.checkLabel(f.InstancesOf("dalkeith")[0].Name, "later") })
	if err := f.checkLabel(far, "later"); err == nil {
		t.Errorf("%s has a change although it reaches neither the store nor its peers", far)
	}
	f.must(f.RestorePeers(f.ctx))
	for _, i := range f.Instances {
		f.eventually("change after the partition", time.Minute, func() error { return f.checkLabel(i.Name, "later") })
	}
	f.must(f.CutDataCentreFromPlatform(f.ctx, "musselburgh", false))
	f.eventually("one version everywhere", time.Minute, func() error { return f.checkSameVersion() })
	for _, name := range []string{"near", "far", "later"} {
		if err := f.checkLabel(far, name); err != nil {
			t.Errorf("a change was lost: %v", err)
		}
	}
	stop()
	f.checkServing(f.Instances, "healed")
}

// Guards against a data centre that stops serving when it reaches neither the other data
// centres nor the platform, against orders that it runs or reports as not run without their
// records in the store, against requests that run twice, and against a data centre that
// does not recover.
func TestDataCentreCutFromEverything(t *testing.T) {
	f := newTestFleet(t, withPartitions)
	f.warmUp()
	stopVersions := f.watchVersions()
	h := &orderHistory{start: time.Now(), outcomes: map[string]int{}}
	inside, outside := f.InstancesOf("leith"), append(f.InstancesOf("musselburgh"), f.InstancesOf("dalkeith")...)
	waitBefore := f.sendOrders(h, inside, outside, "before")
	time.Sleep(100 * time.Millisecond)
	f.must(f.CutPeersOfDataCentres(f.ctx, "leith", "musselburgh"), f.CutPeersOfDataCentres(f.ctx, "leith", "dalkeith"), f.CutDataCentreFromPlatform(f.ctx, "leith", true))
	// The partition must last longer than the lease, and until each side finds the other one
	// silent.
	f.waitSilent(inside[0].Name, "dalkeith")
	f.waitSilent(outside[0].Name, "leith")
	f.checkServing(f.Instances, "cut")
	waitDuring := f.sendOrders(h, inside, outside, "during")
	if res := f.sendOrder(inside[1].Caller, "inside"); res.code != string(goose.CodeStoreUnavailable) || res.run != outcomeUnknown {
		t.Errorf("order in the data centre that is cut off: got %v, want %s and unknown", res, goose.CodeStoreUnavailable)
	}
	if got := f.executions([]string{"inside"})["inside"]; got != 0 {
		t.Errorf("a refused order was executed %d times", got)
	}
	f.must(f.setLabel(outside[0].Name, "outside"))
	f.must(f.CutDataCentreFromPlatform(f.ctx, "leith", false), f.RestorePeers(f.ctx))
	for _, names := range [][]string{waitBefore(), waitDuring()} {
		for _, n := range names {
			f.resolveOrder(h, inside[0], n)
		}
		h.check(f, names)
	}
	f.eventually("order after the partition", time.Minute, func() error {
		if res := f.sendOrder(inside[1].Caller, "inside"); !res.served() {
			return errors.Errorf("%v", res)
		}
		return nil
	})
	f.eventually("one version everywhere", time.Minute, func() error { return f.checkSameVersion() })
	stopVersions()
	f.eventually("leased dispatchers", time.Minute, func() error { return f.checkLeased("leith") })
	f.checkServing(f.Instances, "healed")
	if got := f.engineTotals(); got.Overloads != 0 {
		t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
	}
}

// sendOrders sends each order through an instance of each side at the same time and retries
// it until it is served or the retries are used up. It returns a function that waits for
// the end and returns the names of the orders.
func (f *testFleet) sendOrders(h *orderHistory, sideA, sideB []*goosefleet.Instance, prefix string) (wait func() []string) {
	const count, tries = 6, 5
	names := make([]string, count)
	var wg sync.WaitGroup
	for k := range names {
		names[k] = fmt.Sprintf("%s-%d", prefix, k)
		for c, side := range [][]*goosefleet.Instance{sideA, sideB} {
			wg.Go(func() {
				for try := range tries {
					if h.call(f, 2*k+c, side[(k+try)%len(side)].Caller, names[k]) == outcomeServed {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	}
	return func() []string { wg.Wait(); return names }
}

// resolveOrder retries an order until it is served or its outcome stays unknown.
func (f *testFleet) resolveOrder(h *orderHistory, i *goosefleet.Instance, name string) {
	f.t.Helper()
	f.eventually("order "+name, time.Minute, func() error {
		if h.call(f, 1000, i.Caller, name) == outcomeServed {
			return nil
		}
		res := f.sendOrder(i.Caller, name)
		if res.served() || res.code == string(goose.CodeOrderUnknown) {
			return nil
		}
		return errors.Errorf("%v", res)
	})
}

// checkLeased returns an error until dispatchers hold all pools of a data centre by lease.
func (f *testFleet) checkLeased(dc string) error {
	held := map[goose.ServiceName]bool{}
	for _, i := range f.InstancesOf(dc) {
		status, err := f.operators[i.Name].Status(f.ctx)
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			for _, p := range m.Pools {
				if string(m.Instance) == i.Name && string(p.Pool.DataCentre) == dc && p.Mode == goose.ModeLeased {
					held[p.Pool.Service] = true
				}
			}
		}
	}
	if len(held) < len(f.Services) {
		return errors.Errorf("leased: %v", held)
	}
	return nil
}
