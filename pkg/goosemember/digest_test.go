package goosemember

import (
	"context"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var threeCentresOfTwo = map[string]goose.DataCentre{
	"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c",
}

func (f *fleet) versionOf(observer, member string) int64 {
	for _, m := range f.clusters[observer].Members() {
		if string(m.Instance) == member {
			return m.Version
		}
	}
	return -1
}

// Guards against two digest exchanges per pair of data centres and interval, and
// against so few exchanges that live members of other data centres count as
// failed. Also guards against changes there that arrive late because a digest
// with another hash is treated as a confirmation.
func TestOneDigestExchangePerPair(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentresOfTwo)
		time.Sleep(5 * time.Second)
		before := f.net.Calls(kindDigest)
		for range 20 {
			time.Sleep(time.Second)
			for name, c := range f.clusters {
				if got := len(liveNames(c)); got != len(threeCentresOfTwo) {
					t.Fatalf("%s: got %d live members, want %d", name, got, len(threeCentresOfTwo))
				}
			}
		}
		// 3 pairs and 20 intervals; one more exchange per pair may fall into the
		// measured time.
		if got, most := f.net.Calls(kindDigest)-before, 3*21; got > most {
			t.Errorf("got %d exchanges in 20 s, want at most %d", got, most)
		}
		for i, changed := range []string{"a-2", "b-2", "c-2"} {
			version := int64(i + 1)
			f.setVersion(changed, version)
			// The change takes a heartbeat to the relay, a digest exchange, a
			// heartbeat of the other relay, and a fetch.
			time.Sleep(DigestInterval + 3*HeartbeatInterval)
			for name := range f.clusters {
				if got := f.versionOf(name, changed); got != version {
					t.Errorf("%s: got version %d of %s, want %d", name, got, changed, version)
				}
			}
		}
	})
}

// Guards against a relay that sends no calls because the other relay calls it,
// while that relay receives none of its replies: it must send calls of its own,
// so that its messages reach the other side.
func TestRelayCallsPeerThatMissesReplies(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentresOfTwo)
		time.Sleep(5 * time.Second)
		f.net.mu.Lock()
		for _, b := range []string{"b-1", "b-2"} {
			f.net.replyLost[[2]string{"a-1", b}] = true
		}
		f.net.mu.Unlock()
		for range 20 {
			time.Sleep(time.Second)
			if !liveNames(f.clusters["a-1"])["b-1"] {
				t.Fatal("a-1: b-1 does not count as live although its calls arrive")
			}
		}
		f.setVersion("a-2", 4)
		time.Sleep(5 * time.Second)
		if got := f.versionOf("b-2", "a-2"); got != 4 || !liveNames(f.clusters["b-2"])["a-1"] {
			t.Errorf("b-2: got version %d of a-2, live members %v, want 4 and a-1", got, liveNames(f.clusters["b-2"]))
		}
	})
}

// Guards against a view that alternates between the digests of the two relays of
// a partitioned data centre.
func TestSplitDataCentreHasOneDigest(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentresOfTwo)
		time.Sleep(5 * time.Second)
		f.net.setCut("a-1", "a-2", true)
		time.Sleep(10 * time.Second)
		want := liveNames(f.clusters["b-1"])
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if got := liveNames(f.clusters["b-1"]); !maps.Equal(got, want) {
				t.Fatalf("b-1: got live members %v after %v, want no change", got, want)
			}
		}
	})
}

// Guards against a confirmation by a call that was in flight while the digest
// changed: the older hash must not count.
func TestOldDigestIsNotConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentresOfTwo)
		time.Sleep(5 * time.Second)
		c := f.clusters["b-1"]
		old := digestSummary{DataCentre: "a", Hash: c.knownDigestHash("a")}
		f.setPools("a-2", goose.DispatchedPool{Pool: goose.Pool{DataCentre: "a", Service: "s"}, Epoch: 1, Mode: goose.ModeLeased})
		time.Sleep(5 * time.Second)
		for _, a := range []string{"a-1", "a-2"} {
			f.net.setDown(a, true)
		}
		for range 10 {
			time.Sleep(time.Second)
			_, err := c.serveDigest(ctx, "a-1", func(v any) error {
				*v.(*fetchRequest) = fetchRequest{DataCentre: "b", OwnDigest: &old}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		if liveNames(c)["a-1"] {
			t.Error("a-1 still counts as live by an old digest")
		}
	})
}

// Guards against whole digests that are sent repeatedly because an instance lists
// its pools in another order, and against changes that leave the hash as it was.
func TestDigestHash(t *testing.T) {
	t.Parallel()
	dispatchedPool := func(service goose.ServiceName, epoch goose.Epoch) goose.DispatchedPool {
		return goose.DispatchedPool{Pool: goose.Pool{DataCentre: "a", Service: service}, Epoch: epoch, Mode: goose.ModeLeased}
	}
	members := func(first, second []goose.DispatchedPool) []goose.Member {
		return []goose.Member{{Instance: "a-1", Pools: first}, {Instance: "a-2", Pools: second}}
	}
	base := digestHash(members([]goose.DispatchedPool{dispatchedPool("s", 1), dispatchedPool("t", 2)}, nil))
	tests := map[string]struct {
		members []goose.Member
		equal   bool
	}{
		"pools in another order":   {members([]goose.DispatchedPool{dispatchedPool("t", 2), dispatchedPool("s", 1)}, nil), true},
		"a pool at another member": {members([]goose.DispatchedPool{dispatchedPool("s", 1)}, []goose.DispatchedPool{dispatchedPool("t", 2)}), false},
		"another epoch":            {members([]goose.DispatchedPool{dispatchedPool("s", 1), dispatchedPool("t", 3)}, nil), false},
		"epochs exchanged":         {members([]goose.DispatchedPool{dispatchedPool("s", 2), dispatchedPool("t", 1)}, nil), false},
		"one pool fewer":           {members([]goose.DispatchedPool{dispatchedPool("s", 1)}, nil), false},
		"another incarnation": {[]goose.Member{
			{Instance: "a-1", Pools: []goose.DispatchedPool{dispatchedPool("s", 1), dispatchedPool("t", 2)}}, {Instance: "a-2", Incarnation: 1},
		}, false},
	}
	for name, tt := range tests {
		if got := digestHash(tt.members) == base; got != tt.equal {
			t.Errorf("%s: got equal hashes %v, want %v", name, got, tt.equal)
		}
	}
}

// Guards against members that are sent to the whole fleet with each change of the
// configuration, and against wrong versions when members are not sent: an
// operator's command waits for all live members.
func TestVersionsAreSentWithoutMembers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(ctx, threeCentresOfTwo)
		time.Sleep(5 * time.Second)
		before := f.net.Calls(kindFetch)
		check := func(want map[string]int64) {
			t.Helper()
			for member, version := range want {
				f.setVersion(member, version)
			}
			time.Sleep(DigestInterval + 3*HeartbeatInterval)
			for observer := range threeCentresOfTwo {
				for member, version := range want {
					if got := f.versionOf(observer, member); got != version && observer != member {
						t.Errorf("%s: got version %d of %s, want %d", observer, got, member, version)
					}
				}
			}
		}
		check(map[string]int64{"a-1": 5, "a-2": 5, "b-1": 5, "b-2": 5, "c-1": 5, "c-2": 0})
		check(map[string]int64{"a-1": 6, "a-2": 5, "b-1": 6, "b-2": 6, "c-1": 5, "c-2": 5})
		if got := f.net.Calls(kindFetch) - before; got != 0 {
			t.Errorf("got %d fetches of members, want 0", got)
		}
	})
}

// Guards against a version of a member's previous process, and against an older
// message that reverts a version.
func TestVersionsOfDigest(t *testing.T) {
	t.Parallel()
	tb := newTable(goose.Member{Instance: "a-1", DataCentre: "a"}, time.Now)
	member := func(incarnation, version int64) []goose.Member {
		return []goose.Member{{Instance: "c-2", DataCentre: "c", Incarnation: incarnation, Version: version}}
	}
	confirm := func(m []goose.Member) bool {
		return tb.confirmDigest(digestSummary{DataCentre: "c", Hash: digestHash(m), Versions: versionsOf(m)})
	}
	check := func(when string, want int64) {
		t.Helper()
		if got := tb.records["c-2"].member.Version; got != want {
			t.Errorf("%s: got version %d, want %d", when, got, want)
		}
	}
	tb.applyDigest("c", member(1, 5))
	confirm(member(1, 6))
	check("confirmed with a newer version", 6)
	confirm(member(1, 4))
	check("older confirmation", 6)
	tb.applyDigest("c", member(1, 5))
	check("older members", 6)
	tb.applyDigest("c", member(2, 0))
	check("restarted", 0)
	if confirm(member(1, 7)) {
		t.Error("digest of the former process: got confirmed, want not")
	}
	check("confirmation of the former process", 0)
}

// Guards against versions whose Others contains the majority of the members.
func TestVersionsListMinority(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		versions []int64
		want     versions
	}{
		"none":     {nil, versions{}},
		"equal":    {[]int64{7, 7, 7}, versions{Version: 7}},
		"lagging":  {[]int64{6, 7, 7}, versions{Version: 7, Others: map[goose.InstanceID]int64{"0": 6}}},
		"started":  {[]int64{0, 7, 7}, versions{Version: 7, Others: map[goose.InstanceID]int64{"0": 0}}},
		"most old": {[]int64{0, 0, 7}, versions{Version: 0, Others: map[goose.InstanceID]int64{"2": 7}}},
	}
	for name, tt := range tests {
		var members []goose.Member
		for i, v := range tt.versions {
			members = append(members, goose.Member{Instance: goose.InstanceID(strconv.Itoa(i)), Version: v})
		}
		if got := versionsOf(members); got.Version != tt.want.Version || !maps.Equal(got.Others, tt.want.Others) {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}
