package goosebench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxDetails bounds the number of details in a report.
const maxDetails = 20

// giantPromptTokens is the prompt length above which a prompt counts as giant in
// reports.
const giantPromptTokens = 400_000

func (p *Phase) summarise(t *Target, before, after backendCounters) {
	p.Results, p.Refusals = map[Result]int{}, map[string]int{}
	p.shortFirstTokens = map[int]time.Duration{}
	classes := map[goose.LengthClass]*hdrhistogram.Histogram{}
	kinds := map[Kind]*hdrhistogram.Histogram{}
	lengths := make([]*hdrhistogram.Histogram, len(lengthBucketBounds))
	for i := range lengths {
		lengths[i] = newHistogram()
	}
	gaps, refusals := newHistogram(), newHistogram()
	for _, o := range p.outcomes {
		p.countOutcome(o)
		for _, d := range o.RefusalLatencies {
			recordLatency(refusals, d)
		}
		if o.Result != ResultServed {
			continue
		}
		recordLatency(histogramOf(kinds, o.Request.Kind), o.FirstOutput)
		if o.Request.Kind != KindModel {
			continue
		}
		class := goose.Classify(o.Request.PromptTokens, giantPromptTokens)
		recordLatency(histogramOf(classes, class), o.FirstOutput)
		recordLatency(lengths[lengthBucketOf(o.Request.PromptTokens)], o.FirstOutput)
		recordLatency(gaps, o.LongestGap)
		if class == goose.ClassShort {
			p.shortFirstTokens[o.Request.Index] = o.FirstOutput
		}
	}
	p.FirstTokenByClass, p.LatencyByKind = latenciesOf(classes), latenciesOf(kinds)
	p.LongestGap, p.RefusalLatency = latencyOf(gaps), latencyOf(refusals)
	for i, h := range lengths {
		p.FirstTokenByLength = append(p.FirstTokenByLength, LengthBucket{lengthBucketBounds[i], latencyOf(h)})
	}
	p.compareOrders(t, after)
	p.compareCounters(before, after)
}

// goodputOf returns the rates of model requests that were served within the deadline
// and of their tokens. It counts requests that ended after the first third of the
// load's duration, when an overloaded fleet has built up a queue, and before the end
// of the load, so that work done after the load does not count.
func goodputOf(outcomes []Outcome, load, deadline time.Duration) Goodput {
	from := load / 3
	var g Goodput
	for _, o := range outcomes {
		end := o.Request.At + o.Total
		if o.Result != ResultServed || o.Request.Kind != KindModel || o.Total > deadline || end < from || end > load {
			continue
		}
		g.Requests++
		g.Tokens += float64(o.Request.PromptTokens + o.Tokens)
	}
	seconds := (load - from).Seconds()
	return Goodput{Requests: g.Requests / seconds, Tokens: g.Tokens / seconds}
}

func histogramOf[K comparable](m map[K]*hdrhistogram.Histogram, k K) *hdrhistogram.Histogram {
	if m[k] == nil {
		m[k] = newHistogram()
	}
	return m[k]
}

func latenciesOf[K comparable](m map[K]*hdrhistogram.Histogram) map[K]Latency {
	out := make(map[K]Latency, len(m))
	for k, h := range m {
		out[k] = latencyOf(h)
	}
	return out
}

func lengthBucketOf(tokens int) int {
	for i, b := range lengthBucketBounds {
		if tokens <= b {
			return i
		}
	}
	return len(lengthBucketBounds) - 1
}

func (p *Phase) countOutcome(o Outcome) {
	p.Results[o.Result]++
	p.Tries += o.Tries
	p.WithoutRetryAfter += o.WithoutRetryAfter
	for code, n := range o.Refusals {
		p.Refusals[code] += n
	}
	p.Waste.Received += o.Tokens
	if o.MissedDeadline {
		p.MissedDeadlines++
	}
	if o.MissedDeadline || o.Result == ResultFailed || o.Result == ResultCut || o.Result == ResultWrong {
		p.addDetail(o)
	}
}

// addDetail adds a detail. Failures with a final response, which are frequent under
// overload, come last and are dropped first.
func (p *Phase) addDetail(o Outcome) {
	detail := fmt.Sprintf("%s request %d (%d prompt tokens, %s): %s", o.Request.Kind, o.Request.Index, o.Request.PromptTokens, o.Result, o.Detail)
	if o.MissedDeadline || o.Result != ResultFailed {
		p.Details = slices.Insert(p.Details, 0, detail)
	} else {
		p.Details = append(p.Details, detail)
	}
	p.Details = p.Details[:min(len(p.Details), maxDetails)]
}

// compareOrders compares the responses to orders with the executions that plain
// services recorded.
func (p *Phase) compareOrders(t *Target, after backendCounters) {
	executed := after.executed[t.Orders]
	for _, o := range p.outcomes {
		if o.Request.Kind != KindOrder {
			continue
		}
		runs := executed[o.BodyHash]
		p.Orders.Placed++
		if runs > 0 {
			p.Orders.Executed++
		}
		if runs > 1 {
			p.Orders.RanRepeatedly++
		}
		switch {
		case o.Result == ResultServed:
			p.Orders.Served++
			if runs == 0 {
				p.Orders.Lost++
			}
		case o.Result == ResultRefused && o.RunState == string(goose.RunStateNotRun):
			p.Orders.NotRun++
			if runs > 0 {
				p.Orders.FalseNotRun++
			}
		default:
			p.Orders.Unknown++
		}
	}
}

// compareCounters sets the figures that come from the counters of the simulated
// backend servers.
func (p *Phase) compareCounters(before, after backendCounters) {
	increase := func(f func(goosestand.EngineCounters) int) int { return after.sumEngines(f) - before.sumEngines(f) }
	p.ColdOverloads = after.coldOverloads() - before.coldOverloads()
	p.Crashes = increase(func(c goosestand.EngineCounters) int { return c.Crashes })
	p.RepeatedStarts = increase(func(c goosestand.EngineCounters) int { return len(c.RepeatedStarts) })
	p.StillHeld = HeldResources{
		KVTokens: after.sumEngines(func(c goosestand.EngineCounters) int { return c.KVTokensUsed }),
		Handles:  after.sumEngines(func(c goosestand.EngineCounters) int { return c.KVHandles }),
		Streams:  after.sumEngines(func(c goosestand.EngineCounters) int { return c.ListedStreams }),
	}
	p.Waste.Generated = increase(func(c goosestand.EngineCounters) int { return c.GeneratedTokens })
	p.Waste.Undelivered = map[string]int{}
	for _, cause := range []string{"cancelled", "crashed"} {
		p.Waste.Undelivered[cause] = increase(func(c goosestand.EngineCounters) int { return c.UndeliveredTokens[cause] })
	}
	p.Waste.LostInForwarding = max(0, increase(func(c goosestand.EngineCounters) int { return c.DeliveredTokens })-p.servedTokens())
}

// servedTokens returns the number of output tokens in complete responses.
func (p *Phase) servedTokens() int {
	n := 0
	for _, o := range p.outcomes {
		if o.Result == ResultServed {
			n += o.Tokens
		}
	}
	return n
}

// Violations lists the guarantees whose violation was seen in the phase.
func (p *Phase) Violations() []string {
	var all []string
	add := func(n int, violation string) {
		if n > 0 {
			all = append(all, fmt.Sprintf("%s: %d %s", p.Name, n, violation))
		}
	}
	add(p.Results[ResultWrong], "wrong answers")
	add(p.MissedDeadlines, "requests without a final answer within their deadline")
	add(p.Orders.RanRepeatedly, "orders ran twice")
	add(p.Orders.Lost, "orders were answered but never ran")
	add(p.Orders.FalseNotRun, "orders were refused as not-run but ran")
	add(p.ColdOverloads, "cold overloads")
	add(p.StillHeld.KVTokens, "KV tokens not returned")
	add(p.StillHeld.Handles, "KV handles not deleted")
	add(p.StillHeld.Streams, "streams not ended")
	add(p.WithoutRetryAfter, "refusals for load without Retry-After")
	return all
}
