package goosestand

import (
	"bufio"
	"math/rand/v2"
	"time"
)

// chunkWriter sends the chunks of one stream over one connection and applies the
// engine's chunk faults.
type chunkWriter struct {
	engine *Engine
	out    *bufio.Writer
	stream *stream
	// resend holds the chunks to send again after a later chunk.
	resend []chunk
}

// send writes the tokens from index from to index to (exclusive) as one chunk.
func (w *chunkWriter) send(from, to int) error {
	f := w.engine.faults.get()
	if !w.delay(time.Duration(f.Hold)) {
		return errEngineStopped
	}
	c := w.engine.newChunk(w.stream, from, to)
	if other, ok := w.foreignChunk(f.Swap, from); ok {
		return writeEvent(w.out, other)
	}
	if err := writeEvent(w.out, c); err != nil {
		return err
	}
	if err := w.injectChunks(f, c); err != nil {
		return err
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	w.engine.markDelivered(w.stream, to)
	return nil
}

// injectChunks writes the repeated, late and foreign chunks that the faults add
// after chunk c.
func (w *chunkWriter) injectChunks(f EngineFaults, c chunk) error {
	if occursWithProbability(f.Repeat) {
		if err := writeEvent(w.out, c); err != nil {
			return err
		}
	}
	if len(w.resend) > 0 {
		c := w.resend[0]
		w.resend = w.resend[1:]
		if err := writeEvent(w.out, c); err != nil {
			return err
		}
	}
	if occursWithProbability(f.Late) {
		w.resend = append(w.resend, c)
	}
	if other, ok := w.foreignChunk(f.Cross, c.Offset+c.Tokens); ok {
		if err := writeEvent(w.out, other); err != nil {
			return err
		}
	}
	if other, ok := w.foreignChunk(f.CrossEnd, c.Offset+c.Tokens); ok {
		if err := writeEvent(w.out, other); err != nil {
			return err
		}
		return writeEnd(w.out)
	}
	return nil
}

func occursWithProbability(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// delay waits for a random time below d. It returns false if the engine stops.
func (w *chunkWriter) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(rand.N(d)):
		return true
	case <-w.engine.stopping:
		return false
	}
}

// foreignChunk returns, with the given probability, one token of another stream as a
// chunk: the token at the offset, or the newest one if that stream does not hold
// the offset.
func (w *chunkWriter) foreignChunk(probability float64, offset int) (chunk, bool) {
	if !occursWithProbability(probability) {
		return chunk{}, false
	}
	e := w.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.streams {
		if other == w.stream || other.generated <= other.firstToken {
			continue
		}
		if offset >= other.firstToken && offset < other.generated {
			return e.newChunk(other, offset, offset+1), true
		}
		return e.newChunk(other, other.generated-1, other.generated), true
	}
	return chunk{}, false
}
