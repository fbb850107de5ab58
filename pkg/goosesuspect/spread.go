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
	// forwardTimeout leaves an instance that passes marks on time to call the
	// members that do not answer it.
	forwardTimeout = callTimeout + callTimeout/2
	// forwarders is how many instances of a data centre are asked in turn to pass
	// marks on before all are called. With both silent the marks take 4 s.
	forwarders = 2
)

// SpreadReply acknowledges marks.
type SpreadReply struct {
	// Missed are the members that the receiver was asked to pass the marks on to
	// and that did not answer it.
	Missed []goose.InstanceID `cbor:"1,keyasint,omitempty"`
}

// send spreads marks: to the members of the own data centre, and to one instance
// of every other one, which passes them on. Calls to all of 330 members would
// cost the sender a handshake with nearly each. A member that does not answer
// pulls the marks later.
func (p *Peers) send(ctx context.Context, marks []Mark) {
	own := p.members.Self().DataCentre
	elsewhere := map[goose.DataCentre][]goose.Member{}
	for _, m := range p.others() {
		if m.DataCentre != own {
			elsewhere[m.DataCentre] = append(elsewhere[m.DataCentre], m)
		}
	}
	var calls conc.WaitGroup
	calls.Go(func() { p.sendNear(ctx, marks, "") })
	for _, members := range elsewhere {
		calls.Go(func() { p.sendFar(ctx, marks, members) })
	}
	calls.Wait()
}

// sendNear calls every other member of the own data centre but one and returns
// those that did not answer.
func (p *Peers) sendNear(ctx context.Context, marks []Mark, but goose.InstanceID) []goose.InstanceID {
	own := p.members.Self().DataCentre
	var near []goose.Member
	for _, m := range p.others() {
		if m.DataCentre == own && m.Instance != but {
			near = append(near, m)
		}
	}
	return p.sendAll(ctx, marks, near)
}

func (p *Peers) sendAll(ctx context.Context, marks []Mark, members []goose.Member) []goose.InstanceID {
	var mu sync.Mutex
	var missed []goose.InstanceID
	var calls conc.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			if _, err := p.sendOne(ctx, m, Message{Marks: marks}, callTimeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, m.Instance)
			}
		})
	}
	calls.Wait()
	return missed
}

func (p *Peers) sendOne(ctx context.Context, to goose.Member, m Message, timeout time.Duration) (SpreadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply SpreadReply
	err := p.caller.Call(ctx, to.Address, KindMarks, m, &reply)
	return reply, err
}

// sendFar has one member of another data centre pass the marks on. The members
// that it does not reach are called from here, and all of them if none of the
// asked ones answers: marks must not depend on one instance.
func (p *Peers) sendFar(ctx context.Context, marks []Mark, members []goose.Member) {
	// An instance that leaves may end before it has passed the marks on.
	slices.SortStableFunc(members, func(a, b goose.Member) int {
		switch {
		case a.Leaving == b.Leaving:
			return 0
		case b.Leaving:
			return -1
		}
		return 1
	})
	asked := min(forwarders, len(members))
	for _, m := range members[:asked] {
		reply, err := p.sendOne(ctx, m, Message{Marks: marks, Forward: true}, forwardTimeout)
		if err != nil {
			continue
		}
		p.sendAll(ctx, marks, slices.DeleteFunc(members, func(m goose.Member) bool {
			return !slices.Contains(reply.Missed, m.Instance)
		}))
		return
	}
	p.sendAll(ctx, marks, members[asked:])
}
