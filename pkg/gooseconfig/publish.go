package gooseconfig

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// Errors of a publication.
var (
	// ErrConflict means that another change was published first.
	ErrConflict = errors.New("conflict")
	// ErrChangeOutcomeUnknown means that the change may or may not have taken effect. It has if
	// an audit entry holds its change ID.
	ErrChangeOutcomeUnknown = errors.New("outcome of the change unknown")
)

const (
	initialRetryPause = 50 * time.Millisecond
	maxRetryPause     = time.Second
	// The next three limit one call to the store: etcd rejects transactions of more
	// than 128 operations and requests above 1.5 MB.
	maxBatchTxns     = 64
	maxBatchBytes    = 512 << 10
	maxDeletesPerTxn = 100
	// maxAuditEntries is the number of audit entries that are kept. They cover about
	// two months at 1,600 changes a day.
	maxAuditEntries = 100_000
)

// Change is one change to publish.
type Change struct {
	// ID makes the publication idempotent; see NewChangeID.
	ID     string
	Author string
	// Base is the version that the change was made to.
	Base int64
	// HighestKnownVersion is the highest version known to be in force on any instance. The new
	// version is above it even if the store has lost its head.
	HighestKnownVersion int64
	Configuration       *goose.Configuration
	Summary             []string
}

// NewChangeID returns a random change ID.
func NewChangeID() string { return crand.Text() }

// Publish validates the change and makes it the next version, in one
// transaction with its audit entry. If the response of the store was lost, it looks
// up by the change ID whether the change took effect. It retries calls to which
// the store did not respond until ctx ends.
// Errors: InvalidError, ErrConflict, ErrChangeOutcomeUnknown, goose.ErrUnavailable.
func (r *Repository) Publish(ctx context.Context, c Change) (Head, error) {
	if err := Validate(c.Configuration); err != nil {
		return Head{}, err
	}
	if c.ID == "" || c.Author == "" {
		return Head{}, errors.New("a change needs an id and an author")
	}
	sections, err := encodeSections(c.Configuration)
	if err != nil {
		return Head{}, err
	}
	for {
		h, err := r.tryPublish(ctx, c, sections)
		if errors.Is(err, errHeadRewritten) {
			continue
		}
		if err == nil && h.Version%versionsPerCollection == 0 {
			_ = r.collectGarbage(ctx) // the next call deletes what this one could not
		}
		return h, err
	}
}

// errHeadRewritten means that collectGarbage wrote the head again without a new
// version.
var errHeadRewritten = errors.New("configuration head was rewritten with the same version")

func (r *Repository) tryPublish(ctx context.Context, c Change, sections []section) (Head, error) {
	var old Head
	var revision int64
	err := r.retry(ctx, func() (err error) {
		old, revision, err = r.Head(ctx)
		return err
	})
	if err != nil {
		return Head{}, err
	}
	if old.ChangeID == c.ID {
		return old, nil
	}
	if old.Version != c.Base {
		return r.resolveOutcome(ctx, c, max(c.Base, c.HighestKnownVersion)+1)
	}
	if err := r.writeSections(ctx, old, sections); err != nil {
		return Head{}, err
	}
	return r.writeHead(ctx, c, old, revision, sections)
}

// writeSections stores the sections that the old head does not list. They must
// be written after that head was read: sections are deleted only in transactions
// that also write the head, so a deletion in between makes the comparison of the
// new head's transaction fail.
func (r *Repository) writeSections(ctx context.Context, old Head, sections []section) error {
	stored := make(map[Hash]bool, len(old.Sections))
	for _, h := range old.Sections {
		stored[h] = true
	}
	var batch []goose.Txn
	size := 0
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		err := r.retry(ctx, func() error {
			_, err := r.store.CommitAll(ctx, batch)
			return errors.Wrap(err, "write sections")
		})
		batch, size = nil, 0
		return err
	}
	for _, s := range sections {
		if stored[s.hash] {
			continue
		}
		if len(batch) == maxBatchTxns || size+len(s.data) > maxBatchBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		key := r.sectionKey(s.hash)
		batch = append(batch, goose.Txn{If: []goose.Compare{{Key: key}}, Then: []goose.Op{goose.Put(key, s.data)}})
		size += len(s.data)
	}
	return flush()
}

func (r *Repository) writeHead(ctx context.Context, c Change, old Head, revision int64, sections []section) (Head, error) {
	h := Head{
		Version: max(old.Version, c.HighestKnownVersion) + 1, ChangeID: c.ID, Author: c.Author,
		Time: r.now().UTC().Truncate(time.Millisecond), Base: c.Base,
	}
	used := make(map[Hash]bool, len(sections))
	for _, s := range sections {
		used[s.hash] = true
		h.Sections = append(h.Sections, s.hash)
	}
	deletes, keep := splitObsolete(old, used)
	h.Obsolete = keep
	txn, err := r.headTxn(h, c.Summary, revision, deletes)
	if err != nil {
		return Head{}, err
	}
	outcomeUnknown := false
	var result goose.TxnResult
	err = r.retry(ctx, func() (err error) {
		result, err = r.store.Commit(ctx, txn)
		outcomeUnknown = outcomeUnknown || errors.Is(err, goose.ErrOutcomeUnknown)
		return errors.Wrap(err, "write configuration head")
	})
	switch {
	case err != nil && outcomeUnknown:
		return Head{}, errors.Wrapf(ErrChangeOutcomeUnknown, "change %s to version %d (%v)", c.ID, h.Version, err)
	case err != nil:
		return Head{}, err
	case result.Succeeded:
		return h, nil
	}
	return r.resolveOutcome(ctx, c, h.Version)
}

func (r *Repository) headTxn(h Head, summary []string, revision int64, deletes []Hash) (goose.Txn, error) {
	head, err := encMode.Marshal(h)
	if err != nil {
		return goose.Txn{}, errors.Wrap(err, "encode configuration head")
	}
	if len(head) > maxHeadBytes {
		return goose.Txn{}, errors.Errorf("configuration head takes %d bytes; at most %d", len(head), maxHeadBytes)
	}
	audit, err := encMode.Marshal(AuditEntry{
		Version: h.Version, ChangeID: h.ChangeID, Author: h.Author, Time: h.Time, Base: h.Base, Summary: summary,
	})
	if err != nil {
		return goose.Txn{}, errors.Wrap(err, "encode audit entry")
	}
	txn := goose.Txn{
		If:   []goose.Compare{{Key: r.headKey(), ModRevision: revision}},
		Then: []goose.Op{goose.Put(r.headKey(), head), goose.Put(r.auditKey(h.Version), audit)},
	}
	if h.Version > maxAuditEntries {
		txn.Then = append(txn.Then, goose.Delete(r.auditKey(h.Version-maxAuditEntries)))
	}
	for _, d := range deletes {
		txn.Then = append(txn.Then, goose.Delete(r.sectionKey(d)))
	}
	return txn, nil
}

// splitObsolete returns the sections to delete now and those to delete later. A
// section is kept for one more version after its last use, for readers that are
// still loading the old head.
func splitObsolete(old Head, used map[Hash]bool) (deletes, keep []Hash) {
	for _, h := range old.Obsolete {
		switch {
		case used[h]:
		case len(deletes) < maxDeletesPerTxn:
			deletes = append(deletes, h)
		default:
			keep = append(keep, h)
		}
	}
	for _, h := range old.Sections {
		if !used[h] {
			keep = append(keep, h)
		}
	}
	return deletes, keep
}

// resolveOutcome looks up in the audit entry whether the change became the given
// version. It returns errHeadRewritten if the base is still the newest version.
func (r *Repository) resolveOutcome(ctx context.Context, c Change, version int64) (Head, error) {
	var a AuditEntry
	var newest Head
	err := r.retry(ctx, func() (err error) {
		if a, _, err = r.AuditEntry(ctx, version); err != nil {
			return err
		}
		newest, _, err = r.Head(ctx)
		return err
	})
	if err != nil {
		return Head{}, errors.Wrapf(ErrChangeOutcomeUnknown, "change %s to version %d (%v)", c.ID, version, err)
	}
	if a.ChangeID == c.ID {
		return Head{Version: a.Version, ChangeID: a.ChangeID, Author: a.Author, Time: a.Time, Base: a.Base}, nil
	}
	if newest.Version == c.Base {
		return Head{}, errHeadRewritten
	}
	return Head{}, errors.Wrapf(ErrConflict, "another change to version %d was published first", c.Base)
}

// retry calls f until the store responds or ctx ends. It is used only for calls
// that may safely take effect twice.
func (r *Repository) retry(ctx context.Context, f func() error) error {
	pause := r.retryPause
	for {
		err := f()
		if !errors.Is(err, goose.ErrUnavailable) && !errors.Is(err, goose.ErrOutcomeUnknown) {
			return err
		}
		// The random part keeps racing operators from retrying at the same moments.
		t := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-t.C:
		}
		pause = min(2*pause, maxRetryPause)
	}
}
