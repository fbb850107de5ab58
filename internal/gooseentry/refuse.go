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
	headerRequestID  = "X-Request-Id"
	headerTimeout    = "X-Request-Timeout"
	headerOrderKey   = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

// recordRefusal counts and logs a refusal.
func (e *Entry) recordRefusal(id goose.RequestID, req *request, r goose.Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryhold_refusals_total{code=%q,run=%q}`, r.Code, r.Run)).Inc()
	args := []any{"request", id, "code", r.Code, "run", r.Run, "reason", r.Reason, "message", r.Message}
	if req != nil {
		args = append(args, "workspace", req.workspace, "service", req.service.Name, "prompt-tokens", req.promptTokens)
	}
	gooseevent.RequestRefused.Log(e.log, args...)
}

// sendRefusal sends a refusal as the complete response.
func (e *Entry) sendRefusal(c fiber.Ctx, id goose.RequestID, req *request, r goose.Refusal) error {
	e.recordRefusal(id, req, r)
	setWriteDeadline(c)
	if r.RetryAfter > 0 {
		c.Set(headerRetryAfter, strconv.FormatInt(int64(math.Ceil(r.RetryAfter.Seconds())), 10))
	}
	if r.Code == goose.CodeUnauthorised {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Status(r.Code.Status())
	if rest := unreadBody(c, req); rest != nil {
		return e.sendAndDrain(c, r.Body(), rest)
	}
	return c.Send(r.Body())
}

const (
	// serverDrainBytes is how much of an unread body the HTTP server itself
	// reads after a response. It closes the connection if the body is longer.
	serverDrainBytes = 128 << 10
	// maxDrainBytes and drainTimeout bound the reading of the remaining body of
	// a refused request.
	maxDrainBytes = 64 << 20
	drainTimeout  = 5 * time.Second
)

// unreadBody returns the rest of a request body that was refused before it was
// read. It returns nil if the body is short enough for the HTTP server to read.
func unreadBody(c fiber.Ctx, req *request) io.Reader {
	if req != nil && req.body != nil {
		return nil
	}
	if n := c.Request().Header.ContentLength(); n >= 0 && n <= serverDrainBytes {
		return nil
	}
	return c.Request().BodyStream()
}

// sendAndDrain sends the response immediately and then reads the rest of the
// body. Closing a connection with unread bytes resets it, and the caller would
// lose the response.
func (e *Entry) sendAndDrain(c fiber.Ctx, response []byte, rest io.Reader) error {
	c.Set(fiber.HeaderConnection, "close")
	_ = c.RequestCtx().SetReadDeadline(time.Now().Add(drainTimeout))
	conn := callerConn(c)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		_, _ = w.Write(response)
		if w.Flush() == nil {
			e.bodies.discard(rest, conn)
		}
	})
}

// writeTimeout is how long a caller may take to read a non-streaming response.
const writeTimeout = 30 * time.Second

// setWriteDeadline prevents a caller that does not read from holding its
// connection and response for ever. The HTTP server removes the deadline after
// the response.
func setWriteDeadline(c fiber.Ctx) { _ = c.RequestCtx().SetWriteDeadline(time.Now().Add(writeTimeout)) }

// handleServerError refuses a request that the HTTP server or its router did
// not pass to a handler. It keeps the status of their error.
func (e *Entry) handleServerError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	id := goose.RequestID(c.GetRespHeader(headerRequestID))
	if id == "" {
		id = e.newRequestID()
		c.Set(headerRequestID, string(id))
	}
	r := goose.NotRunRefusal(goose.CodeForStatus(status), err.Error())
	if r.Code != goose.CodeBadRequest {
		r = r.WithReason("route")
	}
	sent := e.sendRefusal(c, id, nil, r)
	c.Status(status)
	return sent
}
