// Package goosebroadcast sends items that one instance has created to all other instances, and
// recovers items that were lost in transit. Merging an item must be idempotent and must not
// depend on the order.
package goosebroadcast

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Times and bounds of the exchange with peers.
const (
	// CallTimeout is the timeout of a call to a peer.
	CallTimeout = time.Second
	// PullInterval is the interval at which an instance requests all items of one random
	// peer, to recover items that were lost in transit.
	PullInterval = 30 * time.Second
	// pullRetryDelay is the pause before a failed pull is repeated.
	pullRetryDelay = time.Second
	// sendQueueSize is the capacity of the send queue. Items that do not fit are dropped; peers
	// get them by a pull.
	sendQueueSize = 256
)

// Message carries items in both kinds of calls.
type Message[T any] struct {
	Items []T `cbor:"1,keyasint"`
	// Forward asks the receiver to forward the items to the members of its data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// Options are the dependencies of a Broadcaster; all are required.
type Options[T any] struct {
	Members goose.Membership
	Client  goose.PeerClient
	// Kind and PullKind are the kinds of the calls that send and request items.
	Kind, PullKind string
	// Merge adds items of a peer, and All returns all items for a peer.
	Merge func([]T)
	All   func() []T
}

// Broadcaster exchanges items with the other instances. It is safe for concurrent use.
type Broadcaster[T any] struct {
	o     Options[T]
	queue chan []T
}

// New returns a Broadcaster. Items are exchanged while Run runs.
func New[T any](o Options[T]) *Broadcaster[T] {
	return &Broadcaster[T]{o: o, queue: make(chan []T, sendQueueSize)}
}

// Enqueue enqueues items to be sent, or drops them if the queue is full. It does not block.
func (b *Broadcaster[T]) Enqueue(items []T) {
	select {
	case b.queue <- items:
	default:
	}
}

// Announce sends items and waits for the replies until CallTimeout.
func (b *Broadcaster[T]) Announce(ctx context.Context, items []T) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	b.sendToAll(ctx, items)
}

// Register adds the handlers of both kinds.
func (b *Broadcaster[T]) Register(router goose.PeerRouter) {
	router.Handle(b.o.Kind, func(ctx context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
		var m Message[T]
		if err := decode(&m); err != nil {
			return nil, err
		}
		b.o.Merge(m.Items)
		if !m.Forward {
			return Reply{}, nil
		}
		// Forwarding continues even if the calling instance stops waiting.
		return Reply{Missed: b.sendWithinDataCentre(context.WithoutCancel(ctx), m.Items, from)}, nil
	})
	router.Handle(b.o.PullKind, func(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var m Message[T]
		if err := decode(&m); err != nil {
			return nil, err
		}
		return Message[T]{Items: b.o.All()}, nil
	})
}

// Run pulls the items of a peer at the start and at intervals, and sends enqueued items to all
// members without delay, until ctx ends.
func (b *Broadcaster[T]) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { b.RunSends(ctx) })
	for pause := time.Duration(0); goose.Sleep(ctx, pause); {
		pause = pullRetryDelay
		if b.pull(ctx) {
			pause = PullInterval
		}
	}
}

// RunSends sends enqueued items until ctx ends, without pulling any.
func (b *Broadcaster[T]) RunSends(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case items := <-b.queue:
			sends.Go(func() { b.sendToAll(ctx, items) })
		}
	}
}

// pull merges the items of one random member. It returns false if there is no other member
// or the member does not reply.
func (b *Broadcaster[T]) pull(ctx context.Context) bool {
	others := b.otherMembers()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var m Message[T]
	if err := b.o.Client.Call(ctx, others[rand.IntN(len(others))].Address, b.o.PullKind, Message[T]{}, &m); err != nil {
		return false
	}
	b.o.Merge(m.Items)
	return true
}

// otherMembers returns the live members except this instance.
func (b *Broadcaster[T]) otherMembers() []goose.Member {
	self := b.o.Members.Self().Instance
	var others []goose.Member
	for _, m := range b.o.Members.Members() {
		if m.Instance != self && m.Live && m.Address != "" {
			others = append(others, m)
		}
	}
	return others
}
