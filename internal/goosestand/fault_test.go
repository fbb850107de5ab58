package goosestand

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an engine that still responds while it is down, whose faults
// cannot be cleared while it is down, or that stays down afterwards.
func TestEngineDown(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, nil)
	before := e.Counters().Process
	setFault(t, e.srv.controlAddr(), `{"down":true}`)
	if code, response := sendRequest(t, http.MethodGet, e.url("/metrics"), ""); code != 0 || !strings.Contains(response, "refused") {
		t.Errorf("down: got %d %s, want connection refused", code, response)
	}
	if code, _ := sendRequest(t, http.MethodDelete, "http://"+e.srv.controlAddr()+"/fault", ""); code != http.StatusOK {
		t.Errorf("clearing faults while down: got %d, want 200", code)
	}
	waitFor(t, "the port", func() bool {
		code, _ := sendRequest(t, http.MethodGet, e.url("/metrics"), "")
		return code == http.StatusOK
	})
	if got := e.Counters().Process; got != before {
		t.Errorf("process after an outage of the network: got %s, want %s", got, before)
	}
}

// Guards against crash and cold faults after which the old process or its
// streams still exist.
func TestEngineRestarts(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{`{"crash-now":true}`, `{"cold":true}`} {
		e := startFastEngine(t, func(c *EngineConfig) { c.TimeScale = 5 })
		done := e.startLongRequest(t, "x", "a", 100_000)
		before := e.Counters().Process
		setFault(t, e.srv.controlAddr(), fault)
		if _, _, complete := parseChunks(<-done); complete {
			t.Errorf("%s: got a complete response, want an incomplete one", fault)
		}
		c := e.Counters()
		if c.Process == before || !c.Cold || c.ListedStreams != 0 || c.KVTokensUsed != 0 || c.Crashes != 1 {
			t.Errorf("%s: got %+v, want a new cold process without streams", fault, c)
		}
		if f := e.faults.get(); f.Cold || f.CrashNow {
			t.Errorf("%s: got %+v, want a switch that acts once", fault, f)
		}
	}
}

// Guards against a slow fault without effect.
func TestSlowFaultMultipliesTime(t *testing.T) {
	t.Parallel()
	e := NewEngine(DefaultEngineConfig(), "", "", discardLog)
	normal := e.realTime(time.Second)
	e.faults.value.Store(&EngineFaults{Slow: 4})
	if got := e.realTime(time.Second); got != 4*normal {
		t.Errorf("engine step: got %v, want %v", got, 4*normal)
	}
	p := NewPlainService(PlainConfig{Latency: time.Second}, "", "", discardLog)
	p.faults.value.Store(&PlainFaults{Slow: 10})
	if got := p.latency(); got < 5*time.Second || got > 15*time.Second {
		t.Errorf("plain call: got %v, want 5 s to 15 s", got)
	}
}

// Guards against load reports that show the current state in spite of the lag.
func TestEngineLoadReportLag(t *testing.T) {
	t.Parallel()
	cfg := DefaultEngineConfig()
	cfg.ReportLag = time.Minute
	e := NewEngine(cfg, "", "", discardLog)
	now := time.Now()
	e.laggedReport(now)
	e.kvUsed = 7
	if got := e.laggedReport(now.Add(30 * time.Second)).kv; got != 0 {
		t.Errorf("within the lag: got %d tokens in use, want 0", got)
	}
	if got := e.laggedReport(now.Add(91 * time.Second)).kv; got != 7 {
		t.Errorf("after the lag: got %d tokens in use, want 7", got)
	}
	e.faults.value.Store(&EngineFaults{Lag: Duration(time.Second)})
	e.kvUsed = 9
	e.laggedReport(now.Add(100 * time.Second))
	if got := e.laggedReport(now.Add(102 * time.Second)).kv; got != 9 {
		t.Errorf("after the shorter lag: got %d tokens in use, want 9", got)
	}
}

// Guards against a gaps fault that drops no cache event.
func TestEngineCacheEventGaps(t *testing.T) {
	t.Parallel()
	e := startFastEngine(t, nil)
	setFault(t, e.srv.controlAddr(), `{"gaps":1}`)
	resp, err := http.Get(e.url("/v1/cache-events"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	events := bufio.NewScanner(resp.Body)
	events.Scan()
	send := func(prompt string) {
		_, _ = sendRequest(t, http.MethodPost, e.url("/v1/chat/completions"), completionBody(strings.Repeat(prompt, 1024), 1), "X-Request-Id", prompt)
	}
	send("a")
	waitFor(t, "the dropped event", func() bool { return e.Counters().EventsLost == 1 })
	setFault(t, e.srv.controlAddr(), `{"gaps":0}`)
	send("b")
	for events.Scan() {
		if data, ok := strings.CutPrefix(events.Text(), "data: "); ok {
			if !strings.HasPrefix(data, `{"sequence":2,`) {
				t.Errorf("first event: got %s, want sequence 2", data)
			}
			return
		}
	}
	t.Error("got no event, want one with a gap before it")
}

// Guards against an endpoint that responds in spite of the hang fault, or that
// still hangs after the fault is cleared.
func TestStoreHang(t *testing.T) {
	t.Parallel()
	s := startStore(t)
	endpoint := s.endpoints[0]
	setFault(t, endpoint.srv.controlAddr(), `{"hang":true}`)
	done := make(chan int, 1)
	go func() {
		code, _ := sendRequest(t, http.MethodPost, endpoint.url("/v3/kv/put"), `{"key":"YQ==","value":""}`)
		done <- code
	}()
	waitFor(t, "the call", func() bool { return endpoint.counters().Calls["kv/put"] == 1 })
	select {
	case code := <-done:
		t.Errorf("hanging endpoint: got %d, want no response", code)
	default:
	}
	setFault(t, endpoint.srv.controlAddr(), `{"hang":false}`)
	if code := <-done; code != 0 || s.state.revision() != 1 {
		t.Errorf("after the hang: got %d and revision %d, want a closed connection without effect", code, s.state.revision())
	}
}

// startList starts a list with the endpoints a and b and returns their addresses.
func startList(t *testing.T) (*InstanceList, func(i int) string) {
	t.Helper()
	l := NewInstanceList(0, []string{"a", "b"}, []string{loopback(0), loopback(0)}, []string{loopback(0), loopback(0)}, discardLog)
	for _, e := range l.endpoints {
		if err := e.srv.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.srv.stop)
	}
	return l, func(i int) string { return "http://" + l.endpoints[i].srv.addr() + "/v1/instances" }
}

// Guards against an endpoint that lists the addresses of another endpoint, and
// against invalid entries that are accepted.
func TestListEndpoints(t *testing.T) {
	t.Parallel()
	l, url := startList(t)
	if code, _ := sendRequest(t, http.MethodPost, url(0), `{"name":"i","address":"127.0.0.1:1","addresses":{"b":"127.0.0.1:2"}}`); code != http.StatusNoContent {
		t.Fatalf("post: got %d, want 204", code)
	}
	for i, want := range []string{`"address":"127.0.0.1:1","state":"live"}`, `"address":"127.0.0.1:2","state":"live"}`} {
		if _, body := sendRequest(t, http.MethodGet, url(i), ""); !strings.Contains(body, want) {
			t.Errorf("endpoint %d: got %s, want %s", i, body, want)
		}
	}
	for _, body := range []string{`{`, `{"state":"live"}`, `{"name":"i","state":"gone"}`} {
		if code, _ := sendRequest(t, http.MethodPost, url(0), body); code != http.StatusBadRequest {
			t.Errorf("post %s: got %d, want 400", body, code)
		}
	}
	setFault(t, l.endpoints[0].srv.controlAddr(), `{"down":true}`)
	if a, _ := sendRequest(t, http.MethodGet, url(0), ""); a != 0 {
		t.Errorf("endpoint down: got %d, want connection refused", a)
	}
	if b, _ := sendRequest(t, http.MethodGet, url(1), ""); b != http.StatusOK {
		t.Errorf("other endpoint: got %d, want 200", b)
	}
}

// Guards against an unchanged list that is sent again, against 304 Not Modified
// for a list that has changed or that lags, and against an ETag that two
// endpoints with different addresses share.
func TestListConditionalRead(t *testing.T) {
	t.Parallel()
	l, url := startList(t)
	set := func(body string) {
		t.Helper()
		if code, _ := sendRequest(t, http.MethodPost, url(0), body); code != http.StatusNoContent {
			t.Fatalf("post: got %d, want 204", code)
		}
	}
	set(`{"name":"i","address":"127.0.0.1:1","addresses":{"b":"127.0.0.1:2"}}`)
	resp, err := http.Get(url(0))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	tag := resp.Header.Get("Etag")
	read := func(endpoint int, want int) {
		t.Helper()
		if code, body := sendRequest(t, http.MethodGet, url(endpoint), "", "If-None-Match", tag); code != want || code == http.StatusNotModified && body != "" {
			t.Errorf("endpoint %d: got %d and %q, want %d", endpoint, code, body, want)
		}
	}
	read(0, http.StatusNotModified)
	read(1, http.StatusOK)
	set(`{"name":"i","address":"127.0.0.1:1","addresses":{"b":"127.0.0.1:2"},"state":"leaving"}`)
	read(0, http.StatusOK)
	if c := l.endpoints[0].counters(); c.Reads != 3 || c.Unchanged != 1 || c.Bytes <= 2*c.LastListBytes {
		t.Errorf("counters: got %+v, want 3 reads, 1 unchanged and the bytes of all responses", c)
	}
}
