package goosequarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	culprit  goose.Fingerprint = 1
	innocent goose.Fingerprint = 2
	another  goose.Fingerprint = 3
)

// tables are the tables of several instances that share one clock.
type tables struct {
	all []*Table
	now time.Time
}

func newTables(n int) *tables {
	f := &tables{now: time.Unix(1_800_000_000, 0)}
	for range n {
		f.all = append(f.all, New(slog.New(slog.DiscardHandler)))
	}
	return f
}

// process returns the n-th replica; its process has the start time n.
func process(n int) goose.Replica {
	return goose.Replica{ID: goose.ReplicaID(fmt.Sprintf("i-%d", n)), Born: int64(n)}
}

// lose records at an instance the loss of an attempt that began with the present record.
func (f *tables) lose(at int, request goose.Fingerprint, on int, e goose.Evidence) {
	f.all[at].Lost(f.all[at].Known(request, f.now), process(on), e, f.now)
}

// exchange sends the reports of every instance to all others.
func (f *tables) exchange() {
	for range f.all {
		for n, from := range f.all {
			records, _ := from.Report(MaxRecords, 1<<30, f.now)
			for m, to := range f.all {
				if m != n {
					to.Merge(records, SourcePeer, f.now)
				}
			}
		}
	}
}

// Guards against a request that has crashed several replicas and is still sent to others,
// and against innocent requests that are held because they ran on the same replicas.
func TestCulpritIsQuarantined(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances int
		run       func(f *tables)
		// culprit and innocent are whether each of the two requests is held in the end, at
		// every instance.
		culprit, innocent bool
	}{
		"one crash": {instances: 1, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
		}},
		"two crashes at one instance": {instances: 1, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(0, culprit, 2, goose.EvidenceCrash)
		}},
		"two crashes at two instances": {instances: 3, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.exchange()
			f.lose(1, culprit, 2, goose.EvidenceCrash)
			f.exchange()
		}},
		"a crash at each of two instances before they exchange reports": {instances: 2, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(1, culprit, 2, goose.EvidenceCrash)
			f.exchange()
		}},
		"a crash at each of two instances and one more after the exchange": {instances: 2, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(1, culprit, 2, goose.EvidenceCrash)
			f.exchange()
			f.lose(0, culprit, 3, goose.EvidenceCrash)
			f.exchange()
		}},
		"three lost answers": {instances: 1, run: func(f *tables) {
			for n := range 3 {
				f.lose(0, culprit, n, goose.EvidenceLost)
			}
		}},
		"four lost answers": {instances: 1, culprit: true, run: func(f *tables) {
			for n := range 4 {
				f.lose(0, culprit, n, goose.EvidenceLost)
			}
		}},
		"lost repeatedly by the same replica": {instances: 2, run: func(f *tables) {
			for n := range 8 {
				f.lose(n%2, culprit, 1, goose.EvidenceLost)
				f.exchange()
			}
		}},
		"crashes a replica that restarts before the store reports it": {instances: 2, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.exchange()
			f.lose(1, culprit, 1, goose.EvidenceCrash)
			f.exchange()
		}},
		"many callers send equal requests, and all replicas crash at once": {instances: 3, run: func(f *tables) {
			for n := range 3 {
				known := f.all[n].Known(culprit, f.now)
				for m := range 4 {
					f.all[n].Lost(known, process(m), goose.EvidenceCrash, f.now)
				}
			}
			f.exchange()
		}},
		"a replica survives the request": {instances: 2, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.exchange()
			f.all[1].Survived(culprit, f.now)
			f.exchange()
			f.lose(0, culprit, 2, goose.EvidenceCrash)
			f.exchange()
		}},
		"a replica survives the request after two crashes": {instances: 2, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(0, culprit, 2, goose.EvidenceCrash)
			f.exchange()
			f.all[1].Survived(culprit, f.now)
			f.exchange()
		}},
		"an earlier attempt is lost after a replica has survived": {instances: 1, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			known := f.all[0].Known(culprit, f.now)
			f.all[0].Survived(culprit, f.now)
			f.all[0].Lost(known, process(2), goose.EvidenceCrash, f.now)
		}},
		"lost with the culprit once": {instances: 2, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(0, culprit, 2, goose.EvidenceCrash)
			f.lose(1, innocent, 2, goose.EvidenceCrash)
			f.exchange()
		}},
		"lost with the culprit twice": {instances: 2, run: func(f *tables) {
			for n := range 2 {
				f.lose(0, culprit, n, goose.EvidenceCrash)
				f.lose(1, innocent, n, goose.EvidenceCrash)
			}
			f.exchange()
		}},
		"lost with the culprit twice, but not in the third crash": {instances: 2, culprit: true, run: func(f *tables) {
			for n := range 2 {
				f.lose(0, culprit, n, goose.EvidenceCrash)
				f.lose(1, innocent, n, goose.EvidenceCrash)
			}
			f.exchange()
			f.lose(1, culprit, 3, goose.EvidenceCrash)
			f.exchange()
		}},
		"lost with a culprit that crashes other replicas in the meantime": {instances: 3, culprit: true, run: func(f *tables) {
			for n := range 2 {
				f.lose(0, culprit, n, goose.EvidenceCrash)
				f.lose(2, innocent, n, goose.EvidenceCrash)
				f.lose(1, culprit, 10+n, goose.EvidenceCrash)
			}
			f.exchange()
		}},
		"lost with two culprits": {instances: 2, culprit: true, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(0, culprit, 2, goose.EvidenceCrash)
			f.lose(1, another, 3, goose.EvidenceCrash)
			f.lose(1, another, 4, goose.EvidenceCrash)
			f.lose(1, innocent, 2, goose.EvidenceCrash)
			f.lose(1, innocent, 3, goose.EvidenceCrash)
			f.exchange()
		}},
		"lost with the culprit three times": {instances: 2, culprit: true, innocent: true, run: func(f *tables) {
			for n := range 3 {
				f.lose(0, culprit, n, goose.EvidenceCrash)
				f.lose(1, innocent, n, goose.EvidenceCrash)
			}
			f.exchange()
		}},
		"lost with the culprit three times, after the end of the hold": {instances: 2, run: func(f *tables) {
			for n := range 3 {
				f.lose(0, culprit, n, goose.EvidenceCrash)
				f.lose(1, innocent, n, goose.EvidenceCrash)
			}
			f.exchange()
			f.now = f.now.Add(sharedSuspectHold)
		}},
		"after the lifetime": {instances: 2, run: func(f *tables) {
			f.lose(0, culprit, 1, goose.EvidenceCrash)
			f.lose(0, culprit, 2, goose.EvidenceCrash)
			f.exchange()
			f.now = f.now.Add(Lifetime)
			f.exchange()
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTables(tc.instances)
			tc.run(f)
			for n, table := range f.all {
				if _, got := table.Quarantined(culprit, f.now); got != tc.culprit {
					t.Errorf("got culprit held %t at instance %d, want %t", got, n, tc.culprit)
				}
				if _, got := table.Quarantined(innocent, f.now); got != tc.innocent {
					t.Errorf("got innocent request held %t at instance %d, want %t", got, n, tc.innocent)
				}
			}
		})
	}
}

// Guards against a quarantine that never ends because instances keep reporting the record to
// each other, and against a reported rest that is not the time left.
func TestRecordsExpire(t *testing.T) {
	t.Parallel()
	f := newTables(3)
	f.lose(0, culprit, 1, goose.EvidenceCrash)
	f.lose(0, culprit, 2, goose.EvidenceCrash)
	for begun := f.now; f.now.Before(begun.Add(Lifetime)); {
		f.exchange()
		for n, table := range f.all {
			want := Lifetime - f.now.Sub(begun)
			if got, _ := table.Quarantined(culprit, f.now); got != want {
				t.Fatalf("got %s left at instance %d after %s, want %s", got, n, f.now.Sub(begun), want)
			}
		}
		// This report is delayed on the network.
		delayed, _ := f.all[0].Report(MaxRecords, 1, f.now)
		f.now = f.now.Add(20 * time.Second)
		f.all[1].Merge(delayed, SourcePeer, f.now)
	}
	f.exchange()
	for n, table := range f.all {
		if got, held := table.Quarantined(culprit, f.now); held {
			t.Errorf("got %s left at instance %d after its lifetime", got, n)
		}
	}
}

// Guards against instances that keep different records of the same crashes because reports
// arrive in different orders or more than once.
func TestMergeInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) goose.CrashRecord {
			r := goose.CrashRecord{
				Fingerprint: goose.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				Round:       uint32(rapid.IntRange(0, 2).Draw(t, "round")),
			}
			for range rapid.IntRange(0, 3).Draw(t, "crashes") {
				r = r.WithCrash(goose.CrashID(rapid.IntRange(1, 4).Draw(t, "process")), uint32(rapid.IntRange(1, 2).Draw(t, "weight")))
			}
			return r
		})
		records := rapid.SliceOf(record).Draw(t, "records")
		f := newTables(2)
		f.all[0].Merge(records, SourcePeer, f.now)
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "again") {
			f.all[1].Merge([]goose.CrashRecord{r}, SourceStore, f.now)
		}
		for request := range goose.Fingerprint(4) {
			got, want := f.all[1].Known(request, f.now), f.all[0].Known(request, f.now)
			if got != want {
				t.Fatalf("got record %+v, want %+v", got, want)
			}
		}
	})
}

// Guards against a table that grows without bound or evicts the records of highest weight.
func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	f := newTables(1)
	f.lose(0, culprit, 1, goose.EvidenceCrash)
	f.lose(0, culprit, 2, goose.EvidenceCrash)
	for n := range goose.Fingerprint(2 * MaxRecords) {
		f.lose(0, 100+n, int(n), goose.EvidenceLost)
	}
	if got := len(f.all[0].entries); got > MaxRecords {
		t.Errorf("got %d records, want at most %d", got, MaxRecords)
	}
	if _, held := f.all[0].Quarantined(culprit, f.now); !held {
		t.Error("got a request out of quarantine because many others were lost")
	}
}

// Guards against a peer that missed a record and never receives it.
func TestPeerWithStaleRecordGetsReport(t *testing.T) {
	t.Parallel()
	f := newTables(2)
	f.lose(0, culprit, 1, goose.EvidenceCrash)
	for range 3 {
		f.all[0].Report(1, 1, f.now)
	}
	if records, fresh := f.all[0].Report(1, 1, f.now); len(records) != 0 || fresh {
		t.Fatalf("got %v, fresh %t after the last repetition, want nothing", records, fresh)
	}
	f.lose(1, culprit, 2, goose.EvidenceLost)
	stale, _ := f.all[1].Report(1, 1, f.now)
	f.all[0].Merge(stale, SourcePeer, f.now)
	if records, fresh := f.all[0].Report(1, 1, f.now); len(records) != 1 || !fresh {
		t.Errorf("got %v, fresh %t for a peer with a stale record, want the record", records, fresh)
	}
	select {
	case <-f.all[0].Changed():
	default:
		t.Error("got no signal for a peer with a stale record")
	}
}
