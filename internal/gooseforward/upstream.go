package gooseforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosedial"
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
	req := f.request()
	countingConn := &goosedial.CountingConn{Conn: u.conn}
	writeDone := make(chan struct{})
	go func() {
		defer close(writeDone)
		w := bufio.NewWriterSize(countingConn, readBufferBytes)
		// A write error needs no handling, since it shows when the response is read.
		if err := req.Write(w); err == nil {
			_ = w.Flush()
		}
	}()
	err := u.readHead(req)
	if err == nil {
		return nil
	}
	_ = u.conn.Close()
	<-writeDone
	if countingConn.Written == 0 {
		return errors.Wrap(goose.ErrNotSent, err.Error())
	}
	return errors.Wrap(goose.ErrDisconnected, err.Error())
}

// readHead reads the head of the response and skips the interim responses before it.
func (u *upstream) readHead(req *http.Request) error {
	reader := bufio.NewReaderSize(u.reader, readBufferBytes)
	for {
		// The method close closes the connection, and with it the body.
		resp, err := http.ReadResponse(reader, req) //nolint:bodyclose
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK {
			u.resp = resp
			return nil
		}
	}
}

// request returns the HTTP request, with the caller's request target unchanged.
func (r outgoingRequest) request() *http.Request {
	req := &http.Request{
		Method: r.method, URL: &url.URL{Opaque: r.uri}, Host: r.host, Header: r.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true,
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	if len(r.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	return req
}

func (u *upstream) close() {
	u.stopContextWatch()
	_ = u.conn.Close()
}
