package gooseentry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var (
	keepAliveComment = []byte(": keep-alive\n\n")
	doneEvent        = []byte("data: [DONE]\n\n")
	dataPrefix       = []byte("data: ")
	eventEnd         = []byte("\n\n")
)

// serveModel handles /v1/chat/completions and /v1/completions.
func (e *Entry) serveModel(c fiber.Ctx, chat bool) error {
	id := e.newRequestID()
	c.Set(headerRequestID, string(id))
	if !e.running.tryAdd() {
		return e.sendRefusal(c, id, nil, *leavingRefusal())
	}
	defer e.running.done()
	req, r := e.readModelRequest(c, id, chat)
	if r != nil {
		if req != nil {
			req.body.release()
		}
		return e.sendRefusal(c, id, req, *r)
	}
	j := e.newJob(req)
	conn := c.RequestCtx().Conn()
	j.start((*job).runModel)
	if req.fields.stream {
		return e.respondStreaming(c, j, conn)
	}
	return e.respondNonStreaming(c, j, conn)
}

func leavingRefusal() *goose.Refusal {
	return newRefusal(goose.CodeLeaving, "draining", "this instance is stopping", time.Second)
}

func (e *Entry) readModelRequest(c fiber.Ctx, id goose.RequestID, chat bool) (*request, *goose.Refusal) {
	req, r := e.readRequest(c, id)
	if r != nil {
		return req, r
	}
	f, err := readModelFields(req.body.bytes(), chat)
	if err != nil {
		return req, badRequestRefusal("%v", err)
	}
	req.fields = f
	req.path = "/v1/completions"
	if chat {
		req.path = "/v1/chat/completions"
	}
	req.promptTokens, req.outputTokens = f.prompt.tokenCount(), f.maxTokens
	req.prefixHashes = f.prompt.blockHashes(req.body.bytes())
	req.subjects.Parts = sharedParts(f.model, req.body.bytes(), f.prompt)
	if r := e.admit(req, goose.KindModel, goose.ServiceName(f.model), c.Get(headerOrderKey)); r != nil {
		return req, r
	}
	return req, req.rewriteBody()
}

// rewriteBody edits the body so that it asks the engine for a stream and names
// the engine's own model.
func (req *request) rewriteBody() *goose.Refusal {
	edits := req.fields.edits(req.service)
	for _, ed := range edits {
		if !req.body.splice(ed.at, ed.replacement) {
			return badRequestRefusal("the model's name is too long")
		}
	}
	return nil
}

// edit replaces a range of a body.
type edit struct {
	at          span
	replacement string
}

// edits returns the edits in order from the end of the body to its start.
// splice moves the bytes in front of a range, so an edit leaves the ranges in
// front of it at their offsets from the body's new start.
func (f modelFields) edits(s goose.ServiceSpec) []edit {
	var out []edit
	if !f.stream && !f.streamSpan.empty() {
		out = append(out, edit{f.streamSpan, "true"})
	}
	if s.Model != "" && s.Model != f.model {
		name, err := json.Marshal(s.Model)
		if err == nil {
			out = append(out, edit{f.modelSpan, string(name)})
		}
	}
	if len(out) == 2 && out[0].at.start < out[1].at.start {
		out[0], out[1] = out[1], out[0]
	}
	if !f.stream && f.streamSpan.empty() {
		out = append(out, edit{span{f.firstMember, f.firstMember}, `"stream":true,`})
	}
	return out
}

// jobEvent is the kind of event that nextEvent returns.
type jobEvent int

const (
	jobEventFrame jobEvent = iota
	jobEventResult
	jobEventProbe
	jobEventHeaderDelay
)

// nextEvent waits for a frame, the result, a tick or the end of the context. If
// the context has ended, it returns the context's refusal as the result. It
// returns a result only after all frames, so that a response that is complete
// just before the deadline is not cut off.
func (j *job) nextEvent(tick, header <-chan time.Time) (jobEvent, goose.Frame, result) {
	select {
	case f := <-j.frames:
		return jobEventFrame, f, result{}
	default:
	}
	select {
	case f := <-j.frames:
		return jobEventFrame, f, result{}
	case res := <-j.result:
		return j.framesBeforeResult(res)
	case <-tick:
		return jobEventProbe, goose.Frame{}, result{}
	case <-header:
		return jobEventHeaderDelay, goose.Frame{}, result{}
	case <-j.ctx.Done():
	}
	select {
	case res := <-j.result:
		return j.framesBeforeResult(res)
	default:
		return jobEventResult, goose.Frame{}, result{refusal: j.contextRefusal()}
	}
}

// framesBeforeResult returns a buffered frame if there is one and puts the
// result back; otherwise it returns the result.
func (j *job) framesBeforeResult(res result) (jobEvent, goose.Frame, result) {
	select {
	case f := <-j.frames:
		j.result <- res
		return jobEventFrame, f, result{}
	default:
		return jobEventResult, goose.Frame{}, res
	}
}

// respondNonStreaming collects the frames and sends them as one response.
func (e *Entry) respondNonStreaming(c fiber.Ctx, j *job, conn net.Conn) error {
	defer j.detachCaller()
	tick := time.NewTicker(e.limits.ProbeInterval)
	defer tick.Stop()
	builder := responseBuilder{id: j.req.id, req: j.req}
	for {
		ev, f, res := j.nextEvent(tick.C, nil)
		switch ev {
		case jobEventFrame:
			builder.addFrame(f)
			continue
		case jobEventProbe:
			if callerDisconnected(conn) {
				j.cancel(errCallerDisconnected)
			}
			continue
		}
		if res.refusal != nil {
			return j.sendRefusal(c, res.refusal)
		}
		if res.response != nil {
			return sendResponse(c, res.response)
		}
		j.flushedTokens.Add(int64(builder.tokens))
		setWriteDeadline(c)
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(builder.encode())
	}
}

// sendRefusal sends the refusal of a model request.
func (j *job) sendRefusal(c fiber.Ctx, r *goose.Refusal) error {
	if j.req.isOrder() {
		return j.entry.sendOrderRefusal(c, j.req.id, j.req.orderKey, j.req, r)
	}
	return j.entry.sendRefusal(c, j.req.id, j.req, *r)
}

// respondStreaming waits for the first token, at most HeaderDelay, before it
// sends status 200. A refusal before that is sent with its own status.
func (e *Entry) respondStreaming(c fiber.Ctx, j *job, conn net.Conn) error {
	header := time.NewTimer(e.limits.HeaderDelay)
	defer header.Stop()
	tick := time.NewTicker(e.limits.ProbeInterval)
	defer tick.Stop()
	for {
		ev, f, res := j.nextEvent(tick.C, header.C)
		switch ev {
		case jobEventProbe:
			if callerDisconnected(conn) {
				j.cancel(errCallerDisconnected)
			}
			continue
		case jobEventFrame:
			return e.beginStream(c, j, conn, &f)
		case jobEventHeaderDelay:
			return e.beginStream(c, j, conn, nil)
		}
		if res.refusal != nil {
			defer j.detachCaller()
			return j.sendRefusal(c, res.refusal)
		}
		if res.response != nil {
			defer j.detachCaller()
			return sendResponse(c, res.response)
		}
		return e.beginStream(c, j, conn, nil)
	}
}

func (e *Entry) beginStream(c fiber.Ctx, j *job, conn net.Conn, first *goose.Frame) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set("X-Accel-Buffering", "no")
	e.running.add()
	s := &streamWriter{entry: e, job: j, conn: conn, firstFrame: first}
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.running.done()
		s.run(w)
	})
}

// streamWriter writes one event stream. It runs concurrently with fasthttp's
// writer and must not use the fiber context.
type streamWriter struct {
	entry      *Entry
	job        *job
	conn       net.Conn
	firstFrame *goose.Frame
	// unflushedTokens counts the tokens that were written but not flushed yet.
	unflushedTokens int
	guard           writeGuard
}

func (s *streamWriter) run(w *bufio.Writer) {
	defer s.job.detachCaller()
	stop := context.AfterFunc(s.job.ctx, s.guard.deadlineFunc(s.conn))
	defer func() {
		stop()
		s.guard.stop()
	}()
	res, err := s.copyFrames(w)
	if err != nil || res.refusal == nil {
		return
	}
	s.entry.recordRefusal(s.job.req.id, s.job.req, *res.refusal)
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(res.refusal.Body())
	_, _ = w.Write(eventEnd)
	_ = w.Flush()
}

// copyFrames writes frames until the job has a result. It returns an error if
// the caller has disconnected.
func (s *streamWriter) copyFrames(w *bufio.Writer) (result, error) {
	if s.firstFrame != nil {
		s.writeFrame(w, *s.firstFrame)
		if err := s.flush(w); err != nil {
			return result{}, err
		}
	}
	tick := time.NewTicker(s.entry.limits.ProbeInterval)
	defer tick.Stop()
	idle := time.Duration(0)
	for {
		ev, f, res := s.job.nextEvent(tick.C, nil)
		switch ev {
		case jobEventFrame:
			idle = 0
			s.writeFrame(w, f)
			s.writeBuffered(w)
			if err := s.flush(w); err != nil {
				return result{}, err
			}
		case jobEventProbe:
			idle += s.entry.limits.ProbeInterval
			if err := s.checkIdle(w, idle); err != nil {
				return result{}, err
			}
			if idle >= s.entry.limits.KeepAliveInterval {
				idle = 0
			}
		case jobEventResult:
			return res, nil
		}
	}
}

// writeBuffered writes the frames that have arrived in the meantime, so that
// they are flushed together.
func (s *streamWriter) writeBuffered(w *bufio.Writer) {
	for range frameBufferSize {
		select {
		case f := <-s.job.frames:
			s.writeFrame(w, f)
		default:
			return
		}
	}
}

func (s *streamWriter) writeFrame(w *bufio.Writer, f goose.Frame) {
	if f.Last {
		_, _ = w.Write(doneEvent)
		return
	}
	_, _ = w.Write(dataPrefix)
	if bytes.IndexByte(f.Data, '\n') >= 0 {
		f.Data = bytes.ReplaceAll(f.Data, []byte("\n"), []byte("\ndata: "))
	}
	_, _ = w.Write(f.Data)
	_, _ = w.Write(eventEnd)
	s.unflushedTokens += f.Tokens
}

func (s *streamWriter) flush(w *bufio.Writer) error {
	if err := w.Flush(); err != nil {
		s.job.cancel(errCallerDisconnected)
		return errCallerDisconnected
	}
	s.job.flushedTokens.Add(int64(s.unflushedTokens))
	s.unflushedTokens = 0
	return nil
}

func (s *streamWriter) checkIdle(w *bufio.Writer, idle time.Duration) error {
	// A caller that closes its sending side at the deadline still reads, so the
	// refusal must be sent.
	if callerDisconnected(s.conn) && s.job.ctx.Err() == nil {
		s.job.cancel(errCallerDisconnected)
		return errCallerDisconnected
	}
	if idle < s.entry.limits.KeepAliveInterval {
		return nil
	}
	_, _ = w.Write(keepAliveComment)
	return s.flush(w)
}

// finalWriteTimeout bounds the writing of the end of a response after the
// request's context has ended.
const finalWriteTimeout = 2 * time.Second

// writeGuard sets a write deadline on the connection once the request's context
// has ended, so that writes to a caller that no longer reads fail. The HTTP
// server does not know of this deadline and leaves it on the connection;
// clearWriteDeadline removes it before the next request.
type writeGuard struct {
	mu      sync.Mutex
	stopped bool
}

func (g *writeGuard) deadlineFunc(conn net.Conn) func() {
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stopped || conn == nil {
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	}
}

// clearWriteDeadline removes the write deadline that the previous request on
// the connection may have left.
func clearWriteDeadline(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().SetWriteDeadline(time.Time{})
	return c.Next()
}

func (g *writeGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}
