package goosebench

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Bounds of the bars. They are targets of the project and are not derived from
// measured figures.
const (
	maxSlowdown           = 1.1
	maxRatioToRoundRobin  = 0.25
	maxShortFirstToken    = 950 * time.Millisecond
	minShortInTimeShare   = 0.95
	maxLastNewWorkSeconds = 3.0
	minGoodputRatio       = 0.95
	maxRefusalMillis      = 50
	minRefusals           = 1
	roundRobinBaseline    = "round-robin/fifo"
)

// Bar is a pass criterion of a scenario: one figure and its bound.
type Bar struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	// IsMinimum is set if the value must be at least the bound; otherwise it must be
	// at most the bound.
	IsMinimum bool `json:"least"`
	// NotMeasured is set if the run did not measure the value.
	NotMeasured bool `json:"missing,omitempty"`
}

// met reports whether the value is within its bound. A value that was not measured
// fails the bar.
func (b Bar) met() bool {
	switch {
	case b.NotMeasured:
		return false
	case b.IsMinimum:
		return b.Value >= b.Bound
	}
	return b.Value <= b.Bound
}

func (b Bar) String() string {
	sign, verdict, value := "<=", "kept", fmt.Sprintf("%.3g", b.Value)
	if b.IsMinimum {
		sign = ">="
	}
	if b.NotMeasured {
		value = "not measured"
	}
	if !b.met() {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s %s (%s %.3g, %s)", b.Name, value, sign, b.Bound, verdict)
}

// zeroBar returns a bar for a count that must be zero.
func zeroBar(name string, n int) Bar { return Bar{Name: name, Value: float64(n)} }

// evaluateBars returns the bars of the scenario with the figures of the report.
func (r *Report) evaluateBars() []Bar {
	switch r.Scenario {
	case "mixed":
		return r.mixedBars()
	case "leave-return":
		return r.leaveReturnBars()
	case "faults":
		return r.faultBars()
	case "overload":
		return r.overloadBars()
	}
	return nil
}

// anyBarMissed reports whether a bar was missed.
func (r *Report) anyBarMissed() bool {
	for _, b := range r.Bars {
		if !b.met() {
			return true
		}
	}
	return false
}

// barSummary returns the last line of a run's output.
func (r *Report) barSummary() string {
	texts := make([]string, len(r.Bars))
	for i, b := range r.Bars {
		texts[i] = b.String()
	}
	return fmt.Sprintf("bars of %s, %s: %s", r.Scenario, r.Fleet, strings.Join(texts, "; "))
}

// mixedBars compares the first baseline of the run with round robin. The bound on the
// time to first token is in simulated time, so it is converted to real time.
func (r *Report) mixedBars() []Bar {
	if len(r.Phases) < 2 {
		return []Bar{{Name: "slowdown", NotMeasured: true}}
	}
	own, ok := r.Slowdown[strings.TrimSuffix(r.Phases[1].Name, withLongSuffix)]
	roundRobin, compared := r.roundRobin()
	ratio := Bar{Name: "p95 slowdown of short over round robin's", Bound: maxRatioToRoundRobin, NotMeasured: !ok || !compared || roundRobin.P95 <= 0}
	if !ratio.NotMeasured {
		ratio.Value = own.P95 / roundRobin.P95
	}
	share, count := shortInTimeShare(r.Phases[1].outcomes, time.Duration(float64(maxShortFirstToken)/r.TimeScale))
	return []Bar{
		{Name: "p95 slowdown of short beside long", Value: own.P95, Bound: maxSlowdown, NotMeasured: !ok || own.P95 <= 0},
		ratio,
		{Name: "short with first token in " + maxShortFirstToken.String(), Value: share, Bound: minShortInTimeShare, IsMinimum: true, NotMeasured: count == 0},
	}
}

// roundRobin returns the slowdown of the round-robin baseline, whatever its bound on
// long prefills is.
func (r *Report) roundRobin() (Slowdown, bool) {
	for name, s := range r.Slowdown {
		if name == roundRobinBaseline || strings.HasPrefix(name, roundRobinBaseline+"/") {
			return s, true
		}
	}
	return Slowdown{}, false
}

// shortInTimeShare returns the share of short model requests that were served with a
// time to first token within the bound, and the number of short model requests.
func shortInTimeShare(outcomes []Outcome, bound time.Duration) (share float64, count int) {
	inTime := 0
	for _, o := range outcomes {
		if o.Request.Kind != KindModel || goose.Classify(o.Request.PromptTokens, giantPromptTokens) != goose.ClassShort {
			continue
		}
		count++
		if o.Result == ResultServed && o.FirstOutput <= bound {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, count)), count
}

func (r *Report) leaveReturnBars() []Bar {
	cut, ranRepeatedly, lost, falseNotRun := 0, 0, 0, 0
	for _, p := range r.Phases {
		cut += p.Results[ResultCut] + p.Results[ResultFailed] + p.Results[ResultWrong]
		ranRepeatedly += p.Orders.RanRepeatedly
		lost += p.Orders.Lost
		falseNotRun += p.Orders.FalseNotRun
	}
	lastNewWork := Bar{Name: "last new work s after leave", Bound: maxLastNewWorkSeconds, NotMeasured: r.LeaveReturn == nil || r.LeaveReturn.LastNewWorkSeconds < 0}
	if !lastNewWork.NotMeasured {
		lastNewWork.Value = r.LeaveReturn.LastNewWorkSeconds
	}
	return []Bar{
		zeroBar("requests cut", cut), zeroBar("orders doubled", ranRepeatedly), zeroBar("orders lost", lost),
		zeroBar("orders that ran after not-run", falseNotRun), lastNewWork,
	}
}

func (r *Report) faultBars() []Bar {
	overloads, missedDeadlines, stillHeld, notSet := 0, 0, 0, 0
	for _, p := range r.Phases {
		overloads += p.ColdOverloads
		missedDeadlines += p.MissedDeadlines
		stillHeld += p.StillHeld.KVTokens + p.StillHeld.Handles + p.StillHeld.Streams
		for _, e := range p.Events {
			if strings.HasSuffix(e.Description, failedSuffix) {
				notSet++
			}
		}
	}
	return []Bar{
		zeroBar("cold bound passed", overloads), zeroBar("KV tokens, handles and streams left", stillHeld),
		zeroBar("requests not ended by their deadline", missedDeadlines), zeroBar("faults that could not be set", notSet),
	}
}

// overloadBars compares the phase above capacity with the phase at capacity.
func (r *Report) overloadBars() []Bar {
	if len(r.Phases) < 2 || r.Phases[0].Goodput.Tokens <= 0 {
		return []Bar{{Name: "goodput", NotMeasured: true}}
	}
	atCapacity, overload := r.Phases[0], r.Phases[1]
	return []Bar{
		{Name: "goodput over that at capacity", Value: overload.Goodput.Tokens / atCapacity.Goodput.Tokens, Bound: minGoodputRatio, IsMinimum: true},
		{Name: "median ms to a refusal", Value: overload.RefusalLatency.P50, Bound: maxRefusalMillis, NotMeasured: overload.RefusalLatency.Count == 0},
		{Name: "refusals", Value: float64(overload.RefusalLatency.Count), Bound: minRefusals, IsMinimum: true},
	}
}

const (
	// withLongSuffix ends the names of phases that include long prompts.
	withLongSuffix = " with long"
	// failedSuffix ends the descriptions of events whose step failed.
	failedSuffix = " failed"
)
