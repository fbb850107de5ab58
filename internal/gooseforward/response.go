package gooseforward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// response is a complete response of a replica.
type response struct {
	status int
	header http.Header
	body   []byte
}

// forwardResponse reads a response that is no stream and writes it to the caller if it is
// a success. A failure is returned instead, since another replica may succeed.
func (c *call) forwardResponse(ctx context.Context, u *upstream, h goose.ResponseHeader, choice gooseplacement.Choice, silence *silenceTimer) result {
	u.reader.remaining = maxResponseBytes
	body, held, err := c.responseMemory.readAll(u.resp.Body)
	c.responseBytes += held
	silence.Stop()
	if h.NotRun {
		r := result{outcome: outcomeNotRun, status: u.resp.StatusCode, faultAt: h.FaultyHelper}
		if err == nil && !h.ProcessChanged {
			r.response = &response{status: u.resp.StatusCode, header: u.resp.Header, body: body}
		}
		return r
	}
	if err != nil {
		return c.classifyError(ctx, errors.Wrap(goose.ErrDisconnected, err.Error()))
	}
	resp := &response{status: u.resp.StatusCode, header: u.resp.Header, body: body}
	if resp.status >= http.StatusInternalServerError {
		return result{outcome: outcomeFailed, status: resp.status, response: resp}
	}
	c.recordFirstEvent(choice)
	c.writeResponse(resp)
	c.o.Metrics.observeTimeToFirst(c.service.Name, c.promptClass(), c.o.Clock.Now().Sub(c.arrived))
	return result{outcome: outcomeDone, status: resp.status}
}

// writeResponse writes a replica's complete response to the caller, unchanged.
func (c *call) writeResponse(resp *response) {
	c.copyHeader(resp.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	c.committed = true
	c.w.WriteHeader(resp.status)
	// A write error means that the caller has disconnected and needs no response.
	_, _ = c.w.Write(resp.body)
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

// forwardStream forwards events as they arrive. It writes nothing to the caller before
// the first complete event, so that until then another replica can start the response.
func (c *call) forwardStream(ctx context.Context, u *upstream, choice gooseplacement.Choice, silence *silenceTimer) result {
	u.reader.remaining = unbounded
	events := newEventReader(u.resp.Body)
	control := http.NewResponseController(c.w)
	for first := true; ; first = false {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.committed {
				c.writeStreamHeader(u)
			}
			return result{outcome: outcomeDone, status: u.resp.StatusCode}
		}
		if err != nil {
			return c.classifyError(ctx, errors.Wrap(goose.ErrDisconnected, err.Error()))
		}
		if first {
			c.recordFirstEvent(choice)
		}
		silence.reset()
		if c.lastEventID != "" && !ev.isAfter(c.lastEventID) {
			continue
		}
		if !c.committed {
			c.writeStreamHeader(u)
			c.o.Metrics.observeTimeToFirst(c.service.Name, c.promptClass(), c.o.Clock.Now().Sub(c.arrived))
		}
		events.markNew()
		if _, err := c.w.Write(ev.data); err != nil {
			return result{outcome: outcomeCallerDisconnected, err: err}
		}
		if err := control.Flush(); err != nil {
			return result{outcome: outcomeCallerDisconnected, err: err}
		}
		c.recordEvent(ev)
	}
}

// recordEvent records an event that was written to the caller.
func (c *call) recordEvent(ev event) {
	now := c.o.Clock.Now()
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if ev.id != "" {
		c.lastEventID = ev.id
	}
}

// recordFirstEvent records the time of an attempt's first event, or of its complete
// response.
func (c *call) recordFirstEvent(choice gooseplacement.Choice) {
	now := c.o.Clock.Now()
	c.timeToFirst = now.Sub(c.attemptStart)
	c.o.Placer.RecordFirstEvent(choice.AttemptID, now)
}

// writeStreamHeader sends the status and the headers of the first replica of the stream.
func (c *call) writeStreamHeader(u *upstream) {
	c.copyHeader(u.resp.Header)
	c.committed = true
	c.w.WriteHeader(u.resp.StatusCode)
}
