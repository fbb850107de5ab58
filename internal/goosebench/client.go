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

// Result tells how a request ended for its caller.
type Result string

// Results of requests.
const (
	ResultServed  Result = "served"
	ResultRefused Result = "refused"
	// ResultFailed is a streamed answer that ended with an error frame.
	ResultFailed Result = "failed"
	// ResultCut is an answer that broke off without one or never came.
	ResultCut Result = "cut"
	// ResultWrong is an answer that differs from the request's own output.
	ResultWrong Result = "wrong"
)

// Outcome is what became of one request.
type Outcome struct {
	Request Request
	Result  Result
	// First and Total count from the intended send time; First is that of the
	// first token, or of the whole answer of a plain service.
	First time.Duration
	Total time.Duration
	// Gap is the longest pause between two chunks.
	Gap time.Duration
	// Tokens is the number of checked output tokens.
	Tokens int
	Tries  int
	// Code and Run are those of the last refusal.
	Code string
	Run  string
	// Late is set if one try got no final answer within its deadline.
	Late bool
	// Detail explains wrong and cut answers.
	Detail string
	// Body is the hash under which plain simulators list the request.
	Body string
	// Refusals counts the refusals of all tries by code.
	Refusals map[string]int
	// NoAdvice counts refusals for load without Retry-After.
	NoAdvice int
	// Refused are the times from sending a try to its refusal.
	Refused []time.Duration
}

// refusal is the body of an error answer.
type refusal struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Run          string `json:"run"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	} `json:"error"`
}

// Limits of what a caller waits for.
const (
	maxTries     = 5
	defaultPause = 200 * time.Millisecond
	longestPause = 10 * time.Second
	// deadlineMargin is how much later than its deadline a final answer may
	// arrive.
	deadlineMargin = 2 * time.Second
	// hangMargin is the time after the deadline at which a caller gives up.
	hangMargin = 10 * time.Second
)

// caller sends requests as the clients of one fleet do.
type caller struct {
	target *Target
	run    string
	http   *http.Client
}

func newCaller(t *Target, run string) *caller {
	return &caller{target: t, run: run, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}}}
}

// do runs one request with the retries that Retry-After asks for.
func (c *caller) do(ctx context.Context, q Request, start time.Time) Outcome {
	intended := start.Add(q.At)
	o := Outcome{Request: q, Refusals: map[string]int{}}
	deadline := c.target.deadline(q.Kind)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(deadline+hangMargin))
	defer cancel()
	s, err := c.prepare(q, &o)
	if err != nil {
		o.Result, o.Detail = ResultCut, err.Error()
		return o
	}
	for o.Tries < maxTries {
		o.Tries++
		sent := time.Now()
		pause, again := c.try(ctx, s, &o, intended)
		o.Total = time.Since(intended)
		o.Late = o.Late || time.Since(sent) > deadline+deadlineMargin
		if !again || o.Tries == maxTries || o.Total+pause > deadline {
			break
		}
		select {
		case <-ctx.Done():
			return o
		case <-time.After(pause):
		}
	}
	return o
}

// send is a request ready to be sent.
type send struct {
	path  string
	body  []byte
	key   string
	token string
	hash  uint64
}

func (c *caller) prepare(q Request, o *Outcome) (send, error) {
	s := send{token: c.target.Workspaces[q.Workspace%len(c.target.Workspaces)].Key}
	if q.Kind == KindModel {
		var err error
		s.path = "/v1/chat/completions"
		s.body, s.hash, err = q.modelBody(c.target.Model)
		return s, errors.Wrap(err, "body")
	}
	s.body = q.plainBody(c.run)
	o.Body = goosestand.BodyHash(s.body)
	s.path = "/services/" + c.target.Lookups + "/stock"
	if q.Kind == KindOrder {
		s.path = "/services/" + c.target.Orders + "/orders"
		s.key = c.run + "-" + strconv.Itoa(q.Index)
	}
	return s, nil
}

// onceReader hides the body's type from net/http, which would otherwise repeat
// a request by itself when a reused connection breaks.
type onceReader struct{ io.Reader }

func (c *caller) request(ctx context.Context, s send, intended time.Time) (*http.Request, error) {
	address := c.target.Callers[rand.IntN(len(c.target.Callers))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+s.path, onceReader{bytes.NewReader(s.body)})
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(s.body))
	req.Header.Set("Authorization", "Bearer "+s.token)
	req.Header.Set("Content-Type", "application/json")
	if c.target.timeout > 0 {
		left := max(time.Millisecond, time.Until(intended.Add(c.target.timeout)))
		req.Header.Set("X-Request-Timeout", left.String())
	}
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	return req, nil
}

// try sends the request once. again tells whether the caller tries again after
// the pause.
func (c *caller) try(ctx context.Context, s send, o *Outcome, intended time.Time) (pause time.Duration, again bool) {
	req, err := c.request(ctx, s, intended)
	if err != nil {
		o.Result, o.Detail = ResultCut, err.Error()
		return 0, false
	}
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		o.Result, o.Detail, o.Run = ResultCut, err.Error(), "unknown"
		return defaultPause, ctx.Err() == nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		defer func() { o.Refused = append(o.Refused, time.Since(sent)) }()
		return c.refused(resp, o)
	}
	if o.Request.Kind == KindModel {
		return c.readStream(resp.Body, s, o, intended)
	}
	return c.readPlain(resp.Body, o, intended)
}

func (c *caller) refused(resp *http.Response, o *Outcome) (time.Duration, bool) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	var r refusal
	if json.Unmarshal(body, &r) != nil || r.Error.Code == "" {
		o.Result, o.Detail = ResultWrong, "status "+strconv.Itoa(resp.StatusCode)+" without a refusal: "+string(body[:min(len(body), 200)])
		return 0, false
	}
	pause, advised := retryAfter(resp.Header.Get("Retry-After"), r.Error.RetryAfterMS)
	return o.noteRefusal(r, pause, advised)
}

// retryable are the codes after which callers come back.
var retryable = map[string]bool{
	"overloaded": true, "not-ready": true, "leaving": true, "store-unavailable": true, "deadline": true, "backend-failed": true,
}

func (o *Outcome) noteRefusal(r refusal, pause time.Duration, advised bool) (time.Duration, bool) {
	code := r.Error.Code
	o.Result, o.Code, o.Run, o.Detail = ResultRefused, code, r.Error.Run, r.Error.Message
	o.Refusals[code]++
	if code == "overloaded" && !advised {
		o.NoAdvice++
	}
	if !retryable[code] {
		return 0, false
	}
	return pause, true
}

// retryAfter returns how long to wait before the next try.
func retryAfter(header string, ms int64) (pause time.Duration, advised bool) {
	if ms > 0 {
		return min(longestPause, time.Duration(ms)*time.Millisecond), true
	}
	if seconds, err := strconv.Atoi(header); err == nil && seconds >= 0 {
		return min(longestPause, time.Duration(seconds)*time.Second), true
	}
	return defaultPause, false
}

// readStream checks a streamed answer token by token.
func (c *caller) readStream(body io.Reader, s send, o *Outcome, intended time.Time) (time.Duration, bool) {
	o.Tokens = 0
	in := bufio.NewReaderSize(body, 1<<16)
	event, last := "", time.Time{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			o.Result, o.Detail, o.Run = ResultCut, "stream broke after "+strconv.Itoa(o.Tokens)+" tokens: "+err.Error(), "unknown"
			return defaultPause, true
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
			return o.errorFrame(data)
		case data == "[DONE]":
			o.finish(time.Since(intended))
			return 0, false
		}
		now := time.Now()
		if !last.IsZero() {
			o.Gap = max(o.Gap, now.Sub(last))
		}
		last = now
		if o.First == 0 {
			o.First = now.Sub(intended)
		}
		if !o.check(data, s.hash) {
			return 0, false
		}
	}
}

func (o *Outcome) errorFrame(data string) (time.Duration, bool) {
	var r refusal
	if json.Unmarshal([]byte(data), &r) != nil || r.Error.Code == "" {
		o.Result, o.Detail = ResultWrong, "error frame without a refusal: "+data
		return 0, false
	}
	pause, advised := retryAfter("", r.Error.RetryAfterMS)
	pause, again := o.noteRefusal(r, pause, advised)
	o.Result = ResultFailed
	return pause, again
}

// finish notes the end marker.
func (o *Outcome) finish(total time.Duration) {
	o.Total = total
	if o.Tokens != o.Request.OutputTokens {
		o.Result, o.Detail = ResultWrong, "end marker after "+strconv.Itoa(o.Tokens)+" of "+strconv.Itoa(o.Request.OutputTokens)+" tokens"
		return
	}
	o.Result, o.Code, o.Run, o.Detail = ResultServed, "", "ran", ""
}

// check compares a chunk's text with the expected output at this point.
func (o *Outcome) check(data string, hash uint64) bool {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		o.Result, o.Detail = ResultWrong, "chunk is not JSON: "+data[:min(len(data), 200)]
		return false
	}
	for _, ch := range c.Choices {
		text := ch.Delta.Content + ch.Text
		n := len(text) / goosestand.TokenBytes
		if want := goosestand.Answer(hash, o.Tokens, o.Tokens+n); text != want {
			o.Result, o.Detail = ResultWrong, "at token "+strconv.Itoa(o.Tokens)+": got "+strconv.Quote(text)+", want "+strconv.Quote(want)
			return false
		}
		o.Tokens += n
	}
	return true
}

func (c *caller) readPlain(body io.Reader, o *Outcome, intended time.Time) (time.Duration, bool) {
	answer, err := io.ReadAll(body)
	if err != nil {
		o.Result, o.Detail, o.Run = ResultCut, err.Error(), "unknown"
		return defaultPause, true
	}
	o.First = time.Since(intended)
	var a struct {
		Executed string `json:"executed"`
	}
	if json.Unmarshal(answer, &a) != nil || a.Executed != o.Body {
		o.Result, o.Detail = ResultWrong, "got "+string(answer[:min(len(answer), 200)])+", want executed "+o.Body
		return 0, false
	}
	o.Result, o.Code, o.Run, o.Detail = ResultServed, "", "ran", ""
	return 0, false
}
