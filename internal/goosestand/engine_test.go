package goosestand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against generated text that depends on anything but the prompt and the
// index, and against gaps between the offsets of chunks.
func TestEngineStreamsTokens(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, nil)
	for id, offset := range map[string]int{"whole": 0, "rest": 7} {
		_, body := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("hello", 20), "X-Request-Id", id, "X-Resume-Offset", fmt.Sprint(offset))
		all, text, complete := parseChunks(body)
		if want := OutputText(PromptHash("hello"), offset, 20); text != want || !complete {
			t.Errorf("%s: got %q complete %v, want %q", id, text, complete, want)
		}
		next := offset
		for _, c := range all {
			if c.ID != id || c.Offset != next || len(c.Choices[0].Delta.Content) != c.Tokens*TokenBytes {
				t.Errorf("%s: got chunk %+v, want id %s and offset %d", id, c, id, next)
			}
			next += c.Tokens
		}
	}
	if c := e.Counters(); c.KVTokensUsed != 0 || c.ListedStreams != 0 || c.GeneratedTokens != 33 || c.DeliveredTokens != 33 {
		t.Errorf("got %+v, want no memory, no stream and 33 tokens", c)
	}
}

// Guards against a stream that ends with its connection, cannot be resumed, or
// still occupies memory after a cancel.
func TestEngineDisconnectResumeCancel(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, func(c *EngineConfig) { c.TimeScale = 5 })
	// The stream takes some seconds, so that it still runs when its connection is
	// closed.
	const tokens = 600
	done := e.startLongRequest(t, "hello", "a", tokens)
	setFault(t, e.srv.controlAddr(), `{"cut-streams":true}`)
	if _, _, complete := parseChunks(<-done); complete {
		t.Error("closed connection: got the end marker, want an incomplete response")
	}
	waitFor(t, "completion", func() bool { return e.Counters().Finished == 1 })
	if _, streams := sendRequest(t, http.MethodGet, e.url("/v1/streams"), ""); !strings.Contains(streams, `"done":true`) {
		t.Errorf("streams: got %s, want the finished stream", streams)
	}
	_, body := sendRequest(t, http.MethodGet, e.url("/v1/streams/a?offset=30"), "")
	if _, text, complete := parseChunks(body); text != OutputText(PromptHash("hello"), 30, tokens) || !complete {
		t.Errorf("resume: got %q complete %v, want tokens 30 to %d", text, complete, tokens)
	}
	go func() {
		_, _ = sendRequest(t, http.MethodPost, e.url("/v1/completions"), completionBody("hello", 100_000), "X-Request-Id", "b")
	}()
	waitFor(t, "second stream", func() bool { return e.Counters().KVTokensUsed > 0 })
	if code, _ := sendRequest(t, http.MethodDelete, e.url("/v1/streams/b"), ""); code != http.StatusNoContent {
		t.Errorf("cancel: got %d, want 204", code)
	}
	if c := e.Counters(); c.KVTokensUsed != 0 || c.ListedStreams != 0 || c.Cancelled != 1 {
		t.Errorf("after cancel: got %+v, want no memory and no stream", c)
	}
}

// Guards against a cold engine that accepts more than its limits or never warms
// up.
func TestEngineColdLimits(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, func(c *EngineConfig) { c.Cold, c.Concurrency, c.ColdTokens = true, 4, 1000 })
	send := func(id string, tokens int) int {
		code, _ := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("x", tokens), "X-Request-Id", id)
		return code
	}
	before := e.Counters().Process
	if code := send("big", 1000); code != 0 {
		t.Errorf("more than the cold tokens: got %d, want a broken connection", code)
	}
	c := e.Counters()
	if c.Overloads != 1 || c.Crashes != 1 || c.Process == before || !c.Cold {
		t.Errorf("got %+v, want 1 overload, 1 crash, a new cold process", c)
	}
	waitFor(t, "restart", func() bool { return send(fmt.Sprint("probe", time.Now()), 1) == 200 })
	if !e.Counters().Cold {
		t.Error("after 1 of 2 successes: got warm, want cold")
	}
	for i, ramping := range []bool{true, false} {
		if code := send(fmt.Sprint(i), 2); code != 200 {
			t.Fatalf("one request at a time: got %d, want 200", code)
		}
		if c := e.Counters(); c.Cold || c.Ramping != ramping {
			t.Errorf("after %d successes with limits 1, 2, 4: got %+v, want a warm report and ramping %v", i+2, c, ramping)
		}
	}
	setFault(t, e.srv.controlAddr(), `{"cold-silent":true}`)
	if c := e.Counters(); !c.Cold || c.Crashes != 1 {
		t.Errorf("cold-silent fault: got %+v, want a cold process without a crash", c)
	}
}

// Guards against a request with the crash mark that does not end the other
// streams of the engine.
func TestEngineCrashMark(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, nil)
	done := e.startLongRequest(t, "fine", "a", 100_000)
	_, body := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("do "+CrashMark, 10), "X-Request-Id", "b")
	for name, b := range map[string]string{"marked": body, "bystander": <-done} {
		if _, _, complete := parseChunks(b); complete {
			t.Errorf("%s: got a complete response, want an incomplete one", name)
		}
	}
	if c := e.Counters(); c.CrashMarkCrashes != 1 || c.ListedStreams != 0 || c.KVTokensUsed != 0 {
		t.Errorf("got %+v, want one crash by the crash mark, no stream and no memory in use", c)
	}
}

// Guards against an engine that accepts an old fencing token, or that checks
// tokens although it is configured to ignore them.
func TestEngineFencing(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]int{"checked": http.StatusPreconditionFailed, "ignored": http.StatusNoContent} {
		e := startFastEngine(t, func(c *EngineConfig) { c.FencingChecked = name == "checked" })
		command := func(epoch int) int {
			code, _ := sendRequest(t, http.MethodPost, e.url("/v1/commands"), fmt.Sprintf(`{"kind":"load-model","name":"m","epoch":%d}`, epoch))
			return code
		}
		if got := command(5); got != http.StatusNoContent {
			t.Errorf("%s, new epoch: got %d, want 204", name, got)
		}
		if got := command(4); got != want {
			t.Errorf("%s, old epoch: got %d, want %d", name, got, want)
		}
		code, _ := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("x", 1), "X-Fencing-Token", "4")
		if refused := code == http.StatusPreconditionFailed; refused != (name == "checked") {
			t.Errorf("%s, request with an old token: got %d", name, code)
		}
	}
}

// Guards against a response to a prompt with imported KV caches that differs
// from the response to the whole prompt, and against handles that can still be
// imported after their deletion.
func TestEngineKVExport(t *testing.T) {
	t.Parallel()
	a := startFastEngine(t, func(c *EngineConfig) { c.MemoryTokens = 1200 })
	b := startFastEngine(t, func(c *EngineConfig) { c.MemoryTokens = 1200 })
	first, rest := strings.Repeat("abcd", 1000), strings.Repeat("wxyz", 1000)
	code, response := sendRequest(t, http.MethodPost, a.url("/v1/kv/prefill"), fmt.Sprintf(`{"prompt":%q,"behind":[]}`, first), "X-Request-Id", "s1")
	if code != 200 || a.Counters().KVTokensUsed != 1000 {
		t.Fatalf("prefill: got %d %s with %d tokens in use, want 200 and 1000", code, response, a.Counters().KVTokensUsed)
	}
	var handle struct{ ID string }
	if err := json.Unmarshal([]byte(response), &handle); err != nil {
		t.Fatal(err)
	}
	id := handle.ID
	want := OutputText(PromptHash(first+rest), 0, 3)
	for name, prompt := range map[string]string{"whole prompt": first + rest, "rest alone": rest} {
		_, body := sendRequest(t, http.MethodPost, b.url("/v1/chat/completions"), completionBody(prompt, 3), "X-KV-Behind", id+"@"+a.Address())
		if _, text, complete := parseChunks(body); text != want || !complete {
			t.Errorf("%s: got %q, want %q", name, body, want)
		}
	}
	if code, _ := sendRequest(t, http.MethodDelete, a.url("/v1/kv/"+id), ""); code != http.StatusNoContent || a.Counters().KVTokensUsed != 0 {
		t.Errorf("delete: got %d and %d tokens in use, want 204 and 0", code, a.Counters().KVTokensUsed)
	}
	if code, _ := sendRequest(t, http.MethodPost, b.url("/v1/chat/completions"), completionBody(rest, 3), "X-KV-Behind", id+"@"+a.Address()); code != http.StatusConflict {
		t.Errorf("import of a deleted handle: got %d, want 409", code)
	}
}

// Guards against a long prefill that does not slow down the other streams of
// the batch, and against a prefill order that is ignored.
func TestStepCostAndPriority(t *testing.T) {
	t.Parallel()
	cfg := DefaultEngineConfig()
	cfg.Cold = false
	e := NewEngine(cfg, "", "", discardLog)
	add := func(id string, prompt, priority int) *stream {
		s := &stream{id: id, promptTokens: prompt, toPrefill: prompt, max: 100, reserved: prompt + 100, priority: priority}
		e.lastOrder++
		s.arrivalOrder = e.lastOrder
		e.streams[id] = s
		return s
	}
	add("decoding", 10, 0)
	e.step()
	alone := e.step()
	long := add("long", 100_000, 5)
	if duringPrefill := e.step(); duringPrefill <= 2*alone {
		t.Errorf("step during a long prefill: got %v, want well above %v", duringPrefill, alone)
	}
	urgent := add("urgent", cfg.PrefillChunk, 1)
	before := long.prefilled
	e.cfg.PrefillOrder = PrefillByArrival
	e.step()
	if urgent.prefilled != 0 || long.prefilled != before+cfg.PrefillChunk {
		t.Errorf("by arrival: got urgent %d, long %d more; want the whole chunk for the long stream", urgent.prefilled, long.prefilled-before)
	}
	before = long.prefilled
	e.cfg.PrefillOrder = PrefillByPriority
	e.step()
	if urgent.prefilled != cfg.PrefillChunk || long.prefilled != before {
		t.Errorf("by priority: got urgent %d, long %d more; want the whole chunk for the urgent stream", urgent.prefilled, long.prefilled-before)
	}
}

// Guards against chunk faults without the effect on the stream that they name.
func TestEngineChunkFaults(t *testing.T) {
	t.Parallel()
	const foreign, repeated, late, missing, foreignEnd = "foreign", "repeated", "late", "missing", "foreign end"
	tests := map[string]struct {
		fault string
		want  []string
	}{
		"cross, repeat": {`{"cross":1,"repeat":1}`, []string{foreign, repeated}},
		"cross end":     {`{"cross-end":1}`, []string{foreign, foreignEnd}},
		"swap":          {`{"swap":1}`, []string{foreign, missing}},
		"late":          {`{"late":1,"hold":"2ms"}`, []string{late}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startFastEngine(t, func(c *EngineConfig) { c.TimeScale = 5 })
			e.startLongRequest(t, "other", "other", 100_000)
			setFault(t, e.srv.controlAddr(), tt.fault)
			_, body := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("mine", 400), "X-Request-Id", "mine")
			received, _, _ := parseChunks(body)
			seen := map[string]int{missing: 1, foreignEnd: strings.Count(body, "[DONE]") - 1}
			last := -1
			for i, c := range received {
				switch {
				case c.ID != "mine":
					seen[foreign]++
					continue
				case i > 0 && received[i-1].ID == "mine" && received[i-1].Offset == c.Offset:
					seen[repeated]++
				case c.Offset < last:
					seen[late]++
				}
				last = c.Offset
				seen[missing] = 0
			}
			for _, want := range tt.want {
				if seen[want] == 0 {
					t.Errorf("got %v, want some %s", seen, want)
				}
			}
		})
	}
}

// Guards against cache events that are delivered before the lag or twice.
func TestCacheLog(t *testing.T) {
	t.Parallel()
	var l cacheLog
	for i := range uint64(3) {
		l.add(i, false)
	}
	if got := l.since(1, time.Now()); len(got) != 2 || got[0].Sequence != 2 {
		t.Errorf("events after 1: got %v, want 2 and 3", got)
	}
	if got := l.since(0, time.Now().Add(-time.Hour)); len(got) != 0 {
		t.Errorf("events within the lag: got %v, want none", got)
	}
}
