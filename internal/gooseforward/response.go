package gooseforward

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// response is a complete response of a replica.
type response struct {
	status int
	header http.Header
	body   []byte
}

// errNoStamp reports a success without the platform's stamp. Callers do not accept it, and it
// may come from another process than the replica.
var errNoStamp = errors.New("the success has no stamp")

// errNoStream reports a success on a route for streams that is no stream of events.
var errNoStream = errors.New("the success is no stream of events")

// forwardResponse reads a response that is no stream and writes it to the caller if it is
// final. A failure is returned instead, since another replica may succeed. Once the caller
// has a part of a stream, only events of that stream may follow, so that every other
// response is a failed attempt.
func (c *call) forwardResponse(ctx context.Context, u *upstream, h goose.ResponseHeader, choice gooseplacement.Choice, silence *silenceTimer) result {
	u.reader.remaining = maxResponseBytes
	body, held, err := c.responseMemory.readAll(ctx, u.resp.Body, u.resp.ContentLength)
	c.responseBytes += held
	silence.Stop()
	if h.NotRun {
		r := result{outcome: outcomeNotRun, status: u.resp.StatusCode, faultAt: h.FaultyHelper, draining: h.Wish.Leaving || h.ProcessChanged}
		if err == nil && !h.ProcessChanged {
			r.response = &response{status: u.resp.StatusCode, header: u.resp.Header, body: body}
		}
		return r
	}
	if err != nil {
		return c.classifyError(ctx, errors.Wrap(goose.ErrDisconnected, err.Error()))
	}
	resp := &response{status: u.resp.StatusCode, header: u.resp.Header, body: body}
	switch {
	case isSuccess(resp.status) && !h.Stamped:
		return result{outcome: outcomeLost, status: resp.status, err: errNoStamp}
	case isSuccess(resp.status) && c.route.Kind == goose.RouteStream:
		return result{outcome: outcomeLost, status: resp.status, err: errNoStream}
	case c.committed:
		return result{outcome: outcomeFailed, status: resp.status}
	case resp.status >= http.StatusInternalServerError:
		return result{outcome: outcomeFailed, status: resp.status, response: resp}
	}
	c.recordFirstEvent(choice)
	c.writeResponse(resp)
	c.o.Metrics.observeTimeToFirst(c.service.Name, c.promptClass(), c.o.Clock.Now().Sub(c.arrived))
	return result{outcome: outcomeDone, status: resp.status}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// writeResponse writes a replica's complete response to the caller, unchanged.
func (c *call) writeResponse(resp *response) {
	c.releaseBody()
	kind := goosetransfer.Kind("")
	if c.responseBytes > 0 {
		kind = kindResponse
	}
	c.copyHeader(resp.header)
	c.setLength(resp)
	c.committed = true
	c.w.WriteHeader(resp.status)
	// A write error means that the caller has disconnected and needs no response.
	_ = c.writeTransfer(resp.body, kind, false)
}

// setLength states the length of the body. A response to HEAD has none, and the replica's length
// is that of the response to GET.
func (c *call) setLength(resp *response) {
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		return
	}
	if length, ok := resp.header["Content-Length"]; ok {
		c.w.Header()["Content-Length"] = length
	}
}

func (c *call) copyHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range from {
		if !goose.IsHopByHopHeader(name) {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type for a response without one.
		to["Content-Type"] = nil
	}
}

func (c *call) promptClass() goose.LengthClass {
	memory := 0
	if e := c.service.Engine; e != nil {
		memory = e.MemoryTokens
	}
	return goose.Classify(c.header.PromptTokens, memory)
}
