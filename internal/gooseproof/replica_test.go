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

// load sends short model requests through all instances until stop is called,
// which returns the answers.
func (r *rig) load(callers int) (stop func() []answer) { return r.loadOf(callers, 24) }

// loadOf is load with answers of so many tokens, through some instances if any
// are given.
func (r *rig) loadOf(callers, outputTokens int, through ...*goosefleet.Instance) (stop func() []answer) {
	if len(through) == 0 {
		through = r.Instances
	}
	ctx, cancel := context.WithCancel(r.ctx)
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		all []answer
		n   atomic.Int64
	)
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				i := n.Add(1)
				address := through[(c+int(i))%len(through)].Caller
				a := r.generate(address, fmt.Sprintf("load-%d", i), 1000+int(i%7)*500, outputTokens)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if !a.served() {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	return func() []answer {
		cancel()
		wg.Wait()
		return all
	}
}

// dispatcher returns the instance that dispatches the model's pool in leith.
func (r *rig) dispatcher() string {
	r.t.Helper()
	const dc = "leith"
	var found string
	r.eventually("dispatcher of "+dc, 30*time.Second, func() error {
		for _, i := range r.Instances {
			out, err := r.OperateAt(r.ctx, i.Name, "status", "--output", "json")
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
					if m.Live && p.Pool == (goose.Pool{DataCentre: goose.DataCentre(dc), Service: model}) {
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

// Guards against a cold backend server that gets more than its cold limit
// because a dispatcher died, was frozen past its lease, or lost the store, and
// against replicas that stay cold for ever. Every engine starts cold and crashes
// when given more than it bears.
func TestColdLimitHolds(t *testing.T) {
	tests := map[string]struct {
		fault func(r *rig) error
	}{
		"no fault": {func(*rig) error { return nil }},
		"dispatcher killed": {func(r *rig) error {
			return r.Kill(r.dispatcher())
		}},
		"dispatcher frozen past its lease": {func(r *rig) error {
			name := r.dispatcher()
			if err := r.Pause(name); err != nil {
				return err
			}
			time.Sleep(6 * time.Second)
			return r.Continue(name)
		}},
		"store down": {func(r *rig) error {
			return r.StoreFault(r.ctx, map[string]any{"down": true})
		}},
		"dispatcher killed while the store is down": {func(r *rig) error {
			if err := r.StoreFault(r.ctx, map[string]any{"down": true}); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			return r.Kill(r.dispatcher())
		}},
		"engines restart cold": {func(r *rig) error {
			for _, b := range r.BackendsOf(model, "leith") {
				if err := b.SetFault(r.ctx, map[string]any{"cold": true}); err != nil {
					return err
				}
			}
			return nil
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			stop := r.load(24)
			time.Sleep(2 * time.Second)
			if err := tt.fault(r); err != nil {
				t.Error(err)
			}
			// New cold turns under the fault make the takeover matter.
			for _, b := range r.BackendsOf(model, "leith") {
				if err := b.SetFault(r.ctx, map[string]any{"cold": true}); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(8 * time.Second)
			answers := stop()
			got := r.engineTotals()
			if got.Overloads != 0 {
				t.Errorf("got %d overloaded cold engines, want 0", got.Overloads)
			}
			served := count(answers, answer.served)
			if served == 0 {
				t.Error("got no request served")
			}
			t.Logf("%d of %d requests served, %d engine restarts", served, len(answers), got.Crashes)
		})
	}
}

func count(all []answer, is func(answer) bool) int {
	n := 0
	for _, a := range all {
		if is(a) {
			n++
		}
	}
	return n
}

// crashCase is a fault beside a request that crashes its engines.
type crashCase struct {
	// begin is done to the dispatcher of the pool in leith or to the other
	// instance there, before the first crash or, if it sends the request, at once
	// after it; end before the request is sent through that instance again.
	begin, end         func(*rig, *goosefleet.Instance) error
	dispatcher, sender bool
}

var (
	killInstance  = func(r *rig, i *goosefleet.Instance) error { return r.Kill(i.Name) }
	pauseInstance = func(r *rig, i *goosefleet.Instance) error { return r.Pause(i.Name) }
	goOn          = func(r *rig, i *goosefleet.Instance) error { return r.Continue(i.Name) }
	startAgain    = func(r *rig, i *goosefleet.Instance) error {
		_ = r.Wait(r.ctx, i.Name)
		defer r.ready(i)
		return r.StartInstance(r.ctx, i.Name)
	}
)

// Guards against one request that brings down engine after engine because its
// caller sends it again, through whatever instance, and against innocent
// requests that are lost beside it, also while an instance is dead or frozen
// between two crashes or does not hear of them.
func TestCrashingRequestCostsTwoReplicas(t *testing.T) {
	for name, c := range map[string]crashCase{
		"no fault":                       {},
		"sender killed":                  {killInstance, startAgain, false, true},
		"sender frozen":                  {pauseInstance, goOn, false, true},
		"dispatcher killed meanwhile":    {killInstance, startAgain, true, false},
		"dispatcher frozen meanwhile":    {pauseInstance, goOn, true, false},
		"another instance killed before": {killInstance, startAgain, false, false},
		"another instance frozen before": {pauseInstance, goOn, false, false},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// Guards against a third lost replica because the instance that sends the request
// and dispatches its pool dies or freezes while the second engine runs it: nobody
// else knows what crashed that engine.
func TestCrashUnseenByDispatcher(t *testing.T) {
	for name, c := range map[string]crashCase{
		"killed": {killInstance, startAgain, true, true},
		"frozen": {pauseInstance, goOn, true, true},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// run sends the request twelve times through other instances and then through the
// one with the fault. The load beside it does not go through that one.
func (tt crashCase) run(t *testing.T) {
	// Each crash comes after a second of prefill, so that the fault of a sender
	// comes between two of them.
	r := newRig(t, func(s *goosefleet.Spec) { s.Services[0].Flags = []string{"--scale", "1"} })
	crash := func(i *goosefleet.Instance) answer {
		return r.generate(i.Caller, "CRASH-BACKEND the seal of the founders", 60_000, 16)
	}
	r.warm()
	dispatcher := r.dispatcher()
	at := slices.IndexFunc(r.Instances, func(i *goosefleet.Instance) bool {
		return i.DataCentre == "leith" && (i.Name == dispatcher) == tt.dispatcher
	})
	victim, others := r.Instances[at], slices.Clone(r.Instances)
	if tt.begin != nil {
		others = slices.Delete(others, at, at+1)
	}
	stop := r.loadOf(6, 24, others...)
	var wg sync.WaitGroup
	if tt.sender {
		wg.Go(func() { crash(victim) })
		r.eventually("the first crash", time.Minute, func() error { return atLeast(r.engineTotals().MarkedCrashes, 1) })
	}
	if tt.begin != nil {
		defer func(n int) { t.Logf("%d engines had crashed when the fault began", n) }(r.engineTotals().MarkedCrashes)
		if err := tt.begin(r, victim); err != nil {
			t.Fatal(err)
		}
	}
	for try := range 12 {
		if a := crash(others[try%len(others)]); a.served() {
			t.Errorf("try %d: got the crashing request served", try)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if tt.end != nil {
		if err := tt.end(r, victim); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		crash(victim)
	}
	wg.Wait()
	answers := stop()
	if got := r.engineTotals().MarkedCrashes; got > 2 {
		t.Errorf("got %d crashed engines, want at most 2", got)
	}
	for _, a := range answers {
		if !a.served() && r.ctx.Err() == nil && a.code != string(goose.CodeOverloaded) {
			t.Errorf("an innocent request failed: %v", a)
		}
	}
}

// gone kills an instance, and takes it off the platform's list: while that shows
// it, it may be cut off alone and serve its callers.
func (r *rig) gone(name string) error {
	if err := r.Kill(name); err != nil {
		return err
	}
	_ = r.Wait(r.ctx, name)
	return r.SetListed(r.ctx, name, "removed")
}

// Guards against engine memory that is never returned when the instance that
// serves a stream dies, when callers vanish, or when an instance is frozen.
func TestEngineMemoryReturns(t *testing.T) {
	tests := map[string]struct {
		fault func(r *rig, cancel context.CancelFunc) error
		// deadline of the service, if it is what ends the streams; otherwise it is
		// later than the test waits.
		deadline time.Duration
	}{
		"instance killed": {fault: func(r *rig, _ context.CancelFunc) error {
			for _, i := range r.InstancesOf("leith") {
				if err := r.gone(i.Name); err != nil {
					return err
				}
			}
			return r.StartInstance(r.ctx, r.InstancesOf("leith")[0].Name)
		}},
		"instance killed, still listed": {func(r *rig, _ context.CancelFunc) error {
			return r.Kill(r.InstancesOf("leith")[0].Name)
		}, 20 * time.Second},
		"instance killed while the store is down": {fault: func(r *rig, _ context.CancelFunc) error {
			if err := r.StoreFault(r.ctx, map[string]any{"down": true}); err != nil {
				return err
			}
			return r.gone(r.InstancesOf("leith")[0].Name)
		}},
		"callers vanish": {fault: func(_ *rig, cancel context.CancelFunc) error {
			cancel()
			return nil
		}},
		"instance frozen": {fault: func(r *rig, _ context.CancelFunc) error {
			name := r.InstancesOf("leith")[0].Name
			if err := r.Pause(name); err != nil {
				return err
			}
			time.Sleep(10 * time.Second)
			return r.Continue(name)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(s *goosefleet.Spec) {
				s.Services[0].Flags = []string{"--scale", "2"}
				if tt.deadline > 0 {
					s.Services[0].Deadline = tt.deadline
				}
			})
			r.warm()
			ctx, cancel := context.WithCancel(r.ctx)
			defer cancel()
			callers := *r
			callers.ctx = ctx
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					address := r.InstancesOf("leith")[i%2].Caller
					callers.generate(address, fmt.Sprintf("long answer %d", i), 4000, 3000)
				}()
			}
			r.eventually("streams to run", 30*time.Second, func() error {
				if got := r.engineTotals().Streams; got < 2 {
					return fmt.Errorf("%d streams run", got)
				}
				return nil
			})
			if err := tt.fault(r, cancel); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			cancel()
			wg.Wait()
			r.eventually("engines to be empty", 60*time.Second, func() error {
				c := r.engineTotals()
				if c.Streams != 0 || c.Listed != 0 || c.KVUsed != 0 || c.Exports != 0 {
					return fmt.Errorf("%d streams, %d listed, %d tokens in use, %d handles", c.Streams, c.Listed, c.KVUsed, c.Exports)
				}
				return nil
			})
			t.Logf("engines empty %s after the fault", time.Since(began).Round(100*time.Millisecond))
		})
	}
}

// Guards against KV handles that stay on engines for ever because the instance
// that runs a giant prompt died or froze between two segments, also while the
// store is down.
func TestHandlesOfDeadInstanceAreDeleted(t *testing.T) {
	freeze := func(r *rig, name string, _ func()) error {
		if err := r.Pause(name); err != nil {
			return err
		}
		// Longer than a lease, and than its dispatcher waits for a silent holder.
		time.Sleep(10 * time.Second)
		return r.Continue(name)
	}
	kill := func(r *rig, name string, _ func()) error { return r.gone(name) }
	tests := map[string]struct {
		storeDown bool
		// deadline of the service, if it is what ends the handles; otherwise it is
		// later than the test waits.
		deadline time.Duration
		fault    func(r *rig, name string, cancel func()) error
	}{
		"killed": {false, 0, kill},
		"frozen for ever, still listed": {false, 30 * time.Second, func(r *rig, name string, cancel func()) error {
			// Its caller would wait for ever.
			defer cancel()
			return r.Pause(name)
		}},
		"frozen":             {false, 0, freeze},
		"killed, store down": {true, 0, kill},
		"frozen, store down": {true, 0, freeze},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(s *goosefleet.Spec) {
				s.Services[0].MemoryTokens, s.Services[0].ColdTokens = 40_000, 40_000
				// Segments take seconds, so that the fault comes between two of them.
				s.Services[0].Flags = []string{"--scale", "1", "--prefill-rate", "8000"}
				s.Services[0].Replicas = 9
				if tt.deadline > 0 {
					s.Services[0].Deadline = tt.deadline
				}
			})
			victim := r.Instances[0]
			ctx, cancel := context.WithCancel(r.ctx)
			defer cancel()
			caller := *r
			caller.ctx = ctx
			done := make(chan answer, 1)
			go func() { done <- caller.generate(victim.Caller, "archive", 90_000, 32) }()
			r.eventually("a handle", time.Minute, func() error { return atLeast(r.engineTotals().Exports, 1) })
			if err := r.StoreFault(r.ctx, map[string]any{"down": tt.storeDown}); err != nil {
				t.Fatal(err)
			}
			if err := tt.fault(r, victim.Name, cancel); err != nil {
				t.Fatal(err)
			}
			<-done
			r.eventually("engines to be empty", time.Minute, func() error {
				if c := r.engineTotals(); c.KVUsed != 0 || c.Exports != 0 || c.Listed != 0 {
					return fmt.Errorf("%d tokens in use, %d handles, %d streams", c.KVUsed, c.Exports, c.Listed)
				}
				return nil
			})
		})
	}
}

// Guards against a giant prompt that leaves KV handles behind or comes back cut.
func TestGiantPromptRunsOverSeveralReplicas(t *testing.T) {
	r := newRig(t, func(s *goosefleet.Spec) {
		s.Services[0].MemoryTokens, s.Services[0].ColdTokens = 40_000, 40_000
		s.Services[0].Flags = []string{"--scale", "20"}
		s.Services[0].Replicas = 9
	})
	r.warm()
	r.eventually("giant prompt", time.Minute, func() error {
		a := r.generate(r.Instances[0].Caller, "archive", 90_000, 32)
		if !a.served() {
			return fmt.Errorf("%v %.300s", a, a.body)
		}
		return nil
	})
	tooLong := r.generate(r.Instances[0].Caller, "archive", 1_000_000, 32)
	if tooLong.code != string(goose.CodePromptTooLong) || tooLong.run != toldNotRun {
		t.Errorf("a prompt beyond all engines: got %v, want %s", tooLong, goose.CodePromptTooLong)
	}
	r.eventually("engines to be empty", 30*time.Second, func() error {
		if c := r.engineTotals(); c.KVUsed != 0 || c.Exports != 0 {
			return fmt.Errorf("%d tokens in use, %d handles", c.KVUsed, c.Exports)
		}
		return nil
	})
	var one goosestand.EngineCounters
	if err := r.BackendsOf(model, "")[0].Counters(r.ctx, &one); err != nil || one.Process == "" {
		t.Errorf("engine counters: %v", err)
	}
}
