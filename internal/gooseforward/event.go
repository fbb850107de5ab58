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

// next returns the next complete event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends inside an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		data, start, err := e.readLine(ev.data)
		ev.data = data
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.data)) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(data[start:], "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			if len(bytes.TrimSpace(ev.data)) == 0 {
				ev.data = ev.data[:0]
				continue
			}
			return ev, nil
		}
	}
}

// isAfter reports whether the event's id follows lastID. It is true for ids that are not
// numbers.
func (ev event) isAfter(lastID string) bool {
	a, errA := strconv.ParseInt(ev.id, 10, 64)
	b, errB := strconv.ParseInt(lastID, 10, 64)
	return errA != nil || errB != nil || a > b
}
