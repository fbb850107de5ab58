package goosesuspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// relayTimeout is the timeout of a call to a relay. It leaves the relay enough time to
	// wait for members of its data centre that do not reply.
	relayTimeout = callTimeout + callTimeout/2
	// maxRelays is the number of instances of a data centre that are tried one after the
	// other as relays before the sender calls all members itself. If no relay replies, the
	// marks arrive after 4 s.
	maxRelays = 2
)

// MarksReply acknowledges marks.
type MarksReply struct {
	// Missed are the members that did not reply when the receiver forwarded the marks.
	Missed []goose.InstanceID `cbor:"1,keyasint,omitempty"`
}

// sendToAll sends marks to the members of its own data centre, and to one instance of every
// other data centre, a relay that forwards them there. Calls to all of 330 members would
// cost the sender a handshake with nearly every one. A member that does not reply pulls
// the marks later.
func (r *Replicator) sendToAll(ctx context.Context, marks []Mark) {
	own := r.members.Self().DataCentre
	remote := map[goose.DataCentre][]goose.Member{}
	for _, m := range r.otherMembers() {
		if m.DataCentre != own {
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		}
	}
	var calls conc.WaitGroup
	calls.Go(func() { r.sendWithinDataCentre(ctx, marks, "") })
	for _, members := range remote {
		calls.Go(func() { r.sendThroughRelay(ctx, marks, members) })
	}
	calls.Wait()
}

// sendWithinDataCentre calls all other members of its own data centre except one and
// returns those that did not reply.
func (r *Replicator) sendWithinDataCentre(ctx context.Context, marks []Mark, except goose.InstanceID) []goose.InstanceID {
	own := r.members.Self().DataCentre
	var members []goose.Member
	for _, m := range r.otherMembers() {
		if m.DataCentre == own && m.Instance != except {
			members = append(members, m)
		}
	}
	return r.sendAll(ctx, marks, members)
}

// sendAll calls all given members in parallel and returns those that did not reply.
func (r *Replicator) sendAll(ctx context.Context, marks []Mark, members []goose.Member) []goose.InstanceID {
	var mu sync.Mutex
	var missed []goose.InstanceID
	var calls conc.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			if _, err := r.sendOne(ctx, m, Message{Marks: marks}, callTimeout); err != nil {
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
func (r *Replicator) sendOne(ctx context.Context, to goose.Member, m Message, timeout time.Duration) (MarksReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply MarksReply
	err := r.client.Call(ctx, to.Address, KindMarks, m, &reply)
	return reply, err
}

// sendThroughRelay sends marks to another data centre through a relay. The sender itself
// calls the members that the relay did not reach, and all remaining members if no relay
// replies, so that the delivery does not depend on a single instance.
func (r *Replicator) sendThroughRelay(ctx context.Context, marks []Mark, members []goose.Member) {
	// Leaving members are tried last, since they may stop before they have forwarded the
	// marks.
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
		reply, err := r.sendOne(ctx, m, Message{Marks: marks, Forward: true}, relayTimeout)
		if err != nil {
			continue
		}
		r.sendAll(ctx, marks, slices.DeleteFunc(members, func(m goose.Member) bool {
			return !slices.Contains(reply.Missed, m.Instance)
		}))
		return
	}
	r.sendAll(ctx, marks, members[relays:])
}
