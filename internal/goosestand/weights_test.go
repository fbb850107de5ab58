package goosestand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func startWeights(t *testing.T, cfg WeightsConfig) *Weights {
	t.Helper()
	w := NewWeights(cfg, "127.0.0.1:0", "127.0.0.1:0", quiet)
	run(t, w.Run)
	waitFor(t, "weight store", func() bool { return w.srv.controlAddr() != "127.0.0.1:0" })
	return w
}

// Guards against a weight store that lets more loads begin than its rate, or
// counts them as kept.
func TestWeightsRate(t *testing.T) {
	t.Parallel()
	w := startWeights(t, WeightsConfig{Loads: 2, Period: time.Hour})
	load := func() int {
		code, _ := call(t, http.MethodGet, "http://"+w.srv.addr()+"/v1/weights/m", "")
		return code
	}
	for i, want := range []int{200, 200, 429} {
		if got := load(); got != want {
			t.Errorf("load %d: got %d, want %d", i, got, want)
		}
	}
	if got, want := w.Counters(), (WeightsCounters{Started: 3, Finished: 2, Refused: 1, OverRate: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	other := startWeights(t, WeightsConfig{Loads: 2, Period: time.Hour})
	setFault(t, other.srv.controlAddr(), `{"refuse":true}`)
	if code, _ := call(t, http.MethodGet, "http://"+other.srv.addr()+"/v1/weights/m", ""); code != 429 || other.Counters().OverRate != 0 {
		t.Errorf("refused: got %d and %+v, want 429 within the rate", code, other.Counters())
	}
}

// Guards against an engine that takes requests while it loads, that is warm or
// another process afterwards, or that hides a failed or overlapping load.
func TestEngineLoads(t *testing.T) {
	t.Parallel()
	// Each load ends when the test says so.
	answers := make(chan int)
	w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(<-answers) }))
	defer w.Close()
	e := fastEngine(t, func(c *EngineConfig) { c.Weights, c.FencingChecked = w.Listener.Addr().String(), false })
	before := e.Counters().Process
	command := func(body string) {
		if code, answer := call(t, http.MethodPost, e.url("/v1/commands"), body); code != http.StatusNoContent {
			t.Fatalf("command: got %d %s, want 204", code, answer)
		}
	}
	last := func() (s struct {
		Running     bool
		Name, Error string
	},
	) {
		_, body := call(t, http.MethodGet, e.url("/v1/commands"), "")
		if err := json.Unmarshal([]byte(body), &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	if s := last(); s.Running || s.Name != "" {
		t.Errorf("before: got %+v, want no command", s)
	}
	command(`{"kind":"load-model","name":"m8","epoch":3}`)
	if s := last(); !s.Running || s.Name != "m8" {
		t.Errorf("during: got %+v, want m8 running", s)
	}
	if code, _ := call(t, http.MethodPost, e.url("/v1/completions"), completionBody("x", 1)); code != http.StatusServiceUnavailable {
		t.Errorf("request during the load: got %d, want 503", code)
	}
	if c := e.Counters(); !c.Cold || c.WhileLoading != 1 {
		t.Errorf("during: got %+v, want cold and one request", c)
	}
	command(`{"kind":"load-model","name":"m9","epoch":2}`)
	answers <- http.StatusOK
	answers <- http.StatusOK
	waitFor(t, "loads", func() bool { return !last().Running })
	c := e.Counters()
	if !c.Cold || c.Process != before || c.Crashes != 0 || c.Overlapping != 1 || c.StaleCommands != 1 || c.LoadsFailed != 0 {
		t.Errorf("after: got %+v, want the same process, cold, with one overlapping and stale command", c)
	}
	command(`{"kind":"load-adapter","name":"seals","model":"m9","epoch":3}`)
	answers <- http.StatusTooManyRequests
	waitFor(t, "failure", func() bool { return !last().Running })
	if s := last(); s.Error == "" || e.Counters().LoadsFailed != 1 {
		t.Errorf("refused by the weight store: got %+v, want an error", s)
	}
}
