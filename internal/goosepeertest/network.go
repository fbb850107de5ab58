// Package goosepeertest has a peer link in memory with faults, for the tests of
// packages that call other instances.
package goosepeertest

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Call is one call between two instances, which are named by their addresses.
type Call struct{ From, To, Kind string }

// Fault is what happens to a call.
type Fault string

// Faults of calls.
const (
	FaultNone Fault = ""
	// FaultRefused ends the call at once without a reply.
	FaultRefused Fault = "refused"
	// FaultSilent lets the calling instance wait for a reply until its timeout.
	FaultSilent Fault = "silent"
	// FaultNoReply is FaultSilent after the call has had its effect.
	FaultNoReply Fault = "no-answer"
)

// ErrNoReply is the error of a call that a fault ends.
var ErrNoReply = errors.New("no reply")

// Network delivers calls between instances. Requests and replies are encoded as
// on the real link.
type Network struct {
	fault func(Call) Fault
	// Latency is how long a call that passes takes to its instance; nil is none.
	// It is set before the first call.
	Latency func(Call) time.Duration

	mu    sync.Mutex
	links map[string]*Link
	calls map[string]int
	bytes map[string]int
}

// New returns a network without instances. fault is asked when a call begins and
// again before its reply is returned.
func New(fault func(Call) Fault) *Network {
	return &Network{fault: fault, links: map[string]*Link{}, calls: map[string]int{}, bytes: map[string]int{}}
}

// Join adds an instance or replaces the one at the address.
func (n *Network) Join(address string) *Link {
	l := &Link{network: n, address: address, handlers: map[string]goose.PeerHandler{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[address] = l
	return l
}

// Calls returns how many calls of a kind were delivered.
func (n *Network) Calls(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[kind]
}

// Bytes returns the encoded size of all requests of a kind that were delivered.
func (n *Network) Bytes(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[kind]
}

// Link is the goose.PeerClient and goose.PeerRouter of one instance.
type Link struct {
	network  *Network
	address  string
	handlers map[string]goose.PeerHandler
}

// Handle implements goose.PeerRouter. It must not run concurrently with calls.
func (l *Link) Handle(kind string, h goose.PeerHandler) { l.handlers[kind] = h }

// Call implements goose.PeerClient. Instances that have not joined are silent.
func (l *Link) Call(ctx context.Context, address, kind string, request, reply any) error {
	n, call := l.network, Call{From: l.address, To: address, Kind: kind}
	fault := n.fault(call)
	n.mu.Lock()
	to := n.links[address]
	n.mu.Unlock()
	if ctx.Err() != nil || to == nil && fault == FaultNone {
		fault = FaultSilent
	}
	if fault != FaultNoReply && fault != FaultNone {
		return fault.end(ctx)
	}
	in, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if n.Latency != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(n.Latency(call)):
		}
	}
	n.mu.Lock()
	n.calls[kind]++
	n.bytes[kind] += len(in)
	n.mu.Unlock()
	h := to.handlers[kind]
	if h == nil {
		panic("no handler of " + kind + " at " + address)
	}
	result, err := h(ctx, goose.InstanceID(l.address), func(v any) error { return cbor.Unmarshal(in, v) })
	if err != nil {
		return err
	}
	if n.fault(call) == FaultNoReply {
		return FaultSilent.end(ctx)
	}
	out, err := cbor.Marshal(result)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	return errors.Wrap(cbor.Unmarshal(out, reply), "answer")
}

func (f Fault) end(ctx context.Context) error {
	if f == FaultRefused {
		return ErrNoReply
	}
	<-ctx.Done()
	return errors.Wrap(ErrNoReply, ctx.Err().Error())
}
