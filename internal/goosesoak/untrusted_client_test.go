package goosesoak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// untrustedClient is one connection of a client.
type untrustedClient struct {
	conn   *net.TCPConn
	target untrustedTarget
	stop   <-chan struct{}
	// number distinguishes the clients of a crowd.
	number int
}

// clientReceiveBytes is the kernel's buffer for what a client does not read.
const clientReceiveBytes = 16 << 10

func dialUntrusted(target untrustedTarget, stop <-chan struct{}) (*untrustedClient, error) {
	dialer := net.Dialer{Timeout: waitTimeout, Control: setReceiveBuffer}
	conn, err := dialer.Dial("tcp4", target.address)
	if err != nil {
		return nil, err
	}
	return &untrustedClient{conn: conn.(*net.TCPConn), target: target, stop: stop}, nil
}

// waitForEnd waits until the test is over, or, if returns is true, until the instance has closed the
// connection. What it sends is not read otherwise.
func (c *untrustedClient) waitForEnd(returns bool) {
	if !returns {
		<-c.stop
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.conn.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.conn)
	}()
	select {
	case <-c.stop:
		_ = c.conn.Close()
		<-ended
	case <-ended:
	}
}

// write reports whether the bytes were written.
func (c *untrustedClient) write(p []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(p)
	return err == nil
}

func (c *untrustedClient) head(method, path, fields string) bool {
	return c.headWithKey(c.target.key, method, path, fields)
}

func (c *untrustedClient) headWithKey(key, method, path, fields string) bool {
	return c.write(fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: a\r\n%s\r\n", method, path, c.target.host, key, fields))
}

// announced sends a body with a stated length up to the byte sent, in pieces.
func announced(length, sent, piece int) func(*untrustedClient) {
	return func(c *untrustedClient) {
		ok := c.head("POST", c.target.short, fmt.Sprintf("Content-Length: %d\r\n", length))
		for rest := sent; ok && rest > 0; rest -= piece {
			ok = c.write(make([]byte, min(piece, rest)))
		}
	}
}

const (
	// slowPieceBytes and slowPieceInterval are those of bodies at 5 kB/s.
	slowPieceBytes    = 1000
	slowPieceInterval = 200 * time.Millisecond
)

// announcedSlowly sends a body whole, a piece at each interval.
func announcedSlowly(length int) func(*untrustedClient) {
	return func(c *untrustedClient) {
		ok := c.head("POST", c.target.short, fmt.Sprintf("Content-Length: %d\r\n", length))
		for rest := length; ok && rest > 0; rest -= slowPieceBytes {
			ok = c.write(make([]byte, min(slowPieceBytes, rest)))
			select {
			case <-c.stop:
				return
			case <-time.After(slowPieceInterval):
			}
		}
	}
}

// unknownKey sends a body with a key that no workspace has.
func unknownKey(length, sent int) func(*untrustedClient) {
	return func(c *untrustedClient) {
		if c.headWithKey("unknown", "POST", c.target.short, fmt.Sprintf("Content-Length: %d\r\n", length)) {
			c.write(make([]byte, sent))
		}
	}
}

// chunked sends a body in chunks, several with each write, without the last chunk.
func chunked(chunk, sent, chunksPerWrite int) func(*untrustedClient) {
	text := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return func(c *untrustedClient) {
		ok := c.head("POST", c.target.short, "Transfer-Encoding: chunked\r\n")
		for rest := sent / chunk; ok && rest > 0; rest -= chunksPerWrite {
			ok = c.write(bytes.Repeat(text, min(chunksPerWrite, rest)))
		}
	}
}

// chunkedWithoutEnd sends chunks of one byte, each in a segment of its own, until the test ends.
func chunkedWithoutEnd(c *untrustedClient) {
	ok := c.head("POST", c.target.short, "Transfer-Encoding: chunked\r\n")
	for ok {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Millisecond):
			ok = c.write([]byte("1\r\nx\r\n"))
		}
	}
}

// withoutEnd sends text again and again.
func (c *untrustedClient) withoutEnd(text string, pause time.Duration) {
	for c.write([]byte(text)) {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

// chunkExtension sends a chunk whose extension does not end.
func chunkExtension(c *untrustedClient) {
	if c.head("POST", c.target.short, "Transfer-Encoding: chunked\r\n") && c.write([]byte("5;e=")) {
		c.withoutEnd(strings.Repeat("x", 100), 10*time.Millisecond)
	}
}

// trailers sends a body whose trailers do not end.
func trailers(c *untrustedClient) {
	if c.head("POST", c.target.short, "Transfer-Encoding: chunked\r\n") && c.write([]byte("5\r\nhello\r\n0\r\n")) {
		c.withoutEnd("a: b\r\n", 10*time.Millisecond)
	}
}

// headWithoutEnd sends fields of a head.
func headWithoutEnd(c *untrustedClient) {
	if c.write([]byte("POST " + c.target.short + " HTTP/1.1\r\n")) {
		c.withoutEnd("a: b\r\n", 10*time.Millisecond)
	}
}

// unreadResponses sends requests for responses that each fit into the kernel's buffers, and reads
// none.
func unreadResponses(c *untrustedClient) {
	for range 8 {
		c.head("GET", c.target.long+partialSuffix, "")
	}
	<-c.stop
}

// severalKinds sends what one of several kinds of clients sends, chosen by the client's number.
func severalKinds(c *untrustedClient) {
	kinds := []func(*untrustedClient){
		announced(untrustedBodyBytes, untrustedBodyBytes-1, 32<<10),
		chunked(64<<10, untrustedBodyBytes-1, 1),
		chunked(1, untrustedBodyBytes-1, 4096),
		announced(500<<20, 8<<20, 64<<10),
		announcedSlowly(64 << 10),
		unknownKey(untrustedBodyBytes, untrustedBodyBytes-1),
		announced(1000, 999, 1000),
		manyFields(15 << 10),
		func(c *untrustedClient) { c.head("GET", c.target.long, "") },
		trailers,
	}
	kinds[c.number%len(kinds)](c)
}

// manyFields sends a head of many short fields, and a body that stops short.
func manyFields(length int) func(*untrustedClient) {
	var fields strings.Builder
	for n := 0; fields.Len() < length; n++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	return func(c *untrustedClient) {
		c.head("POST", c.target.short, fields.String()+"Content-Length: 2\r\n")
		c.write([]byte("x"))
	}
}

// manyBytes sends a head with one long field, and a body that stops short.
func manyBytes(length int) func(*untrustedClient) {
	return func(c *untrustedClient) {
		c.head("POST", c.target.short, fmt.Sprintf("X-Note: %s\r\nContent-Length: 2\r\n", strings.Repeat("x", length)))
		c.write([]byte("x"))
	}
}

// pipelinedRequests sends requests for long responses one after the other.
func pipelinedRequests(c *untrustedClient) {
	for range 5 {
		c.head("GET", c.target.long, "")
	}
}

// setReceiveBuffer makes the kernel accept little that a client does not read.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBytes)
	})
	return cmp.Or(err, failed)
}
