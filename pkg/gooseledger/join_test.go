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

// link is the peer link of one instance. It also implements goose.Membership.
type link struct {
	*goosepeertest.Link
	self    goose.InstanceID
	members atomic.Pointer[[]goose.Member]
	down    atomic.Bool
	// peerStore is the store that the other instance uses.
	peerStore *stoppableStore
}

func newLink(n *goosepeertest.Network, self goose.InstanceID, members ...goose.Member) *link {
	p := &link{Link: n.Join(string(self)), self: self}
	p.members.Store(&members)
	return p
}

func (l *link) Self() goose.Member { return goose.Member{Instance: l.self} }

func (l *link) Members() []goose.Member { return *l.members.Load() }

func (l *link) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, false }

func (l *link) Call(ctx context.Context, address, kind string, request, reply any) error {
	if l.down.Load() {
		return goosepeertest.ErrNoReply
	}
	return l.Link.Call(ctx, address, kind, request, reply)
}

func noFault(goosepeertest.Call) goosepeertest.Fault { return goosepeertest.FaultNone }

// openPair returns the ledgers of instances a and b, and the link over which b
// calls a.
func openPair(t *testing.T, m *goosestore.Memory) (*Ledger, *Ledger, *link) {
	t.Helper()
	n := goosepeertest.New(noFault)
	p := newLink(n, "b", goose.Member{Instance: "a", Address: "a", Incarnation: 1, Live: true, LastHeard: time.Now()})
	p.peerStore = &stoppableStore{Store: m}
	a := openLedger(t, p.peerStore, "a")
	a.Register(n.Join("a"))
	b := New(Options{Store: m, Fleet: "f", Self: "b", Incarnation: 1, Members: p, PeerClient: p, Logger: logger})
	t.Cleanup(b.cancel)
	return a, b, p
}

// Guards against a repeated request that does not get the whole answer of the
// running order, also when the answer is too large for the store, or when the
// store or the peer link is down.
func TestJoin(t *testing.T) {
	large := goose.PlainResponse{Status: 200, Body: bytes.Repeat([]byte("x"), MaxStoredAnswerBytes+1)}
	tests := map[string]struct {
		do   func(m *goosestore.Memory, a *Ledger, o goose.Order, p *link)
		want goose.ClaimStatus
		body []byte
	}{
		"finished with a large answer": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.MarkDone(o, large) }, goose.ClaimDone, large.Body,
		},
		"finished while the store is down": {
			func(m *goosestore.Memory, a *Ledger, o goose.Order, _ *link) {
				m.SetFaults(goosestore.Faults{Down: true})
				a.MarkDone(o, answer)
			}, goose.ClaimDone, answer.Body,
		},
		"finished while the link is down": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, p *link) {
				p.down.Store(true)
				a.MarkDone(o, answer)
			}, goose.ClaimDone, answer.Body,
		},
		"not run": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.MarkNotRun(o) }, goose.ClaimUnavailable, nil,
		},
		"unknown": {
			func(_ *goosestore.Memory, a *Ledger, o goose.Order, _ *link) { a.MarkUnknown(o) }, goose.ClaimUnknown, nil,
		},
		"instance dies": {
			func(_ *goosestore.Memory, a *Ledger, _ goose.Order, p *link) {
				a.cancel()
				p.down.Store(true)
				p.members.Store(&[]goose.Member{{Instance: "a", Incarnation: 1, LastHeard: time.Now()}})
			}, goose.ClaimUnknown, nil,
		},
		"still running": {func(*goosestore.Memory, *Ledger, goose.Order, *link) {}, goose.ClaimRunning, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				a, b, p := openPair(t, m)
				requireClaim(t, a, "body", goose.ClaimGranted)
				o := requireClaim(t, b, "body", goose.ClaimRunning)
				result := make(chan goose.Claim, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					result <- b.WaitForOutcome(ctx, o)
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

// Guards against orders that run twice because a live instance counts as dead,
// and against orders that stay claimed for ever because a dead instance counts as
// live.
func TestDeadFunc(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	long, short := now.Add(-DefaultDeadAfter), now.Add(1-DefaultDeadAfter)
	member := func(incarnation int64, live bool, heard time.Time) []goose.Member {
		return []goose.Member{{Instance: "a", Incarnation: incarnation, Live: live, LastHeard: heard}}
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
			dead := newDeadFunc(p, fixedClock(now), DefaultDeadAfter)
			if got := dead("a", 7, tt.claimed); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

type fixedClock time.Time

func (c fixedClock) Now() time.Time { return time.Time(c) }

// Guards against an instance that treats claims from before its restart as
// running.
func TestOwnEarlierIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a := openLedger(t, m, "a")
		requireClaim(t, a, "body", goose.ClaimGranted)
		a.cancel()
		restarted := New(Options{Store: m, Fleet: "f", Self: "a", Incarnation: 2, Logger: logger})
		requireClaim(t, restarted, "body", goose.ClaimUnknown)
		closeAll(t, restarted)
		synctest.Wait()
	})
}

// Guards against a joiner that misses a large answer because the order ends
// between two of its calls, and against answers that stay in memory for ever.
func TestAnswerOfFinishedRunIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		a := openLedger(t, m, "a")
		o := requireClaim(t, a, "body", goose.ClaimGranted)
		a.MarkDone(o, goose.PlainResponse{Body: make([]byte, MaxStoredAnswerBytes+1)})
		time.Sleep(finishedRunRetention / 2)
		if got := len(a.awaitOutcome(t.Context(), o.Nonce).Order.Answer.Body); got != MaxStoredAnswerBytes+1 {
			t.Errorf("got %d bytes, want the whole answer", got)
		}
		time.Sleep(finishedRunRetention)
		if a.findRun(o.Nonce) != nil {
			t.Error("got an answer that is still kept")
		}
	})
}
