package gooseentry

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	headerRequest    = "X-Request-Id"
	headerTimeout    = "X-Request-Timeout"
	headerOrderKey   = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

// noteRefusal counts and logs a refusal.
func (e *Entry) noteRefusal(id goose.RequestID, q *request, r goose.Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_refusals_total{code=%q,run=%q}`, r.Code, r.Run)).Inc()
	args := []any{"request", id, "code", r.Code, "run", r.Run, "reason", r.Reason, "message", r.Message}
	if q != nil {
		args = append(args, "workspace", q.workspace, "service", q.service.Name, "prompt-tokens", q.promptTokens)
	}
	gooseevent.RequestRefused.Log(e.log, args...)
}

// refuse sends a refusal as the whole answer.
func (e *Entry) refuse(c fiber.Ctx, id goose.RequestID, q *request, r goose.Refusal) error {
	e.noteRefusal(id, q, r)
	boundWrite(c)
	if r.RetryAfter > 0 {
		c.Set(headerRetryAfter, strconv.FormatInt(int64(math.Ceil(r.RetryAfter.Seconds())), 10))
	}
	if r.Code == goose.CodeUnauthorised {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Status(r.Code.Status())
	if rest := unread(c, q); rest != nil {
		return sendBeforeBody(c, r.Body(), rest)
	}
	return c.Send(r.Body())
}

const (
	// serverDrain is how much of an unread body the server itself reads after an
	// answer; it closes the connection if there is more.
	serverDrain = 128 << 10
	// drainBytes and drainTime bound what is read for a refused caller.
	drainBytes = 64 << 20
	drainTime  = 5 * time.Second
)

// unread returns the rest of a body that was refused before it was read, if it
// is too long for the server to read it.
func unread(c fiber.Ctx, q *request) io.Reader {
	if q != nil && q.body != nil {
		return nil
	}
	if n := c.Request().Header.ContentLength(); n >= 0 && n <= serverDrain {
		return nil
	}
	return c.Request().BodyStream()
}

// sendBeforeBody sends the answer at once and then reads what the caller still
// sends. Closing a connection with unread bytes resets it, and the caller would
// lose the answer.
func sendBeforeBody(c fiber.Ctx, answer []byte, rest io.Reader) error {
	c.Set(fiber.HeaderConnection, "close")
	_ = c.RequestCtx().SetReadDeadline(time.Now().Add(drainTime))
	return c.SendStreamWriter(func(w *bufio.Writer) {
		_, _ = w.Write(answer)
		if w.Flush() == nil {
			_, _ = io.CopyN(io.Discard, rest, drainBytes)
		}
	})
}

// wholeWrite is how long a caller may take to read an answer in one piece.
const wholeWrite = 30 * time.Second

// boundWrite keeps a caller that does not read from holding its connection and
// answer for ever. The server lifts the bound after the answer.
func boundWrite(c fiber.Ctx) { _ = c.RequestCtx().SetWriteDeadline(time.Now().Add(wholeWrite)) }

// refuseUnserved refuses a request that the HTTP server or its router did not
// pass to a handler. It keeps the status that they gave it.
func (e *Entry) refuseUnserved(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	id := goose.RequestID(c.GetRespHeader(headerRequest))
	if id == "" {
		id = e.newRequestID()
		c.Set(headerRequest, string(id))
	}
	r := goose.NotRunRefusal(goose.CodeForStatus(status), err.Error())
	if r.Code != goose.CodeBadRequest {
		r = r.WithReason("route")
	}
	sent := e.refuse(c, id, nil, r)
	c.Status(status)
	return sent
}
