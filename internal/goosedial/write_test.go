package goosedial

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// Guards against a request that counts as written although the connection ended within it, or as
// not sent although the other side may have a part of it.
func TestRequestWrite(t *testing.T) {
	t.Parallel()
	// long is far above the socket buffers of both ends.
	const long = 16 << 20
	failed := errors.New("failed")
	tests := map[string]struct {
		// prepare runs before the write, and meanwhile beside it.
		prepare, meanwhile   func(client, server *net.TCPConn)
		write                func(w io.Writer) error
		nothingSent, written bool
	}{
		"short": {write: writeBytes(10), written: true},
		"read":  {write: writeBytes(long), meanwhile: func(_, s *net.TCPConn) { _, _ = io.CopyN(io.Discard, s, long) }, written: true},
		"not read": {write: writeBytes(long), meanwhile: func(*net.TCPConn, *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
		}},
		"reset": {write: writeBytes(long), meanwhile: func(_, s *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, s, 10)
			_ = s.SetLinger(0)
			_ = s.Close()
		}},
		"closed before":  {prepare: func(c, _ *net.TCPConn) { _ = c.Close() }, write: writeBytes(10), nothingSent: true},
		"fails at first": {write: func(io.Writer) error { return failed }, nothingSent: true},
		"fails later": {write: func(w io.Writer) error {
			_ = writeBytes(10)(w)
			return failed
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connPair(t)
			if tc.prepare != nil {
				tc.prepare(client, server)
			}
			w := BeginWrite(client, tc.write)
			if got := w.NothingSent(); got != tc.nothingSent {
				t.Errorf("got nothing sent %t, want %t", got, tc.nothingSent)
			}
			if tc.meanwhile != nil {
				tc.meanwhile(client, server)
			}
			if err := w.End(); (err == nil) != tc.written || err != nil && !errors.Is(err, ErrRequestCut) {
				t.Errorf("got error %v, want written %t", err, tc.written)
			}
			_ = client.Close()
			w.Wait()
		})
	}
}

func writeBytes(n int) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(make([]byte, n))
		return err
	}
}
