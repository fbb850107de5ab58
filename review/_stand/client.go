package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// nextAttempt returns a new attempt id.
func nextAttempt() string { return fmt.Sprintf("a%08x", lastAttempt.Add(1)) }

// answer is what a caller has got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// caller is a consumer with one kept channel to a machine.
type caller struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
	// bytesPerSecond bounds the rate at which bodies are sent; zero means no bound.
	bytesPerSecond int
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads the whole answer.
func (c *caller) send(method, target, attempt, body string, limit time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, target, host, attempt, limit.Milliseconds(), key)
	if body != "" || method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if err := c.write(head+"\r\n", body); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// write sends the head and the body of a request, the body not faster than it may.
func (c *caller) write(head, body string) error {
	const piece = 16 << 10
	if c.bytesPerSecond == 0 {
		_, err := io.WriteString(c.conn, head+body)
		return err
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	start := time.Now()
	for sent := 0; sent < len(body); {
		n := min(piece, len(body)-sent)
		if _, err := io.WriteString(c.conn, body[sent:sent+n]); err != nil {
			return err
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(c.bytesPerSecond) * float64(time.Second)))))
	}
	return nil
}
