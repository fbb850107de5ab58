package gooserelay

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against updates that lose or change entries between a relay and its followers, and
// against intermediate versions of a key that are sent although a later one is.
func TestUpdateEncoding(t *testing.T) {
	t.Parallel()
	events := []goose.WatchEvent{
		{Entry: goose.Entry{Key: "op/config", Value: []byte(strings.Repeat("old", 900)), CreateRevision: 1, ModRevision: 4, Lease: 2}},
		{Entry: goose.Entry{Key: "servers/i-1", Value: []byte{0, 255}, CreateRevision: 5, ModRevision: 5}},
		{Deleted: true, Entry: goose.Entry{Key: "servers/i-2", ModRevision: 6}},
		{Entry: goose.Entry{Key: "op/config", Value: []byte(strings.Repeat("new", 900)), CreateRevision: 1, ModRevision: 7, Lease: 2}},
	}
	parts, err := newUpdate(3, 7, events).encode()
	if err != nil || len(parts) == 0 {
		t.Fatalf("got %d parts, error %v", len(parts), err)
	}
	var a assembly
	var got update
	for i := range parts {
		// The last part comes first, and each comes twice.
		i = len(parts) - 1 - i
		for range 2 {
			u, complete, err := a.add(message{From: "b", After: 3, Until: 7, Part: i, Parts: len(parts), Data: parts[i]})
			if err != nil {
				t.Fatal(err)
			}
			if complete {
				got = u
			}
		}
	}
	want := events[1:]
	if got.after != 3 || got.until != 7 || len(got.events) != len(want) {
		t.Fatalf("got update %d to %d with %d events, want 3 to 7 with %d", got.after, got.until, len(got.events), len(want))
	}
	for i, e := range got.events {
		w := want[i]
		if e.Deleted != w.Deleted || e.Entry.Key != w.Entry.Key || string(e.Entry.Value) != string(w.Entry.Value) ||
			e.Entry.ModRevision != w.Entry.ModRevision || e.Entry.CreateRevision != w.Entry.CreateRevision || e.Entry.Lease != w.Entry.Lease {
			t.Errorf("got event %+v, want %+v", e, w)
		}
	}
}

// fuzzBases are the long values of the instances that exchange the datagrams.
var fuzzBases = bases{}.with([]goose.WatchEvent{{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(3)), ModRevision: 3}}})

// datagramTarget checks that no datagram panics, and that one without a valid update
// delivers none.
var datagramTarget = goosefuzz.Target{
	Runs: 50_000,
	Seeds: func() [][]any {
		parts, err := newUpdate(3, 4, []goose.WatchEvent{{Entry: goose.Entry{Key: "servers/i-1", ModRevision: 4}}}).encode()
		if err != nil {
			panic(err)
		}
		r := &Relay{o: Options{Era: newTracker()}, bases: fuzzBases}
		u := newUpdate(3, 4, []goose.WatchEvent{{Entry: goose.Entry{Key: "op/config", Value: []byte(configuration(4)), ModRevision: 4}}})
		differences, err := r.encode(&u)
		if err != nil {
			panic(err)
		}
		var seeds [][]any
		for _, m := range []message{
			{From: "b", Revision: 4, After: 3, Until: 4, Parts: 1, DeltaData: differences[0]},
			{From: "b", Revision: 4, After: 3, Until: 4, Parts: 1, Data: parts[0]},
			{From: "b", Revision: 9, Age: time.Second},
		} {
			b, err := cbor.Marshal(m)
			if err != nil {
				panic(err)
			}
			seeds = append(seeds, []any{b})
		}
		return seeds
	}(),
	Check: func(t *testing.T, datagram []byte) {
		r := New(Options{
			Instance: "a", Instances: func(time.Time) int { return 20 }, ChangeBound: changeBound,
			Era: newTracker(), Log: slog.New(slog.DiscardHandler), Clock: goose.SystemClock{},
		})
		r.bases = fuzzBases
		r.handleDatagram(datagram)
		select {
		case u := <-r.received:
			// An update that cannot be expanded counts as missing.
			_, _ = r.expand(u)
			if u.until < u.after {
				t.Errorf("got an update from %d to %d", u.after, u.until)
			}
		default:
		}
		if r.Leading() {
			t.Error("got a relay after a message of another instance")
		}
	},
}

func FuzzDatagram(f *testing.F)     { datagramTarget.Fuzz(f) }
func TestFuzzDatagram(t *testing.T) { datagramTarget.Test(t) }
