package gooseledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/time/rate"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Limits of one batch. maxBatchBytes keeps a batch of stored answers below the
// store's size limit for one call.
const (
	maxBatchTxns  = 64
	maxBatchBytes = 1 << 20
)

// batchTimeout bounds one call to the store.
const batchTimeout = 2 * time.Second

// maxInFlightBatches lets a second batch fill while the first one waits for the
// store's response.
const maxInFlightBatches = 2

// maxSingleCommits bounds the concurrent calls that commit the transactions of a
// refused batch one by one.
const maxSingleCommits = 8

// batcher commits transactions. While few calls are in flight, each transaction
// is sent at once; otherwise transactions queue and are sent in batches.
type batcher struct {
	ctx     context.Context
	store   goose.Store
	window  time.Duration
	limiter *rate.Limiter

	mu      sync.Mutex
	queue   []*pendingTxn
	senders int
}

// pendingTxn is a transaction that waits for its result.
type pendingTxn struct {
	txn   goose.Txn
	bytes int
	// taken is set by the sender that adds the transaction to a batch, or by
	// the caller that stops waiting for it.
	taken  atomic.Bool
	result chan commitResult
}

type commitResult struct {
	res goose.TxnResult
	err error
}

// newBatcher returns a batcher that delays its calls once they exceed storeCallRate
// per second, until ctx ends.
func newBatcher(ctx context.Context, store goose.Store, window time.Duration, storeCallRate int) *batcher {
	return &batcher{ctx: ctx, store: store, window: window, limiter: rate.NewLimiter(rate.Limit(storeCallRate), storeCallRate)}
}

// commit has the contract of Store.Commit. ErrUnavailable also means that ctx
// ended before the transaction was sent.
func (b *batcher) commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	if b.window < 0 {
		return b.store.Commit(ctx, txn)
	}
	pending := &pendingTxn{txn: txn, bytes: txnSize(txn), result: make(chan commitResult, 1)}
	if b.enqueue(pending) {
		go b.drainQueue(0)
	}
	select {
	case r := <-pending.result:
		return r.res, r.err
	case <-ctx.Done():
		if pending.taken.CompareAndSwap(false, true) {
			return goose.TxnResult{}, errors.Wrap(goose.ErrUnavailable, ctx.Err().Error())
		}
		return goose.TxnResult{}, errors.Wrap(goose.ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// enqueue appends a transaction to the queue. It returns true if the caller must
// start a sender.
func (b *batcher) enqueue(pending *pendingTxn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, pending)
	if b.senders >= maxInFlightBatches {
		return false
	}
	b.senders++
	return true
}

// drainQueue commits batches until the queue is empty. Transactions that queued
// up during a call wait for the batch window, so that more can join their
// batch.
func (b *batcher) drainQueue(window time.Duration) {
	for {
		// A full batch is sent at once: waiting would not save a call.
		if n := b.queueLen(); n > 0 && n < maxBatchTxns {
			if window > 0 {
				time.Sleep(window)
			}
			// Once the ledger is closed, the remaining transactions are sent
			// without a rate limit.
			_ = b.limiter.Wait(b.ctx)
		}
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		b.commitBatch(batch)
		window = b.window
	}
}

func (b *batcher) queueLen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// nextBatch removes the next batch from the queue. If there is none, it
// deregisters the calling sender and returns nil. A transaction that writes a
// key of the batch stays queued for the next batch.
func (b *batcher) nextBatch() []*pendingTxn {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pendingTxn
	total := 0
	written := map[string]struct{}{}
	for _, pending := range b.queue {
		fits := len(batch) < maxBatchTxns && (len(batch) == 0 || total+pending.bytes <= maxBatchBytes)
		if !fits || writesAnyOf(pending.txn, written) {
			rest = append(rest, pending)
			continue
		}
		if !pending.taken.CompareAndSwap(false, true) {
			continue
		}
		for _, op := range pending.txn.Then {
			written[op.Key] = struct{}{}
		}
		batch = append(batch, pending)
		total += pending.bytes
	}
	b.queue = rest
	if len(batch) == 0 {
		b.senders--
	}
	return batch
}

func writesAnyOf(t goose.Txn, written map[string]struct{}) bool {
	for _, op := range t.Then {
		if _, ok := written[op.Key]; ok {
			return true
		}
	}
	return false
}

func (b *batcher) commitBatch(batch []*pendingTxn) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	txns := make([]goose.Txn, len(batch))
	for i, pending := range batch {
		txns[i] = pending.txn
	}
	results, err := b.store.CommitAll(ctx, txns)
	if err != nil && len(batch) > 1 && !noResponse(err) {
		// One bad transaction, for instance one with an expired lease, makes
		// the store refuse the whole call. The other transactions must not fail
		// with it.
		b.commitEach(batch)
		return
	}
	for i, pending := range batch {
		r := commitResult{err: err}
		if err == nil {
			r.res = results[i]
		}
		pending.result <- r
	}
}

func (b *batcher) commitEach(batch []*pendingTxn) {
	p := pool.New().WithMaxGoroutines(maxSingleCommits)
	for _, pending := range batch {
		p.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
			defer cancel()
			res, err := b.store.Commit(ctx, pending.txn)
			pending.result <- commitResult{res: res, err: err}
		})
	}
	p.Wait()
}

func txnSize(t goose.Txn) int {
	n := 0
	for _, op := range t.Then {
		n += len(op.Key) + len(op.Value)
	}
	return n
}

func noResponse(err error) bool {
	return errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown)
}
