package goosebench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// faultStep is one step of the faults scenario.
type faultStep struct {
	name string
	// activeShare is the share of the step's time after which the fault is cleared.
	activeShare float64
	begin       func(ctx context.Context, f *goosefleet.Fleet) error
	end         func(ctx context.Context, f *goosefleet.Fleet) error
}

// faultSettings are the values of a simulator's faults by their JSON names.
type faultSettings map[string]any

func backendFault(serviceOf func(*goosefleet.Fleet) string, n int, settings faultSettings) func(context.Context, *goosefleet.Fleet) error {
	return func(ctx context.Context, f *goosefleet.Fleet) error {
		servers := f.BackendsOf(serviceOf(f), "")
		return servers[n%len(servers)].SetFault(ctx, settings)
	}
}

func modelServiceOf(f *goosefleet.Fleet) string { return targetOf(f).Model }
func orderServiceOf(f *goosefleet.Fleet) string { return targetOf(f).Orders }

func storeFault(settings faultSettings) func(context.Context, *goosefleet.Fleet) error {
	return func(ctx context.Context, f *goosefleet.Fleet) error { return f.SetStoreFault(ctx, settings) }
}

// lastInstance returns the instance for process faults. It is not the first one,
// because operator commands use the first instance.
func lastInstance(f *goosefleet.Fleet) string { return f.Instances[len(f.Instances)-1].Name }

// faultSteps returns the failures that the design page lists, in the order in which
// the scenario causes them.
func faultSteps() []faultStep {
	return []faultStep{
		{name: "engine crashes", begin: backendFault(modelServiceOf, 0, faultSettings{"crash-now": true})},
		{name: "engine turns cold silently", begin: backendFault(modelServiceOf, 1, faultSettings{"cold-silent": true})},
		{name: "engine connections cut", begin: backendFault(modelServiceOf, 2, faultSettings{"cut-streams": true})},
		{
			name: "engine sends foreign and repeated chunks", activeShare: 0.9, begin: backendFault(modelServiceOf, 3, faultSettings{"cross": 0.2, "repeat": 0.2}),
			end: backendFault(modelServiceOf, 3, faultSettings{"cross": 0, "repeat": 0}),
		},
		{name: "engine down", activeShare: 0.6, begin: backendFault(modelServiceOf, 4, faultSettings{"down": true}), end: backendFault(modelServiceOf, 4, faultSettings{"down": false})},
		{name: "order answers lost after the effect", begin: backendFault(orderServiceOf, 0, faultSettings{"lose-answer": 3})},
		{name: "order service crashes", begin: backendFault(orderServiceOf, 1, faultSettings{"crash-now": true})},
		{
			name: "store answers to order claims lost", activeShare: 0.5, begin: storeFault(faultSettings{"lose-answers": "/gooseberryhold/", "lose-count": 5}),
			end: storeFault(faultSettings{"lose-answers": "", "lose-count": 0}),
		},
		{name: "store down", activeShare: 0.8, begin: storeFault(faultSettings{"down": true}), end: storeFault(faultSettings{"down": false})},
		{name: "store slow", activeShare: 0.8, begin: storeFault(faultSettings{"slow": "400ms"}), end: storeFault(faultSettings{"slow": "0s"})},
		{name: "instance paused", activeShare: 0.8, begin: instanceFault((*goosefleet.Fleet).Pause), end: instanceFault((*goosefleet.Fleet).Continue)},
		{
			name: "instance killed", activeShare: 0.6,
			begin: func(ctx context.Context, f *goosefleet.Fleet) error {
				if err := f.Kill(lastInstance(f)); err != nil {
					return err
				}
				// The platform detects the end of the process, and its instance list
				// drops the instance after the lag of the list.
				return f.SetListState(ctx, lastInstance(f), "removed")
			},
			end: func(ctx context.Context, f *goosefleet.Fleet) error { return f.StartInstance(ctx, lastInstance(f)) },
		},
		{
			name: "data centre cut off from the platform", activeShare: 0.8,
			begin: func(ctx context.Context, f *goosefleet.Fleet) error {
				return f.CutDataCentreFromPlatform(ctx, f.Instances[1].DataCentre, true)
			},
			end: func(ctx context.Context, f *goosefleet.Fleet) error {
				return f.CutDataCentreFromPlatform(ctx, f.Instances[1].DataCentre, false)
			},
		},
	}
}

func instanceFault(action func(*goosefleet.Fleet, string) error) func(context.Context, *goosefleet.Fleet) error {
	return func(_ context.Context, f *goosefleet.Fleet) error { return action(f, lastInstance(f)) }
}

// runFaults sends the load while one fault after the other is active.
func (rn *runner) runFaults(ctx context.Context, r *Report) error {
	return rn.withFleet(ctx, rn.baselines[0], func(t *Target, f *goosefleet.Fleet) error {
		if f == nil {
			return errors.New("faults: needs a fleet started by the run (--fleet)")
		}
		steps := faultSteps()
		stepDuration := rn.load.Duration / time.Duration(len(steps)+1)
		runSteps := func(ctx context.Context, p *phaseRun) {
			for i, step := range steps {
				at := stepDuration/2 + time.Duration(i)*stepDuration
				if !p.sleepUntil(ctx, at) {
					return
				}
				rn.runFaultStep(ctx, p, step.name, func() error { return step.begin(ctx, f) })
				if step.end == nil {
					continue
				}
				_ = p.sleepUntil(ctx, at+time.Duration(step.activeShare*float64(stepDuration)))
				rn.runFaultStep(context.WithoutCancel(ctx), p, step.name+" ends", func() error { return step.end(ctx, f) })
			}
		}
		p, err := rn.runPhase(ctx, t, "faults", rn.markCrashRequests(NewPlan(rn.load)), runSteps)
		if err != nil {
			return err
		}
		r.Phases = append(r.Phases, p)
		return nil
	})
}

func (rn *runner) runFaultStep(ctx context.Context, p *phaseRun, name string, fn func() error) {
	if err := fn(); err != nil && ctx.Err() == nil {
		rn.log.Error("cannot set fault", "fault", name, "error", err.Error())
		p.recordEvent(name + failedSuffix)
		return
	}
	p.recordEvent(name)
}

// crashRequests is the number of requests in the faults scenario that crash the engine
// that runs them.
const crashRequests = 2

// markCrashRequests makes a few requests in the second half of the plan crash their
// engines.
func (rn *runner) markCrashRequests(plan []Request) []Request {
	remaining := crashRequests
	for i := len(plan) / 2; i < len(plan) && remaining > 0; i++ {
		if plan[i].Kind == KindModel && plan[i].PromptTokens < rn.load.LongPrompt {
			plan[i].CrashesEngine = true
			remaining--
		}
	}
	return plan
}
