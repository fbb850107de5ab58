package goosemember

import (
	"context"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var twoOfThree = map[string]goose.DataCentre{
	"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c",
}

func (f *fleet) versionOf(at, of string) int64 {
	for _, m := range f.clusters[at].Members() {
		if string(m.Instance) == of {
			return m.Version
		}
	}
	return -1
}

// Guards against two digest exchanges per pair of data centres and interval, and
// against saving so much that live members elsewhere count as failed or that a
// change there is learnt late, because a digest that differs is taken for a
// confirmation.
func TestOneDigestExchangePerPair(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := start(ctx, twoOfThree)
		time.Sleep(5 * time.Second)
		before := f.net.Calls(kindDigest)
		for range 20 {
			time.Sleep(time.Second)
			for name, c := range f.clusters {
				if got := len(live(c)); got != len(twoOfThree) {
					t.Fatalf("%s: got %d live members, want %d", name, got, len(twoOfThree))
				}
			}
		}
		// 3 pairs and 20 intervals; a pair may exchange once more at the edge.
		if got, most := f.net.Calls(kindDigest)-before, 3*21; got > most {
			t.Errorf("got %d exchanges in 20 s, want at most %d", got, most)
		}
		for i, changed := range []string{"a-2", "b-2", "c-2"} {
			version := int64(i + 1)
			f.setVersion(changed, version)
			// Heartbeat to the relay, digest, heartbeat of the other relay, fetch.
			time.Sleep(DigestInterval + 3*HeartbeatInterval)
			for name := range f.clusters {
				if got := f.versionOf(name, changed); got != version {
					t.Errorf("%s: got version %d of %s, want %d", name, got, changed, version)
				}
			}
		}
	})
}

// Guards against a relay that is content with being asked while the other side
// gets none of its answers: it must ask itself, so that the other side hears it.
func TestUnansweredRelayIsAsked(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := start(ctx, twoOfThree)
		time.Sleep(5 * time.Second)
		f.net.mu.Lock()
		for _, b := range []string{"b-1", "b-2"} {
			f.net.unanswered[[2]string{"a-1", b}] = true
		}
		f.net.mu.Unlock()
		for range 20 {
			time.Sleep(time.Second)
			if !live(f.clusters["a-1"])["b-1"] {
				t.Fatal("a-1: b-1 does not count as live although its calls arrive")
			}
		}
		f.setVersion("a-2", 4)
		time.Sleep(5 * time.Second)
		if got := f.versionOf("b-2", "a-2"); got != 4 || !live(f.clusters["b-2"])["a-1"] {
			t.Errorf("b-2: got version %d of a-2, live members %v, want 4 and a-1", got, live(f.clusters["b-2"]))
		}
	})
}

// Guards against a view that alternates between the digests of the two relays of
// a data centre that is split.
func TestSplitDataCentreHasOneDigest(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := start(ctx, twoOfThree)
		time.Sleep(5 * time.Second)
		f.net.setCut("a-1", "a-2", true)
		time.Sleep(10 * time.Second)
		want := live(f.clusters["b-1"])
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if got := live(f.clusters["b-1"]); !maps.Equal(got, want) {
				t.Fatalf("b-1: got live members %v after %v, want no change", got, want)
			}
		}
	})
}

// Guards against a confirmation by a call that was under way while the digest
// changed: the older hash must not count.
func TestOldDigestIsNotConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := start(ctx, twoOfThree)
		time.Sleep(5 * time.Second)
		c := f.clusters["b-1"]
		old := digestState{DataCentre: "a", Hash: c.knownHash("a")}
		f.setPools("a-2", goose.PoolHolding{Pool: goose.Pool{DataCentre: "a", Service: "s"}, Epoch: 1, Mode: goose.ModeLeased})
		time.Sleep(5 * time.Second)
		for _, a := range []string{"a-1", "a-2"} {
			f.net.setDown(a, true)
		}
		for range 10 {
			time.Sleep(time.Second)
			_, err := c.serveDigest(ctx, "a-1", func(v any) error {
				*v.(*fetch) = fetch{DataCentre: "b", Own: &old}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		if live(c)["a-1"] {
			t.Error("a-1 still counts as live by an old digest")
		}
	})
}

// Guards against whole digests that are sent again and again because an instance
// lists its pools in another order, and against changes that the hash misses.
func TestDigestHash(t *testing.T) {
	t.Parallel()
	hold := func(service goose.ServiceName, epoch goose.Epoch) goose.PoolHolding {
		return goose.PoolHolding{Pool: goose.Pool{DataCentre: "a", Service: service}, Epoch: epoch, Mode: goose.ModeLeased}
	}
	members := func(first, second []goose.PoolHolding) []goose.Member {
		return []goose.Member{{Instance: "a-1", Pools: first}, {Instance: "a-2", Pools: second}}
	}
	base := digestHash(members([]goose.PoolHolding{hold("s", 1), hold("t", 2)}, nil))
	tests := map[string]struct {
		members []goose.Member
		equal   bool
	}{
		"pools in another order":   {members([]goose.PoolHolding{hold("t", 2), hold("s", 1)}, nil), true},
		"a pool at another member": {members([]goose.PoolHolding{hold("s", 1)}, []goose.PoolHolding{hold("t", 2)}), false},
		"another epoch":            {members([]goose.PoolHolding{hold("s", 1), hold("t", 3)}, nil), false},
		"epochs exchanged":         {members([]goose.PoolHolding{hold("s", 2), hold("t", 1)}, nil), false},
		"a pool less":              {members([]goose.PoolHolding{hold("s", 1)}, nil), false},
		"another incarnation": {[]goose.Member{
			{Instance: "a-1", Pools: []goose.PoolHolding{hold("s", 1), hold("t", 2)}}, {Instance: "a-2", Incarnation: 1},
		}, false},
	}
	for name, tt := range tests {
		if got := digestHash(tt.members) == base; got != tt.equal {
			t.Errorf("%s: got equal hashes %v, want %v", name, got, tt.equal)
		}
	}
}

// Guards against members that are sent to the whole fleet with each change of
// the configuration, and against versions that are wrong without them: an
// operator's command waits for all live members.
func TestVersionsTravelWithoutMembers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		f := start(ctx, twoOfThree)
		time.Sleep(5 * time.Second)
		before := f.net.Calls(kindFetch)
		check := func(want map[string]int64) {
			t.Helper()
			for of, version := range want {
				f.setVersion(of, version)
			}
			time.Sleep(DigestInterval + 3*HeartbeatInterval)
			for at := range twoOfThree {
				for of, version := range want {
					if got := f.versionOf(at, of); got != version && at != of {
						t.Errorf("%s: got version %d of %s, want %d", at, got, of, version)
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

// Guards against a version of a member's former process, and against an older
// message that takes a version back.
func TestVersionsOfDigest(t *testing.T) {
	t.Parallel()
	tb := newTable(goose.Member{Instance: "a-1", DataCentre: "a"}, time.Now)
	member := func(incarnation, version int64) []goose.Member {
		return []goose.Member{{Instance: "c-2", DataCentre: "c", Incarnation: incarnation, Version: version}}
	}
	confirm := func(m []goose.Member) bool {
		return tb.confirmDigest(digestState{DataCentre: "c", Hash: digestHash(m), Versions: versionsOf(m)})
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

// Guards against a list of members in Others that should be the rule.
func TestVersionsNameTheFewest(t *testing.T) {
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
