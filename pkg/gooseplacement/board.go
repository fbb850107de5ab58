package gooseplacement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// PeerTimeout is how long the load of a peer counts after its last report. When a peer
// dies, its connections break and the replicas drop its requests.
const PeerTimeout = 2 * time.Second

// Options configures a Board. All fields except Rand are required.
type Options struct {
	// DataCentre is the data centre of this instance. Its replicas are slightly preferred.
	DataCentre goose.DataCentre
	// ColdFactor and ColdSlack define how many requests per second all instances together
	// may send to a cold replica: ColdFactor times its configured cold rate plus ColdSlack.
	ColdFactor, ColdSlack float64
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
	peers    map[goose.InstanceID]peerReport
	// offered measures the offered load of each service at this instance.
	offered map[goose.ServiceName]*loadMeter
	// reportDue holds a value while a report to the peers is due at once because of a long
	// prompt.
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
	// born identifies the replica's process to which the health applies.
	born int64
}

// peerReport is the latest report of a peer and the time of its receipt.
type peerReport struct {
	report     Report
	receivedAt time.Time
}

// New returns an empty board.
func New(o Options) *Placer {
	if o.Rand == nil {
		o.Rand = rand.IntN
	}
	return &Placer{
		opts: o, attempts: map[uint64]*attempt{}, replicas: map[goose.ReplicaID]*replicaState{},
		peers: map[goose.InstanceID]peerReport{}, offered: map[goose.ServiceName]*loadMeter{},
		reportDue: make(chan struct{}, 1),
	}
}

// ReportDue delivers a value when a report should be sent to the peers at once because a long
// prompt was placed. Until they know of it, peers may place another long prompt on the same
// replicas.
func (b *Placer) ReportDue() <-chan struct{} { return b.reportDue }

// SetPeerReport stores the report of a peer in place of its previous one.
func (b *Placer) SetPeerReport(from goose.InstanceID, r Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[from] = peerReport{report: r, receivedAt: now}
}

// Instances returns the number of instances that share the replicas: this instance and the
// peers whose last report is not older than PeerSilence.
func (b *Placer) Instances(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeStalePeers(now)
	return 1 + len(b.peers)
}

// removeStalePeers removes peers whose last report is older than PeerSilence.
func (b *Placer) removeStalePeers(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.receivedAt) > PeerTimeout {
			delete(b.peers, id)
		}
	}
}

// Report returns the load that this instance reports to its peers.
func (b *Placer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Replicas: map[goose.ReplicaID]Load{}, OfferedLoad: map[goose.ServiceName]OfferedLoad{}}
	for id, s := range b.replicas {
		if l := b.localLoad(s, now); l != (Load{}) {
			r.Replicas[id] = l
		}
	}
	for name, m := range b.offered {
		r.OfferedLoad[name] = m.rate(now)
	}
	return r
}

// localLoad returns the load of this instance's attempts on a replica.
func (b *Placer) localLoad(s *replicaState, now time.Time) Load {
	var l Load
	for id, i := range s.parts {
		l = l.plus(b.attempts[id].load(i, now))
	}
	return l
}

// load returns the load of a replica from this instance and its peers.
func (b *Placer) load(id goose.ReplicaID, now time.Time) Load {
	var l Load
	if s, ok := b.replicas[id]; ok {
		l = b.localLoad(s, now)
	}
	for _, p := range b.peers {
		l = l.plus(p.report.Replicas[id])
	}
	return l
}

// stateOf returns the state of a replica. It creates the state if there is none, and resets
// the health if the replica runs as a new process.
func (b *Placer) stateOf(r goose.Replica) *replicaState {
	s, ok := b.replicas[r.ID]
	if !ok {
		s = &replicaState{parts: map[uint64]int{}, born: r.StartedUnixMS}
		b.replicas[r.ID] = s
	}
	if s.born != r.StartedUnixMS {
		s.born, s.health = r.StartedUnixMS, health{}
	}
	return s
}

// RemoveUnlisted removes the state of replicas that are no longer listed and have nothing in
// flight.
func (b *Placer) RemoveUnlisted(known func(goose.ReplicaID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.replicas {
		if len(s.parts) == 0 && !known(id) {
			delete(b.replicas, id)
		}
	}
}

// recordAttempt records a new attempt with its whole prefill and returns its id. The lock
// must be held.
func (b *Placer) recordAttempt(a *attempt, service goose.ServiceName, short bool, prefill time.Duration, now time.Time) uint64 {
	b.lastID++
	b.attempts[b.lastID] = a
	for i, p := range a.parts {
		b.replicas[p.replica].parts[b.lastID] = i
	}
	first := b.replicas[a.parts[0].replica]
	first.attemptTimes = append(first.attemptTimes, now)
	m, ok := b.offered[service]
	if !ok {
		m = &loadMeter{}
		b.offered[service] = m
	}
	m.add(now, prefill, short)
	if !short {
		select {
		case b.reportDue <- struct{}{}:
		default:
		}
	}
	return b.lastID
}

// RecordFirstEvent records the first event of an attempt.
func (b *Placer) RecordFirstEvent(id uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.attempts[id]
	if !ok || a.hasFirstEvent {
		return
	}
	a.hasFirstEvent = true
	ratio := 1.0
	if a.expected > 0 {
		ratio = float64(now.Sub(a.placedAt)) / float64(a.expected+estimateSlack)
	}
	b.replicas[a.parts[0].replica].health.recordSuccess(now, ratio)
}

// estimateSlack keeps small absolute errors of an estimate from counting as slowness.
const estimateSlack = 60 * time.Millisecond

// RecordEnd records the end of an attempt and returns how long the replica is suspended. failed
// is true if the replica did not answer correctly, unreachable if no connection to it could
// be made.
func (b *Placer) RecordEnd(id uint64, failed, unreachable bool, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.attempts[id]
	if !ok {
		return 0
	}
	delete(b.attempts, id)
	for _, p := range a.parts {
		delete(b.replicas[p.replica].parts, id)
	}
	if !failed {
		return 0
	}
	return b.replicas[a.parts[0].replica].health.recordFailure(now, unreachable)
}
