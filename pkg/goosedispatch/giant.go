package goosedispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// findGiantPlacement searches a set of replicas that together hold the request. All
// of them are acquired in one step or none, so that two giants cannot block each
// other with half of their replicas.
func (p *Pool) findGiantPlacement(r goose.PermitRequest, set *eligibleSet, grade goose.Suspicion, a Authority, now time.Time) bool {
	if _, pinned := p.pins[r.Fingerprint]; pinned {
		return false
	}
	exclusive := grade == goose.SuspicionSuspect
	avoid := p.replicasToAvoid(r, set)
	var free []*replica
	for _, c := range set.replicas {
		if !p.reservation.allows(c, r.Request) || !p.usable(c, a, now) || slices.Contains(avoid, c.id) {
			continue
		}
		if c.limiter.Fits(gooselimit.Demand{Tokens: 1, Long: true, Exclusive: exclusive}) {
			free = append(free, c)
		}
	}
	sort.SliceStable(free, func(i, j int) bool { return free[i].limiter.FreeTokens() > free[j].limiter.FreeTokens() })
	parts := p.splitGiant(r, free, exclusive)
	if parts == nil || p.longPrefills > 0 && p.longPrefills+len(parts) > p.longPrefillLimit() {
		return false
	}
	p.placement.parts, p.placement.exclusive = parts, exclusive
	return true
}

// splitGiant divides the request among the first replicas that can hold it; nil if they
// cannot. The last part includes the output, which is generated there.
func (p *Pool) splitGiant(r goose.PermitRequest, free []*replica, exclusive bool) []part {
	var parts []part
	left := r.PromptTokens
	for _, c := range free {
		room := c.limiter.FreeTokens()
		last := room > r.OutputTokens && left <= room-r.OutputTokens
		take := min(left, room)
		if !last {
			// At least one token of the prompt must remain for the replica that
			// generates the output.
			take = min(take, left-1)
		}
		if take <= 0 {
			continue
		}
		d := gooselimit.Demand{Tokens: take, Long: true, Exclusive: exclusive, Prefill: take, Priority: p.deps.Discipline.Priority(r.Class)}
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
