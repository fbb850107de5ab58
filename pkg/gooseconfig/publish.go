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
	// ErrUnsettled means that the change may or may not have taken effect; the
	// audit entries tell, by its change id.
	ErrUnsettled = errors.New("outcome of the change unknown")
)

const (
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
	// Bounds of one call of the store: etcd refuses transactions of more than
	// 128 operations and requests above 1.5 MB.
	maxBatch      = 64
	maxBatchBytes = 512 << 10
	maxDeletes    = 100
	// keepAudit is the number of audit entries that are kept, about two months
	// at 1,600 changes a day.
	keepAudit = 100_000
)

// Change is one change to publish.
type Change struct {
	// ID makes a repeated publication take effect once; see NewChangeID.
	ID     string
	Author string
	// Base is the version that the change was made to.
	Base int64
	// Floor is the highest version known to be in force anywhere; the new
	// version is above it even if the store lost its head.
	Floor         int64
	Configuration *goose.Configuration
	Summary       []string
}

// NewChangeID returns a random id.
func NewChangeID() string { return crand.Text() }

// Publish validates the change and makes it the next version, in one
// transaction with its audit entry. It settles lost answers by the change id
// and repeats calls that the store did not answer until ctx ends.
// Errors: InvalidError, ErrConflict, ErrUnsettled, goose.ErrUnavailable.
func (r *Repository) Publish(ctx context.Context, c Change) (Head, error) {
	if err := Validate(c.Configuration); err != nil {
		return Head{}, err
	}
	if c.ID == "" || c.Author == "" {
		return Head{}, errors.New("a change needs an id and an author")
	}
	sections, err := split(c.Configuration)
	if err != nil {
		return Head{}, err
	}
	for {
		h, err := r.publishOnce(ctx, c, sections)
		if errors.Is(err, errSwept) {
			continue
		}
		if err == nil && h.Version%sweepEvery == 0 {
			_ = r.sweep(ctx) // what is left is swept the next time
		}
		return h, err
	}
}

// errSwept means that the head was written again without a new version.
var errSwept = errors.New("sections were swept")

func (r *Repository) publishOnce(ctx context.Context, c Change, sections []section) (Head, error) {
	var old Head
	var revision int64
	err := r.repeat(ctx, func() (err error) {
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
		return r.settle(ctx, c, max(c.Base, c.Floor)+1)
	}
	if err := r.writeSections(ctx, old, sections); err != nil {
		return Head{}, err
	}
	return r.writeHead(ctx, c, old, revision, sections)
}

// writeSections stores the sections that the old head does not name. They must
// be written after that head was read: sections are deleted only together with
// a new head, so a deletion in between makes the new head's comparison fail.
func (r *Repository) writeSections(ctx context.Context, old Head, sections []section) error {
	there := make(map[Hash]bool, len(old.Sections))
	for _, h := range old.Sections {
		there[h] = true
	}
	var batch []goose.Txn
	size := 0
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		err := r.repeat(ctx, func() error {
			_, err := r.store.CommitAll(ctx, batch)
			return errors.Wrap(err, "write sections")
		})
		batch, size = nil, 0
		return err
	}
	for _, s := range sections {
		if there[s.hash] {
			continue
		}
		if len(batch) == maxBatch || size+len(s.data) > maxBatchBytes {
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
		Version: max(old.Version, c.Floor) + 1, ChangeID: c.ID, Author: c.Author,
		Time: r.now().UTC().Truncate(time.Millisecond), Base: c.Base,
	}
	used := make(map[Hash]bool, len(sections))
	for _, s := range sections {
		used[s.hash] = true
		h.Sections = append(h.Sections, s.hash)
	}
	deletes, keep := obsolete(old, used)
	h.Obsolete = keep
	txn, err := r.headTxn(h, c.Summary, revision, deletes)
	if err != nil {
		return Head{}, err
	}
	uncertain := false
	var result goose.TxnResult
	err = r.repeat(ctx, func() (err error) {
		result, err = r.store.Commit(ctx, txn)
		uncertain = uncertain || errors.Is(err, goose.ErrOutcomeUnknown)
		return errors.Wrap(err, "write configuration head")
	})
	switch {
	case err != nil && uncertain:
		return Head{}, errors.Wrapf(ErrUnsettled, "change %s to version %d (%v)", c.ID, h.Version, err)
	case err != nil:
		return Head{}, err
	case result.Succeeded:
		return h, nil
	}
	return r.settle(ctx, c, h.Version)
}

func (r *Repository) headTxn(h Head, summary []string, revision int64, deletes []Hash) (goose.Txn, error) {
	head, err := encoding.Marshal(h)
	if err != nil {
		return goose.Txn{}, errors.Wrap(err, "encode configuration head")
	}
	if len(head) > maxHeadBytes {
		return goose.Txn{}, errors.Errorf("configuration head takes %d bytes; at most %d", len(head), maxHeadBytes)
	}
	audit, err := encoding.Marshal(AuditEntry{
		Version: h.Version, ChangeID: h.ChangeID, Author: h.Author, Time: h.Time, Base: h.Base, Summary: summary,
	})
	if err != nil {
		return goose.Txn{}, errors.Wrap(err, "encode audit entry")
	}
	txn := goose.Txn{
		If:   []goose.Compare{{Key: r.headKey(), ModRevision: revision}},
		Then: []goose.Op{goose.Put(r.headKey(), head), goose.Put(r.auditKey(h.Version), audit)},
	}
	if h.Version > keepAudit {
		txn.Then = append(txn.Then, goose.Delete(r.auditKey(h.Version-keepAudit)))
	}
	for _, d := range deletes {
		txn.Then = append(txn.Then, goose.Delete(r.sectionKey(d)))
	}
	return txn, nil
}

// obsolete returns the sections to delete now and those to delete later. A
// section stays for one version after its last use, for readers under way.
func obsolete(old Head, used map[Hash]bool) (deletes, keep []Hash) {
	for _, h := range old.Obsolete {
		switch {
		case used[h]:
		case len(deletes) < maxDeletes:
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

// settle decides by the audit entry whether the change became the version. It
// returns errSwept if the base is still the newest version.
func (r *Repository) settle(ctx context.Context, c Change, version int64) (Head, error) {
	var a AuditEntry
	var newest Head
	err := r.repeat(ctx, func() (err error) {
		if a, _, err = r.AuditEntry(ctx, version); err != nil {
			return err
		}
		newest, _, err = r.Head(ctx)
		return err
	})
	if err != nil {
		return Head{}, errors.Wrapf(ErrUnsettled, "change %s to version %d (%v)", c.ID, version, err)
	}
	if a.ChangeID == c.ID {
		return Head{Version: a.Version, ChangeID: a.ChangeID, Author: a.Author, Time: a.Time, Base: a.Base}, nil
	}
	if newest.Version == c.Base {
		return Head{}, errSwept
	}
	return Head{}, errors.Wrapf(ErrConflict, "another change to version %d was published first", c.Base)
}

// repeat calls f until the store answers or ctx ends. It is used only for
// calls that may safely take effect twice.
func (r *Repository) repeat(ctx context.Context, f func() error) error {
	pause := r.pause
	for {
		err := f()
		if !errors.Is(err, goose.ErrUnavailable) && !errors.Is(err, goose.ErrOutcomeUnknown) {
			return err
		}
		// Racing operators must not retry in step.
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
