package gooseproof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// outage is a fault with a beginning and an end.
type outage struct {
	begin, end func(f *testFleet, h *history) error
	// minDuration is the least time between begin and end.
	minDuration time.Duration
}

// combine returns an outage that begins the given ones in order and ends them in reverse
// order.
func combine(all ...outage) outage {
	o := outage{
		begin: func(f *testFleet, h *history) error {
			return forEach(all, func(o outage) error { return o.begin(f, h) })
		},
		end: func(f *testFleet, h *history) error {
			back := slices.Clone(all)
			slices.Reverse(back)
			return forEach(back, func(o outage) error { return o.end(f, h) })
		},
	}
	for _, a := range all {
		o.minDuration = max(o.minDuration, a.minDuration)
	}
	return o
}

func forEach[T any](all []T, do func(T) error) error {
	for _, a := range all {
		if err := do(a); err != nil {
			return err
		}
	}
	return nil
}

// targets returns one backend server of each service in each of two data centres.
func (f *testFleet) targets(services ...string) []*goosefleet.Simulator {
	var all []*goosefleet.Simulator
	for _, s := range services {
		all = append(all, f.BackendsOf(s, "leith")[0], f.BackendsOf(s, "musselburgh")[0])
	}
	return all
}

// killBackends returns an outage that kills backend servers and starts them again as new
// processes.
func killBackends(services ...string) outage {
	return outage{
		begin: func(f *testFleet, _ *history) error {
			return forEach(f.targets(services...), func(b *goosefleet.Simulator) error { return f.Kill(b.Name) })
		},
		end: func(f *testFleet, _ *history) error {
			return forEach(f.targets(services...), func(b *goosefleet.Simulator) error {
				_ = f.Wait(f.ctx, b.Name)
				return f.StartBackend(f.ctx, b.Name)
			})
		},
		minDuration: 2 * time.Second,
	}
}

// freezeBackends returns an outage that pauses backend servers; their connections stay open.
func freezeBackends(services ...string) outage {
	return outage{
		begin: func(f *testFleet, _ *history) error {
			return forEach(f.targets(services...), func(b *goosefleet.Simulator) error { return f.Pause(b.Name) })
		},
		end: func(f *testFleet, _ *history) error {
			return forEach(f.targets(services...), func(b *goosefleet.Simulator) error { return f.Continue(b.Name) })
		},
		minDuration: 3 * time.Second,
	}
}

// backendFaults returns an outage that sets the fault switches of all backend servers of a
// service.
func backendFaults(service string, faults map[string]any) outage {
	return outage{
		begin: func(f *testFleet, _ *history) error {
			return forEach(f.BackendsOf(service, ""), func(b *goosefleet.Simulator) error { return b.SetFault(f.ctx, faults) })
		},
		end: func(f *testFleet, _ *history) error {
			return forEach(f.BackendsOf(service, ""), func(b *goosefleet.Simulator) error { return b.ClearFaults(f.ctx) })
		},
		minDuration: 3 * time.Second,
	}
}

// freezeDispatcher returns an outage that pauses the dispatcher for longer than its lease.
func freezeDispatcher() outage {
	var name string
	return outage{
		begin: func(f *testFleet, h *history) error {
			name = f.dispatcher()
			h.markStopped(name)
			return f.Pause(name)
		},
		end: func(f *testFleet, h *history) error {
			defer h.markResumed(name)
			return f.Continue(name)
		},
		minDuration: 6 * time.Second,
	}
}

// killDispatcher returns an outage that kills the dispatcher and starts it again.
func killDispatcher() outage {
	var name string
	return outage{
		begin: func(f *testFleet, h *history) error {
			name = f.dispatcher()
			h.markStopped(name)
			return f.Kill(name)
		},
		end: func(f *testFleet, h *history) error {
			defer h.markResumed(name)
			_ = f.Wait(f.ctx, name)
			if err := f.StartInstance(f.ctx, name); err != nil {
				return err
			}
			i, err := f.Instance(name)
			if err == nil {
				f.waitReady(i)
			}
			return err
		},
		minDuration: 3 * time.Second,
	}
}

// storeOutage returns an outage that makes the store unreachable for longer than the leases.
func storeOutage() outage {
	return outage{
		begin:       func(f *testFleet, _ *history) error { return f.SetStoreFault(f.ctx, map[string]any{"down": true}) },
		end:         func(f *testFleet, _ *history) error { return f.SetStoreFault(f.ctx, map[string]any{"down": false}) },
		minDuration: 5 * time.Second,
	}
}

// frameFaults are fault switches with which engines send wrong, late or repeated frames.
var frameFaults = map[string]any{
	"cross": 0.1, "cross-end": 0.05, "repeat": 0.1, "late": 0.1, "swap": 0.01, "hold": "20ms",
}

// runUnderOutage runs a load during an outage and checks every call of its history.
func runUnderOutage(t *testing.T, o outage) {
	const seed, callers = 1, 24
	f := newTestFleet(t, func(s *goosefleet.Spec) {
		for i := range s.Services {
			s.Services[i].OwnProcess = true
		}
		// Responses take up to two seconds, so that the faults occur while they run.
		s.Services[0].Flags = []string{"--scale", "2"}
	})
	f.warmUp()
	h := f.startHistory(seed, callers)
	f.eventually("all kinds of requests served", time.Minute, func() error { return checkAllKindsServed(h, time.Time{}) })
	if err := o.begin(f, h); err != nil {
		t.Fatal(err)
	}
	time.Sleep(o.minDuration)
	// Calls that are in flight now must end while the fault lasts.
	h.waitInFlight()
	if err := o.end(f, h); err != nil {
		t.Fatal(err)
	}
	ended := time.Now()
	f.eventually("all kinds of requests served after the fault", time.Minute, func() error { return checkAllKindsServed(h, ended) })
	h.finish()
}

func checkAllKindsServed(h *history, since time.Time) error {
	got := h.servedSince(since)
	for _, k := range []kind{kindCompletion, kindChat, kindLookup, kindOrder} {
		if got[k] == 0 {
			return fmt.Errorf("no %s served; %v", k, got)
		}
	}
	return nil
}

// Guards against requests that exceed their deadline, or end with neither a complete
// response nor a refusal, because an engine, a plain service, the dispatcher or the store
// is dead, frozen or unreachable, and against orders that run twice in that case.
func TestRequestsEndInTime(t *testing.T) {
	for name, o := range map[string]outage{
		"engines killed":                                  killBackends(modelService),
		"engines frozen":                                  freezeBackends(modelService),
		"plain services killed":                           killBackends(orderService, lookupService),
		"plain services frozen":                           freezeBackends(orderService, lookupService),
		"dispatcher killed":                               killDispatcher(),
		"dispatcher frozen past its lease":                freezeDispatcher(),
		"store down":                                      storeOutage(),
		"engines frozen while the store is down":          combine(storeOutage(), freezeBackends(modelService)),
		"plain services frozen, dispatcher killed":        combine(freezeBackends(orderService, lookupService), killDispatcher()),
		"dispatcher frozen past its lease, engine killed": combine(freezeDispatcher(), killBackends(modelService)),
	} {
		t.Run(name, func(t *testing.T) { runUnderOutage(t, o) })
	}
}

// Guards against callers that get tokens of another request, get tokens twice, or get a
// truncated response as if it were complete. This can happen when backend servers send
// late, repeated or misrouted responses, also while processes die or freeze.
func TestResponsesAreComplete(t *testing.T) {
	frames := backendFaults(modelService, frameFaults)
	misrouted := backendFaults(orderService, map[string]any{"cross-answer": 8})
	for name, o := range map[string]outage{
		"frames late, repeated and misrouted":        frames,
		"frames later than the deadline":             backendFaults(modelService, map[string]any{"hold": "10s"}),
		"plain responses misrouted":                  combine(misrouted, backendFaults(lookupService, map[string]any{"cross-answer": 8})),
		"frames misrouted, dispatcher frozen":        combine(frames, freezeDispatcher()),
		"frames misrouted, engines killed":           combine(frames, killBackends(modelService)),
		"frames misrouted, store down":               combine(frames, storeOutage()),
		"plain responses misrouted, instance killed": combine(misrouted, killDispatcher()),
	} {
		t.Run(name, func(t *testing.T) { runUnderOutage(t, o) })
	}
}
