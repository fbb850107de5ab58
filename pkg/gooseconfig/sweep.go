package gooseconfig

import (
	"context"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// sweepEvery is the number of versions between two sweeps: one reads all
// sections, about 2 MB.
const sweepEvery = 256

// sweep deletes sections that no head names: those of publications that lost a
// race or were cut off. It writes the head again, unchanged, in the same
// transaction, so that the comparison of a publication that counts on one of
// these sections fails and the publication starts again.
func (r *Repository) sweep(ctx context.Context) error {
	h, revision, err := r.Head(ctx)
	if err != nil {
		return err
	}
	named := make(map[string]bool, len(h.Sections)+len(h.Obsolete))
	for _, hash := range append(h.Sections[:len(h.Sections):len(h.Sections)], h.Obsolete...) {
		named[hash.String()] = true
	}
	prefix := r.prefix + "config/sections/"
	entries, _, err := r.store.List(ctx, prefix, 0)
	if err != nil {
		return err
	}
	head, err := encoding.Marshal(h)
	if err != nil {
		return err
	}
	txn := goose.Txn{
		If:   []goose.Compare{{Key: r.headKey(), ModRevision: revision}},
		Then: []goose.Op{goose.Put(r.headKey(), head)},
	}
	for _, e := range entries {
		if !named[strings.TrimPrefix(e.Key, prefix)] && len(txn.Then) <= maxDeletes {
			txn.Then = append(txn.Then, goose.Delete(e.Key))
		}
	}
	if len(txn.Then) == 1 {
		return nil
	}
	_, err = r.store.Commit(ctx, txn)
	return err
}
