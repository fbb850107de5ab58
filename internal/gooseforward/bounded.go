package gooseforward

import (
	"context"
	"io"
	"math"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// errResponseTooLong reports that a replica sent a longer response than it may send.
var errResponseTooLong = errors.New("response too long")

// errNoResponseMemory reports that other responses hold the memory for all of them.
var errNoResponseMemory = errors.Wrap(errResponseTooLong, "memory for responses is exhausted")

// boundedReader reads at most remaining bytes and then returns an error. An
// io.LimitedReader would return io.EOF, which looks like the end of the response.
type boundedReader struct {
	r         io.Reader
	remaining int64
}

// unbounded is the bound for streams, since each of their events has a bound of its own.
const unbounded = math.MaxInt64

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

const (
	// maxResponseBytes bounds the response of a request that is no stream.
	maxResponseBytes = 8 << 20
	// responseMemoryShare is the inverse part of the machine's memory that the responses of all
	// requests may take, and maxResponseMemoryBytes what they take at most. The first
	// responseMemoryUnitBytes bytes of each response are not counted.
	responseMemoryShare    = 6
	maxResponseMemoryBytes = 48 << 20
	// responseMemoryUnitBytes is the unit in which memory is counted. A response of at most this
	// length is not counted.
	responseMemoryUnitBytes = 16 << 10
	// responseMemoryWait is how long a response waits for memory. Slow readers are cut meanwhile.
	responseMemoryWait = goosetransfer.Window + goosetransfer.Window/2
)

// responseMemory bounds the memory that responses hold.
type responseMemory struct {
	bytes int64
	*goosememory.Pool
}

func newResponseMemory(machineBytes int64, t *goosetransfer.Table) *responseMemory {
	if machineBytes <= 0 {
		machineBytes = defaultMemoryBytes
	}
	bytes := min(maxResponseMemoryBytes, max(machineBytes/responseMemoryShare, maxResponseBytes))
	return &responseMemory{bytes: bytes, Pool: goosememory.NewPool(bytes, kindResponse, t)}
}

// release frees memory that readAll has acquired.
func (m *responseMemory) release(held int64) { m.Release(goosememory.Claim{Bytes: held}) }

// readAll reads a complete response; length is its length, or negative if it is unknown. It
// returns the memory that the caller has to release, also with an error.
func (m *responseMemory) readAll(ctx context.Context, r io.Reader, length int64) (body []byte, held int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, responseMemoryWait)
	defer cancel()
	// Responses that hold parts of their memory and wait for that of each other could not go on.
	if length > responseMemoryUnitBytes && length <= maxResponseBytes {
		if !m.Acquire(ctx, goosememory.Claim{Bytes: length}) {
			return nil, 0, errNoResponseMemory
		}
		held = length
		body = make([]byte, 0, length+1)
	}
	for {
		if len(body) == cap(body) {
			// The runtime chooses the new capacity.
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, nil
		}
		if err != nil {
			return body, held, err
		}
		for int64(len(body)) > responseMemoryUnitBytes+held {
			if !m.Acquire(ctx, goosememory.Claim{Bytes: responseMemoryUnitBytes}) {
				return body, held, errNoResponseMemory
			}
			held += responseMemoryUnitBytes
		}
	}
}
