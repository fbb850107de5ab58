package gooseengine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Counters of the dropped frames by cause.
var (
	droppedForeign   = metrics.NewCounter(`gooseberryhold_frames_dropped_total{cause="foreign"}`)
	droppedRepeated  = metrics.NewCounter(`gooseberryhold_frames_dropped_total{cause="repeated"}`)
	droppedGap       = metrics.NewCounter(`gooseberryhold_frames_dropped_total{cause="gap"}`)
	droppedMalformed = metrics.NewCounter(`gooseberryhold_frames_dropped_total{cause="malformed"}`)
)

var endMarker = []byte("[DONE]")

// chunk contains the fields of a streamed chunk that are used.
type chunk struct {
	ID      string `json:"id"`
	Offset  *int   `json:"offset"`
	Tokens  *int   `json:"tokens"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// parseFrame parses the data of one event; the frame holds a copy of data.
func parseFrame(data []byte) (goose.Frame, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return goose.Frame{}, errors.WithStack(err)
	}
	if c.ID == "" || c.Offset == nil || c.Tokens == nil || *c.Offset < 0 || *c.Tokens < 0 {
		return goose.Frame{}, errors.New("chunk without id, offset or tokens")
	}
	f := goose.Frame{Attempt: goose.AttemptID(c.ID), Offset: *c.Offset, Tokens: *c.Tokens, Data: bytes.Clone(data)}
	for i := range c.Choices {
		f.Text += c.Choices[i].Text + c.Choices[i].Delta.Content
		f.Finished = f.Finished || c.Choices[i].FinishReason != nil
	}
	return f, nil
}

// stream returns the frames of one attempt and checks each of them. It drops a frame that
// belongs to another attempt or holds only tokens that were returned before. A frame after
// missing tokens ends the stream with an error, so that the caller resumes it at the first
// missing token.
type stream struct {
	exchange   *exchange
	events     *eventReader
	id         goose.AttemptID
	nextOffset int
	// lastFrameOwn is true if the last frame belonged to the attempt. The end marker has no
	// ID and belongs to the same attempt as the frame before it.
	lastFrameOwn bool
	ended        bool
}

func newStream(x *exchange, id goose.AttemptID, offset int) *stream {
	return &stream{exchange: x, events: newEventReader(x.resp.BodyStream()), id: id, nextOffset: offset, lastFrameOwn: true}
}

// Next implements goose.Stream.
func (s *stream) Next() (goose.Frame, error) {
	for {
		if s.ended {
			return goose.Frame{}, io.EOF
		}
		data, err := s.events.next()
		if err != nil {
			return goose.Frame{}, disconnected(s.exchange.causeOf(err))
		}
		if bytes.Equal(data, endMarker) {
			if !s.lastFrameOwn {
				droppedForeign.Inc()
				continue
			}
			s.ended = true
			return goose.Frame{Attempt: s.id, Offset: s.nextOffset, Last: true}, nil
		}
		f, keep, err := s.accept(data)
		if err != nil {
			return goose.Frame{}, err
		}
		if keep {
			s.events.markNew()
			return f, nil
		}
	}
}

func (s *stream) accept(data []byte) (f goose.Frame, keep bool, err error) {
	f, err = parseFrame(data)
	if err != nil {
		droppedMalformed.Inc()
		s.lastFrameOwn = false
		return f, false, nil
	}
	s.lastFrameOwn = f.Attempt == s.id
	switch {
	case !s.lastFrameOwn:
		droppedForeign.Inc()
		return f, false, nil
	case f.Offset < s.nextOffset && f.Offset+f.Tokens <= s.nextOffset:
		droppedRepeated.Inc()
		return f, false, nil
	case f.Offset != s.nextOffset:
		droppedGap.Inc()
		return f, false, disconnected(errors.Errorf("frame at token %d, want %d", f.Offset, s.nextOffset))
	}
	s.nextOffset += f.Tokens
	return f, true, nil
}

// Process implements goose.Stream.
func (s *stream) Process() string { return s.exchange.header(headerProcessID) }

// Cold implements goose.Stream.
func (s *stream) Cold() bool { return s.exchange.header(headerCold) == "true" }

// Close implements goose.Stream.
func (s *stream) Close() error {
	s.exchange.close()
	return nil
}
