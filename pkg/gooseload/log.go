// Package gooseload records commands to backend servers in the platform's store and
// enforces the weight store's rate of model loads over all dispatchers of a fleet.
package gooseload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// SendTimeout is how long a command may be sent, counted from before its first call
	// to the store. A slot of the rate of model loads stays taken for this much longer
	// than the period, so that a late model load and the next one in the slot are still
	// a period apart.
	SendTimeout = 3 * time.Second
	// slotMargin covers the time that the command takes to reach the backend server,
	// and that server's call to reach the weight store.
	slotMargin = time.Second
	// maxClaimAttempts bounds the attempts to claim a slot: another dispatcher can take
	// the chosen one first.
	maxClaimAttempts = 3
	// retention is how long records of commands are kept.
	retention = 90 * 24 * time.Hour
	// leaseUse is how long a retention lease is used for new records.
	leaseUse = 24 * time.Hour
)

// Errors of Begin. Nothing may be sent after any of them.
var (
	// ErrNoRateConfigured means that the rate of the weight store is not configured.
	ErrNoRateConfigured = errors.New("the configuration has no weight-store rate")
	// ErrRateExceeded means that the fleet has used up the rate of the weight store.
	ErrRateExceeded = errors.New("the rate of the weight store is used up")
	// ErrStoreUnavailable means that the store did not respond.
	ErrStoreUnavailable = errors.New("the platform's store does not answer")
)

// ReasonNoOutcome is the reason in a record whose outcome has not been written yet.
const ReasonNoOutcome = "no outcome was recorded"

// Options are the dependencies of a Log. Clock may be nil.
type Options struct {
	Store goose.Store
	Fleet string
	// LoadRate returns the rate of model loads in force; nil if none is configured.
	LoadRate func() *goose.WeightStore
	Clock    goose.Clock
}

// Record is the record of one command.
type Record struct {
	ID      string          `cbor:"1,keyasint"`
	Author  string          `cbor:"2,keyasint"`
	Time    time.Time       `cbor:"3,keyasint"`
	Replica goose.ReplicaID `cbor:"4,keyasint"`
	Command goose.Command   `cbor:"5,keyasint"`
	Force   bool            `cbor:"6,keyasint"`
	// Result is unknown until the dispatcher has written the outcome.
	Result goose.CommandResult `cbor:"7,keyasint"`
}

// Log implements goose.CommandLog. It is safe for concurrent use.
type Log struct {
	o      Options
	prefix string

	mu sync.Mutex
	// retentionLease is the store lease that deletes old records. It was granted at
	// retentionSince.
	retentionLease goose.LeaseID
	retentionSince time.Time
}

var _ goose.CommandLog = (*Log)(nil)

// New returns the command log of a fleet.
func New(o Options) *Log {
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	return &Log{o: o, prefix: "/gooseberryhold/" + o.Fleet + "/commands/"}
}

func (l *Log) slotPrefix() string   { return l.prefix + "slots/" }
func (l *Log) slotKey(i int) string { return fmt.Sprintf("%s%04d", l.slotPrefix(), i) }
func (l *Log) recordPrefix() string { return l.prefix + "records/" }
func (l *Log) recordKey(r Record) string {
	// Newer records sort first, so that the newest ones can be listed alone.
	return fmt.Sprintf("%s%019d-%s", l.recordPrefix(), math.MaxInt64-r.Time.UnixNano(), r.ID)
}

// ticket implements goose.CommandTicket.
type ticket struct {
	log      *Log
	record   Record
	lease    goose.LeaseID
	deadline time.Time
}

// Deadline implements goose.CommandTicket.
func (t *ticket) Deadline() time.Time { return t.deadline }

// RecordResult implements goose.CommandTicket.
func (t *ticket) RecordResult(ctx context.Context, r goose.CommandResult) error {
	t.record.Result = r
	op, err := t.log.recordOp(t.record, t.lease)
	if err != nil {
		return err
	}
	_, err = t.log.o.Store.Commit(ctx, goose.Txn{Then: []goose.Op{op}})
	return errors.Wrap(err, "record the outcome of a command")
}

func (l *Log) recordOp(r Record, lease goose.LeaseID) (goose.Op, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return goose.Op{}, errors.Wrap(err, "encode the record of a command")
	}
	return goose.Put(l.recordKey(r), value).WithLease(lease), nil
}

// Begin implements goose.CommandLog. Its errors are ErrNoRateConfigured, ErrRateExceeded
// and ErrStoreUnavailable. If the response to the claim of a slot is lost, the slot is
// freed when its lease expires, after the period.
func (l *Log) Begin(ctx context.Context, q goose.CommandRequest) (goose.CommandTicket, error) {
	started := l.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	t := &ticket{log: l, deadline: started.Add(SendTimeout), record: Record{
		ID: q.ID, Author: q.Author, Time: started.UTC(), Replica: q.Replica, Command: q.Command, Force: q.Force,
		Result: goose.CommandResult{Outcome: goose.CommandUnknown, Reason: ReasonNoOutcome},
	}}
	err := l.begin(ctx, t)
	if errors.Is(err, goose.ErrLeaseNotFound) {
		l.dropRetentionLease(t.lease)
	}
	if errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown) || errors.Is(err, goose.ErrLeaseNotFound) || ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (l *Log) begin(ctx context.Context, t *ticket) error {
	rate := l.o.LoadRate()
	if t.record.Command.IsLoad() && rate == nil {
		return ErrNoRateConfigured
	}
	var err error
	if t.lease, err = l.ensureRetentionLease(ctx); err != nil {
		return err
	}
	record, err := l.recordOp(t.record, t.lease)
	if err != nil {
		return err
	}
	if t.record.Command.IsLoad() {
		return l.claimSlot(ctx, t, *rate, record)
	}
	_, err = l.o.Store.Commit(ctx, goose.Txn{If: []goose.Compare{{Key: record.Key}}, Then: []goose.Op{record}})
	return l.confirmWrite(ctx, err, record.Key, t.record.ID)
}

// claimSlot takes one of the slots of the rate of model loads and writes the record in
// the same transaction. A slot is a key with a lease, so that only the store's clock
// measures the period.
func (l *Log) claimSlot(ctx context.Context, t *ticket, rate goose.WeightStore, record goose.Op) error {
	var lease goose.LeaseID
	for range maxClaimAttempts {
		free, err := l.freeSlots(ctx, rate.MaxLoads)
		if err != nil {
			return err
		}
		if len(free) == 0 {
			return fmt.Errorf("%w: %d loads within %s", ErrRateExceeded, rate.MaxLoads, rate.Period)
		}
		if lease == 0 {
			// The lease is granted after the ticket's validity began, so that it
			// outlasts the ticket by the full period.
			if lease, err = l.o.Store.Grant(ctx, wholeSeconds(rate.Period+SendTimeout+slotMargin)); err != nil {
				return err
			}
		}
		key := l.slotKey(free[rand.IntN(len(free))])
		result, err := l.o.Store.Commit(ctx, goose.Txn{
			If:   []goose.Compare{{Key: key}, {Key: record.Key}},
			Then: []goose.Op{goose.Put(key, []byte(t.record.ID)).WithLease(lease), record},
		})
		if err != nil {
			return l.confirmWrite(ctx, err, record.Key, t.record.ID)
		}
		if result.Succeeded {
			return nil
		}
	}
	return fmt.Errorf("%w: other loads were first", ErrRateExceeded)
}

// confirmWrite returns nil if a write took effect although its response was lost: only
// this write creates the record, so the record shows it. It returns other errors as they
// are.
func (l *Log) confirmWrite(ctx context.Context, err error, key, id string) error {
	if !errors.Is(err, goose.ErrOutcomeUnknown) {
		return err
	}
	if _, ok, readErr := l.o.Store.Get(ctx, key); readErr == nil && ok {
		return nil
	}
	return errors.Wrapf(err, "record of %s", id)
}

// freeSlots returns the numbers of the slots that no model load holds.
func (l *Log) freeSlots(ctx context.Context, loads int) ([]int, error) {
	taken, _, err := l.o.Store.List(ctx, l.slotPrefix(), 0)
	if err != nil || len(taken) >= loads {
		// More slots than exist can be taken after operators lowered the rate.
		return nil, err
	}
	held := make(map[string]bool, len(taken))
	for _, e := range taken {
		held[e.Key] = true
	}
	var free []int
	for i := range loads {
		if !held[l.slotKey(i)] {
			free = append(free, i)
		}
	}
	return free, nil
}

// ensureRetentionLease returns the store lease that deletes records after the retention
// period. Each instance uses one lease per day.
func (l *Log) ensureRetentionLease(ctx context.Context) (goose.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	if l.retentionLease != 0 && now.Sub(l.retentionSince) < leaseUse {
		return l.retentionLease, nil
	}
	id, err := l.o.Store.Grant(ctx, retention+leaseUse)
	if err != nil {
		return 0, errors.Wrap(err, "retention lease")
	}
	l.retentionLease, l.retentionSince = id, now
	return id, nil
}

// dropRetentionLease stops the use of a retention lease that the store does not know.
func (l *Log) dropRetentionLease(id goose.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retentionLease == id {
		l.retentionLease = 0
	}
}

func wholeSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

// Records returns the newest records, at most limit, newest first.
func (l *Log) Records(ctx context.Context, limit int) ([]Record, error) {
	all, _, err := l.o.Store.List(ctx, l.recordPrefix(), limit)
	if err != nil {
		return nil, errors.Wrap(err, "records of commands")
	}
	out := make([]Record, 0, len(all))
	for _, e := range all {
		var record Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			return nil, errors.Wrapf(err, "record %s", strings.TrimPrefix(e.Key, l.recordPrefix()))
		}
		out = append(out, record)
	}
	return out, nil
}
