package gooseplacement

import (
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

const (
	// freeingHorizon is the latest time for which an estimate is made; above it, the requests
	// that arrive meanwhile determine when replicas become free.
	freeingHorizon = 10 * time.Second
	// freeingPrecision is the precision of an estimate.
	freeingPrecision = 20 * time.Millisecond
	// freeingSlack is the part of an estimate by which it may be exceeded, and
	// minFreeingSlack its least value.
	freeingSlack    = 0.5
	minFreeingSlack = 100 * time.Millisecond
)

// Forecast is the estimate of when a set of replicas becomes free.
type Forecast struct {
	// After is the time until the set is free.
	After time.Duration
	// Expected is the time to the first event from then on.
	Expected time.Duration
}

// FreeAfter estimates when the request can be placed if no others arrive: each replica first
// finishes its prefill and then frees its memory evenly over the mean duration of a stream. It
// returns false if that is not within freeingHorizon, or if the replicas that are left are not
// enough even without load.
func (pl *Placer) FreeAfter(d Demand, replicas []goosedirectory.Replica, now time.Time) (Forecast, bool) {
	if d.Service.Engine == nil {
		return Forecast{}, false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.table.removeStale(now)
	all, obstacle := pl.candidates(d, pl.withoutLeaving(replicas), now)
	if obstacle != ObstacleNone {
		return Forecast{}, false
	}
	expected, ok := pl.placeAfter(d, all, freeingHorizon, now)
	if !ok {
		return Forecast{}, false
	}
	f := Forecast{After: freeingHorizon, Expected: expected}
	for low := time.Duration(0); f.After-low > freeingPrecision; {
		middle := (low + f.After) / 2
		if expected, ok := pl.placeAfter(d, all, middle, now); ok {
			f = Forecast{After: middle, Expected: expected}
		} else {
			low = middle
		}
	}
	return f, true
}

// placeAfter returns the estimated time to the first event of a request that is placed after
// the given time, and whether it can be placed then.
func (pl *Placer) placeAfter(d Demand, all []candidate, after time.Duration, now time.Time) (time.Duration, bool) {
	e := *d.Service.Engine
	later := make([]candidate, len(all))
	for i, c := range all {
		c.load = loadAfter(c.load, e, d.OutputTokens, after)
		pl.setCost(&c, e, false, d.PromptTokens+d.OutputTokens, now)
		later[i] = c
	}
	sort.SliceStable(later, func(i, j int) bool { return later[i].cost < later[j].cost })
	prefill := e.PrefillTime(d.PromptTokens)
	p, obstacle := plan(d, later, prefill, isShort(prefill))
	if obstacle != ObstacleNone {
		return 0, false
	}
	return p.timeToFirst(e, prefill, now), true
}

// loadAfter returns what is left of a load after the given time if no request arrives.
func loadAfter(l Load, e goose.EngineProfile, output int, after time.Duration) Load {
	stream := streamDuration(e, l, output)
	decoded := max(after-l.Prefill, 0)
	left := max(1-float64(decoded)/float64(max(stream, 1)), 0)
	l.Prefill = max(l.Prefill-after, 0)
	if l.Prefill == 0 {
		l.Waiting = 0
	}
	l.Requests, l.Tokens = int(left*float64(l.Requests)), int(left*float64(l.Tokens))
	l.Waiting = min(l.Waiting, l.Requests)
	l.ShortPauseStreams, l.MediumPauseStreams = int(left*float64(l.ShortPauseStreams)), int(left*float64(l.MediumPauseStreams))
	return l
}

// streamDuration returns the mean duration of a stream after its first event. output is the
// number of tokens to assume if the service has no mean.
func streamDuration(e goose.EngineProfile, l Load, output int) time.Duration {
	if e.MeanOutputTokens > 0 {
		output = e.MeanOutputTokens
	}
	return passDuration(e, l) / time.Duration(max(e.StepsPerPass, 1)) * time.Duration(max(output, 1))
}

// SetWait decides how long a request waits for a set of replicas.
type SetWait struct {
	Arrived   time.Time
	Objective time.Duration
	// giveUpAt is when the first estimate has been exceeded; zero before there is one.
	giveUpAt time.Time
}

// Continue reports whether the request waits on: its first event is then still expected within
// its objective, and the first estimate was not exceeded by more than its slack. An estimate
// that recedes shows that other requests take the replicas.
func (w *SetWait) Continue(f Forecast, now time.Time) bool {
	if w.giveUpAt.IsZero() {
		w.giveUpAt = now.Add(f.After + max(time.Duration(freeingSlack*float64(f.After)), minFreeingSlack))
	}
	return !now.After(w.giveUpAt) && now.Sub(w.Arrived)+f.After+f.Expected <= w.Objective
}
