package gooseengine

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// endlessBound is far above the size of the buffers of a connection and the longest response.
const endlessBound = 64 << 20

// chunkOfLines returns a chunk with many copies of line, so that its chunk header hardly
// counts.
func chunkOfLines(line string) string {
	text := strings.Repeat(line, 1000)
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// Guards against backend servers that send bytes without end that never form a complete
// response: the memory would grow until the process is killed, and requests would wait
// forever.
func TestEndlessBytes(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nID\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ head, piece string }{
		"status line":               {piece: "x"},
		"header lines":              {head: ok, piece: "X-More: more\r\n"},
		"one header line":           {head: ok + "X-More: ", piece: "x"},
		"interim responses":         {piece: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"},
		"continue responses":        {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":                      {head: ok + "\r\n", piece: "x"},
		"body of a huge length":     {head: ok + "Content-Length: 9000000000000000000\r\n\r\n", piece: "x"},
		"chunks":                    {head: chunked, piece: "10000\r\n" + string(make([]byte, 0x10000)) + "\r\n"},
		"one chunk size":            {head: chunked, piece: "0"},
		"extension of a chunk":      {head: chunked + "1;", piece: "x"},
		"blank lines":               {head: chunked, piece: chunkOfLines("\n")},
		"comments":                  {head: chunked, piece: chunkOfLines(": x\n")},
		"lines of an event":         {head: chunked, piece: chunkOfLines("data: x\n")},
		"events of another attempt": {head: chunked, piece: chunkOfLines(frame("other", 0, 1, "x"))},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, run := range map[string]func(context.Context, goose.Attempt) error{
				"call": func(ctx context.Context, a goose.Attempt) error {
					_, err := Plain{}.Call(ctx, a)
					return err
				},
				"stream": func(ctx context.Context, a goose.Attempt) error {
					s, err := OpenAI{}.Start(ctx, a)
					if err != nil {
						return err
					}
					_, err = drain(s)
					return err
				},
			} {
				server := &goosetest.Endless{Head: tc.head, Piece: tc.piece, IDHeader: headerRequestID}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				err := run(ctx, attemptAt(serve(t, server.ServeHTTP)))
				cancel()
				if !errors.Is(err, goose.ErrDisconnected) {
					t.Errorf("got error %v from a %s, want goose.ErrDisconnected", err, kind)
				}
				if got := server.Taken(); got > endlessBound {
					t.Errorf("got %d bytes taken by a %s, want at most %d", got, kind, endlessBound)
				}
			}
		})
	}
}
