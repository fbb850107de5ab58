package gooseplacement

import (
	"cmp"
	"slices"
	"time"
)

// A long prompt whose parts are short is divided: a replica outside of the pool for long
// prompts responds, and those of the pool prefill the other parts. While the pool is small,
// because there are many short prompts, one or two replicas would otherwise prefill the whole
// prompt, and all their streams would pause. The stream of the response, too, pauses less often
// than on a replica that prefills parts of huge prompts.
const (
	// dividedPartPrefill is the longest part of a divided prompt. With an engine pass of about
	// 60 ms and another part or short prompt it delays the streams of its replica by less than
	// the shortest pause that callers tolerate, about 200 ms.
	dividedPartPrefill = 60 * time.Millisecond
	// maxHelperPrefill is the longest pending prefill of a helper from the pool for long prompts.
	// The response waits for the slowest part.
	maxHelperPrefill = 300 * time.Millisecond
)

// dividedPartCount returns the number of parts of a divided prompt.
func dividedPartCount(prefill time.Duration) int {
	return int((prefill + dividedPartPrefill - 1) / dividedPartPrefill)
}

// divides reports whether a prompt is divided among the candidates. Replicas are enough only in
// large fleets, in which the data centres report sums.
func (pl *Placer) divides(prefill time.Duration, all []candidate) bool {
	return pl.table.split() && !isShort(prefill) && dividedPartCount(prefill) <= min(len(all), maxParts)
}

// dividedReplicas returns the replicas of a divided prompt: the first of the candidates, then
// those of the pool for long prompts that have the least to prefill, then the others in order of
// their cost.
func dividedReplicas(all []candidate, prefill time.Duration) []candidate {
	var pool, others []candidate
	for _, c := range all[1:] {
		if c.inLongPool && c.markCost == 0 && c.load.Prefill <= maxHelperPrefill {
			pool = append(pool, c)
			continue
		}
		others = append(others, c)
	}
	slices.SortStableFunc(pool, func(a, b candidate) int { return cmp.Compare(a.load.Prefill, b.load.Prefill) })
	chosen := append([]candidate{all[0]}, pool...)
	return append(chosen, others...)[:dividedPartCount(prefill)]
}
