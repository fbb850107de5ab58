package goosebody

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

// countedConn counts what is read from a text, as a connection does.
type countedConn struct {
	io.Reader
	received int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.received += int64(n)
	return n, err
}

// SetReceiveBuffer implements goose.CallerConn.
func (c *countedConn) SetReceiveBuffer(int64) error { return nil }

// ReceivedBytes implements goose.CallerConn.
func (c *countedConn) ReceivedBytes() int64 { return c.received }

// Guards against bodies in very small chunks, each of which costs as much as a large one, and against
// bodies in ordinary chunks that are refused. The load pattern is chunks of one byte at full speed.
func TestChunkOverhead(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		chunk, length int
		want          error
	}{
		"one-byte chunks":            {1, 1 << 20, ErrChunkOverhead},
		"one-byte chunks, few":       {1, 10_000, nil},
		"five-byte chunks":           {5, 1 << 20, nil},
		"chunks of a kilobyte":       {1 << 10, 4 << 20, nil},
		"one chunk":                  {1 << 20, 1 << 20, nil},
		"three-byte chunks, endless": {3, 16 << 20, ErrChunkOverhead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", tc.chunk, strings.Repeat("x", tc.chunk)), tc.length/tc.chunk)
			conn := &countedConn{Reader: strings.NewReader(text + "0\r\n\r\n")}
			n, err := io.Copy(io.Discard, New(httputil.NewChunkedReader(conn), -1, conn))
			if !errors.Is(err, tc.want) {
				t.Errorf("got error %v after %d bytes, want %v", err, n, tc.want)
			}
			if whole := int64(tc.length / tc.chunk * tc.chunk); tc.want == nil && n != whole {
				t.Errorf("got %d bytes, want %d", n, whole)
			}
		})
	}
}
