package goosestand

import (
	"sort"
	"time"
)

// idleReport is how often an idle engine refreshes its load report.
const idleReport = 50 * time.Millisecond

// loop computes steps until the engine stops.
func (e *Engine) loop() {
	next := time.Now()
	for {
		e.mu.Lock()
		cost := e.step()
		e.record(time.Now())
		e.mu.Unlock()
		if cost == 0 {
			select {
			case <-e.stopping:
				return
			case <-e.work:
			case <-time.After(idleReport):
			}
			next = time.Now()
			continue
		}
		next = next.Add(e.real(cost))
		select {
		case <-e.stopping:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// real converts simulated time into real time.
func (e *Engine) real(d time.Duration) time.Duration {
	f := 1.0
	if slow := e.faults.get().Slow; slow > 0 {
		f = slow
	}
	return time.Duration(float64(d) * f / e.cfg.Scale)
}

// step computes one batch step and returns its simulated time; zero if there
// was nothing to do. Long prefills make the step, and so every stream, slower.
func (e *Engine) step() time.Duration {
	q := e.queue()
	e.admit(q)
	if e.cfg.PrefillOrder == PrefillByArrival {
		sort.SliceStable(q, func(i, j int) bool { return q[i].joined < q[j].joined })
	}
	budget := e.cfg.PrefillChunk
	decoding := 0
	var prefill time.Duration
	for _, s := range q {
		switch {
		case !s.running || s.gone != "":
		case s.prefilled < s.toPrefill:
			if budget == 0 {
				continue
			}
			n := min(budget, s.toPrefill-s.prefilled)
			budget -= n
			prefill += e.prefillCost(s, n)
			if !e.prefilled(s, n) {
				return e.cfg.StepBase
			}
		default:
			decoding++
			e.decode(s)
		}
	}
	if decoding == 0 && prefill == 0 {
		return 0
	}
	e.broadcast()
	return e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerStream + prefill
}

// admit moves waiting streams into the batch while memory lasts.
func (e *Engine) admit(q []*stream) {
	running := 0
	for _, s := range q {
		if s.running {
			running++
		}
	}
	for _, s := range q {
		if s.running {
			continue
		}
		if running >= e.cfg.Concurrency || e.kvUsed+s.reserved > e.cfg.MemoryTokens {
			return
		}
		running++
		s.running = true
		e.order++
		s.joined = e.order
		e.kvUsed += s.reserved
		hit := min(e.cached(s.blocks), s.toPrefill)
		e.count.CacheHits += hit
		s.toPrefill -= hit
	}
}

func (e *Engine) prefillCost(s *stream, n int) time.Duration {
	position := s.prompt - s.toPrefill + s.prefilled
	factor := 1 + float64(position)/float64(e.cfg.AttentionTokens)
	return time.Duration(float64(n) / e.cfg.PrefillRate * factor * float64(time.Second))
}

// prefilled notes n computed prompt tokens; false if the engine crashed.
func (e *Engine) prefilled(s *stream, n int) bool {
	s.prefilled += n
	e.count.Prefilled += n
	if s.prefilled < s.toPrefill {
		return true
	}
	if s.marked {
		e.count.MarkedCrashes++
		e.crash("marked request")
		return false
	}
	e.store(s.blocks)
	if s.export != nil {
		e.finishExport(s)
	}
	return true
}

func (e *Engine) decode(s *stream) {
	if s.export != nil {
		e.finishExport(s)
		return
	}
	if s.marked {
		e.count.MarkedCrashes++
		e.crash("marked request")
		return
	}
	s.made++
	e.count.Generated++
	if s.made < s.max {
		return
	}
	s.done = true
	e.count.Finished++
	e.warmUp(s)
}

// cached returns how many prompt tokens the prefix cache holds.
func (e *Engine) cached(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			break
		}
		n += BlockTokens
	}
	return n
}

// store puts the prompt's blocks into the prefix cache.
func (e *Engine) store(blocks []uint64) {
	for _, b := range blocks {
		if e.cache.Contains(b) {
			continue
		}
		if e.cache.Len() >= max(1, e.cfg.CacheTokens/BlockTokens) {
			if old, _, ok := e.cache.RemoveOldest(); ok {
				e.events.add(old, true)
			}
		}
		e.cache.Add(b, struct{}{})
		e.events.add(b, false)
	}
}

// wake starts the loop when work arrives.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// timedReport is the load at one time.
type timedReport struct {
	at                   time.Time
	process, model       string
	cold                 bool
	running, waiting, kv int
}

// reportEvery is the spacing of remembered load reports.
const reportEvery = 50 * time.Millisecond

// record remembers the present load for later reports.
func (e *Engine) record(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportEvery {
		return
	}
	r := timedReport{at: now, process: e.process, model: e.model, cold: e.cold(), kv: e.kvUsed}
	for _, s := range e.streams {
		switch {
		case s.done:
		case s.running:
			r.running++
		default:
			r.waiting++
		}
	}
	e.reports = append(e.reports, r)
	keep := now.Add(-2*e.lag() - time.Second)
	for len(e.reports) > 1 && e.reports[1].at.Before(keep) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) lag() time.Duration {
	if l := e.faults.get().Lag; l > 0 {
		return time.Duration(l)
	}
	return e.cfg.Lag
}

// report returns the newest load report that is older than the lag.
func (e *Engine) report(now time.Time) timedReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(now)
	r := e.reports[0]
	for _, c := range e.reports {
		if c.at.After(now.Add(-e.lag())) {
			break
		}
		r = c
	}
	return r
}
