package gooseplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// MarkKind is a temporary status of a replica's process.
type MarkKind string

// Kinds of marks. A process that leaves has no mark, since it does not come back.
const (
	// MarkFull means that the replica declined a request because it is full.
	MarkFull MarkKind = "full"
	// MarkNoMemory means that the replica refused a reservation of memory.
	MarkNoMemory MarkKind = "no-memory"
	// MarkSlow means that the first events of the replica arrive much later than estimated.
	MarkSlow MarkKind = "slow"
)

// Mark is a status of a process with the time since it was observed.
type Mark struct {
	Process Process
	Kind    MarkKind
	Age     time.Duration
}

const (
	// MaxReportedMarks bounds the marks in one report; the newest are reported.
	MaxReportedMarks = 24
	// maxMarks bounds the marks that are kept.
	maxMarks = 1 << 12
	// maxMarkAge is far above the age of any mark that is reported.
	maxMarkAge = time.Minute
	// minMarkTTL and maxMarkTTL bound the lifetime of a mark of a full replica or one without
	// memory: longer than the requests under way take to show whether it still holds, and short
	// enough that a replica with free slots is not left idle.
	minMarkTTL = 100 * time.Millisecond
	maxMarkTTL = time.Second
	// plainMarkTTL is the lifetime for services without an engine, whose requests take some
	// 100 ms.
	plainMarkTTL = 200 * time.Millisecond
	// slotsPerMark is the number of slots that become free within the lifetime of MarkFull.
	slotsPerMark = 2
	// memoryPerMark is the part of a replica's memory that becomes free within the lifetime of
	// MarkNoMemory.
	memoryPerMark = 0.4
	// slowMarkTTL is the lifetime of MarkSlow: several responses of a replica.
	slowMarkTTL = 2 * time.Second
	// slowPenalty ranks a slow replica after those that respond in time.
	slowPenalty = 800 * time.Millisecond
	// minMarkShare is the least part of the lifetime for which a mark counts at an instance; a
	// random part of up to the whole lifetime is added, so that instances do not return to the
	// replica together.
	minMarkShare = 0.5
	// markShareSteps is the number of different random parts.
	markShareSteps = 1 << 10
	// slowMarkFrom is the average slowness from which a replica is marked; two responses in a
	// sequence are needed for it.
	slowMarkFrom = 3
)

// markKey identifies a mark.
type markKey struct {
	process Process
	kind    MarkKind
}

// markState is when a mark was observed, and from whom this instance knows it.
type markState struct {
	at     time.Time
	source LeavingSource
	// share is the part of the lifetime for which the mark counts at this instance.
	share float64
}

func (pl *Placer) newMarkState(at time.Time, source LeavingSource) markState {
	return markState{at: at, source: source, share: minMarkShare + float64(pl.opts.Rand(markShareSteps))/markShareSteps}
}

// counts reports whether the mark counts at this instance.
func (s markState) counts(ttl time.Duration, now time.Time) bool {
	return now.Sub(s.at) < time.Duration(s.share*float64(ttl))
}

// validate returns an error if no instance can have reported the mark.
func (m Mark) validate() error {
	if markPenalties[m.Kind] == 0 || m.Age < 0 || m.Age > maxMarkAge {
		return errors.Errorf("mark %.60q of age %s", string(m.Kind), m.Age)
	}
	return m.Process.validate()
}

// RecordMark records that this instance has observed the status of a replica, and reports
// whether it was not marked before. A mark that the peers do not have is reported immediately.
func (pl *Placer) RecordMark(r goose.Replica, kind MarkKind, now time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.mark(processOf(r), kind, now)
}

// mark is RecordMark; the lock must be held.
func (pl *Placer) mark(p Process, kind MarkKind, now time.Time) bool {
	k := markKey{process: p, kind: kind}
	old, known := pl.marks[k]
	if !known && !pl.hasRoomForMark(now) {
		return false
	}
	pl.marks[k] = pl.newMarkState(now, LeavingFromReplica)
	isNew := !known || now.Sub(old.at) >= reportedMarkTTL(kind)
	if isNew || now.Sub(old.at) >= minMarkTTL {
		pl.requestReport()
	}
	return isNew
}

// RecordReportedMarks records the marks of a report. An older observation than the known one
// changes nothing.
func (pl *Placer) RecordReportedMarks(reported []Mark, source LeavingSource, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, m := range reported {
		k := markKey{process: m.Process, kind: m.Kind}
		at := now.Add(-m.Age)
		old, known := pl.marks[k]
		if m.Age >= reportedMarkTTL(m.Kind) || known && !at.After(old.at) || !known && !pl.hasRoomForMark(now) {
			continue
		}
		pl.marks[k] = pl.newMarkState(at, source)
	}
}

// hasRoomForMark removes the expired marks if there are too many, and reports whether another
// one may be kept. The lock must be held.
func (pl *Placer) hasRoomForMark(now time.Time) bool {
	if len(pl.marks) >= maxMarks {
		pl.forgetMarks(now)
	}
	return len(pl.marks) < maxMarks
}

// reportedMarkTTL is how long a mark is reported at most. How long it counts depends on the
// service.
func reportedMarkTTL(kind MarkKind) time.Duration {
	if kind == MarkSlow {
		return slowMarkTTL
	}
	return maxMarkTTL
}

// markTTL returns how long a mark of a replica counts: until some slots, or a part of the
// memory, have become free.
func markTTL(kind MarkKind, e *goose.EngineProfile, l Load) time.Duration {
	switch {
	case kind == MarkSlow:
		return slowMarkTTL
	case e == nil:
		return plainMarkTTL
	}
	stream := streamDuration(*e, l, e.MeanOutputTokens)
	ttl := time.Duration(memoryPerMark * float64(stream))
	if kind == MarkFull {
		ttl = slotsPerMark * stream / time.Duration(max(e.Slots, 1))
	}
	return min(max(ttl, minMarkTTL), maxMarkTTL)
}

// markPenalties are the costs of marks. They are equal for all marked replicas, so that the load
// decides among them when all have one.
var markPenalties = map[MarkKind]time.Duration{MarkFull: fullPenalty, MarkNoMemory: fullPenalty, MarkSlow: slowPenalty}

// markCost returns the cost of the marks of a replica for a long prompt, which ranks the replica
// last. Marks do not count for short prompts: many of them use a replica in the time of a mark,
// its load is known better, and all instances would avoid the replica at the same time. The lock
// must be held.
func (pl *Placer) markCost(r goose.Replica, l Load, d Demand, now time.Time) time.Duration {
	if len(pl.marks) == 0 || d.Service.Engine != nil && d.isShort() {
		return 0
	}
	cost := time.Duration(0)
	for kind, penalty := range markPenalties {
		m, ok := pl.marks[markKey{process: processOf(r), kind: kind}]
		if !ok {
			continue
		}
		if m.counts(markTTL(kind, d.Service.Engine, l), now) {
			cost = max(cost, penalty)
		}
	}
	return cost
}

// isShort reports whether the demand is a short prompt or has none.
func (d Demand) isShort() bool {
	return d.Service.Engine == nil || isShort(d.Service.Engine.PrefillTime(d.PromptTokens))
}

// reportedMarks returns the marks from the given sources that have not expired, newest first
// and at most MaxReportedMarks. As with leaving processes, no report contains what only the sum
// of another data centre says. The lock must be held.
func (pl *Placer) reportedMarks(now time.Time, sources ...LeavingSource) []Mark {
	var reported []Mark
	for k, m := range pl.marks {
		mark := Mark{Process: k.process, Kind: k.kind, Age: max(now.Sub(m.at), 0)}
		if slices.Contains(sources, m.source) && mark.Age < reportedMarkTTL(k.kind) && mark.validate() == nil {
			reported = append(reported, mark)
		}
	}
	slices.SortFunc(reported, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process.Replica, b.Process.Replica),
			cmp.Compare(a.Process.StartedUnixMS, b.Process.StartedUnixMS), cmp.Compare(a.Kind, b.Kind))
	})
	return reported[:min(len(reported), MaxReportedMarks)]
}

// MarkCount returns the number of marks of a kind that have not expired.
func (pl *Placer) MarkCount(kind MarkKind, now time.Time) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	n := 0
	for k, m := range pl.marks {
		if k.kind == kind && now.Sub(m.at) < reportedMarkTTL(kind) {
			n++
		}
	}
	return n
}

// forgetMarks removes marks that count no more at any instance. The lock must be held.
func (pl *Placer) forgetMarks(now time.Time) {
	for k, m := range pl.marks {
		if !m.counts(reportedMarkTTL(k.kind), now) && now.Sub(m.at) >= reportedMarkTTL(k.kind) {
			delete(pl.marks, k)
		}
	}
}
