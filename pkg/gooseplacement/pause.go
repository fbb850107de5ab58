package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

const (
	// maxPause bounds the pause that a replica may ask for.
	maxPause = 10 * time.Minute
	// resumeSpread is the longest random time that is added to the end of a pause, so that
	// instances do not return to the replica together.
	resumeSpread = time.Second
	// resumeShare bounds that time by the pause.
	resumeShare = 4
	// resumeStep is the time after the end of a pause after which the number of requests that
	// the replica may have got since then doubles. resumeSteps is the number of steps after
	// which there is no limit.
	resumeStep  = 250 * time.Millisecond
	resumeSteps = 8
)

// RecordPause records that a replica wants no requests from this instance for the given time.
// The longest time counts if several responses ask for one.
func (pl *Placer) RecordPause(r goose.Replica, pause time.Duration, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pause = min(pause, maxPause)
	spread := min(pause/resumeShare, resumeSpread)
	until := now.Add(pause + time.Duration(pl.opts.Rand(int(spread)+1)))
	if s := pl.stateOf(r); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// isPaused reports whether the replica gets no request because of a pause: until its end, and
// then while the replica has got as many as it may, so that the requests return a little at a
// time.
func (s *replicaState) isPaused(now time.Time) bool {
	if s.pausedUntil.IsZero() {
		return false
	}
	if now.Before(s.pausedUntil) {
		return true
	}
	steps := int(now.Sub(s.pausedUntil) / resumeStep)
	if steps >= resumeSteps {
		return false
	}
	begun := 0
	for _, t := range s.attemptTimes {
		if !t.Before(s.pausedUntil) {
			begun++
		}
	}
	return begun >= 1<<steps
}

// ResumeAfter returns the time until the first of the replicas may get requests again; zero if
// none has asked for a pause.
func (pl *Placer) ResumeAfter(replicas []goosedirectory.Replica, now time.Time) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	earliest := time.Duration(0)
	for _, r := range pl.withoutLeaving(replicas) {
		left := pl.stateOf(r.Replica).pausedUntil.Sub(now)
		if left > 0 && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	return earliest
}

// PausedCount returns the number of replicas that have asked for a pause that has not ended.
func (pl *Placer) PausedCount(now time.Time) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	n := 0
	for _, s := range pl.replicas {
		if now.Before(s.pausedUntil) {
			n++
		}
	}
	return n
}
