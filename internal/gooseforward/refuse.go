package gooseforward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// refuse sends the refusal. If a response has begun, refuse breaks the connection
// instead, so that the part that was sent does not look complete.
func (c *call) refuse(r goose.Refusal) {
	c.recordFailure(r)
	if c.committed {
		panic(http.ErrAbortHandler)
	}
	body := r.Body()
	h := c.w.Header()
	c.o.HeaderCodec.SetRefusalHeaders(h, c.header.Attempt)
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
	// A write error means that the caller has disconnected and needs no response.
	_, _ = c.w.Write(body)
}

// recordFailure counts and logs a request that did not succeed.
func (c *call) recordFailure(r goose.Refusal) {
	c.o.Metrics.countRequest(c.service.Name, string(r.Code))
	gooseevent.RequestFailed.Log(c.o.Log, append(c.logAttrs(),
		slog.String("code", string(r.Code)), slog.String("run", string(r.Run)), slog.String("reason", r.Reason),
		slog.String("message", r.Message), slog.Bool("cut", c.committed), slog.Duration("retry-after", r.RetryAfter))...)
}

// logAttrs returns the attributes of the log line that ends a request.
func (c *call) logAttrs() []any {
	return []any{
		slog.String("request", string(c.header.Attempt)), slog.String("fingerprint", c.fingerprintText()), slog.Any("parts", c.partTexts()), slog.String("route", c.route.Name),
		slog.String("service", string(c.service.Name)), slog.String("workspace", string(c.workspace.Name)),
		slog.Int64("version", c.tableVersion()), slog.Int("prompt-tokens", c.header.PromptTokens),
		slog.Duration("after", c.o.Clock.Now().Sub(c.arrived).Round(time.Microsecond)),
		slog.Duration("longest-pause", c.longestPause.Round(time.Microsecond)), slog.Any("attempts", c.attempts),
	}
}

// fingerprintText returns the fingerprint for the log, or an empty string if the body was
// not read.
func (c *call) fingerprintText() string {
	if c.subjects.Request == 0 {
		return ""
	}
	return c.subjects.Request.String()
}

// partTexts returns the fingerprints of the shared parts for the log.
func (c *call) partTexts() []string {
	var texts []string
	for _, part := range c.subjects.Parts {
		texts = append(texts, part.String())
	}
	return texts
}

func (c *call) tableVersion() int64 {
	if c.snapshot.Table == nil {
		return 0
	}
	return c.snapshot.Table.Version()
}

// Retry-After values of refusals.
const (
	memoryRetryAfter = 500 * time.Millisecond
	otherRetryAfter  = 300 * time.Millisecond
	// fullRetryAfter is the least value for a short request; a random part of up to the
	// same length is added. Bursts last for seconds, and the random part keeps the callers
	// from returning at the same time.
	fullRetryAfter = 1500 * time.Millisecond
	// hugeRetryAfter is the least value for a huge prompt; a random part of up to the same
	// length is added.
	hugeRetryAfter = 2 * time.Second
)

// writeFailure sends the final response of a request that no replica has served with
// success: the last replica's own failure if its response is complete, otherwise a
// refusal. A replica's statement that it did not run the request is not forwarded if the
// request may have run at another replica.
func (c *call) writeFailure(last result, obstacle gooseplacement.Obstacle) {
	declined := last.outcome == outcomeNotRun && c.runs > 0
	if last.response != nil && !c.committed && !declined {
		c.recordFailure(replicaFailure(last))
		c.writeResponse(last.response)
		return
	}
	c.refuse(c.refusal(last, obstacle))
}

// replicaFailure describes a replica's own failure, which is forwarded unchanged, for the
// log.
func replicaFailure(last result) goose.Refusal {
	if last.outcome == outcomeNotRun {
		return goose.NotRunRefusal(goose.CodeOverloaded, "the backend servers declined the request").WithReason(string(last.outcome))
	}
	return goose.NotRunRefusal(goose.CodeBackendFailed, "the backend server answered a failure of its own").
		WithReason(string(last.outcome)).WithRun(goose.RunStateRan)
}

func (c *call) refusal(last result, obstacle gooseplacement.Obstacle) goose.Refusal {
	ran := c.runs > 0 || last.outcome == outcomeDeadline
	switch {
	case last.outcome == outcomeDeadline:
		return goose.NotRunRefusal(goose.CodeDeadline, "the request's time is over").WithRun(goose.RunStateUnknown)
	case ran:
		r := goose.NotRunRefusal(goose.CodeBackendFailed, "the backend server gave no whole answer").WithRun(goose.RunStateUnknown)
		return r.WithReason(string(last.outcome))
	case obstacle == gooseplacement.ObstacleLeaving:
		return goose.NotRunRefusal(goose.CodeLeaving, "all backend servers of the service are leaving").WithRetryAfter(otherRetryAfter)
	case obstacle == gooseplacement.ObstaclePaused:
		wait := c.o.Placer.ResumeAfter(c.o.Directory.Current().Replicas(c.service.Name), c.o.Clock.Now())
		return goose.NotRunRefusal(goose.CodeOverloaded, "the backend servers want no requests for a while").
			WithReason(string(obstacle)).WithRetryAfter(wait + rand.N(max(wait/2, otherRetryAfter)))
	case obstacle == gooseplacement.ObstacleHuge:
		return goose.NotRunRefusal(goose.CodeOverloaded, "too few backend servers are idle for a prompt of this length").
			WithReason(string(obstacle)).WithRetryAfter(c.setRetryAfter(hugeRetryAfter + rand.N(hugeRetryAfter)))
	case obstacle == gooseplacement.ObstacleFull:
		return goose.NotRunRefusal(goose.CodeOverloaded, "all backend servers are full").
			WithReason(string(obstacle)).WithRetryAfter(fullRetryAfter + rand.N(fullRetryAfter))
	case obstacle == gooseplacement.ObstacleMemory || obstacle == gooseplacement.ObstacleLate:
		return goose.NotRunRefusal(goose.CodeOverloaded, "no backend server can take the request in time").
			WithReason(string(obstacle)).WithRetryAfter(c.setRetryAfter(memoryRetryAfter))
	}
	return goose.NotRunRefusal(goose.CodeNotReady, "no backend server took the request").WithReason(string(obstacle)).WithRetryAfter(otherRetryAfter)
}
