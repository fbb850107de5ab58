package goosebench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxDetails bounds the explanations of wrong answers in a report.
const maxDetails = 20

// engineMemory is the prompt length above which a prompt counts as giant in
// reports.
const engineMemory = 400_000

func (p *Phase) summarise(t *Target, before, after totals) {
	p.Results, p.Refusals = map[Result]int{}, map[string]int{}
	p.shortByIndex = map[int]time.Duration{}
	classes := map[goose.LengthClass]*hdrhistogram.Histogram{}
	kinds := map[Kind]*hdrhistogram.Histogram{}
	lengths := make([]*hdrhistogram.Histogram, len(bucketBounds))
	for i := range lengths {
		lengths[i] = newHistogram()
	}
	gaps, refused := newHistogram(), newHistogram()
	for _, o := range p.outcomes {
		p.count(o)
		for _, d := range o.Refused {
			record(refused, d)
		}
		if o.Result != ResultServed {
			continue
		}
		record(histogramOf(kinds, o.Request.Kind), o.First)
		if o.Request.Kind != KindModel {
			continue
		}
		class := goose.Classify(o.Request.PromptTokens, engineMemory)
		record(histogramOf(classes, class), o.First)
		record(lengths[bucketOf(o.Request.PromptTokens)], o.First)
		record(gaps, o.Gap)
		if class == goose.ClassShort {
			p.shortByIndex[o.Request.Index] = o.First
		}
	}
	p.ByClass, p.ByKind = summaries(classes), summaries(kinds)
	p.Gaps, p.RefusedIn = summary(gaps), summary(refused)
	for i, h := range lengths {
		p.ByLength = append(p.ByLength, Bucket{bucketBounds[i], summary(h)})
	}
	p.orders(t, after)
	p.compare(before, after)
}

// goodputOf returns the served model work that ended from a third of the
// load's duration on, when a queue of an overloaded fleet has formed, until its
// end, so that work done after the load does not count.
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

func summaries[K comparable](m map[K]*hdrhistogram.Histogram) map[K]Latency {
	out := make(map[K]Latency, len(m))
	for k, h := range m {
		out[k] = summary(h)
	}
	return out
}

func bucketOf(tokens int) int {
	for i, b := range bucketBounds {
		if tokens <= b {
			return i
		}
	}
	return len(bucketBounds) - 1
}

func (p *Phase) count(o Outcome) {
	p.Results[o.Result]++
	p.Tries += o.Tries
	p.NoAdvice += o.NoAdvice
	for code, n := range o.Refusals {
		p.Refusals[code] += n
	}
	p.Waste.Received += o.Tokens
	if o.Late {
		p.Late++
	}
	if o.Late || o.Result == ResultFailed || o.Result == ResultCut || o.Result == ResultWrong {
		p.explain(o)
	}
}

// explain adds a detail. Failures with a final answer, of which an overload has
// many, come last and give way to the others.
func (p *Phase) explain(o Outcome) {
	d := fmt.Sprintf("%s request %d (%d prompt tokens, %s): %s", o.Request.Kind, o.Request.Index, o.Request.PromptTokens, o.Result, o.Detail)
	if o.Late || o.Result != ResultFailed {
		p.Details = slices.Insert(p.Details, 0, d)
	} else {
		p.Details = append(p.Details, d)
	}
	p.Details = p.Details[:min(len(p.Details), maxDetails)]
}

// orders compares what callers were told with what plain services executed.
func (p *Phase) orders(t *Target, after totals) {
	executed := after.executed[t.Orders]
	for _, o := range p.outcomes {
		if o.Request.Kind != KindOrder {
			continue
		}
		n := executed[o.Body]
		p.Orders.Placed++
		if n > 0 {
			p.Orders.Executed++
		}
		if n > 1 {
			p.Orders.Doubles++
		}
		switch {
		case o.Result == ResultServed:
			p.Orders.Served++
			if n == 0 {
				p.Orders.Lost++
			}
		case o.Result == ResultRefused && o.Run == string(goose.RunStateNotRun):
			p.Orders.NotRun++
			if n > 0 {
				p.Orders.FalseNotRun++
			}
		default:
			p.Orders.Unknown++
		}
	}
}

// compare fills in what the simulators counted during the phase.
func (p *Phase) compare(before, after totals) {
	diff := func(f func(goosestand.EngineCounters) int) int { return after.sum(f) - before.sum(f) }
	p.Overloads = after.overloads() - before.overloads()
	p.Crashes = diff(func(c goosestand.EngineCounters) int { return c.Crashes })
	p.Doubles = diff(func(c goosestand.EngineCounters) int { return len(c.Doubles) })
	p.Left = Leftovers{
		KVTokens: after.sum(func(c goosestand.EngineCounters) int { return c.KVUsed }),
		Handles:  after.sum(func(c goosestand.EngineCounters) int { return c.Exports }),
		Streams:  after.sum(func(c goosestand.EngineCounters) int { return c.Listed }),
	}
	p.Waste.Generated = diff(func(c goosestand.EngineCounters) int { return c.Generated })
	p.Waste.Causes = map[string]int{}
	for _, cause := range []string{"cancelled", "crashed"} {
		p.Waste.Causes[cause] = diff(func(c goosestand.EngineCounters) int { return c.Undelivered[cause] })
	}
	p.Waste.Forwarding = max(0, diff(func(c goosestand.EngineCounters) int { return c.Delivered })-p.servedTokens())
}

// servedTokens counts the tokens of whole answers.
func (p *Phase) servedTokens() int {
	n := 0
	for _, o := range p.outcomes {
		if o.Result == ResultServed {
			n += o.Tokens
		}
	}
	return n
}

// Violations lists the guarantees that the phase saw broken.
func (p *Phase) Violations() []string {
	var all []string
	add := func(n int, what string) {
		if n > 0 {
			all = append(all, fmt.Sprintf("%s: %d %s", p.Name, n, what))
		}
	}
	add(p.Results[ResultWrong], "wrong answers")
	add(p.Late, "requests without a final answer within their deadline")
	add(p.Orders.Doubles, "orders ran twice")
	add(p.Orders.Lost, "orders were answered but never ran")
	add(p.Orders.FalseNotRun, "orders were refused as not-run but ran")
	add(p.Overloads, "cold overloads")
	add(p.Left.KVTokens, "KV tokens not returned")
	add(p.Left.Handles, "KV handles not deleted")
	add(p.Left.Streams, "streams not ended")
	add(p.NoAdvice, "refusals for load without Retry-After")
	return all
}
