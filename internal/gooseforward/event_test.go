package gooseforward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
)

// Guards against events that are split, joined or truncated.
func TestEventReader(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		stream string
		ids    []string
		end    error
	}{
		"none":             {stream: "", end: io.EOF},
		"two":              {stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", ids: []string{"1", "2"}, end: io.EOF},
		"carriage returns": {stream: "id: 1\r\ndata: a\r\n\r\n", ids: []string{"1"}, end: io.EOF},
		"no id":            {stream: "data: a\n\n", ids: []string{""}, end: io.EOF},
		"blank lines":      {stream: "\n\nid: 1\n\n\n", ids: []string{"1"}, end: io.EOF},
		"no blank line":    {stream: "id: 1\n\nid: 2\ndata: b\n", ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"inside a line":    {stream: "id: 1\n\nid: 2\nda", ids: []string{"1"}, end: io.ErrUnexpectedEOF},
		"comment":          {stream: ": ping\n\nid: 1\n\n", ids: []string{"", "1"}, end: io.EOF},
		"head":             {stream: "id: 1\n\nHTTP/1.1 200 OK\nA: b\n\n", ids: []string{"1"}, end: errNotEvent},
		"error document":   {stream: "id: 1\n\n{\"error\": 1}\n\n", ids: []string{"1"}, end: errNotEvent},
		"version line":     {stream: "x-weight-versions: 5\nid: 1\n\n", ids: []string{"1"}, end: io.EOF},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newEventReader(strings.NewReader(tc.stream))
			for _, want := range tc.ids {
				ev, err := r.next()
				if err != nil || ev.id != want {
					t.Fatalf("got event %q, error %v, want %q", ev.id, err, want)
				}
			}
			if _, err := r.next(); !errors.Is(err, tc.end) {
				t.Errorf("got end %v, want %v", err, tc.end)
			}
		})
	}
}

// Guards against an endless event that fills the memory.
func TestEventTooLong(t *testing.T) {
	t.Parallel()
	r := newEventReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4)))
	if _, err := r.next(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want an error about the length", err)
	}
}

// Guards against events that are sent twice, dropped or missing after a stream is resumed.
func TestEventPosition(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		id, last string
		maxStep  int64
		resumed  bool
		want     position
	}{
		"next":                         {id: "13", last: "12", want: positionNext},
		"same":                         {id: "12", last: "12", want: positionRepeated},
		"longer":                       {id: "100", last: "99", want: positionNext},
		"no number":                    {id: "x", last: "12", want: positionNext},
		"no id":                        {id: "", last: "12", want: positionNext},
		"first event":                  {id: "1", want: positionNext},
		"resumed":                      {id: "13", last: "12", maxStep: 1, resumed: true, want: positionNext},
		"resumed, with a gap":          {id: "14", last: "12", maxStep: 1, resumed: true, want: positionGap},
		"resumed, steps of two":        {id: "14", last: "12", maxStep: 2, resumed: true, want: positionNext},
		"resumed, step not known":      {id: "14", last: "12", resumed: true, want: positionNext},
		"resumed, without an id":       {last: "12", resumed: true, want: positionGap},
		"resumed, repeated":            {id: "11", last: "12", maxStep: 1, resumed: true, want: positionRepeated},
		"ids jump at the same replica": {id: "20", last: "12", maxStep: 1, want: positionNext},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := sequence{lastID: tc.last, maxStep: tc.maxStep}
			if got := s.position(event{id: tc.id}, tc.resumed); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// eventsTarget checks that decoding a stream neither panics, hangs nor adds bytes, and that no
// event contains a bare CR, which callers read as the end of a line.
var eventsTarget = goosefuzz.Target{
	Runs:  200_000,
	Seeds: [][]any{{[]byte("id: 1\ndata: a\n\n")}, {[]byte("\r\n\r\nid:\n\n")}, {[]byte("x: 1\nid: 2\n\nid: 3")}, {[]byte("id: 1\r\rdata: a\r\r\n\r\n")}},
	Check: func(t *testing.T, stream []byte) {
		r := newEventReader(bytes.NewReader(stream))
		total := 0
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			total += len(ev.data)
			if bytes.Contains(bytes.ReplaceAll(ev.data, []byte("\r\n"), nil), []byte("\r")) {
				t.Errorf("got the event %q", ev.data)
			}
		}
		if total > len(stream) {
			t.Errorf("got %d bytes of events from %d", total, len(stream))
		}
	},
}

func FuzzEvents(f *testing.F)     { eventsTarget.Fuzz(f) }
func TestFuzzEvents(t *testing.T) { eventsTarget.Test(t) }
