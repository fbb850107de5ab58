package goosestore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

// testBothStores runs a test against the store in process and over HTTP, so that the
// two adapters cannot differ in their semantics.
func testBothStores(t *testing.T, test func(t *testing.T, m *goosestore.Memory, s goose.Store)) {
	t.Parallel()
	t.Run("memory", func(t *testing.T) {
		t.Parallel()
		m := goosestore.NewMemory(goose.SystemClock{})
		test(t, m, m)
	})
	t.Run("etcd", func(t *testing.T) {
		t.Parallel()
		m := goosestore.NewMemory(goose.SystemClock{})
		test(t, m, goosestoretest.NewEtcd(t, m))
	})
}

func put(t *testing.T, s goose.Store, key, value string) int64 {
	t.Helper()
	r, err := s.Commit(t.Context(), goose.Txn{Then: []goose.Op{goose.Put(key, []byte(value))}})
	if err != nil {
		t.Fatal(err)
	}
	return r.Revision
}

// Guards against a create-if-absent or compare-and-swap that succeeds although
// its condition does not hold, and against wrong revisions.
func TestCommitConditions(t *testing.T) {
	testBothStores(t, func(t *testing.T, _ *goosestore.Memory, s goose.Store) {
		ctx := t.Context()
		create := goose.Txn{If: []goose.Compare{{Key: "a"}}, Then: []goose.Op{goose.Put("a", []byte("1"))}}
		first, err := s.Commit(ctx, create)
		if err != nil || !first.Succeeded {
			t.Fatalf("got %+v, %v, want success", first, err)
		}
		if again, err := s.Commit(ctx, create); err != nil || again.Succeeded {
			t.Errorf("got %+v, %v for a second creation, want failure", again, err)
		}
		swap := goose.Txn{If: []goose.Compare{{Key: "a", ModRevision: first.Revision}}, Then: []goose.Op{goose.Put("a", []byte("2"))}}
		second, err := s.Commit(ctx, swap)
		if err != nil || !second.Succeeded {
			t.Fatalf("got %+v, %v, want success", second, err)
		}
		e, ok, err := s.Get(ctx, "a")
		if err != nil || !ok {
			t.Fatalf("got %v, %v", ok, err)
		}
		if string(e.Value) != "2" || e.CreateRevision != first.Revision || e.ModRevision != second.Revision {
			t.Errorf("got %+v, want value 2, revisions %d and %d", e, first.Revision, second.Revision)
		}
		if _, ok, err := s.Get(ctx, "b"); ok || err != nil {
			t.Errorf("got %v, %v for an absent key", ok, err)
		}
	})
}

// Guards against a failed transaction of a batch that makes other ones fail or hides
// their results.
func TestCommitAllEvaluatesEachTransaction(t *testing.T) {
	testBothStores(t, func(t *testing.T, m *goosestore.Memory, s goose.Store) {
		put(t, s, "taken", "x")
		calls := m.Counts()[goosestore.CallTxn]
		res, err := s.CommitAll(t.Context(), []goose.Txn{
			{If: []goose.Compare{{Key: "free"}}, Then: []goose.Op{goose.Put("free", []byte("1"))}},
			{If: []goose.Compare{{Key: "taken"}}, Then: []goose.Op{goose.Put("taken", []byte("2"))}},
			{Then: []goose.Op{goose.Delete("absent")}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if !res[0].Succeeded || res[1].Succeeded || !res[2].Succeeded {
			t.Errorf("got %+v, want true, false, true", res)
		}
		if e, _, _ := s.Get(t.Context(), "free"); e.ModRevision != res[0].Revision {
			t.Errorf("got revision %d, want %d", e.ModRevision, res[0].Revision)
		}
		if got := m.Counts()[goosestore.CallTxn] - calls; got != 1 {
			t.Errorf("got %d calls, want 1", got)
		}
	})
}

// Guards against a prefix read that includes keys outside the prefix or ignores its
// limit.
func TestListPrefix(t *testing.T) {
	testBothStores(t, func(t *testing.T, _ *goosestore.Memory, s goose.Store) {
		for _, k := range []string{"p/2", "p/1", "p/3", "p0", "o"} {
			put(t, s, k, k)
		}
		got, revision, err := s.List(t.Context(), "p/", 2)
		if err != nil {
			t.Fatal(err)
		}
		if len(got) != 2 || got[0].Key != "p/1" || got[1].Key != "p/2" {
			t.Errorf("got %+v, want p/1 and p/2", got)
		}
		if want := int64(6); revision != want {
			t.Errorf("got revision %d, want %d", revision, want)
		}
		if all, _, err := s.List(t.Context(), "", 0); err != nil || len(all) != 5 {
			t.Errorf("got %d entries, %v, want 5", len(all), err)
		}
	})
}

// Guards against keys that outlive their lease and against renewals of a lease that no
// longer exists.
func TestLeaseDeletesItsKeys(t *testing.T) {
	testBothStores(t, func(t *testing.T, _ *goosestore.Memory, s goose.Store) {
		ctx := t.Context()
		id, err := s.Grant(ctx, 90*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		leasePut := goose.Txn{Then: []goose.Op{goose.Put("k", nil).WithLease(id)}}
		if _, err := s.Commit(ctx, leasePut); err != nil {
			t.Fatal(err)
		}
		if e, _, _ := s.Get(ctx, "k"); e.Lease != id {
			t.Errorf("got lease %d, want %d", e.Lease, id)
		}
		if ttl, err := s.KeepAlive(ctx, id); err != nil || ttl != 90*time.Second {
			t.Errorf("got %s, %v, want 90s", ttl, err)
		}
		for _, op := range []goose.Op{goose.Put("freed", nil).WithLease(id), goose.Delete("freed"), goose.Put("freed", nil)} {
			if _, err := s.Commit(ctx, goose.Txn{Then: []goose.Op{op}}); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Revoke(ctx, id); err != nil {
			t.Fatal(err)
		}
		if _, ok, _ := s.Get(ctx, "freed"); !ok {
			t.Error("got no key that was written again without the lease")
		}
		if _, ok, _ := s.Get(ctx, "k"); ok {
			t.Error("got the key after its lease was revoked")
		}
		_, keepAliveErr := s.KeepAlive(ctx, id)
		_, putErr := s.Commit(ctx, leasePut)
		for name, err := range map[string]error{"keep-alive": keepAliveErr, "put": putErr, "revoke": s.Revoke(ctx, id)} {
			if !errors.Is(err, goose.ErrLeaseNotFound) {
				t.Errorf("%s: got %v, want ErrLeaseNotFound", name, err)
			}
		}
	})
}

// Guards against lost, repeated or reordered changes, and against a watch that silently
// skips compacted changes.
func TestWatch(t *testing.T) {
	testBothStores(t, func(t *testing.T, m *goosestore.Memory, s goose.Store) {
		first := put(t, s, "w/1", "a")
		w, err := s.Watch(t.Context(), "w/", first)
		if err != nil {
			t.Fatal(err)
		}
		put(t, s, "x", "other prefix")
		put(t, s, "w/2", "b")
		if _, err := s.Commit(t.Context(), goose.Txn{Then: []goose.Op{goose.Delete("w/1")}}); err != nil {
			t.Fatal(err)
		}
		for i, want := range []struct {
			key     string
			deleted bool
		}{{"w/1", false}, {"w/2", false}, {"w/1", true}} {
			if e := <-w.Events(); e.Entry.Key != want.key || e.Deleted != want.deleted {
				t.Errorf("change %d: got %+v, want %+v", i, e, want)
			}
		}
		w.Close()
		for range w.Events() {
			t.Error("got a change after Close")
		}
		if err := w.Err(); err != nil {
			t.Errorf("got %v after Close", err)
		}
		m.Compact(m.Revision())
		if _, err := s.Watch(t.Context(), "w/", first); !errors.Is(err, goose.ErrCompacted) {
			t.Errorf("got %v, want ErrCompacted", err)
		}
	})
}

// Guards against a lost response that is reported as a failure without effect, and
// against a watch that stays open while the store is down.
func TestFaults(t *testing.T) {
	testBothStores(t, func(t *testing.T, m *goosestore.Memory, s goose.Store) {
		ctx := t.Context()
		txn := goose.Txn{If: []goose.Compare{{Key: "k"}}, Then: []goose.Op{goose.Put("k", nil)}}
		m.SetFaults(goosestore.Faults{Loss: func(goosestore.CallKind) goosestore.Loss { return goosestore.LossResponse }})
		if _, err := s.Commit(ctx, txn); !errors.Is(err, goose.ErrOutcomeUnknown) {
			t.Errorf("got %v, want ErrOutcomeUnknown", err)
		}
		// The caller cancels once the call has reached the store: before that the error
		// is ErrUnavailable, as for any call that was never sent.
		callCtx, cancelCall := context.WithCancel(ctx)
		defer cancelCall()
		m.SetFaults(goosestore.Faults{Slow: time.Hour, Loss: func(goosestore.CallKind) goosestore.Loss { cancelCall(); return goosestore.LossNone }})
		if _, _, err := s.Get(callCtx, "k"); !errors.Is(err, goose.ErrOutcomeUnknown) {
			t.Errorf("got %v, want ErrOutcomeUnknown", err)
		}
		m.SetFaults(goosestore.Faults{})
		if res, err := s.Commit(ctx, txn); err != nil || res.Succeeded {
			t.Errorf("got %+v, %v, want the first write to have had its effect", res, err)
		}
		w, err := s.Watch(ctx, "k", 0)
		if err != nil {
			t.Fatal(err)
		}
		m.SetFaults(goosestore.Faults{Down: true})
		for range w.Events() {
			t.Error("got a change from a store that is down")
		}
		if err := w.Err(); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		if _, err := s.Commit(ctx, txn); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}

// Guards against values that are only rejected after they were sent to the store.
func TestLimits(t *testing.T) {
	big := make([]byte, goosestore.MaxValueBytes+1)
	tests := map[string][]goose.Txn{
		"value":        {{Then: []goose.Op{goose.Put("k", big)}}},
		"sum":          {{Then: []goose.Op{goose.Put("k", big[1:])}}, {Then: []goose.Op{goose.Put("l", big[1:])}}},
		"transactions": make([]goose.Txn, goosestore.MaxTxns+1),
		"conditions":   {{If: make([]goose.Compare, goosestore.MaxOps+1)}},
	}
	testBothStores(t, func(t *testing.T, m *goosestore.Memory, s goose.Store) {
		for name, txns := range tests {
			if _, err := s.CommitAll(t.Context(), txns); !errors.Is(err, goosestore.ErrTooLarge) {
				t.Errorf("%s: got %v, want ErrTooLarge", name, err)
			}
		}
		twice := []goose.Txn{{Then: []goose.Op{goose.Put("k", nil)}}, {Then: []goose.Op{goose.Delete("k")}}}
		if _, err := s.CommitAll(t.Context(), twice); err == nil {
			t.Error("got no error for a key that is written twice")
		}
		if got := m.Counts().Total(); got != 0 {
			t.Errorf("got %d calls, want 0", got)
		}
		put(t, s, "k", string(big[1:]))
	})
}

// Guards against a read that misses a change or transfers an unchanged value.
func TestGetAfter(t *testing.T) {
	testBothStores(t, func(t *testing.T, _ *goosestore.Memory, s goose.Store) {
		first := put(t, s, "k", "1")
		put(t, s, "other", "1")
		for name, tt := range map[string]struct {
			key      string
			revision int64
			want     bool
		}{
			"any revision": {"k", 0, true}, "before the change": {"k", first - 1, true},
			"at the change": {"k", first, false}, "after the change": {"k", first + 1, false}, "absent key": {"z", 0, false},
		} {
			if e, got, err := s.GetAfter(t.Context(), tt.key, tt.revision); err != nil || got != tt.want || got && string(e.Value) != "1" {
				t.Errorf("%s: got %q %v %v, want found %v", name, e.Value, got, err, tt.want)
			}
		}
	})
}

// BenchmarkCommitAll measures one call with several transactions, in process and over
// HTTP.
func BenchmarkCommitAll(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		txns := make([]goose.Txn, n)
		for i := range txns {
			txns[i] = goose.Txn{Then: []goose.Op{goose.Put(fmt.Sprint("key-", i), make([]byte, 300))}}
		}
		m := goosestore.NewMemory(goose.SystemClock{})
		for name, s := range map[string]goose.Store{"memory": m, "etcd": goosestoretest.NewEtcd(b, m)} {
			b.Run(fmt.Sprintf("%s/txns=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := s.CommitAll(b.Context(), txns); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
