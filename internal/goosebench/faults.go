package goosebench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// fault is one step of the faults scenario.
type fault struct {
	what string
	// last is the part of a step's time after which the fault is taken back.
	last  float64
	begin func(ctx context.Context, f *goosefleet.Fleet) error
	end   func(ctx context.Context, f *goosefleet.Fleet) error
}

// switches is a fault given as JSON names.
type switches map[string]any

func backend(service func(*goosefleet.Fleet) string, n int, s switches) func(context.Context, *goosefleet.Fleet) error {
	return func(ctx context.Context, f *goosefleet.Fleet) error {
		all := f.BackendsOf(service(f), "")
		return all[n%len(all)].SetFault(ctx, s)
	}
}

func modelOf(f *goosefleet.Fleet) string  { return targetOf(f).Model }
func ordersOf(f *goosefleet.Fleet) string { return targetOf(f).Orders }

func storeSwitch(s switches) func(context.Context, *goosefleet.Fleet) error {
	return func(ctx context.Context, f *goosefleet.Fleet) error { return f.StoreFault(ctx, s) }
}

// lastInstance is the victim of process faults; operator commands use the
// first instance.
func lastInstance(f *goosefleet.Fleet) string { return f.Instances[len(f.Instances)-1].Name }

// faultSteps are the failures of the design page, one after the other.
func faultSteps() []fault {
	return []fault{
		{what: "engine crashes", begin: backend(modelOf, 0, switches{"crash-now": true})},
		{what: "engine turns cold silently", begin: backend(modelOf, 1, switches{"cold-silent": true})},
		{what: "engine connections cut", begin: backend(modelOf, 2, switches{"cut-streams": true})},
		{
			what: "engine sends foreign and repeated chunks", last: 0.9, begin: backend(modelOf, 3, switches{"cross": 0.2, "repeat": 0.2}),
			end: backend(modelOf, 3, switches{"cross": 0, "repeat": 0}),
		},
		{what: "engine down", last: 0.6, begin: backend(modelOf, 4, switches{"down": true}), end: backend(modelOf, 4, switches{"down": false})},
		{what: "order answers lost after the effect", begin: backend(ordersOf, 0, switches{"lose-answer": 3})},
		{what: "order service crashes", begin: backend(ordersOf, 1, switches{"crash-now": true})},
		{
			what: "store answers to order claims lost", last: 0.5, begin: storeSwitch(switches{"lose-answers": "/gooseberryhold/", "lose-count": 5}),
			end: storeSwitch(switches{"lose-answers": "", "lose-count": 0}),
		},
		{what: "store down", last: 0.8, begin: storeSwitch(switches{"down": true}), end: storeSwitch(switches{"down": false})},
		{what: "store slow", last: 0.8, begin: storeSwitch(switches{"slow": "400ms"}), end: storeSwitch(switches{"slow": "0s"})},
		{what: "instance paused", last: 0.8, begin: instance((*goosefleet.Fleet).Pause), end: instance((*goosefleet.Fleet).Continue)},
		{
			what: "instance killed", last: 0.6,
			begin: func(ctx context.Context, f *goosefleet.Fleet) error {
				if err := f.Kill(lastInstance(f)); err != nil {
					return err
				}
				// The platform notices, and its list drops the instance after its lag.
				return f.SetListed(ctx, lastInstance(f), "removed")
			},
			end: func(ctx context.Context, f *goosefleet.Fleet) error { return f.StartInstance(ctx, lastInstance(f)) },
		},
		{
			what: "data centre cut off from the platform", last: 0.8,
			begin: func(ctx context.Context, f *goosefleet.Fleet) error {
				return f.CutDataCentre(ctx, f.Instances[1].DataCentre, true)
			},
			end: func(ctx context.Context, f *goosefleet.Fleet) error {
				return f.CutDataCentre(ctx, f.Instances[1].DataCentre, false)
			},
		},
	}
}

func instance(do func(*goosefleet.Fleet, string) error) func(context.Context, *goosefleet.Fleet) error {
	return func(_ context.Context, f *goosefleet.Fleet) error { return do(f, lastInstance(f)) }
}

// faults runs the load while one fault after the other happens.
func (b *bench) faults(ctx context.Context, r *Report) error {
	return b.with(ctx, b.baselines[0], func(t *Target, f *goosefleet.Fleet) error {
		if f == nil {
			return errors.New("faults: needs a fleet of its own (--fleet)")
		}
		steps := faultSteps()
		each := b.load.Duration / time.Duration(len(steps)+1)
		act := func(ctx context.Context, p *phaseRun) {
			for i, s := range steps {
				at := each/2 + time.Duration(i)*each
				if !p.sleepUntil(ctx, at) {
					return
				}
				b.step(ctx, p, s.what, func() error { return s.begin(ctx, f) })
				if s.end == nil {
					continue
				}
				_ = p.sleepUntil(ctx, at+time.Duration(s.last*float64(each)))
				b.step(context.WithoutCancel(ctx), p, s.what+" ends", func() error { return s.end(ctx, f) })
			}
		}
		p, err := b.phase(ctx, t, "faults", b.withCrashers(NewPlan(b.load)), act)
		if err != nil {
			return err
		}
		r.Phases = append(r.Phases, p)
		return nil
	})
}

func (b *bench) step(ctx context.Context, p *phaseRun, what string, do func() error) {
	if err := do(); err != nil && ctx.Err() == nil {
		b.log.Error("fault not set", "fault", what, "error", err.Error())
		p.note(what + failedMark)
		return
	}
	p.note(what)
}

// crashers is the number of requests in the faults scenario that crash the
// engine that runs them.
const crashers = 2

// withCrashers marks a few requests in the middle of the plan.
func (b *bench) withCrashers(plan []Request) []Request {
	left := crashers
	for i := len(plan) / 2; i < len(plan) && left > 0; i++ {
		if plan[i].Kind == KindModel && plan[i].PromptTokens < b.load.LongPrompt {
			plan[i].Crash = true
			left--
		}
	}
	return plan
}
