package goosestand

import (
	"strings"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseetcd"
)

func (kv *keyValue) etcdKV(keysOnly bool) gooseetcd.KV {
	w := gooseetcd.KV{
		Key: kv.key, CreateRevision: gooseetcd.Number(kv.createRevision), ModRevision: gooseetcd.Number(kv.modRevision),
		Version: gooseetcd.Number(kv.version), Value: kv.value, Lease: gooseetcd.Number(kv.leaseID),
	}
	if keysOnly {
		w.Value = nil
	}
	return w
}

// checkTxn returns an error for a transaction that etcd rejects before running
// it. The keys that the transaction writes are added to put.
func checkTxn(t *gooseetcd.TxnRequest, put map[string]bool) error {
	if max(len(t.Compare), len(t.Success), len(t.Failure)) > maxTxnOps {
		return errTooManyOps
	}
	for _, ops := range [][]gooseetcd.Operation{t.Success, t.Failure} {
		seen := put
		if len(t.Success) > 0 && len(t.Failure) > 0 {
			seen = map[string]bool{}
			for k := range put {
				seen[k] = true
			}
		}
		for _, op := range ops {
			if err := checkOperation(op, seen); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkOperation(op gooseetcd.Operation, put map[string]bool) error {
	switch {
	case op.Txn != nil:
		return checkTxn(op.Txn, put)
	case op.Put == nil:
		return nil
	case len(op.Put.Key) == 0:
		return errEmptyKey
	case len(op.Put.Value) > maxValueBytes:
		return errTooLarge
	case put[string(op.Put.Key)]:
		return errDuplicateKey
	}
	put[string(op.Put.Key)] = true
	return nil
}

// writesUnder reports whether the transaction may write a key with the prefix,
// in either branch.
func writesUnder(t *gooseetcd.TxnRequest, prefix string) bool {
	for _, ops := range [][]gooseetcd.Operation{t.Success, t.Failure} {
		for _, op := range ops {
			switch {
			case op.Put != nil && strings.HasPrefix(string(op.Put.Key), prefix),
				op.Delete != nil && strings.HasPrefix(string(op.Delete.Key), prefix),
				op.Txn != nil && writesUnder(op.Txn, prefix):
				return true
			}
		}
	}
	return false
}

func (c change) etcdEvent() gooseetcd.Event {
	w := gooseetcd.Event{KV: c.kv.etcdKV(false)}
	if c.deleted {
		w.Type = "DELETE"
	}
	return w
}
