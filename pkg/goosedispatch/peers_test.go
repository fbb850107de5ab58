package goosedispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// fakeCaller answers for the instances by address; those without an answer are
// silent until the call ends.
type fakeCaller map[string]goose.Collected

func (f fakeCaller) Call(ctx context.Context, address, _ string, _, reply any) error {
	c, ok := f[address]
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*goose.Collected) = c
	return nil
}

// idleHolder holds no permits.
type idleHolder struct{}

func (idleHolder) Collect(goose.Pool) goose.Collected                        { return goose.Collected{} }
func (idleHolder) Fence(goose.Pool, goose.Epoch)                             {}
func (idleHolder) Held(goose.Pool, []goose.PermitID) (none []goose.PermitID) { return none }

// Guards against a new dispatcher that gives a cold replica work although an
// instance of another data centre, which is frozen or not reached by the relay,
// may use a permit on it, and against one that keeps warm replicas waiting for it.
func TestCollectAsksMembersThatAreNotHeard(t *testing.T) {
	q := request("old", 100)
	holds := goose.Collected{Held: []goose.HeldPermit{{Request: q, Started: true, Permit: goose.Permit{
		ID: "old", Request: q.Request, Pool: testPool, Replicas: []goose.ReplicaGrant{{Replica: "a", Address: "a:1", Tokens: 100}},
	}}}}
	nothing := goose.Collected{}
	warm := goose.Collected{Warm: []goose.Warmth{{Replica: "a", Process: "p1"}}}
	tests := map[string]struct {
		kind   goose.Kind
		caller fakeCaller
		after  time.Duration
		want   int
	}{
		"silent":                  {goose.KindModel, fakeCaller{"near": nothing}, 3900 * time.Millisecond, 0},
		"silent, permits expired": {goose.KindModel, fakeCaller{"near": nothing}, 5 * time.Second, 1},
		"silent, warm replica":    {goose.KindModel, fakeCaller{"near": warm}, 700 * time.Millisecond, 4},
		"answers":                 {goose.KindModel, fakeCaller{"near": nothing, "far": nothing}, time.Second, 1},
		"answers with a permit":   {goose.KindModel, fakeCaller{"near": nothing, "far": holds}, time.Second, 0},
		"plain, silent":           {goose.KindPlain, fakeCaller{"near": nothing}, 30 * time.Second, 0},
		"plain, deadline passed":  {goose.KindPlain, fakeCaller{"near": nothing}, 32 * time.Second, 1},
		"plain, with a permit":    {goose.KindPlain, fakeCaller{"near": nothing, "far": holds}, time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, func(r *rig, d *Dependencies) {
					r.source.c.service.Kind = tt.kind
					d.Holders = peers{&Manager{
						o: Options{Self: "i1", DataCentre: "leith", Clock: goose.SystemClock{}, Caller: tt.caller, Membership: fakeMembership{members: []goose.Member{
							{Instance: "i1", DataCentre: "leith", Live: true},
							{Instance: "i2", DataCentre: "leith", Address: "near", Live: true},
							{Instance: "i3", DataCentre: "dalkeith", Address: "far"},
						}}},
						holder: idleHolder{}, epochs: map[goose.Pool]goose.Epoch{},
					}}
				}, "a")
				r.start()
				time.Sleep(tt.after)
				if got := r.grants(); got != tt.want {
					t.Errorf("grants: got %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against answers from before a takeover began anew that end it.
func TestEarlierRoundDoesNotEndTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig, _ *Dependencies) { r.holders.complete = false }, "a")
		r.start()
		synctest.Wait()
		before := time.Now()
		time.Sleep(time.Millisecond)
		r.pool.Recollect()
		r.pool.collectedAll(before, true)
		if r.pool.takeover.complete {
			t.Error("answers of the earlier round completed the takeover")
		}
		r.pool.collectedAll(time.Now(), true)
		if !r.pool.takeover.complete {
			t.Error("answers of the present round did not complete the takeover")
		}
	})
}
