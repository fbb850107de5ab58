package gooseforward

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errResponseTooLong reports that a replica sent a longer response than it may send.
var errResponseTooLong = errors.New("response too long")

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
	// maxResponseMemoryBytes bounds the memory that the responses of all requests hold in total;
	// the first responseMemoryUnitBytes bytes of each response are not counted.
	maxResponseMemoryBytes = 48 << 20
	// responseMemoryUnitBytes is the unit in which memory is counted. A response of at most this
	// length is not counted.
	responseMemoryUnitBytes = 64 << 10
)

// responseMemory counts the memory that remains for responses.
type responseMemory struct{ remaining atomic.Int64 }

func newResponseMemory() *responseMemory {
	b := &responseMemory{}
	b.remaining.Store(maxResponseMemoryBytes)
	return b
}

// release frees memory that readAll has acquired.
func (m *responseMemory) release(held int64) { m.remaining.Add(held) }

// readAll reads a complete response. It returns the memory that the caller has to
// release, also with an error.
func (m *responseMemory) readAll(r io.Reader) (body []byte, held int64, err error) {
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
			held += responseMemoryUnitBytes
			if m.remaining.Add(-responseMemoryUnitBytes) < 0 {
				return body, held, errors.Wrap(errResponseTooLong, "memory for responses is exhausted")
			}
		}
	}
}
