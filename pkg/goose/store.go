package goose

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrUnavailable means that the store was not reached; the call had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that no response arrived; the call may have taken effect.
	ErrOutcomeUnknown = errors.New("store answer lost")
	// ErrLeaseNotFound means that the lease does not exist or has expired.
	ErrLeaseNotFound = errors.New("lease gone")
	// ErrCompacted means that a watch must start again from a fresh read.
	ErrCompacted = errors.New("revision compacted")
)

// LeaseID identifies a lease of the store; zero is no lease.
type LeaseID int64

// Entry is one key of the store with its value.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is one condition of a transaction: the key's mod revision equals
// ModRevision. A ModRevision of zero requires that the key is absent.
type Compare struct {
	Key         string
	ModRevision int64
}

// OpKind distinguishes writes from deletions.
type OpKind string

// Kinds of operations.
const (
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
)

// Op is one change in a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Put returns an operation that writes a key.
func Put(key string, value []byte) Op { return Op{Kind: OpPut, Key: key, Value: value} }

// Delete returns an operation that deletes a key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// WithLease returns the operation bound to a lease.
func (o Op) WithLease(l LeaseID) Op {
	o.Lease = l
	return o
}

// Txn atomically applies Then if every condition of If holds.
type Txn struct {
	If   []Compare
	Then []Op
}

// TxnResult is the outcome of a transaction. Revision is the store's revision
// after it; if Succeeded, written keys have it as their mod revision.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// WatchEvent is one change of a watched key. Entry.Value is empty for a deletion.
type WatchEvent struct {
	Deleted bool
	Entry   Entry
}

// Watcher delivers the changes of a watched prefix in order of revision.
type Watcher interface {
	// Events returns a channel that is closed when the watch ends; Err then returns
	// the reason.
	Events() <-chan WatchEvent
	Err() error
	Close()
}

// Store is the platform's key-value service. Every method returns
// ErrUnavailable or ErrOutcomeUnknown (wrapped) when the service does not respond.
type Store interface {
	// Get returns false if the key is absent.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// GetAfter is like Get for an entry that changed after the revision. It returns
	// false for an unchanged one, whose value is not transferred.
	GetAfter(ctx context.Context, key string, revision int64) (Entry, bool, error)
	// List returns at most limit entries of the prefix (0: all) in key order, and
	// the store's revision at the read.
	List(ctx context.Context, prefix string, limit int) ([]Entry, int64, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// CommitAll sends independent transactions in one call; each succeeds or
	// fails by its own conditions. They must not touch a common key.
	CommitAll(ctx context.Context, txns []Txn) ([]TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its TTL, or ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers changes of the prefix from the revision on.
	Watch(ctx context.Context, prefix string, fromRevision int64) (Watcher, error)
	Close() error
}

// PollingStore is a store whose changes can also be read by single calls.
type PollingStore interface {
	Store
	// Poll returns the changes of the prefix after a revision in order of revision, and the
	// revision up to which they are complete. If there are none, it waits for at most wait.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) ([]WatchEvent, int64, error)
}

// Lease is one key that at most one instance holds.
type Lease interface {
	// Epoch is the fencing token; valid while the lease is held.
	Epoch() Epoch
	// Deadline is the time, by this machine's monotonic clock, until which no other
	// instance can hold the key. It is counted from a time before the last successful
	// renewal was sent.
	Deadline() time.Time
}
