package gooseforward

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// Kinds of memory that transfers hold.
const (
	kindSmallBody goosetransfer.Kind = "small-body"
	kindLongBody  goosetransfer.Kind = "long-body"
)

// cutInterval is the interval at which a request that waits for memory cuts a slow transfer. It
// is the time for the memory of the last one to be released.
const cutInterval = 20 * time.Millisecond

// errSlowBody reports a body that was cut because it arrived too slowly.
var errSlowBody = errors.New("the body arrives too slowly")

// transferReader records the progress of a body.
type transferReader struct {
	io.Reader
	transfer *goosetransfer.Transfer
}

// Read implements io.Reader.
func (r transferReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.transfer.Progress(n, time.Now())
	return n, err
}

// acquireMemory waits for n bytes, and cuts slow transfers that hold memory of this kind. It
// reports whether it has acquired them before ctx ended.
func acquireMemory(ctx context.Context, memory *semaphore.Weighted, n int64, transfers *goosetransfer.Table, kind goosetransfer.Kind) bool {
	if memory.TryAcquire(n) {
		return true
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for ticker := time.NewTicker(cutInterval); ; {
			transfers.CutSlowest(kind, time.Now())
			select {
			case <-ctx.Done():
				ticker.Stop()
				return
			case <-ticker.C:
			}
		}
	}()
	return memory.Acquire(ctx, n) == nil
}
