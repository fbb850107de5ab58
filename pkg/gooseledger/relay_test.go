package gooseledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosepeertest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// Guards against an instance that calls the store for each order although the
// relay batches the transactions of its data centre, and against claims that are
// refused or granted twice when the relay or its responses are lost.
func TestRelay(t *testing.T) {
	tests := map[string]struct {
		fail func(m *goosestore.Memory, p *link)
		want goose.ClaimStatus
	}{
		"works":                          {func(*goosestore.Memory, *link) {}, goose.ClaimGranted},
		"relay down":                     {func(_ *goosestore.Memory, p *link) { p.down.Store(true) }, goose.ClaimGranted},
		"store down for the relay alone": {func(_ *goosestore.Memory, p *link) { p.peerStore.dead.Store(true) }, goose.ClaimGranted},
		"store response lost":            {func(m *goosestore.Memory, _ *link) { m.SetFaults(loseTxns(1, goosestore.LossResponse)) }, goose.ClaimGranted},
		"store down":                     {func(m *goosestore.Memory, _ *link) { m.SetFaults(goosestore.Faults{Down: true}) }, goose.ClaimUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, m *goosestore.Memory) {
				_, b, p := openPair(t, m)
				_ = b.Claim(t.Context(), goose.OrderKey{Key: "earlier"}, "", "")
				tt.fail(m, p)
				requireClaim(t, b, "body", tt.want)
				if tt.want == goose.ClaimGranted {
					requireClaim(t, b, "body", goose.ClaimRunning)
				}
			})
		})
	}
}

// Guards against more store calls than the rate limit allows, whatever the number
// of instances, and against orders that are refused because of the limit.
func TestRelayBoundsCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		m.SetFaults(goosestore.Faults{Slow: 3 * time.Millisecond})
		ledgers := openDataCentre(m, 10, "relayed")
		const seconds, perSecond = 10, 200
		var wg sync.WaitGroup
		for i := range seconds * perSecond {
			time.Sleep(time.Second / perSecond)
			wg.Go(func() {
				l := ledgers[i%len(ledgers)]
				c := l.Claim(context.Background(), goose.OrderKey{Key: fmt.Sprint(i)}, "", "")
				if c.Status != goose.ClaimGranted {
					t.Errorf("got %s, want granted", c.Status)
				}
				l.MarkDone(c.Order, answer)
			})
		}
		wg.Wait()
		closeAll(t, ledgers...)
		if got, limit := m.Counts()[goosestore.CallTxn], int64((seconds+2)*DefaultStoreCallRate); got > limit {
			t.Errorf("got %d calls in %d s, want at most %d", got, seconds, limit)
		}
	})
}

// Guards against a peer that changes the configuration or a lease through the
// relay, and against store errors that callers can no longer distinguish after a
// call through the relay.
func TestRelayChecks(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		_, _, p := openPair(t, m)
		commit := func(op goose.Op) (CommitReply, error) {
			var reply CommitReply
			err := p.Call(t.Context(), "a", KindOrderCommit, CommitRequest{Txn: goose.Txn{Then: []goose.Op{op}}}, &reply)
			return reply, err
		}
		if _, err := commit(goose.Put("/gooseberryhold/f/config/head", nil)); err == nil {
			t.Error("got no error for a key that is no order's")
		}
		key := newKeyspace("f").recordPrefix() + "w/1"
		reply, err := commit(goose.Put(key, nil).WithLease(99))
		if err != nil || !errors.Is(reply.err(), goose.ErrLeaseNotFound) {
			t.Errorf("got %v, %v, want ErrLeaseNotFound", reply.err(), err)
		}
		m.SetFaults(goosestore.Faults{Down: true})
		if reply, err = commit(goose.Put(key, nil)); err != nil || !errors.Is(reply.err(), goose.ErrUnavailable) {
			t.Errorf("got %v, %v, want ErrUnavailable", reply.err(), err)
		}
	})
}

// Guards against a relay that is in another data centre, dead or leaving.
func TestLowestLiveMember(t *testing.T) {
	t.Parallel()
	a := goose.Member{Instance: "a", Address: "a", Live: true}
	tests := map[string]struct {
		change func(m *goose.Member)
		want   goose.InstanceID
	}{
		"live":                {func(*goose.Member) {}, "a"},
		"dead":                {func(m *goose.Member) { m.Live = false }, "b"},
		"leaving":             {func(m *goose.Member) { m.Leaving = true }, "b"},
		"another data centre": {func(m *goose.Member) { m.DataCentre = "musselburgh" }, "b"},
		"higher name":         {func(m *goose.Member) { m.Instance = "c" }, "b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := a
			tt.change(&m)
			p := newLink(goosepeertest.New(noFault), "b", m)
			if got, self := lowestLiveMember(p); got.Instance != tt.want || self != (tt.want == "b") {
				t.Errorf("got %s, %v, want %s", got.Instance, self, tt.want)
			}
		})
	}
}
