package goosedispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// Guards against a dispatcher that grants without authority, or stops although it
// still has authority.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ids := []goose.InstanceID{"i1", "i2", "i3"}
	promised := func(age time.Duration, from ...goose.InstanceID) map[goose.InstanceID]time.Time {
		out := map[goose.InstanceID]time.Time{}
		for _, i := range from {
			out[i] = now.Add(-age)
		}
		return out
	}
	ahead, past := now.Add(time.Millisecond), now.Add(-time.Millisecond)
	tests := map[string]struct {
		evidence AuthorityEvidence
		want     goose.DispatchMode
	}{
		"lease valid":                  {AuthorityEvidence{LeaseDeadline: ahead, Store: LeaseConfirmed}, goose.ModeLeased},
		"lease valid, store silent":    {AuthorityEvidence{LeaseDeadline: ahead, Store: StoreUnresponsive}, goose.ModeLeased},
		"lease lost":                   {AuthorityEvidence{LeaseDeadline: ahead, Store: LeaseLost}, goose.ModeStopped},
		"lease lost, all promised":     {AuthorityEvidence{LeaseDeadline: past, Store: LeaseLost, Promises: promised(0, ids...)}, goose.ModeStopped},
		"all promised":                 {AuthorityEvidence{LeaseDeadline: past, Store: StoreUnresponsive, Promises: promised(1999*time.Millisecond, "i2", "i3")}, goose.ModeConsented},
		"at the deadline":              {AuthorityEvidence{LeaseDeadline: now, Store: StoreUnresponsive, Promises: promised(0, "i2", "i3")}, goose.ModeConsented},
		"one promise too old":          {AuthorityEvidence{LeaseDeadline: past, Store: StoreUnresponsive, Promises: promised(2*time.Second, "i2", "i3")}, goose.ModeDegraded},
		"one did not promise":          {AuthorityEvidence{LeaseDeadline: past, Store: StoreUnresponsive, Promises: promised(0, "i2")}, goose.ModeDegraded},
		"no promises":                  {AuthorityEvidence{LeaseDeadline: past, Store: StoreUnresponsive}, goose.ModeDegraded},
		"caretaker with all promises":  {AuthorityEvidence{Store: StoreUnresponsive, Promises: promised(0, "i2", "i3")}, goose.ModeDegraded},
		"promise of an unknown member": {AuthorityEvidence{LeaseDeadline: past, Store: StoreUnresponsive, Promises: promised(0, "i2", "i9")}, goose.ModeDegraded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.evidence.Now, tt.evidence.Self, tt.evidence.Members = now, "i1", ids
			if got := DecideAuthority(tt.evidence).Mode; got != tt.want {
				t.Errorf("mode: got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against two parts of a partitioned data centre that both grant on a replica.
func TestPartsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []goose.InstanceID
		part := map[goose.InstanceID]int{}
		for i := range rapid.IntRange(1, 9).Draw(t, "members") {
			id := goose.InstanceID(fmt.Sprint("i", i))
			members = append(members, id)
			part[id] = rapid.IntRange(0, 2).Draw(t, "part")
		}
		for i := range 20 {
			owners := map[int]bool{}
			for _, self := range members {
				reachable := map[goose.InstanceID]bool{}
				for _, m := range members {
					reachable[m] = part[m] == part[self]
				}
				a := DecideAuthority(AuthorityEvidence{Self: self, Store: StoreUnresponsive, Members: members, Reachable: reachable})
				allReachable := true
				for _, m := range members {
					allReachable = allReachable && reachable[m]
				}
				if a.AllReachable != allReachable {
					t.Fatalf("all reachable: got %t with the members %v reachable", a.AllReachable, reachable)
				}
				if a.Owns(goose.ReplicaID(fmt.Sprint("r", i))) {
					owners[part[self]] = true
				}
			}
			if len(owners) != 1 {
				t.Fatalf("parts that own a replica: got %d, want 1", len(owners))
			}
		}
	})
}

// Guards against a dispatcher with the lease that uses the whole limits of a replica
// while a degraded dispatcher in another part of the data centre uses a share of them.
func TestLeaseSharesReplicasOfSilentMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []goose.InstanceID
		reached := map[bool]map[goose.InstanceID]bool{true: {}, false: {}}
		for i := range rapid.IntRange(2, 9).Draw(t, "members") {
			id := goose.InstanceID(fmt.Sprint("i", i))
			members = append(members, id)
			// The first instance holds the lease, the second is in the other part.
			with := i == 0 || i > 1 && rapid.Bool().Draw(t, "part")
			reached[with][id] = true
		}
		now := time.Unix(1000, 0)
		leased := DecideAuthority(AuthorityEvidence{Self: "i0", Now: now, LeaseDeadline: now.Add(1), Store: LeaseConfirmed, Members: members, Reachable: reached[true]})
		degraded := DecideAuthority(AuthorityEvidence{Self: "i1", Now: now, Store: StoreUnresponsive, Members: members, Reachable: reached[false]})
		for i := range 20 {
			r := goose.ReplicaID(fmt.Sprint("r", i))
			want := gooselimit.ShareWhole
			if degraded.Owns(r) {
				want = gooselimit.ShareLarger
			}
			if got := leased.Share(r); got != want {
				t.Fatalf("share of %s: got %q, want %q", r, got, want)
			}
			if got := degraded.Share(r); got != gooselimit.ShareSmaller {
				t.Fatalf("degraded share of %s: got %q, want %q", r, got, gooselimit.ShareSmaller)
			}
		}
	})
}

// Guards against a dispatcher with the lease that uses only a share of its replicas
// although every member is reachable.
func TestLeaseIsNotSharedWhenAllAreReachable(t *testing.T) {
	now := time.Unix(1000, 0)
	a := DecideAuthority(AuthorityEvidence{
		Self: "i0", Now: now, LeaseDeadline: now.Add(1), Members: []goose.InstanceID{"i0", "i1"},
		Reachable: map[goose.InstanceID]bool{"i0": true, "i1": true},
	})
	if a.Share != nil {
		t.Error("share: got a bound, want none")
	}
}

type fakeMembership struct {
	goose.Membership
	members []goose.Member
}

func (f fakeMembership) Members() []goose.Member { return f.members }

// Guards against two degraded dispatchers that both grant when their parts of the data
// centre are connected again.
func TestNoGrantsWithSecondDispatcher(t *testing.T) {
	self := goose.Member{Instance: "i1", DataCentre: testPool.DataCentre, Live: true}
	rival := goose.Member{Instance: "i2", DataCentre: testPool.DataCentre, Live: true, Pools: []goose.DispatchedPool{{Pool: testPool}}}
	for live, want := range map[bool]bool{true: false, false: true} {
		rival.Live = live
		m := &Manager{options: Options{Self: "i1", DataCentre: testPool.DataCentre, Membership: fakeMembership{members: []goose.Member{self, rival}}}}
		r := &runningDispatcher{manager: m, id: testPool}
		owns := 0
		for i := range 50 {
			if r.authority(time.Unix(1000, 0)).Owns(goose.ReplicaID(fmt.Sprint(i))) {
				owns++
			}
		}
		if got := owns > 0; got != want {
			t.Errorf("second dispatcher live %v: got grants %v, want %v", live, got, want)
		}
	}
}
