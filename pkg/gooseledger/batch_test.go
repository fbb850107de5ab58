package gooseledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)

func putTxn(key string, lease goose.LeaseID) goose.Txn {
	return goose.Txn{If: []goose.Compare{{Key: key}}, Then: []goose.Op{goose.Put(key, nil).WithLease(lease)}}
}

// Guards against one store call per queued transaction, and against a delay of a
// transaction when no other one is queued.
func TestBatching(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		b := newBatcher(t.Context(), m, DefaultBatchWindow, DefaultStoreCallRate)
		start := time.Now()
		if _, err := b.commit(t.Context(), putTxn("lone", 0)); err != nil || time.Since(start) != 0 {
			t.Errorf("got %v after %s, want no wait", err, time.Since(start))
		}
		m.SetFaults(goosestore.Faults{Slow: 5 * time.Millisecond})
		before := m.Counts()[goosestore.CallTxn]
		var succeeded atomic.Int64
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				// Each key is created twice; one of the two must fail.
				r, err := b.commit(context.Background(), putTxn(fmt.Sprint(i/2), 0))
				if err == nil && r.Succeeded {
					succeeded.Add(1)
				}
			})
		}
		wg.Wait()
		if got := succeeded.Load(); got != 100 {
			t.Errorf("got %d successes, want one for each of 100 keys", got)
		}
		// Two calls with one transaction each, then calls with 64 transactions
		// except for the last ones.
		if got := m.Counts()[goosestore.CallTxn] - before; got > 2+5 {
			t.Errorf("got %d calls for 200 transactions", got)
		}
	})
}

// Guards against a transaction with an expired lease that makes its whole batch
// fail, and against callers that get the result that a sent transaction had no
// effect.
func TestBatchIsolation(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		b := newBatcher(t.Context(), m, DefaultBatchWindow, DefaultStoreCallRate)
		m.SetFaults(goosestore.Faults{Slow: time.Second})
		results := make([]error, 6)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				timeout := []time.Duration{300, 900, 1500, 9000, 9000, 9000}[i] * time.Millisecond
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				lease := goose.LeaseID(0)
				if i == 4 {
					lease = 99
				}
				_, results[i] = b.commit(ctx, putTxn(fmt.Sprint(i), lease))
			})
			synctest.Wait()
		}
		wg.Wait()
		// Transactions 0 and 1 are sent alone, and their callers time out. The
		// caller of 2 times out during the batch of 2 to 5, which the store
		// refuses because of the lease of 4.
		for i, want := range []error{goose.ErrOutcomeUnknown, goose.ErrOutcomeUnknown, goose.ErrOutcomeUnknown, nil, goose.ErrLeaseNotFound, nil} {
			if !errors.Is(results[i], want) {
				t.Errorf("transaction %d: got %v, want %v", i, results[i], want)
			}
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a transaction that is sent although its caller got the result
// that it was not.
func TestBatchDropsAbandoned(t *testing.T) {
	inBubble(t, func(t *testing.T, m *goosestore.Memory) {
		b := newBatcher(t.Context(), m, DefaultBatchWindow, DefaultStoreCallRate)
		m.SetFaults(goosestore.Faults{Slow: time.Second})
		for i := range maxInFlightBatches {
			go func() { _, _ = b.commit(context.Background(), putTxn(fmt.Sprint(i), 0)) }()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := b.commit(ctx, putTxn("late", 0)); !errors.Is(err, goose.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
		time.Sleep(time.Minute)
		m.SetFaults(goosestore.Faults{})
		if _, ok, _ := m.Get(t.Context(), "late"); ok {
			t.Error("got a write of a transaction whose caller had timed out before")
		}
	})
}
