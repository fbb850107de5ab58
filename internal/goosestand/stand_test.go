package goosestand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var discardLog = slog.New(slog.DiscardHandler)

// waitFor polls until the condition holds. It fails after a minute, so that a
// hung simulator does not block the whole run.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 12000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("still waiting for %s", what)
}

func sendRequest(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	cl := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := cl.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, string(b) + "\nbroken: " + err.Error()
	}
	return resp.StatusCode, string(b)
}

func setFault(t *testing.T, control, body string) {
	t.Helper()
	if code, response := sendRequest(t, http.MethodPost, "http://"+control+"/fault", body); code != http.StatusOK {
		t.Fatalf("fault %s: got %d %s, want 200", body, code, response)
	}
}

// parseChunks reads the events of a streamed response; complete is set if the
// response ended with the end marker.
func parseChunks(body string) (all []chunk, text string, complete bool) {
	sc := bufio.NewScanner(strings.NewReader(body))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return all, text, true
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			all = append(all, c)
			text += c.Choices[0].Delta.Content
		}
	}
	return all, text, false
}

func startFastEngine(t *testing.T, change func(*EngineConfig)) *Engine {
	t.Helper()
	cfg := DefaultEngineConfig()
	cfg.Cold, cfg.TimeScale, cfg.ReportLag, cfg.RestartDelay = false, 50, 0, 10*time.Millisecond
	if change != nil {
		change(&cfg)
	}
	e := NewEngine(cfg, loopback(0), loopback(0), discardLog)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

func completionBody(prompt string, tokens int) string {
	b, _ := json.Marshal(map[string]any{"model": "m", "max_tokens": tokens, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}}})
	return string(b)
}

func (e *Engine) url(path string) string { return "http://" + e.Address() + path }

func runInBackground(t *testing.T, run func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// waitListening waits until the simulator's counters can be read.
func waitListening(t *testing.T, address func() string) {
	t.Helper()
	waitFor(t, "listen", func() bool {
		code, _ := sendRequest(t, http.MethodGet, "http://"+address()+"/counters", "")
		return code == 200
	})
}

// startLongRequest sends a request with a long response and waits for its first
// tokens. The channel receives the body of the response.
func (e *Engine) startLongRequest(t *testing.T, prompt, id string, tokens int) <-chan string {
	t.Helper()
	done := make(chan string, 1)
	go func() {
		_, body := sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody(prompt, tokens), "X-Request-Id", id)
		done <- body
	}()
	waitFor(t, "tokens", func() bool { return e.Counters().DeliveredTokens > 0 })
	return done
}

// Guards against a misspelt fault switch that is silently ignored.
func TestFaultRejectsUnknownNames(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, nil)
	for _, body := range []string{`{"dwon":true}`, `{"lag":"-1s"}`, `[`} {
		if code, _ := sendRequest(t, http.MethodPost, "http://"+e.srv.controlAddr()+"/fault", body); code != http.StatusBadRequest {
			t.Errorf("fault %s: got %d, want 400", body, code)
		}
	}
}

// Guards against executions that are lost when the simulator is restarted, and
// against a cross-answer fault whose response belongs to the caller's own call.
func TestPlainJournal(t *testing.T) {
	t.Parallel()
	cfg := PlainConfig{Concurrency: 8, ColdConcurrency: 1, Journal: filepath.Join(t.TempDir(), "journal")}
	for want := 1; want <= 2; want++ {
		p := NewPlainService(cfg, loopback(0), loopback(0), discardLog)
		runInBackground(t, p.Run)
		waitListening(t, p.srv.controlAddr)
		setFault(t, p.srv.controlAddr(), `{"cross-answer":1}`)
		_, response := sendRequest(t, http.MethodPost, "http://"+p.srv.addr()+"/orders", "an order", "X-Request-Id", "a b")
		if hash := BodyHash([]byte("an order")); strings.Contains(response, hash) {
			t.Errorf("cross-answer fault: got %s, want the response of another call", response)
		} else if got := p.Executed()[hash]; got.Count != want || got.Requests[0] != "a b" || got.Path != "/orders" {
			t.Errorf("process %d: got %+v, want %d executions", want, got, want)
		}
	}
}

// Guards against a plain service that does not record an effect whose response
// was lost, or that records an effect for a call that failed before its effect.
func TestPlainFaults(t *testing.T) {
	t.Parallel()
	p := NewPlainService(PlainConfig{Concurrency: 8, ColdConcurrency: 1}, loopback(0), loopback(0), discardLog)
	runInBackground(t, p.Run)
	waitFor(t, "listen", func() bool {
		code, _ := sendRequest(t, http.MethodGet, "http://"+p.srv.addr()+"/x", "")
		return code == 200
	})
	url, body := "http://"+p.srv.addr()+"/orders", "an order"
	setFault(t, p.srv.controlAddr(), `{"lose-answer":1}`)
	if code, _ := sendRequest(t, http.MethodPost, url, body, "X-Request-Id", "a"); code != 0 {
		t.Errorf("lost response: got status %d, want a closed connection", code)
	}
	setFault(t, p.srv.controlAddr(), `{"fail-answer":1}`)
	if code, _ := sendRequest(t, http.MethodPost, url, "other", "X-Request-Id", "b"); code != 500 {
		t.Errorf("failed call: got %d, want 500", code)
	}
	if got := p.Executed()[BodyHash([]byte(body))].Count; got != 1 {
		t.Errorf("executions of the call with the lost response: got %d, want 1", got)
	}
	if got := p.Executed()[BodyHash([]byte("other"))].Count; got != 0 {
		t.Errorf("executions of the failed call: got %d, want 0", got)
	}
	setFault(t, p.srv.controlAddr(), `{"down":true}`)
	if code, response := sendRequest(t, http.MethodPost, url, body); code != 0 || !strings.Contains(response, "refused") {
		t.Errorf("down: got %d %s, want connection refused", code, response)
	}
}

// Guards against a cold plain service that accepts more than its limit.
func TestPlainOverload(t *testing.T) {
	t.Parallel()
	p := NewPlainService(PlainConfig{Latency: 100 * time.Millisecond, Concurrency: 8, ColdConcurrency: 1, Cold: true}, loopback(0), "", discardLog)
	runInBackground(t, p.Run)
	waitListening(t, p.srv.addr)
	go func() { _, _ = sendRequest(t, http.MethodPost, "http://"+p.srv.addr()+"/x", "1") }()
	waitFor(t, "first call", func() bool { return p.Counters().Running == 1 })
	before := p.Counters().Process
	if code, _ := sendRequest(t, http.MethodPost, "http://"+p.srv.addr()+"/x", "2"); code != 0 {
		t.Errorf("second call on a cold service: got %d, want a broken connection", code)
	}
	if c := p.Counters(); c.Overloads != 1 || c.Crashes != 1 || c.Process == before || c.Executed != 0 {
		t.Errorf("got %+v, want 1 overload, 1 crash, a new process and no execution", c)
	}
}

// Guards against a balancer that forwards connections to an instance that is not
// ready.
func TestBalancerFollowsHealth(t *testing.T) {
	t.Parallel()
	var targets []BalancerTarget
	for i, ready := range []bool{true, false} {
		p := NewPlainService(PlainConfig{Name: fmt.Sprint(i), Concurrency: 1}, loopback(0), "", discardLog)
		p.faults.value.Store(&PlainFaults{FailAnswer: map[bool]int{true: 0, false: 1 << 30}[ready]})
		runInBackground(t, p.Run)
		waitListening(t, p.srv.addr)
		targets = append(targets, BalancerTarget{Caller: p.srv.addr(), Operator: p.srv.addr()})
	}
	probe := newServer(loopback(0), "", discardLog)
	if err := probe.start(); err != nil {
		t.Fatal(err)
	}
	address := probe.addr()
	probe.stop()
	b := NewBalancer(BalancerConfig{Targets: targets, CheckInterval: 10 * time.Millisecond, CheckTimeout: time.Second}, address, "", discardLog)
	runInBackground(t, b.Run)
	waitFor(t, "health", func() bool { return len(b.Counters().Healthy) == 1 })
	for range 4 {
		if code, body := sendRequest(t, http.MethodPost, "http://"+address+"/x", "y"); code != 200 || !strings.Contains(body, `"0"`) {
			t.Errorf("call through the balancer: got %d %s, want service 0", code, body)
		}
	}
	if got := b.Counters().Connections[targets[1].Caller]; got != 0 {
		t.Errorf("connections to the unready target: got %d, want 0", got)
	}
}
