package gooseproof

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// settleTime is the stated bound after which nothing new may start at what is
// leaving. A test asks only whether work starts later than this.
const settleTime = 5 * time.Second

// starts returns how many requests the backend servers have started.
func (r *rig) starts(all []*goosefleet.Simulator) int {
	r.t.Helper()
	n := 0
	for _, b := range all {
		var c struct {
			Started   int `json:"requests-started"`
			Continued int `json:"requests-continued"`
		}
		if err := b.Counters(r.ctx, &c); err != nil {
			r.t.Fatal(err)
		}
		n += c.Started - c.Continued
	}
	return n
}

// Guards against work that goes on reaching a data centre or a backend server
// that operators took out, against requests that are cut by it, and against one
// that gets no work after its return. The change is made while an instance is
// dead, one is frozen, or the relay of the data centre has just died, or just before
// the store fails.
func TestLeaveStopsNewWork(t *testing.T) {
	const dataCentre = "data-centre/leith"
	none := func(*rig) error { return nil }
	killRelay := func(r *rig) error { return r.Kill(r.InstancesOf("leith")[0].Name) }
	freezeDispatcher := func(r *rig) error {
		name := r.dispatcher()
		if err := r.Pause(name); err != nil {
			return err
		}
		time.AfterFunc(6*time.Second, func() { _ = r.Continue(name) })
		return nil
	}
	tests := map[string]struct {
		object string
		fault  func(r *rig) error
		// outage makes the store fail once the change is accepted.
		outage bool
	}{
		"data centre":                       {dataCentre, none, false},
		"backend server":                    {"", none, false},
		"data centre, relay killed":         {dataCentre, killRelay, false},
		"data centre, dispatcher frozen":    {dataCentre, freezeDispatcher, false},
		"data centre, store down":           {dataCentre, none, true},
		"backend server, relay killed":      {"", killRelay, false},
		"backend server, dispatcher frozen": {"", freezeDispatcher, false},
		"backend server, store down":        {"", none, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.warm()
			backends := append(r.BackendsOf(model, "leith"), r.BackendsOf(orders, "leith")...)
			object := tt.object
			if object == "" {
				backends = backends[:1]
				object = "backend-server/" + backends[0].Name
			}
			stop := r.load(12)
			time.Sleep(time.Second)
			if err := tt.fault(r); err != nil {
				t.Error(err)
			}
			// The last instance is in another data centre and not touched.
			operator := r.Instances[len(r.Instances)-1].Name
			if _, err := r.OperateAt(r.ctx, operator, "leave", object, "--wait", "0s"); err != nil {
				t.Errorf("leave: %v", err)
			}
			if err := r.StoreFault(r.ctx, map[string]any{"down": tt.outage}); err != nil {
				t.Error(err)
			}
			time.Sleep(settleTime)
			before := r.starts(backends)
			time.Sleep(4 * time.Second)
			if after := r.starts(backends); after != before {
				t.Errorf("got %d new requests on leaving backend servers, want none", after-before)
			}
			if err := r.StoreFault(r.ctx, map[string]any{"down": false}); err != nil {
				t.Error(err)
			}
			if _, err := r.OperateAt(r.ctx, operator, "return", object, "--wait", "0s"); err != nil {
				t.Errorf("return: %v", err)
			}
			r.eventually("work after the return", 30*time.Second, func() error {
				if r.starts(backends) == before {
					return fmt.Errorf("none yet")
				}
				return nil
			})
			answers := stop()
			cut := count(answers, func(a answer) bool { return a.err == nil && a.status == http.StatusOK && !a.whole })
			if name == "data centre" || name == "backend server" {
				if served := count(answers, answer.served); served != len(answers) {
					t.Errorf("got %d of %d requests served, want all", served, len(answers))
				}
			}
			t.Logf("%d requests, %d served, %d cut", len(answers), count(answers, answer.served), cut)
		})
	}
}

// Guards against planned stops that cut streams, lose orders, or refuse what
// another instance would serve. Each instance in turn is stopped under load and
// started again; callers go to the balancer, as they do in a deployment.
func TestPlannedStopCutsNothing(t *testing.T) {
	r := newRig(t)
	r.warm()
	ctx, cancel := context.WithCancel(r.ctx)
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed []answer
		total  int
	)
	for c := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				var a answer
				if c%4 == 0 {
					a = r.order(r.Balancer.Address, fmt.Sprintf("stop-%d-%d", c, i))
				} else {
					a = r.generate(r.Balancer.Address, fmt.Sprintf("stop-%d-%d", c, i), 1500, 200)
				}
				mu.Lock()
				total++
				// A refusal that says leaving is final and true; what must not
				// happen is an answer that breaks off.
				if !a.served() && a.code != string(goose.CodeLeaving) {
					failed = append(failed, a)
				}
				mu.Unlock()
			}
		}()
	}
	for _, i := range r.Instances {
		time.Sleep(500 * time.Millisecond)
		if err := r.Terminate(i.Name); err != nil {
			t.Fatal(err)
		}
		if err := r.Wait(r.ctx, i.Name); err != nil {
			t.Errorf("%s: got exit %v, want 0", i.Name, err)
		}
		if err := r.StartInstance(r.ctx, i.Name); err != nil {
			t.Fatal(err)
		}
		r.ready(i)
	}
	cancel()
	wg.Wait()
	for _, a := range failed {
		t.Errorf("a request failed during planned stops: %v", a)
	}
	t.Logf("%d requests", total)
}

// Guards against planned stops that break off, lose or double requests, or that
// never end, because another instance of the data centre is dead or frozen or the
// store is down. All calls go through the stopping instance: what the fault costs
// the callers of the other one is not counted.
func TestPlannedStopBesideFaults(t *testing.T) {
	// The first instance of a case dispatches the model's pool of the data centre.
	tests := map[string]struct {
		stopped        int
		killed, frozen []int
		storeDown      bool
		// after is the time from the faults to the stop.
		after time.Duration
	}{
		"dispatcher stopped, second killed":               {killed: []int{1}},
		"dispatcher stopped, third killed":                {killed: []int{2}},
		"dispatcher stopped, all others killed":           {killed: []int{1, 2}},
		"dispatcher killed":                               {stopped: 1, killed: []int{0}},
		"dispatcher stopped, second frozen":               {frozen: []int{1}},
		"dispatcher stopped, third frozen":                {frozen: []int{2}},
		"dispatcher stopped, all others frozen":           {frozen: []int{1, 2}},
		"dispatcher frozen":                               {stopped: 1, frozen: []int{0}},
		"dispatcher frozen past its lease":                {stopped: 1, frozen: []int{0}, after: 6 * time.Second},
		"dispatcher stopped as the store fails":           {storeDown: true},
		"dispatcher stopped without its lease":            {storeDown: true, after: 6 * time.Second},
		"another stopped while the store is down":         {stopped: 1, storeDown: true, after: 6 * time.Second},
		"dispatcher stopped, second frozen, no store":     {storeDown: true, frozen: []int{1}, after: 6 * time.Second},
		"second stopped, dispatcher frozen, and no store": {stopped: 1, storeDown: true, frozen: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(s *goosefleet.Spec) {
				s.DataCentres = []string{"leith", "musselburgh"}
				s.Services[0].Flags = []string{"--scale", "2"}
				s.Services[1].Flags = []string{"--latency", "2s"}
			})
			r.warm()
			members := r.InstancesOf("leith")
			first := r.dispatcher()
			at := slices.IndexFunc(members, func(i *goosefleet.Instance) bool { return i.Name == first })
			members[0], members[at] = members[at], members[0]
			stopped := members[tt.stopped]
			h := (&history{r: r, through: []*goosefleet.Instance{stopped}, patient: true}).start(1, 16)
			r.eventually("all kinds of requests served", time.Minute, func() error { return allServed(h, time.Time{}) })
			fault := func(all []int, do func(string) error) {
				for _, n := range all {
					if err := do(members[n].Name); err != nil {
						t.Fatal(err)
					}
				}
			}
			fault(tt.killed, r.Kill)
			fault(tt.frozen, r.Pause)
			if err := r.StoreFault(r.ctx, map[string]any{"down": tt.storeDown}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(tt.after)
			if err := r.Terminate(stopped.Name); err != nil {
				t.Fatal(err)
			}
			// A balancer notices within the drain-delay.
			time.Sleep(time.Second)
			h.cancel()
			if err := r.Wait(r.ctx, stopped.Name); err != nil {
				t.Errorf("%s: got exit %v, want 0", stopped.Name, err)
			}
			h.wg.Wait()
			fault(tt.frozen, r.Continue)
			if err := r.StoreFault(r.ctx, map[string]any{"down": false}); err != nil {
				t.Fatal(err)
			}
			h.finish()
			h.checkStop(tt.storeDown)
		})
	}
}

// checkStop fails the test for calls that were not served, unless they came too
// late or were new orders without a store, for refused orders that ran, and for
// served ones whose answer is lost. An outcome that the store does not take before
// the instance ends becomes unknown.
func (h *history) checkStop(storeDown bool) {
	h.r.t.Helper()
	elsewhere := h.r.InstancesOf("musselburgh")[0].Caller
	served := map[string]bool{}
	for _, c := range h.calls {
		noStore := storeDown && c.kind == kindOrder && c.code == string(goose.CodeStoreUnavailable)
		late := c.status != http.StatusOK && c.code == string(goose.CodeLeaving) && strings.Contains(c.body, "draining")
		if !c.served() && !noStore && !late {
			h.r.t.Errorf("a request failed during a planned stop: %v", c)
		}
		if c.kind != kindOrder {
			continue
		}
		served[c.name] = served[c.name] || c.served()
		if c.served() && !storeDown {
			path, headers, body := c.request()
			if a := h.r.send(elsewhere, path, c.key, headers, body); !a.served() {
				h.r.t.Errorf("repeat of the served order %s: got %v, want its answer", c.name, a)
			}
		}
	}
	for n, got := range h.r.executions(slices.Collect(maps.Keys(served))) {
		if (got == 1) != served[n] {
			h.r.t.Errorf("order %s: got %d executions, served %t", n, got, served[n])
		}
	}
}

// ready waits until an instance admits requests.
func (r *rig) ready(i *goosefleet.Instance) {
	r.t.Helper()
	r.eventually(i.Name+" ready", 30*time.Second, func() error {
		resp, err := r.client.Get("http://" + i.Operator + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// version returns the configuration version in force at an instance.
func (r *rig) version(name string) (int64, error) {
	out, err := r.OperateAt(r.ctx, name, "status", "--output", "json")
	if err != nil {
		return 0, err
	}
	var status struct {
		Version int64 `json:"version"`
	}
	err = json.Unmarshal([]byte(out), &status)
	return status.Version, err
}

// Guards against an accepted change that is lost or overwritten by a racing
// operator, a version that goes back, also across restarts and store outages,
// and an instance that never catches up.
func TestConfigurationNeverReverts(t *testing.T) {
	const operators, changes = 4, 5
	r := newRig(t)
	ctx, cancel := context.WithCancel(r.ctx)
	var watchers sync.WaitGroup
	for _, i := range r.Instances {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			var last int64
			for ctx.Err() == nil {
				if v, err := r.version(i.Name); err == nil && v != 0 {
					if v < last {
						t.Errorf("%s: got version %d after %d", i.Name, v, last)
					}
					last = v
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		accepted = map[string]bool{}
	)
	for o := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The last two instances are not killed below.
			name := r.Instances[len(r.Instances)-1-o%2].Name
			for c := range changes {
				label := fmt.Sprintf("change-%d-%d", o, c)
				if _, err := r.OperateAt(r.ctx, name, "label", "data-centre/leith", label+"=yes", "--wait", "0s"); err == nil {
					mu.Lock()
					accepted[label] = true
					mu.Unlock()
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	victim := r.Instances[0].Name
	if err := r.Kill(victim); err != nil {
		t.Fatal(err)
	}
	_ = r.Wait(r.ctx, victim)
	// An instance that is frozen meanwhile has changes to catch up with.
	frozen := r.Instances[1].Name
	if err := r.Pause(frozen); err != nil {
		t.Fatal(err)
	}
	if err := r.StoreFault(r.ctx, map[string]any{"down": true}); err != nil {
		t.Fatal(err)
	}
	// The restart finds no store: the newest version must come from peers.
	if err := r.StartInstance(r.ctx, victim); err != nil {
		t.Fatal(err)
	}
	r.ready(r.Instances[0])
	time.Sleep(2 * time.Second)
	if err := r.StoreFault(r.ctx, map[string]any{"down": false}); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := r.Continue(frozen); err != nil {
		t.Fatal(err)
	}
	r.eventually("one version everywhere", time.Minute, func() error { return r.oneVersion() })
	cancel()
	watchers.Wait()
	out, err := r.OperateAt(r.ctx, victim, "get")
	if err != nil {
		t.Fatal(err)
	}
	for label := range accepted {
		if !strings.Contains(out, label+":") {
			t.Errorf("accepted change %s is not in force: %s", label, out)
		}
	}
	t.Logf("%d of %d changes accepted", len(accepted), operators*changes)
}

func (r *rig) oneVersion() error {
	seen := map[int64][]string{}
	for _, i := range r.Instances {
		v, err := r.version(i.Name)
		if err != nil {
			return err
		}
		seen[v] = append(seen[v], i.Name)
	}
	if len(seen) != 1 {
		return fmt.Errorf("versions %v", seen)
	}
	return nil
}

// Guards against a data centre that stops serving when it is cut off from the
// platform, and against orders that it runs without a claim.
func TestDataCentreServesWithoutPlatform(t *testing.T) {
	r := newRig(t)
	r.warm()
	if err := r.CutDataCentre(r.ctx, "leith", true); err != nil {
		t.Fatal(err)
	}
	// Longer than the lease, so that the dispatchers stay by consent.
	time.Sleep(6 * time.Second)
	inside := r.InstancesOf("leith")[0].Caller
	for i := range 10 {
		if a := r.generate(inside, fmt.Sprintf("cut-%d", i), 1500, 16); !a.served() {
			t.Errorf("request %d: got %v, want it served", i, a)
		}
	}
	if a := r.order(inside, "cut-order"); a.code != string(goose.CodeStoreUnavailable) || a.run != toldUnknown {
		t.Errorf("order: got %v, want %s and unknown", a, goose.CodeStoreUnavailable)
	}
	if got := r.executions([]string{"cut-order"})["cut-order"]; got != 0 {
		t.Errorf("a refused order was executed %d times", got)
	}
	if err := r.CutDataCentre(r.ctx, "leith", false); err != nil {
		t.Fatal(err)
	}
	r.eventually("order after the cut", 30*time.Second, func() error {
		if a := r.order(inside, "cut-order"); !a.served() {
			return fmt.Errorf("%v", a)
		}
		return nil
	})
	if got := r.executions([]string{"cut-order"})["cut-order"]; got != 1 {
		t.Errorf("got %d executions, want 1", got)
	}
}
