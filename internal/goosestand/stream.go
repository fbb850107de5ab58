package goosestand

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
)

// errEngineStopped ends the writing of a response when the engine stops.
var errEngineStopped = errors.New("engine stopped")

// chunk is one event of a streamed response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

func (e *Engine) newChunk(s *stream, from, to int) chunk {
	text := OutputText(s.promptHash, from, to)
	ch := choice{}
	object := "text_completion"
	if s.chat {
		object, ch.Delta = "chat.completion.chunk", &delta{text}
	} else {
		ch.Text = &text
	}
	if to == s.max {
		reason := "length"
		ch.FinishReason = &reason
	}
	return chunk{ID: s.id, Object: object, Model: e.cfg.Model, Offset: from, Tokens: to - from, Choices: []choice{ch}}
}

func writeEvent(w *bufio.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

// writeStream sends the tokens from offset on as they are generated, then the
// end marker. It returns without the marker if the stream is dropped or the
// connection breaks.
func (e *Engine) writeStream(w *bufio.Writer, s *stream, offset int) {
	// This sends the headers before the first token, so that the caller learns
	// the process id and the cold state without delay.
	if _, err := w.WriteString(": accepted\n\n"); err != nil || w.Flush() != nil {
		return
	}
	chunks := &chunkWriter{engine: e, out: w, stream: s}
	for {
		e.mu.Lock()
		generated, finished, cause, stepDone := s.generated, s.finished, s.dropCause, e.stepDone
		e.mu.Unlock()
		switch {
		case cause != "":
			return
		case generated > offset:
			if chunks.send(offset, generated) != nil {
				return
			}
			offset = generated
		case finished:
			e.finishStream(w, s)
			return
		default:
			if !e.awaitStep(stepDone) {
				return
			}
		}
	}
}

// markDelivered records that the tokens below index to were sent. The caller
// holds the lock.
func (e *Engine) markDelivered(s *stream, to int) {
	if to > s.delivered {
		e.totals.DeliveredTokens += to - s.delivered
		s.delivered = to
	}
}

// finishStream sends the end marker and drops the stream.
func (e *Engine) finishStream(w *bufio.Writer, s *stream) {
	if writeEnd(w) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(s, "fetched")
	e.wake()
}

func writeEnd(w *bufio.Writer) error {
	_, _ = w.WriteString("data: [DONE]\n\n")
	return w.Flush()
}

// maxCacheEvents bounds the stored cache events.
const maxCacheEvents = 1 << 16

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Sequence int64     `json:"sequence"`
	Block    uint64    `json:"block"`
	Evicted  bool      `json:"evicted"`
	Time     time.Time `json:"time"`
}

// cacheLog keeps the newest cache events.
type cacheLog struct {
	mu       sync.Mutex
	sequence int64
	events   []cacheEvent
}

func (l *cacheLog) add(block uint64, evicted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.events = append(l.events, cacheEvent{l.sequence, block, evicted, time.Now()})
	if len(l.events) > maxCacheEvents {
		l.events = l.events[len(l.events)-maxCacheEvents/2:]
	}
}

// since returns the events after a sequence number that are not newer than
// until.
func (l *cacheLog) since(sequence int64, until time.Time) []cacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []cacheEvent
	for _, e := range l.events {
		if e.Sequence > sequence && !e.Time.After(until) {
			out = append(out, e)
		}
	}
	return out
}

func (l *cacheLog) lastSequence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

// cacheEventInterval is the interval at which pending events are sent to a
// subscriber.
const cacheEventInterval = 50 * time.Millisecond

// dropsEvent decides whether the gaps fault drops the next cache event, and
// counts it if so.
func (e *Engine) dropsEvent() bool {
	if gaps := e.faults.get().Gaps; gaps <= 0 || rand.Float64() >= gaps {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.EventsLost++
	return true
}

// cacheEvents streams the cache events that follow the call, delayed by the lag
// and with gaps.
func (e *Engine) cacheEvents(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	sequence := e.cacheLog.lastSequence()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		_, _ = w.WriteString(": subscribed\n\n")
		for w.Flush() == nil {
			for _, ev := range e.cacheLog.since(sequence, time.Now().Add(-e.lag())) {
				sequence = ev.Sequence
				if e.dropsEvent() {
					continue
				}
				if writeEvent(w, ev) != nil {
					return
				}
			}
			select {
			case <-e.stopping:
				return
			case <-time.After(cacheEventInterval):
			}
			_, _ = w.WriteString(": wait\n\n")
		}
	})
}
