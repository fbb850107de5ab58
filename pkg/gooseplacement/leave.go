package gooseplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
)

const (
	// leavingMemory is how long a process that leaves is remembered after the last response
	// or report that said so. A registry may list it again for a while after it has ended.
	leavingMemory = 10 * time.Minute
	// maxLeaving bounds the remembered processes of which peers have told.
	maxLeaving = 1 << 12
	// MaxReportedLeaving bounds the processes in one report; the newest are reported.
	MaxReportedLeaving = 24
	// maxReplicaIDBytes is far above the length of any replica's name.
	maxReplicaIDBytes = 128
)

// Process identifies one process of a replica.
type Process struct {
	Replica       goose.ReplicaID
	StartedUnixMS int64
}

func processOf(r goose.Replica) Process {
	return Process{Replica: r.ID, StartedUnixMS: r.StartedUnixMS}
}

// validate returns an error if no instance can have reported the process.
func (p Process) validate() error {
	if p.Replica == "" || len(p.Replica) > maxReplicaIDBytes || p.StartedUnixMS <= 0 {
		return errors.Errorf("process of replica %.60q, started at %d", string(p.Replica), p.StartedUnixMS)
	}
	return nil
}

// LeavingSource is from whom this instance knows that a process leaves, or its mark.
type LeavingSource string

const (
	// LeavingFromReplica means that the replica has said so to this instance, or that this
	// instance has observed it.
	LeavingFromReplica LeavingSource = "replica"
	// LeavingFromPeer means that a peer has reported it.
	LeavingFromPeer LeavingSource = "peer"
	// LeavingFromDataCentre means that the sum of another data centre contains it.
	LeavingFromDataCentre LeavingSource = "data-centre"
)

// leavingDistances order the sources; a lower one is closer to the replica.
var leavingDistances = map[LeavingSource]int{LeavingFromReplica: 0, LeavingFromPeer: 1, LeavingFromDataCentre: 2}

// leavingMark is what is known of a process that leaves.
type leavingMark struct {
	// since is when this instance learned it, and confirmedAt when it last heard it.
	since, confirmedAt time.Time
	source             LeavingSource
}

// RecordLeaving records that the process of a replica has said that it leaves. It gets no new
// work from then on, whatever the registry lists; a later process of the same replica does.
// RecordLeaving returns false if that was known.
func (pl *Placer) RecordLeaving(r goose.Replica, now time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.markLeaving(processOf(r), LeavingFromReplica, now)
}

// RecordReportedLeaving records the processes that leave according to a report, and returns
// those that were not known.
func (pl *Placer) RecordReportedLeaving(reported []Process, source LeavingSource, now time.Time) []Process {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var added []Process
	for _, p := range reported {
		if _, known := pl.leaving[p]; !known && len(pl.leaving) >= maxLeaving {
			continue
		}
		if pl.markLeaving(p, source, now) {
			added = append(added, p)
		}
	}
	return added
}

// markLeaving marks a process and returns false if it was marked before. A mark that peers do
// not have yet is due to be reported. The lock must be held.
func (pl *Placer) markLeaving(p Process, source LeavingSource, now time.Time) bool {
	m, known := pl.leaving[p]
	if !known {
		m = leavingMark{since: now, source: source}
	}
	if source == LeavingFromReplica && (!known || m.source != source) {
		pl.requestReport()
	}
	m.confirmedAt = now
	if leavingDistances[source] < leavingDistances[m.source] {
		m.source = source
	}
	pl.leaving[p] = m
	return !known
}

// reportedLeaving returns the processes that leave according to one of the given sources,
// newest first and at most MaxReportedLeaving. No report contains what only the sum of another
// data centre says, so that data centres do not keep each other's marks alive. The lock must
// be held.
func (pl *Placer) reportedLeaving(sources ...LeavingSource) []Process {
	var reported []Process
	for p, m := range pl.leaving {
		if slices.Contains(sources, m.source) && p.validate() == nil {
			reported = append(reported, p)
		}
	}
	slices.SortFunc(reported, func(a, b Process) int {
		return cmp.Or(pl.leaving[b].since.Compare(pl.leaving[a].since), cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.StartedUnixMS, b.StartedUnixMS))
	})
	return reported[:min(len(reported), MaxReportedLeaving)]
}

// LeavingCount returns the number of processes that are known to leave.
func (pl *Placer) LeavingCount() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.leaving)
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
	for p, m := range pl.leaving {
		if now.Sub(m.confirmedAt) >= leavingMemory {
			delete(pl.leaving, p)
		}
	}
}
