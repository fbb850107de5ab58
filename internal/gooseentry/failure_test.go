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

// streamID is the attempt that a resume asks for.
func streamID(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/streams/") }

// Guards against lost or repeated tokens when the connection to a live engine
// is cut: the stream is resumed at its offset, and nothing is sent again.
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
	r := newRig(t, nil, engine)
	if got, want := r.chat(t, chat), "t0 t1 t2 t3 "; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	r.drained(t)
	if got := engine.Seen("POST"); got != 1 {
		t.Errorf("requests at the engine: got %d, want 1", got)
	}
	if got, want := r.permits.Outcomes(), "finished"; got != want {
		t.Errorf("outcomes: got %q, want %q", got, want)
	}
}

// Guards against a lost request when an engine dies, before and after the first
// token: it goes on elsewhere behind the delivered tokens, and the dead
// engine's requests become suspects.
func TestDeadEngineIsReplaced(t *testing.T) {
	for name, tokens := range map[string]int{"before the first token": 0, "after two tokens": 2} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil, goosetest.NewBackend(t, goosetest.Dying(tokens)), goosetest.NewBackend(t, goosetest.Answering(4)))
			if got, want := r.chat(t, chat), "t0 t1 t2 t3 "; got != want {
				t.Errorf("text: got %q, want %q", got, want)
			}
			r.drained(t)
			if got, want := r.permits.Outcomes(), "crashed finished"; got != want {
				t.Errorf("outcomes: got %q, want %q", got, want)
			}
			if got := r.permits.Requests[1]; got.Suspicion != goose.SuspicionSuspect || len(got.Avoid) != 1 {
				t.Errorf("second permit request: got %+v, want a suspect that avoids the dead engine", got)
			}
			if got := r.suspects.Clearances; got != 1 {
				t.Errorf("suspects cleared: got %d, want 1", got)
			}
			if got := r.suspects.Trials; got != 1 {
				t.Errorf("trials of a suspect: got %d, want 1", got)
			}
		})
	}
}

// Guards against a request that kills engine after engine: it ends after two.
func TestCrashingRequestIsCondemned(t *testing.T) {
	var all []*goosetest.Backend
	for range 4 {
		all = append(all, goosetest.NewBackend(t, goosetest.Dying(0)))
	}
	r := newRig(t, nil, all...)
	a := r.post(t, "/v1/chat/completions", chat)
	if got := refusalIn(t, a.body); got.Code != goose.CodeCrashesBackend || got.Run != goose.RunStateUnknown {
		t.Errorf("refusal of the running request: got %+v", got)
	}
	a = r.post(t, "/v1/chat/completions", chat)
	if got := refusalIn(t, a.body); got.Code != goose.CodeCrashesBackend || got.Run != goose.RunStateNotRun {
		t.Errorf("refusal of its repeat: got %+v", got)
	}
	r.drained(t)
	if got := all[0].Seen("POST") + all[1].Seen("POST") + all[2].Seen("POST"); got != 2 {
		t.Errorf("engines that got the request: got %d, want 2", got)
	}
}

// Guards against one crash that counts twice for a request, because some of the
// requests on the engine had not learnt its process yet: all must finish.
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
	r := newRig(t, nil, engine, goosetest.NewBackend(t, goosetest.Answering(2)))
	var group conc.WaitGroup
	for i := range n {
		group.Go(func() {
			if got, want := r.chat(t, strings.Replace(chat, "sharpen", "sharpen "+strconv.Itoa(i), 1)), "t0 t1 "; got != want {
				t.Errorf("text: got %q, want %q", got, want)
			}
		})
	}
	group.Wait()
}

// Guards against work that goes on for a caller that has left, while it waits
// for a permit and while the engine answers: the permit is abandoned or released
// as cancelled, and the engine's stream is cancelled by its id.
func TestCallerVanishes(t *testing.T) {
	for name, c := range map[string]struct{ queued, stream bool }{
		"queued":              {queued: true, stream: true},
		"queued, not SSE":     {queued: true},
		"streaming":           {stream: true},
		"collecting, not SSE": {},
	} {
		t.Run(name, func(t *testing.T) {
			engine := goosetest.NewBackend(t, goosetest.Stuck(2))
			r := newRig(t, func(o *Options, r *rig) {
				r.permits.Hold = c.queued
				o.Limits.HeaderDelay = time.Hour
			}, engine)
			conn := r.raw(t, "/v1/chat/completions", strings.Replace(chat, "true", strconv.FormatBool(c.stream), 1))
			// An attempt that ends before the engine's answer is cancelled twice.
			for r.permits.Asked() == 0 || !c.queued && r.permits.Prefills() == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = conn.Close()
			r.drained(t)
			want := "cancelled"
			if c.queued {
				want = ""
			}
			if got := r.permits.Outcomes(); got != want {
				t.Errorf("outcomes: got %q, want %q", got, want)
			}
			if got := engine.Seen("DELETE /v1/streams/permit-1"); got != engine.Seen("POST") {
				t.Errorf("streams cancelled: got %d, want %d", got, engine.Seen("POST"))
			}
		})
	}
}

// Guards against an answer of another request that is taken for the caller's
// when connections are crossed: its frames and end marker do not count.
func TestCrossedAnswer(t *testing.T) {
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
	r := newRig(t, nil, engine)
	if got, want := r.chat(t, chat), "t0 t1 t2 t3 "; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
}

// Guards against tokens beyond the end of an answer: if only the end marker is
// lost and the engine has forgotten the stream, nothing is generated anew.
func TestLostEndMarker(t *testing.T) {
	for name, c := range map[string]struct {
		max, want string
		sent      int
	}{"all tokens came": {max: "2", want: "t0 t1 ", sent: 1}, "tokens are missing": {max: "3", want: "t0 t1 t2 ", sent: 2}} {
		t.Run(name, func(t *testing.T) {
			forgetful := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					goosetest.Chunks(w, r.Header.Get("X-Request-Id"), 0, 2)
					return
				}
				http.NotFound(w, r)
			})
			other := goosetest.NewBackend(t, goosetest.Answering(3))
			r := newRig(t, nil, forgetful, other)
			a := r.post(t, "/v1/chat/completions", strings.Replace(chat, "16", c.max, 1))
			if got := textOf(a.body); got != c.want || !strings.HasSuffix(a.body, "[DONE]\n\n") {
				t.Errorf("answer: got %q, want %q and an end marker", got, c.want)
			}
			if got := forgetful.Seen("POST") + other.Seen("POST"); got != c.sent {
				t.Errorf("attempts: got %d, want %d", got, c.sent)
			}
		})
	}
}

// Guards against work that outlives its deadline at each stage of a model
// request, against a wrong statement of what ran, against a stream that stays at
// the engine, and against wasted tokens that are not counted.
func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		tokens   int
		stream   bool
		hold     bool
		status   int
		run      goose.RunState
		outcomes string
		// An engine that has not answered may still take the request in after the
		// first cancel, so it gets two.
		cancels int
		wasted  int
	}{
		"in the queue":              {hold: true, stream: true, status: 504, run: goose.RunStateNotRun},
		"in the queue, not SSE":     {hold: true, status: 504, run: goose.RunStateNotRun},
		"before the first token":    {stream: true, status: 504, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 2},
		"while streaming":           {stream: true, tokens: 2, status: 200, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 1},
		"while collecting, not SSE": {tokens: 2, status: 504, run: goose.RunStateUnknown, outcomes: "cancelled", cancels: 1, wasted: 2},
	} {
		t.Run(name, func(t *testing.T) {
			engine := goosetest.NewBackend(t, goosetest.Stuck(c.tokens))
			r := newRig(t, func(o *Options, r *rig) {
				r.permits.Hold = c.hold
				o.Limits.HeaderDelay = time.Minute
			}, engine)
			wasted := metrics.GetOrCreateCounter(`gooseberryhold_wasted_tokens_total{cause="deadline"}`)
			before := wasted.Get()
			a := r.post(t, "/v1/chat/completions", strings.Replace(chat, "true", strconv.FormatBool(c.stream), 1), "X-Request-Timeout", "1s")
			_, last, _ := strings.Cut(a.body, "event: error\ndata: ")
			if last == "" {
				last = a.body
			}
			if got := refusalIn(t, last); a.status != c.status || got.Code != goose.CodeDeadline || got.Run != c.run {
				t.Errorf("got %d %+v, want %d deadline %s", a.status, got, c.status, c.run)
			}
			if strings.Contains(a.body, "[DONE]") {
				t.Error("end marker after an error")
			}
			r.drained(t)
			if got := r.permits.Outcomes(); got != c.outcomes {
				t.Errorf("outcomes: got %q, want %q", got, c.outcomes)
			}
			if got := engine.Seen("DELETE /v1/streams/permit-1"); got != c.cancels {
				t.Errorf("cancels: got %d, want %d", got, c.cancels)
			}
			if got := int(wasted.Get() - before); got != c.wasted {
				t.Errorf("wasted tokens: got %d, want %d", got, c.wasted)
			}
		})
	}
}

// Guards against a waiting stream without keep-alive comments, and against a
// refusal after the stream began that has no error event.
func TestKeepAliveThenError(t *testing.T) {
	r := newRig(t, func(o *Options, r *rig) {
		r.permits.Hold = true
		o.Limits.HeaderDelay = time.Millisecond
	}, goosetest.NewBackend(t, nil))
	a := r.post(t, "/v1/chat/completions", chat, "X-Request-Timeout", "2s")
	if a.status != http.StatusOK || !strings.HasPrefix(a.body, ": keep-alive\n\n") || !strings.Contains(a.body, "event: error\ndata: {") {
		t.Errorf("got %d %q, want comments and an error event", a.status, a.body)
	}
}

// Guards against retries without bound: two per request, and a tenth of all
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
			r := newRig(t, func(o *Options, r *rig) {
				o.Limits.RetryBurst = c.burst
			}, all...)
			got := refusalIn(t, r.post(t, "/v1/chat/completions", chat).body)
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

// Guards against a request that is refused although another data centre has
// room, and against the loss of the own data centre's advice if none has.
func TestOtherDataCentre(t *testing.T) {
	full := map[goose.DataCentre]time.Duration{"leith": 3 * time.Second}
	r := newRig(t, func(_ *Options, r *rig) {
		away := r.cat.Servers[0]
		away.DataCentre = "dalkeith"
		r.cat.Servers = append(r.cat.Servers, away)
		r.permits.Refuse = func(q goose.PermitRequest) *goose.Refusal {
			after, ok := full[q.Pool.DataCentre]
			if !ok {
				return nil
			}
			n := goose.NotRunRefusal(goose.CodeOverloaded, "full").WithRetryAfter(after)
			return &n
		}
	}, goosetest.NewBackend(t, goosetest.Answering(1)))
	if got := r.chat(t, chat); got != "t0 " {
		t.Errorf("answer: got %q, want the other data centre's", got)
	}
	r.permits.Mu.Lock()
	full["dalkeith"] = 9 * time.Second
	r.permits.Mu.Unlock()
	if got := r.post(t, "/v1/chat/completions", chat).header.Get("Retry-After"); got != "3" {
		t.Errorf("Retry-After: got %q, want the own data centre's 3", got)
	}
}

// Guards against a refusal that says not-run because the last attempt was not
// sent, although an earlier one ran.
func TestEarlierAttemptCounts(t *testing.T) {
	r := newRig(t, func(_ *Options, r *rig) {
		r.cat.Servers = append(r.cat.Servers, r.cat.Servers[0])
		r.cat.Servers[len(r.cat.Servers)-1].Name, r.cat.Servers[len(r.cat.Servers)-1].Address = "none", "127.0.0.1:1"
	}, goosetest.NewBackend(t, goosetest.Dying(1)))
	if got := refusalIn(t, r.post(t, "/v1/chat/completions", strings.Replace(chat, "true", "false", 1)).body); got.Run != goose.RunStateUnknown {
		t.Errorf("refusal: got %+v, want run unknown", got)
	}
}

// Guards against an answer that is cut or called late although it was whole when
// its deadline passed: frames come first, then the result.
func TestWholeAnswerAtTheDeadline(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errDeadline)
		j := &job{ctx: ctx, frames: make(chan goose.Frame, 1), result: make(chan result, 1)}
		j.frames <- goose.Frame{Last: true}
		j.result <- result{}
		if w, f, _ := j.next(nil, nil); w != waitFrame || !f.Last {
			t.Fatalf("first: got %v %+v, want the frame", w, f)
		}
		if w, _, res := j.next(nil, nil); w != waitResult || res.refusal != nil {
			t.Fatalf("second: got %v %+v, want the whole answer", w, res.refusal)
		}
	}
}

// Guards against a connection that loses the request after a stream which failed
// at its deadline, and against a write deadline that such a stream leaves to the
// next answer.
func TestConnectionServesAfterTheDeadline(t *testing.T) {
	r := newRig(t, nil, goosetest.NewBackend(t, goosetest.Stuck(2)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	send := func(timeout string) {
		_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer forge-key\r\nX-Request-Timeout: %s\r\nContent-Length: %d\r\n\r\n%s", timeout, len(chat), chat)
		if err != nil {
			t.Fatal(err)
		}
	}
	for i, timeout := range []string{"1s", "1s", "4s"} {
		send(timeout)
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		// The last stream writes later than lastWrite after the one before ended.
		body, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil || !strings.Contains(string(body), string(goose.CodeDeadline)) {
			t.Fatalf("answer %d: got %q, %v, want a refusal at its deadline", i, body, err)
		}
	}
}

// Guards against a stream that ends with neither its end marker nor a refusal,
// because a probe of the connection right after the deadline takes the caller
// for gone.
func TestProbeAfterTheDeadline(t *testing.T) {
	r := newRig(t, nil)
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
	j := r.newJob(&request{id: "r", deadline: time.Now()})
	<-j.ctx.Done()
	s := &streamer{e: r.Entry, j: j, conn: conn}
	s.guard.expire(conn)()
	if err := caller.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	for !gone(conn) {
		time.Sleep(time.Millisecond)
	}
	var out bytes.Buffer
	if err := s.idle(bufio.NewWriter(&out), 0); err != nil {
		t.Fatalf("probe after the deadline: got %v, want the stream to go on to its refusal", err)
	}
	if _, _, res := j.next(nil, nil); res.refusal == nil || res.refusal.Code != goose.CodeDeadline || res.refusal.Reason != "" {
		t.Errorf("got %v, want the refusal of the deadline", res.refusal)
	}
}
