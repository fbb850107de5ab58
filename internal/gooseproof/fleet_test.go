// Package gooseproof tests the guarantees with whole fleets of processes and injected
// faults. docs/guarantees.md lists its tests.
package gooseproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// TestMain lets the test binary run as the programs of the fleet.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

// Names of the services in the fleet under test.
const (
	modelService  = "wording-desk"
	orderService  = "order-book"
	lookupService = "stock-list"
)

// testFleet is a small fleet: three data centres with two instances and two engines each,
// and the plain services of the deployment.
type testFleet struct {
	*goosefleet.Fleet
	t   testing.TB
	ctx context.Context
	// logDir holds the logs of all processes.
	logDir string
	client *http.Client
	// operators are clients of the instances' operator APIs. Unlike the command line, they
	// start no process for each call.
	operators map[string]*gooseoperator.Client
}

// testTimeout bounds one test, so that a test that hangs fails and prints the fleet's logs.
const testTimeout = 3 * time.Minute

// fleetSlots bounds the number of fleets that run at the same time. Tests wait for leases
// and timeouts most of the time, but a fleet under load takes two to three cores. With
// three fleets, four fifths of ten cores were idle.
var fleetSlots = make(chan struct{}, max(2, runtime.GOMAXPROCS(0)/2))

// newTestFleet starts a fleet. From here on a test, but no benchmark, runs in parallel with
// other tests.
func newTestFleet(t testing.TB, change ...func(*goosefleet.Spec)) *testFleet {
	t.Helper()
	if t, ok := t.(*testing.T); ok {
		t.Parallel()
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	spec, err := goosefleet.Preset(goosefleet.Drummond)
	if err != nil {
		t.Fatal(err)
	}
	spec.Bin = gooseprogramtest.LinkPrograms(t, gooseprogramtest.SimulatorProgram, gooseprogramtest.InstanceProgram)
	spec.Instances = 6
	spec.Dir = t.TempDir()
	spec.ListLag = 500 * time.Millisecond
	spec.Services[0].Replicas = 6
	spec.Services[0].Flags = []string{"--scale", "8"}
	for _, c := range change {
		c(&spec)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	started, err := goosefleet.Start(ctx, spec)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	f := &testFleet{Fleet: started, t: t, ctx: ctx, logDir: spec.Dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	f.operators = map[string]*gooseoperator.Client{}
	var names []string
	for _, i := range started.Instances {
		names = append(names, i.Name)
		if f.operators[i.Name], err = gooseoperator.NewClient(i.Operator, started.OperatorToken); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			gooseprogramtest.PrintLogs(t, f.logDir, names...)
		}
		started.Stop()
		cancel()
		if err := gooseprogramtest.CheckRaces(f.logDir); err != nil {
			t.Error(err)
		}
	})
	return f
}

// response is the response to a request, as its caller received it.
type response struct {
	status int
	body   string
	// code and run are the fields of a refusal; run states whether the request has run.
	code, run string
	// complete is true for a stream with its end marker and for any plain response that was
	// read without an error.
	complete bool
	err      error
}

func (res response) served() bool {
	return res.err == nil && res.status == http.StatusOK && res.complete && res.code == ""
}

func (res response) String() string {
	return fmt.Sprintf("status %d code %q run %q complete %t error %v", res.status, res.code, res.run, res.complete, res.err)
}

func (f *testFleet) send(address, path, key string, headers map[string]string, body []byte) response {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	// net/http retries a request with an Idempotency-Key when its connection breaks, unless
	// GetBody is nil.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	res := response{status: resp.StatusCode, body: string(data), err: err}
	res.complete = err == nil && (!strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") || strings.Contains(res.body, "data: [DONE]"))
	res.parseRefusal()
	return res
}

func (res *response) parseRefusal() {
	text := res.body
	if i := strings.Index(text, "event: error\ndata: "); i >= 0 {
		text = text[i+len("event: error\ndata: "):]
		text, _, _ = strings.Cut(text, "\n")
	}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(text), &refusal) == nil {
		res.code, res.run = refusal.Error.Code, refusal.Error.Run
	}
}

// generate sends a streamed model request with a prompt of about the given tokens.
func (f *testFleet) generate(address, name string, promptTokens, outputTokens int) response {
	body, err := json.Marshal(map[string]any{
		"model": modelService, "stream": true, "max_tokens": outputTokens, "prompt": promptOf(name, promptTokens),
	})
	if err != nil {
		return response{err: err}
	}
	return f.send(address, "/v1/completions", f.Workspaces[0].Key, nil, body)
}

func promptOf(name string, tokens int) string {
	return name + strings.Repeat(" and", max(tokens-len(name)/4, 1))
}

// sendOrder sends an order; requests with equal names are retries of one order.
func (f *testFleet) sendOrder(address, name string) response {
	return f.send(address, "/services/"+orderService+"/orders", f.Workspaces[0].Key,
		map[string]string{"Idempotency-Key": name}, orderBody(name))
}

func orderBody(name string) []byte { return []byte(`{"seal":"` + name + `"}`) }

// executions returns how often the body of each named order was executed.
func (f *testFleet) executions(names []string) map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for _, b := range f.BackendsOf(orderService, "") {
		var all map[string]goosestand.Execution
		if err := b.Executed(f.ctx, &all); err != nil {
			f.t.Fatal(err)
		}
		for _, n := range names {
			counts[n] += all[goosestand.BodyHash(orderBody(n))].Count
		}
	}
	return counts
}

// engineTotals adds up the counters of all engines.
func (f *testFleet) engineTotals() goosestand.EngineCounters {
	f.t.Helper()
	var total goosestand.EngineCounters
	for _, b := range f.BackendsOf(modelService, "") {
		var c goosestand.EngineCounters
		if err := b.Counters(f.ctx, &c); err != nil {
			f.t.Fatal(err)
		}
		total.Started += c.Started
		total.Overloads += c.Overloads
		total.RequestsAboveLimit += c.RequestsAboveLimit
		for id, n := range c.RepeatedStarts {
			f.t.Errorf("attempt %s was sent %d times, want once", id, n)
		}
		total.Cancelled += c.Cancelled
		total.Crashes += c.Crashes
		total.CrashMarkCrashes += c.CrashMarkCrashes
		total.RunningStreams += c.RunningStreams
		total.ListedStreams += c.ListedStreams
		total.KVTokensUsed += c.KVTokensUsed
		total.KVHandles += c.KVHandles
		total.GeneratedTokens += c.GeneratedTokens
		total.DeliveredTokens += c.DeliveredTokens
	}
	return total
}

// eventually waits until check returns nil. The limit is far above what the system needs;
// it only ends a test that would otherwise hang.
func (f *testFleet) eventually(what string, limit time.Duration, check func() error) {
	f.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) || f.ctx.Err() != nil {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// warmUp sends requests until each of them has been served, four for each engine, so that
// the engines become warm.
func (f *testFleet) warmUp() {
	f.t.Helper()
	for i := range 4 * len(f.BackendsOf(modelService, "")) {
		address := f.Instances[i%len(f.Instances)].Caller
		f.eventually("warm-up request", time.Minute, func() error {
			if res := f.generate(address, fmt.Sprintf("warm-%d", i), 500, 4); !res.served() {
				return fmt.Errorf("%v", res)
			}
			return nil
		})
	}
}
