package gooseplacement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// PeerSilence is how long the load of a peer counts after its last report. A dead
// peer's connections break, and replicas drop its requests.
const PeerSilence = 2 * time.Second

// Options are the figures that a board needs; all are required but Rand.
type Options struct {
	// DataCentre is that of this instance; its replicas are preferred slightly.
	DataCentre goose.DataCentre
	// ColdFactor and ColdSlack turn the rate of a cold replica into the bound over
	// the whole fleet on the requests that it gets in a second.
	ColdFactor, ColdSlack float64
	// Rand returns a random number from 0 up to n; rand.IntN if it is nil.
	Rand func(n int) int
}

// Board keeps what is in flight. It is safe for concurrent use.
type Board struct {
	o Options

	mu       sync.Mutex
	next     uint64
	flights  map[uint64]*flight
	replicas map[goose.ReplicaID]*replica
	peers    map[goose.InstanceID]peer
	work     map[goose.ServiceName]*meter
	// urgent has a value if peers should hear of a long prompt at once.
	urgent chan struct{}
}

// replica is what is known of one replica beside the directory.
type replica struct {
	flights map[uint64]int
	health  health
	// sent are the times of the last attempts, oldest first.
	sent []time.Time
	// born tells the process that the health belongs to.
	born int64
}

type peer struct {
	report Report
	at     time.Time
}

// New returns an empty board.
func New(o Options) *Board {
	if o.Rand == nil {
		o.Rand = rand.IntN
	}
	return &Board{
		o: o, flights: map[uint64]*flight{}, replicas: map[goose.ReplicaID]*replica{},
		peers: map[goose.InstanceID]peer{}, work: map[goose.ServiceName]*meter{},
		urgent: make(chan struct{}, 1),
	}
}

// Urgent delivers a value when peers should hear at once of what was placed here: a
// long prompt that they do not know of would meet another one.
func (b *Board) Urgent() <-chan struct{} { return b.urgent }

// Heard replaces the report of a peer.
func (b *Board) Heard(from goose.InstanceID, r Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[from] = peer{report: r, at: now}
}

// Instances returns the number of instances that share the replicas: this one and
// the peers heard lately.
func (b *Board) Instances(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropSilent(now)
	return 1 + len(b.peers)
}

func (b *Board) dropSilent(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.at) > PeerSilence {
			delete(b.peers, id)
		}
	}
}

// Report returns this instance's own load.
func (b *Board) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Replicas: map[goose.ReplicaID]Load{}, Work: map[goose.ServiceName]Work{}}
	for id, s := range b.replicas {
		if l := b.ownLoad(s, now); l != (Load{}) {
			r.Replicas[id] = l
		}
	}
	for name, m := range b.work {
		r.Work[name] = m.rate(now)
	}
	return r
}

func (b *Board) ownLoad(s *replica, now time.Time) Load {
	var l Load
	for id, i := range s.flights {
		l = l.plus(b.flights[id].load(i, now))
	}
	return l
}

// load is that of this instance and its peers.
func (b *Board) load(id goose.ReplicaID, now time.Time) Load {
	var l Load
	if s, ok := b.replicas[id]; ok {
		l = b.ownLoad(s, now)
	}
	for _, p := range b.peers {
		l = l.plus(p.report.Replicas[id])
	}
	return l
}

func (b *Board) state(r goose.Replica) *replica {
	s, ok := b.replicas[r.ID]
	if !ok {
		s = &replica{flights: map[uint64]int{}, born: r.Born}
		b.replicas[r.ID] = s
	}
	if s.born != r.Born {
		s.born, s.health = r.Born, health{}
	}
	return s
}

// Forget drops what is known of replicas that are not listed any more and have
// nothing in flight.
func (b *Board) Forget(known func(goose.ReplicaID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.replicas {
		if len(s.flights) == 0 && !known(id) {
			delete(b.replicas, id)
		}
	}
}

// begin notes an attempt; the lock must be held.
func (b *Board) begin(f *flight, service goose.ServiceName, short bool, whole time.Duration, now time.Time) uint64 {
	b.next++
	b.flights[b.next] = f
	for i, p := range f.parts {
		b.replicas[p.replica].flights[b.next] = i
	}
	first := b.replicas[f.parts[0].replica]
	first.sent = append(first.sent, now)
	m, ok := b.work[service]
	if !ok {
		m = &meter{}
		b.work[service] = m
	}
	m.add(now, whole, short)
	if !short {
		select {
		case b.urgent <- struct{}{}:
		default:
		}
	}
	return b.next
}

// Started notes the first event of an attempt.
func (b *Board) Started(id uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.flights[id]
	if !ok || f.started {
		return
	}
	f.started = true
	ratio := 1.0
	if f.expected > 0 {
		ratio = float64(now.Sub(f.begun)) / float64(f.expected+estimateSlack)
	}
	b.replicas[f.parts[0].replica].health.succeed(now, ratio)
}

// estimateSlack keeps small absolute errors of an estimate from counting as
// slowness.
const estimateSlack = 60 * time.Millisecond

// Ended notes the end of an attempt. failed tells that the replica did not answer
// as it should, unreachable that it could not be reached; it returns how long the
// replica is suspended.
func (b *Board) Ended(id uint64, failed, unreachable bool, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.flights[id]
	if !ok {
		return 0
	}
	delete(b.flights, id)
	for _, p := range f.parts {
		delete(b.replicas[p.replica].flights, id)
	}
	if !failed {
		return 0
	}
	return b.replicas[f.parts[0].replica].health.fail(now, unreachable)
}
