package gooseproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// history records the calls of concurrent callers.
type history struct {
	fleet  *testFleet
	cancel context.CancelFunc
	// instances receive the calls.
	instances []*goosefleet.Instance
	// longCalls gives calls a deadline of a minute and longer outputs.
	longCalls bool
	wg        sync.WaitGroup

	mu    sync.Mutex
	calls []call
	// inFlight holds the numbers of the calls without a response. Calls are numbered in the
	// order of their beginning; started is the last number.
	inFlight map[int]bool
	started  int
	// stopTimes and resumeTimes hold when each instance was stopped and resumed.
	stopTimes, resumeTimes map[string][]time.Time
}

// startHistory starts callers that send requests drawn from the seed through all instances.
func (f *testFleet) startHistory(seed uint64, callers int) *history {
	return (&history{fleet: f, instances: f.Instances}).startCallers(seed, callers)
}

// startCallers starts callers that send requests drawn from the seed until the history is
// cancelled.
func (h *history) startCallers(seed uint64, callers int) *history {
	ctx, cancel := context.WithCancel(h.fleet.ctx)
	h.cancel, h.inFlight = cancel, map[int]bool{}
	h.stopTimes, h.resumeTimes = map[string][]time.Time{}, map[string][]time.Time{}
	for n := range callers {
		h.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				h.sendDrawn(ctx, rng, fmt.Sprintf("call-%d-%d-%d", seed, n, i))
			}
		})
	}
	return h
}

// sendDrawn sends a drawn request. A refused order is retried through another instance;
// the retry must not run the order a second time.
func (h *history) sendDrawn(ctx context.Context, rng *rand.Rand, name string) {
	c := h.fleet.drawCall(rng, name)
	if h.longCalls {
		c.timeout, c.outputTokens = time.Minute, 8+rng.IntN(1200)
	}
	at := rng.IntN(len(h.instances))
	if h.send(c, at) {
		return
	}
	time.Sleep(100 * time.Millisecond)
	// A load with long calls goes through one instance and ends with that instance's process.
	if c.kind == kindOrder && (!h.longCalls || ctx.Err() == nil) {
		h.send(c, at+1)
	}
}

// send reports whether the call was served.
func (h *history) send(c call, at int) bool {
	i := h.instances[at%len(h.instances)]
	h.mu.Lock()
	h.started++
	n := h.started
	h.inFlight[n] = true
	h.mu.Unlock()
	// The timeout ends a call that would never end. A response after it is too late anyway.
	ctx, cancel := context.WithTimeout(h.fleet.ctx, c.timeout+2*responseMargin)
	defer cancel()
	caller := *h.fleet
	caller.ctx = ctx
	// An idle connection to an instance that was killed would break later calls.
	caller.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	path, headers, body := c.request()
	c.instance, c.begin = i.Name, time.Now()
	c.response = caller.send(i.Caller, path, c.key, headers, body)
	c.end = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, n)
	h.calls = append(h.calls, c)
	return c.served()
}

// markStopped records that an instance is about to be killed or frozen.
func (h *history) markStopped(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimes[name] = append(h.stopTimes[name], time.Now())
}

// markResumed records that a stopped instance serves again.
func (h *history) markResumed(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumeTimes[name] = append(h.resumeTimes[name], time.Now())
}

// stoppedDuring reports whether the call's instance was stopped during the call.
func (h *history) stoppedDuring(c call) bool {
	for i, from := range h.stopTimes[c.instance] {
		until := time.Now()
		if i < len(h.resumeTimes[c.instance]) {
			until = h.resumeTimes[c.instance][i]
		}
		if c.begin.Before(until) && c.end.After(from) {
			return true
		}
	}
	return false
}

// waitInFlight waits until every call that is in flight now has ended, but not longer than
// the longest deadline with its margin.
func (h *history) waitInFlight() {
	h.mu.Lock()
	last := h.started
	h.mu.Unlock()
	for end := time.Now().Add(6*time.Second + responseMargin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h.mu.Lock()
		left := 0
		for n := range h.inFlight {
			if n <= last {
				left++
			}
		}
		h.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// servedSince returns how many calls of each kind that began after a time were
// served.
func (h *history) servedSince(t time.Time) map[kind]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := map[kind]int{}
	for i := range h.calls {
		if h.calls[i].begin.After(t) && h.calls[i].served() {
			n[h.calls[i].kind]++
		}
	}
	return n
}

// finish ends the load and checks every call.
func (h *history) finish() {
	t := h.fleet.t
	t.Helper()
	h.cancel()
	h.wg.Wait()
	outcomes, stopped := map[string]int{}, 0
	for i := range h.calls {
		c := &h.calls[i]
		if c.instanceStopped = h.stoppedDuring(*c); c.instanceStopped {
			stopped++
		}
		if c.served() {
			outcomes["served"]++
		} else {
			outcomes[c.code]++
		}
		if err := c.check(); err != nil {
			t.Errorf("%v\n%v", c, err)
		}
	}
	h.checkOrders()
	if n := h.coldOverloads(); len(n) != 0 {
		t.Errorf("cold backend servers crashed from overload: %v, want none", n)
	}
	t.Logf("%d calls, outcomes %v; %d to an instance that was stopped during the call", len(h.calls), outcomes, stopped)
}

// coldOverloads returns how often backend servers of each service crashed because they got
// more than their cold limit.
func (h *history) coldOverloads() map[string]int {
	n := map[string]int{}
	for _, b := range h.fleet.Backends {
		var c struct {
			Overloads int `json:"overloads"`
		}
		if b.Counters(h.fleet.ctx, &c) == nil && c.Overloads > 0 {
			n[b.Service] += c.Overloads
		}
	}
	return n
}

// checkOrders compares the outcomes of orders that callers got with the executions.
func (h *history) checkOrders() {
	t := h.fleet.t
	t.Helper()
	h.fleet.eventually("order services idle", time.Minute, func() error {
		for _, b := range h.fleet.BackendsOf(orderService, "") {
			var c goosestand.PlainCounters
			if err := b.Counters(h.fleet.ctx, &c); err != nil || c.Running > 0 {
				return fmt.Errorf("%s: %d running, %w", b.Name, c.Running, err)
			}
		}
		return nil
	})
	outcomes := map[string][]string{}
	var names []string
	for _, c := range h.calls {
		if c.kind != kindOrder {
			continue
		}
		if outcomes[c.name] == nil {
			names = append(names, c.name)
		}
		if c.served() {
			c.run = outcomeServed
		}
		outcomes[c.name] = append(outcomes[c.name], c.run)
	}
	executed := h.fleet.executions(names)
	for _, n := range names {
		// The calls of one order are sequential, so the last outcome is the newest.
		last := outcomes[n][len(outcomes[n])-1]
		switch got := executed[n]; {
		case got > 1, last == outcomeServed && got == 0, last == outcomeNotRun && got > 0:
			t.Errorf("order %s: got %d executions, outcomes %q", n, got, outcomes[n])
		}
	}
}
