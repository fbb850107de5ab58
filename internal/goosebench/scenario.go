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

// Baseline is a set of fleet settings to compare with others.
type Baseline struct {
	RoutingPolicy   string `json:"routing-policy"`
	QueueDiscipline string `json:"queue-discipline"`
	// LongPrefillBound is empty for the default of the fleet.
	LongPrefillBound string `json:"long-prefill-bound,omitempty"`
}

// String returns "policy/discipline" or "policy/discipline/bound".
func (b Baseline) String() string {
	return strings.TrimSuffix(b.RoutingPolicy+"/"+b.QueueDiscipline+"/"+b.LongPrefillBound, "/")
}

func (b Baseline) settings() map[string]any {
	s := map[string]any{"routing-policy": b.RoutingPolicy, "queue-discipline": b.QueueDiscipline}
	if b.LongPrefillBound != "" {
		s["long-prefill-bound"] = b.LongPrefillBound
	}
	return s
}

// parseBaseline parses the format of String.
func parseBaseline(text string) (Baseline, bool) {
	parts := strings.Split(text, "/")
	switch len(parts) {
	case 2:
		return Baseline{RoutingPolicy: parts[0], QueueDiscipline: parts[1]}, true
	case 3:
		return Baseline{RoutingPolicy: parts[0], QueueDiscipline: parts[1], LongPrefillBound: parts[2]}, true
	}
	return Baseline{}, false
}

// Slowdown compares the time to first token of short requests with and without long
// requests at the same time.
type Slowdown struct {
	// P50, P95 and P99 are ratios of the quantile with long requests to that without.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// PairedMedian is the median of the ratios for the same request in both phases.
	PairedMedian float64 `json:"paired-median"`
}

// LeaveReturn holds the times that a data centre took to leave and to return. Negative
// values mean that it did not happen within the phase.
type LeaveReturn struct {
	DataCentre string `json:"data-centre"`
	// LastNewWorkSeconds is the time from the leave command to the last new request
	// that the data centre started.
	LastNewWorkSeconds float64 `json:"last-new-work-seconds"`
	// FullUseSeconds is the time from the return command until the data centre started
	// requests at fullUseShare of its rate before the leave command.
	FullUseSeconds float64 `json:"full-use-seconds"`
	// Periods compare the responses before, during and after the absence.
	Periods []Period `json:"periods"`
}

// Period summarises the requests whose intended send time lies in one part of a phase.
type Period struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Results  map[Result]int `json:"results"`
	// Model is the time to first token, Plain that to the whole response.
	Model Latency `json:"model"`
	Plain Latency `json:"plain"`
}

// splitByPeriod groups outcomes by the times, in seconds, at which a data centre left
// and returned.
func splitByPeriod(outcomes []Outcome, leftAt, returnedAt float64) []Period {
	periods := []Period{{Name: "before"}, {Name: "away"}, {Name: "after"}}
	for i := range periods {
		model, plain := newHistogram(), newHistogram()
		p := &periods[i]
		p.Results = map[Result]int{}
		for _, o := range outcomes {
			if at := o.Request.At.Seconds(); (at >= leftAt) != (i > 0) || (at >= returnedAt) != (i > 1) {
				continue
			}
			p.Requests++
			p.Results[o.Result]++
			switch {
			case o.Result != ResultServed:
			case o.Request.Kind == KindModel:
				recordLatency(model, o.FirstOutput)
			default:
				recordLatency(plain, o.FirstOutput)
			}
		}
		p.Model, p.Plain = latencyOf(model), latencyOf(plain)
	}
	return periods
}

// Report is the result of a run.
type Report struct {
	Scenario string `json:"scenario"`
	Fleet    string `json:"fleet"`
	Load     Load   `json:"load"`
	// TimeScale is simulated seconds per real second in the engines.
	TimeScale   float64             `json:"scale"`
	Started     time.Time           `json:"started"`
	Phases      []*Phase            `json:"phases"`
	Slowdown    map[string]Slowdown `json:"slowdown,omitempty"`
	LeaveReturn *LeaveReturn        `json:"leave,omitempty"`
	Violations  []string            `json:"violations"`
	Bars        []Bar               `json:"bars,omitempty"`
}

// runner runs a scenario on one fleet at a time.
type runner struct {
	log            *slog.Logger
	load           Load
	overloadFactor float64
	// atCapacity is set if the load already fills the engines. The overload scenario
	// then ends after the phase above that load.
	atCapacity bool
	// startFleet starts a fleet with the settings of a baseline. The returned fleet is
	// nil if the target was already running.
	startFleet func(ctx context.Context, baseline Baseline) (t *Target, f *goosefleet.Fleet, stop func(), err error)
	// runID makes order bodies and idempotency keys unique to the run.
	runID     string
	baselines []Baseline
}

// withFleet starts a fleet, warms it up and calls fn with it.
func (rn *runner) withFleet(ctx context.Context, baseline Baseline, fn func(t *Target, f *goosefleet.Fleet) error) error {
	t, f, stop, err := rn.startFleet(ctx, baseline)
	if err != nil {
		return err
	}
	defer stop()
	if _, err := rn.runPhase(ctx, t, "warm-up "+baseline.String(), NewPlan(rn.warmUpLoad()), nil); err != nil {
		return err
	}
	if n, err := t.countRampingEngines(ctx); err != nil || n > 0 {
		rn.log.Warn("engines still ramping up", "engines", n)
	}
	t.requestTimeout = rn.load.Timeout
	return fn(t, f)
}

const (
	// In warmUpDuration at warmUpRate each of 20 engines completes 40 requests. An
	// engine needs 31 of them to raise its concurrency limit from 1 to 32 by doubling,
	// which would take a minute at the default load.
	warmUpDuration = 4 * time.Second
	warmUpRate     = 200
	// warmUpOutputTokens keeps the outputs of the warm-up short.
	warmUpOutputTokens = 16
)

// warmUpLoad returns a load of short prompts and outputs that raises the engines'
// concurrency limits to their maximum.
func (rn *runner) warmUpLoad() Load {
	l := rn.load
	l.Seed ^= 0x5eed
	l.Duration, l.ModelRate, l.LongShare, l.Timeout = min(l.Duration, warmUpDuration), warmUpRate, 0, 0
	l.LongPrompt = min(l.LongPrompt, 2*l.MinPrompt)
	l.MinOutput, l.MaxOutput = min(l.MinOutput, warmUpOutputTokens), min(l.MaxOutput, warmUpOutputTokens)
	return l
}

func (rn *runner) runPhase(ctx context.Context, t *Target, name string, plan []Request, s script) (*Phase, error) {
	rn.log.Info("phase started", "phase", name, "requests", len(plan))
	p, err := runPlan(ctx, t, name, rn.runID+"-"+name, plan, s)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	p.Goodput = goodputOf(p.outcomes, rn.load.Duration, t.deadline(KindModel))
	rn.log.Info("phase ended", "phase", name, "seconds", p.Seconds, "results", p.Results, "violations", len(p.Violations()))
	return p, nil
}

// runMixed sends, for every baseline, short requests alone and then together with long
// ones.
func (rn *runner) runMixed(ctx context.Context, r *Report) error {
	r.Slowdown = map[string]Slowdown{}
	for _, baseline := range rn.baselines {
		err := rn.withFleet(ctx, baseline, func(t *Target, _ *goosefleet.Fleet) error {
			plan := NewPlan(rn.load)
			shortOnly, err := rn.runPhase(ctx, t, baseline.String()+" without long", withoutLongPrompts(plan), nil)
			if err != nil {
				return err
			}
			// The phases can share a seed, because the phase name makes their order
			// bodies unique.
			mixed, err := rn.runPhase(ctx, t, baseline.String()+withLongSuffix, plan, nil)
			if err != nil {
				return err
			}
			r.Phases = append(r.Phases, shortOnly, mixed)
			r.Slowdown[baseline.String()] = slowdownOf(shortOnly, mixed)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func slowdownOf(shortOnly, mixed *Phase) Slowdown {
	alone, withLong := shortOnly.FirstTokenByClass["short"], mixed.FirstTokenByClass["short"]
	ratio := func(x, y float64) float64 {
		if y <= 0 {
			return 0
		}
		return x / y
	}
	s := Slowdown{P50: ratio(withLong.P50, alone.P50), P95: ratio(withLong.P95, alone.P95), P99: ratio(withLong.P99, alone.P99)}
	var ratios []float64
	for i, without := range shortOnly.shortFirstTokens {
		if with, ok := mixed.shortFirstTokens[i]; ok && without > 0 {
			ratios = append(ratios, float64(with)/float64(without))
		}
	}
	if len(ratios) > 0 {
		sort.Float64s(ratios)
		s.PairedMedian = ratios[len(ratios)/2]
	}
	return s
}

// fullUseShare is the share of its former rate at which a data centre counts as fully
// used. The share of a data centre in a random plan varies by about the remaining 20%.
const fullUseShare = 0.8

// runLeaveReturn takes the first data centre out of service for the middle third of
// the run.
func (rn *runner) runLeaveReturn(ctx context.Context, r *Report) error {
	return rn.withFleet(ctx, rn.baselines[0], func(t *Target, f *goosefleet.Fleet) error {
		if f == nil {
			return errors.New("leave-return: needs a fleet started by the run (--fleet)")
		}
		dc := f.Instances[0].DataCentre
		var leftAt, returnedAt float64
		leaveAndReturn := func(ctx context.Context, p *phaseRun) {
			step := func(at time.Duration, command string, run func(context.Context, string) error) float64 {
				if !p.sleepUntil(ctx, at) {
					return -1
				}
				startedAt := time.Since(p.start).Seconds()
				if err := run(ctx, dc); err != nil {
					rn.log.Error("operator command failed", "command", command, "error", err.Error())
					p.recordEvent(command + failedSuffix)
					return -1
				}
				p.recordEvent(command + " " + dc)
				return startedAt
			}
			leftAt = step(rn.load.Duration/3, "leave", f.LeaveDataCentre)
			returnedAt = step(2*rn.load.Duration/3, "return", f.ReturnDataCentre)
		}
		p, err := rn.runPhase(ctx, t, "leave and return of "+dc, NewPlan(rn.load), leaveAndReturn)
		if err != nil {
			return err
		}
		r.Phases = append(r.Phases, p)
		r.LeaveReturn = measureLeaveReturn(p.Samples, dc, leftAt, returnedAt)
		if leftAt >= 0 && returnedAt >= 0 {
			r.LeaveReturn.Periods = splitByPeriod(p.outcomes, leftAt, returnedAt)
		}
		return nil
	})
}

// measureLeaveReturn finds in the samples the last new request after the leave command
// and the time of full use after the return command.
func measureLeaveReturn(samples []Sample, dc string, leftAt, returnedAt float64) *LeaveReturn {
	l := &LeaveReturn{DataCentre: dc, LastNewWorkSeconds: -1, FullUseSeconds: -1}
	if leftAt < 0 || returnedAt < 0 {
		return l
	}
	l.LastNewWorkSeconds = 0
	for i := 1; i < len(samples); i++ {
		s := samples[i]
		if s.At > leftAt && s.At <= returnedAt && s.Started[dc] > samples[i-1].Started[dc] {
			l.LastNewWorkSeconds = s.At - leftAt
		}
	}
	rateBefore := startRate(samples, dc, 0, leftAt)
	for _, s := range samples {
		if s.At > returnedAt+rateWindowSeconds && startRate(samples, dc, s.At-rateWindowSeconds, s.At) >= fullUseShare*rateBefore {
			l.FullUseSeconds = s.At - rateWindowSeconds - returnedAt
			break
		}
	}
	return l
}

// rateWindowSeconds is the interval over which a rate is measured.
const rateWindowSeconds = 3.0

// startRate returns the number of requests per second that a data centre started.
func startRate(samples []Sample, dc string, from, to float64) float64 {
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

// runOverload sends the load, then a multiple of it, and then the load again unless it
// already fills the engines.
func (rn *runner) runOverload(ctx context.Context, r *Report) error {
	for _, baseline := range rn.baselines {
		err := rn.withFleet(ctx, baseline, func(t *Target, _ *goosefleet.Fleet) error {
			finalName := baseline.String() + " normal again"
			overload := rn.load
			overload.ModelRate *= rn.overloadFactor
			overload.OrderRate *= rn.overloadFactor
			overload.LookupRate *= rn.overloadFactor
			phases := []struct {
				name string
				load Load
			}{{baseline.String() + " normal", rn.load}, {fmt.Sprintf("%s %g times the load", baseline, rn.overloadFactor), overload}, {finalName, rn.load}}
			if rn.atCapacity {
				phases = phases[:2]
			}
			for _, ph := range phases {
				p, err := rn.runPhase(ctx, t, ph.name, NewPlan(ph.load), nil)
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
