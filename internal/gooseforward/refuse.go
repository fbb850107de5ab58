package gooseforward

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// refuse sends the refusal, or breaks the connection if an answer has begun: what
// was sent so far must not look complete.
func (c *call) refuse(r goose.Refusal) {
	c.noteFailure(r)
	if c.committed {
		panic(http.ErrAbortHandler)
	}
	body := r.Body()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	if r.Code == goose.CodeUnauthorised {
		h.Set("WWW-Authenticate", "Bearer")
	}
	c.committed = true
	c.w.WriteHeader(r.Code.Status())
	// A caller that is gone needs no answer.
	_, _ = c.w.Write(body)
}

// noteFailure counts and logs a request without a success.
func (c *call) noteFailure(r goose.Refusal) {
	c.o.Metrics.count(c.service.Name, string(r.Code))
	gooseevent.RequestFailed.Log(c.o.Log, append(c.fields(),
		slog.String("code", string(r.Code)), slog.String("run", string(r.Run)), slog.String("reason", r.Reason),
		slog.String("message", r.Message), slog.Bool("cut", c.committed), slog.Duration("retry-after", r.RetryAfter))...)
}

// fields are the attributes of the line that ends a request.
func (c *call) fields() []any {
	return []any{
		slog.String("request", string(c.routed.Attempt)), slog.String("route", c.route.Name),
		slog.String("service", string(c.service.Name)), slog.String("workspace", string(c.workspace.Name)),
		slog.Int64("version", c.version()), slog.Int("prompt-tokens", c.routed.PromptTokens),
		slog.Duration("after", c.o.Clock.Now().Sub(c.arrived).Round(time.Microsecond)),
		slog.Duration("longest-pause", c.pause.Round(time.Microsecond)), slog.Any("attempts", c.attempts),
	}
}

func (c *call) version() int64 {
	if c.snapshot.Table == nil {
		return 0
	}
	return c.snapshot.Table.Version()
}
