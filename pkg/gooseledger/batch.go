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

// Limits of one batch. maxBatchBytes keeps a batch of kept answers below the
// store's limit for one call.
const (
	maxBatch      = 64
	maxBatchBytes = 1 << 20
)

// batchTimeout bounds one call of a batch.
const batchTimeout = 2 * time.Second

// maxCalls is how many batches may be under way: the second one fills while the
// first waits for its answer.
const maxCalls = 2

// maxSingleCalls bounds the calls under way for a batch that was refused.
const maxSingleCalls = 8

// batcher commits transactions. While calls are few each is sent at once;
// otherwise they queue and go out together.
type batcher struct {
	ctx     context.Context
	store   goose.Store
	window  time.Duration
	limiter *rate.Limiter

	mu    sync.Mutex
	queue []*item
	calls int
}

// item is one transaction that waits for its result.
type item struct {
	txn   goose.Txn
	bytes int
	// taken is set by the sender that includes the item, or by the waiter that
	// gives up on it.
	taken  atomic.Bool
	result chan itemResult
}

type itemResult struct {
	res goose.TxnResult
	err error
}

// newBatcher returns a batcher whose calls wait once they exceed callRate a
// second, until ctx ends.
func newBatcher(ctx context.Context, store goose.Store, window time.Duration, callRate int) *batcher {
	return &batcher{ctx: ctx, store: store, window: window, limiter: rate.NewLimiter(rate.Limit(callRate), callRate)}
}

// commit is Store.Commit; ErrUnavailable also means that ctx ended before the
// transaction was sent.
func (b *batcher) commit(ctx context.Context, txn goose.Txn) (goose.TxnResult, error) {
	if b.window < 0 {
		return b.store.Commit(ctx, txn)
	}
	it := &item{txn: txn, bytes: size(txn), result: make(chan itemResult, 1)}
	if b.enqueue(it) {
		go b.send(0)
	}
	select {
	case r := <-it.result:
		return r.res, r.err
	case <-ctx.Done():
		if it.taken.CompareAndSwap(false, true) {
			return goose.TxnResult{}, errors.Wrap(goose.ErrUnavailable, ctx.Err().Error())
		}
		return goose.TxnResult{}, errors.Wrap(goose.ErrUncertain, ctx.Err().Error())
	}
}

// enqueue returns true if the caller must start a sender.
func (b *batcher) enqueue(it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, it)
	if b.calls >= maxCalls {
		return false
	}
	b.calls++
	return true
}

// send commits batches until the queue is empty. A queue that built up during a
// call gathers more for a short window.
func (b *batcher) send(window time.Duration) {
	for {
		// A full batch goes out at once: waiting would save no call.
		if n := b.waiting(); n > 0 && n < maxBatch {
			if window > 0 {
				time.Sleep(window)
			}
			// Once the ledger is closed, what is left goes out without a limit.
			_ = b.limiter.Wait(b.ctx)
		}
		batch := b.take()
		if batch == nil {
			return
		}
		b.commitBatch(batch)
		window = b.window
	}
}

func (b *batcher) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// take removes the next batch from the queue, or ends this sender and returns
// nil. Transactions that write a key of the batch wait for the next one.
func (b *batcher) take() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*item
	total := 0
	written := map[string]struct{}{}
	for _, it := range b.queue {
		fits := len(batch) < maxBatch && (len(batch) == 0 || total+it.bytes <= maxBatchBytes)
		if !fits || overlaps(it.txn, written) {
			rest = append(rest, it)
			continue
		}
		if !it.taken.CompareAndSwap(false, true) {
			continue
		}
		for _, op := range it.txn.Then {
			written[op.Key] = struct{}{}
		}
		batch = append(batch, it)
		total += it.bytes
	}
	b.queue = rest
	if len(batch) == 0 {
		b.calls--
	}
	return batch
}

func overlaps(t goose.Txn, written map[string]struct{}) bool {
	for _, op := range t.Then {
		if _, ok := written[op.Key]; ok {
			return true
		}
	}
	return false
}

func (b *batcher) commitBatch(batch []*item) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	txns := make([]goose.Txn, len(batch))
	for i, it := range batch {
		txns[i] = it.txn
	}
	results, err := b.store.CommitAll(ctx, txns)
	if err != nil && len(batch) > 1 && !unanswered(err) {
		// One bad transaction, for instance with an expired lease, refuses the
		// whole call; the others must not suffer for it.
		b.commitEach(batch)
		return
	}
	for i, it := range batch {
		r := itemResult{err: err}
		if err == nil {
			r.res = results[i]
		}
		it.result <- r
	}
}

func (b *batcher) commitEach(batch []*item) {
	p := pool.New().WithMaxGoroutines(maxSingleCalls)
	for _, it := range batch {
		p.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
			defer cancel()
			res, err := b.store.Commit(ctx, it.txn)
			it.result <- itemResult{res: res, err: err}
		})
	}
	p.Wait()
}

func size(t goose.Txn) int {
	n := 0
	for _, op := range t.Then {
		n += len(op.Key) + len(op.Value)
	}
	return n
}

func unanswered(err error) bool {
	return errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrUncertain)
}
