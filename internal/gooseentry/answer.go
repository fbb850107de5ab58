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

// serveModel answers /v1/chat/completions and /v1/completions.
func (e *Entry) serveModel(c fiber.Ctx, chat bool) error {
	id := e.newRequestID()
	c.Set(headerRequest, string(id))
	if !e.running.enter() {
		return e.refuse(c, id, nil, *leaving())
	}
	defer e.running.leave()
	q, r := e.modelRequest(c, id, chat)
	if r != nil {
		if q != nil {
			q.body.release()
		}
		return e.refuse(c, id, q, *r)
	}
	j := e.newJob(q)
	conn := c.RequestCtx().Conn()
	j.start((*job).runModel)
	if q.fields.stream {
		return e.answerStreamed(c, j, conn)
	}
	return e.answerWhole(c, j, conn)
}

func leaving() *goose.Refusal {
	return refusal(goose.CodeLeaving, "draining", "this instance is stopping", time.Second)
}

func (e *Entry) modelRequest(c fiber.Ctx, id goose.RequestID, chat bool) (*request, *goose.Refusal) {
	q, r := e.begin(c, id)
	if r != nil {
		return q, r
	}
	f, err := readModelFields(q.body.bytes(), chat)
	if err != nil {
		return q, badRequest("%v", err)
	}
	q.fields = f
	q.path = "/v1/completions"
	if chat {
		q.path = "/v1/chat/completions"
	}
	q.promptTokens, q.outputTokens = f.prompt.tokens(), f.maxTokens
	q.prefix = f.prompt.hashes(q.body.bytes())
	if r := e.admit(q, goose.KindModel, goose.ServiceName(f.model), c.Get(headerOrderKey)); r != nil {
		return q, r
	}
	return q, q.rewrite()
}

// rewrite makes the body ask the engine for a stream of its own model.
func (q *request) rewrite() *goose.Refusal {
	edits := q.fields.edits(q.service)
	for _, ed := range edits {
		if !q.body.splice(ed.at, ed.with) {
			return badRequest("the model's name is too long")
		}
	}
	return nil
}

// edit replaces a range of a body.
type edit struct {
	at   span
	with string
}

// edits are ordered from the end of the body, so that each leaves the ranges of
// the following ones where they were relative to the end; see splice.
func (f modelFields) edits(s goose.ServiceSpec) []edit {
	var out []edit
	if !f.stream && !f.streamAt.empty() {
		out = append(out, edit{f.streamAt, "true"})
	}
	if s.Model != "" && s.Model != f.model {
		name, err := json.Marshal(s.Model)
		if err == nil {
			out = append(out, edit{f.modelAt, string(name)})
		}
	}
	if len(out) == 2 && out[0].at.start < out[1].at.start {
		out[0], out[1] = out[1], out[0]
	}
	if !f.stream && f.streamAt.empty() {
		out = append(out, edit{span{f.first, f.first}, `"stream":true,`})
	}
	return out
}

// wait is what the caller's side saw next.
type wait int

const (
	waitFrame wait = iota
	waitResult
	waitTick
	waitHeader
)

// next waits for a frame, the result, a tick or the end of the context, which
// has a refusal as its result. A result is returned only once all frames have
// been, so that an answer that is whole just in time is not cut.
func (j *job) next(tick, header <-chan time.Time) (wait, goose.Frame, result) {
	select {
	case f := <-j.frames:
		return waitFrame, f, result{}
	default:
	}
	select {
	case f := <-j.frames:
		return waitFrame, f, result{}
	case res := <-j.result:
		return j.framesFirst(res)
	case <-tick:
		return waitTick, goose.Frame{}, result{}
	case <-header:
		return waitHeader, goose.Frame{}, result{}
	case <-j.ctx.Done():
	}
	select {
	case res := <-j.result:
		return j.framesFirst(res)
	default:
		return waitResult, goose.Frame{}, result{refusal: j.ended()}
	}
}

// framesFirst keeps a result back while there are frames.
func (j *job) framesFirst(res result) (wait, goose.Frame, result) {
	select {
	case f := <-j.frames:
		j.result <- res
		return waitFrame, f, result{}
	default:
		return waitResult, goose.Frame{}, res
	}
}

// answerWhole collects the answer and sends it in one piece.
func (e *Entry) answerWhole(c fiber.Ctx, j *job, conn net.Conn) error {
	defer j.leave()
	tick := time.NewTicker(e.limits.Probe)
	defer tick.Stop()
	all := collector{id: j.q.id, q: j.q}
	for {
		w, f, res := j.next(tick.C, nil)
		switch w {
		case waitFrame:
			all.add(f)
			continue
		case waitTick:
			if gone(conn) {
				j.cancel(errCallerGone)
			}
			continue
		}
		if res.refusal != nil {
			return j.refuse(c, res.refusal)
		}
		if res.answer != nil {
			return sendAnswer(c, res.answer)
		}
		j.flushed.Add(int64(all.tokens))
		boundWrite(c)
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(all.render())
	}
}

// refuse sends the refusal of a model request.
func (j *job) refuse(c fiber.Ctx, r *goose.Refusal) error {
	if j.q.order() {
		return j.e.refuseOrder(c, j.q.id, j.q.orderKey, j.q, r)
	}
	return j.e.refuse(c, j.q.id, j.q, *r)
}

// answerStreamed waits for the first token, or HeaderDelay, before it commits
// to status 200, so that refusals before that keep their own status.
func (e *Entry) answerStreamed(c fiber.Ctx, j *job, conn net.Conn) error {
	header := time.NewTimer(e.limits.HeaderDelay)
	defer header.Stop()
	tick := time.NewTicker(e.limits.Probe)
	defer tick.Stop()
	for {
		w, f, res := j.next(tick.C, header.C)
		switch w {
		case waitTick:
			if gone(conn) {
				j.cancel(errCallerGone)
			}
			continue
		case waitFrame:
			return e.beginStream(c, j, conn, &f)
		case waitHeader:
			return e.beginStream(c, j, conn, nil)
		}
		if res.refusal != nil {
			defer j.leave()
			return j.refuse(c, res.refusal)
		}
		if res.answer != nil {
			defer j.leave()
			return sendAnswer(c, res.answer)
		}
		return e.beginStream(c, j, conn, nil)
	}
}

func (e *Entry) beginStream(c fiber.Ctx, j *job, conn net.Conn, first *goose.Frame) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set("X-Accel-Buffering", "no")
	e.running.add()
	s := &streamer{e: e, j: j, conn: conn, first: first}
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.running.leave()
		s.run(w)
	})
}

// streamer writes one event stream. It runs beside fasthttp's writer and must
// not touch the fiber context.
type streamer struct {
	e     *Entry
	j     *job
	conn  net.Conn
	first *goose.Frame
	// pending are tokens written but not flushed yet.
	pending int
	guard   writeGuard
}

func (s *streamer) run(w *bufio.Writer) {
	defer s.j.leave()
	stop := context.AfterFunc(s.j.ctx, s.guard.expire(s.conn))
	defer func() {
		stop()
		s.guard.end()
	}()
	res, err := s.copy(w)
	if err != nil || res.refusal == nil {
		return
	}
	s.e.noteRefusal(s.j.q.id, s.j.q, *res.refusal)
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(res.refusal.Body())
	_, _ = w.Write(eventEnd)
	_ = w.Flush()
}

// copy returns an error if the caller is gone.
func (s *streamer) copy(w *bufio.Writer) (result, error) {
	if s.first != nil {
		s.write(w, *s.first)
		if err := s.flush(w); err != nil {
			return result{}, err
		}
	}
	tick := time.NewTicker(s.e.limits.Probe)
	defer tick.Stop()
	idle := time.Duration(0)
	for {
		wt, f, res := s.j.next(tick.C, nil)
		switch wt {
		case waitFrame:
			idle = 0
			s.write(w, f)
			s.more(w)
			if err := s.flush(w); err != nil {
				return result{}, err
			}
		case waitTick:
			idle += s.e.limits.Probe
			if err := s.idle(w, idle); err != nil {
				return result{}, err
			}
			if idle >= s.e.limits.KeepAlive {
				idle = 0
			}
		case waitResult:
			return res, nil
		}
	}
}

// more writes the frames that have arrived meanwhile, to flush them together.
func (s *streamer) more(w *bufio.Writer) {
	for range frameBuffer {
		select {
		case f := <-s.j.frames:
			s.write(w, f)
		default:
			return
		}
	}
}

func (s *streamer) write(w *bufio.Writer, f goose.Frame) {
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
	s.pending += f.Tokens
}

func (s *streamer) flush(w *bufio.Writer) error {
	if err := w.Flush(); err != nil {
		s.j.cancel(errCallerGone)
		return errCallerGone
	}
	s.j.flushed.Add(int64(s.pending))
	s.pending = 0
	return nil
}

func (s *streamer) idle(w *bufio.Writer, idle time.Duration) error {
	// A caller that closes its sending side at the deadline still reads: the
	// refusal must be sent.
	if gone(s.conn) && s.j.ctx.Err() == nil {
		s.j.cancel(errCallerGone)
		return errCallerGone
	}
	if idle < s.e.limits.KeepAlive {
		return nil
	}
	_, _ = w.Write(keepAliveComment)
	return s.flush(w)
}

// lastWrite is how long the end of an answer may take once its time is over.
const lastWrite = 2 * time.Second

// writeGuard ends writes to a caller that no longer reads. The server does not
// know of the deadline that it leaves on the connection; liftWriteDeadline takes
// it off for the next request.
type writeGuard struct {
	mu    sync.Mutex
	ended bool
}

func (g *writeGuard) expire(conn net.Conn) func() {
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.ended || conn == nil {
			return
		}
		_ = conn.SetWriteDeadline(time.Now().Add(lastWrite))
	}
}

// liftWriteDeadline begins a request without the write deadline of the one before
// it on the connection.
func liftWriteDeadline(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().SetWriteDeadline(time.Time{})
	return c.Next()
}

func (g *writeGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}
