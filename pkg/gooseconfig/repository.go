package gooseconfig

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// ErrSectionMissing means that a section of a head no longer exists, because a newer head
// has replaced that head in the meantime.
var ErrSectionMissing = errors.New("section missing")

const (
	// maxConcurrentReads applies to one load or one listing of audit entries.
	maxConcurrentReads = 8
	// maxLoadAttempts limits how often a load starts with the newest head because a
	// section of the previous one is missing.
	maxLoadAttempts = 5
	// readRetryTimeout limits how long reads are retried, so that an operator soon
	// learns that the store is down.
	readRetryTimeout = time.Second
)

// Repository reads and publishes the configuration of one fleet in the
// platform's store. It is safe for concurrent use.
type Repository struct {
	store      goose.Store
	prefix     string
	now        func() time.Time
	retryPause time.Duration
}

// NewRepository returns the repository of a fleet.
func NewRepository(store goose.Store, fleet string) *Repository {
	return &Repository{store: store, prefix: "/gooseberryhold/" + fleet + "/", now: time.Now, retryPause: initialRetryPause}
}

// AuditEntry records one published change or one command to a backend server. The
// version is zero for a command.
type AuditEntry struct {
	Version  int64     `cbor:"1,keyasint" json:"version" yaml:"version"`
	ChangeID string    `cbor:"2,keyasint" json:"change-id" yaml:"change-id"`
	Author   string    `cbor:"3,keyasint" json:"author" yaml:"author"`
	Time     time.Time `cbor:"4,keyasint" json:"time" yaml:"time"`
	Base     int64     `cbor:"5,keyasint" json:"base" yaml:"base"`
	// Summary has one line per changed object, at most maxSummaryLines of them and one
	// that counts the rest.
	Summary []string `cbor:"6,keyasint" json:"summary" yaml:"summary"`
	// Outcome and Reason are set for a command.
	Outcome string `cbor:"-" json:"outcome,omitempty" yaml:"outcome,omitempty"`
	Reason  string `cbor:"-" json:"reason,omitempty" yaml:"reason,omitempty"`
}

func (r *Repository) headKey() string          { return r.prefix + "config/head" }
func (r *Repository) sectionKey(h Hash) string { return r.prefix + "config/sections/" + h.String() }

// auditKey pads the version so that keys sort by it.
func (r *Repository) auditKey(version int64) string {
	return fmt.Sprintf("%saudit/%020d", r.prefix, version)
}

// Head returns the published head and its mod revision. Both are zero if nothing
// has been published.
func (r *Repository) Head(ctx context.Context) (Head, int64, error) {
	e, ok, err := r.store.Get(ctx, r.headKey())
	if err != nil || !ok {
		return Head{}, 0, errors.Wrap(err, "read configuration head")
	}
	h, err := decodeHead(e.Value)
	return h, e.ModRevision, err
}

// Load returns the published snapshot, or one of version zero if nothing has been
// published. Sections that known holds are not read again; known may be nil. Load
// retries for readRetryTimeout if the store does not respond.
func (r *Repository) Load(ctx context.Context, known *Snapshot) (*Snapshot, error) {
	retryCtx, cancel := context.WithTimeout(ctx, readRetryTimeout)
	defer cancel()
	var s *Snapshot
	// The reads themselves use ctx, because a slow store may need more time.
	err := r.retry(retryCtx, func() (err error) {
		s, err = r.load(ctx, known)
		return err
	})
	return s, err
}

func (r *Repository) load(ctx context.Context, known *Snapshot) (*Snapshot, error) {
	var err error
	for range maxLoadAttempts {
		var h Head
		if h, _, err = r.Head(ctx); err != nil {
			return nil, err
		}
		var s *Snapshot
		if s, err = r.LoadHead(ctx, h, known); !errors.Is(err, ErrSectionMissing) {
			return s, err
		}
	}
	return nil, err
}

// LoadHead returns the snapshot of a head, or ErrSectionMissing if a section has
// been deleted since the head was read.
func (r *Repository) LoadHead(ctx context.Context, h Head, known *Snapshot) (*Snapshot, error) {
	if h.Version == 0 {
		return NewSnapshot(0, &goose.Configuration{}), nil
	}
	sections, missing := known.reusableSections(h)
	var mu sync.Mutex
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError().WithMaxGoroutines(maxConcurrentReads)
	for _, hash := range missing {
		p.Go(func(ctx context.Context) error {
			e, ok, err := r.store.Get(ctx, r.sectionKey(hash))
			if err != nil {
				return errors.Wrapf(err, "read section %s", hash)
			}
			if !ok {
				return errors.Wrapf(ErrSectionMissing, "version %d: %s", h.Version, hash)
			}
			mu.Lock()
			defer mu.Unlock()
			sections[hash] = e.Value
			return nil
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	return assemble(h, sections)
}

// reusableSections returns the sections of the head that the snapshot holds, and
// the hashes of the others. The snapshot may be nil.
func (s *Snapshot) reusableSections(h Head) (have map[Hash][]byte, missing []Hash) {
	have = make(map[Hash][]byte, len(h.Sections))
	for _, hash := range h.Sections {
		if s != nil && s.sections[hash] != nil {
			have[hash] = s.sections[hash]
			continue
		}
		missing = append(missing, hash)
	}
	return have, missing
}

// Audit returns the newest audit entries of changes, at most limit, newest first.
func (r *Repository) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	h, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	found := make([]*AuditEntry, min(int64(limit), h.Version))
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError().WithMaxGoroutines(maxConcurrentReads)
	for i := range found {
		p.Go(func(ctx context.Context) error {
			e, ok, err := r.AuditEntry(ctx, h.Version-int64(i))
			if ok {
				found[i] = &e
			}
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	out := make([]AuditEntry, 0, len(found))
	for _, e := range found {
		if e != nil {
			out = append(out, *e)
		}
	}
	return out, nil
}

// AuditEntry returns the audit entry of a version, or false if there is none.
func (r *Repository) AuditEntry(ctx context.Context, version int64) (AuditEntry, bool, error) {
	e, ok, err := r.store.Get(ctx, r.auditKey(version))
	if err != nil || !ok {
		return AuditEntry{}, false, errors.Wrapf(err, "read audit entry %d", version)
	}
	var a AuditEntry
	if err := decMode.Unmarshal(e.Value, &a); err != nil {
		return AuditEntry{}, false, errors.Wrapf(err, "audit entry %d", version)
	}
	return a, true, nil
}

// WithRetryPause returns a copy of the repository whose first pause between
// retries of a store call is d instead of the default 50 ms.
func (r *Repository) WithRetryPause(d time.Duration) *Repository {
	out := *r
	out.retryPause = d
	return &out
}
