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
	ts := &tables{now: time.Unix(1_800_000_000, 0)}
	for range n {
		ts.all = append(ts.all, New(slog.New(slog.DiscardHandler)))
	}
	return ts
}

// numberedCrash returns the crash of the n-th replica; its process has the start time n.
func numberedCrash(n int) goose.CrashID {
	return goose.NewCrashID(goose.Replica{ID: goose.ReplicaID(fmt.Sprintf("i-%d", n)), StartedUnixMS: int64(n)})
}

// only returns the subjects of a request without a prompt.
func only(request goose.Fingerprint) goose.CrashSubjects {
	return goose.CrashSubjects{Request: request}
}

// recordLoss records at an instance the loss of an attempt that began with the present record.
func (ts *tables) recordLoss(at int, request goose.Fingerprint, on int, e goose.CrashEvidence) {
	ts.all[at].RecordLost(ts.all[at].Observe(only(request), ts.now), numberedCrash(on), e, ts.now)
}

// exchange sends the reports of every instance to all others.
func (ts *tables) exchange() {
	for range ts.all {
		for n, from := range ts.all {
			records := from.Report(MaxRecords, 1<<30, ts.now).All()
			for m, to := range ts.all {
				if m != n {
					to.Merge(records, SourcePeer, ts.now)
				}
			}
		}
	}
}

// Guards against a request that has crashed several replicas and is still sent to others,
// and against innocent requests that are quarantined because they ran on the same replicas.
func TestCulpritIsQuarantined(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		instances int
		run       func(ts *tables)
		// culprit and innocent are whether each of the two requests is quarantined in the end, at
		// every instance.
		culprit, innocent bool
	}{
		"one crash": {instances: 1, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
		}},
		"two crashes at one instance": {instances: 1, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
		}},
		"two crashes at two instances": {instances: 3, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.exchange()
			ts.recordLoss(1, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
		}},
		"a crash at each of two instances before they exchange reports": {instances: 2, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(1, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
		}},
		"a crash at each of two instances and one more after the exchange": {instances: 2, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(1, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
			ts.recordLoss(0, culprit, 3, goose.EvidenceCrash)
			ts.exchange()
		}},
		"three lost responses": {instances: 1, run: func(ts *tables) {
			for n := range 3 {
				ts.recordLoss(0, culprit, n, goose.EvidenceLost)
			}
		}},
		"four lost responses": {instances: 1, culprit: true, run: func(ts *tables) {
			for n := range 4 {
				ts.recordLoss(0, culprit, n, goose.EvidenceLost)
			}
		}},
		"lost repeatedly by the same replica": {instances: 2, run: func(ts *tables) {
			for n := range 8 {
				ts.recordLoss(n%2, culprit, 1, goose.EvidenceLost)
				ts.exchange()
			}
		}},
		"crashes a replica that restarts before the store reports it": {instances: 2, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.exchange()
			ts.recordLoss(1, culprit, 1, goose.EvidenceCrash)
			ts.exchange()
		}},
		"many callers send equal requests, and all replicas crash at once": {instances: 3, run: func(ts *tables) {
			for n := range 3 {
				known := ts.all[n].Observe(only(culprit), ts.now)
				for m := range 4 {
					ts.all[n].RecordLost(known, numberedCrash(m), goose.EvidenceCrash, ts.now)
				}
			}
			ts.exchange()
		}},
		"a replica survives the request": {instances: 2, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.exchange()
			ts.all[1].RecordSurvived(culprit, ts.now)
			ts.exchange()
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
		}},
		"a replica survives the request after two crashes": {instances: 2, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
			ts.all[1].RecordSurvived(culprit, ts.now)
			ts.exchange()
		}},
		"an earlier attempt is lost after a replica has survived": {instances: 1, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			known := ts.all[0].Observe(only(culprit), ts.now)
			ts.all[0].RecordSurvived(culprit, ts.now)
			ts.all[0].RecordLost(known, numberedCrash(2), goose.EvidenceCrash, ts.now)
		}},
		"lost with the culprit once": {instances: 2, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
			ts.recordLoss(1, innocent, 2, goose.EvidenceCrash)
			ts.exchange()
		}},
		"lost with the culprit twice": {instances: 2, run: func(ts *tables) {
			for n := range 2 {
				ts.recordLoss(0, culprit, n, goose.EvidenceCrash)
				ts.recordLoss(1, innocent, n, goose.EvidenceCrash)
			}
			ts.exchange()
		}},
		"lost with the culprit twice, but not in the third crash": {instances: 2, culprit: true, run: func(ts *tables) {
			for n := range 2 {
				ts.recordLoss(0, culprit, n, goose.EvidenceCrash)
				ts.recordLoss(1, innocent, n, goose.EvidenceCrash)
			}
			ts.exchange()
			ts.recordLoss(1, culprit, 3, goose.EvidenceCrash)
			ts.exchange()
		}},
		"lost with a culprit that crashes other replicas in the meantime": {instances: 3, culprit: true, run: func(ts *tables) {
			for n := range 2 {
				ts.recordLoss(0, culprit, n, goose.EvidenceCrash)
				ts.recordLoss(2, innocent, n, goose.EvidenceCrash)
				ts.recordLoss(1, culprit, 10+n, goose.EvidenceCrash)
			}
			ts.exchange()
		}},
		"lost with two culprits": {instances: 2, culprit: true, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
			ts.recordLoss(1, another, 3, goose.EvidenceCrash)
			ts.recordLoss(1, another, 4, goose.EvidenceCrash)
			ts.recordLoss(1, innocent, 2, goose.EvidenceCrash)
			ts.recordLoss(1, innocent, 3, goose.EvidenceCrash)
			ts.exchange()
		}},
		"lost with the culprit three times": {instances: 2, culprit: true, innocent: true, run: func(ts *tables) {
			for n := range 3 {
				ts.recordLoss(0, culprit, n, goose.EvidenceCrash)
				ts.recordLoss(1, innocent, n, goose.EvidenceCrash)
			}
			ts.exchange()
		}},
		"lost with the culprit three times, after the end of the hold": {instances: 2, run: func(ts *tables) {
			for n := range 3 {
				ts.recordLoss(0, culprit, n, goose.EvidenceCrash)
				ts.recordLoss(1, innocent, n, goose.EvidenceCrash)
			}
			ts.exchange()
			ts.now = ts.now.Add(sharedSuspectQuarantine)
		}},
		"after the lifetime": {instances: 2, run: func(ts *tables) {
			ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
			ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
			ts.exchange()
			ts.now = ts.now.Add(Lifetime)
			ts.exchange()
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts := newTables(tc.instances)
			tc.run(ts)
			for n, table := range ts.all {
				if _, got := table.Quarantined(only(culprit), ts.now); got != tc.culprit {
					t.Errorf("got culprit held %t at instance %d, want %t", got, n, tc.culprit)
				}
				if _, got := table.Quarantined(only(innocent), ts.now); got != tc.innocent {
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
	ts := newTables(3)
	ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
	ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
	for begun := ts.now; ts.now.Before(begun.Add(Lifetime)); {
		ts.exchange()
		for n, table := range ts.all {
			want := Lifetime - ts.now.Sub(begun)
			if got, _ := table.Quarantined(only(culprit), ts.now); got != want {
				t.Fatalf("got %s left at instance %d after %s, want %s", got, n, ts.now.Sub(begun), want)
			}
		}
		// This report is delayed on the network.
		delayed := ts.all[0].Report(MaxRecords, 1, ts.now).All()
		ts.now = ts.now.Add(20 * time.Second)
		ts.all[1].Merge(delayed, SourcePeer, ts.now)
	}
	ts.exchange()
	for n, table := range ts.all {
		if got, held := table.Quarantined(only(culprit), ts.now); held {
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
			for range rapid.IntRange(0, 2).Draw(t, "trials") {
				r = r.WithTrial()
			}
			return r
		})
		records := rapid.SliceOf(record).Draw(t, "records")
		ts := newTables(2)
		ts.all[0].Merge(records, SourcePeer, ts.now)
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "again") {
			ts.all[1].Merge([]goose.CrashRecord{r}, SourceStore, ts.now)
		}
		for request := range goose.Fingerprint(4) {
			got, want := ts.all[1].CrashRecord(request, ts.now), ts.all[0].CrashRecord(request, ts.now)
			if got != want {
				t.Fatalf("got record %+v, want %+v", got, want)
			}
		}
	})
}

// Guards against a table that grows without bound or evicts the records of highest weight.
func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	ts := newTables(1)
	ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
	ts.recordLoss(0, culprit, 2, goose.EvidenceCrash)
	for n := range goose.Fingerprint(2 * MaxRecords) {
		ts.recordLoss(0, 100+n, int(n), goose.EvidenceLost)
	}
	if got := len(ts.all[0].entries); got > MaxRecords {
		t.Errorf("got %d records, want at most %d", got, MaxRecords)
	}
	if _, held := ts.all[0].Quarantined(only(culprit), ts.now); !held {
		t.Error("got a request out of quarantine because many others were lost")
	}
}

// Guards against a peer that missed a record and never receives it.
func TestPeerWithStaleRecordGetsReport(t *testing.T) {
	t.Parallel()
	ts := newTables(2)
	ts.recordLoss(0, culprit, 1, goose.EvidenceCrash)
	for range 3 {
		ts.all[0].Report(1, 1, ts.now)
	}
	if r := ts.all[0].Report(1, 1, ts.now); len(r.All()) != 0 || r.Fresh {
		t.Fatalf("got %+v after the last repetition, want nothing", r)
	}
	ts.recordLoss(1, culprit, 2, goose.EvidenceLost)
	stale := ts.all[1].Report(1, 1, ts.now).All()
	ts.all[0].Merge(stale, SourcePeer, ts.now)
	if r := ts.all[0].Report(1, 1, ts.now); len(r.All()) != 1 || !r.Fresh {
		t.Errorf("got %+v for a peer with a stale record, want the record", r)
	}
	select {
	case <-ts.all[0].ReportDue():
	default:
		t.Error("got no signal for a peer with a stale record")
	}
}

// Guards against instances that prepare a report for each record that they receive, although
// they relay none of them: responses that are lost at hundreds of instances.
func TestPeersRecordsRequestNoReport(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		evidence goose.CrashEvidence
		from     Source
		want     bool
	}{
		"own, lost":          {evidence: goose.EvidenceLost, from: SourceOwn, want: true},
		"of a peer, lost":    {evidence: goose.EvidenceLost, from: SourcePeer},
		"of a peer, a crash": {evidence: goose.EvidenceCrash, from: SourcePeer, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts := newTables(2)
			ts.recordLoss(0, culprit, 1, tc.evidence)
			table := ts.all[0]
			if tc.from == SourcePeer {
				table = ts.all[1]
				table.Merge(ts.all[0].Report(1, 1, ts.now).All(), tc.from, ts.now)
			}
			got := false
			select {
			case <-table.ReportDue():
				got = true
			default:
			}
			if got != tc.want {
				t.Errorf("got a report requested: %t, want %t", got, tc.want)
			}
		})
	}
}
