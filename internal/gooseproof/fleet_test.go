// Package gooseproof holds the tests that run a whole fleet of processes and
// break parts of it. docs/guarantees.md names them.
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

// TestMain lets the test binary be the programs of the fleet.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

// Names of the services in the fleet under test.
const (
	model   = "wording-desk"
	orders  = "order-book"
	lookups = "stock-list"
)

// rig is a small fleet: three data centres, two instances and two engines in
// each, and the plain services of the deployment.
type rig struct {
	*goosefleet.Fleet
	t   testing.TB
	ctx context.Context
	// dir holds the logs of all processes.
	dir    string
	client *http.Client
	// operators are the operator APIs of the instances; unlike the command line
	// they cost no process for each question.
	operators map[string]*gooseoperator.Client
}

// testTime bounds one test, so that a hang fails with the fleet's logs.
const testTime = 3 * time.Minute

// fleetSlots bounds the fleets that run at a time: tests wait for leases and
// time-outs most of the time, but a fleet at work takes two to three cores. With
// three fleets, four fifths of ten cores were idle.
var fleetSlots = make(chan struct{}, max(2, runtime.GOMAXPROCS(0)/2))

// newRig starts a fleet. A test, but no benchmark, runs beside others from here on.
func newRig(t testing.TB, change ...func(*goosefleet.Spec)) *rig {
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
	spec.Bin = gooseprogramtest.Bin(t, gooseprogramtest.Stand, gooseprogramtest.Entry)
	spec.Instances = 6
	spec.Dir = t.TempDir()
	spec.ListLag = 500 * time.Millisecond
	spec.Services[0].Replicas = 6
	spec.Services[0].Flags = []string{"--scale", "8"}
	for _, c := range change {
		c(&spec)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTime)
	f, err := goosefleet.Start(ctx, spec)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	r := &rig{Fleet: f, t: t, ctx: ctx, dir: spec.Dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	r.operators = map[string]*gooseoperator.Client{}
	var names []string
	for _, i := range f.Instances {
		names = append(names, i.Name)
		if r.operators[i.Name], err = gooseoperator.NewClient(i.Operator, f.OperatorToken); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			gooseprogramtest.PrintLogs(t, r.dir, names...)
		}
		f.Stop()
		cancel()
		if err := gooseprogramtest.Races(r.dir); err != nil {
			t.Error(err)
		}
	})
	return r
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	// code and run are those of a refusal.
	code, run string
	// whole is true for a stream with its end marker and for any plain answer.
	whole bool
	err   error
}

func (a answer) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.whole && a.code == ""
}

func (a answer) String() string {
	return fmt.Sprintf("status %d code %q run %q whole %t error %v", a.status, a.code, a.run, a.whole, a.err)
}

func (r *rig) send(address, path, key string, headers map[string]string, body []byte) answer {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	// net/http repeats a request with an Idempotency-Key on its own when a
	// connection breaks; a body without GetBody cannot be repeated.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(data), err: err}
	a.whole = err == nil && (!strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") || strings.Contains(a.body, "data: [DONE]"))
	a.parseRefusal()
	return a
}

func (a *answer) parseRefusal() {
	text := a.body
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
		a.code, a.run = refusal.Error.Code, refusal.Error.Run
	}
}

// generate sends a streamed model request with a prompt of about the given tokens.
func (r *rig) generate(address, name string, promptTokens, outputTokens int) answer {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": outputTokens, "prompt": prompt(name, promptTokens),
	})
	if err != nil {
		return answer{err: err}
	}
	return r.send(address, "/v1/completions", r.Workspaces[0].Key, nil, body)
}

func prompt(name string, tokens int) string {
	return name + strings.Repeat(" and", max(tokens-len(name)/4, 1))
}

// order sends an order; equal names are repeats of one order.
func (r *rig) order(address, name string) answer {
	return r.send(address, "/services/"+orders+"/orders", r.Workspaces[0].Key,
		map[string]string{"Idempotency-Key": name}, orderBody(name))
}

func orderBody(name string) []byte { return []byte(`{"seal":"` + name + `"}`) }

// executions returns how often the body of each named order was executed.
func (r *rig) executions(names []string) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for _, b := range r.BackendsOf(orders, "") {
		var all map[string]goosestand.Execution
		if err := b.Executed(r.ctx, &all); err != nil {
			r.t.Fatal(err)
		}
		for _, n := range names {
			counts[n] += all[goosestand.BodyHash(orderBody(n))].Count
		}
	}
	return counts
}

// engineTotals adds up the counters of all engines.
func (r *rig) engineTotals() goosestand.EngineCounters {
	r.t.Helper()
	var total goosestand.EngineCounters
	for _, b := range r.BackendsOf(model, "") {
		var c goosestand.EngineCounters
		if err := b.Counters(r.ctx, &c); err != nil {
			r.t.Fatal(err)
		}
		total.Started += c.Started
		total.Overloads += c.Overloads
		total.AboveLimit += c.AboveLimit
		for id, n := range c.Doubles {
			r.t.Errorf("attempt %s was sent %d times, want once", id, n)
		}
		total.Cancelled += c.Cancelled
		total.Crashes += c.Crashes
		total.MarkedCrashes += c.MarkedCrashes
		total.Streams += c.Streams
		total.Listed += c.Listed
		total.KVUsed += c.KVUsed
		total.Exports += c.Exports
		total.Generated += c.Generated
		total.Delivered += c.Delivered
	}
	return total
}

// eventually waits until check returns nil. The limit is far above what the
// system needs; it only ends a test that would otherwise hang.
func (r *rig) eventually(what string, limit time.Duration, check func() error) {
	r.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) || r.ctx.Err() != nil {
			r.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// warm sends requests until every engine answers as warm or the limit passes.
func (r *rig) warm() {
	r.t.Helper()
	for i := range 4 * len(r.BackendsOf(model, "")) {
		address := r.Instances[i%len(r.Instances)].Caller
		r.eventually("warm-up request", time.Minute, func() error {
			if a := r.generate(address, fmt.Sprintf("warm-%d", i), 500, 4); !a.served() {
				return fmt.Errorf("%v", a)
			}
			return nil
		})
	}
}
