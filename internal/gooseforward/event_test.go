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

// Guards against events that are sent twice or dropped after a stream is resumed.
func TestEventAfter(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		id, last string
		want     bool
	}{
		"next":      {id: "13", last: "12", want: true},
		"same":      {id: "12", last: "12", want: false},
		"longer":    {id: "100", last: "99", want: true},
		"no number": {id: "x", last: "12", want: true},
		"no id":     {id: "", last: "12", want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := (event{id: tc.id}).isAfter(tc.last); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// eventsTarget checks that decoding a stream neither panics, hangs nor adds bytes.
var eventsTarget = goosefuzz.Target{
	Runs:  200_000,
	Seeds: [][]any{{[]byte("id: 1\ndata: a\n\n")}, {[]byte("\r\n\r\nid:\n\n")}, {[]byte("x: 1\nid: 2\n\nid: 3")}},
	Check: func(t *testing.T, stream []byte) {
		r := newEventReader(bytes.NewReader(stream))
		total := 0
		for {
			ev, err := r.next()
			if err != nil {
				break
			}
			total += len(ev.data)
		}
		if total > len(stream) {
			t.Errorf("got %d bytes of events from %d", total, len(stream))
		}
	},
}

func FuzzEvents(f *testing.F)     { eventsTarget.Fuzz(f) }
func TestFuzzEvents(t *testing.T) { eventsTarget.Test(t) }
