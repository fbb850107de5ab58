package gooseforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// endlessBoundBytes is far above the size of the buffers of a connection.
const endlessBoundBytes = 48 << 20

// Guards against replicas that send bytes without end that never form a complete response:
// the memory would grow until the process is killed, and callers would wait forever.
func TestEndlessBytes(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nID\r\n"
	tests := map[string]struct {
		head, piece string
		// streamOnly is set if only a stream reads such bytes.
		streamOnly bool
	}{
		"status line":             {piece: "x"},
		"status line of spaces":   {head: "HTTP/1.1 200 ", piece: " "},
		"header lines":            {head: ok, piece: "X-More: more\r\n"},
		"one header line":         {head: ok + "X-More: ", piece: "x"},
		"folded header line":      {head: ok + "X-More: x\r\n", piece: " x\r\n"},
		"interim responses":       {piece: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"},
		"continue responses":      {piece: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without a length":   {head: ok + "\r\n", piece: "x"},
		"body of a huge length":   {head: ok + "Content-Length: 9000000000000000000\r\n\r\n", piece: "x"},
		"chunks":                  {head: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n"},
		"one chunk size":          {head: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: "0"},
		"extension of a chunk":    {head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", piece: "x"},
		"trailer":                 {head: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "X-More: more\r\n"},
		"body of a refusal":       {head: "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nID\r\n\r\n", piece: "x"},
		"body of a failure":       {head: "HTTP/1.1 500 Internal Server Error\r\nID\r\n\r\n", piece: "x"},
		"line of an event":        {head: ok + "\r\n", piece: "data", streamOnly: true},
		"lines of an event":       {head: ok + "\r\n", piece: "data: x\n", streamOnly: true},
		"blank lines":             {head: ok + "\r\n", piece: "\n", streamOnly: true},
		"blank lines with spaces": {head: ok + "\r\n", piece: " \n", streamOnly: true},
		"events with one id":      {head: ok + "\r\n", piece: "id: 1\n\n", streamOnly: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			paths := map[string]int{"/look/x": http.StatusOK, "/order/x": http.StatusBadGateway}
			if tc.streamOnly {
				paths = map[string]int{"/stream/x": http.StatusOK}
			}
			for path, want := range paths {
				first := &goosetest.Endless{Head: tc.head, Piece: tc.piece, IDHeader: "X-Attempt-Id"}
				second := http.HandlerFunc(succeed)
				if tc.streamOnly {
					second = events(1, 3, false)
				}
				h := newHarness(t, first.ServeHTTP, second)
				got := h.post(path, "body")
				declined := strings.Contains(tc.head, "X-Not-Executed") && path == "/order/x" && got.status == http.StatusOK
				if got.status != want && !declined {
					t.Errorf("got status %d, body %.60q at %s, want %d", got.status, got.body, path, want)
				}
				if tc.streamOnly && got.body != eventText(3) && name != "events with one id" {
					t.Errorf("got body %.80q, want the events of the second replica", got.body)
				}
				if got := first.Taken(); got > endlessBoundBytes {
					t.Errorf("got %d bytes taken at %s, want at most %d", got, path, endlessBoundBytes)
				}
			}
		})
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against concurrent long responses that take more memory than the machine has,
// and against response memory that is not released.
func TestResponseMemory(t *testing.T) {
	t.Parallel()
	b := newResponseMemory(1<<30, goosetransfer.New())
	// Responses do not wait for memory.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	long := func() io.Reader { return &boundedReader{r: zeros{}, remaining: maxResponseBytes} }
	total, held, failed := 0, int64(0), 0
	for range 2 * maxResponseMemoryBytes / maxResponseBytes {
		body, h, err := b.readAll(ctx, long(), -1)
		if !errors.Is(err, errResponseTooLong) {
			t.Fatalf("got error %v, want errResponseTooLong", err)
		}
		if len(body) < maxResponseBytes {
			failed++
		}
		total, held = total+len(body), held+h
	}
	if total > maxResponseMemoryBytes+2*maxResponseMemoryBytes/maxResponseBytes*(responseMemoryUnitBytes+maxResponseBytes/4) || failed == 0 {
		t.Errorf("got %d bytes held, %d responses ended early, want at most %d bytes", total, failed, maxResponseMemoryBytes)
	}
	if _, _, err := b.readAll(ctx, strings.NewReader("done"), -1); err != nil {
		t.Errorf("got error %v for a short response while long ones hold memory, want none", err)
	}
	b.release(held)
	if got := b.Free(); got != maxResponseMemoryBytes {
		t.Errorf("got %d bytes remaining after all responses, want %d", got, maxResponseMemoryBytes)
	}
}
