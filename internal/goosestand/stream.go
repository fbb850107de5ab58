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

// errStopping ends the writing of answers when the engine stops.
var errStopping = errors.New("engine stops")

// chunk is one event of a streamed answer.
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

func (e *Engine) chunk(s *stream, from, to int) chunk {
	text := Answer(s.hash, from, to)
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

// write sends tokens from offset on as they are made, and the end marker. It
// ends early without the marker when the stream is dropped or the connection
// breaks.
func (e *Engine) write(w *bufio.Writer, s *stream, offset int) {
	// Sends the header before the first token, so that the caller learns the
	// process id and the cold state at once.
	if _, err := w.WriteString(": accepted\n\n"); err != nil || w.Flush() != nil {
		return
	}
	out := &writer{e: e, w: w, s: s}
	for {
		e.mu.Lock()
		made, done, gone, tick := s.made, s.done, s.gone, e.tick
		e.mu.Unlock()
		switch {
		case gone != "":
			return
		case made > offset:
			if out.send(offset, made) != nil {
				return
			}
			offset = made
		case done:
			e.finish(w, s)
			return
		default:
			if !e.await(tick) {
				return
			}
		}
	}
}

// delivered notes tokens sent up to an index. The caller holds the lock.
func (e *Engine) delivered(s *stream, to int) {
	if to > s.delivered {
		e.count.Delivered += to - s.delivered
		s.delivered = to
	}
}

// finish sends the end marker; the stream then counts as fetched.
func (e *Engine) finish(w *bufio.Writer, s *stream) {
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

// maxCacheEvents bounds the remembered cache events.
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
	mu   sync.Mutex
	next int64
	all  []cacheEvent
}

func (l *cacheLog) add(block uint64, evicted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.all = append(l.all, cacheEvent{l.next, block, evicted, time.Now()})
	if len(l.all) > maxCacheEvents {
		l.all = l.all[len(l.all)-maxCacheEvents/2:]
	}
}

// since returns the events behind a sequence number and not after a time.
func (l *cacheLog) since(sequence int64, until time.Time) []cacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []cacheEvent
	for _, e := range l.all {
		if e.Sequence > sequence && !e.Time.After(until) {
			out = append(out, e)
		}
	}
	return out
}

func (l *cacheLog) last() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// cacheEventPoll is how often a subscriber's pending events are looked up.
const cacheEventPoll = 50 * time.Millisecond

// losesEvent decides whether the next cache event becomes a gap.
func (e *Engine) losesEvent() bool {
	if gaps := e.faults.get().Gaps; gaps <= 0 || rand.Float64() >= gaps {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count.EventsLost++
	return true
}

// cacheEvents streams cache events from now on, late and with gaps.
func (e *Engine) cacheEvents(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	sequence := e.events.last()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		_, _ = w.WriteString(": subscribed\n\n")
		for w.Flush() == nil {
			for _, ev := range e.events.since(sequence, time.Now().Add(-e.lag())) {
				sequence = ev.Sequence
				if e.losesEvent() {
					continue
				}
				if writeEvent(w, ev) != nil {
					return
				}
			}
			select {
			case <-e.stopping:
				return
			case <-time.After(cacheEventPoll):
			}
			_, _ = w.WriteString(": wait\n\n")
		}
	})
}
