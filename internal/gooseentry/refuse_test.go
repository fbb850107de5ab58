package gooseentry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards, for each kind of refusal, against a wrong code, status or run state,
// a missing Retry-After, a missing log line, and work that reaches a backend
// server although the refusal says not-run.
func TestRefusals(t *testing.T) {
	refusing := func(code goose.RefusalCode, after time.Duration) func(*Options, *testEntry) {
		return func(_ *Options, e *testEntry) {
			e.permits.Refuse = func(goose.PermitRequest) *goose.Refusal {
				n := goose.NotRunRefusal(code, "no").WithRetryAfter(after)
				return &n
			}
		}
	}
	const model, order = "/v1/chat/completions", "/services/orders/book"
	for name, c := range map[string]struct {
		change     func(*Options, *testEntry)
		path, body string
		header     []string
		code       goose.RefusalCode
		run        goose.RunState
		after      int
	}{
		"no key":                    {path: model, body: chatBody, header: []string{"Authorization", ""}, code: goose.CodeUnauthorised},
		"wrong key":                 {path: model, body: chatBody, header: []string{"Authorization", "Bearer x"}, code: goose.CodeUnauthorised},
		"not JSON":                  {path: model, body: `{"model":`, code: goose.CodeBadRequest},
		"no prompt":                 {path: model, body: `{"model":"mend"}`, code: goose.CodeBadRequest},
		"two models":                {path: model, body: `{"model":"mend","model":"x","messages":[{"content":"x"}]}`, code: goose.CodeBadRequest},
		"several choices":           {path: model, body: `{"model":"mend","n":2,"messages":[{"content":"x"}]}`, code: goose.CodeBadRequest},
		"unknown model":             {path: model, body: strings.Replace(chatBody, "mend", "nope", 1), code: goose.CodeBadRequest},
		"plain service as model":    {path: model, body: strings.Replace(chatBody, "mend", "stock", 1), code: goose.CodeBadRequest},
		"invalid timeout":           {path: model, body: chatBody, header: []string{"X-Request-Timeout", "soon"}, code: goose.CodeBadRequest},
		"order without key":         {path: order, body: "{}", code: goose.CodeKeyRequired},
		"overloaded":                {change: refusing(goose.CodeOverloaded, 1500*time.Millisecond), path: model, body: chatBody, code: goose.CodeOverloaded, after: 2},
		"prompt too long":           {change: refusing(goose.CodePromptTooLong, 0), path: model, body: chatBody, code: goose.CodePromptTooLong},
		"overloaded, non-streaming": {change: refusing(goose.CodeOverloaded, time.Second), path: model, body: strings.Replace(chatBody, "true", "false", 1), code: goose.CodeOverloaded, after: 1},
		"no configuration":          {change: func(_ *Options, e *testEntry) { e.catalogue.InForce = 0 }, path: model, body: chatBody, code: goose.CodeNotReady, after: 1},
		"instance leaving":          {change: func(_ *Options, e *testEntry) { e.catalogue.Leaving = true }, path: model, body: chatBody, code: goose.CodeLeaving, after: 1},
		"no selector allows it":     {change: func(_ *Options, e *testEntry) { e.catalogue.Servers = nil }, path: model, body: chatBody, code: goose.CodeNoRoute},
		"all servers leaving":       {change: func(_ *Options, e *testEntry) { e.catalogue.Servers[0].State = goose.StateLeaving }, path: model, body: chatBody, code: goose.CodeLeaving, after: 5},
		"condemned": {change: func(_ *Options, e *testEntry) {
			e.suspects.Crashes[goose.NewFingerprint("forge", "mend", []byte(chatBody))] = 2
		}, path: model, body: chatBody, code: goose.CodeCrashesBackend},
		"body too large":        {change: func(o *Options, _ *testEntry) { o.Limits.MaxBodyBytes = 10 }, path: model, body: chatBody, code: goose.CodePromptTooLong},
		"body bytes in flight":  {change: func(o *Options, _ *testEntry) { o.Limits.MaxBodyBytesInFlight = 10 }, path: model, body: chatBody, code: goose.CodeOverloaded, after: 1},
		"deadline in the queue": {change: func(_ *Options, e *testEntry) { e.permits.HoldRequests = true }, path: order, body: "{}", header: []string{"Idempotency-Key", "k", "X-Request-Timeout", "300ms"}, code: goose.CodeDeadline, after: 1},
		"store unavailable":     {change: func(_ *Options, e *testEntry) { e.ledger.Down = true }, path: order, body: "{}", header: []string{"Idempotency-Key", "k"}, code: goose.CodeStoreUnavailable, run: goose.RunStateUnknown, after: 2},
		"key reused": {change: func(_ *Options, e *testEntry) {
			e.ledger.Orders = map[string]goose.Order{"k": {BodyHash: "other", State: goose.OrderDone}}
		}, path: order, body: "{}", header: []string{"Idempotency-Key", "k"}, code: goose.CodeKeyReused, run: goose.RunStateRan},
	} {
		t.Run(name, func(t *testing.T) {
			b := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			e := newTestEntry(t, c.change, b)
			resp := e.post(t, c.path, c.body, c.header...)
			got := decodeRefusal(t, resp.body)
			if c.run == "" {
				c.run = goose.RunStateNotRun
			}
			if got.Code != c.code || got.Run != c.run || got.Message == "" {
				t.Errorf("refusal: got %+v, want code %s, run %s and a message", got, c.code, c.run)
			}
			if got, want := resp.status, c.code.Status(); got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := resp.header.Get("Retry-After"), strings.TrimPrefix(strconv.Itoa(c.after), "0"); got != want {
				t.Errorf("Retry-After: got %q, want %q", got, want)
			}
			if resp.header.Get("X-Request-Id") == "" {
				t.Error("no X-Request-Id")
			}
			e.waitDrained(t)
			if got := b.Seen("POST"); got != 0 {
				t.Errorf("backend server got %d requests, want 0", got)
			}
			if got, want := e.bodies.free(), e.bodies.smallBytes+e.bodies.longBytes; got != want {
				t.Errorf("got %d body bytes free after all work ended, want %d", got, want)
			}
			line := map[string]any{}
			if err := json.Unmarshal(e.logs.Bytes(), &line); err != nil || line["event"] != 501.0 || line["code"] != string(c.code) {
				t.Errorf("log: got %q, want one event 501 with the code", e.logs)
			}
		})
	}
}

// Guards against a refusal that is lost because the connection is reset while
// the caller is still sending a long body, and against one that is sent only
// after the body.
func TestRefusalBeforeLongBody(t *testing.T) {
	e := newTestEntry(t, func(o *Options, _ *testEntry) { o.Limits.MaxBodyBytes = 1 << 20 }, goosetest.NewBackend(t, nil))
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	const length, first = 9 << 20, 64 << 10
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer forge-key\r\nContent-Length: %d\r\n\r\n%s", length, make([]byte, first))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil || !strings.Contains(line, " 413 ") {
		t.Fatalf("response before the rest of the body: got %q, %v", line, err)
	}
	if _, err := conn.Write(make([]byte, length-first)); err != nil {
		t.Errorf("body after the response: %v", err)
	}
	rest, err := io.ReadAll(in)
	if err != nil || !strings.Contains(string(rest), "body-too-large") {
		t.Errorf("rest of the response: got %q, %v", rest, err)
	}
}

// Guards against requests outside the API that are refused with the code of
// another error, without the ID by which they are found in the log, or without
// a log line.
func TestUnknownRoute(t *testing.T) {
	for name, tt := range map[string]struct {
		method, path string
		status       int
		code         goose.RefusalCode
	}{
		"unknown path":   {http.MethodPost, "/v2/chat", http.StatusNotFound, goose.CodeNotFound},
		"unknown method": {http.MethodGet, "/v1/completions", http.StatusMethodNotAllowed, goose.CodeMethodNotAllowed},
		"long header":    {http.MethodGet, "/" + strings.Repeat("a", 32<<10), http.StatusRequestHeaderFieldsTooLarge, goose.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, nil)
			req, err := http.NewRequestWithContext(t.Context(), tt.method, e.url+tt.path, strings.NewReader(chatBody))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			if got := decodeRefusal(t, string(body)); resp.StatusCode != tt.status || got.Code != tt.code || got.Run != goose.RunStateNotRun {
				t.Errorf("got %d %+v, want %d %s not-run", resp.StatusCode, got, tt.status, tt.code)
			}
			id := resp.Header.Get("X-Request-Id")
			line := map[string]any{}
			if err := json.Unmarshal(e.logs.Bytes(), &line); err != nil || id == "" || line["request"] != id || line["event"] != 501.0 {
				t.Errorf("got X-Request-Id %q and log %q, want one event 501 with this id", id, e.logs)
			}
		})
	}
}

// Guards against a drain that cancels a running request, and against one that
// still admits new requests.
func TestDrain(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	engine := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		close(started)
		<-release
		goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 1, 2)
		goosetest.EndOfStream(w)
	})
	e := newTestEntry(t, nil, engine)
	first := make(chan response)
	go func() { first <- e.post(t, "/v1/chat/completions", chatBody) }()
	<-started
	drained := make(chan error)
	go func() { drained <- e.Drain(context.Background()) }()
	var refused response
	for refused.status != http.StatusServiceUnavailable {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := e.send(ctx, "/services/none", "")
		if err == nil {
			refused.status = resp.StatusCode
			_ = resp.Body.Close()
		}
		cancel()
	}
	select {
	case err := <-drained:
		t.Fatalf("drain ended with %v while a request ran", err)
	default:
	}
	close(release)
	if got, want := streamText((<-first).body), "t0 t1 "; got != want {
		t.Errorf("text during drain: got %q, want %q", got, want)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want nil", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if !e.running.tryAdd() {
		e.running.add()
	}
	if err := e.Drain(ctx); err == nil || !strings.Contains(fmt.Sprint(err), "1 requests") {
		t.Errorf("drain out of time: got %v, want an error with the count", err)
	}
}
