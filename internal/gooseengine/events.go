package gooseengine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream, and the bytes that a backend server may send
// between two new events. A frame holds few tokens.
const maxEventBytes = 1 << 20

var errNoNewEvent = errors.New("more than 1 MiB without a new event")

// eventReader reads server-sent events. It does not return an event that is truncated by
// the end of the stream.
type eventReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
	// sinceNewEvent counts the bytes since the last new event.
	sinceNewEvent int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// markNew marks the last event as new, which allows the backend server to send
// maxEventBytes more until the next new one. Dropped events are not new.
func (r *eventReader) markNew() { r.sinceNewEvent = 0 }

// next returns the data of the next event that has data; the slice is valid
// until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.data = r.data[:0]
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return r.data, nil
			}
			continue
		}
		value, ok := dataValue(line)
		if !ok {
			continue
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		hasData = true
		r.data = append(r.data, value...)
	}
}

// readLine returns one line without its line ending.
func (r *eventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		r.line = append(r.line, part...)
		r.sinceNewEvent += len(part)
		switch {
		case r.sinceNewEvent > maxEventBytes:
			return nil, errNoNewEvent
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(r.line, []byte("\n")), []byte("\r")), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// dataValue returns the value of a data field, and false for comments and other fields.
func dataValue(line []byte) ([]byte, bool) {
	if bytes.Equal(line, []byte("data")) {
		return nil, true
	}
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
