package goosesoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecallertest"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

const (
	// stopCallers is the number of callers of each instance, and stopInstances the number of
	// instances in a planned stop.
	stopCallers   = 40
	stopInstances = 2
	// stopRequestTimeout is how long callers wait; it is longer than the stop timeout.
	stopRequestTimeout = 10 * time.Second
	// minWork and maxWork bound the time that replicas take for a request. Most take at most
	// usualWork, so that the duration of earlier requests says little about the longest ones.
	minWork, usualWork, maxWork = 100 * time.Millisecond, 600 * time.Millisecond, 9500 * time.Millisecond
	// usualShare is the share of requests that take at most usualWork.
	usualShare = 0.85
	// deregisterTime is how long after SIGTERM a load balancer may still open connections.
	deregisterTime = 2900 * time.Millisecond
	// maxFirstPause is how long a caller may take until it sends on a new connection, and
	// maxReusePause until it uses a kept one again.
	maxFirstPause = 2800 * time.Millisecond
	maxReusePause = time.Second
	// maxStopGap bounds the time between the stops of two instances, so that they overlap.
	maxStopGap = 5 * time.Second
	// stopWarmup is the time of load before the first stop.
	stopWarmup = 2 * time.Second
)

// fixedStopSeeds are the seeds of TestPlannedStop that CI runs.
var fixedStopSeeds = map[string]uint64{"any": 1, "another": 2}

// Guards against planned stops in which a request that an instance has accepted gets neither a
// complete response nor a true refusal: on new and on kept connections, with bodies of known
// length and in chunks, sent fast and slowly, and with requests of any duration.
func TestPlannedStop(t *testing.T) {
	for name, seed := range fixedStopSeeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runPlannedStop(t, seed)
		})
	}
	for n := range *extraSeeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runPlannedStop(t, seed) })
	}
}

// runPlannedStop stops all instances under load, one soon after the other.
func runPlannedStop(t *testing.T, seed uint64) {
	f := newFleet(t, gooseprogramtest.LinkPrograms(t, gooseprogramtest.InstanceProgram), stopInstances)
	f.routeTimeout = stopRequestTimeout
	f.writeRouting()
	f.waitForRecovery()
	t.Cleanup(func() {
		if t.Failed() {
			f.keepLogs(seed)
		}
	})
	random := rand.New(rand.NewPCG(seed, 3))
	var load, stops conc.WaitGroup
	var targets []*stopTarget
	for n, i := range f.instances {
		target := &stopTarget{instance: i, process: i.current()}
		targets = append(targets, target)
		for k := range stopCallers {
			c := &stopCaller{name: fmt.Sprintf("s%d-%d", n, k), fleet: f, target: target, random: rand.New(rand.NewPCG(seed, random.Uint64()))}
			load.Go(c.run)
		}
	}
	time.Sleep(stopWarmup)
	for _, target := range targets {
		gap, again := randomTime(random, 0, maxStopGap), randomTime(random, 0, stopTimeout)
		stops.Go(func() {
			time.Sleep(gap)
			target.stop(again)
		})
	}
	stops.Wait()
	load.Wait()
	eventually(t, "no replica has a request in flight", f.journal.idle)
	f.checkProcesses()
	f.journal.check()
	f.logSummary()
	f.journal.report(t)
}

func randomTime(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// stopTarget is an instance that is stopped.
type stopTarget struct {
	instance *instance
	process  *process

	mu sync.Mutex
	// signalled is when SIGTERM was sent; zero before.
	signalled time.Time
}

// stop sends SIGTERM twice and waits until the process has exited. It reports a process that
// needs SIGKILL.
func (s *stopTarget) stop(again time.Duration) {
	p := s.process
	p.mu.Lock()
	p.terminated = true
	p.mu.Unlock()
	s.mu.Lock()
	s.signalled = time.Now()
	s.mu.Unlock()
	p.signal(syscall.SIGTERM)
	second := time.AfterFunc(again, func() { p.signal(syscall.SIGTERM) })
	defer second.Stop()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		s.instance.t.Errorf("the process with the log %s did not exit within %s after SIGTERM", p.log, stopTimeout)
		p.kill()
	}
}

// signalledAt returns when SIGTERM was sent, or a time in the far future.
func (s *stopTarget) signalledAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signalled.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return s.signalled
}

// inRotation reports whether the load balancer still opens connections to the instance.
func (s *stopTarget) inRotation() bool { return time.Since(s.signalledAt()) < deregisterTime }

// stopCaller sends requests to one instance until the load balancer has removed it.
type stopCaller struct {
	name   string
	fleet  *fleet
	target *stopTarget
	random *rand.Rand
	sent   int
}

// run opens connections and sends requests on them, some of which are kept.
func (c *stopCaller) run() {
	for c.target.inRotation() {
		conn, err := goosecallertest.Dial(fmt.Sprintf("%s:%d", c.target.instance.address, callerPort), c.random)
		if err != nil {
			if c.target.inRotation() {
				c.fleet.journal.violate("stop", "got no connection %s after SIGTERM: %v", time.Since(c.target.signalledAt()), err)
			}
			return
		}
		c.useConnection(conn)
	}
}

// useConnection sends requests on a connection until either side closes it.
func (c *stopCaller) useConnection(conn *goosecallertest.Conn) {
	defer func() { _ = conn.Close() }()
	if c.random.IntN(3) == 0 {
		time.Sleep(randomTime(c.random, 0, maxFirstPause))
	}
	for kept := false; c.exchange(conn, kept); kept = true {
		time.Sleep(randomTime(c.random, 0, maxReusePause))
	}
}

// exchange sends one request, reads its response and checks it. It reports whether the
// connection may be used again.
func (c *stopCaller) exchange(conn *goosecallertest.Conn, kept bool) bool {
	r, form := c.newRequest()
	c.fleet.journal.add(r)
	resp := conn.Exchange(form)
	c.fleet.journal.withLock(func() {
		r.respondedAt, r.complete, r.responseBody, r.status = resp.EndedAt, resp.Err == nil, resp.Body, resp.Status
		r.stamp = resp.Header.Get("X-Stamp")
	})
	if resp.Err != nil {
		c.checkLoss(r, form, resp, kept)
	}
	return resp.Reusable
}

// newRequest draws a request and the form in which it is sent.
func (c *stopCaller) newRequest() (*request, goosecallertest.Request) {
	c.sent++
	kinds := []kind{kindLookup, kindOrder, kindStream, kindResumableStream}
	k := kinds[c.random.IntN(len(kinds))]
	work := randomTime(c.random, minWork, usualWork)
	if c.random.Float64() > usualShare {
		work = randomTime(c.random, usualWork, maxWork)
	}
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), kind: k, method: http.MethodPost, path: fmt.Sprintf("/%s/%d", k, c.sent), workspace: "guild",
		timeout: stopRequestTimeout, work: work, process: c.target.process, sentAt: time.Now(), body: strings.Repeat("x", 1+c.random.IntN(20_000)),
	}
	if c.random.IntN(4) == 0 {
		// Some requests are sure to end before the stop. They state whole milliseconds, and are
		// checked against what they state.
		r.timeout = randomTime(c.random, 2*usualWork, stopTimeout/2).Truncate(time.Millisecond)
	}
	header := map[string]string{"Authorization": "Bearer k1", "X-Attempt-Id": r.id, "X-Deadline-Ms": fmt.Sprint(r.timeout.Milliseconds())}
	if promptTokens[k] > 0 {
		header["X-Tokens"] = fmt.Sprintf("%d,100", promptTokens[k])
	}
	return r, goosecallertest.Request{
		Method: r.method, Path: r.path, Host: callerHost, Body: r.body, Header: header,
		Chunked: c.random.IntN(2) == 0, Slow: c.random.IntN(3) == 0, Timeout: r.timeout + goosecallertest.MaxSlowTime + time.Second,
	}
}

// checkLoss records a violation for a request without a complete response, unless no instance
// that stops could have served it.
func (c *stopCaller) checkLoss(r *request, form goosecallertest.Request, resp goosecallertest.Response, kept bool) {
	j := c.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	stop := c.target.signalledAt()
	wasPassedOn := len(r.runs) > 0
	switch {
	case resp.EndedAt.Sub(r.sentAt) >= r.timeout:
		// The request's time was over.
		return
	case wasPassedOn && r.sentAt.Before(stop) && !resp.EndedAt.Before(stop.Add(stopTimeout-stopTimeout/6)):
		// The request was sent before the stop and takes longer than the stop may.
		return
	case kept && !wasPassedOn && resp.Crossed():
		return
	}
	j.violateLocked("stop", "%s %s (chunked %t, slow %t, kept connection %t, %d runs, work %s, timeout %s), sent %s after SIGTERM, lost %s after SIGTERM: status %d, %v",
		r.kind, r.id, form.Chunked, form.Slow, kept, len(r.runs), r.work, r.timeout, r.sentAt.Sub(stop), resp.EndedAt.Sub(stop), resp.Status, resp.Err)
}
