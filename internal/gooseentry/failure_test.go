package gooseentry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// streamID returns the attempt ID in a request to resume a stream.
func streamID(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/streams/") }

// Guards against lost or repeated tokens when the connection to a live engine
// breaks: the stream is resumed at its offset, and the request is not sent
// again.
func TestCutStreamIsResumed(t *testing.T) {
	engine := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 2)
			goosetest.HangUp(w)
		case r.URL.Query().Get("offset") == "2":
			goosetest.Chunks(w, streamID(r), 2, 3)
			goosetest.HangUp(w)
		case r.URL.Query().Get("offset") == "3":
			goosetest.Chunks(w, streamID(r), 3, 4)
			goosetest.EndOfStream(w)
		}
	})
	e := newTestEntry(t, nil, engine)
	if got, want := e.chatText(t, chatBody), "t0 t1 t2 t3 "; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	e.waitDrained(t)
	if got := engine.Seen("POST"); got != 1 {
		t.Errorf("requests at the engine: got %d, want 1", got)
	}
	if got, want := e.permits.Outcomes(), "finished"; got != want {
		t.Errorf("outcomes: got %q, want %q", got, want)
	}
}

// Guards against a lost request when an engine crashes before or after the
// first token: the request continues on another engine after the delivered
// tokens, and the requests of the crashed engine become suspects.
func TestDeadEngineIsReplaced(t *testing.T) {
	for name, tokens := range map[string]int{"before the first token": 0, "after two tokens": 2} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, nil, goosetest.NewBackend(t, goosetest.Dying(tokens)), goosetest.NewBackend(t, goosetest.Answering(4)))
			if got, want := e.chatText(t, chatBody), "t0 t1 t2 t3 "; got != want {
				t.Errorf("text: got %q, want %q", got, want)
			}
			e.waitDrained(t)
			if got, want := e.permits.Outcomes(), "crashed finished"; got != want {
				t.Errorf("outcomes: got %q, want %q", got, want)
			}
			if got := e.permits.Requests[1]; got.Suspicion != goose.SuspicionSuspect || len(got.Avoid) != 1 {
				t.Errorf("second permit request: got %+v, want a suspect that avoids the dead engine", got)
			}
			if got := e.suspects.Clearances; got != 1 {
				t.Errorf("suspects cleared: got %d, want 1", got)
			}
			if got := e.suspects.Trials; got != 1 {
				t.Errorf("trials of a suspect: got %d, want 1", got)
			}
		})
	}
}

// Guards against a request that crashes one engine after another: it is refused
// after two crashes.
func TestCrashingRequestIsCondemned(t *testing.T) {
	var all []*goosetest.Backend
	for range 4 {
		all = append(all, goosetest.NewBackend(t, goosetest.Dying(0)))
	}
	e := newTestEntry(t, nil, all...)
	resp := e.post(t, "/v1/chat/completions", chatBody)
	if got := decodeRefusal(t, resp.body); got.Code != goose.CodeCrashesBackend || got.Run != goose.RunStateUnknown {
		t.Errorf("refusal of the running request: got %+v", got)
	}
	resp = e.post(t, "/v1/chat/completions", chatBody)
	if got := decodeRefusal(t, resp.body); got.Code != goose.CodeCrashesBackend || got.Run != goose.RunStateNotRun {
		t.Errorf("refusal of its repeat: got %+v", got)
	}
	e.waitDrained(t)
	if got := all[0].Seen("POST") + all[1].Seen("POST") + all[2].Seen("POST"); got != 2 {
		t.Errorf("engines that got the request: got %d, want 2", got)
	}
}

// Guards against one crash that counts twice for a request, because the process
// was not yet known for some of the requests on the engine. All requests must
// finish.
func TestOneCrashCountsOnce(t *testing.T) {
	const n = 8
	var arrived sync.WaitGroup
	arrived.Add(n)
	var seq atomic.Int64
	engine := goosetest.NewBackend(t, func(b *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		if seq.Add(1)%2 == 0 {
			w.Header().Set("X-Process-Id", "p1")
			goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
		}
		arrived.Done()
		arrived.Wait()
		time.Sleep(50 * time.Millisecond)
		_ = b.Listener.Close()
		goosetest.HangUp(w)
	})
	e := newTestEntry(t, nil, engine, goosetest.NewBackend(t, goosetest.Answering(2)))
	var group conc.WaitGroup
	for i := range n {
		group.Go(func() {
			if got, want := e.chatText(t, strings.Replace(chatBody, "sharpen", "sharpen "+strconv.Itoa(i), 1)), "t0 t1 "; got != want {
				t.Errorf("text: got %q, want %q", got, want)
			}
		})
	}
	group.Wait()
}

// Guards against work that continues after its caller has disconnected, while
// it waits for a permit or while the engine responds: the permit request is
// abandoned or the permit is released as cancelled, and the engine's stream is
// cancelled by its ID.
func TestCallerDisconnects(t *testing.T) {
	for name, c := range map[string]struct{ queued, stream bool }{
		"queued":                 {queued: true, stream: true},
		"queued, non-streaming":  {queued: true},
		"streaming":              {stream: true},
		"running, non-streaming": {},
	} {
		t.Run(name, func(t *testing.T) {
			engine := goosetest.NewBackend(t, goosetest.Stuck(2))
			e := newTestEntry(t, func(o *Options, e *testEntry) {
				e.permits.HoldRequests = c.queued
				o.Limits.HeaderDelay = time.Hour
			}, engine)
			conn := e.sendRaw(t, "/v1/chat/completions", strings.Replace(chatBody, "true", strconv.FormatBool(c.stream), 1))
			// An attempt that ends before the engine has responded is cancelled
			// twice, so the test waits for the first token.
			for e.permits.Asked() == 0 || !c.queued && e.permits.Prefills() == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = conn.Close()
			e.waitDrained(t)
			want := "cancelled"
			if c.queued {
				want = ""
			}
			if got := e.permits.Outcomes(); got != want {
				t.Errorf("outcomes: got %q, want %q", got, want)
			}
			if got := engine.Seen("DELETE /v1/streams/permit-1"); got != engine.Seen("POST") {
				t.Errorf("streams cancelled: got %d, want %d", got, engine.Seen("POST"))
			}
		})
	}
}

// Guards against frames of another request that are passed to the caller when
// connections are mixed up: its frames and end marker do not count.
func TestFramesOfOtherRequestAreIgnored(t *testing.T) {
	engine := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 1)
			goosetest.Chunks(w, "another", 1, 3)
			goosetest.EndOfStream(w)
			return
		}
		goosetest.Chunks(w, streamID(r), 0, 4)
		goosetest.EndOfStream(w)
	})
	e := newTestEntry(t, nil, engine)
	if got, want := e.chatText(t, chatBody), "t0 t1 t2 t3 "; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
}

// Guards against tokens after the end of a response: if only the end marker is
// lost and the engine no longer has the stream, nothing is generated again.
func TestLostEndMarker(t *testing.T) {
	for name, c := range map[string]struct {
		max, want string
		sent      int
	}{"all tokens arrived": {max: "2", want: "t0 t1 ", sent: 1}, "tokens are missing": {max: "3", want: "t0 t1 t2 ", sent: 2}} {
		t.Run(name, func(t *testing.T) {
			forgetful := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 2)
					return
				}
				http.NotFound(w, r)
			})
			other := goosetest.NewBackend(t, goosetest.Answering(3))
			e := newTestEntry(t, nil, forgetful, other)
			resp := e.post(t, "/v1/chat/completions", strings.Replace(chatBody, "16", c.max, 1))
			if got := streamText(resp.body); got != c.want || !strings.HasSuffix(resp.body, "[DONE]\n\n") {
				t.Errorf("text: got %q, want %q and an end marker", got, c.want)
			}
			if got := forgetful.Seen("POST") + other.Seen("POST"); got != c.sent {
				t.Errorf("attempts: got %d, want %d", got, c.sent)
			}
		})
	}
}

// Guards, at each stage of a model request, against work that continues after
// the deadline, against a wrong run state, against a stream that is not
// cancelled at the engine, and against wasted tokens that are not counted.
func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		tokens   int
		stream   bool
		hold     bool
		status   int
		run      goose.RunState
		outcomes string
		// An engine that has not responded may still accept the request after the
		// first cancel call, so it gets two.
		cancels int
		wasted  int
	}{
		"in the queue":                 {hold: true, stream: true, status: 504, run: goose.RunStateNotRun},
		"in the queue, non-streaming":  {hold: true, status: 504, run: goose.RunStateNotRun},
		"before the first token":       {stream: true, status: 504, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 2},
		"while streaming":              {stream: true, tokens: 2, status: 200, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 1},
		"while running, non-streaming": {tokens: 2, status: 504, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 1, wasted: 2},
	} {
		t.Run(name, func(t *testing.T) {
			engine := goosetest.NewBackend(t, goosetest.Stuck(c.tokens))
			e := newTestEntry(t, func(o *Options, e *testEntry) {
				e.permits.HoldRequests = c.hold
				o.Limits.HeaderDelay = time.Minute
			}, engine)
			wasted := metrics.GetOrCreateCounter(`gooseberryhold_wasted_tokens_total{cause="deadline"}`)
			before := wasted.Get()
			resp := e.post(t, "/v1/chat/completions", strings.Replace(chatBody, "true", strconv.FormatBool(c.stream), 1), "X-Request-Timeout", "1s")
			_, last, _ := strings.Cut(resp.body, "event: error\ndata: ")
			if last == "" {
				last = resp.body
			}
			if got := decodeRefusal(t, last); resp.status != c.status || got.Code != goose.CodeDeadline || got.Run != c.run {
				t.Errorf("got %d %+v, want %d deadline %s", resp.status, got, c.status, c.run)
			}
			if strings.Contains(resp.body, "[DONE]") {
				t.Error("end marker after an error")
			}
			e.waitDrained(t)
			if got := e.permits.Outcomes(); got != c.outcomes {
				t.Errorf("outcomes: got %q, want %q", got, c.outcomes)
			}
			if got := engine.Seen("DELETE /v1/streams/permit-1"); got != c.cancels {
				t.Errorf("cancel calls: got %d, want %d", got, c.cancels)
			}
			if got := int(wasted.Get() - before); got != c.wasted {
				t.Errorf("wasted tokens: got %d, want %d", got, c.wasted)
			}
		})
	}
}

// Guards against a waiting stream without keep-alive comments, and against a
// refusal without an error event after the stream has begun.
func TestKeepAliveThenError(t *testing.T) {
	e := newTestEntry(t, func(o *Options, e *testEntry) {
		e.permits.HoldRequests = true
		o.Limits.HeaderDelay = time.Millisecond
	}, goosetest.NewBackend(t, nil))
	resp := e.post(t, "/v1/chat/completions", chatBody, "X-Request-Timeout", "2s")
	if resp.status != http.StatusOK || !strings.HasPrefix(resp.body, ": keep-alive\n\n") || !strings.Contains(resp.body, "event: error\ndata: {") {
		t.Errorf("got %d %q, want comments and an error event", resp.status, resp.body)
	}
}

// Guards against unbounded retries: at most two per request, and a tenth of all
// requests once the burst is used up.
func TestRetriesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		burst float64
		sent  int
	}{"per request": {burst: 10, sent: 3}, "per instance": {burst: 1, sent: 2}} {
		t.Run(name, func(t *testing.T) {
			var all []*goosetest.Backend
			for range 5 {
				all = append(all, goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}))
			}
			e := newTestEntry(t, func(o *Options, e *testEntry) {
				o.Limits.RetryBurst = c.burst
			}, all...)
			got := decodeRefusal(t, e.post(t, "/v1/chat/completions", chatBody).body)
			if got.Code != goose.CodeBackendFailed || got.Run != goose.RunStateUnknown {
				t.Errorf("refusal: got %+v, want backend-failed, unknown", got)
			}
			sent := 0
			for _, b := range all {
				sent += b.Seen("POST")
			}
			if sent != c.sent {
				t.Errorf("attempts: got %d, want %d", sent, c.sent)
			}
		})
	}
}

// Guards against a refusal although another data centre has capacity, and
// against the loss of the Retry-After of the instance's own data centre if none
// has.
func TestOtherDataCentre(t *testing.T) {
	full := map[goose.DataCentre]time.Duration{"leith": 3 * time.Second}
	e := newTestEntry(t, func(_ *Options, e *testEntry) {
		away := e.catalogue.Servers[0]
		away.DataCentre = "dalkeith"
		e.catalogue.Servers = append(e.catalogue.Servers, away)
		e.permits.Refuse = func(req goose.PermitRequest) *goose.Refusal {
			after, ok := full[req.Pool.DataCentre]
			if !ok {
				return nil
			}
			n := goose.NotRunRefusal(goose.CodeOverloaded, "full").WithRetryAfter(after)
			return &n
		}
	}, goosetest.NewBackend(t, goosetest.Answering(1)))
	if got := e.chatText(t, chatBody); got != "t0 " {
		t.Errorf("text: got %q, want the other data centre's", got)
	}
	e.permits.Mu.Lock()
	full["dalkeith"] = 9 * time.Second
	e.permits.Mu.Unlock()
	if got := e.post(t, "/v1/chat/completions", chatBody).header.Get("Retry-After"); got != "3" {
		t.Errorf("Retry-After: got %q, want the own data centre's 3", got)
	}
}

// Guards against a refusal that says not-run because the last attempt was not
// sent, although an earlier one ran.
func TestEarlierAttemptCounts(t *testing.T) {
	e := newTestEntry(t, func(_ *Options, e *testEntry) {
		e.catalogue.Servers = append(e.catalogue.Servers, e.catalogue.Servers[0])
		e.catalogue.Servers[len(e.catalogue.Servers)-1].Name, e.catalogue.Servers[len(e.catalogue.Servers)-1].Address = "none", "127.0.0.1:1"
	}, goosetest.NewBackend(t, goosetest.Dying(1)))
	if got := decodeRefusal(t, e.post(t, "/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1)).body); got.Run != goose.RunStateUnknown {
		t.Errorf("refusal: got %+v, want run unknown", got)
	}
}

// Guards against a response that is cut off or refused for its deadline
// although it was complete when the deadline passed: the frames are returned
// first, then the result.
func TestCompleteResponseAtDeadline(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errDeadline)
		j := &job{ctx: ctx, frames: make(chan goose.Frame, 1), result: make(chan result, 1)}
		j.frames <- goose.Frame{Last: true}
		j.result <- result{}
		if ev, f, _ := j.nextEvent(nil, nil); ev != jobEventFrame || !f.Last {
			t.Fatalf("first: got %v %+v, want the frame", ev, f)
		}
		if ev, _, res := j.nextEvent(nil, nil); ev != jobEventResult || res.refusal != nil {
			t.Fatalf("second: got %v %+v, want the complete response", ev, res.refusal)
		}
	}
}

// Guards against a connection that loses its next request after a stream failed
// at its deadline, and against a write deadline that such a stream leaves for
// the next response.
func TestConnectionIsReusedAfterDeadline(t *testing.T) {
	e := newTestEntry(t, nil, goosetest.NewBackend(t, goosetest.Stuck(2)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	send := func(timeout string) {
		_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer forge-key\r\nX-Request-Timeout: %s\r\nContent-Length: %d\r\n\r\n%s", timeout, len(chatBody), chatBody)
		if err != nil {
			t.Fatal(err)
		}
	}
	for i, timeout := range []string{"1s", "1s", "4s"} {
		send(timeout)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		// The last stream writes later than finalWriteTimeout after the previous
		// one ended.
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(body), string(goose.CodeDeadline)) {
			t.Fatalf("response %d: got %q, %v, want a refusal at its deadline", i, body, err)
		}
	}
}

// Guards against a stream that ends with neither its end marker nor a refusal,
// because a check of the connection directly after the deadline treats the
// caller as gone.
func TestProbeAfterDeadline(t *testing.T) {
	e := newTestEntry(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	j := e.newJob(&request{id: "r", deadline: time.Now()})
	<-j.ctx.Done()
	s := &streamWriter{entry: e.Entry, job: j, conn: conn}
	s.guard.deadlineFunc(conn)()
	if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for !callerDisconnected(conn) {
		time.Sleep(time.Millisecond)
	}
	var out bytes.Buffer
	if err := s.checkIdle(bufio.NewWriter(&out), 0); err != nil {
		t.Fatalf("probe after the deadline: got %v, want the stream to go on to its refusal", err)
	}
	if _, _, res := j.nextEvent(nil, nil); res.refusal == nil || res.refusal.Code != goose.CodeDeadline || res.refusal.Reason != "" {
		t.Errorf("got %v, want the refusal of the deadline", res.refusal)
	}
}
