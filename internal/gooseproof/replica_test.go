package gooseproof

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// startLoad sends model requests with short outputs through all instances until stop is
// called, which returns the responses.
func (f *testFleet) startLoad(callers int) (stop func() []response) {
	return f.startLoadOf(callers, 24)
}

// startLoadOf is startLoad with outputs of outputTokens tokens. The requests go through the
// given instances, or through all if none are given.
func (f *testFleet) startLoadOf(callers, outputTokens int, through ...*goosefleet.Instance) (stop func() []response) {
	if len(through) == 0 {
		through = f.Instances
	}
	ctx, cancel := context.WithCancel(f.ctx)
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		all []response
		n   atomic.Int64
	)
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				i := n.Add(1)
				address := through[(c+int(i))%len(through)].Caller
				res := f.generate(address, fmt.Sprintf("load-%d", i), 1000+int(i%7)*500, outputTokens)
				mu.Lock()
				all = append(all, res)
				mu.Unlock()
				if !res.served() {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	return func() []response {
		cancel()
		wg.Wait()
		return all
	}
}

// dispatcher returns the instance that dispatches the model's pool in leith.
func (f *testFleet) dispatcher() string {
	f.t.Helper()
	const dc = "leith"
	var found string
	f.eventually("dispatcher of "+dc, 30*time.Second, func() error {
		for _, i := range f.Instances {
			out, err := f.RunOperatorCommandAt(f.ctx, i.Name, "status", "--output", "json")
			if err != nil {
				continue
			}
			var status struct {
				Members []goose.Member `json:"members"`
			}
			if err := json.Unmarshal([]byte(out), &status); err != nil {
				return err
			}
			for _, m := range status.Members {
				for _, p := range m.Pools {
					if m.Live && p.Pool == (goose.Pool{DataCentre: goose.DataCentre(dc), Service: modelService}) {
						found = string(m.Instance)
						return nil
					}
				}
			}
		}
		return fmt.Errorf("none known")
	})
	return found
}

// Guards against a cold backend server that gets more than its cold limit because a
// dispatcher died, was frozen past its lease, or lost the store, and against replicas that
// stay cold forever. Every engine starts cold and crashes if it gets more than its cold
// limit.
func TestColdLimitHolds(t *testing.T) {
	tests := map[string]struct {
		fault func(f *testFleet) error
	}{
		"no fault": {func(*testFleet) error { return nil }},
		"dispatcher killed": {func(f *testFleet) error {
			return f.Kill(f.dispatcher())
		}},
		"dispatcher frozen past its lease": {func(f *testFleet) error {
			name := f.dispatcher()
			if err := f.Pause(name); err != nil {
				return err
			}
			time.Sleep(6 * time.Second)
			return f.Continue(name)
		}},
		"store down": {func(f *testFleet) error {
			return f.SetStoreFault(f.ctx, map[string]any{"down": true})
		}},
		"dispatcher killed while the store is down": {func(f *testFleet) error {
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": true}); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			return f.Kill(f.dispatcher())
		}},
		"engines restart cold": {func(f *testFleet) error {
			for _, b := range f.BackendsOf(modelService, "leith") {
				if err := b.SetFault(f.ctx, map[string]any{"cold": true}); err != nil {
					return err
				}
			}
			return nil
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			stop := f.startLoad(24)
			time.Sleep(2 * time.Second)
			if err := tt.fault(f); err != nil {
				t.Error(err)
			}
			// Engines that become cold again during the fault would be overloaded by two
			// dispatchers that do not know of each other's permits.
			for _, b := range f.BackendsOf(modelService, "leith") {
				if err := b.SetFault(f.ctx, map[string]any{"cold": true}); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(8 * time.Second)
			responses := stop()
			got := f.engineTotals()
			if got.Overloads != 0 {
				t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
			}
			served := countIf(responses, response.served)
			if served == 0 {
				t.Error("got no request served")
			}
			t.Logf("%d of %d requests served, %d engine restarts", served, len(responses), got.Crashes)
		})
	}
}

func countIf(all []response, is func(response) bool) int {
	n := 0
	for _, res := range all {
		if is(res) {
			n++
		}
	}
	return n
}

// crashCase is a fault during repeated requests that crash their engines.
type crashCase struct {
	// begin injects the fault into the dispatcher of the pool in leith if atDispatcher is
	// true, otherwise into the other instance there. If atSender is true, that instance
	// sends the first crashing request and begin runs right after the first crash;
	// otherwise begin runs before it. end ends the fault before the crashing request is
	// sent through that instance again.
	begin, end             func(*testFleet, *goosefleet.Instance) error
	atDispatcher, atSender bool
}

var (
	killInstance     = func(f *testFleet, i *goosefleet.Instance) error { return f.Kill(i.Name) }
	pauseInstance    = func(f *testFleet, i *goosefleet.Instance) error { return f.Pause(i.Name) }
	continueInstance = func(f *testFleet, i *goosefleet.Instance) error { return f.Continue(i.Name) }
	restartInstance  = func(f *testFleet, i *goosefleet.Instance) error {
		_ = f.Wait(f.ctx, i.Name)
		defer f.waitReady(i)
		return f.StartInstance(f.ctx, i.Name)
	}
)

// Guards against one request that crashes engine after engine because its caller retries
// it through any instance, and against other requests that fail because of these crashes.
// An instance may be dead or frozen between two crashes, so that it does not get the report
// of a crash.
func TestCrashingRequestCrashesTwoReplicas(t *testing.T) {
	for name, c := range map[string]crashCase{
		"no fault":                       {},
		"sender killed":                  {killInstance, restartInstance, false, true},
		"sender frozen":                  {pauseInstance, continueInstance, false, true},
		"dispatcher killed meanwhile":    {killInstance, restartInstance, true, false},
		"dispatcher frozen meanwhile":    {pauseInstance, continueInstance, true, false},
		"another instance killed before": {killInstance, restartInstance, false, false},
		"another instance frozen before": {pauseInstance, continueInstance, false, false},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// Guards against a third crashed replica when the instance that sends the crashing request
// and also dispatches its pool dies or freezes while the second engine runs the request: no
// other instance has a record of which request crashed that engine.
func TestCrashUnseenByDispatcher(t *testing.T) {
	for name, c := range map[string]crashCase{
		"killed": {killInstance, restartInstance, true, true},
		"frozen": {pauseInstance, continueInstance, true, true},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// run sends the crashing request twelve times through the other instances and then three
// times through the instance with the fault. The background load does not go through that
// instance.
func (tt crashCase) run(t *testing.T) {
	// Each crash comes after a second of prefill, so that a fault of the sender comes between
	// two crashes.
	f := newTestFleet(t, func(s *goosefleet.Spec) { s.Services[0].Flags = []string{"--scale", "1"} })
	crash := func(i *goosefleet.Instance) response {
		return f.generate(i.Caller, "CRASH-BACKEND the seal of the founders", 60_000, 16)
	}
	f.warmUp()
	dispatcher := f.dispatcher()
	at := slices.IndexFunc(f.Instances, func(i *goosefleet.Instance) bool {
		return i.DataCentre == "leith" && (i.Name == dispatcher) == tt.atDispatcher
	})
	victim, others := f.Instances[at], slices.Clone(f.Instances)
	if tt.begin != nil {
		others = slices.Delete(others, at, at+1)
	}
	stop := f.startLoadOf(6, 24, others...)
	var wg sync.WaitGroup
	if tt.atSender {
		wg.Go(func() { crash(victim) })
		f.eventually("the first crash", time.Minute, func() error { return checkAtLeast(f.engineTotals().CrashMarkCrashes, 1) })
	}
	if tt.begin != nil {
		defer func(n int) { t.Logf("%d engines had crashed when the fault began", n) }(f.engineTotals().CrashMarkCrashes)
		if err := tt.begin(f, victim); err != nil {
			t.Fatal(err)
		}
	}
	for try := range 12 {
		if res := crash(others[try%len(others)]); res.served() {
			t.Errorf("try %d: got the crashing request served", try)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if tt.end != nil {
		if err := tt.end(f, victim); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		crash(victim)
	}
	wg.Wait()
	responses := stop()
	if got := f.engineTotals().CrashMarkCrashes; got > 2 {
		t.Errorf("got %d crashed engines, want at most 2", got)
	}
	for _, res := range responses {
		if !res.served() && f.ctx.Err() == nil && res.code != string(goose.CodeOverloaded) {
			t.Errorf("a request of the background load failed: %v", res)
		}
	}
}

// removeInstance kills an instance and marks it as removed in the platform's list. While
// the list shows it, its peers must assume that it is only cut off and still serves its
// callers.
func (f *testFleet) removeInstance(name string) error {
	if err := f.Kill(name); err != nil {
		return err
	}
	_ = f.Wait(f.ctx, name)
	return f.SetListState(f.ctx, name, "removed")
}

// Guards against engine memory that is never released when the instance that serves a
// stream dies, when callers disconnect, or when an instance is frozen.
func TestEngineMemoryIsReleased(t *testing.T) {
	tests := map[string]struct {
		fault func(f *testFleet, cancel context.CancelFunc) error
		// deadline is the deadline of the service if only the deadline ends the streams.
		// Zero keeps the default, which is later than the test waits.
		deadline time.Duration
	}{
		"instance killed": {fault: func(f *testFleet, _ context.CancelFunc) error {
			for _, i := range f.InstancesOf("leith") {
				if err := f.removeInstance(i.Name); err != nil {
					return err
				}
			}
			return f.StartInstance(f.ctx, f.InstancesOf("leith")[0].Name)
		}},
		"instance killed, still listed": {func(f *testFleet, _ context.CancelFunc) error {
			return f.Kill(f.InstancesOf("leith")[0].Name)
		}, 20 * time.Second},
		"instance killed while the store is down": {fault: func(f *testFleet, _ context.CancelFunc) error {
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": true}); err != nil {
				return err
			}
			return f.removeInstance(f.InstancesOf("leith")[0].Name)
		}},
		"callers disconnect": {fault: func(_ *testFleet, cancel context.CancelFunc) error {
			cancel()
			return nil
		}},
		"instance frozen": {fault: func(f *testFleet, _ context.CancelFunc) error {
			name := f.InstancesOf("leith")[0].Name
			if err := f.Pause(name); err != nil {
				return err
			}
			time.Sleep(10 * time.Second)
			return f.Continue(name)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, func(s *goosefleet.Spec) {
				s.Services[0].Flags = []string{"--scale", "2"}
				if tt.deadline > 0 {
					s.Services[0].Deadline = tt.deadline
				}
			})
			f.warmUp()
			ctx, cancel := context.WithCancel(f.ctx)
			defer cancel()
			callers := *f
			callers.ctx = ctx
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					address := f.InstancesOf("leith")[i%2].Caller
					callers.generate(address, fmt.Sprintf("long answer %d", i), 4000, 3000)
				}()
			}
			f.eventually("streams to run", 30*time.Second, func() error {
				if got := f.engineTotals().RunningStreams; got < 2 {
					return fmt.Errorf("%d streams run", got)
				}
				return nil
			})
			if err := tt.fault(f, cancel); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			cancel()
			wg.Wait()
			f.eventually("engines to be empty", 60*time.Second, func() error {
				c := f.engineTotals()
				if c.RunningStreams != 0 || c.ListedStreams != 0 || c.KVTokensUsed != 0 || c.KVHandles != 0 {
					return fmt.Errorf("%d streams, %d listed, %d tokens in use, %d handles", c.RunningStreams, c.ListedStreams, c.KVTokensUsed, c.KVHandles)
				}
				return nil
			})
			t.Logf("engines empty %s after the fault", time.Since(began).Round(100*time.Millisecond))
		})
	}
}

// Guards against KV handles that stay on engines forever because the instance that runs a
// giant prompt died or froze between two segments, also while the store is down.
func TestHandlesOfDeadInstanceAreDeleted(t *testing.T) {
	freeze := func(f *testFleet, name string, _ func()) error {
		if err := f.Pause(name); err != nil {
			return err
		}
		// Longer than a lease, and longer than its dispatcher waits for a silent permit
		// holder.
		time.Sleep(10 * time.Second)
		return f.Continue(name)
	}
	kill := func(f *testFleet, name string, _ func()) error { return f.removeInstance(name) }
	tests := map[string]struct {
		storeDown bool
		// deadline is the deadline of the service if only the deadline ends the handles.
		// Zero keeps the default, which is later than the test waits.
		deadline time.Duration
		fault    func(f *testFleet, name string, cancel func()) error
	}{
		"killed": {false, 0, kill},
		"frozen forever, still listed": {false, 30 * time.Second, func(f *testFleet, name string, cancel func()) error {
			// Its caller would wait forever.
			defer cancel()
			return f.Pause(name)
		}},
		"frozen":             {false, 0, freeze},
		"killed, store down": {true, 0, kill},
		"frozen, store down": {true, 0, freeze},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, func(s *goosefleet.Spec) {
				s.Services[0].MemoryTokens, s.Services[0].ColdTokens = 40_000, 40_000
				// A segment takes seconds, so that the fault comes between two segments.
				s.Services[0].Flags = []string{"--scale", "1", "--prefill-rate", "8000"}
				s.Services[0].Replicas = 9
				if tt.deadline > 0 {
					s.Services[0].Deadline = tt.deadline
				}
			})
			victim := f.Instances[0]
			ctx, cancel := context.WithCancel(f.ctx)
			defer cancel()
			caller := *f
			caller.ctx = ctx
			done := make(chan response, 1)
			go func() { done <- caller.generate(victim.Caller, "archive", 90_000, 32) }()
			f.eventually("a handle", time.Minute, func() error { return checkAtLeast(f.engineTotals().KVHandles, 1) })
			if err := f.SetStoreFault(f.ctx, map[string]any{"down": tt.storeDown}); err != nil {
				t.Fatal(err)
			}
			if err := tt.fault(f, victim.Name, cancel); err != nil {
				t.Fatal(err)
			}
			<-done
			f.eventually("engines to be empty", time.Minute, func() error {
				if c := f.engineTotals(); c.KVTokensUsed != 0 || c.KVHandles != 0 || c.ListedStreams != 0 {
					return fmt.Errorf("%d tokens in use, %d handles, %d streams", c.KVTokensUsed, c.KVHandles, c.ListedStreams)
				}
				return nil
			})
		})
	}
}

// Guards against a giant prompt that leaves KV handles behind or whose response is
// truncated.
func TestGiantPromptRunsOverSeveralReplicas(t *testing.T) {
	f := newTestFleet(t, func(s *goosefleet.Spec) {
		s.Services[0].MemoryTokens, s.Services[0].ColdTokens = 40_000, 40_000
		s.Services[0].Flags = []string{"--scale", "20"}
		s.Services[0].Replicas = 9
	})
	f.warmUp()
	f.eventually("giant prompt", time.Minute, func() error {
		res := f.generate(f.Instances[0].Caller, "archive", 90_000, 32)
		if !res.served() {
			return fmt.Errorf("%v %.300s", res, res.body)
		}
		return nil
	})
	tooLong := f.generate(f.Instances[0].Caller, "archive", 1_000_000, 32)
	if tooLong.code != string(goose.CodePromptTooLong) || tooLong.run != outcomeNotRun {
		t.Errorf("a prompt beyond all engines: got %v, want %s", tooLong, goose.CodePromptTooLong)
	}
	f.eventually("engines to be empty", 30*time.Second, func() error {
		if c := f.engineTotals(); c.KVTokensUsed != 0 || c.KVHandles != 0 {
			return fmt.Errorf("%d tokens in use, %d handles", c.KVTokensUsed, c.KVHandles)
		}
		return nil
	})
	var one goosestand.EngineCounters
	if err := f.BackendsOf(modelService, "")[0].Counters(f.ctx, &one); err != nil || one.Process == "" {
		t.Errorf("engine counters: %v", err)
	}
}
