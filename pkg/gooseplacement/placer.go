package gooseplacement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Options configures a Placer. All fields except Registered and Rand are
// required.
type Options struct {
	// DataCentre is the data centre of this instance. Its replicas are slightly preferred.
	DataCentre goose.DataCentre
	// ColdFactor and ColdSlack define how many requests per second all instances together
	// may send to a cold replica: ColdFactor times its configured cold rate plus ColdSlack.
	ColdFactor, ColdSlack float64
	// Registered returns the number of instances that the store lists. If nil, only those
	// that report their load are counted.
	Registered func() Registered
	// Rand returns a random number in [0, n). If nil, rand.IntN is used.
	Rand func(n int) int
}

// Placer tracks the requests in flight on each replica, as sent by this instance and
// reported by its peers, and chooses replicas for new requests. It is safe for concurrent
// use.
type Placer struct {
	opts Options

	mu       sync.Mutex
	lastID   uint64
	attempts map[uint64]*attempt
	replicas map[goose.ReplicaID]*replicaState
	// leaving are the processes that have said that they leave.
	leaving map[Process]leavingMark
	// marks are the temporary statuses of processes.
	marks map[markKey]markState
	table peerTable
	// offered measures the offered load of each service at this instance.
	offered map[goose.ServiceName]*loadMeter
	// reportDue holds a value while a report to the peers is due at once because of a new
	// attempt, a replica that leaves or a mark.
	reportDue chan struct{}
}

// replicaState is what this instance has recorded about one replica in addition to the
// directory.
type replicaState struct {
	// parts maps each attempt in flight on the replica to the index of the replica's part.
	parts  map[uint64]int
	health health
	// attemptTimes are the times of the latest attempts, oldest first.
	attemptTimes []time.Time
	// startedUnixMS identifies the replica's process to which the health applies.
	startedUnixMS int64
	// pausedUntil is until when the replica wants no requests from this instance. It holds for
	// a later process of the replica, too.
	pausedUntil time.Time
}

// attemptTimesKept is how long the times of attempts are kept: longer than the window of the
// smallest share of the bound for cold replicas.
const attemptTimesKept = time.Minute

func (s *replicaState) addAttemptTime(now time.Time) {
	expired := 0
	for expired < len(s.attemptTimes) && now.Sub(s.attemptTimes[expired]) > attemptTimesKept {
		expired++
	}
	s.attemptTimes = append(s.attemptTimes[expired:], now)
}

// New returns a placer without any load.
func New(o Options) *Placer {
	if o.Rand == nil {
		o.Rand = rand.IntN
	}
	return &Placer{
		opts: o, attempts: map[uint64]*attempt{}, replicas: map[goose.ReplicaID]*replicaState{}, leaving: map[Process]leavingMark{}, marks: map[markKey]markState{},
		table: newPeerTable(), offered: map[goose.ServiceName]*loadMeter{},
		reportDue: make(chan struct{}, 1),
	}
}

// ReportDue delivers a value when a report should be sent to the peers at once because a long
// prompt was placed, or any request in a large fleet, whose other reports are rare, or a
// replica leaves or is marked. Until they know of it, peers may place their requests on the same replicas.
func (pl *Placer) ReportDue() <-chan struct{} { return pl.reportDue }

func (pl *Placer) requestReport() {
	select {
	case pl.reportDue <- struct{}{}:
	default:
	}
}

// Report returns the load that this instance reports to its peers.
func (pl *Placer) Report(now time.Time) Report {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	r := Report{Replicas: map[goose.ReplicaID]Load{}, OfferedLoad: map[goose.ServiceName]OfferedLoad{}}
	for id, s := range pl.replicas {
		if l := pl.localLoad(s, now); l != (Load{}) {
			r.Replicas[id] = l
		}
	}
	for name, m := range pl.offered {
		r.OfferedLoad[name] = m.rate(now)
	}
	r.Leaving = pl.reportedLeaving(LeavingFromReplica)
	r.Marks = pl.reportedMarks(now, LeavingFromReplica)
	return r
}

// localLoad returns the load of this instance's attempts on a replica.
func (pl *Placer) localLoad(s *replicaState, now time.Time) Load {
	var l Load
	for id, i := range s.parts {
		l = l.plus(pl.attempts[id].load(i, now))
	}
	return l
}

// load returns the load of a replica from this instance and its peers.
func (pl *Placer) load(id goose.ReplicaID, now time.Time) Load {
	var l Load
	if s, ok := pl.replicas[id]; ok {
		l = pl.localLoad(s, now)
	}
	return l.plus(pl.table.loads[id])
}

// stateOf returns the state of a replica. It creates the state if there is none, and resets
// the health if the replica runs as a new process.
func (pl *Placer) stateOf(r goose.Replica) *replicaState {
	s, ok := pl.replicas[r.ID]
	if !ok {
		s = &replicaState{parts: map[uint64]int{}, startedUnixMS: r.StartedUnixMS}
		pl.replicas[r.ID] = s
	}
	if s.startedUnixMS != r.StartedUnixMS {
		s.startedUnixMS, s.health = r.StartedUnixMS, health{}
	}
	return s
}

// RemoveUnlisted removes the state of replicas that are no longer listed, have nothing in
// flight and have not asked for a pause.
func (pl *Placer) RemoveUnlisted(known func(goose.ReplicaID) bool, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.forgetLeaving(now)
	pl.forgetMarks(now)
	for id, s := range pl.replicas {
		if len(s.parts) == 0 && !now.Before(s.pausedUntil) && !known(id) {
			delete(pl.replicas, id)
		}
	}
}

// recordAttempt records a new attempt with its whole prefill and returns its id. The lock
// must be held.
func (pl *Placer) recordAttempt(a *attempt, service goose.ServiceName, short bool, prefill time.Duration, now time.Time) uint64 {
	pl.lastID++
	pl.attempts[pl.lastID] = a
	for i, p := range a.parts {
		pl.replicas[p.replica].parts[pl.lastID] = i
	}
	first := pl.replicas[a.parts[0].replica]
	first.addAttemptTime(now)
	m, ok := pl.offered[service]
	if !ok {
		m = &loadMeter{}
		pl.offered[service] = m
	}
	m.add(now, prefill, short)
	if !short || pl.table.split() {
		pl.requestReport()
	}
	return pl.lastID
}

// RecordFirstEvent records the first event of an attempt.
func (pl *Placer) RecordFirstEvent(id uint64, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	a, ok := pl.attempts[id]
	if !ok || a.hasFirstEvent {
		return
	}
	a.hasFirstEvent = true
	ratio := 1.0
	if a.expected > 0 {
		ratio = float64(now.Sub(a.placedAt)) / float64(a.expected+estimateSlack)
	}
	first := pl.replicas[a.parts[0].replica]
	first.health.recordSuccess(now, ratio)
	if first.health.slowness >= slowMarkFrom {
		pl.mark(Process{Replica: a.parts[0].replica, StartedUnixMS: first.startedUnixMS}, MarkSlow, now)
	}
}

// estimateSlack keeps small absolute errors of an estimate from counting as slowness.
const estimateSlack = 60 * time.Millisecond

// RecordEnd records the end of an attempt and returns how long the replica is suspended. failed
// is true if the replica did not respond correctly, unreachable if no connection to it could
// be made.
func (pl *Placer) RecordEnd(id uint64, failed, unreachable bool, now time.Time) time.Duration {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	a, ok := pl.attempts[id]
	if !ok {
		return 0
	}
	delete(pl.attempts, id)
	for _, p := range a.parts {
		delete(pl.replicas[p.replica].parts, id)
	}
	pl.reportFreeSlot(a, now)
	if !failed {
		return 0
	}
	return pl.replicas[a.parts[0].replica].health.recordFailure(now, unreachable)
}
