package goosesoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

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
	// maxFirstPause is how long a caller may take from opening a connection to the end of
	// its request's head.
	maxFirstPause = 3 * time.Second
	// lossSlack is the time after the last byte of a request in which the end of its
	// connection may cross it.
	lossSlack = 200 * time.Millisecond
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
		conn, err := net.DialTimeout("tcp4", c.target.instance.address+fmt.Sprintf(":%d", callerPort), time.Second)
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
func (c *stopCaller) useConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if c.random.IntN(3) == 0 {
		// Half of the time the head takes as long as it may.
		time.Sleep(randomTime(c.random, 0, maxFirstPause-lossSlack))
	}
	reader := bufio.NewReader(conn)
	for kept := false; ; kept = true {
		if !c.exchange(conn, reader, kept) {
			return
		}
		time.Sleep(randomTime(c.random, 0, time.Second))
	}
}

// exchange sends one request, reads its response and checks it. It reports whether the
// connection may be used again.
func (c *stopCaller) exchange(conn net.Conn, reader *bufio.Reader, kept bool) bool {
	r, text := c.newRequest()
	c.fleet.journal.add(r)
	_ = conn.SetDeadline(time.Now().Add(stopRequestTimeout + time.Second))
	sent := make(chan time.Time, 1)
	go func() { sent <- c.write(conn, text) }()
	resp, err := http.ReadResponse(reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	ended := time.Now()
	c.fleet.journal.withLock(func() {
		r.respondedAt, r.complete, r.responseBody = ended, err == nil, string(body)
		if resp != nil {
			r.status, r.stamp = resp.StatusCode, resp.Header.Get("X-Stamp")
		}
	})
	reusable := err == nil && !resp.Close
	if !reusable {
		_ = conn.Close()
	}
	sentAt := <-sent
	if err != nil {
		c.checkLoss(r, err, sentAt, kept)
	}
	return reusable
}

// newRequest draws a request and returns the pieces in which it is sent.
func (c *stopCaller) newRequest() (*request, []string) {
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
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.path, callerHost, r.id, r.timeout.Milliseconds())
	if promptTokens[k] > 0 {
		fmt.Fprintf(&text, "X-Tokens: %d,100\r\n", promptTokens[k])
	}
	r.chunked, r.slow = c.random.IntN(2) == 0, c.random.IntN(3) == 0
	if !r.chunked {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	} else {
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n")
		half := len(r.body) / 2
		for _, chunk := range []string{r.body[:half], r.body[half:]} {
			if chunk != "" {
				fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		text.WriteString("0\r\n\r\n")
	}
	if !r.slow {
		return r, []string{text.String()}
	}
	return r, split(text.String(), c.random)
}

// maxPieces is the number of pieces in which a request is sent slowly.
const maxPieces = 6

func split(text string, random *rand.Rand) []string {
	var pieces []string
	for len(pieces) < maxPieces && len(text) > 1 {
		n := 1 + random.IntN(len(text)-1)
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return append(pieces, text)
}

// write sends the pieces with pauses and returns when the last one was sent.
func (c *stopCaller) write(conn net.Conn, pieces []string) time.Time {
	for n, piece := range pieces {
		if n > 0 {
			time.Sleep(rand.N(maxFirstPause / maxPieces))
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// checkLoss records a violation for a request without a complete response, unless no instance
// that stops could have served it. sentAt is when its last byte was sent, or zero.
func (c *stopCaller) checkLoss(r *request, cause error, sentAt time.Time, kept bool) {
	j := c.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	stop := c.target.signalledAt()
	wasPassedOn := len(r.runs) > 0
	switch {
	case r.respondedAt.Sub(r.sentAt) >= r.timeout:
		// The request's time was over.
		return
	case wasPassedOn && r.sentAt.Before(stop) && !r.respondedAt.Before(stop.Add(stopTimeout-stopTimeout/6)):
		// The request was sent before the stop and takes longer than the stop may.
		return
	case kept && !wasPassedOn && (sentAt.IsZero() || r.respondedAt.Sub(sentAt) <= lossSlack):
		// The request has crossed the end of an idle connection.
		return
	}
	j.violateLocked("stop", "%s %s (chunked %t, slow %t, kept connection %t, %d runs, work %s), sent %s after SIGTERM, lost %s after SIGTERM: status %d, %v",
		r.kind, r.id, r.chunked, r.slow, kept, len(r.runs), r.work, r.sentAt.Sub(stop), r.respondedAt.Sub(stop), r.status, cause)
}
