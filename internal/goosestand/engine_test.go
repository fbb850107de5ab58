package goosestand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against output that depends on anything but the prompt and the index,
// and against chunks whose offsets leave holes.
func TestEngineStreams(t *testing.T) {
	t.Parallel()
	e := fastEngine(t, nil)
	for id, offset := range map[string]int{"whole": 0, "rest": 7} {
		_, body := call(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("hello", 20), "X-Request-Id", id, "X-Resume-Offset", fmt.Sprint(offset))
		all, text, whole := chunks(body)
		if want := Answer(PromptHash("hello"), offset, 20); text != want || !whole {
			t.Errorf("%s: got %q whole %v, want %q", id, text, whole, want)
		}
		next := offset
		for _, c := range all {
			if c.ID != id || c.Offset != next || len(c.Choices[0].Delta.Content) != c.Tokens*TokenBytes {
				t.Errorf("%s: got chunk %+v, want id %s and offset %d", id, c, id, next)
			}
			next += c.Tokens
		}
	}
	if c := e.Counters(); c.KVUsed != 0 || c.Listed != 0 || c.Generated != 33 || c.Delivered != 33 {
		t.Errorf("got %+v, want no memory, no stream and 33 tokens", c)
	}
}

// Guards against a stream that dies with its connection, cannot be resumed, or
// keeps its memory after a cancel.
func TestEngineCutResumeCancel(t *testing.T) {
	t.Parallel()
	e := fastEngine(t, func(c *EngineConfig) { c.Scale = 5 })
	// The stream lasts some seconds, so that it still runs when it is cut.
	const tokens = 600
	done := e.generate(t, "hello", "a", tokens)
	setFault(t, e.srv.controlAddr(), `{"cut-streams":true}`)
	if _, _, whole := chunks(<-done); whole {
		t.Error("cut stream: got the end marker, want a broken answer")
	}
	waitFor(t, "completion", func() bool { return e.Counters().Finished == 1 })
	if _, list := call(t, http.MethodGet, e.url("/v1/streams"), ""); !strings.Contains(list, `"done":true`) {
		t.Errorf("streams: got %s, want the finished stream", list)
	}
	_, body := call(t, http.MethodGet, e.url("/v1/streams/a?offset=30"), "")
	if _, text, whole := chunks(body); text != Answer(PromptHash("hello"), 30, tokens) || !whole {
		t.Errorf("resume: got %q whole %v, want tokens 30 to %d", text, whole, tokens)
	}
	go func() {
		_, _ = call(t, http.MethodPost, e.url("/v1/completions"), completionBody("hello", 100_000), "X-Request-Id", "b")
	}()
	waitFor(t, "second stream", func() bool { return e.Counters().KVUsed > 0 })
	if code, _ := call(t, http.MethodDelete, e.url("/v1/streams/b"), ""); code != http.StatusNoContent {
		t.Errorf("cancel: got %d, want 204", code)
	}
	if c := e.Counters(); c.KVUsed != 0 || c.Listed != 0 || c.Cancelled != 1 {
		t.Errorf("after cancel: got %+v, want no memory and no stream", c)
	}
}

// Guards against a cold engine that bears more than its limit or never warms up.
func TestEngineCold(t *testing.T) {
	t.Parallel()
	e := fastEngine(t, func(c *EngineConfig) { c.Cold, c.Concurrency, c.ColdTokens = true, 4, 1000 })
	ask := func(id string, tokens int) int {
		code, _ := call(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("x", tokens), "X-Request-Id", id)
		return code
	}
	before := e.Counters().Process
	if code := ask("big", 1000); code != 0 {
		t.Errorf("more than the cold tokens: got %d, want a broken connection", code)
	}
	c := e.Counters()
	if c.Overloads != 1 || c.Crashes != 1 || c.Process == before || !c.Cold {
		t.Errorf("got %+v, want 1 overload, 1 crash, a new cold process", c)
	}
	waitFor(t, "restart", func() bool { return ask(fmt.Sprint("probe", time.Now()), 1) == 200 })
	if !e.Counters().Cold {
		t.Error("after 1 of 2 successes: got warm, want cold")
	}
	for i, ramping := range []bool{true, false} {
		if code := ask(fmt.Sprint(i), 2); code != 200 {
			t.Fatalf("one request at a time: got %d, want 200", code)
		}
		if c := e.Counters(); c.Cold || c.Ramping != ramping {
			t.Errorf("after %d successes with limits 1, 2, 4: got %+v, want a warm report and ramping %v", i+2, c, ramping)
		}
	}
	setFault(t, e.srv.controlAddr(), `{"cold-silent":true}`)
	if c := e.Counters(); !c.Cold || c.Crashes != 1 {
		t.Errorf("silent cold turn: got %+v, want a cold process without a crash", c)
	}
}

// Guards against a marked request that does not take the other streams with it.
func TestEngineMarkedCrash(t *testing.T) {
	t.Parallel()
	e := fastEngine(t, nil)
	done := e.generate(t, "fine", "a", 100_000)
	_, body := call(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("do "+CrashMark, 10), "X-Request-Id", "b")
	for name, b := range map[string]string{"marked": body, "bystander": <-done} {
		if _, _, whole := chunks(b); whole {
			t.Errorf("%s: got a whole answer, want a broken one", name)
		}
	}
	if c := e.Counters(); c.MarkedCrashes != 1 || c.Listed != 0 || c.KVUsed != 0 {
		t.Errorf("got %+v, want one marked crash and nothing left", c)
	}
}

// Guards against an engine that obeys an old fencing token, or that checks
// tokens although it is set to ignore them.
func TestEngineFencing(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]int{"checked": http.StatusPreconditionFailed, "ignored": http.StatusNoContent} {
		e := fastEngine(t, func(c *EngineConfig) { c.FencingChecked = name == "checked" })
		command := func(epoch int) int {
			code, _ := call(t, http.MethodPost, e.url("/v1/commands"), fmt.Sprintf(`{"kind":"load-model","name":"m","epoch":%d}`, epoch))
			return code
		}
		if got := command(5); got != http.StatusNoContent {
			t.Errorf("%s, new epoch: got %d, want 204", name, got)
		}
		if got := command(4); got != want {
			t.Errorf("%s, old epoch: got %d, want %d", name, got, want)
		}
		code, _ := call(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("x", 1), "X-Fencing-Token", "4")
		if refused := code == http.StatusPreconditionFailed; refused != (name == "checked") {
			t.Errorf("%s, request with an old token: got %d", name, code)
		}
	}
}

// Guards against an answer behind exported segments that differs from the
// answer to the whole prompt, and against handles that outlive their deletion.
func TestEngineExport(t *testing.T) {
	t.Parallel()
	a := fastEngine(t, func(c *EngineConfig) { c.MemoryTokens = 1200 })
	b := fastEngine(t, func(c *EngineConfig) { c.MemoryTokens = 1200 })
	first, rest := strings.Repeat("abcd", 1000), strings.Repeat("wxyz", 1000)
	code, answer := call(t, http.MethodPost, a.url("/v1/kv/prefill"), fmt.Sprintf(`{"prompt":%q,"behind":[]}`, first), "X-Request-Id", "s1")
	if code != 200 || a.Counters().KVUsed != 1000 {
		t.Fatalf("prefill: got %d %s with %d tokens in use, want 200 and 1000", code, answer, a.Counters().KVUsed)
	}
	var handle struct{ ID string }
	if err := json.Unmarshal([]byte(answer), &handle); err != nil {
		t.Fatal(err)
	}
	id := handle.ID
	want := Answer(PromptHash(first+rest), 0, 3)
	for name, prompt := range map[string]string{"whole prompt": first + rest, "rest alone": rest} {
		_, body := call(t, http.MethodPost, b.url("/v1/chat/completions"), completionBody(prompt, 3), "X-KV-Behind", id+"@"+a.Address())
		if _, text, whole := chunks(body); text != want || !whole {
			t.Errorf("%s: got %q, want %q", name, body, want)
		}
	}
	if code, _ := call(t, http.MethodDelete, a.url("/v1/kv/"+id), ""); code != http.StatusNoContent || a.Counters().KVUsed != 0 {
		t.Errorf("delete: got %d and %d tokens in use, want 204 and 0", code, a.Counters().KVUsed)
	}
	if code, _ := call(t, http.MethodPost, b.url("/v1/chat/completions"), completionBody(rest, 3), "X-KV-Behind", id+"@"+a.Address()); code != http.StatusConflict {
		t.Errorf("import of a deleted handle: got %d, want 409", code)
	}
}

// Guards against batching in which a long prefill costs other streams nothing,
// or in which priorities are ignored.
func TestStepCosts(t *testing.T) {
	t.Parallel()
	cfg := DefaultEngineConfig()
	cfg.Cold = false
	e := NewEngine(cfg, "", "", quiet)
	add := func(id string, prompt, priority int) *stream {
		s := &stream{id: id, prompt: prompt, toPrefill: prompt, max: 100, reserved: prompt + 100, priority: priority}
		e.order++
		s.order = e.order
		e.streams[id] = s
		return s
	}
	add("decoding", 10, 0)
	e.step()
	alone := e.step()
	long := add("long", 100_000, 5)
	if beside := e.step(); beside <= 2*alone {
		t.Errorf("step beside a long prefill: got %v, want well above %v", beside, alone)
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

// Guards against fault switches that do not spoil the stream as they say.
func TestEngineSpoiltChunks(t *testing.T) {
	t.Parallel()
	const foreign, repeated, late, missing, ends = "foreign", "repeated", "late", "missing", "foreign end"
	tests := map[string]struct {
		fault string
		want  []string
	}{
		"cross, repeat": {`{"cross":1,"repeat":1}`, []string{foreign, repeated}},
		"cross end":     {`{"cross-end":1}`, []string{foreign, ends}},
		"swap":          {`{"swap":1}`, []string{foreign, missing}},
		"late":          {`{"late":1,"hold":"2ms"}`, []string{late}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := fastEngine(t, func(c *EngineConfig) { c.Scale = 5 })
			e.generate(t, "other", "other", 100_000)
			setFault(t, e.srv.controlAddr(), tt.fault)
			_, body := call(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody("mine", 400), "X-Request-Id", "mine")
			all, _, _ := chunks(body)
			seen := map[string]int{missing: 1, ends: strings.Count(body, "[DONE]") - 1}
			last := -1
			for i, c := range all {
				switch {
				case c.ID != "mine":
					seen[foreign]++
					continue
				case i > 0 && all[i-1].ID == "mine" && all[i-1].Offset == c.Offset:
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

// Guards against cache events that come before their time or twice.
func TestCacheLog(t *testing.T) {
	t.Parallel()
	var l cacheLog
	for i := range uint64(3) {
		l.add(i, false)
	}
	if got := l.since(1, time.Now()); len(got) != 2 || got[0].Sequence != 2 {
		t.Errorf("events behind 1: got %v, want 2 and 3", got)
	}
	if got := l.since(0, time.Now().Add(-time.Hour)); len(got) != 0 {
		t.Errorf("events before the lag: got %v, want none", got)
	}
}
