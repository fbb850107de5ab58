package gooseengine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// frame returns a streamed chunk in the format of an engine.
func frame(id string, offset, tokens int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"offset\":%d,\"tokens\":%d,\"choices\":[{\"text\":%q}]}\n\n", id, offset, tokens, text)
}

const endEvent = "data: [DONE]\n\n"

// serve starts a server that handles every request with handle, and returns its address.
func serve(t testing.TB, handle http.HandlerFunc) string {
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func attemptAt(address string) goose.Attempt {
	return goose.Attempt{ID: "a1", Address: address, Path: "/v1/completions", Method: http.MethodPost, Body: []byte("{}")}
}

// drain reads a stream to its end and closes it.
func drain(s goose.Stream) (text string, err error) {
	defer func() { _ = s.Close() }()
	for {
		f, err := s.Next()
		if err != nil {
			return text, err
		}
		text += f.Text
	}
}

// Guards against tokens that are lost, repeated or taken from the response to another
// attempt, and against a truncated response that counts as complete.
func TestFrames(t *testing.T) {
	a, b := frame("a1", 0, 1, "a"), frame("a1", 1, 2, "bc")
	for name, c := range map[string]struct {
		response string
		text     string
		want     error
		counter  func() uint64
	}{
		"whole":                         {response: a + b + endEvent, text: "abc", want: io.EOF},
		"comments and CRLF":             {response: ": hi\r\n\r\nevent: x\r\n" + strings.ReplaceAll(a+b+endEvent, "\n", "\r\n"), text: "abc", want: io.EOF},
		"no end marker":                 {response: a + b, text: "abc", want: goose.ErrDisconnected},
		"truncated end marker":          {response: a + b + "data: [DONE]", text: "abc", want: goose.ErrDisconnected},
		"repeated":                      {response: a + a + b + a + b + endEvent, text: "abc", want: io.EOF, counter: droppedRepeated.Get},
		"foreign":                       {response: a + frame("a2", 1, 2, "xy") + b + endEvent, text: "abc", want: io.EOF, counter: droppedForeign.Get},
		"end marker of another attempt": {response: a + frame("a2", 0, 1, "x") + endEvent, text: "a", want: goose.ErrDisconnected, counter: droppedForeign.Get},
		"missing":                       {response: b + endEvent, want: goose.ErrDisconnected, counter: droppedGap.Get},
		"late":                          {response: b + a + endEvent, want: goose.ErrDisconnected, counter: droppedGap.Get},
		"overlapping":                   {response: a + frame("a1", 0, 2, "ab") + endEvent, text: "a", want: goose.ErrDisconnected, counter: droppedGap.Get},
		"not JSON":                      {response: a + "data: {\n\n" + b + endEvent, text: "abc", want: io.EOF, counter: droppedMalformed.Get},
		"negative offset":               {response: a + frame("a1", -1, 1, "x") + b + endEvent, text: "abc", want: io.EOF, counter: droppedMalformed.Get},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.response) })
			var before uint64
			if c.counter != nil {
				before = c.counter()
			}
			s, err := OpenAI{}.Start(t.Context(), attemptAt(address))
			if err != nil {
				t.Fatal(err)
			}
			text, err := drain(s)
			if text != c.text || !errors.Is(err, c.want) || errors.Is(err, io.EOF) != errors.Is(c.want, io.EOF) {
				t.Errorf("got %q, %v; want %q, %v", text, err, c.text, c.want)
			}
			if c.counter != nil && c.counter() == before {
				t.Error("dropped frame was not counted")
			}
		})
	}
}

// Guards against the response to another attempt, and against a resume request without the
// offset: a resumed stream starts at the first token that the caller does not have.
func TestResume(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.String() {
		case "/v1/streams/a1?offset=3":
			_, _ = io.WriteString(w, frame("a1", 3, 1, "d")+endEvent)
		case "/v1/streams/a2?offset=3":
			w.Header().Set("X-Request-Id", "a3")
		default:
			http.NotFound(w, r)
		}
	})
	s, err := OpenAI{}.Resume(t.Context(), address, "a1", 3)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := drain(s); text != "d" || !errors.Is(err, io.EOF) {
		t.Errorf("resumed: got %q, %v", text, err)
	}
	if _, err := (OpenAI{}).Resume(t.Context(), address, "a2", 3); !errors.Is(err, goose.ErrDisconnected) {
		t.Errorf("response to another attempt: got %v, want %v", err, goose.ErrDisconnected)
	}
	if _, err := (OpenAI{}).Resume(t.Context(), address, "gone", 0); !errors.Is(err, goose.ErrStreamNotFound) {
		t.Errorf("unknown stream: got %v, want %v", err, goose.ErrStreamNotFound)
	}
	if err := (OpenAI{}).Cancel(t.Context(), address, "gone"); err != nil {
		t.Errorf("cancel of an unknown stream: got %v, want nil", err)
	}
}

// Guards against an HTTP client that retries a request by itself after the server has
// closed the connection: the server must receive exactly one request.
func TestNoResend(t *testing.T) {
	for name, call := range map[string]func(goose.Attempt) error{
		"openai start": func(a goose.Attempt) error { _, err := OpenAI{}.Start(context.Background(), a); return err },
		"http POST":    func(a goose.Attempt) error { _, err := Plain{}.Call(context.Background(), a); return err },
		"http GET": func(a goose.Attempt) error {
			a.Method, a.Body = http.MethodGet, nil
			_, err := Plain{}.Call(context.Background(), a)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var received atomic.Int64
			acceptEnded := make(chan struct{})
			go func() {
				defer close(acceptEnded)
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						received.Add(1)
					}
					_ = c.Close()
				}
			}()
			err = call(attemptAt(ln.Addr().String()))
			_ = ln.Close()
			<-acceptEnded
			if !errors.Is(err, goose.ErrDisconnected) || errors.Is(err, goose.ErrNotSent) {
				t.Errorf("error: got %v, want %v", err, goose.ErrDisconnected)
			}
			if got := received.Load(); got != 1 {
				t.Errorf("requests at the server: got %d, want 1", got)
			}
		})
	}
}

// Guards against a check that runs before the connection exists, since a permit could
// expire between the check and the send. Also guards against a request that counts as sent
// although its check or its connection failed.
func TestNotSent(t *testing.T) {
	connected := make(chan struct{}, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bytesRead := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		connected <- struct{}{}
		n, _ := c.Read(make([]byte, 1))
		bytesRead <- n
	}()
	a := attemptAt(ln.Addr().String())
	expired := errors.New("expired")
	a.BeforeSend = func() error {
		<-connected
		return expired
	}
	if _, err := (OpenAI{}).Start(t.Context(), a); !errors.Is(err, goose.ErrNotSent) || !errors.Is(err, expired) {
		t.Errorf("failed check: got %v, want %v and its cause", err, goose.ErrNotSent)
	}
	if n := <-bytesRead; n != 0 {
		t.Errorf("bytes at the server: got %d, want 0", n)
	}
	_ = ln.Close()
	a.BeforeSend = func() error { t.Error("check ran without a connection"); return nil }
	if _, err := (Plain{}).Call(t.Context(), a); !errors.Is(err, goose.ErrNotSent) {
		t.Errorf("no connection: got %v, want %v", err, goose.ErrNotSent)
	}
}

// Guards against a read that hangs after its context has ended, and against a
// closed stream whose connection stays open.
func TestCancelAndClose(t *testing.T) {
	for name, stop := range map[string]func(context.CancelCauseFunc, goose.Stream){
		"context": func(c context.CancelCauseFunc, _ goose.Stream) { c(errors.New("caller disconnected")) },
		"close":   func(_ context.CancelCauseFunc, s goose.Stream) { _ = s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			closeDetected := make(chan struct{})
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				// net/http detects a closed connection only after the body has been read.
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, frame("a1", 0, 1, "a"))
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				close(closeDetected)
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			s, err := OpenAI{}.Start(ctx, attemptAt(address))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Next(); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(20*time.Millisecond, func() { stop(cancel, s) })
			if _, err := s.Next(); !errors.Is(err, goose.ErrDisconnected) {
				t.Errorf("got %v, want %v", err, goose.ErrDisconnected)
			}
			_ = s.Close()
			<-closeDetected
		})
	}
}

// Guards against truncated responses of plain services, and responses to other requests,
// that count as complete.
func TestPlainCall(t *testing.T) {
	for name, c := range map[string]struct {
		raw string
		// reset is set if the connection is reset after the bytes.
		reset bool
		want  error
	}{
		"whole":                      {raw: "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nX-Process-Id: p\r\nX-Cold: true\r\nContent-Length: 2\r\n\r\nok"},
		"chunked":                    {raw: "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nX-Process-Id: p\r\nX-Cold: true\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"cut":                        {raw: "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nok", want: goose.ErrDisconnected},
		"truncated chunk":            {raw: "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", want: goose.ErrDisconnected},
		"no length or chunks":        {raw: "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nX-Process-Id: p\r\nX-Cold: true\r\nConnection: close\r\n\r\nok"},
		"no length or chunks, reset": {raw: "HTTP/1.1 201 Created\r\nConnection: close\r\n\r\nok", reset: true, want: goose.ErrDisconnected},
		"no length, endless":         {raw: "HTTP/1.1 201 Created\r\nConnection: close\r\n\r\n" + strings.Repeat("x", maxResponseBytes+1), want: goose.ErrDisconnected},
		"not HTTP":                   {raw: "hello\r\n\r\n", want: goose.ErrDisconnected},
		"foreign":                    {raw: "HTTP/1.1 201 Created\r\nX-Request-Id: a2\r\nContent-Length: 2\r\n\r\nok", want: goose.ErrDisconnected},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, c.raw)
					if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
						_ = tcp.SetLinger(0)
					}
					_ = conn.Close()
				}
			})
			got, err := Plain{}.Call(t.Context(), attemptAt(address))
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if c.want == nil && (got.Status != 201 || string(got.Body) != "ok" || got.Process != "p" || !got.Cold || got.ContentType != "text/plain") {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// Guards against operations with a wrong path, header or body, and against responses that
// are parsed wrongly.
func TestOperations(t *testing.T) {
	var requests []string
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get("X-KV-Behind")+" "+string(body)))
		switch r.Method + r.URL.Path {
		case "GET/metrics":
			_, _ = io.WriteString(w, "# HELP x\nengine_process_info{process=\"p 1\"} 1\nengine_cold 1\nengine_requests_running 3 1700000000\n"+
				"engine_requests_waiting 2\nengine_kv_tokens_used 1e3\nengine_kv_tokens_capacity 4000\nengine_model_info{model=\"m\"} 1\nother 4\n")
		case "GET/v1/streams":
			_, _ = io.WriteString(w, `[{"id":"a1","tokens":4,"done":true}]`)
		case "POST/v1/kv/prefill":
			_, _ = io.WriteString(w, `{"id":"kv1","tokens":9}`)
		case "POST/v1/commands":
			http.Error(w, "old epoch", http.StatusPreconditionFailed)
		case "GET/v1/cache-events":
			_, _ = io.WriteString(w, "data: {\"sequence\":1,\"block\":7,\"evicted\":false}\n\ndata: x\n\ndata: {\"sequence\":2,\"block\":8,\"evicted\":true}\n\n")
		}
	})
	p := OpenAI{}
	load, err := p.Load(t.Context(), address)
	if want := (goose.LoadReport{Process: "p 1", Cold: true, Running: 3, Waiting: 2, UsedKV: 1000, Capacity: 4000, Model: "m"}); err != nil || load != want {
		t.Errorf("load: got %+v, %v; want %+v", load, err, want)
	}
	streams, err := p.Streams(t.Context(), address)
	if err != nil || !slices.Equal(streams, []goose.RunningStream{{ID: "a1", Tokens: 4, Done: true}}) {
		t.Errorf("streams: got %+v, %v", streams, err)
	}
	h, err := p.Prefill(t.Context(), attemptAt(address), []byte(`text "1"`), []goose.KVHandle{{ID: "kv0", Address: "h:1"}})
	if want := (goose.KVHandle{ID: "kv1", Tokens: 9, Address: address}); err != nil || h != want {
		t.Errorf("prefill: got %+v, %v; want %+v", h, err, want)
	}
	if _, err := p.StartWithKV(t.Context(), attemptAt(address), []goose.KVHandle{{ID: "kv0", Address: "h:1"}, h}); err != nil {
		t.Errorf("start with preceding handles: %v", err)
	}
	if err := p.DeleteKV(t.Context(), h); err != nil {
		t.Errorf("delete: %v", err)
	}
	var status *goose.StatusError
	if err := p.Send(t.Context(), address, goose.Command{Kind: goose.CommandLoadModel, Name: "m", Epoch: 4}); !errors.As(err, &status) || status.Status != 412 {
		t.Errorf("command: got %v, want status 412", err)
	}
	var events []uint64
	err = p.CacheEvents(t.Context(), address, func(e goose.CacheEvent) { events = append(events, e.Block) })
	if !errors.Is(err, goose.ErrDisconnected) || !slices.Equal(events, []uint64{7, 8}) {
		t.Errorf("cache events: got %v, %v", events, err)
	}
	for _, want := range []string{
		`POST /v1/kv/prefill  {"prompt":"text \"1\"","behind":["kv0@h:1"]}`, "POST /v1/completions kv0@h:1,kv1@" + address + " {}",
		"DELETE /v1/kv/kv1", `POST /v1/commands  {"kind":"load-model","name":"m","epoch":4}`,
	} {
		if !slices.Contains(requests, want) {
			t.Errorf("want request %q at the engine, got %q", want, requests)
		}
	}
}

// Fuzzes the event reader: it must not panic, must use bounded memory, and must return the
// same events however the bytes are divided into reads.
var eventReaderTarget = goosefuzz.Target{
	Runs: 200_000,
	Seeds: [][]any{
		{[]byte("data: a\n\ndata:b\r\ndata: c\r\n\r\n: x\ndata\n\n"), uint8(1)},
		{[]byte("event: x\n\n\n\ndata: [DONE]\n\n"), uint8(3)},
	},
	Check: func(t *testing.T, b []byte, size uint8) {
		whole := readEvents(bytes.NewReader(b))
		divided := readEvents(&shortReader{b: b, size: int(size)%7 + 1})
		if !slices.Equal(whole, divided) {
			t.Errorf("got events %q in one read and %q in short reads, want the same", whole, divided)
		}
		for _, e := range whole {
			_, _ = parseFrame([]byte(e))
		}
		_, _ = parseLoad(b)
	},
}

func FuzzDecoder(f *testing.F)     { eventReaderTarget.Fuzz(f) }
func TestFuzzDecoder(t *testing.T) { eventReaderTarget.Test(t) }

func readEvents(r io.Reader) (out []string) {
	d := newEventReader(r)
	for {
		e, err := d.next()
		if err != nil {
			return out
		}
		out = append(out, string(e))
	}
}

// shortReader returns at most size bytes per read.
type shortReader struct {
	b    []byte
	size int
}

func (c *shortReader) Read(p []byte) (int, error) {
	if len(c.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.b[:min(c.size, len(c.b))])
	c.b = c.b[n:]
	return n, nil
}

// Guards against a command that is sent although its check failed, and against a status of
// the last command that is parsed wrongly.
func TestCommands(t *testing.T) {
	var methods []string
	status := `{"kind":"load-model","name":"m","version":"2","epoch":4,"running":true,"age-ms":0}`
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		methods = append(methods, r.Method)
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.WriteString(w, status)
	})
	p := OpenAI{}
	errLate := errors.New("too late")
	c := goose.Command{Kind: goose.CommandLoadModel, Name: "m", Version: "2", Epoch: 4, BeforeSend: func() error { return errLate }}
	if err := p.Send(t.Context(), address, c); !errors.Is(err, goose.ErrNotSent) || !errors.Is(err, errLate) || len(methods) != 0 {
		t.Errorf("check failed: got %v and %q, want nothing sent", err, methods)
	}
	c.BeforeSend = func() error { return nil }
	if err := p.Send(t.Context(), address, c); err != nil || len(methods) != 1 {
		t.Errorf("got %v and %q, want one command", err, methods)
	}
	got, err := p.LastCommand(t.Context(), address)
	if err != nil || !got.Running || got.Command.String() != "load-model m version 2" || got.Command.Epoch != 4 {
		t.Errorf("running: got %+v, %v", got, err)
	}
	status = `{"kind":"load-model","name":"m","epoch":4,"running":false,"age-ms":1500,"error":"refused"}`
	got, err = p.LastCommand(t.Context(), address)
	if err != nil || got.Running || got.Age != 1500*time.Millisecond || got.Error != "refused" {
		t.Errorf("ended: got %+v, %v", got, err)
	}
}
