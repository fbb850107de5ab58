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

// partitions lets a test cut instances off from each other.
func partitions(s *goosefleet.Spec) { s.Partitions = true }

// do carries out a step of a fault.
func (r *rig) do(steps ...error) {
	r.t.Helper()
	for _, err := range steps {
		if err != nil {
			r.t.Fatal(err)
		}
	}
}

// cutInstance cuts an instance off from the other instances of its data centre.
func (r *rig) cutInstance(name string, cut func(ctx context.Context, name, other string) error) error {
	i, err := r.Instance(name)
	if err != nil {
		return err
	}
	for _, o := range r.InstancesOf(i.DataCentre) {
		if o == i {
			continue
		}
		if err := cut(r.ctx, name, o.Name); err != nil {
			return err
		}
	}
	return nil
}

// other returns the other instance of a data centre with two.
func (r *rig) other(name string) string {
	for _, i := range r.InstancesOf("leith") {
		if i.Name != name {
			return i.Name
		}
	}
	r.t.Fatalf("%s has no neighbour", name)
	return ""
}

// watchVersions fails the test if the version in force goes back at an
// instance. stop ends it.
func (r *rig) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, i := range r.Instances {
		wg.Go(func() {
			var last int64
			for ctx.Err() == nil {
				if s, err := r.operators[i.Name].Status(ctx); err == nil && s.Version != 0 {
					if s.Version < last {
						r.t.Errorf("%s: got version %d after %d", i.Name, s.Version, last)
					}
					last = s.Version
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// label publishes a label at an instance and returns an error if it was refused.
func (r *rig) label(instance, name string) error {
	_, err := r.OperateAt(r.ctx, instance, "label", "data-centre/leith", name+"=yes", "--wait", "0s")
	return err
}

// hasLabel returns an error while the label is not in force at an instance.
func (r *rig) hasLabel(instance, name string) error {
	c, err := r.operators[instance].Config(r.ctx)
	if err == nil && !strings.Contains(c.Configuration, name+":") {
		err = errors.Errorf("%s: label %s is not in force", instance, name)
	}
	return err
}

// live returns how many members of a data centre an instance hears.
func (r *rig) live(instance, dc string) (int, error) {
	status, err := r.operators[instance].Status(r.ctx)
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

// misses waits until an instance hears nobody of a data centre.
func (r *rig) misses(instance, dc string) {
	r.t.Helper()
	r.eventually(instance+" to miss "+dc, time.Minute, func() error {
		n, err := r.live(instance, dc)
		if err == nil && n != 0 {
			err = errors.Errorf("it hears %d", n)
		}
		return err
	})
}

// servesAll fails the test if an instance does not serve model requests now.
func (r *rig) servesAll(instances []*goosefleet.Instance, name string) {
	r.t.Helper()
	for _, i := range instances {
		for n := range 4 {
			if a := r.generate(i.Caller, fmt.Sprintf("%s-%s-%d", name, i.Name, n), 1500, 16); !a.served() {
				r.t.Errorf("%s, request %d at %s: got %v, want it served", name, n, i.Name, a)
			}
		}
	}
}

// Guards against data centres that stop serving when they cannot reach each
// other, against an accepted change that does not get through to the other side
// or reverts when they meet again, and against a side without the store that
// does not learn of it from its peers after the cut.
func TestDataCentresCutFromEachOther(t *testing.T) {
	r := newRig(t, partitions)
	r.warm()
	stop := r.watchVersions()
	for _, pair := range [][2]string{{"leith", "musselburgh"}, {"leith", "dalkeith"}, {"musselburgh", "dalkeith"}} {
		r.do(r.CutDataCentres(r.ctx, pair[0], pair[1]))
	}
	near, far := r.InstancesOf("leith")[0].Name, r.InstancesOf("musselburgh")[1].Name
	r.misses(near, "musselburgh")
	r.misses(far, "leith")
	r.servesAll(r.Instances, "cut")
	r.do(r.label(near, "near"), r.label(far, "far"))
	for _, i := range r.Instances {
		for _, name := range []string{"near", "far"} {
			r.eventually("change through the store", time.Minute, func() error { return r.hasLabel(i.Name, name) })
		}
	}
	// Without the store the other side can learn of the next change from its
	// peers alone, which it does not reach yet.
	r.do(r.CutDataCentre(r.ctx, "musselburgh", true), r.label(near, "later"))
	r.eventually("change through the store", time.Minute, func() error { return r.hasLabel(r.InstancesOf("dalkeith")[0].Name, "later") })
	if err := r.hasLabel(far, "later"); err == nil {
		t.Errorf("%s has a change that nothing could have brought it", far)
	}
	r.do(r.HealPeers(r.ctx))
	for _, i := range r.Instances {
		r.eventually("change after the cut", time.Minute, func() error { return r.hasLabel(i.Name, "later") })
	}
	r.do(r.CutDataCentre(r.ctx, "musselburgh", false))
	r.eventually("one version everywhere", time.Minute, func() error { return r.oneVersion() })
	for _, name := range []string{"near", "far", "later"} {
		if err := r.hasLabel(far, name); err != nil {
			t.Errorf("a change was lost: %v", err)
		}
	}
	stop()
	r.servesAll(r.Instances, "healed")
}

// Guards against a data centre that stops serving when it reaches neither the
// others nor the platform, against orders that it runs or denies without their
// records, against doubled work, and against one that does not recover.
func TestDataCentreCutFromEverything(t *testing.T) {
	r := newRig(t, partitions)
	r.warm()
	stopVersions := r.watchVersions()
	h := &orderHistory{start: time.Now(), told: map[string]int{}}
	inside, outside := r.InstancesOf("leith"), append(r.InstancesOf("musselburgh"), r.InstancesOf("dalkeith")...)
	before := r.orders(h, inside, outside, "before")
	time.Sleep(100 * time.Millisecond)
	r.do(r.CutDataCentres(r.ctx, "leith", "musselburgh"), r.CutDataCentres(r.ctx, "leith", "dalkeith"), r.CutDataCentre(r.ctx, "leith", true))
	// Longer than the lease, and until both sides count each other as cut off.
	r.misses(inside[0].Name, "dalkeith")
	r.misses(outside[0].Name, "leith")
	r.servesAll(r.Instances, "cut")
	during := r.orders(h, inside, outside, "during")
	if a := r.order(inside[1].Caller, "inside"); a.code != string(goose.CodeStoreUnavailable) || a.run != toldUnknown {
		t.Errorf("order in the data centre that is cut off: got %v, want %s and unknown", a, goose.CodeStoreUnavailable)
	}
	if got := r.executions([]string{"inside"})["inside"]; got != 0 {
		t.Errorf("a refused order was executed %d times", got)
	}
	r.do(r.label(outside[0].Name, "outside"))
	r.do(r.CutDataCentre(r.ctx, "leith", false), r.HealPeers(r.ctx))
	for _, names := range [][]string{before(), during()} {
		for _, n := range names {
			r.settled(h, inside[0], n)
		}
		h.check(r, names)
	}
	r.eventually("order after the cut", time.Minute, func() error {
		if a := r.order(inside[1].Caller, "inside"); !a.served() {
			return errors.Errorf("%v", a)
		}
		return nil
	})
	r.eventually("one version everywhere", time.Minute, func() error { return r.oneVersion() })
	stopVersions()
	r.eventually("leased dispatchers", time.Minute, func() error { return r.leased("leith") })
	r.servesAll(r.Instances, "healed")
	if got := r.engineTotals(); got.Overloads != 0 {
		t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
	}
}

// orders sends orders through an instance of each side at the same time, again
// until they were served, and returns a function that waits for the end and
// returns their names.
func (r *rig) orders(h *orderHistory, one, two []*goosefleet.Instance, prefix string) (wait func() []string) {
	const count, tries = 6, 5
	names := make([]string, count)
	var wg sync.WaitGroup
	for k := range names {
		names[k] = fmt.Sprintf("%s-%d", prefix, k)
		for c, side := range [][]*goosefleet.Instance{one, two} {
			wg.Go(func() {
				for try := range tries {
					if h.call(r, 2*k+c, side[(k+try)%len(side)].Caller, names[k]) == toldServed {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	}
	return func() []string { wg.Wait(); return names }
}

// settled sends an order until it was served or its outcome is unknown for good.
func (r *rig) settled(h *orderHistory, i *goosefleet.Instance, name string) {
	r.t.Helper()
	r.eventually("order "+name, time.Minute, func() error {
		if h.call(r, 1000, i.Caller, name) == toldServed {
			return nil
		}
		a := r.order(i.Caller, name)
		if a.served() || a.code == string(goose.CodeOrderUnknown) {
			return nil
		}
		return errors.Errorf("%v", a)
	})
}

// leased returns an error until the pools of a data centre are held by lease.
func (r *rig) leased(dc string) error {
	held := map[goose.ServiceName]bool{}
	for _, i := range r.InstancesOf(dc) {
		status, err := r.operators[i.Name].Status(r.ctx)
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
	if len(held) < len(r.Services) {
		return errors.Errorf("leased: %v", held)
	}
	return nil
}
