package goosequarantine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseera"
)

// emptyDecoder decodes no entries.
type emptyDecoder struct{}

func (emptyDecoder) Prefixes() []string                        { return []string{""} }
func (emptyDecoder) KindPrefixes() map[goose.ChangeKind]string { return map[goose.ChangeKind]string{} }

func (emptyDecoder) Decode(goose.Entry, bool) (goose.StoreChange, error) {
	return goose.StoreChange{Kind: goose.ChangeNone}, nil
}

// fakeClock is the clock of one instance. It advances only when a test sets it.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// instance is one instance with its table and a store that instances can share.
type instance struct {
	t     *testing.T
	store *goosestoretest.Store
	clock *fakeClock
	table *Table
	era   *gooseera.Tracker
	*StoreSync
}

func newInstance(t *testing.T, store *goosestoretest.Store, now time.Time) *instance {
	i := &instance{t: t, store: store, clock: &fakeClock{now: now}, table: New(slog.New(slog.DiscardHandler))}
	i.era = gooseera.New(slog.New(slog.DiscardHandler))
	i.StoreSync = NewStoreSync(i.table, store, i.era, slog.New(slog.DiscardHandler), i.clock)
	i.relist()
	return i
}

// list returns the content of the store and its revision.
func (i *instance) list() ([]goose.StoreChange, goose.StoreRevision) {
	i.t.Helper()
	entries, revision, err := i.store.List(context.Background(), "", 0)
	if err != nil {
		i.t.Fatal(err)
	}
	var changes []goose.StoreChange
	for _, e := range entries {
		c, err := NewStoreDecoder(emptyDecoder{}, i.clock).Decode(e, false)
		if err != nil {
			i.t.Fatal(err)
		}
		changes = append(changes, c)
	}
	return changes, goose.StoreRevision{Era: i.era.Current(), Revision: revision}
}

// relist passes the content of the store to the instance.
func (i *instance) relist() { i.ReplaceAll(i.list()) }

// crash records a crash by the culprit and advances the clock until the record may be
// saved.
func (i *instance) crash(on int) {
	i.table.RecordLost(i.table.Observe(only(culprit), i.clock.now), numberedCrash(on), goose.EvidenceCrash, i.clock.now)
	i.clock.now = i.clock.now.Add(crashSaveDelay)
}

func (i *instance) mustSave() {
	i.t.Helper()
	if err := i.save(context.Background()); err != nil {
		i.t.Fatal(err)
	}
}

// quarantinesCulprit reports whether the instance has the culprit in quarantine.
func (i *instance) quarantinesCulprit() bool {
	_, held := i.table.Quarantined(only(culprit), i.clock.now)
	return held
}

// Guards against instances that do not learn of a crash after a restart or while they
// cannot reach their peers, although the store is available.
func TestStoreSync(t *testing.T) {
	t.Parallel()
	begun := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		run func(a, b *instance)
		// want is whether an instance that starts afterwards has the culprit in quarantine.
		want bool
	}{
		"no crash": {run: func(_, _ *instance) {}},
		"two crashes": {want: true, run: func(a, _ *instance) {
			a.crash(1)
			a.crash(2)
			a.mustSave()
		}},
		"a crash at each of two instances that cannot reach each other": {want: true, run: func(a, b *instance) {
			a.crash(1)
			a.mustSave()
			b.relist()
			b.crash(2)
			b.mustSave()
		}},
		"the store was unavailable": {want: true, run: func(a, _ *instance) {
			a.crash(1)
			a.crash(2)
			a.store.SetDown(true)
			if err := a.save(context.Background()); err == nil {
				a.t.Error("got no error without a store")
			}
			a.store.SetDown(false)
			a.clock.now = a.clock.now.Add(retryDelay)
			a.mustSave()
		}},
		"the store's response was lost": {want: true, run: func(a, _ *instance) {
			a.crash(1)
			a.crash(2)
			a.store.SetFault(func(string) error { return goose.ErrOutcomeUnknown })
			if err := a.save(context.Background()); err == nil {
				a.t.Error("got no error without a response")
			}
			a.store.SetFault(nil)
			a.clock.now = a.clock.now.Add(retryDelay)
			a.mustSave()
		}},
		"the writer died after it had reported to a peer": {want: true, run: func(a, b *instance) {
			a.crash(1)
			a.crash(2)
			records := a.table.Report(MaxRecords, 1, a.clock.now).All()
			b.table.Merge(records, SourcePeer, b.clock.now)
			b.clock.now = b.clock.now.Add(2 * peerSaveDelay)
			b.mustSave()
		}},
		"an instance with less evidence saves later": {want: true, run: func(a, b *instance) {
			b.crash(3)
			a.crash(1)
			a.crash(2)
			a.mustSave()
			b.mustSave()
			b.relist()
			b.mustSave()
		}},
		"a replica has survived the request": {run: func(a, _ *instance) {
			a.crash(1)
			a.crash(2)
			a.mustSave()
			a.table.RecordSurvived(culprit, a.clock.now)
			a.clock.now = a.clock.now.Add(lostSaveDelay)
			a.mustSave()
		}},
		"an operator deleted the record": {run: func(a, _ *instance) {
			a.crash(1)
			a.crash(2)
			a.mustSave()
			if _, err := a.store.Commit(context.Background(), goose.Txn{Then: []goose.Op{goose.Delete(key(culprit))}}); err != nil {
				a.t.Fatal(err)
			}
			a.relist()
			if a.quarantinesCulprit() {
				a.t.Error("got a request in quarantine after its record was deleted")
			}
		}},
		"a list whose pages were read while the record was written": {want: true, run: func(a, b *instance) {
			a.crash(1)
			a.mustSave()
			_, revision := a.list()
			a.crash(2)
			a.mustSave()
			changes, _ := a.list()
			a.ReplaceAll(changes, revision)
			// A record that is in the store is not written again.
			a.clock.now = a.clock.now.Add(retryDelay)
			calls := a.store.CallCount("commit")
			a.mustSave()
			if got := a.store.CallCount("commit"); got != calls || !a.quarantinesCulprit() {
				a.t.Errorf("got %d calls and held %t, want no calls and held true", got-calls, a.quarantinesCulprit())
			}
		}},
		"a list that was read before the record was written": {want: true, run: func(a, _ *instance) {
			changes, revision := a.list()
			a.crash(1)
			a.crash(2)
			a.mustSave()
			a.ReplaceAll(changes, revision)
			if !a.quarantinesCulprit() {
				a.t.Error("got a request out of quarantine because of an old list")
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := goosestoretest.New()
			a, b := newInstance(t, store, begun), newInstance(t, store, begun)
			tc.run(a, b)
			restarted := newInstance(t, store, a.clock.now)
			if got := restarted.quarantinesCulprit(); got != tc.want {
				t.Errorf("got held %t at an instance that has just started, want %t", got, tc.want)
			}
		})
	}
}

// Guards against records that are never deleted from the store, and against repeated calls
// to the store for one record.
func TestStoreSyncDeletesExpiredRecords(t *testing.T) {
	t.Parallel()
	store := goosestoretest.New()
	a := newInstance(t, store, time.Unix(1_800_000_000, 0))
	a.crash(1)
	a.crash(2)
	for range 10 {
		a.mustSave()
		a.clock.now = a.clock.now.Add(saveInterval)
	}
	if got := store.CallCount("commit"); got != 1 {
		t.Errorf("got %d calls for one record, want 1", got)
	}
	restarted := newInstance(t, store, a.clock.now.Add(Lifetime+2*cleanupDelay))
	restarted.mustSave()
	if changes, _ := restarted.list(); len(changes) != 0 {
		t.Errorf("got %v in the store after the record's lifetime, want nothing", changes)
	}
	// The deletion of the expired record does not remove the evidence of later crashes.
	a.clock.now = restarted.clock.now
	a.relist()
	a.crash(3)
	a.crash(4)
	a.mustSave()
	if changes, _ := a.list(); len(changes) != 1 || !a.quarantinesCulprit() {
		t.Errorf("got %v and held %t after two new crashes, want one record and held true", changes, a.quarantinesCulprit())
	}
}

// Guards against malformed entries that crash the process or are decoded as the record of a
// request.
func TestDecodeRecord(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		key, value string
		want       goose.ChangeKind
		failed     bool
	}{
		"record":              {key: keyPrefix + "00000000000000ff", value: `{"round":0,"weight":4,"crashes":[2,1,0,0],"changed-ms":1799999999000}`, want: goose.ChangeCrash},
		"key of another kind": {key: "servers/i-1", value: `{}`, want: goose.ChangeNone},
		"no fingerprint":      {key: keyPrefix + "desk", value: `{}`, want: goose.ChangeNone, failed: true},
		"bytes":               {key: keyPrefix + "01", value: "\x00{", want: goose.ChangeNone, failed: true},
		"number out of range": {key: keyPrefix + "01", value: `{"weight":1e400}`, want: goose.ChangeNone, failed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := NewStoreDecoder(emptyDecoder{}, &fakeClock{now: now}).Decode(goose.Entry{Key: tc.key, Value: []byte(tc.value), ModRevision: 7}, false)
			if got.Kind != tc.want || (err != nil) != tc.failed {
				t.Errorf("got %+v, error %v, want kind %s, error %t", got, err, tc.want, tc.failed)
			}
			if tc.want == goose.ChangeCrash && (got.Crash.Weight != 4 || got.Crash.Fingerprint != 0xff || got.Crash.Age != time.Second || got.Revision != 7) {
				t.Errorf("got %+v", got.Crash)
			}
		})
	}
}

// Guards against hundreds of instances that all write the record of the same lost request:
// the instance that lost it cannot reach the store, so one of its peers has to.
func TestRecordOfLargeFleetIsSavedOnce(t *testing.T) {
	t.Parallel()
	const (
		instances = 295
		// step is the interval at which instances save, and deliverySteps how many steps later
		// they see a change of the store.
		step          = saveInterval
		deliverySteps = 2
		// maxSaves is the largest number of calls until all instances see the record.
		maxSaves = 20
		// steps is a minute.
		steps = 120
	)
	begun := time.Unix(1_800_000_000, 0)
	store := goosestoretest.New()
	var fleet []*instance
	for range instances {
		i := newInstance(t, store, begun)
		i.table.SetInstances(func(time.Time) int { return instances })
		fleet = append(fleet, i)
	}
	lost := goose.CrashRecord{Fingerprint: culprit}.WithCrash(numberedCrash(1), weights[goose.EvidenceCrash])
	for _, i := range fleet {
		i.table.Merge([]goose.CrashRecord{lost}, SourcePeer, begun)
	}
	var pending [][]goose.StoreChange
	for range steps {
		for _, i := range fleet {
			i.clock.now = i.clock.now.Add(step)
			i.mustSave()
		}
		all, _ := fleet[0].list()
		pending = append(pending, all)
		if len(pending) <= deliverySteps {
			continue
		}
		for _, c := range pending[0] {
			for _, i := range fleet {
				i.ApplyChange(c)
			}
		}
		pending = pending[1:]
	}
	if got := store.CallCount("commit"); got == 0 || got > maxSaves {
		t.Errorf("got %d calls, want 1 to %d", got, maxSaves)
	}
}

// Guards against a request that runs again because its record is missing in an older copy of the
// store, and against a record that is not written again after it.
func TestRecordsAfterRollback(t *testing.T) {
	t.Parallel()
	store, start := goosestoretest.New(), time.Now()
	a, b := newInstance(t, store, start), newInstance(t, store, start)
	a.crash(1)
	a.mustSave()
	a.crash(2)
	a.mustSave()
	a.relist()
	b.relist()
	// This evidence is due for saving when the store is restored.
	a.crash(3)
	restored := goosestoretest.New()
	const otherWrites = 9
	for range otherWrites {
		if _, err := restored.Commit(context.Background(), goose.Txn{Then: []goose.Op{goose.Put("other", nil)}}); err != nil {
			t.Fatal(err)
		}
	}
	writes := func() int { return restored.CallCount("commit") - otherWrites }
	for _, i := range []*instance{a, b} {
		i.store, i.StoreSync.store = restored, restored
		i.era.ObservePeer(1)
		i.mustSave()
		if got := writes(); got != 0 {
			t.Errorf("got %d writes before the store of the new era was read, want none", got)
		}
		i.relist()
		if !i.quarantinesCulprit() {
			t.Error("got the request out of quarantine after a rollback")
		}
	}
	b.mustSave()
	if got := writes(); got != 0 {
		t.Errorf("got %d writes by an instance that has only read the record, want none at once", got)
	}
	a.mustSave()
	if !newInstance(t, restored, a.clock.now).quarantinesCulprit() {
		t.Error("got no record in the restored store")
	}
}
