package gooseforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosedial"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseresponse"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// connectTimeout is far above a round trip between data centres. A replica whose accept
	// queue is full does not respond for seconds.
	connectTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged before the connection counts
	// as lost.
	ackTimeout = 1500 * time.Millisecond
	// readBufferBytes also bounds the bytes that are read ahead of an event.
	readBufferBytes = 8 << 10
	// maxResponseHeadBytes bounds the head of a response, including the interim responses
	// before it.
	maxResponseHeadBytes = 64 << 10
)

// dialer opens the connections to replicas.
var dialer = goosedial.New(connectTimeout, ackTimeout)

// outgoingRequest is a request in the form that is sent to a replica.
type outgoingRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// upstream is one request and its response on a connection that is used only once. So the
// rest of another response cannot be taken for this one, and no request is sent twice.
type upstream struct {
	conn net.Conn
	// reader bounds what is read from conn.
	reader           *boundedReader
	resp             *http.Response
	write            *goosedial.RequestWrite
	stopContextWatch func() bool
}

// send connects, writes the request and reads the header of its response. Errors are
// goose.ErrNotSent if no byte was sent, otherwise goose.ErrDisconnected. The end of
// ctx breaks the connection.
func send(ctx context.Context, address string, f outgoingRequest) (*upstream, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(goose.ErrNotSent, err.Error())
	}
	u := &upstream{conn: conn, reader: &boundedReader{r: conn, remaining: maxResponseHeadBytes}}
	u.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := u.roundTrip(f); err != nil {
		u.close()
		return nil, err
	}
	return u, nil
}

// roundTrip writes the request while it reads the head of the response, since a replica
// may respond before it has read a long body.
func (u *upstream) roundTrip(f outgoingRequest) error {
	u.write = goosedial.BeginWrite(u.conn, func(w io.Writer) error {
		b := bufio.NewWriterSize(w, readBufferBytes)
		if err := f.write(b); err != nil {
			return err
		}
		return errors.WithStack(b.Flush())
	})
	err := u.readHead(f.method)
	if err == nil {
		if !isFramed(u.resp) {
			u.resp.Body = &connectionBody{ReadCloser: u.resp.Body, write: u.write}
		}
		return nil
	}
	_ = u.conn.Close()
	if u.write.NothingSent() {
		return errors.Wrap(goose.ErrNotSent, err.Error())
	}
	return errors.Wrap(goose.ErrDisconnected, err.Error())
}

// readHead reads the head of the response and skips the interim responses before it.
func (u *upstream) readHead(method string) error {
	checked := gooseresponse.NewReader(u.reader)
	head, err := checked.ReadHead(maxResponseHeadBytes)
	if err != nil {
		return err
	}
	// The method close closes the connection, and with it the body.
	resp, err := http.ReadResponse(bufio.NewReaderSize(checked, readBufferBytes), &http.Request{Method: method}) //nolint:bodyclose
	if err != nil {
		return err
	}
	// What the replica calls a header of this connection is none of the response, the stamp
	// included: a success without it is refused here, and not by the caller.
	for _, name := range head.ConnectionHeaders {
		resp.Header.Del(name)
	}
	u.resp = resp
	return nil
}

// headersOfConnection are written by outgoingRequest.write itself.
var headersOfConnection = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true,
}

// write writes the request with the caller's request target unchanged. http.Request.Write
// changes targets that begin with two slashes.
func (r outgoingRequest) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", r.method, r.uri, r.host); err != nil {
		return errors.WithStack(err)
	}
	if err := r.header.WriteSubset(w, headersOfConnection); err != nil {
		return errors.WithStack(err)
	}
	if len(r.body) > 0 || r.method != http.MethodGet && r.method != http.MethodHead {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.body)); err != nil {
			return errors.WithStack(err)
		}
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return errors.WithStack(err)
	}
	_, err := w.Write(r.body)
	return errors.WithStack(err)
}

func (u *upstream) close() {
	u.stopContextWatch()
	_ = u.conn.Close()
}
