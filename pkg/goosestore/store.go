// Package goosestore implements goose.Store: "etcd" over the etcd v3 HTTP/JSON
// API, and "memory" in process with fault injection.
package goosestore

import (
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Limits of one call. etcd allows 128 operations in a transaction, counted along the
// deepest nesting; the platform's store allows values of up to 1 MB.
const (
	MaxValueBytes = 1 << 20
	MaxOps        = 128
	// MaxTxns leaves 28 operations to each transaction of a full CommitAll.
	MaxTxns = 100
	// MaxCallBytes bounds the total size of the keys and values of one call; etcd
	// rejects requests above 1.5 MiB.
	MaxCallBytes = 5 << 18
)

// ErrTooLarge means that a value or call exceeds the store's limits; nothing
// was sent.
var ErrTooLarge = errors.New("too large for the store")

func init() {
	goose.RegisterStore("etcd", func(address string) (goose.Store, error) { return NewEtcd(address, Options{}) })
	goose.RegisterStore("memory", func(string) (goose.Store, error) { return NewMemory(goose.SystemClock{}), nil })
}

// checkTxns rejects, before anything is sent, transactions that the store would reject
// or for which CommitAll is not defined.
func checkTxns(txns []goose.Txn) error {
	if len(txns) == 0 {
		return errors.New("no transactions")
	}
	if len(txns) > MaxTxns {
		return errors.Wrapf(ErrTooLarge, "%d transactions in one call, limit %d", len(txns), MaxTxns)
	}
	limit := MaxOps
	if len(txns) > 1 {
		limit -= len(txns)
	}
	total := 0
	written := map[string]struct{}{}
	for _, t := range txns {
		n, err := checkTxn(t, limit, written)
		if err != nil {
			return err
		}
		total += n
	}
	if total > MaxCallBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes in one call, limit %d", total, MaxCallBytes)
	}
	return nil
}

func checkTxn(t goose.Txn, limit int, written map[string]struct{}) (int, error) {
	if n := max(len(t.If), len(t.Then)); n > limit {
		return 0, errors.Wrapf(ErrTooLarge, "%d conditions or operations in a transaction, limit %d", n, limit)
	}
	total := 0
	for _, op := range t.Then {
		if op.Key == "" {
			return 0, errors.New("empty key")
		}
		if len(op.Value) > MaxValueBytes {
			return 0, errors.Wrapf(ErrTooLarge, "value of %s has %d bytes, limit %d", op.Key, len(op.Value), MaxValueBytes)
		}
		if _, ok := written[op.Key]; ok {
			return 0, errors.Errorf("key %s is written twice in one call", op.Key)
		}
		written[op.Key] = struct{}{}
		total += len(op.Key) + len(op.Value)
	}
	return total, nil
}
