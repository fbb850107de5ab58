package goosesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecallertest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

// Guards against a process that ends, or loses requests, when callers open more connections than
// it may have descriptors.
func TestCrowd(t *testing.T) {
	t.Parallel()
	const (
		crowd  = 1300
		orders = 2
		pause  = 1500 * time.Millisecond
	)
	f := newFleet(t, gooseprogramtest.LinkPrograms(t, gooseprogramtest.InstanceProgram), 1)
	i := f.instances[0]
	p := i.current()
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	var callers conc.WaitGroup
	var served, lost atomic.Int64
	for n := range crowd {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			time.Sleep(randomTime(random, 0, pause))
			for k := range orders {
				if !f.crowdOrder(i, p, fmt.Sprintf("crowd-%d-%d", n, k), random) {
					lost.Add(1)
					continue
				}
				served.Add(1)
				time.Sleep(pause)
			}
		})
	}
	callers.Wait()
	if !p.running() {
		t.Error("the process has ended")
	}
	if served.Load() == 0 {
		t.Error("no order of the crowd was served")
	}
	f.journal.check()
	f.journal.report(t)
	t.Logf("%d orders served, %d not", served.Load(), lost.Load())
}

// keptTime is how long a caller of the crowd keeps a connection.
const keptTime = 10 * time.Second

// crowdOrder sends an order on a new connection and keeps the connection for a while. It
// records a violation if the order ran and its caller got no answer.
func (f *fleet) crowdOrder(i *instance, p *process, id string, random *rand.Rand) bool {
	conn, err := goosecallertest.Dial(fmt.Sprintf("%s:%d", i.address, callerPort), random)
	if err != nil {
		return false
	}
	// The connection stays open far longer than the order takes.
	defer func() { time.AfterFunc(keptTime, func() { _ = conn.Close() }) }()
	r := &request{id: id, kind: kindOrder, method: http.MethodPost, path: "/order/crowd", workspace: "guild", timeout: callerTimeout, process: p, sentAt: time.Now(), body: id}
	f.journal.add(r)
	resp := conn.Exchange(goosecallertest.Request{
		Method: r.method, Path: r.path, Host: callerHost, Body: r.body, Timeout: callerTimeout + time.Second,
		Header: map[string]string{"Authorization": "Bearer k1", "X-Attempt-Id": id, "X-Deadline-Ms": fmt.Sprint(callerTimeout.Milliseconds())},
	})
	f.journal.withLock(func() {
		r.respondedAt, r.complete, r.responseBody, r.status, r.stamp = resp.EndedAt, resp.Err == nil, resp.Body, resp.Status, resp.Header.Get("X-Stamp")
		if resp.Err != nil && len(r.runs) > 0 {
			f.journal.violateLocked("lost", "order %s ran and its caller got no answer: %v", id, resp.Err)
		}
	})
	return resp.Err == nil && resp.Status == http.StatusOK
}

// Guards against requests at a replica that drains, because the connections on which instances
// wait for the store have gone silent while new ones work.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	const (
		// excused is the time after the silence in which late changes are excused, and
		// drainBound that in which an instance has to follow a replica that drains.
		excused    = 3200 * time.Millisecond
		drainBound = 2 * time.Second
		slack      = 100 * time.Millisecond
		quiet      = 8 * time.Second
		// youngest and oldest bound the age of the connections that go silent.
		youngest, oldest = 300 * time.Millisecond, 2500 * time.Millisecond
	)
	f := newFleet(t, gooseprogramtest.LinkPrograms(t, gooseprogramtest.InstanceProgram), 4)
	ctx, stop := context.WithCancel(context.Background())
	var load conc.WaitGroup
	for n, i := range f.instances {
		c := newCaller(fmt.Sprintf("silent-%d", n), uint64(n), f.journal)
		load.Go(func() {
			for ctx.Err() == nil {
				c.send(context.Background(), i, kindLookup, fmt.Sprintf("/look/%d", c.sent), "k1", 0)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(quiet)
	eventually(t, "all instances wait for the store in new calls", func() bool {
		for _, i := range f.instances {
			ages := i.storeProxy.ages()
			if len(ages) != 2 || ages[0] < youngest || ages[0] > oldest {
				return false
			}
		}
		return true
	})
	silent := 0
	for _, i := range f.instances {
		silent += i.storeProxy.silenceOpen()
	}
	time.Sleep(excused)
	e := f.endpoints[0]
	r := e.current()
	f.store.Put("servers/"+r.id, r.storeEntry(e.proxy.address(), "draining"))
	acked := time.Now()
	time.Sleep(drainBound + 6*time.Second)
	stop()
	load.Wait()
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	late := 0
	for _, q := range f.journal.requests {
		for _, n := range q.runs {
			if n.replica == r.id && q.sentAt.After(acked.Add(drainBound+slack)) {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached replica %s later than %s after the store had acknowledged that it drains; %d connections were silent", late, r.id, drainBound, silent)
	}
}

// Guards against a body that many callers send at once and that fills the memory of a machine:
// long bodies beyond the memory for them are refused as not run, and short ones are served.
func TestLongBodiesAtOnce(t *testing.T) {
	t.Parallel()
	const (
		callers = 200
		length  = 1_000_000
		shorts  = 40
	)
	f := newFleet(t, gooseprogramtest.LinkPrograms(t, gooseprogramtest.InstanceProgram), 1)
	i := f.instances[0]
	p := i.current()
	var all conc.WaitGroup
	var served, refused atomic.Int64
	for n := range callers + shorts {
		body := strings.Repeat("x", length)
		if n >= callers {
			body = "short"
		}
		all.Go(func() {
			c := newCaller(fmt.Sprintf("long-%d", n), uint64(n), f.journal)
			c.body = body
			r := c.send(context.Background(), i, kindOrder, "/order/long", "k1", 0)
			switch {
			case r.status == http.StatusOK && r.complete:
				served.Add(1)
			case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
				refused.Add(1)
			default:
				t.Errorf("%s got status %d, complete %t", r.id, r.status, r.complete)
			}
			if body == "short" && r.status != http.StatusOK {
				t.Errorf("a short order beside long ones got status %d", r.status)
			}
		})
	}
	all.Wait()
	if !p.running() {
		t.Error("the process has ended")
	}
	f.journal.check()
	f.journal.report(t)
	peak := peakMemory(p.cmd.Process.Pid) >> 20
	if peak > memoryLimitMB {
		t.Errorf("the process took %d MB, above the machine's %d MB", peak, memoryLimitMB)
	}
	t.Logf("%d served, %d refused, at most %d MB", served.Load(), refused.Load(), peak)
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}
