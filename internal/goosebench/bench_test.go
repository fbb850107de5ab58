package goosebench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// Guards against plans that differ between runs with the same seed, whose phases could
// not be compared, and against a wrong share of long prompts.
func TestPlan(t *testing.T) {
	t.Parallel()
	l := DefaultLoad()
	l.Duration, l.ModelRate = 1000*time.Second, 20
	plan := NewPlan(l)
	if !reflect.DeepEqual(plan, NewPlan(l)) {
		t.Error("equal loads: got different plans")
	}
	models, long, shortest, longest := 0, 0, 1<<30, 0
	for _, q := range plan {
		if q.Kind != KindModel {
			continue
		}
		models++
		if q.PromptTokens > l.LongPrompt {
			long++
		}
		shortest, longest = min(shortest, q.PromptTokens), max(longest, q.PromptTokens)
	}
	if got := float64(long) / float64(models); got < 0.015 || got > 0.025 {
		t.Errorf("share of long prompts: got %.4f, want about 0.02", got)
	}
	if shortest < l.MinPrompt || longest > l.MaxPrompt || shortest > 2*l.MinPrompt || longest < l.MaxPrompt/2 {
		t.Errorf("prompt lengths: got %d to %d, want about %d to %d", shortest, longest, l.MinPrompt, l.MaxPrompt)
	}
	for _, q := range withoutLongPrompts(plan) {
		if q.PromptTokens > 64_000 {
			t.Fatalf("plan without long prompts: got one of %d tokens", q.PromptTokens)
		}
	}
}

// startServer starts an HTTP server in place of an entry instance. respond gets the
// number of the call, from one, and a function that returns a chunk of the expected
// output.
func startServer(t *testing.T, respond func(w http.ResponseWriter, n int, tokens func(from, to int) string)) *Target {
	t.Helper()
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		prompt, _ := goosestand.PromptFromBody(body)
		hash := goosestand.PromptHash(prompt)
		respond(w, int(calls.Add(1)), func(from, to int) string {
			return fmt.Sprintf("data: {\"offset\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", from, goosestand.OutputText(hash, from, to))
		})
	}))
	t.Cleanup(srv.Close)
	return &Target{Callers: []string{srv.Listener.Addr().String()}, Workspaces: []goosefleet.Workspace{{Name: "w", Key: "k"}}, Model: "m"}
}

const endMarker = "data: [DONE]\n\n"

// Guards against responses that are incomplete, repeated or of another request but
// count as served, and against callers that ignore Retry-After.
func TestCallerChecksResponses(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		respond func(w http.ResponseWriter, n int, tokens func(from, to int) string)
		want    Result
		tries   int
	}{
		"whole": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, ": keep-alive\n\n", tokens(0, 3), tokens(3, 8), endMarker)
		}, ResultServed, 1},
		"repeated chunk": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, tokens(0, 3), tokens(0, 3), tokens(3, 8), endMarker)
		}, ResultWrong, 1},
		"missing chunk": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, tokens(0, 3), tokens(5, 8), endMarker)
		}, ResultWrong, 1},
		"end marker too early": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, tokens(0, 3), endMarker)
		}, ResultWrong, 1},
		"no end marker": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, tokens(0, 8))
		}, ResultCut, maxTries},
		"refused, then complete": {func(w http.ResponseWriter, n int, tokens func(int, int) string) {
			if n == 1 {
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, `{"error":{"code":"overloaded","run":"not-run","retry-after-ms":1}}`)
				return
			}
			fmt.Fprint(w, tokens(0, 8), endMarker)
		}, ResultServed, 2},
		"refused without retry": {func(w http.ResponseWriter, _ int, _ func(int, int) string) {
			w.WriteHeader(http.StatusForbidden)
			fmt.Fprint(w, `{"error":{"code":"no-route","run":"not-run"}}`)
		}, ResultRefused, 1},
		"error frame": {func(w http.ResponseWriter, _ int, tokens func(int, int) string) {
			fmt.Fprint(w, tokens(0, 3), "event: error\ndata: {\"error\":{\"code\":\"crashes-backend\",\"run\":\"unknown\"}}\n\n")
		}, ResultFailed, 1},
		"status without a refusal": {func(w http.ResponseWriter, _ int, _ func(int, int) string) {
			w.WriteHeader(http.StatusBadGateway)
		}, ResultWrong, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := startServer(t, tt.respond)
			o := newCaller(target, "run").do(t.Context(), Request{Kind: KindModel, PromptTokens: 40, OutputTokens: 8, Seed: 7}, time.Now())
			if o.Result != tt.want || o.Tries != tt.tries {
				t.Errorf("got %s after %d tries (%s), want %s after %d", o.Result, o.Tries, o.Detail, tt.want, tt.tries)
			}
		})
	}
}

// Guards against a report that misses orders that ran twice, were lost, or ran
// although they were refused as not-run.
func TestCompareOrders(t *testing.T) {
	t.Parallel()
	order := func(body string, r Result, runState string) Outcome {
		return Outcome{Request: Request{Kind: KindOrder}, BodyHash: body, Result: r, RunState: runState}
	}
	p := &Phase{outcomes: []Outcome{
		order("once", ResultServed, "ran"), order("twice", ResultServed, "ran"), order("never", ResultServed, "ran"),
		order("refused", ResultRefused, "not-run"), order("ran anyway", ResultRefused, "not-run"), order("cut", ResultCut, "unknown"),
	}}
	p.compareOrders(&Target{Orders: "o"}, backendCounters{executed: map[string]map[string]int{"o": {"once": 1, "twice": 2, "ran anyway": 1, "cut": 1}}})
	want := Orders{Placed: 6, Served: 3, NotRun: 2, Unknown: 1, Executed: 4, RanRepeatedly: 1, Lost: 1, FalseNotRun: 1}
	if p.Orders != want {
		t.Errorf("got %+v, want %+v", p.Orders, want)
	}
	if got := len(p.Violations()); got != 3 {
		t.Errorf("violations: got %d, want 3", got)
	}
}

// Guards against overlooking work that starts after a data centre left, and against
// reporting full use after its return too early.
func TestMeasureLeaveReturn(t *testing.T) {
	t.Parallel()
	var samples []Sample
	started := 0
	for i := range 120 {
		at := float64(i) / 2
		if at <= 22 || at >= 45 {
			started += 10
		}
		samples = append(samples, Sample{At: at, Started: map[string]int{"a": started}})
	}
	l := measureLeaveReturn(samples, "a", 20, 40)
	if l.LastNewWorkSeconds != 2 || l.FullUseSeconds < 4 || l.FullUseSeconds > 6 {
		t.Errorf("got %+v, want last work after 2 s and full use after about 5 s", *l)
	}
	if l := measureLeaveReturn(samples, "a", 20, -1); l.LastNewWorkSeconds != -1 || l.FullUseSeconds != -1 {
		t.Errorf("failed return: got %+v, want no times", *l)
	}
}

// Guards against requests that are counted in the wrong period, or in none.
func TestSplitByPeriod(t *testing.T) {
	t.Parallel()
	var outcomes []Outcome
	for i := range 10 {
		outcomes = append(outcomes, Outcome{Request: Request{At: time.Duration(i) * time.Second, Kind: KindOrder}, Result: ResultServed, FirstOutput: time.Second})
	}
	outcomes[4].Result = ResultRefused
	for i, want := range []Period{{Name: "before", Requests: 3}, {Name: "away", Requests: 4}, {Name: "after", Requests: 3}} {
		got := splitByPeriod(outcomes, 3, 7)[i]
		if got.Name != want.Name || got.Requests != want.Requests || got.Plain.Count != int64(got.Results[ResultServed]) {
			t.Errorf("got %+v, want %s with %d requests", got, want.Name, want.Requests)
		}
	}
}

// Guards against load on other machines and against unclear usage errors.
func TestUsage(t *testing.T) {
	t.Parallel()
	remote := filepath.Join(t.TempDir(), "far.json")
	data, _ := json.Marshal(Target{Callers: []string{"192.0.2.1:80"}, Workspaces: []goosefleet.Workspace{{}}})
	if err := os.WriteFile(remote, data, 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		want string
	}{
		"no scenario":        {nil, "usage:"},
		"no fleet":           {[]string{"mixed"}, "--fleet or --target"},
		"unknown fleet":      {[]string{"mixed", "--fleet", "x"}, "unknown fleet"},
		"not loopback":       {[]string{"mixed", "--target", remote}, "not a loopback address"},
		"wrong baseline":     {[]string{"mixed", "--fleet", "ponnala", "--baselines", "x"}, "routing-policy/queue-discipline"},
		"target at capacity": {[]string{"overload", "--target", remote, "--at-capacity"}, "--at-capacity"},
		"zero limit":         {[]string{"mixed", "--fleet", "ponnala", "--limit", "0s"}, "--limit"},
		"slopes":             {[]string{"slopes", "--series", "x"}, "series"},
		"wrong share":        {[]string{"mixed", "--fleet", "ponnala", "--long-share", "2"}, "--long-share"},
	}
	for name, tt := range tests {
		var stderr bytes.Buffer
		if code := Run(t.Context(), tt.args, io.Discard, &stderr); code != exitUsage || !strings.Contains(stderr.String(), tt.want) {
			t.Errorf("%s: got exit %d and %q, want 2 and %q", name, code, stderr.String(), tt.want)
		}
	}
}

// Guards against a report that lacks files, and against a phase that loses requests or
// omits counters.
func TestPhaseAndReport(t *testing.T) {
	t.Parallel()
	e := goosestand.NewEngine(fastEngineConfig(), "127.0.0.1:0", "", discardLogger)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	target := &Target{
		Callers: []string{e.Address()}, Workspaces: []goosefleet.Workspace{{Key: "k"}}, Model: "m",
		Backends: []*goosefleet.Simulator{{Name: "e", DataCentre: "a", Address: e.Address(), Control: e.Address()}},
	}
	l := DefaultLoad()
	l.Duration, l.ModelRate, l.OrderRate, l.LookupRate, l.LongPrompt, l.MaxPrompt = time.Second, 20, 0, 0, 5000, 70_000
	rn := &runner{log: discardLogger, load: l, runID: "t", baselines: []Baseline{{RoutingPolicy: "affinity", QueueDiscipline: "fair"}}}
	rn.startFleet = func(context.Context, Baseline) (*Target, *goosefleet.Fleet, func(), error) {
		return target, nil, func() {}, nil
	}
	r := &Report{Scenario: "mixed", Load: l}
	if err := rn.runMixed(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	p := r.Phases[1]
	if p.Requests == 0 || p.Results[ResultServed] != p.Requests || p.Waste.Generated != p.Waste.Received || len(p.Violations()) != 0 {
		t.Errorf("got %+v, want every request served and no waste", p)
	}
	dir := t.TempDir()
	var table bytes.Buffer
	if err := r.write(dir, &table); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"mixed.json", "mixed-first-token.svg", "mixed-results.svg", "mixed-starts.svg", "mixed-slowdown.svg"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: got %v, want a file", name, err)
		}
	}
	if !strings.Contains(table.String(), "no guarantee was seen broken") {
		t.Errorf("table: got %s", table.String())
	}
}
