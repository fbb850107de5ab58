package goosebench

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// shortOutcomes returns n served short requests with the same time to first token.
func shortOutcomes(n int, first time.Duration) []Outcome {
	var out []Outcome
	for range n {
		out = append(out, Outcome{Request: Request{Kind: KindModel, PromptTokens: 2000}, Result: ResultServed, FirstOutput: first})
	}
	return out
}

func mixedReport(own, roundRobin float64, outcomes []Outcome) *Report {
	return &Report{
		Scenario: "mixed", TimeScale: 4, Phases: []*Phase{{}, {Name: "affinity/fair" + withLongSuffix, outcomes: outcomes}},
		Slowdown: map[string]Slowdown{"affinity/fair": {P95: own}, roundRobinBaseline + "/half": {P95: roundRobin}},
	}
}

func overloadReport(atCapacity, overload float64, refusals int64, ms float64) *Report {
	return &Report{Scenario: "overload", Phases: []*Phase{
		{Goodput: Goodput{Tokens: atCapacity}}, {Goodput: Goodput{Tokens: overload}, RefusalLatency: Latency{Count: refusals, P50: ms}},
	}}
}

func leaveReport(lastNewWork float64, p Phase) *Report {
	return &Report{Scenario: "leave-return", Phases: []*Phase{&p}, LeaveReturn: &LeaveReturn{LastNewWorkSeconds: lastNewWork}}
}

// Guards against bars that pass although a figure is beyond its bound or was not
// measured, and against bars that fail at the bound itself.
func TestBars(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		report *Report
		missed []string
	}{
		"mixed at the bounds":          {mixedReport(1.1, 4.4, append(shortOutcomes(19, 237*time.Millisecond), shortOutcomes(1, time.Second)...)), nil},
		"mixed slow":                   {mixedReport(1.2, 4.4, shortOutcomes(20, time.Millisecond)), []string{"beside long", "round robin's"}},
		"mixed with late first tokens": {mixedReport(1, 4, shortOutcomes(20, 300*time.Millisecond)), []string{"first token"}},
		"mixed short refused":          {mixedReport(1, 4, append(shortOutcomes(18, 0), Outcome{Request: Request{Kind: KindModel, PromptTokens: 9}, Result: ResultRefused})), []string{"first token"}},
		"mixed without round robin":    {mixedReport(1, 0, shortOutcomes(20, 0)), []string{"round robin's"}},
		"leave in time":                {leaveReport(3, Phase{}), nil},
		"leave late":                   {leaveReport(3.1, Phase{}), []string{"last new work"}},
		"leave not seen":               {leaveReport(-1, Phase{}), []string{"last new work"}},
		"leave cut":                    {leaveReport(1, Phase{Results: map[Result]int{ResultFailed: 1}}), []string{"cut"}},
		"leave doubled and lost":       {leaveReport(1, Phase{Orders: Orders{RanRepeatedly: 1, Lost: 1}}), []string{"doubled", "lost"}},
		"faults":                       {&Report{Scenario: "faults", Phases: []*Phase{{Events: []Event{{Description: "store down"}}}}}, nil},
		"faults with leftovers":        {&Report{Scenario: "faults", Phases: []*Phase{{ColdOverloads: 1, MissedDeadlines: 1, StillHeld: HeldResources{Handles: 1}}}}, []string{"cold", "left", "deadline"}},
		"faults not set":               {&Report{Scenario: "faults", Phases: []*Phase{{Events: []Event{{Description: "store down" + failedSuffix}}}}}, []string{"set"}},
		"overload at the bounds":       {overloadReport(100, 95, 1, 50), nil},
		"overload loses goodput":       {overloadReport(100, 94, 1, 1), []string{"goodput"}},
		"overload slow refusals":       {overloadReport(100, 100, 1, 51), []string{"median"}},
		"overload without a refusal":   {overloadReport(100, 100, 0, 0), []string{"median", "refusals"}},
		"overload without goodput":     {overloadReport(0, 0, 1, 1), []string{"goodput"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.report.Bars = tt.report.evaluateBars()
			var missed []string
			for _, b := range tt.report.Bars {
				if !b.met() {
					missed = append(missed, b.Name)
				}
			}
			if len(missed) != len(tt.missed) || tt.report.anyBarMissed() != (len(tt.missed) > 0) {
				t.Fatalf("missed: got %q, want %q", missed, tt.missed)
			}
			for i := range missed {
				if !strings.Contains(missed[i], tt.missed[i]) {
					t.Errorf("missed: got %q, want %q", missed[i], tt.missed[i])
				}
			}
			if got := strings.Count(tt.report.barSummary(), "MISSED"); got != len(missed) || strings.Contains(tt.report.barSummary(), "\n") {
				t.Errorf("line: got %q, want one line with %d misses", tt.report.barSummary(), len(missed))
			}
		})
	}
}

// Guards against goodput that counts requests that ended before the queue had formed,
// after the load or after the deadline, or that were not served.
func TestGoodput(t *testing.T) {
	t.Parallel()
	outcome := func(at, total time.Duration, r Result, k Kind) Outcome {
		return Outcome{Request: Request{Kind: k, At: at, PromptTokens: 90}, Total: total, Result: r, Tokens: 10}
	}
	got := goodputOf([]Outcome{
		outcome(9*time.Second, time.Second, ResultServed, KindModel),
		outcome(29*time.Second, time.Second, ResultServed, KindModel),
		outcome(8*time.Second, time.Second, ResultServed, KindModel),
		outcome(30*time.Second, time.Second, ResultServed, KindModel),
		outcome(10*time.Second, 6*time.Second, ResultServed, KindModel),
		outcome(10*time.Second, time.Second, ResultRefused, KindModel),
		outcome(10*time.Second, time.Second, ResultServed, KindOrder),
	}, 30*time.Second, 5*time.Second)
	if want := (Goodput{Requests: 0.1, Tokens: 10}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against details of many failed requests that push out those of cut requests.
func TestDetailsShowBrokenRequestsFirst(t *testing.T) {
	t.Parallel()
	p := &Phase{Results: map[Result]int{}, Refusals: map[string]int{}}
	for range 2 * maxDetails {
		p.countOutcome(Outcome{Result: ResultFailed})
	}
	p.countOutcome(Outcome{Result: ResultCut, Detail: "stream broke"})
	if len(p.Details) != maxDetails || !strings.Contains(p.Details[0], "stream broke") {
		t.Errorf("got %d details, first %q; want %d, the cut one first", len(p.Details), p.Details[0], maxDetails)
	}
}

// Guards against a capacity that differs from what an engine can compute.
func TestCapacity(t *testing.T) {
	t.Parallel()
	c := goosestand.EngineConfig{PrefillRate: 1000, PrefillChunk: 100, AttentionTokens: 1000, StepBase: 10 * time.Millisecond, StepPerStream: time.Millisecond}
	// The sum is 1 s of prefill, 0.5 s more for attention, 10 steps of 10 ms and 50
	// output tokens of 1 ms.
	q := Request{PromptTokens: 1000, OutputTokens: 50}
	if got, want := engineTime(q, c), 1650*time.Millisecond; got != want {
		t.Errorf("time of a fully used engine: got %v, want %v", got, want)
	}
	l := DefaultLoad()
	l.MinPrompt, l.LongPrompt, l.LongShare, l.MinOutput, l.MaxOutput = 1000, 1000, 0, 50, 50
	if got, want := capacityRate(l, c, 20, 2), 40/1.65; got < 0.99*want || got > 1.01*want {
		t.Errorf("rate of 20 engines at time scale 2: got %.2f, want %.2f", got, want)
	}
}

// Guards against an overload run whose load does not exceed the engines' capacity, and
// against a missed bar that does not change the exit code.
func TestOverloadPhases(t *testing.T) {
	t.Parallel()
	e := goosestand.NewEngine(fastEngineConfig(), "127.0.0.1:0", "", discardLogger)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	l := DefaultLoad()
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate, l.LongShare, l.Timeout = time.Second, 10, 0, 0, 0, time.Minute
	l.LongPrompt, l.MaxPrompt = 5000, 5000
	rn := &runner{log: discardLogger, load: l, overloadFactor: 2, atCapacity: true, runID: "t", baselines: []Baseline{{RoutingPolicy: "affinity", QueueDiscipline: "fair"}}}
	rn.startFleet = func(context.Context, Baseline) (*Target, *goosefleet.Fleet, func(), error) {
		return &Target{
			Callers: []string{e.Address()}, Workspaces: []goosefleet.Workspace{{Key: "k"}}, Model: "m",
			Backends: []*goosefleet.Simulator{{Name: "e", DataCentre: "a", Address: e.Address(), Control: e.Address()}},
		}, nil, func() {}, nil
	}
	r := &Report{Scenario: "overload", Load: l}
	if err := rn.runOverload(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	if len(r.Phases) != 2 || r.Phases[1].Requests <= r.Phases[0].Requests {
		t.Fatalf("got %d phases, want the load and twice the load", len(r.Phases))
	}
	r.Bars = r.evaluateBars()
	var out bytes.Buffer
	if err := r.writeTable(&out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); !r.anyBarMissed() || !strings.HasPrefix(lines[len(lines)-1], "bars of overload") {
		t.Errorf("without a refusal: got %q, want a last line with a missed bar", lines[len(lines)-1])
	}
}
