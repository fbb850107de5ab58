package goosebench

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Bounds of the bars. They are targets of the project and do not follow what
// is measured.
const (
	mostSlowdown       = 1.1
	mostOfRoundRobin   = 0.25
	shortFirstToken    = 950 * time.Millisecond
	leastShortInTime   = 0.95
	mostLastWork       = 3.0
	leastGoodput       = 0.95
	mostRefusalMillis  = 50
	leastRefusals      = 1
	roundRobinBaseline = "round-robin/fifo"
)

// Bar compares one figure with its bound.
type Bar struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	// Least is set if the value must reach the bound; else it must not pass it.
	Least bool `json:"least"`
	// Missing is set if the run did not measure the value.
	Missing bool `json:"missing,omitempty"`
}

// met reports whether the bar is kept. A figure that was not measured is a miss.
func (b Bar) met() bool {
	switch {
	case b.Missing:
		return false
	case b.Least:
		return b.Value >= b.Bound
	}
	return b.Value <= b.Bound
}

func (b Bar) String() string {
	sign, verdict, value := "<=", "kept", fmt.Sprintf("%.3g", b.Value)
	if b.Least {
		sign = ">="
	}
	if b.Missing {
		value = "not measured"
	}
	if !b.met() {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s %s (%s %.3g, %s)", b.Name, value, sign, b.Bound, verdict)
}

// none is a bar on a count that must stay zero.
func none(name string, n int) Bar { return Bar{Name: name, Value: float64(n)} }

// bars returns the bars of the scenario with the report's figures.
func (r *Report) bars() []Bar {
	switch r.Scenario {
	case "mixed":
		return r.mixedBars()
	case "leave-return":
		return r.leaveBars()
	case "faults":
		return r.faultBars()
	case "overload":
		return r.overloadBars()
	}
	return nil
}

// missed reports whether a bar was missed.
func (r *Report) missed() bool {
	for _, b := range r.Bars {
		if !b.met() {
			return true
		}
	}
	return false
}

// barLine is the last line of a run.
func (r *Report) barLine() string {
	all := make([]string, len(r.Bars))
	for i, b := range r.Bars {
		all[i] = b.String()
	}
	return fmt.Sprintf("bars of %s, %s: %s", r.Scenario, r.Fleet, strings.Join(all, "; "))
}

// mixedBars compares the first baseline of the run with round robin. Times to
// first token are simulated ones.
func (r *Report) mixedBars() []Bar {
	if len(r.Phases) < 2 {
		return []Bar{{Name: "slowdown", Missing: true}}
	}
	own, ok := r.Slowdown[strings.TrimSuffix(r.Phases[1].Name, withLong)]
	robin, compared := r.roundRobin()
	part := Bar{Name: "p95 slowdown of short over round robin's", Bound: mostOfRoundRobin, Missing: !ok || !compared || robin.P95 <= 0}
	if !part.Missing {
		part.Value = own.P95 / robin.P95
	}
	share, counted := shortInTime(r.Phases[1].outcomes, time.Duration(float64(shortFirstToken)/r.Scale))
	return []Bar{
		{Name: "p95 slowdown of short beside long", Value: own.P95, Bound: mostSlowdown, Missing: !ok || own.P95 <= 0},
		part,
		{Name: "short with first token in " + shortFirstToken.String(), Value: share, Bound: leastShortInTime, Least: true, Missing: counted == 0},
	}
}

// roundRobin returns the slowdown of the round-robin baseline, with any bound on
// long prefills.
func (r *Report) roundRobin() (Slowdown, bool) {
	for name, s := range r.Slowdown {
		if name == roundRobinBaseline || strings.HasPrefix(name, roundRobinBaseline+"/") {
			return s, true
		}
	}
	return Slowdown{}, false
}

// shortInTime returns the share of short model requests that were served with
// their first token in time, and how many there were.
func shortInTime(outcomes []Outcome, bound time.Duration) (share float64, count int) {
	good := 0
	for _, o := range outcomes {
		if o.Request.Kind != KindModel || goose.Classify(o.Request.PromptTokens, engineMemory) != goose.ClassShort {
			continue
		}
		count++
		if o.Result == ResultServed && o.First <= bound {
			good++
		}
	}
	return float64(good) / float64(max(1, count)), count
}

func (r *Report) leaveBars() []Bar {
	cut, doubles, lost, untrue := 0, 0, 0, 0
	for _, p := range r.Phases {
		cut += p.Results[ResultCut] + p.Results[ResultFailed] + p.Results[ResultWrong]
		doubles += p.Orders.Doubles
		lost += p.Orders.Lost
		untrue += p.Orders.FalseNotRun
	}
	last := Bar{Name: "last new work s after leave", Bound: mostLastWork, Missing: r.Leave == nil || r.Leave.LastWork < 0}
	if !last.Missing {
		last.Value = r.Leave.LastWork
	}
	return []Bar{
		none("requests cut", cut), none("orders doubled", doubles), none("orders lost", lost),
		none("orders that ran after not-run", untrue), last,
	}
}

func (r *Report) faultBars() []Bar {
	overloads, late, left, unset := 0, 0, 0, 0
	for _, p := range r.Phases {
		overloads += p.Overloads
		late += p.Late
		left += p.Left.KVTokens + p.Left.Handles + p.Left.Streams
		for _, e := range p.Events {
			if strings.HasSuffix(e.What, failedMark) {
				unset++
			}
		}
	}
	return []Bar{
		none("cold bound passed", overloads), none("KV tokens, handles and streams left", left),
		none("requests not ended by their deadline", late), none("faults that could not be set", unset),
	}
}

// overloadBars compares the phase at capacity with the one above it.
func (r *Report) overloadBars() []Bar {
	if len(r.Phases) < 2 || r.Phases[0].Goodput.Tokens <= 0 {
		return []Bar{{Name: "goodput", Missing: true}}
	}
	full, over := r.Phases[0], r.Phases[1]
	return []Bar{
		{Name: "goodput over that at capacity", Value: over.Goodput.Tokens / full.Goodput.Tokens, Bound: leastGoodput, Least: true},
		{Name: "median ms to a refusal", Value: over.RefusedIn.P50, Bound: mostRefusalMillis, Missing: over.RefusedIn.Count == 0},
		{Name: "refusals", Value: float64(over.RefusedIn.Count), Bound: leastRefusals, Least: true},
	}
}

const (
	// withLong ends the names of phases with long prompts.
	withLong = " with long"
	// failedMark ends the notes of steps that failed.
	failedMark = " failed"
)
