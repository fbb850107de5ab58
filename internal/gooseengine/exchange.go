// Package gooseengine contains the clients for backend servers: the engine protocol
// (`openai`) and plain HTTP services (`http`). Each request uses its own connection and is
// written at most once; this package never retries it. Requests for load reports have no
// side effects: they share a connection and are retried once if that connection has ended.
package gooseengine

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/internal/goosedial"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseresponse"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// connectTimeout is far above a round trip between data centres.
	connectTimeout = time.Second
	// controlTimeout bounds calls that run no model or service, such as load reports.
	controlTimeout = 2 * time.Second
	// maxErrorBodyBytes bounds how much of the body of an error response is read.
	maxErrorBodyBytes = 64 << 10
	// maxReportBytes bounds a load report. Engines list thousands of other metrics in it.
	maxReportBytes = 4 << 20
	// maxResponseBytes bounds the response of a plain service, which is held in memory.
	maxResponseBytes = 32 << 20
	// contentLengthChunked is what fasthttp returns as the length of a response with chunks.
	contentLengthChunked = -1
	// readBufferBytes also bounds the header of the response.
	readBufferBytes = 16 << 10
)

// keepAlive detects within about 5 s that a backend server is disconnected. A backend
// server may send nothing for a long time, so that a stream would otherwise hang until its
// deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// failure is an error of a known kind with its cause; errors.Is matches both.
type failure struct {
	kind  error
	cause error
}

func (f *failure) Error() string        { return f.kind.Error() + ": " + f.cause.Error() }
func (f *failure) Is(target error) bool { return target == f.kind }
func (f *failure) Unwrap() error        { return f.cause }

func notSent(cause error) error { return &failure{kind: goose.ErrNotSent, cause: cause} }

// disconnected never wraps io.EOF, which marks the end of a complete response.
func disconnected(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return &failure{kind: goose.ErrDisconnected, cause: cause}
}

// exchange is one request and its response on a connection of their own. Only load reports
// share a connection.
type exchange struct {
	conn net.Conn
	// checked checks the heads of the responses that reader reads.
	checked *gooseresponse.Reader
	// reader is kept after a response, since a verified connection carries two responses.
	reader *bufio.Reader
	resp   *fasthttp.Response
	// write is nil before the request is sent. The request for a load report is short and is
	// written before its response is read.
	write *goosedial.RequestWrite
	// stopContextWatch prevents the end of the context from breaking the connection.
	stopContextWatch func() bool
	ctx              context.Context
}

// open connects, runs check, writes the request and reads the header of the response.
// Errors are goose.ErrNotSent or goose.ErrDisconnected.
func open(ctx context.Context, address string, check func() error, fill func(*fasthttp.Request)) (*exchange, error) {
	x, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := x.send(address, check, fill); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

// openVerified is like open, but first verifies that the connection leads to the given
// process. A restart of the process breaks its connections, so a request on a verified
// connection cannot reach another process.
func openVerified(ctx context.Context, address, process string, check func() error, fill func(*fasthttp.Request)) (*exchange, error) {
	x, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if process != "" {
		if err := x.verify(address, process); err != nil {
			x.close()
			return nil, err
		}
	}
	if err := x.send(address, check, fill); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func connect(ctx context.Context, address string) (*exchange, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: goosedial.BoundReceiveBuffer}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, notSent(err)
	}
	checked := gooseresponse.NewReader(raw)
	x := &exchange{
		conn: raw, checked: checked, reader: bufio.NewReaderSize(checked, readBufferBytes),
		resp: &fasthttp.Response{StreamBody: true},
	}
	x.watchContext(ctx)
	return x, nil
}

// watchContext breaks the connection when ctx ends.
func (x *exchange) watchContext(ctx context.Context) {
	x.ctx = ctx
	x.stopContextWatch = context.AfterFunc(ctx, func() { _ = x.conn.SetDeadline(time.Unix(1, 0)) })
}

// verify fetches the load report to check which process is at the other end of the
// connection. It fails for an engine that does not name its process or closes the
// connection after each response: the request could reach a restarted process, whose cold
// limit might then be exceeded.
func (x *exchange) verify(address, process string) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := x.fetchReport(address, resp); err != nil {
		return notSent(x.causeOf(err))
	}
	got, cold := string(resp.Header.Peek(headerProcessID)), string(resp.Header.Peek(headerCold)) == "true"
	if got == "" {
		report, err := parseLoad(resp.Body())
		if err != nil {
			return notSent(err)
		}
		got, cold = report.Process, report.Cold
	}
	if got != process {
		return &goose.ProcessChangedError{Process: got, Cold: cold}
	}
	if resp.ConnectionClose() {
		return notSent(errors.New("backend server closes the connection after its load report"))
	}
	if x.hasUnreadData() {
		return notSent(errors.New("backend server sent more than its load report"))
	}
	return nil
}

// fetchReport requests the load report; the connection stays open.
func (x *exchange) fetchReport(address string, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.SetRequestURI("/metrics")
	req.Header.SetHost(address)
	if err := writeRequest(x.conn, req); err != nil {
		return err
	}
	return x.readResponse(resp, maxReportBytes)
}

// readResponse reads a response; maxBodyBytes is zero for one whose body is read later.
func (x *exchange) readResponse(resp *fasthttp.Response, maxBodyBytes int) error {
	if _, err := x.checked.ReadHead(readBufferBytes); err != nil {
		return err
	}
	return resp.ReadLimitBody(x.reader, maxBodyBytes)
}

// hasUnreadData reports whether bytes have arrived that belong to no response. They would be
// taken for the next one.
func (x *exchange) hasUnreadData() bool {
	return x.reader.Buffered() > 0 || x.checked.Buffered() > 0 || goosedial.HasPendingData(x.conn)
}

func (x *exchange) send(address string, check func() error, fill func(*fasthttp.Request)) error {
	req := fasthttp.AcquireRequest()
	fill(req)
	req.Header.SetHost(address)
	req.Header.SetConnectionClose()
	x.resp.SkipBody = req.Header.IsHead()
	if err := x.mayWrite(check); err != nil {
		fasthttp.ReleaseRequest(req)
		return notSent(err)
	}
	// A backend server may respond, and even close, before it has read the whole body.
	x.write = goosedial.BeginWrite(x.conn, func(w io.Writer) error {
		defer fasthttp.ReleaseRequest(req)
		return writeRequest(w, req)
	})
	if x.write.NothingSent() {
		return notSent(x.causeOf(x.write.End()))
	}
	if err := x.readResponse(x.resp, 0); err != nil {
		return disconnected(x.causeOf(err))
	}
	return nil
}

// mayWrite returns an error if the request must not be sent.
func (x *exchange) mayWrite(check func() error) error {
	if err := x.ctx.Err(); err != nil {
		return x.causeOf(err)
	}
	if check == nil {
		return nil
	}
	return check()
}

func writeRequest(w io.Writer, req *fasthttp.Request) error {
	bw := bufio.NewWriterSize(w, 4<<10)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// causeOf returns the cause of the context's end if it has ended, since it led to the I/O
// error err.
func (x *exchange) causeOf(err error) error {
	if c := context.Cause(x.ctx); c != nil {
		return c
	}
	return err
}

// body reads the complete body of the response, which may have at most limit bytes. A body
// without a length or chunks is complete when the connection is closed, but not when it is
// reset. The kernel reports a reset to one call only: if the write of the request received it,
// the read sees an ordinary end of the connection.
func (x *exchange) body(limit int) ([]byte, error) {
	if x.resp.SkipBody || x.resp.BodyStream() == nil {
		return nil, nil
	}
	length := x.resp.Header.ContentLength()
	if length > limit {
		return nil, disconnected(errors.Errorf("response of %d bytes exceeds the limit of %d", length, limit))
	}
	b, err := io.ReadAll(io.LimitReader(x.resp.BodyStream(), int64(limit)+1))
	switch {
	case err != nil:
		return nil, disconnected(x.causeOf(err))
	case len(b) > limit:
		return nil, disconnected(errors.Errorf("response exceeds %d bytes", limit))
	case length >= 0 && len(b) < length:
		return nil, disconnected(io.ErrUnexpectedEOF)
	case length < 0 && !x.isChunked():
		if err := x.write.End(); err != nil {
			return nil, disconnected(x.causeOf(err))
		}
	}
	return b, nil
}

// isChunked reports whether the body of the response has chunks.
func (x *exchange) isChunked() bool { return x.resp.Header.ContentLength() == contentLengthChunked }

// statusError reads the body of an error response and returns it as a goose.StatusError.
func (x *exchange) statusError() error {
	var b []byte
	if r := x.resp.BodyStream(); r != nil {
		b, _ = io.ReadAll(io.LimitReader(r, maxErrorBodyBytes))
	}
	return &goose.StatusError{Status: x.resp.StatusCode(), Body: string(b), Wish: wishOf(x.resp)}
}

// wishOf returns what the head of a response says about further requests.
func wishOf(resp *fasthttp.Response) goose.Wish {
	var pauses []string
	for _, v := range resp.Header.PeekAll(fasthttp.HeaderRetryAfter) {
		pauses = append(pauses, string(v))
	}
	return goose.Wish{
		Leaving: string(resp.Header.Peek(headerLeaving)) == "1",
		Pause:   goose.ParsePause(resp.StatusCode(), pauses),
	}
}

func (x *exchange) header(name string) string { return string(x.resp.Header.Peek(name)) }

// namesOtherAttempt reports whether the response names another attempt than id, also beside id.
func (x *exchange) namesOtherAttempt(id goose.AttemptID) bool {
	for _, got := range x.resp.Header.PeekAll(headerRequestID) {
		if len(got) > 0 && string(got) != string(id) {
			return true
		}
	}
	return false
}

// close breaks the connection, and waits until the body of the request is not read any more.
func (x *exchange) close() {
	x.stopContextWatch()
	_ = x.conn.Close()
	if x.write != nil {
		x.write.Wait()
	}
}

// controlCall runs a small call and returns the body of the response. Statuses outside 200
// to 299 are returned as a goose.StatusError.
func controlCall(ctx context.Context, address, method, path string) ([]byte, error) {
	return checkedControlCall(ctx, address, method, path, nil, nil)
}

// checkedControlCall is like controlCall, but runs check immediately before the first
// byte is sent.
func checkedControlCall(ctx context.Context, address, method, path string, body []byte, check func() error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	x, err := open(ctx, address, check, func(r *fasthttp.Request) {
		r.Header.SetMethod(method)
		r.Header.SetRequestURI(path)
		if body != nil {
			r.Header.SetContentType("application/json")
			r.SetBodyRaw(body)
		}
	})
	if err != nil {
		return nil, err
	}
	defer x.close()
	if s := x.resp.StatusCode(); s < 200 || s > 299 {
		return nil, x.statusError()
	}
	return x.body(maxResponseBytes)
}
