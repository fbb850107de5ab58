package gooseforward

import (
	"context"
	"io"
	"mime"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// forwardStream forwards events as they arrive. It writes nothing to the caller before
// the first complete event, so that until then another replica can start the response.
func (c *call) forwardStream(ctx context.Context, u *upstream, h goose.ResponseHeader, choice gooseplacement.Choice, silence *silenceTimer) result {
	if err := checkStreamHead(u, h); err != nil {
		return result{outcome: outcomeLost, status: u.resp.StatusCode, err: err}
	}
	u.reader.remaining = unbounded
	events := newEventReader(u.resp.Body)
	s := &streamAttempt{call: c, upstream: u, resumed: c.sequence.lastID != ""}
	for first := true; ; {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil {
			return c.classifyError(ctx, errors.Wrap(goose.ErrDisconnected, err.Error()))
		}
		if first && !ev.comment {
			c.recordFirstEvent(choice)
			first = false
		}
		isNew, err := s.accept(ev)
		switch {
		case err != nil:
			return result{outcome: outcomeLost, status: u.resp.StatusCode, err: err}
		case !isNew:
			continue
		}
		// Comments and repeated events are no progress: a replica that sends nothing else
		// counts as silent.
		silence.reset()
		events.markNew()
		if err := s.write(ev); err != nil {
			return result{outcome: outcomeCallerDisconnected, err: err}
		}
		c.recordEvent(ev)
	}
}

// checkStreamHead returns an error if the head of a success does not begin a stream.
func checkStreamHead(u *upstream, h goose.ResponseHeader) error {
	if !h.Stamped {
		return errNoStamp
	}
	contentType := u.resp.Header.Get("Content-Type")
	if media, _, err := mime.ParseMediaType(contentType); contentType != "" && (err != nil || media != "text/event-stream") {
		return errors.Wrapf(errNoStream, "content type %.60q", contentType)
	}
	return nil
}

// streamAttempt is the stream of one replica.
type streamAttempt struct {
	*call
	upstream *upstream
	// resumed is set until the first new event if the caller has an earlier part of the
	// stream.
	resumed bool
	// newEvents is the number of events that were written to the caller.
	newEvents int
	// comments are comments that arrived before the first event.
	comments []byte
}

// accept reports whether the event is a new one. It returns an error if the event does not
// continue the part of the stream that the caller has.
func (s *streamAttempt) accept(ev event) (bool, error) {
	if ev.comment {
		return false, s.handleComment(ev)
	}
	switch s.sequence.position(ev, s.resumed) {
	case positionRepeated:
		return false, nil
	case positionGap:
		return false, errors.Errorf("event %.40q does not follow event %.40q", ev.id, s.sequence.lastID)
	}
	return true, nil
}

// handleComment forwards a comment, or keeps it until the first event begins the response.
func (s *streamAttempt) handleComment(ev event) error {
	if !s.committed {
		s.comments = append(s.comments, ev.data...)
		return nil
	}
	return s.writeBytes(ev.data)
}

// write writes a new event. The first one begins the response.
func (s *streamAttempt) write(ev event) error {
	data := ev.data
	if !s.committed {
		s.writeStreamHeader(s.upstream)
		s.o.Metrics.observeTimeToFirst(s.service.Name, s.promptClass(), s.o.Clock.Now().Sub(s.arrived))
		data = append(s.comments, data...)
	}
	s.resumed = false
	s.newEvents++
	return s.writeBytes(data)
}

func (s *streamAttempt) writeBytes(data []byte) error {
	return s.writeTransfer(data, s.heldBody.kind(), true)
}

// end returns the result of a stream that has ended without an error. A stream without new
// events is complete only if the caller has asked for the rest of a stream, or another
// replica broke off after the last event, and if the replica has framed it: a connection
// that is closed after the head looks the same.
func (s *streamAttempt) end() result {
	resp := s.upstream.resp
	if s.newEvents == 0 && (!s.resumed || !isFramed(resp)) {
		return result{outcome: outcomeLost, status: resp.StatusCode, err: errors.New("stream without events")}
	}
	if !s.committed {
		s.writeStreamHeader(s.upstream)
	}
	return result{outcome: outcomeDone, status: resp.StatusCode}
}

// recordEvent records an event that was written to the caller.
func (c *call) recordEvent(ev event) {
	now := c.o.Clock.Now()
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	c.recordStreamProgress(now)
	c.sequence = c.sequence.withEvent(ev)
}

// recordFirstEvent records the time of an attempt's first event, or of its complete
// response.
func (c *call) recordFirstEvent(choice gooseplacement.Choice) {
	now := c.o.Clock.Now()
	c.timeToFirst = now.Sub(c.attemptStart)
	c.o.Placer.RecordFirstEvent(choice.AttemptID, now)
}

// writeStreamHeader sends the status and the headers of the first replica of the stream.
func (c *call) writeStreamHeader(u *upstream) {
	c.copyHeader(u.resp.Header)
	c.committed = true
	c.w.WriteHeader(u.resp.StatusCode)
}
