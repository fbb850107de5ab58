package goosebench

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// Baseline is a set of settings to compare.
type Baseline struct {
	RoutingPolicy   string `json:"routing-policy"`
	QueueDiscipline string `json:"queue-discipline"`
	// LongBound is empty for the default.
	LongBound string `json:"long-prefill-bound,omitempty"`
}

// String returns "policy/discipline" or "policy/discipline/bound".
func (b Baseline) String() string {
	return strings.TrimSuffix(b.RoutingPolicy+"/"+b.QueueDiscipline+"/"+b.LongBound, "/")
}

func (b Baseline) settings() map[string]any {
	s := map[string]any{"routing-policy": b.RoutingPolicy, "queue-discipline": b.QueueDiscipline}
	if b.LongBound != "" {
		s["long-prefill-bound"] = b.LongBound
	}
	return s
}

// parseBaseline reads what String writes.
func parseBaseline(text string) (Baseline, bool) {
	parts := strings.Split(text, "/")
	switch len(parts) {
	case 2:
		return Baseline{RoutingPolicy: parts[0], QueueDiscipline: parts[1]}, true
	case 3:
		return Baseline{RoutingPolicy: parts[0], QueueDiscipline: parts[1], LongBound: parts[2]}, true
	}
	return Baseline{}, false
}

// Slowdown compares short requests with and without long ones beside.
type Slowdown struct {
	// P50, P95 and P99 are ratios of the time to first token with long prompts
	// beside to that without.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// Paired is the median ratio over the same requests in both phases.
	Paired float64 `json:"paired-median"`
}

// Leave tells how fast a data centre left and came back, in seconds. A value
// below zero means that it did not happen within the phase.
type Leave struct {
	DataCentre string `json:"data-centre"`
	// LastWork is the time from the leave command to the last new work there.
	LastWork float64 `json:"last-new-work-seconds"`
	// FullUse is the time from the return command until the data centre started
	// requests at fullShare of its rate before it left.
	FullUse float64 `json:"full-use-seconds"`
	// Periods compare the service before, during and after the absence.
	Periods []Period `json:"periods"`
}

// Period is the service to requests whose intended time lies in one part of a
// phase.
type Period struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Results  map[Result]int `json:"results"`
	// Model and Plain are the times to the first token or whole answer.
	Model Latency `json:"model"`
	Plain Latency `json:"plain"`
}

// periods splits outcomes at the times, in seconds, at which a data centre left
// and came back.
func periods(outcomes []Outcome, left, back float64) []Period {
	all := []Period{{Name: "before"}, {Name: "away"}, {Name: "after"}}
	for i := range all {
		model, plain := newHistogram(), newHistogram()
		p := &all[i]
		p.Results = map[Result]int{}
		for _, o := range outcomes {
			if at := o.Request.At.Seconds(); (at >= left) != (i > 0) || (at >= back) != (i > 1) {
				continue
			}
			p.Requests++
			p.Results[o.Result]++
			switch {
			case o.Result != ResultServed:
			case o.Request.Kind == KindModel:
				record(model, o.First)
			default:
				record(plain, o.First)
			}
		}
		p.Model, p.Plain = summary(model), summary(plain)
	}
	return all
}

// Report is the result of a run.
type Report struct {
	Scenario string `json:"scenario"`
	Fleet    string `json:"fleet"`
	Load     Load   `json:"load"`
	// Scale is simulated seconds per real second in the engines.
	Scale      float64             `json:"scale"`
	Started    time.Time           `json:"started"`
	Phases     []*Phase            `json:"phases"`
	Slowdown   map[string]Slowdown `json:"slowdown,omitempty"`
	Leave      *Leave              `json:"leave,omitempty"`
	Violations []string            `json:"violations"`
	Bars       []Bar               `json:"bars,omitempty"`
}

// bench runs scenarios on one fleet at a time.
type bench struct {
	log    *slog.Logger
	load   Load
	factor float64
	// capacity is set if the load fills the engines; overload then ends with
	// the phase above it.
	capacity bool
	// start gives the fleet for a baseline; fleet is nil for a given target.
	start func(ctx context.Context, b Baseline) (t *Target, f *goosefleet.Fleet, stop func(), err error)
	// run makes order bodies and keys unique.
	run       string
	baselines []Baseline
}

// with starts a fleet, warms it up and runs f on it.
func (b *bench) with(ctx context.Context, base Baseline, f func(t *Target, fl *goosefleet.Fleet) error) error {
	t, fl, stop, err := b.start(ctx, base)
	if err != nil {
		return err
	}
	defer stop()
	if _, err := b.phase(ctx, t, "warm-up "+base.String(), NewPlan(b.warmUp()), nil); err != nil {
		return err
	}
	if n, err := t.ramping(ctx); err != nil || n > 0 {
		b.log.Warn("engines still ramp up", "engines", n)
	}
	t.timeout = b.load.Timeout
	return f(t, fl)
}

const (
	// warmTime and warmRate give each of 20 engines 40 answers; the 31 that
	// double a limit from 1 to 32 would take a minute at the default load.
	warmTime = 4 * time.Second
	warmRate = 200
	// warmOutput keeps the warm-up's answers short.
	warmOutput = 16
)

// warmUp is a load of short prompts and answers that ends the engines' ramp.
func (b *bench) warmUp() Load {
	l := b.load
	l.Seed ^= 0x5eed
	l.Duration, l.ModelRate, l.LongShare, l.Timeout = min(l.Duration, warmTime), warmRate, 0, 0
	l.LongPrompt = min(l.LongPrompt, 2*l.MinPrompt)
	l.MinOutput, l.MaxOutput = min(l.MinOutput, warmOutput), min(l.MaxOutput, warmOutput)
	return l
}

func (b *bench) phase(ctx context.Context, t *Target, name string, plan []Request, s script) (*Phase, error) {
	b.log.Info("phase begins", "phase", name, "requests", len(plan))
	p, err := runPhase(ctx, t, name, b.run+"-"+name, plan, s)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	p.Goodput = goodputOf(p.outcomes, b.load.Duration, t.deadline(KindModel))
	b.log.Info("phase ended", "phase", name, "seconds", p.Seconds, "results", p.Results, "violations", len(p.Violations()))
	return p, nil
}

// mixed measures short requests without and with long ones beside, for every
// baseline.
func (b *bench) mixed(ctx context.Context, r *Report) error {
	r.Slowdown = map[string]Slowdown{}
	for _, base := range b.baselines {
		err := b.with(ctx, base, func(t *Target, _ *goosefleet.Fleet) error {
			plan := NewPlan(b.load)
			alone, err := b.phase(ctx, t, base.String()+" without long", withoutLong(plan), nil)
			if err != nil {
				return err
			}
			// Another seed for order bodies is not needed: the phase name makes
			// them unique.
			beside, err := b.phase(ctx, t, base.String()+withLong, plan, nil)
			if err != nil {
				return err
			}
			r.Phases = append(r.Phases, alone, beside)
			r.Slowdown[base.String()] = slowdown(alone, beside)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func slowdown(alone, beside *Phase) Slowdown {
	a, b := alone.ByClass["short"], beside.ByClass["short"]
	ratio := func(x, y float64) float64 {
		if y <= 0 {
			return 0
		}
		return x / y
	}
	s := Slowdown{P50: ratio(b.P50, a.P50), P95: ratio(b.P95, a.P95), P99: ratio(b.P99, a.P99)}
	var pairs []float64
	for i, d := range alone.shortByIndex {
		if e, ok := beside.shortByIndex[i]; ok && d > 0 {
			pairs = append(pairs, float64(e)/float64(d))
		}
	}
	if len(pairs) > 0 {
		sort.Float64s(pairs)
		s.Paired = pairs[len(pairs)/2]
	}
	return s
}

// fullShare of its former rate counts as full use of a data centre; its share
// of a random plan varies by about as much.
const fullShare = 0.8

// leaveReturn takes the first data centre out of service for the middle third
// of the run.
func (b *bench) leaveReturn(ctx context.Context, r *Report) error {
	return b.with(ctx, b.baselines[0], func(t *Target, f *goosefleet.Fleet) error {
		if f == nil {
			return errors.New("leave-return: needs a fleet of its own (--fleet)")
		}
		dc := f.Instances[0].DataCentre
		var left, back float64
		act := func(ctx context.Context, p *phaseRun) {
			step := func(at time.Duration, what string, do func(context.Context, string) error) float64 {
				if !p.sleepUntil(ctx, at) {
					return -1
				}
				began := time.Since(p.start).Seconds()
				if err := do(ctx, dc); err != nil {
					b.log.Error("operator command failed", "command", what, "error", err.Error())
					p.note(what + failedMark)
					return -1
				}
				p.note(what + " " + dc)
				return began
			}
			left = step(b.load.Duration/3, "leave", f.Leave)
			back = step(2*b.load.Duration/3, "return", f.Return)
		}
		p, err := b.phase(ctx, t, "leave and return of "+dc, NewPlan(b.load), act)
		if err != nil {
			return err
		}
		r.Phases = append(r.Phases, p)
		r.Leave = leaveTimes(p.Samples, dc, left, back)
		if left >= 0 && back >= 0 {
			r.Leave.Periods = periods(p.outcomes, left, back)
		}
		return nil
	})
}

// leaveTimes finds the last new work after a leave and the full use after a
// return in the samples.
func leaveTimes(samples []Sample, dc string, left, back float64) *Leave {
	l := &Leave{DataCentre: dc, LastWork: -1, FullUse: -1}
	if left < 0 || back < 0 {
		return l
	}
	l.LastWork = 0
	for i := 1; i < len(samples); i++ {
		s := samples[i]
		if s.At > left && s.At <= back && s.Started[dc] > samples[i-1].Started[dc] {
			l.LastWork = s.At - left
		}
	}
	before := rate(samples, dc, 0, left)
	for _, s := range samples {
		if s.At > back+rateWindow && rate(samples, dc, s.At-rateWindow, s.At) >= fullShare*before {
			l.FullUse = s.At - rateWindow - back
			break
		}
	}
	return l
}

// rateWindow is the time in seconds over which a rate is measured.
const rateWindow = 3.0

// rate returns the requests that a data centre started per second.
func rate(samples []Sample, dc string, from, to float64) float64 {
	var first, last *Sample
	for i := range samples {
		if s := &samples[i]; s.At >= from && s.At <= to {
			if first == nil {
				first = s
			}
			last = s
		}
	}
	if first == nil || last.At <= first.At {
		return 0
	}
	return float64(last.Started[dc]-first.Started[dc]) / (last.At - first.At)
}

// overload sends the load, a multiple of it and, unless the load fills the
// engines, the plain load again.
func (b *bench) overload(ctx context.Context, r *Report) error {
	for _, base := range b.baselines {
		err := b.with(ctx, base, func(t *Target, _ *goosefleet.Fleet) error {
			again := base.String() + " normal again"
			heavy := b.load
			heavy.ModelRate *= b.factor
			heavy.OrderRate *= b.factor
			heavy.LookupRate *= b.factor
			phases := []struct {
				name string
				load Load
			}{{base.String() + " normal", b.load}, {fmt.Sprintf("%s %g times the load", base, b.factor), heavy}, {again, b.load}}
			if b.capacity {
				phases = phases[:2]
			}
			for _, ph := range phases {
				p, err := b.phase(ctx, t, ph.name, NewPlan(ph.load), nil)
				if err != nil {
					return err
				}
				r.Phases = append(r.Phases, p)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
