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
	histogramMinMicros         = 1
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

// lengthBucketBounds are the upper bounds, in tokens, of the prompt lengths in
// reports.
var lengthBucketBounds = []int{2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000}

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMaxMicros, max(histogramMinMicros, d.Microseconds())))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// LengthBucket is the time to first token for one range of prompt lengths.
type LengthBucket struct {
	MaxPromptTokens int     `json:"up-to"`
	Latency         Latency `json:"latency"`
}

// Orders compares the responses to the orders of a phase with their executions.
type Orders struct {
	Placed   int `json:"placed"`
	Served   int `json:"served"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	Executed int `json:"executed"`
	// RanRepeatedly is the number of orders that ran more than once.
	RanRepeatedly int `json:"doubles"`
	// Lost is the number of orders whose callers got a complete response but that
	// never ran.
	Lost int `json:"lost"`
	// FalseNotRun is the number of orders that were refused as not-run but ran.
	FalseNotRun int `json:"false-not-run"`
}

// TokenWaste compares the tokens that engines generated with those that callers
// received.
type TokenWaste struct {
	Generated int `json:"generated"`
	Received  int `json:"received"`
	// Undelivered counts tokens that never left the engine, by cause.
	Undelivered map[string]int `json:"causes"`
	// LostInForwarding counts tokens that left an engine but reached no caller, such
	// as those of a killed entry instance, and tokens that a caller received in a
	// stream that broke.
	LostInForwarding int `json:"forwarding"`
}

// HeldResources are resources that backend servers still held after all requests had
// ended.
type HeldResources struct {
	KVTokens int `json:"kv-tokens"`
	Handles  int `json:"handles"`
	Streams  int `json:"streams"`
}

// Sample is a reading of the fleet's counters during a phase.
type Sample struct {
	// At is the time since the start of the phase, in seconds.
	At float64 `json:"at"`
	// Started counts the requests that backend servers started, by data centre.
	// Further parts of a giant request are not counted.
	Started map[string]int `json:"started"`
}

// Phase is the result of sending one plan.
type Phase struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Results  map[Result]int `json:"results"`
	// Refusals counts all refusals by code, including those that were followed by a
	// retry.
	Refusals map[string]int `json:"refusals"`
	// WithoutRetryAfter counts refusals with the code overloaded that had no
	// Retry-After.
	WithoutRetryAfter int `json:"refusals-without-advice"`
	// MissedDeadlines counts requests without a final response within their deadline.
	MissedDeadlines    int                           `json:"late"`
	Tries              int                           `json:"tries"`
	FirstTokenByClass  map[goose.LengthClass]Latency `json:"first-token-by-class"`
	FirstTokenByLength []LengthBucket                `json:"first-token-by-length"`
	LongestGap         Latency                       `json:"longest-gap"`
	// RefusalLatency is the time from sending a try to its refusal.
	RefusalLatency Latency `json:"refused-in"`
	// Goodput covers model requests that were served within their deadline and ended
	// in the last two thirds of the load's duration.
	Goodput        Goodput          `json:"goodput"`
	LatencyByKind  map[Kind]Latency `json:"first-answer-by-kind"`
	Orders         Orders           `json:"orders"`
	Waste          TokenWaste       `json:"waste"`
	StillHeld      HeldResources    `json:"left"`
	ColdOverloads  int              `json:"cold-overloads"`
	Crashes        int              `json:"crashes"`
	RepeatedStarts int              `json:"attempt-doubles"`
	Samples        []Sample         `json:"samples,omitempty"`
	Events         []Event          `json:"events,omitempty"`
	// Details explain requests that failed, were cut, got a wrong response or missed
	// their deadline.
	Details          []string `json:"details,omitempty"`
	Seconds          float64  `json:"seconds"`
	outcomes         []Outcome
	shortFirstTokens map[int]time.Duration
}

// Goodput is served work per second.
type Goodput struct {
	Requests float64 `json:"requests-per-second"`
	// Tokens counts prompt and output tokens.
	Tokens float64 `json:"tokens-per-second"`
}

// Event is an action of a script; plots mark its time.
type Event struct {
	At          float64 `json:"at"`
	Description string  `json:"what"`
}

// script changes the fleet while a phase runs.
type script func(ctx context.Context, p *phaseRun)

// phaseRun is a phase in progress.
type phaseRun struct {
	target *Target
	start  time.Time
	mu     sync.Mutex
	phase  *Phase
}

// recordEvent adds an event with the current time.
func (r *phaseRun) recordEvent(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase.Events = append(r.phase.Events, Event{time.Since(r.start).Seconds(), description})
}

// sleepUntil waits until the given time since the start of the phase. It returns false
// if ctx ended first.
func (r *phaseRun) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.start.Add(at))):
		return true
	}
}

const (
	// sampleInterval is the interval between readings of the counters.
	sampleInterval = 250 * time.Millisecond
	// idleTimeout bounds the wait for backend servers to release their resources after
	// a phase.
	idleTimeout = 20 * time.Second
)

// runPlan sends the requests of the plan at their times while the script runs, and
// returns the result once all requests and the script have ended.
func runPlan(ctx context.Context, t *Target, name, runID string, plan []Request, s script) (*Phase, error) {
	before, err := t.readCounters(ctx)
	if err != nil {
		return nil, err
	}
	r := &phaseRun{target: t, start: time.Now().Add(100 * time.Millisecond), phase: &Phase{Name: name, Requests: len(plan)}}
	scriptCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background conc.WaitGroup
	background.Go(func() { r.sampleCounters(scriptCtx) })
	scriptDone := make(chan struct{})
	background.Go(func() {
		defer close(scriptDone)
		if s != nil {
			s(scriptCtx, r)
		}
	})
	c := newCaller(t, runID)
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
	background.Wait()
	c.http.CloseIdleConnections()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.phase.Seconds = time.Since(r.start).Seconds()
	r.phase.outcomes = outcomes
	after, err := t.waitIdle(ctx)
	if err != nil {
		return nil, err
	}
	r.phase.summarise(t, before, after)
	return r.phase, nil
}

// waitIdle waits until no backend server holds streams, KV handles or KV tokens, at
// most idleTimeout, and returns the last counters.
func (t *Target) waitIdle(ctx context.Context) (backendCounters, error) {
	deadline := time.Now().Add(idleTimeout)
	for {
		counters, err := t.readCounters(ctx)
		if err != nil {
			return counters, err
		}
		held := counters.sumEngines(func(c goosestand.EngineCounters) int { return c.ListedStreams + c.KVHandles + c.KVTokensUsed })
		if held == 0 || time.Now().After(deadline) {
			return counters, nil
		}
		select {
		case <-ctx.Done():
			return counters, ctx.Err()
		case <-time.After(sampleInterval):
		}
	}
}

// sampleCounters reads the counters until ctx ends.
func (r *phaseRun) sampleCounters(ctx context.Context) {
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
		case <-time.After(sampleInterval):
		}
	}
}
