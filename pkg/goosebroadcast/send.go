package goosebroadcast

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// RelayTimeout is the timeout of a call to a relay. It leaves the relay enough time to
	// wait for members of its data centre that do not reply.
	RelayTimeout = CallTimeout + CallTimeout/2
	// maxRelays is the number of instances of a data centre that are tried one after the
	// other as relays before the sender calls all members itself. If no relay replies, the
	// items arrive after 4 s.
	maxRelays = 2
)

// Reply acknowledges items.
type Reply struct {
	// Missed are the members that did not reply when the receiver forwarded the items.
	Missed []goose.InstanceID `cbor:"1,keyasint,omitempty"`
}

// sendToAll sends items to the members of its own data centre, and to one instance of every
// other data centre, a relay that forwards them there. Calls to all of 330 members would
// cost the sender a handshake with nearly every one. A member that does not reply pulls
// the items later.
func (b *Broadcaster[T]) sendToAll(ctx context.Context, items []T) {
	own := b.o.Members.Self().DataCentre
	remote := map[goose.DataCentre][]goose.Member{}
	for _, m := range b.otherMembers() {
		if m.DataCentre != own {
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		}
	}
	var calls conc.WaitGroup
	calls.Go(func() { b.sendWithinDataCentre(ctx, items, "") })
	for _, members := range remote {
		calls.Go(func() { b.sendThroughRelay(ctx, items, members) })
	}
	calls.Wait()
}

// sendWithinDataCentre calls all other members of its own data centre except one and
// returns those that did not reply.
func (b *Broadcaster[T]) sendWithinDataCentre(ctx context.Context, items []T, except goose.InstanceID) []goose.InstanceID {
	own := b.o.Members.Self().DataCentre
	var members []goose.Member
	for _, m := range b.otherMembers() {
		if m.DataCentre == own && m.Instance != except {
			members = append(members, m)
		}
	}
	return b.sendAll(ctx, items, members)
}

// sendAll calls all given members in parallel and returns those that did not reply.
func (b *Broadcaster[T]) sendAll(ctx context.Context, items []T, members []goose.Member) []goose.InstanceID {
	var mu sync.Mutex
	var missed []goose.InstanceID
	var calls conc.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			if _, err := b.sendOne(ctx, m, Message[T]{Items: items}, CallTimeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, m.Instance)
			}
		})
	}
	calls.Wait()
	return missed
}

// sendOne calls one member and returns its reply.
func (b *Broadcaster[T]) sendOne(ctx context.Context, to goose.Member, m Message[T], timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	err := b.o.Client.Call(ctx, to.Address, b.o.Kind, m, &reply)
	return reply, err
}

// sendThroughRelay sends items to another data centre through a relay. The sender itself
// calls the members that the relay did not reach, and all remaining members if no relay
// replies, so that the delivery does not depend on a single instance.
func (b *Broadcaster[T]) sendThroughRelay(ctx context.Context, items []T, members []goose.Member) {
	// Leaving members are tried last, since they may stop before they have forwarded the
	// items.
	slices.SortStableFunc(members, func(a, b goose.Member) int {
		switch {
		case a.Leaving == b.Leaving:
			return 0
		case b.Leaving:
			return -1
		}
		return 1
	})
	relays := min(maxRelays, len(members))
	for _, m := range members[:relays] {
		reply, err := b.sendOne(ctx, m, Message[T]{Items: items, Forward: true}, RelayTimeout)
		if err != nil {
			continue
		}
		b.sendAll(ctx, items, slices.DeleteFunc(members, func(m goose.Member) bool {
			return !slices.Contains(reply.Missed, m.Instance)
		}))
		return
	}
	b.sendAll(ctx, items, members[relays:])
}
