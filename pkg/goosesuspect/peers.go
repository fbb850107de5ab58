package goosesuspect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Kinds of peer calls.
const (
	KindMarks = "suspect-marks"
	KindPull  = "suspect-pull"
)

// Times of the exchange with peers.
const (
	callTimeout = time.Second
	// PullInterval is how often one random peer is asked for all its marks, to
	// make up for marks that were lost on their way.
	PullInterval = 30 * time.Second
	// startRetry is the pause before the first pull is repeated.
	startRetry = time.Second
	// spreadQueue bounds the marks that wait to be sent; a pull makes up for
	// what is dropped.
	spreadQueue = 256
)

// Message carries marks in both kinds of calls.
type Message struct {
	Marks []Mark `cbor:"1,keyasint"`
	// Forward asks the receiver to pass the marks on in its data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
}

// Peers exchanges the marks of a Table with the other instances.
type Peers struct {
	table   *Table
	members goose.Membership
	caller  goose.Caller
	queue   chan []Mark
}

// NewPeers returns a table whose marks are exchanged with all members once Run
// runs.
func NewPeers(clock goose.Clock, members goose.Membership, caller goose.Caller) *Peers {
	p := &Peers{members: members, caller: caller, queue: make(chan []Mark, spreadQueue)}
	p.table = New(clock, p.offer)
	p.table.announce = p.announce
	return p
}

// Table returns the table of marks.
func (p *Peers) Table() *Table { return p.table }

func (p *Peers) offer(marks []Mark) {
	select {
	case p.queue <- marks:
	default:
	}
}

// announce sends marks at once. A permit is valid for longer than it waits.
func (p *Peers) announce(ctx context.Context, marks []Mark) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.send(ctx, marks)
}

// Register adds the handlers of both kinds.
func (p *Peers) Register(r goose.Router) {
	r.Handle(KindMarks, func(ctx context.Context, from goose.InstanceID, decode func(any) error) (any, error) {
		var m Message
		if err := decode(&m); err != nil {
			return nil, err
		}
		p.table.Merge(m.Marks)
		if !m.Forward {
			return SpreadReply{}, nil
		}
		// Goes on if the sender stops waiting.
		return SpreadReply{Missed: p.sendNear(context.WithoutCancel(ctx), m.Marks, from)}, nil
	})
	r.Handle(KindPull, func(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
		var m Message
		if err := decode(&m); err != nil {
			return nil, err
		}
		return Message{Marks: p.table.Marks()}, nil
	})
}

// Run pulls from a peer at the start and at intervals, and sends new marks to
// all members at once, until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	pull := time.NewTimer(0)
	defer pull.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case marks := <-p.queue:
			sends.Go(func() { p.send(ctx, marks) })
		case <-pull.C:
			if p.pull(ctx) {
				pull.Reset(PullInterval)
			} else {
				pull.Reset(startRetry)
			}
		}
	}
}

// pull asks one random member; false if it does not answer.
func (p *Peers) pull(ctx context.Context) bool {
	others := p.others()
	if len(others) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var m Message
	if err := p.caller.Call(ctx, others[rand.IntN(len(others))].Address, KindPull, Message{}, &m); err != nil {
		return false
	}
	p.table.Merge(m.Marks)
	return true
}

// others returns the live members but this one.
func (p *Peers) others() []goose.Member {
	self := p.members.Self().Instance
	var others []goose.Member
	for _, m := range p.members.Members() {
		if m.Instance != self && m.Live && m.Address != "" {
			others = append(others, m)
		}
	}
	return others
}
