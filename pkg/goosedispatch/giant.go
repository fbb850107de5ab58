package goosedispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// fitsGiant looks for a set of replicas that together hold the request. All
// are reserved in one decision or none, so two giants cannot block each other
// with half of their replicas.
func (p *Pool) fitsGiant(r goose.PermitRequest, set *eligible, grade goose.Suspicion, a Authority, now time.Time) bool {
	if _, pinned := p.pins[r.Fingerprint]; pinned {
		return false
	}
	exclusive := grade == goose.SuspicionSuspect
	avoid := p.avoided(r, set)
	var free []*replica
	for _, c := range set.replicas {
		if !p.earmark.allows(c, r.Request) || !p.usable(c, a, now) || slices.Contains(avoid, c.id) {
			continue
		}
		if c.limits.Fits(gooselimit.Demand{Tokens: 1, Long: true, Exclusive: exclusive}) {
			free = append(free, c)
		}
	}
	sort.SliceStable(free, func(i, j int) bool { return free[i].limits.Free() > free[j].limits.Free() })
	parts := p.split(r, free, exclusive)
	if parts == nil || p.poolLongs > 0 && p.poolLongs+len(parts) > p.longLimit() {
		return false
	}
	p.choice.parts, p.choice.exclusive = parts, exclusive
	return true
}

// split divides the request over the first replicas that can hold it; nil if
// they cannot. The last part also takes the output, which is generated there.
func (p *Pool) split(r goose.PermitRequest, free []*replica, exclusive bool) []part {
	var parts []part
	left := r.PromptTokens
	for _, c := range free {
		room := c.limits.Free()
		last := room > r.OutputTokens && left <= room-r.OutputTokens
		take := min(left, room)
		if !last {
			// A part of the prompt must remain for the replica that generates.
			take = min(take, left-1)
		}
		if take <= 0 {
			continue
		}
		d := gooselimit.Demand{Tokens: take, Long: true, Exclusive: exclusive, Prefill: take, Priority: p.d.Discipline.Priority(r.Class)}
		if last {
			d.Tokens += r.OutputTokens
		}
		parts = append(parts, part{replica: c, prompt: take, demand: d})
		left -= take
		if last {
			return parts
		}
	}
	return nil
}
