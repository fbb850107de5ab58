package gooseplacement

import "time"

const (
	// maxDeclines bounds the replicas that may decline one request.
	maxDeclines = 3
	// longestParts is the number of parts of a prefill above which a prompt is one of the
	// longest: callers value it at a multiple of a short prompt, so that more replicas are
	// tried.
	longestParts = 4
	// maxLongestDeclines bounds the replicas that may decline one of the longest prompts.
	maxLongestDeclines = 16
	// minDrainPause and maxDrainPause bound the pause after a replica has declined because it
	// is being drained: long enough that a report of a peer or an entry of the store about the
	// next replicas arrives.
	minDrainPause = 20 * time.Millisecond
	maxDrainPause = 160 * time.Millisecond
)

// Declines describes the replicas that have declined a request.
type Declines struct {
	// Replicas is the number of replicas at fault, and of sets whose memory was not reserved.
	Replicas int
	// Draining is how many of them are being drained. LastDraining is set if the last one is.
	Draining     int
	LastDraining bool
}

// IsLongest reports whether the prompt is one of the longest: its prefill has more than
// longestParts parts, or it exceeds the memory of a replica.
func (d Demand) IsLongest() bool {
	e := d.Service.Engine
	if e == nil {
		return false
	}
	return e.PrefillTime(d.PromptTokens) > longestParts*longPartPrefill || d.PromptTokens+d.OutputTokens > e.MemoryTokens
}

// AfterDecline reports whether a request may be tried on another replica after a decline, and
// after which pause. elapsed is the time since the request arrived. The longest prompts are
// tried within their objective.
func (d Demand) AfterDecline(declines Declines, elapsed time.Duration) (time.Duration, bool) {
	if !d.IsLongest() {
		return 0, declines.Replicas < maxDeclines
	}
	pause := time.Duration(0)
	if declines.LastDraining {
		pause = min(minDrainPause<<min(max(declines.Draining-1, 0), 8), maxDrainPause)
	}
	if elapsed+pause >= d.Objective {
		return 0, declines.Replicas < maxDeclines
	}
	return pause, declines.Replicas < maxLongestDeclines
}
