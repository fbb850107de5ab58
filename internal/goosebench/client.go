package goosebench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// Result is the outcome of a request as its caller sees it.
type Result string

// Results of requests.
const (
	ResultServed  Result = "served"
	ResultRefused Result = "refused"
	// ResultFailed is a streamed response that ended with an error frame.
	ResultFailed Result = "failed"
	// ResultCut is a response that broke off without an error frame or never arrived.
	ResultCut Result = "cut"
	// ResultWrong is a response that differs from the expected output of the request.
	ResultWrong Result = "wrong"
)

// Outcome is the result of one request with its measurements.
type Outcome struct {
	Request Request
	Result  Result
	// FirstOutput and Total count from the intended send time. FirstOutput is the time
	// to the first token, or to the whole response of a plain service.
	FirstOutput time.Duration
	Total       time.Duration
	// LongestGap is the longest pause between two chunks.
	LongestGap time.Duration
	// Tokens is the number of output tokens that were received and verified.
	Tokens int
	Tries  int
	// Code and RunState are those of the last refusal.
	Code     string
	RunState string
	// MissedDeadline is set if a try got no final response within its deadline.
	MissedDeadline bool
	// Detail explains wrong and cut responses.
	Detail string
	// BodyHash is the hash under which simulated plain services list the request.
	BodyHash string
	// Refusals counts the refusals of all tries by code.
	Refusals map[string]int
	// WithoutRetryAfter counts refusals with the code overloaded that had no
	// Retry-After.
	WithoutRetryAfter int
	// RefusalLatencies are the times from sending a try to its refusal.
	RefusalLatencies []time.Duration
}

// refusal is the body of an error response.
type refusal struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Run          string `json:"run"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	} `json:"error"`
}

// Limits of the retries and waits of a caller.
const (
	maxTries          = 5
	defaultRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 10 * time.Second
	// deadlineMargin is how long after its deadline a final response may still arrive.
	deadlineMargin = 2 * time.Second
	// giveUpMargin is the time after the deadline at which a caller stops waiting.
	giveUpMargin = 10 * time.Second
)

// caller sends requests as the clients of a fleet do.
type caller struct {
	target *Target
	runID  string
	http   *http.Client
}

func newCaller(t *Target, runID string) *caller {
	return &caller{target: t, runID: runID, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}}}
}

// do sends one request and retries it, after the delay that Retry-After asks for if
// there is one.
func (c *caller) do(ctx context.Context, q Request, start time.Time) Outcome {
	intended := start.Add(q.At)
	o := Outcome{Request: q, Refusals: map[string]int{}}
	deadline := c.target.deadline(q.Kind)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(deadline+giveUpMargin))
	defer cancel()
	prepared, err := c.prepareRequest(q, &o)
	if err != nil {
		o.Result, o.Detail = ResultCut, err.Error()
		return o
	}
	for o.Tries < maxTries {
		o.Tries++
		sentAt := time.Now()
		delay, retry := c.sendOnce(ctx, prepared, &o, intended)
		o.Total = time.Since(intended)
		o.MissedDeadline = o.MissedDeadline || time.Since(sentAt) > deadline+deadlineMargin
		if !retry || o.Tries == maxTries || o.Total+delay > deadline {
			break
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(delay):
		}
	}
	return o
}

// preparedRequest holds what all tries of a request have in common.
type preparedRequest struct {
	path           string
	body           []byte
	idempotencyKey string
	bearerToken    string
	promptHash     uint64
}

func (c *caller) prepareRequest(q Request, o *Outcome) (preparedRequest, error) {
	prepared := preparedRequest{bearerToken: c.target.Workspaces[q.Workspace%len(c.target.Workspaces)].Key}
	if q.Kind == KindModel {
		var err error
		prepared.path = "/v1/chat/completions"
		prepared.body, prepared.promptHash, err = q.modelBody(c.target.Model)
		return prepared, errors.Wrap(err, "body")
	}
	prepared.body = q.plainBody(c.runID)
	o.BodyHash = goosestand.BodyHash(prepared.body)
	prepared.path = "/services/" + c.target.Lookups + "/stock"
	if q.Kind == KindOrder {
		prepared.path = "/services/" + c.target.Orders + "/orders"
		prepared.idempotencyKey = c.runID + "-" + strconv.Itoa(q.Index)
	}
	return prepared, nil
}

// onceReader hides the type of the body from net/http, which could otherwise rewind
// the body and send the request again when a reused connection breaks.
type onceReader struct{ io.Reader }

func (c *caller) newRequest(ctx context.Context, prepared preparedRequest, intended time.Time) (*http.Request, error) {
	address := c.target.Callers[rand.IntN(len(c.target.Callers))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+prepared.path, onceReader{bytes.NewReader(prepared.body)})
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(prepared.body))
	req.Header.Set("Authorization", "Bearer "+prepared.bearerToken)
	req.Header.Set("Content-Type", "application/json")
	if c.target.requestTimeout > 0 {
		remaining := max(time.Millisecond, time.Until(intended.Add(c.target.requestTimeout)))
		req.Header.Set("X-Request-Timeout", remaining.String())
	}
	if prepared.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", prepared.idempotencyKey)
	}
	return req, nil
}

// sendOnce sends the request once. retry reports whether the caller tries again after
// the delay.
func (c *caller) sendOnce(ctx context.Context, prepared preparedRequest, o *Outcome, intended time.Time) (delay time.Duration, retry bool) {
	req, err := c.newRequest(ctx, prepared, intended)
	if err != nil {
		o.Result, o.Detail = ResultCut, err.Error()
		return 0, false
	}
	sentAt := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		o.Result, o.Detail, o.RunState = ResultCut, err.Error(), "unknown"
		return defaultRetryDelay, ctx.Err() == nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		defer func() { o.RefusalLatencies = append(o.RefusalLatencies, time.Since(sentAt)) }()
		return c.readRefusal(resp, o)
	}
	if o.Request.Kind == KindModel {
		return c.readStream(resp.Body, prepared, o, intended)
	}
	return c.readPlain(resp.Body, o, intended)
}

func (c *caller) readRefusal(resp *http.Response, o *Outcome) (time.Duration, bool) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var r refusal
	if json.Unmarshal(body, &r) != nil || r.Error.Code == "" {
		o.Result, o.Detail = ResultWrong, "status "+strconv.Itoa(resp.StatusCode)+" without a refusal: "+string(body[:min(len(body), 200)])
		return 0, false
	}
	delay, hasRetryAfter := retryAfter(resp.Header.Get("Retry-After"), r.Error.RetryAfterMS)
	return o.recordRefusal(r, delay, hasRetryAfter)
}

// retryableCodes are the refusal codes after which callers try again.
var retryableCodes = map[string]bool{
	"overloaded": true, "not-ready": true, "leaving": true, "store-unavailable": true, "deadline": true, "backend-failed": true,
}

func (o *Outcome) recordRefusal(r refusal, delay time.Duration, hasRetryAfter bool) (time.Duration, bool) {
	code := r.Error.Code
	o.Result, o.Code, o.RunState, o.Detail = ResultRefused, code, r.Error.Run, r.Error.Message
	o.Refusals[code]++
	if code == "overloaded" && !hasRetryAfter {
		o.WithoutRetryAfter++
	}
	if !retryableCodes[code] {
		return 0, false
	}
	return delay, true
}

// retryAfter returns the delay before the next try, and whether the response gave it.
func retryAfter(header string, ms int64) (delay time.Duration, given bool) {
	if ms > 0 {
		return min(maxRetryDelay, time.Duration(ms)*time.Millisecond), true
	}
	if seconds, err := strconv.Atoi(header); err == nil && seconds >= 0 {
		return min(maxRetryDelay, time.Duration(seconds)*time.Second), true
	}
	return defaultRetryDelay, false
}

// readStream reads a streamed response and verifies every chunk.
func (c *caller) readStream(body io.Reader, prepared preparedRequest, o *Outcome, intended time.Time) (time.Duration, bool) {
	o.Tokens = 0
	in := bufio.NewReaderSize(body, 1<<16)
	event, lastChunk := "", time.Time{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			o.Result, o.Detail, o.RunState = ResultCut, "stream broke after "+strconv.Itoa(o.Tokens)+" tokens: "+err.Error(), "unknown"
			return defaultRetryDelay, true
		}
		line = strings.TrimRight(line, "\r\n")
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case event == "error":
			return o.recordErrorFrame(data)
		case data == "[DONE]":
			o.recordEndMarker(time.Since(intended))
			return 0, false
		}
		now := time.Now()
		if !lastChunk.IsZero() {
			o.LongestGap = max(o.LongestGap, now.Sub(lastChunk))
		}
		lastChunk = now
		if o.FirstOutput == 0 {
			o.FirstOutput = now.Sub(intended)
		}
		if !o.checkChunk(data, prepared.promptHash) {
			return 0, false
		}
	}
}

func (o *Outcome) recordErrorFrame(data string) (time.Duration, bool) {
	var r refusal
	if json.Unmarshal([]byte(data), &r) != nil || r.Error.Code == "" {
		o.Result, o.Detail = ResultWrong, "error frame without a refusal: "+data
		return 0, false
	}
	delay, hasRetryAfter := retryAfter("", r.Error.RetryAfterMS)
	delay, retry := o.recordRefusal(r, delay, hasRetryAfter)
	o.Result = ResultFailed
	return delay, retry
}

// recordEndMarker sets the result at the end marker of the stream.
func (o *Outcome) recordEndMarker(total time.Duration) {
	o.Total = total
	if o.Tokens != o.Request.OutputTokens {
		o.Result, o.Detail = ResultWrong, "end marker after "+strconv.Itoa(o.Tokens)+" of "+strconv.Itoa(o.Request.OutputTokens)+" tokens"
		return
	}
	o.Result, o.Code, o.RunState, o.Detail = ResultServed, "", "ran", ""
}

// checkChunk compares the text of a chunk with the expected output after the tokens
// received so far.
func (o *Outcome) checkChunk(data string, hash uint64) bool {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		o.Result, o.Detail = ResultWrong, "chunk is not JSON: "+data[:min(len(data), 200)]
		return false
	}
	for _, choice := range chunk.Choices {
		text := choice.Delta.Content + choice.Text
		n := len(text) / goosestand.TokenBytes
		if want := goosestand.OutputText(hash, o.Tokens, o.Tokens+n); text != want {
			o.Result, o.Detail = ResultWrong, "at token "+strconv.Itoa(o.Tokens)+": got "+strconv.Quote(text)+", want "+strconv.Quote(want)
			return false
		}
		o.Tokens += n
	}
	return true
}

func (c *caller) readPlain(body io.Reader, o *Outcome, intended time.Time) (time.Duration, bool) {
	response, err := io.ReadAll(body)
	if err != nil {
		o.Result, o.Detail, o.RunState = ResultCut, err.Error(), "unknown"
		return defaultRetryDelay, true
	}
	o.FirstOutput = time.Since(intended)
	var result struct {
		Executed string `json:"executed"`
	}
	if json.Unmarshal(response, &result) != nil || result.Executed != o.BodyHash {
		o.Result, o.Detail = ResultWrong, "got "+string(response[:min(len(response), 200)])+", want executed "+o.BodyHash
		return 0, false
	}
	o.Result, o.Code, o.RunState, o.Detail = ResultServed, "", "ran", ""
	return 0, false
}
