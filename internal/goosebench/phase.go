package goosebench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Histograms hold microseconds from 1 µs to 10 min with 3 significant digits.
const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// bucketBounds are the upper bounds of prompt lengths in reports.
var bucketBounds = []int{2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000}

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramHighest, max(histogramLowest, d.Microseconds())))
}

func summary(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Bucket is the time to first token of one range of prompt lengths.
type Bucket struct {
	// UpTo is the largest prompt length in tokens.
	UpTo    int     `json:"up-to"`
	Latency Latency `json:"latency"`
}

// Orders tells what became of the orders of a phase.
type Orders struct {
	Placed   int `json:"placed"`
	Served   int `json:"served"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	Executed int `json:"executed"`
	// Doubles is the number of orders that ran more than once.
	Doubles int `json:"doubles"`
	// Lost is the number of orders that were answered but never ran.
	Lost int `json:"lost"`
	// FalseNotRun is the number of orders that were refused as not-run but ran.
	FalseNotRun int `json:"false-not-run"`
}

// Waste counts tokens that engines generated for nobody.
type Waste struct {
	Generated int `json:"generated"`
	Received  int `json:"received"`
	// Causes are tokens that never left the engine, by cause.
	Causes map[string]int `json:"causes"`
	// Forwarding are tokens that left an engine but reached no caller, such as
	// those of a killed entry instance, or that a caller received in a stream
	// that broke.
	Forwarding int `json:"forwarding"`
}

// Leftovers are resources that were still held after all requests had ended.
type Leftovers struct {
	KVTokens int `json:"kv-tokens"`
	Handles  int `json:"handles"`
	Streams  int `json:"streams"`
}

// Sample is the state of the fleet at one time of a phase.
type Sample struct {
	// At counts from the start of the phase, in seconds.
	At float64 `json:"at"`
	// Started counts new requests that backend servers started, by data centre;
	// further parts of a giant request are not new.
	Started map[string]int `json:"started"`
}

// Phase is the result of one plan.
type Phase struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Results  map[Result]int `json:"results"`
	// Refusals counts all refusals by code, those before a retry included.
	Refusals map[string]int `json:"refusals"`
	// NoAdvice counts refusals for load without Retry-After.
	NoAdvice int `json:"refusals-without-advice"`
	// Late counts requests without a final answer within their deadline.
	Late     int                           `json:"late"`
	Tries    int                           `json:"tries"`
	ByClass  map[goose.LengthClass]Latency `json:"first-token-by-class"`
	ByLength []Bucket                      `json:"first-token-by-length"`
	Gaps     Latency                       `json:"longest-gap"`
	// RefusedIn are the times from sending a try to its refusal.
	RefusedIn Latency `json:"refused-in"`
	// Goodput is what engines did for model requests that were served within
	// their deadline and in the last two thirds of the load's duration.
	Goodput   Goodput          `json:"goodput"`
	ByKind    map[Kind]Latency `json:"first-answer-by-kind"`
	Orders    Orders           `json:"orders"`
	Waste     Waste            `json:"waste"`
	Left      Leftovers        `json:"left"`
	Overloads int              `json:"cold-overloads"`
	Crashes   int              `json:"crashes"`
	Doubles   int              `json:"attempt-doubles"`
	Samples   []Sample         `json:"samples,omitempty"`
	Events    []Event          `json:"events,omitempty"`
	// Details explain requests that were cut, wrong or late.
	Details      []string `json:"details,omitempty"`
	Seconds      float64  `json:"seconds"`
	outcomes     []Outcome
	shortByIndex map[int]time.Duration
}

// Goodput is served work per second.
type Goodput struct {
	Requests float64 `json:"requests-per-second"`
	// Tokens counts prompts and outputs.
	Tokens float64 `json:"tokens-per-second"`
}

// Event is something that a script did, for plots.
type Event struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// script acts on the fleet while a phase runs.
type script func(ctx context.Context, p *phaseRun)

// phaseRun is a phase in progress.
type phaseRun struct {
	target *Target
	start  time.Time
	mu     sync.Mutex
	phase  *Phase
}

// note adds an event at the present time.
func (r *phaseRun) note(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase.Events = append(r.phase.Events, Event{time.Since(r.start).Seconds(), what})
}

// sleepUntil waits until a time of the phase; false if ctx ended first.
func (r *phaseRun) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.start.Add(at))):
		return true
	}
}

const (
	// sampleEvery is the pause between readings of the counters.
	sampleEvery = 250 * time.Millisecond
	// settleTime bounds the wait for streams to end after a phase.
	settleTime = 20 * time.Second
)

// runPhase sends the plan's requests at their times, runs the script beside
// them and returns the result once all have ended.
func runPhase(ctx context.Context, t *Target, name, run string, plan []Request, s script) (*Phase, error) {
	before, err := t.totals(ctx)
	if err != nil {
		return nil, err
	}
	r := &phaseRun{target: t, start: time.Now().Add(100 * time.Millisecond), phase: &Phase{Name: name, Requests: len(plan)}}
	scriptCtx, stop := context.WithCancel(ctx)
	defer stop()
	var beside conc.WaitGroup
	beside.Go(func() { r.sample(scriptCtx) })
	scriptDone := make(chan struct{})
	beside.Go(func() {
		defer close(scriptDone)
		if s != nil {
			s(scriptCtx, r)
		}
	})
	c := newCaller(t, run)
	outcomes := make([]Outcome, len(plan))
	var requests conc.WaitGroup
	for i, q := range plan {
		if !r.sleepUntil(ctx, q.At) {
			break
		}
		requests.Go(func() { outcomes[i] = c.do(ctx, q, r.start) })
	}
	requests.Wait()
	<-scriptDone
	stop()
	beside.Wait()
	c.http.CloseIdleConnections()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.phase.Seconds = time.Since(r.start).Seconds()
	r.phase.outcomes = outcomes
	after, err := t.settle(ctx)
	if err != nil {
		return nil, err
	}
	r.phase.summarise(t, before, after)
	return r.phase, nil
}

// settle waits until no backend server holds work, at most settleTime.
func (t *Target) settle(ctx context.Context) (totals, error) {
	deadline := time.Now().Add(settleTime)
	for {
		s, err := t.totals(ctx)
		if err != nil {
			return s, err
		}
		held := s.sum(func(c goosestand.EngineCounters) int { return c.Listed + c.Exports + c.KVUsed })
		if held == 0 || time.Now().After(deadline) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(sampleEvery):
		}
	}
}

// sample reads the counters until ctx ends.
func (r *phaseRun) sample(ctx context.Context) {
	for ctx.Err() == nil {
		s := Sample{At: time.Since(r.start).Seconds(), Started: map[string]int{}}
		ok := true
		for _, b := range r.target.Backends {
			var c struct {
				Started   int `json:"requests-started"`
				Continued int `json:"requests-continued"`
			}
			if b.Counters(ctx, &c) != nil {
				ok = false
				break
			}
			s.Started[b.DataCentre] += c.Started - c.Continued
		}
		if ok {
			r.mu.Lock()
			r.phase.Samples = append(r.phase.Samples, s)
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(sampleEvery):
		}
	}
}
