package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

const (
	// leavingMemory is how long a process that leaves is remembered after the last response
	// that said so. A registry may list it again for a while after it has ended.
	leavingMemory = 10 * time.Minute
	// maxPause bounds the pause that a replica may ask for.
	maxPause = 10 * time.Minute
	// resumeSpread is the longest random time that is added to the end of a pause, so that
	// instances do not return to the replica together.
	resumeSpread = time.Second
	// resumeShare bounds that time by the pause.
	resumeShare = 4
)

// process identifies one process of a replica.
type process struct {
	id            goose.ReplicaID
	startedUnixMS int64
}

func processOf(r goose.Replica) process { return process{id: r.ID, startedUnixMS: r.StartedUnixMS} }

// RecordLeaving records that the process of a replica has said that it leaves. It gets no new
// work from then on, whatever the registry lists; a later process of the same replica does.
// RecordLeaving returns false if that was known.
func (pl *Placer) RecordLeaving(r goose.Replica, now time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	_, known := pl.leaving[processOf(r)]
	pl.leaving[processOf(r)] = now
	return !known
}

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

// LeavingCount returns the number of processes that are known to leave.
func (pl *Placer) LeavingCount() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.leaving)
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

// withoutLeaving returns the replicas whose processes are not known to leave.
func (pl *Placer) withoutLeaving(replicas []goosedirectory.Replica) []goosedirectory.Replica {
	if len(pl.leaving) == 0 {
		return replicas
	}
	var staying []goosedirectory.Replica
	for _, r := range replicas {
		if _, leaves := pl.leaving[processOf(r.Replica)]; !leaves {
			staying = append(staying, r)
		}
	}
	return staying
}

// forgetLeaving removes processes that have not said for long that they leave.
func (pl *Placer) forgetLeaving(now time.Time) {
	for p, at := range pl.leaving {
		if now.Sub(at) >= leavingMemory {
			delete(pl.leaving, p)
		}
	}
}
