package gooseledger

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// link is what an instance sees of its peers.
type link struct {
	*goosepeertest.Link
	self    goose.InstanceID
	members atomic.Pointer[[]goose.Member]
	down    atomic.Bool
	// behind is the store as the other instance sees it.
	behind *stoppableStore
}

func newLink(n *goosepeertest.Network, self goose.InstanceID, members ...goose.Member) *link {
	p := &link{Link: n.Join(string(self)), self: self}
	p.members.Store(&members)
	return p
}

func (p *link) Self() goose.Member { return goose.Member{Instance: p.self} }

func (p *link) Members() []goose.Member { return *p.members.Load() }

func (p *link) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

func (p *link) Call(ctx context.Context, address, kind string, request, reply any) error {
	if p.down.Load() {
		return goosepeertest.ErrNoAnswer
	}
	return p.Link.Call(ctx, address, kind, request, reply)
}

func working(goosepeertest.Call) goosepeertest.Fault { return goosepeertest.FaultNone }

// pair returns the ledgers of a and b; b reaches a over the link.
func pair(t *testing.T, m *goosestore.Memory) (*Ledger, *Ledger, *link) {
	t.Helper()
	n := goosepeertest.New(working)
	p := newLink(n, "b", goose.Member{Instance: "a", Address: "a", Incarnation: 1, Live: true, Heard: time.Now()})
	p.behind = &stoppableStore{Store: m}
	a := open(t, p.behind, "a")
	a.Register(n.Join("a"))
	b := New(Options{Store: m, Fleet: "f", Self: "b", Incarnation: 1, Members: p, Caller: p, Logger: logger})
	t.Cleanup(b.cancel)
	return a, b, p
}

// Guards against a repeat that does not get the whole answer of the run in
// progress, also when the answer is too large for the store, or the store or
// the peer link does not answer.
func TestJoin(t *testing.T) {
	large := goose.PlainAnswer{Status: 200, Body: bytes.Repeat([]byte("x"), MaxKeptAnswer+1)}
	tests := map[string]struct {
		do   func(m *goosestore.Memory, a *Ledger, o goose.Order, p *link)
		want goose.ClaimStatus
		body []byte
	}{
		"finished with a large answer": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.Finish(o, large) }, goose.ClaimDone, large.Body,
		},
		"finished while the store is down": {
			func(m *goosestore.Memory, a *Ledger, o goose.Order, _ *link) {
				m.SetFaults(goosestore.Faults{Down: true})
				a.Finish(o, answer)
			}, goose.ClaimDone, answer.Body,
		},
		"finished while the link is down": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, p *link) {
				p.down.Store(true)
				a.Finish(o, answer)
			}, goose.ClaimDone, answer.Body,
		},
		"not run": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.NotRun(o) }, goose.ClaimUnavailable, nil,
		},
		"unknown": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.Unknown(o) }, goose.ClaimUnknown, nil,
		},
		"instance dies": {
			func(_ *goosestore.Memory, a *Ledger, _ goose.Order, p *link) {
				a.cancel()
				p.down.Store(true)
				p.members.Store(&[]goose.Member{{Instance: "a", Incarnation: 1, Heard: time.Now()}})
			}, goose.ClaimUnknown, nil,
		},
		"still running": {func(*goosestore.Memory, *Ledger, goose.Order, *link) {}, goose.ClaimRunning, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b, p := pair(t, m)
				claimAs(t, a, "body", goose.ClaimGranted)
				o := claimAs(t, b, "body", goose.ClaimRunning)
				result := make(chan goose.Claim, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					result <- b.Join(ctx, o)
				}()
				time.Sleep(3 * joinWait / 2)
				tt.do(m, a, o, p)
				got := <-result
				if got.Status != tt.want || !bytes.Equal(got.Order.Answer.Body, tt.body) {
					t.Errorf("got %s with %d bytes, want %s with %d", got.Status, len(got.Order.Answer.Body), tt.want, len(tt.body))
				}
			})
		})
	}
}

// Guards against claims that run twice because a live instance counts as dead,
// or that stay claimed for ever because a dead one counts as alive.
func TestLiveness(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	long, short := now.Add(-DefaultDeadAfter), now.Add(1-DefaultDeadAfter)
	member := func(incarnation int64, live bool, heard time.Time) []goose.Member {
		return []goose.Member{{Instance: "a", Incarnation: incarnation, Live: live, Heard: heard}}
	}
	tests := map[string]struct {
		members []goose.Member
		claimed time.Time
		want    bool
	}{
		"live":                   {member(7, true, now), long, false},
		"restarted":              {member(8, true, now), now, true},
		"seen by a lagging peer": {member(6, true, now), long, false},
		"silent for a moment":    {member(7, false, short), long, false},
		"silent":                 {member(7, false, long), long, true},
		"not heard of yet":       {nil, short, false},
		"dropped from the list":  {nil, long, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &link{}
			p.members.Store(&tt.members)
			dead := membersLiveness(p, fixedClock(now), DefaultDeadAfter)
			if got := dead("a", 7, tt.claimed); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

type fixedClock time.Time

func (c fixedClock) Now() time.Time { return time.Time(c) }

// Guards against an instance that takes the claims of its earlier life for
// running ones.
func TestOwnEarlierIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a := open(t, m, "a")
		claimAs(t, a, "body", goose.ClaimGranted)
		a.cancel()
		again := New(Options{Store: m, Fleet: "f", Self: "a", Incarnation: 2, Logger: logger})
		claimAs(t, again, "body", goose.ClaimUnknown)
		closeAll(t, again)
		synctest.Wait()
	})
}

// Guards against joiners between two calls that miss a large answer, and
// against answers that are kept for ever.
func TestAnswerLingers(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a := open(t, m, "a")
		o := claimAs(t, a, "body", goose.ClaimGranted)
		a.Finish(o, goose.PlainAnswer{Body: make([]byte, MaxKeptAnswer+1)})
		time.Sleep(lingerTime / 2)
		if got := len(a.await(t.Context(), o.Nonce).Order.Answer.Body); got != MaxKeptAnswer+1 {
			t.Errorf("got %d bytes, want the whole answer", got)
		}
		time.Sleep(lingerTime)
		if a.find(o.Nonce) != nil {
			t.Error("got an answer that is still kept")
		}
	})
}
