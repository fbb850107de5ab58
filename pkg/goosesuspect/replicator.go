package goosesuspect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Kinds of calls between peers.
const (
	KindMarks = "suspect-marks"
	KindPull  = "suspect-pull"
)

// Times and bounds of the exchange with peers.
const (
	callTimeout = time.Second
	// PullInterval is the interval at which an instance requests all marks of one random
	// peer, to recover marks that were lost in transit.
	PullInterval = 30 * time.Second
	// pullRetryDelay is the pause before a failed pull is repeated.
	pullRetryDelay = time.Second
	// sendQueueSize is the capacity of the send queue. Marks that do not fit are dropped; peers
	// get them by a pull.
	sendQueueSize = 256
)

// Message carries marks in both kinds of calls.
type Message struct {
	Marks []Mark `cbor:"1,keyasint"`
	// Forward asks the receiver to forward the marks to the members of its data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// Replicator exchanges the marks of a Table with the other instances.
type Replicator struct {
	table   *Table
	members goose.Membership
	client  goose.PeerClient
	queue   chan []Mark
}

// NewReplicator returns a Replicator with a new table. Its marks are exchanged with
// all members while Run runs.
func NewReplicator(clock goose.Clock, members goose.Membership, client goose.PeerClient) *Replicator {
	r := &Replicator{members: members, client: client, queue: make(chan []Mark, sendQueueSize)}
	r.table = New(clock, r.enqueue)
	r.table.announce = r.announce
	return r
}

// Table returns the table of marks.
func (r *Replicator) Table() *Table { return r.table }

// enqueue enqueues marks to be sent, or drops them if the queue is full.
func (r *Replicator) enqueue(marks []Mark) {
	select {
	case r.queue <- marks:
	default:
	}
}

// announce sends marks and waits for the replies until callTimeout. That is shorter than the
// lifetime of the permit that the caller holds during the call.
func (r *Replicator) announce(ctx context.Context, marks []Mark) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.sendToAll(ctx, marks)
}

// Register adds the handlers of both kinds.
func (r *Replicator) Register(router goose.PeerRouter) {
	router.Handle(KindMarks, func(ctx context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
		var m Message
		if err := decode(&m); err != nil {
			return nil, err
		}
		r.table.Merge(m.Marks)
		if !m.Forward {
			return MarksReply{}, nil
		}
		// Forwarding continues even if the calling instance stops waiting.
		return MarksReply{Missed: r.sendWithinDataCentre(context.WithoutCancel(ctx), m.Marks, from)}, nil
	})
	router.Handle(KindPull, func(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var m Message
		if err := decode(&m); err != nil {
			return nil, err
		}
		return Message{Marks: r.table.Marks()}, nil
	})
}

// Run pulls the marks of a peer at the start and at intervals, and sends new marks to all
// members without delay, until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	pull := time.NewTimer(0)
	defer pull.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case marks := <-r.queue:
			sends.Go(func() { r.sendToAll(ctx, marks) })
		case <-pull.C:
			if r.pull(ctx) {
				pull.Reset(PullInterval)
			} else {
				pull.Reset(pullRetryDelay)
			}
		}
	}
}

// pull merges the marks of one random member. It returns false if there is no other member
// or the member does not reply.
func (r *Replicator) pull(ctx context.Context) bool {
	others := r.otherMembers()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var m Message
	if err := r.client.Call(ctx, others[rand.IntN(len(others))].Address, KindPull, Message{}, &m); err != nil {
		return false
	}
	r.table.Merge(m.Marks)
	return true
}

// otherMembers returns the live members except this instance.
func (r *Replicator) otherMembers() []goose.Member {
	self := r.members.Self().Instance
	var others []goose.Member
	for _, m := range r.members.Members() {
		if m.Instance != self && m.Live && m.Address != "" {
			others = append(others, m)
		}
	}
	return others
}
