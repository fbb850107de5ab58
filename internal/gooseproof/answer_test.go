package gooseproof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// outage is a fault that lasts for a while.
type outage struct {
	begin, end func(r *rig, h *history) error
	// lasts is the least time between the two.
	lasts time.Duration
}

// together begins outages in order and ends them in the opposite order.
func together(all ...outage) outage {
	o := outage{
		begin: func(r *rig, h *history) error { return each(all, func(o outage) error { return o.begin(r, h) }) },
		end: func(r *rig, h *history) error {
			back := slices.Clone(all)
			slices.Reverse(back)
			return each(back, func(o outage) error { return o.end(r, h) })
		},
	}
	for _, a := range all {
		o.lasts = max(o.lasts, a.lasts)
	}
	return o
}

func each[T any](all []T, do func(T) error) error {
	for _, a := range all {
		if err := do(a); err != nil {
			return err
		}
	}
	return nil
}

// victims are one backend server of each service in two data centres.
func (r *rig) victims(services ...string) []*goosefleet.Simulator {
	var all []*goosefleet.Simulator
	for _, s := range services {
		all = append(all, r.BackendsOf(s, "leith")[0], r.BackendsOf(s, "musselburgh")[0])
	}
	return all
}

// killed is the death of backend servers; they come back as new processes.
func killed(services ...string) outage {
	return outage{
		begin: func(r *rig, _ *history) error {
			return each(r.victims(services...), func(b *goosefleet.Simulator) error { return r.Kill(b.Name) })
		},
		end: func(r *rig, _ *history) error {
			return each(r.victims(services...), func(b *goosefleet.Simulator) error {
				_ = r.Wait(r.ctx, b.Name)
				return r.StartBackend(r.ctx, b.Name)
			})
		},
		lasts: 2 * time.Second,
	}
}

// frozen is a pause of backend servers, whose connections stay open.
func frozen(services ...string) outage {
	return outage{
		begin: func(r *rig, _ *history) error {
			return each(r.victims(services...), func(b *goosefleet.Simulator) error { return r.Pause(b.Name) })
		},
		end: func(r *rig, _ *history) error {
			return each(r.victims(services...), func(b *goosefleet.Simulator) error { return r.Continue(b.Name) })
		},
		lasts: 3 * time.Second,
	}
}

// spoilt sets fault switches of all backend servers of a service.
func spoilt(service string, faults map[string]any) outage {
	return outage{
		begin: func(r *rig, _ *history) error {
			return each(r.BackendsOf(service, ""), func(b *goosefleet.Simulator) error { return b.SetFault(r.ctx, faults) })
		},
		end: func(r *rig, _ *history) error {
			return each(r.BackendsOf(service, ""), func(b *goosefleet.Simulator) error { return b.ClearFaults(r.ctx) })
		},
		lasts: 3 * time.Second,
	}
}

// dispatcherFrozen pauses the dispatcher for longer than its lease.
func dispatcherFrozen() outage {
	var name string
	return outage{
		begin: func(r *rig, h *history) error {
			name = r.dispatcher()
			h.stop(name)
			return r.Pause(name)
		},
		end: func(r *rig, h *history) error {
			defer h.resume(name)
			return r.Continue(name)
		},
		lasts: 6 * time.Second,
	}
}

// dispatcherKilled ends the dispatcher and starts it again.
func dispatcherKilled() outage {
	var name string
	return outage{
		begin: func(r *rig, h *history) error {
			name = r.dispatcher()
			h.stop(name)
			return r.Kill(name)
		},
		end: func(r *rig, h *history) error {
			defer h.resume(name)
			_ = r.Wait(r.ctx, name)
			if err := r.StartInstance(r.ctx, name); err != nil {
				return err
			}
			i, err := r.Instance(name)
			if err == nil {
				r.ready(i)
			}
			return err
		},
		lasts: 3 * time.Second,
	}
}

// storeDown makes the store unreachable for longer than the leases.
func storeDown() outage {
	return outage{
		begin: func(r *rig, _ *history) error { return r.StoreFault(r.ctx, map[string]any{"down": true}) },
		end:   func(r *rig, _ *history) error { return r.StoreFault(r.ctx, map[string]any{"down": false}) },
		lasts: 5 * time.Second,
	}
}

// spoiltFrames are the ways in which engines spoil streams.
var spoiltFrames = map[string]any{
	"cross": 0.1, "cross-end": 0.05, "repeat": 0.1, "late": 0.1, "swap": 0.01, "hold": "20ms",
}

// underOutage runs a load during an outage and gives the verdict on its history.
func underOutage(t *testing.T, o outage) {
	const seed, callers = 1, 24
	r := newRig(t, func(s *goosefleet.Spec) {
		for i := range s.Services {
			s.Services[i].Apart = true
		}
		// Answers take up to a second or two, so that faults hit them.
		s.Services[0].Flags = []string{"--scale", "2"}
	})
	r.warm()
	h := r.record(seed, callers)
	r.eventually("all kinds of requests served", time.Minute, func() error { return allServed(h, time.Time{}) })
	if err := o.begin(r, h); err != nil {
		t.Fatal(err)
	}
	time.Sleep(o.lasts)
	// What runs now must end while the fault lasts.
	h.settle()
	if err := o.end(r, h); err != nil {
		t.Fatal(err)
	}
	ended := time.Now()
	r.eventually("all kinds of requests served after the fault", time.Minute, func() error { return allServed(h, ended) })
	h.finish()
}

func allServed(h *history, since time.Time) error {
	got := h.servedSince(since)
	for _, k := range []kind{kindCompletion, kindChat, kindLookup, kindOrder} {
		if got[k] == 0 {
			return fmt.Errorf("no %s served; %v", k, got)
		}
	}
	return nil
}

// Guards against requests that outlive their deadline, or end with neither a
// whole answer nor a refusal, because an engine, a plain service, the dispatcher
// or the store is dead, frozen or away, and against orders that run twice then.
func TestRequestsEndInTime(t *testing.T) {
	for name, o := range map[string]outage{
		"engines killed":                                  killed(model),
		"engines frozen":                                  frozen(model),
		"plain services killed":                           killed(orders, lookups),
		"plain services frozen":                           frozen(orders, lookups),
		"dispatcher killed":                               dispatcherKilled(),
		"dispatcher frozen past its lease":                dispatcherFrozen(),
		"store down":                                      storeDown(),
		"engines frozen while the store is down":          together(storeDown(), frozen(model)),
		"plain services frozen, dispatcher killed":        together(frozen(orders, lookups), dispatcherKilled()),
		"dispatcher frozen past its lease, engine killed": together(dispatcherFrozen(), killed(model)),
	} {
		t.Run(name, func(t *testing.T) { underOutage(t, o) })
	}
}

// Guards against callers that get tokens of another request, tokens twice, or a
// cut answer as if it were whole, because answers come late, repeated or to the
// wrong request, also while processes die or freeze.
func TestAnswersAreWhole(t *testing.T) {
	frames := spoilt(model, spoiltFrames)
	crossed := spoilt(orders, map[string]any{"cross-answer": 8})
	for name, o := range map[string]outage{
		"frames late, repeated and crossed":      frames,
		"frames later than the deadline":         spoilt(model, map[string]any{"hold": "10s"}),
		"plain answers crossed":                  together(crossed, spoilt(lookups, map[string]any{"cross-answer": 8})),
		"frames crossed, dispatcher frozen":      together(frames, dispatcherFrozen()),
		"frames crossed, engines killed":         together(frames, killed(model)),
		"frames crossed, store down":             together(frames, storeDown()),
		"plain answers crossed, instance killed": together(crossed, dispatcherKilled()),
	} {
		t.Run(name, func(t *testing.T) { underOutage(t, o) })
	}
}
