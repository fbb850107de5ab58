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

// settleTime is the stated bound after which no new request may start on a leaving backend
// server or data centre. The test only checks that no request starts later than this.
const settleTime = 5 * time.Second

// startedRequests returns how many requests the backend servers have started.
func (f *testFleet) startedRequests(backends []*goosefleet.Simulator) int {
	f.t.Helper()
	n := 0
	for _, b := range backends {
		var c struct {
			Started   int `json:"requests-started"`
			Continued int `json:"requests-continued"`
		}
		if err := b.Counters(f.ctx, &c); err != nil {
			f.t.Fatal(err)
		}
		n += c.Started - c.Continued
	}
	return n
}

// Guards against new requests that still reach a data centre or a backend server after an
// operator has taken it out of service, against requests that are cut by this change, and
// against a data centre or backend server that gets no requests after its return. The
// change is made while an instance is dead or frozen, while the relay of the data centre
// has just died, or just before the store fails.
func TestLeaveStopsNewWork(t *testing.T) {
	const dataCentre = "data-centre/leith"
	none := func(*testFleet) error { return nil }
	killRelay := func(f *testFleet) error { return f.Kill(f.InstancesOf("leith")[0].Name) }
	pauseDispatcher := func(f *testFleet) error {
		name := f.dispatcher()
		if err := f.Pause(name); err != nil {
			return err
		}
		time.AfterFunc(6*time.Second, func() { _ = f.Continue(name) })
		return nil
	}
	tests := map[string]struct {
		object string
		fault  func(f *testFleet) error
		// storeDown makes the store fail once the change is accepted.
		storeDown bool
	}{
		"data centre":                       {dataCentre, none, false},
		"backend server":                    {"", none, false},
		"data centre, relay killed":         {dataCentre, killRelay, false},
		"data centre, dispatcher frozen":    {dataCentre, pauseDispatcher, false},
		"data centre, store down":           {dataCentre, none, true},
		"backend server, relay killed":      {"", killRelay, false},
		"backend server, dispatcher frozen": {"", pauseDispatcher, false},
		"backend server, store down":        {"", none, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.warmUp()
			backends := append(f.BackendsOf(modelService, "leith"), f.BackendsOf(orderService, "leith")...)
			object := tt.object
			if object == "" {
				backends = backends[:1]
				object = "backend-server/" + backends[0].Name
			}
			stop := f.startLoad(12)
			time.Sleep(time.Second)
			if err := tt.fault(f); err != nil {
				t.Error(err)
			}
			// The last instance is in another data centre and has no fault.
			operator := f.Instances[len(f.Instances)-1].Name
			if _, err := f.RunOperatorCommandAt(f.ctx, operator, "leave", object, "--wait", "0s"); err != nil {
				t.Errorf("leave: %v", err)
			}
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": tt.storeDown}); err != nil {
				t.Error(err)
			}
			time.Sleep(settleTime)
			before := f.startedRequests(backends)
			time.Sleep(4 * time.Second)
			if after := f.startedRequests(backends); after != before {
				t.Errorf("got %d new requests on leaving backend servers, want none", after-before)
			}
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": false}); err != nil {
				t.Error(err)
			}
			if _, err := f.RunOperatorCommandAt(f.ctx, operator, "return", object, "--wait", "0s"); err != nil {
				t.Errorf("return: %v", err)
			}
			f.eventually("work after the return", 30*time.Second, func() error {
				if f.startedRequests(backends) == before {
					return fmt.Errorf("none yet")
				}
				return nil
			})
			responses := stop()
			cut := countIf(responses, func(res response) bool { return res.err == nil && res.status == http.StatusOK && !res.complete })
			if name == "data centre" || name == "backend server" {
				if served := countIf(responses, response.served); served != len(responses) {
					t.Errorf("got %d of %d requests served, want all", served, len(responses))
				}
			}
			t.Logf("%d requests, %d served, %d cut", len(responses), countIf(responses, response.served), cut)
		})
	}
}

// Guards against graceful shutdowns that cut streams, lose orders, or refuse requests that
// another instance would serve. Each instance in turn is stopped under load and started
// again; callers connect to the load balancer, as they do in a deployment.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	f := newTestFleet(t)
	f.warmUp()
	ctx, cancel := context.WithCancel(f.ctx)
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed []response
		total  int
	)
	for c := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				var res response
				if c%4 == 0 {
					res = f.sendOrder(f.Balancer.Address, fmt.Sprintf("stop-%d-%d", c, i))
				} else {
					res = f.generate(f.Balancer.Address, fmt.Sprintf("stop-%d-%d", c, i), 1500, 200)
				}
				mu.Lock()
				total++
				// A refusal with the code leaving is correct. A response must
				// not break off.
				if !res.served() && res.code != string(goose.CodeLeaving) {
					failed = append(failed, res)
				}
				mu.Unlock()
			}
		}()
	}
	for _, i := range f.Instances {
		time.Sleep(500 * time.Millisecond)
		if err := f.Terminate(i.Name); err != nil {
			t.Fatal(err)
		}
		if err := f.Wait(f.ctx, i.Name); err != nil {
			t.Errorf("%s: got exit %v, want 0", i.Name, err)
		}
		if err := f.StartInstance(f.ctx, i.Name); err != nil {
			t.Fatal(err)
		}
		f.waitReady(i)
	}
	cancel()
	wg.Wait()
	for _, res := range failed {
		t.Errorf("a request failed during graceful shutdowns: %v", res)
	}
	t.Logf("%d requests", total)
}

// Guards against graceful shutdowns that break off, lose or duplicate requests, or that
// never end, because another instance of the data centre is dead or frozen or the store is
// down. All calls go through the stopping instance, so requests that fail at the other
// instances because of the fault are not counted.
func TestGracefulShutdownDuringFaults(t *testing.T) {
	// Instance 0 of each case dispatches the model's pool of the data centre.
	tests := map[string]struct {
		stopped        int
		killed, frozen []int
		storeDown      bool
		// after is the time from the faults to the shutdown.
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
			f := newTestFleet(t, func(s *goosefleet.Spec) {
				s.DataCentres = []string{"leith", "musselburgh"}
				s.Services[0].Flags = []string{"--scale", "2"}
				s.Services[1].Flags = []string{"--latency", "2s"}
			})
			f.warmUp()
			members := f.InstancesOf("leith")
			first := f.dispatcher()
			at := slices.IndexFunc(members, func(i *goosefleet.Instance) bool { return i.Name == first })
			members[0], members[at] = members[at], members[0]
			stopped := members[tt.stopped]
			h := (&history{fleet: f, instances: []*goosefleet.Instance{stopped}, longCalls: true}).startCallers(1, 16)
			f.eventually("all kinds of requests served", time.Minute, func() error { return checkAllKindsServed(h, time.Time{}) })
			fault := func(all []int, do func(string) error) {
				for _, n := range all {
					if err := do(members[n].Name); err != nil {
						t.Fatal(err)
					}
				}
			}
			fault(tt.killed, f.Kill)
			fault(tt.frozen, f.Pause)
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": tt.storeDown}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(tt.after)
			if err := f.Terminate(stopped.Name); err != nil {
				t.Fatal(err)
			}
			// A load balancer stops sending requests within the drain delay.
			time.Sleep(time.Second)
			h.cancel()
			if err := f.Wait(f.ctx, stopped.Name); err != nil {
				t.Errorf("%s: got exit %v, want 0", stopped.Name, err)
			}
			h.wg.Wait()
			fault(tt.frozen, f.Continue)
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": false}); err != nil {
				t.Fatal(err)
			}
			h.finish()
			h.checkShutdown(tt.storeDown)
		})
	}
}

// checkShutdown fails the test for calls that were not served, for refused orders that
// ran, and for served orders whose answer is lost. Calls that arrived after the instance
// began to drain may be refused, and so may new orders while the store is down. An outcome
// that the store does not accept before the instance exits becomes unknown.
func (h *history) checkShutdown(storeDown bool) {
	h.fleet.t.Helper()
	remoteCaller := h.fleet.InstancesOf("musselburgh")[0].Caller
	served := map[string]bool{}
	for _, c := range h.calls {
		noStore := storeDown && c.kind == kindOrder && c.code == string(goose.CodeStoreUnavailable)
		late := c.status != http.StatusOK && c.code == string(goose.CodeLeaving) && strings.Contains(c.body, "draining")
		if !c.served() && !noStore && !late {
			h.fleet.t.Errorf("a request failed during a graceful shutdown: %v", c)
		}
		if c.kind != kindOrder {
			continue
		}
		served[c.name] = served[c.name] || c.served()
		if c.served() && !storeDown {
			path, headers, body := c.request()
			if res := h.fleet.send(remoteCaller, path, c.key, headers, body); !res.served() {
				h.fleet.t.Errorf("retry of the served order %s: got %v, want its answer", c.name, res)
			}
		}
	}
	for n, got := range h.fleet.executions(slices.Collect(maps.Keys(served))) {
		if (got == 1) != served[n] {
			h.fleet.t.Errorf("order %s: got %d executions, served %t", n, got, served[n])
		}
	}
}

// waitReady waits until an instance admits requests.
func (f *testFleet) waitReady(i *goosefleet.Instance) {
	f.t.Helper()
	f.eventually(i.Name+" ready", 30*time.Second, func() error {
		resp, err := f.client.Get("http://" + i.Operator + "/readyz")
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

// versionAt returns the configuration version in force at an instance.
func (f *testFleet) versionAt(name string) (int64, error) {
	out, err := f.RunOperatorCommandAt(f.ctx, name, "status", "--output", "json")
	if err != nil {
		return 0, err
	}
	var status struct {
		Version int64 `json:"version"`
	}
	err = json.Unmarshal([]byte(out), &status)
	return status.Version, err
}

// Guards against an accepted change that is lost or overwritten by a concurrent operator,
// against a version that decreases, also across restarts and store outages, and against an
// instance that never gets the newest version.
func TestConfigurationNeverReverts(t *testing.T) {
	const operators, changes = 4, 5
	f := newTestFleet(t)
	ctx, cancel := context.WithCancel(f.ctx)
	var watchers sync.WaitGroup
	for _, i := range f.Instances {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			var last int64
			for ctx.Err() == nil {
				if v, err := f.versionAt(i.Name); err == nil && v != 0 {
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
			name := f.Instances[len(f.Instances)-1-o%2].Name
			for c := range changes {
				label := fmt.Sprintf("change-%d-%d", o, c)
				if _, err := f.RunOperatorCommandAt(f.ctx, name, "label", "data-centre/leith", label+"=yes", "--wait", "0s"); err == nil {
					mu.Lock()
					accepted[label] = true
					mu.Unlock()
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	victim := f.Instances[0].Name
	if err := f.Kill(victim); err != nil {
		t.Fatal(err)
	}
	_ = f.Wait(f.ctx, victim)
	// A frozen instance misses changes, which it must get later.
	frozen := f.Instances[1].Name
	if err := f.Pause(frozen); err != nil {
		t.Fatal(err)
	}
	if err := f.SetStoreFault(f.ctx, map[string]any{"down": true}); err != nil {
		t.Fatal(err)
	}
	// The store is down at the restart, so the newest version must come from peers.
	if err := f.StartInstance(f.ctx, victim); err != nil {
		t.Fatal(err)
	}
	f.waitReady(f.Instances[0])
	time.Sleep(2 * time.Second)
	if err := f.SetStoreFault(f.ctx, map[string]any{"down": false}); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := f.Continue(frozen); err != nil {
		t.Fatal(err)
	}
	f.eventually("one version everywhere", time.Minute, func() error { return f.checkSameVersion() })
	cancel()
	watchers.Wait()
	out, err := f.RunOperatorCommandAt(f.ctx, victim, "get")
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

func (f *testFleet) checkSameVersion() error {
	seen := map[int64][]string{}
	for _, i := range f.Instances {
		v, err := f.versionAt(i.Name)
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

// Guards against a data centre that stops serving when it is cut off from the platform,
// and against orders that it runs without a record of its claim in the store.
func TestDataCentreServesWithoutPlatform(t *testing.T) {
	f := newTestFleet(t)
	f.warmUp()
	if err := f.CutDataCentreFromPlatform(f.ctx, "leith", true); err != nil {
		t.Fatal(err)
	}
	// Longer than the lease, so that the dispatchers keep their pools by the consent of
	// their peers.
	time.Sleep(6 * time.Second)
	inside := f.InstancesOf("leith")[0].Caller
	for i := range 10 {
		if res := f.generate(inside, fmt.Sprintf("cut-%d", i), 1500, 16); !res.served() {
			t.Errorf("request %d: got %v, want it served", i, res)
		}
	}
	if res := f.sendOrder(inside, "cut-order"); res.code != string(goose.CodeStoreUnavailable) || res.run != outcomeUnknown {
		t.Errorf("order: got %v, want %s and unknown", res, goose.CodeStoreUnavailable)
	}
	if got := f.executions([]string{"cut-order"})["cut-order"]; got != 0 {
		t.Errorf("a refused order was executed %d times", got)
	}
	if err := f.CutDataCentreFromPlatform(f.ctx, "leith", false); err != nil {
		t.Fatal(err)
	}
	f.eventually("order after the partition", 30*time.Second, func() error {
		if res := f.sendOrder(inside, "cut-order"); !res.served() {
			return fmt.Errorf("%v", res)
		}
		return nil
	})
	if got := f.executions([]string{"cut-order"})["cut-order"]; got != 1 {
		t.Errorf("got %d executions, want 1", got)
	}
}
