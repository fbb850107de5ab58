package gooserelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// configuration returns a value like a configuration of many routes, of which a few differ
// from one version to the next.
func configuration(version int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	routes := rand.New(rand.NewPCG(1, 2))
	for i := range 200 + version%50 {
		fmt.Fprintf(&text, `{"host":"h%06x.example","prefix":"/%06x/","service":"s%d","timeout":%d},`, routes.IntN(1<<24), routes.IntN(1<<24), i%7, 1000*(1+i%9))
	}
	return text.String() + "]}"
}

// Guards against configurations that go to each instance of a data centre whole: the datagrams
// fill the link of the relay's machine, are lost, and every instance reads them from the store.
func TestConfigurationsFitIntoOneDatagram(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var mostParts atomic.Int64
		f := newFleet(t, 30, func(_, _ string, data []byte) bool {
			var m message
			if err := cbor.Unmarshal(data, &m); err == nil && int64(m.Parts) > mostParts.Load() {
				mostParts.Store(int64(m.Parts))
			}
			// A burst of more than two datagrams to each instance does not fit into the link.
			return m.Part >= maxResentParts
		})
		f.put("op/config", configuration(0))
		time.Sleep(10 * time.Second)
		mostParts.Store(0)
		before := f.polls()
		revision := int64(0)
		const versions = 60
		start := time.Now()
		for v := range versions {
			revision = f.put("op/config", configuration(v+1))
			f.put(fmt.Sprint("servers/i-", v%9), "entry")
			time.Sleep(150 * time.Millisecond)
		}
		took := time.Since(start)
		time.Sleep(2 * time.Second)
		f.check("op/config", revision)
		if got := mostParts.Load(); got > maxResentParts {
			t.Errorf("got updates of %d datagrams, want at most %d", got, maxResentParts)
		}
		// One relay polls at intervals of changeBound/pauseDivisor at least.
		most := int64((took+2*time.Second)/(changeBound/pauseDivisor)) + 5
		if got := f.polls() - before; got > most {
			t.Errorf("got %d polls for %d configurations, want those of one relay, at most %d", got, versions, most)
		}
		f.stop()
	})
}

// Guards against differences that are applied to another value than the one that they were
// made of, and against changes that are delivered out of order.
func TestDeltas(t *testing.T) {
	t.Parallel()
	change := func(key string, revision int64, value string) goose.WatchEvent {
		return goose.WatchEvent{Entry: goose.Entry{Key: key, Value: []byte(value), ModRevision: revision}}
	}
	relay := bases{}.with([]goose.WatchEvent{change("op/config", 3, configuration(3)), change("servers/i-1", 4, "short")})
	whole, deltas, err := relay.split([]goose.WatchEvent{change("op/config", 6, configuration(6)), change("servers/i-1", 7, "short")})
	if err != nil || len(whole) != 1 || len(deltas) != 1 || len(deltas[0].delta) > partBytes {
		t.Fatalf("got %d whole values, %d differences, error %v, want one short one each", len(whole), len(deltas), err)
	}
	tests := map[string]struct {
		known []goose.WatchEvent
		want  bool
	}{
		"same value":       {known: []goose.WatchEvent{change("op/config", 3, configuration(3))}, want: true},
		"newer ones, too":  {known: []goose.WatchEvent{change("op/config", 3, configuration(3)), change("op/config", 4, configuration(4)), change("op/config", 5, configuration(5))}, want: true},
		"only a newer one": {known: []goose.WatchEvent{change("op/config", 5, configuration(5))}},
		"of another key":   {known: []goose.WatchEvent{change("op/other", 3, configuration(3))}},
		"nothing":          {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &Relay{o: Options{Era: newTracker()}, bases: bases{}.with(tc.known)}
			got, err := r.expand(update{after: 5, until: 7, events: whole, deltas: deltas})
			if (err == nil) != tc.want {
				t.Fatalf("got error %v, want a value: %t", err, tc.want)
			}
			if tc.want && (len(got.events) != 2 || got.events[0].Entry.ModRevision != 6 || string(got.events[0].Entry.Value) != configuration(6)) {
				t.Errorf("got %d changes, the first of revision %d, want the configuration first", len(got.events), got.events[0].Entry.ModRevision)
			}
		})
	}
}

// Guards against values that take more and more memory.
func TestBasesAreBounded(t *testing.T) {
	t.Parallel()
	var b bases
	for i := range 100 {
		for _, key := range []string{"op/config", "op/other"} {
			value := make([]byte, 1000*(i+1))
			b = b.with([]goose.WatchEvent{{Entry: goose.Entry{Key: key, Value: value, ModRevision: int64(i + 1)}}})
		}
		size := 0
		for _, o := range b {
			size += len(o.value)
		}
		count := func(key string) int {
			return len(slices.DeleteFunc(slices.Clone(b), func(o base) bool { return o.key != key }))
		}
		if size > maxBaseBytes || count("op/config") > maxBases+1 {
			t.Fatalf("got %d values of a key, %d bytes, want at most %d and %d", count("op/config"), size, maxBases, maxBaseBytes)
		}
	}
}

// Guards against instances of an older build, which do not know differences, that take one for
// the value itself while both builds run.
func TestOlderInstanceFindsNoUpdate(t *testing.T) {
	t.Parallel()
	relay := bases{}.with([]goose.WatchEvent{{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(3)), ModRevision: 3}}})
	r := &Relay{o: Options{Era: newTracker()}, bases: relay}
	u := newUpdate(3, 4, []goose.WatchEvent{{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(4)), ModRevision: 4}}})
	parts, err := r.encode(&u)
	if err != nil || len(u.deltas) != 1 || len(parts) != 1 {
		t.Fatalf("got %d differences in %d parts, error %v, want one", len(u.deltas), len(parts), err)
	}
	datagram, err := cbor.Marshal(message{From: "b", Revision: 4, After: 3, Until: 4, Parts: 1, DeltaData: parts[0]})
	if err != nil {
		t.Fatal(err)
	}
	// older has the fields that an older build knows and that an update needs.
	var older struct {
		From         goose.InstanceID `cbor:"1,keyasint"`
		After, Until int64            `cbor:"-"`
		Parts        int              `cbor:"7,keyasint,omitempty"`
		Data         []byte           `cbor:"8,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(datagram, &older); err != nil {
		t.Fatalf("got error %v, want the fields that are known", err)
	}
	var a assembly
	if got, complete, err := a.add(message{From: older.From, After: 3, Until: 4, Parts: older.Parts, Data: older.Data}); complete || err == nil {
		t.Errorf("got an update %+v, error %v, want none, so that it is read from the store", got, err)
	}
}
