// Package goosecallertest sends requests over plain connections, in the forms that callers use:
// on new and on kept connections, with bodies of known length and in chunks, at once and in
// pieces with pauses.
package goosecallertest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// maxPieces is the number of pieces in which a request is sent slowly.
	maxPieces = 6
	// MaxSlowTime is how long a slow request takes to send.
	MaxSlowTime = 2800 * time.Millisecond
)

// Request is a request in the form in which it is sent.
type Request struct {
	Method, Path, Host, Body string
	Header                   map[string]string
	// Chunked is true if the body is sent in chunks, Slow if the request is sent in pieces.
	Chunked, Slow bool
	// Timeout is how long the caller waits for the response.
	Timeout time.Duration
}

// Response is what a caller has received.
type Response struct {
	// Status is zero if no head of a response has arrived.
	Status int
	Header http.Header
	Body   string
	// Err is nil if the response is complete.
	Err error
	// StartedAt is when the caller began to send, and SentAt when it had sent the last byte; it
	// is zero if the connection ended before. EndedAt is when the response ended.
	StartedAt, SentAt, EndedAt time.Time
	// Reusable is true if a further request may be sent on the connection.
	Reusable bool
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	random *rand.Rand
}

// Dial opens a connection.
func Dial(address string, random *rand.Rand) (*Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn), random: random}, nil
}

// Exchange sends a request and reads its response, which may arrive while the request is still
// being sent.
func (c *Conn) Exchange(r Request) Response {
	resp := Response{StartedAt: time.Now()}
	_ = c.SetDeadline(resp.StartedAt.Add(r.Timeout))
	pieces := r.pieces(c.random)
	sent := make(chan time.Time, 1)
	go func() { sent <- c.write(pieces) }()
	c.read(&resp)
	resp.EndedAt = time.Now()
	if !resp.Reusable {
		_ = c.Close()
	}
	resp.SentAt = <-sent
	return resp
}

func (c *Conn) read(resp *Response) {
	head, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		resp.Err = err
		return
	}
	defer head.Body.Close()
	resp.Status, resp.Header = head.StatusCode, head.Header
	body, err := io.ReadAll(head.Body)
	resp.Body, resp.Err, resp.Reusable = string(body), err, err == nil && !head.Close
}

// write sends the pieces with pauses and returns when the last one was sent.
func (c *Conn) write(pieces []string) time.Time {
	for n, piece := range pieces {
		if n > 0 {
			time.Sleep(rand.N(MaxSlowTime / maxPieces))
		}
		if _, err := io.WriteString(c.Conn, piece); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// pieces returns the bytes of the request in the pieces in which they are sent.
func (r Request) pieces(random *rand.Rand) []string {
	text := r.text()
	if !r.Slow {
		return []string{text}
	}
	var pieces []string
	for len(pieces) < maxPieces-1 && len(text) > 1 {
		n := 1 + random.IntN(len(text)-1)
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return append(pieces, text)
}

func (r Request) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	for name, value := range r.Header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if !r.Chunked {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
		return text.String()
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	half := len(r.Body) / 2
	for _, chunk := range []string{r.Body[:half], r.Body[half:]} {
		if chunk != "" {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

// crossingTime is the time after the last byte of a request in which the end of an idle
// connection may cross it.
const crossingTime = 200 * time.Millisecond

// Crossed reports whether a response without any byte shows that its request, on a kept
// connection, was still on its way when the connection ended.
func (r Response) Crossed() bool {
	return r.Status == 0 && (r.SentAt.IsZero() || r.EndedAt.Sub(r.SentAt) <= crossingTime)
}
