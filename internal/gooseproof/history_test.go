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

// history collects the calls of concurrent callers.
type history struct {
	r      *rig
	cancel context.CancelFunc
	// through are the instances that get the calls.
	through []*goosefleet.Instance
	// patient gives calls the deadline of their service and longer answers.
	patient bool
	wg      sync.WaitGroup

	mu    sync.Mutex
	calls []call
	// running are the calls without an answer, by a number of their own.
	running map[int]bool
	begun   int
	// stops and resumes are the times at which each instance was stopped.
	stops, resumes map[string][]time.Time
}

// record starts callers that send requests drawn from the seed until end.
func (r *rig) record(seed uint64, callers int) *history {
	return (&history{r: r, through: r.Instances}).start(seed, callers)
}

// start is record for the instances of the history.
func (h *history) start(seed uint64, callers int) *history {
	ctx, cancel := context.WithCancel(h.r.ctx)
	h.cancel, h.running = cancel, map[int]bool{}
	h.stops, h.resumes = map[string][]time.Time{}, map[string][]time.Time{}
	for n := range callers {
		h.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := 0; ctx.Err() == nil; i++ {
				h.one(ctx, rng, fmt.Sprintf("call-%d-%d-%d", seed, n, i))
			}
		})
	}
	return h
}

// one sends a request. A refused order is repeated through another instance: the
// repeat must not run it a second time.
func (h *history) one(ctx context.Context, rng *rand.Rand, name string) {
	c := h.r.drawCall(rng, name)
	if h.patient {
		c.timeout, c.output = time.Minute, 8+rng.IntN(1200)
	}
	at := rng.IntN(len(h.through))
	if h.send(c, at) {
		return
	}
	time.Sleep(100 * time.Millisecond)
	// A patient load ends with the process of its only instance.
	if c.kind == kindOrder && (!h.patient || ctx.Err() == nil) {
		h.send(c, at+1)
	}
}

// send reports whether the call was served.
func (h *history) send(c call, at int) bool {
	i := h.through[at%len(h.through)]
	h.mu.Lock()
	h.begun++
	n := h.begun
	h.running[n] = true
	h.mu.Unlock()
	// Ends a call that would never end; its answer is too late by then.
	ctx, cancel := context.WithTimeout(h.r.ctx, c.timeout+2*answerMargin)
	defer cancel()
	caller := *h.r
	caller.ctx = ctx
	// A kept connection of an instance that was killed would break later calls.
	caller.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	path, headers, body := c.request()
	c.instance, c.begin = i.Name, time.Now()
	c.answer = caller.send(i.Caller, path, c.key, headers, body)
	c.end = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, n)
	h.calls = append(h.calls, c)
	return c.served()
}

// stop notes that an instance is about to be killed or frozen.
func (h *history) stop(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops[name] = append(h.stops[name], time.Now())
}

// resume notes that a stopped instance serves again.
func (h *history) resume(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumes[name] = append(h.resumes[name], time.Now())
}

// stoppedDuring reports whether the call's instance was stopped meanwhile.
func (h *history) stoppedDuring(c call) bool {
	for i, from := range h.stops[c.instance] {
		until := time.Now()
		if i < len(h.resumes[c.instance]) {
			until = h.resumes[c.instance][i]
		}
		if c.begin.Before(until) && c.end.After(from) {
			return true
		}
	}
	return false
}

// settle waits until every call that runs now has ended, but not longer than the
// longest deadline with its margin.
func (h *history) settle() {
	h.mu.Lock()
	last := h.begun
	h.mu.Unlock()
	for end := time.Now().Add(6*time.Second + answerMargin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h.mu.Lock()
		left := 0
		for n := range h.running {
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

// finish ends the load and gives the verdict on every call.
func (h *history) finish() {
	t := h.r.t
	t.Helper()
	h.cancel()
	h.wg.Wait()
	told, stopped := map[string]int{}, 0
	for i := range h.calls {
		c := &h.calls[i]
		if c.stopped = h.stoppedDuring(*c); c.stopped {
			stopped++
		}
		if c.served() {
			told["served"]++
		} else {
			told[c.code]++
		}
		if err := c.verdict(); err != nil {
			t.Errorf("%v\n%v", c, err)
		}
	}
	h.checkOrders()
	if n := h.overloads(); len(n) != 0 {
		t.Errorf("backend servers got more than they bear while cold: %v, want none", n)
	}
	t.Logf("%d calls, told %v; %d to an instance that was stopped meanwhile", len(h.calls), told, stopped)
}

// overloads returns how often backend servers of each service crashed because
// they got more than they bear while cold.
func (h *history) overloads() map[string]int {
	n := map[string]int{}
	for _, b := range h.r.Backends {
		var c struct {
			Overloads int `json:"overloads"`
		}
		if b.Counters(h.r.ctx, &c) == nil && c.Overloads > 0 {
			n[b.Service] += c.Overloads
		}
	}
	return n
}

// checkOrders compares what callers were told about orders with what ran.
func (h *history) checkOrders() {
	t := h.r.t
	t.Helper()
	h.r.eventually("order services idle", time.Minute, func() error {
		for _, b := range h.r.BackendsOf(orders, "") {
			var c goosestand.PlainCounters
			if err := b.Counters(h.r.ctx, &c); err != nil || c.Running > 0 {
				return fmt.Errorf("%s: %d running, %w", b.Name, c.Running, err)
			}
		}
		return nil
	})
	told := map[string][]string{}
	var names []string
	for _, c := range h.calls {
		if c.kind != kindOrder {
			continue
		}
		if told[c.name] == nil {
			names = append(names, c.name)
		}
		if c.served() {
			c.run = toldServed
		}
		told[c.name] = append(told[c.name], c.run)
	}
	executed := h.r.executions(names)
	for _, n := range names {
		// The calls of one order follow each other.
		last := told[n][len(told[n])-1]
		switch got := executed[n]; {
		case got > 1, last == toldServed && got == 0, last == toldNotRun && got > 0:
			t.Errorf("order %s: got %d executions, told %q", n, got, told[n])
		}
	}
}
