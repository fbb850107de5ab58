package goosestand

import (
	"sort"
	"time"
)

// idleReportInterval is the interval at which an idle engine refreshes its load
// report.
const idleReportInterval = 50 * time.Millisecond

// loop computes steps until the engine stops.
func (e *Engine) loop() {
	next := time.Now()
	for {
		e.mu.Lock()
		cost := e.step()
		e.recordLoad(time.Now())
		e.mu.Unlock()
		if cost == 0 {
			select {
			case <-e.stopping:
				return
			case <-e.work:
			case <-time.After(idleReportInterval):
			}
			next = time.Now()
			continue
		}
		next = next.Add(e.realTime(cost))
		select {
		case <-e.stopping:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// realTime converts simulated time into real time and applies the slow fault.
func (e *Engine) realTime(d time.Duration) time.Duration {
	factor := 1.0
	if slow := e.faults.get().Slow; slow > 0 {
		factor = slow
	}
	return time.Duration(float64(d) * factor / e.cfg.TimeScale)
}

// step computes one batch step and returns its simulated duration, or zero if
// there was nothing to do. Long prefills slow down the step and with it every
// stream of the batch.
func (e *Engine) step() time.Duration {
	streams := e.unfinishedStreams()
	e.admit(streams)
	if e.cfg.PrefillOrder == PrefillByArrival {
		sort.SliceStable(streams, func(i, j int) bool { return streams[i].batchOrder < streams[j].batchOrder })
	}
	budget := e.cfg.PrefillChunk
	decoding := 0
	var prefill time.Duration
	for _, s := range streams {
		switch {
		case !s.running || s.dropCause != "":
		case s.prefilled < s.toPrefill:
			if budget == 0 {
				continue
			}
			n := min(budget, s.toPrefill-s.prefilled)
			budget -= n
			prefill += e.prefillCost(s, n)
			if !e.recordPrefill(s, n) {
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
	e.notifyStep()
	return e.cfg.StepBase + time.Duration(decoding)*e.cfg.StepPerStream + prefill
}

// admit moves waiting streams into the batch while slots and memory are free.
func (e *Engine) admit(streams []*stream) {
	running := 0
	for _, s := range streams {
		if s.running {
			running++
		}
	}
	for _, s := range streams {
		if s.running {
			continue
		}
		if running >= e.cfg.Concurrency || e.kvUsed+s.reserved > e.cfg.MemoryTokens {
			return
		}
		running++
		s.running = true
		e.lastOrder++
		s.batchOrder = e.lastOrder
		e.kvUsed += s.reserved
		cached := min(e.cachedTokens(s.blocks), s.toPrefill)
		e.totals.CachedPromptTokens += cached
		s.toPrefill -= cached
	}
}

func (e *Engine) prefillCost(s *stream, n int) time.Duration {
	position := s.promptTokens - s.toPrefill + s.prefilled
	factor := 1 + float64(position)/float64(e.cfg.AttentionTokens)
	return time.Duration(float64(n) / e.cfg.PrefillRate * factor * float64(time.Second))
}

// recordPrefill records n computed prompt tokens. It returns false if the engine
// crashed.
func (e *Engine) recordPrefill(s *stream, n int) bool {
	s.prefilled += n
	e.totals.PrefilledTokens += n
	if s.prefilled < s.toPrefill {
		return true
	}
	if s.crashMarked {
		e.totals.CrashMarkCrashes++
		e.crash("request with the crash mark")
		return false
	}
	e.cacheBlocks(s.blocks)
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
	if s.crashMarked {
		e.totals.CrashMarkCrashes++
		e.crash("request with the crash mark")
		return
	}
	s.generated++
	e.totals.GeneratedTokens++
	if s.generated < s.max {
		return
	}
	s.finished = true
	e.totals.Finished++
	e.warmUp(s)
}

// cachedTokens returns the number of prompt tokens in the prefix cache.
func (e *Engine) cachedTokens(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			break
		}
		n += BlockTokens
	}
	return n
}

// cacheBlocks puts the prompt's blocks into the prefix cache.
func (e *Engine) cacheBlocks(blocks []uint64) {
	for _, b := range blocks {
		if e.cache.Contains(b) {
			continue
		}
		if e.cache.Len() >= max(1, e.cfg.PrefixCacheTokens/BlockTokens) {
			if old, _, ok := e.cache.RemoveOldest(); ok {
				e.cacheLog.add(old, true)
			}
		}
		e.cache.Add(b, struct{}{})
		e.cacheLog.add(b, false)
	}
}

// wake makes an idle loop compute the next step immediately.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// loadReport is the load of the engine at one point in time.
type loadReport struct {
	at                   time.Time
	process, model       string
	cold                 bool
	running, waiting, kv int
}

// reportInterval is the minimum interval between stored load reports.
const reportInterval = 50 * time.Millisecond

// recordLoad stores the current load for later reports. The caller holds the
// lock.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportInterval {
		return
	}
	r := loadReport{at: now, process: e.processID, model: e.model, cold: e.cold(), kv: e.kvUsed}
	for _, s := range e.streams {
		switch {
		case s.finished:
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
	return e.cfg.ReportLag
}

// laggedReport returns the newest load report that is at least as old as the
// lag, or the oldest one if there is none.
func (e *Engine) laggedReport(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(now)
	r := e.reports[0]
	for _, candidate := range e.reports {
		if candidate.at.After(now.Add(-e.lag())) {
			break
		}
		r = candidate
	}
	return r
}
