package goosestand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func startWeightStore(t *testing.T, cfg WeightStoreConfig) *WeightStore {
	t.Helper()
	w := NewWeightStore(cfg, "127.0.0.1:0", "127.0.0.1:0", discardLog)
	runInBackground(t, w.Run)
	waitFor(t, "weight store", func() bool { return w.srv.controlAddr() != "127.0.0.1:0" })
	return w
}

// Guards against a weight store that accepts more loads than its rate allows, or
// counts rejected loads wrongly.
func TestWeightStoreRate(t *testing.T) {
	t.Parallel()
	w := startWeightStore(t, WeightStoreConfig{MaxLoads: 2, Period: time.Hour})
	load := func() int {
		code, _ := sendRequest(t, http.MethodGet, "http://"+w.srv.addr()+"/v1/weights/m", "")
		return code
	}
	for i, want := range []int{200, 200, 429} {
		if got := load(); got != want {
			t.Errorf("load %d: got %d, want %d", i, got, want)
		}
	}
	if got, want := w.Counters(), (WeightStoreCounters{Started: 3, Finished: 2, Refused: 1, RefusedOverRate: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	other := startWeightStore(t, WeightStoreConfig{MaxLoads: 2, Period: time.Hour})
	setFault(t, other.srv.controlAddr(), `{"refuse":true}`)
	if code, _ := sendRequest(t, http.MethodGet, "http://"+other.srv.addr()+"/v1/weights/m", ""); code != 429 || other.Counters().RefusedOverRate != 0 {
		t.Errorf("refuse fault: got %d and %+v, want 429 without counting it above the rate", code, other.Counters())
	}
}

// Guards against an engine that accepts requests during a load, that is warm or
// has another process id after it, or that does not report a failed or
// overlapping load.
func TestEngineLoads(t *testing.T) {
	t.Parallel()
	// Each load waits for a status from the test.
	statuses := make(chan int)
	w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(<-statuses) }))
	defer w.Close()
	e := startFastEngine(t, func(c *EngineConfig) { c.WeightStoreAddress, c.FencingChecked = w.Listener.Addr().String(), false })
	before := e.Counters().Process
	command := func(body string) {
		if code, response := sendRequest(t, http.MethodPost, e.url("/v1/commands"), body); code != http.StatusNoContent {
			t.Fatalf("command: got %d %s, want 204", code, response)
		}
	}
	last := func() (state struct {
		Running     bool
		Name, Error string
	},
	) {
		_, body := sendRequest(t, http.MethodGet, e.url("/v1/commands"), "")
		if err := json.Unmarshal([]byte(body), &state); err != nil {
			t.Fatal(err)
		}
		return state
	}
	if state := last(); state.Running || state.Name != "" {
		t.Errorf("before: got %+v, want no command", state)
	}
	command(`{"kind":"load-model","name":"m8","epoch":3}`)
	if state := last(); !state.Running || state.Name != "m8" {
		t.Errorf("during: got %+v, want m8 running", state)
	}
	if code, _ := sendRequest(t, http.MethodPost, e.url("/v1/completions"), completionBody("x", 1)); code != http.StatusServiceUnavailable {
		t.Errorf("request during the load: got %d, want 503", code)
	}
	if c := e.Counters(); !c.Cold || c.RequestsWhileLoading != 1 {
		t.Errorf("during: got %+v, want cold and one request", c)
	}
	command(`{"kind":"load-model","name":"m9","epoch":2}`)
	statuses <- http.StatusOK
	statuses <- http.StatusOK
	waitFor(t, "loads", func() bool { return !last().Running })
	c := e.Counters()
	if !c.Cold || c.Process != before || c.Crashes != 0 || c.OverlappingCommands != 1 || c.AcceptedStaleCommands != 1 || c.LoadsFailed != 0 {
		t.Errorf("after: got %+v, want the same process, cold, with one overlapping and stale command", c)
	}
	command(`{"kind":"load-adapter","name":"seals","model":"m9","epoch":3}`)
	statuses <- http.StatusTooManyRequests
	waitFor(t, "failure", func() bool { return !last().Running })
	if state := last(); state.Error == "" || e.Counters().LoadsFailed != 1 {
		t.Errorf("rejected by the weight store: got %+v, want an error", state)
	}
}
