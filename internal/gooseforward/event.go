package gooseforward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream, and the bytes that a replica may send
// between two new events.
const maxEventBytes = 1 << 20

// event is one complete server-sent event as the replica wrote it, with its blank line.
type event struct {
	data []byte
	// id is empty if the event has none.
	id string
	// comment is set if the event has no field, so that it carries nothing.
	comment bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
	// sinceNewEvent counts the bytes since the last new event.
	sinceNewEvent int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// markNew marks the last event as new, which allows the replica to send maxEventBytes
// more until the next new one. Blank lines and repeated events are not new.
func (e *eventReader) markNew() { e.sinceNewEvent = 0 }

// readLine appends the next line to data and returns the offset at which the line begins.
func (e *eventReader) readLine(data []byte) ([]byte, int, error) {
	start := len(data)
	for {
		part, err := e.r.ReadSlice('\n')
		data = append(data, part...)
		e.sinceNewEvent += len(part)
		switch {
		case e.sinceNewEvent > maxEventBytes:
			return data, start, errors.Errorf("more than %d bytes without a new event", maxEventBytes)
		case !errors.Is(err, bufio.ErrBufferFull):
			return data, start, err
		}
	}
}

// errNotEvent reports bytes in a stream that are no events, such as the head of another
// response.
var errNotEvent = errors.New("the stream contains bytes that are no event")

// next returns the next complete event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends inside an event, and errNotEvent if a line is no
// field of an event.
func (e *eventReader) next() (event, error) {
	ev := event{comment: true}
	for {
		data, start, err := e.readLine(ev.data)
		ev.data = data
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.data)) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimSuffix(bytes.TrimSuffix(data[start:], []byte("\n")), []byte("\r"))
		if len(text) == 0 {
			if len(bytes.TrimSpace(ev.data)) == 0 {
				ev.data = ev.data[:0]
				continue
			}
			return ev, nil
		}
		if !isFieldLine(text) {
			return event{}, errNotEvent
		}
		if text[0] != ':' {
			ev.comment = false
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// isFieldLine reports whether a line is a comment, or a field with a name of lower-case
// letters, digits and hyphens. A line with a bare CR is none: callers read it as several lines.
func isFieldLine(text []byte) bool {
	if bytes.IndexByte(text, '\r') >= 0 {
		return false
	}
	name, _, _ := bytes.Cut(text, []byte(":"))
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}

// position is where an event stands in relation to the events that the caller has.
type position string

// Positions of events.
const (
	positionNext     position = "next"
	positionRepeated position = "repeated"
	// positionGap means that events before the event are missing.
	positionGap position = "gap"
)

// sequence is the part of a stream that the caller has.
type sequence struct {
	// lastID is the id of the last event; empty before the first one.
	lastID string
	// maxStep is the largest difference between the ids of consecutive events, or zero if
	// that is not known yet.
	maxStep int64
}

// position returns the position of an event. resumed is set for the first event of another
// replica. Events are numbered, so it has to follow the last one as the others did.
func (s sequence) position(ev event, resumed bool) position {
	if ev.id == "" && resumed {
		return positionGap
	}
	id, err := strconv.ParseInt(ev.id, 10, 64)
	last, errLast := strconv.ParseInt(s.lastID, 10, 64)
	switch {
	case err != nil || errLast != nil:
		return positionNext
	case id <= last:
		return positionRepeated
	case resumed && s.maxStep > 0 && id-last > s.maxStep:
		return positionGap
	}
	return positionNext
}

// withEvent returns the sequence with a further event.
func (s sequence) withEvent(ev event) sequence {
	if ev.id == "" {
		return s
	}
	id, err := strconv.ParseInt(ev.id, 10, 64)
	last, errLast := strconv.ParseInt(s.lastID, 10, 64)
	if err == nil && errLast == nil {
		s.maxStep = max(s.maxStep, id-last)
	}
	s.lastID = ev.id
	return s
}
