package goosedispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// fakePeerClient replies for the instances by address. Instances without a reply are
// silent until the call ends.
type fakePeerClient map[string]goose.HolderState

func (f fakePeerClient) Call(ctx context.Context, address, _ string, _, reply any) error {
	state, ok := f[address]
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*goose.HolderState) = state
	return nil
}

// emptyHolder holds no permits.
type emptyHolder struct{}

func (emptyHolder) HolderState(goose.Pool) goose.HolderState                         { return goose.HolderState{} }
func (emptyHolder) Fence(goose.Pool, goose.Epoch)                                    {}
func (emptyHolder) HeldPermits(goose.Pool, []goose.PermitID) (none []goose.PermitID) { return none }

// Guards against a new dispatcher that grants on a cold replica although a silent
// instance of another data centre, which is frozen or not reached by the relay, may use
// a permit on it; and against one that grants on warm replicas only after that
// instance has replied.
func TestCollectAsksSilentMembers(t *testing.T) {
	q := request("old", 100)
	withPermit := goose.HolderState{Held: []goose.HeldPermit{{Request: q, Started: true, Permit: goose.Permit{
		ID: "old", Request: q.Request, Pool: testPool, Replicas: []goose.ReplicaGrant{{Replica: "a", Address: "a:1", Tokens: 100}},
	}}}}
	noPermits := goose.HolderState{}
	warmReplica := goose.HolderState{Warm: []goose.WarmEvidence{{Replica: "a", Process: "p1"}}}
	tests := map[string]struct {
		kind   goose.ServiceKind
		client fakePeerClient
		after  time.Duration
		want   int
	}{
		"silent":                              {goose.KindModel, fakePeerClient{"near": noPermits}, 3900 * time.Millisecond, 0},
		"silent, permits expired":             {goose.KindModel, fakePeerClient{"near": noPermits}, 5 * time.Second, 1},
		"silent, warm replica":                {goose.KindModel, fakePeerClient{"near": warmReplica}, 700 * time.Millisecond, 4},
		"all reply":                           {goose.KindModel, fakePeerClient{"near": noPermits, "far": noPermits}, time.Second, 1},
		"all reply, one with a permit":        {goose.KindModel, fakePeerClient{"near": noPermits, "far": withPermit}, time.Second, 0},
		"plain, silent":                       {goose.KindPlain, fakePeerClient{"near": noPermits}, 30 * time.Second, 0},
		"plain, deadline passed":              {goose.KindPlain, fakePeerClient{"near": noPermits}, 32 * time.Second, 1},
		"plain, all reply, one with a permit": {goose.KindPlain, fakePeerClient{"near": noPermits, "far": withPermit}, time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(h *harness, d *Dependencies) {
					h.source.c.service.Kind = tt.kind
					d.Holders = peerHolders{&Manager{
						options: Options{Self: "i1", DataCentre: "leith", Clock: goose.SystemClock{}, PeerClient: tt.client, Membership: fakeMembership{members: []goose.Member{
							{Instance: "i1", DataCentre: "leith", Live: true},
							{Instance: "i2", DataCentre: "leith", Address: "near", Live: true},
							{Instance: "i3", DataCentre: "dalkeith", Address: "far"},
						}}},
						holder: emptyHolder{}, epochs: map[goose.Pool]goose.Epoch{},
					}}
				}, "a")
				h.start()
				time.Sleep(tt.after)
				if got := h.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against a collect round from before a restart of the takeover that ends the
// takeover.
func TestEarlierCollectRoundDoesNotEndTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, _ *Dependencies) { h.holders.complete = false }, "a")
		h.start()
		synctest.Wait()
		before := time.Now()
		time.Sleep(time.Millisecond)
		h.pool.RestartTakeover()
		h.pool.finishCollect(before, true)
		if h.pool.takeover.complete {
			t.Error("replies of the earlier round completed the takeover")
		}
		h.pool.finishCollect(time.Now(), true)
		if !h.pool.takeover.complete {
			t.Error("replies of the current round did not complete the takeover")
		}
	})
}
