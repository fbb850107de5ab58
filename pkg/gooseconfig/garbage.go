package gooseconfig

import (
	"context"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// versionsPerCollection is the number of versions between two garbage collections,
// each of which reads all sections, about 2 MB.
const versionsPerCollection = 256

// collectGarbage deletes sections that the head does not list: those of
// publications that lost a race or were interrupted. It writes the unchanged head
// again in the same transaction. A concurrent publication that relies on one of
// these sections then fails its comparison and starts again.
func (r *Repository) collectGarbage(ctx context.Context) error {
	h, revision, err := r.Head(ctx)
	if err != nil {
		return err
	}
	referenced := make(map[string]bool, len(h.Sections)+len(h.Obsolete))
	for _, hash := range append(h.Sections[:len(h.Sections):len(h.Sections)], h.Obsolete...) {
		referenced[hash.String()] = true
	}
	prefix := r.prefix + "config/sections/"
	entries, _, err := r.store.List(ctx, prefix, 0)
	if err != nil {
		return err
	}
	head, err := encMode.Marshal(h)
	if err != nil {
		return err
	}
	txn := goose.Txn{
		If:   []goose.Compare{{Key: r.headKey(), ModRevision: revision}},
		Then: []goose.Op{goose.Put(r.headKey(), head)},
	}
	for _, e := range entries {
		if !referenced[strings.TrimPrefix(e.Key, prefix)] && len(txn.Then) <= maxDeletesPerTxn {
			txn.Then = append(txn.Then, goose.Delete(e.Key))
		}
	}
	if len(txn.Then) == 1 {
		return nil
	}
	_, err = r.store.Commit(ctx, txn)
	return err
}
