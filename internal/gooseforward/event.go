package gooseforward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// event is one whole server-sent event as the replica wrote it, with its blank line.
type event struct {
	data []byte
	// id is empty if the event has none.
	id string
}

// eventReader splits a stream into events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the next whole event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends inside an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		ev.data = append(ev.data, line...)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.data)) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(ev.data) > maxEvent {
			return event{}, errors.Errorf("event of more than %d bytes", maxEvent)
		}
		text := bytes.TrimRight(line, "\r\n")
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

// after reports whether the event's id is behind last; ids that are no numbers are
// taken to be.
func (ev event) after(last string) bool {
	a, errA := strconv.ParseInt(ev.id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a > b
}
