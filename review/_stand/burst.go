package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// burstFactor is the largest dose of a burst in the site file of dk-sealworks.
const burstFactor = 2.8

// maxDescriptors is the number of descriptors of a machine, as in its settings. The platform
// reserves 200 of them for files; here all may be sockets.
const maxDescriptors = 4200

// sentRequest is a request and how it ended for its caller.
type sentRequest struct {
	attempt string
	// kept is set if the channel had an answer before.
	kept   bool
	answer answer
}

// crowd is a group of callers, each with one kept channel.
type crowd struct {
	d    *deployment
	m    *machine
	stop chan struct{}
	all  sync.WaitGroup

	mu   sync.Mutex
	sent []sentRequest
}

func newCrowd(d *deployment, m *machine) *crowd { return &crowd{d: d, m: m, stop: make(chan struct{})} }

// do sends one request and records it.
func (w *crowd) do(c *caller, target, body string) {
	id, kept := nextAttempt(), c.conn != nil
	w.d.rec.add("sent   %s to %s, %d bytes", id, w.m.name, len(body))
	a := c.send("POST", target, id, body, 4*time.Second)
	w.d.rec.add("answer %s from %s: %d %v", id, w.m.name, a.status, a.err)
	w.mu.Lock()
	w.sent = append(w.sent, sentRequest{attempt: id, kept: kept, answer: a})
	w.mu.Unlock()
}

// add starts n callers within a time. Each sends one order, and then one after each pause.
func (w *crowd) add(n int, within, pause time.Duration) {
	for i := range n {
		w.all.Add(1)
		go func() {
			defer w.all.Done()
			c := &caller{address: w.m.front}
			defer c.close()
			for wait := within * time.Duration(i) / time.Duration(n); w.sleep(wait); wait = pause {
				w.do(c, "/orders/new", "one die, glovers")
			}
		}()
	}
}

// sleep returns false if the callers stop.
func (w *crowd) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.stop:
		return false
	}
}

// lost returns how many requests from kept channels a replica has run whose channel was closed
// without an answer.
func (w *crowd) lost(replicas []*replica) int {
	ran := map[string]bool{}
	for _, r := range replicas {
		for _, o := range r.all() {
			ran[o.attempt] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.sent {
		if s.kept && ran[s.attempt] && s.answer.err != nil {
			n++
			w.d.rec.add("lost   %s: passed on from a kept channel, and the channel closed without an answer: %v", s.attempt, s.answer.err)
		}
	}
	return n
}

// burstDeployment is a zone with one machine, as dalkeith has, and six replicas of the order book.
func burstDeployment(rec *record, work time.Duration) (*deployment, []*replica) {
	d := newDeployment(rec, "dalkeith")
	// The orders may take as long as their callers wait, so that a long body has time to arrive.
	d.store.Put("op/config", strings.ReplaceAll(routing, `"timeout-ms":2000`, `"timeout-ms":4000`))
	var replicas []*replica
	for i, zone := range []string{"leith", "musselburgh", "dalkeith", "leith", "musselburgh", "dalkeith"} {
		r := newReplica(rec, d.store, fmt.Sprintf("i-%s-%d", zone, i), "order-book", zone, work)
		r.register("ready")
		replicas = append(replicas, r)
	}
	d.start()
	return d, replicas
}

// allowedLost is the number of requests that rule LOST allows.
const allowedLost = 3

// verdict reports whether LOST was broken.
func (w *crowd) verdict(replicas []*replica, ends int) int {
	lost := w.lost(replicas)
	w.d.rec.say("the process ended by itself %d times; %d requests from kept channels were passed on and their channels closed without an answer (allowed: %d)", ends, lost, allowedLost)
	if lost > allowedLost {
		w.d.rec.say("LOST is broken")
		return exitBroken
	}
	w.d.rec.say("LOST held")
	return exitHeld
}

// platform is what the platform does with the process of a machine.
type platform struct {
	ends int
	peak int
	done chan struct{}
}

// runPlatform limits the memory and the descriptors of the machine's process until the callers
// stop. A process that has ended is restarted after a short delay.
func (w *crowd) runPlatform(prepare func()) *platform {
	const (
		checkInterval = 5 * time.Millisecond
		restartDelay  = 500 * time.Millisecond
	)
	p := &platform{done: make(chan struct{})}
	prepare()
	go func() {
		defer close(p.done)
		for w.sleep(checkInterval) {
			if !w.m.running() {
				p.ends++
				w.d.rec.say("the process on %s has ended: %v", w.m.name, w.m.cmd.ProcessState)
				if !w.sleep(restartDelay) {
					return
				}
				w.m.start()
				prepare()
			}
			used := w.m.memoryMB("VmRSS")
			p.peak = max(p.peak, used)
			if used > memoryLimitMB {
				w.d.rec.say("the process uses %d MB, above the machine's %d MB: the platform kills it", used, memoryLimitMB)
				w.m.kill()
			}
		}
	}()
	return p
}

// finish stops the callers that repeat their requests, and the platform.
func (w *crowd) finish(p *platform) {
	close(w.stop)
	w.all.Wait()
	<-p.done
}

// manyChannels brings a burst of callers to a machine. Each keeps its channel within the idle
// timeout. Together they need more descriptors than the machine has.
func manyChannels(rec *record) int {
	const (
		usual     = 1500
		pause     = 6 * time.Second
		usualTime = 15 * time.Second
		burstTime = 20 * time.Second
		// work is the mean time of an order at its replica.
		work = 60 * time.Millisecond
	)
	needDescriptors(2 * maxDescriptors)
	d, replicas := burstDeployment(rec, work)
	defer d.stop()
	w := newCrowd(d, d.machines[0])
	p := w.runPlatform(func() { w.m.limitDescriptors(maxDescriptors) })
	rec.say("%d callers, each with one channel and an order each %s", usual, pause)
	w.add(usual, pause, pause)
	time.Sleep(usualTime)
	if trouble {
		more := burstSize(usual) - usual
		rec.say("DISRUPTION: a burst, %.1f times as many callers", burstFactor)
		w.add(more, 5*time.Second, pause)
	}
	time.Sleep(burstTime)
	w.finish(p)
	return w.verdict(replicas, p.ends)
}

// longBodies brings a burst of orders with bodies of the length that the desired state allows.
// The platform ends a process that exceeds the memory of its machine.
func longBodies(rec *record) int {
	const (
		// usual is the number of callers of the zone dalkeith in the site file.
		usual = 36
		// shortShare is the inverse of the part of the callers that send short orders.
		shortShare = 2
		// linkBytesPerSecond is four fifths of the machine's link of 1,000 Mbit/s for all callers
		// together, so that no packet waits for it.
		linkBytesPerSecond = 100_000_000
		// bodyBytes is max-body-bytes.
		bodyBytes = 4194304
		// work is the time of one order at its replica; the longest of the site takes 450 ms.
		work = 250 * time.Millisecond
	)
	d, replicas := burstDeployment(rec, work)
	defer d.stop()
	w := newCrowd(d, d.machines[0])
	p := w.runPlatform(func() {})
	n := usual
	if trouble {
		n = burstSize(usual)
	}
	body := strings.Repeat("a guild's archive ", bodyBytes/18)
	rec.say("%d callers send short orders one after the other", n/shortShare)
	w.add(n/shortShare, time.Second, 20*time.Millisecond)
	var callers []*caller
	for range n - n/shortShare {
		c := &caller{address: w.m.front}
		w.do(c, "/orders/new", "one die, glovers")
		callers = append(callers, c)
	}
	rec.say("%d callers with kept channels send an order of %d bytes each", len(callers), len(body))
	var long sync.WaitGroup
	for _, c := range callers {
		c.bytesPerSecond = linkBytesPerSecond / len(callers)
		long.Add(1)
		go func() {
			defer long.Done()
			w.do(c, "/orders/new", body)
			c.close()
		}()
	}
	long.Wait()
	time.Sleep(time.Second)
	w.finish(p)
	rec.say("at most %d MB were seen in use", p.peak)
	return w.verdict(replicas, p.ends)
}

// burstSize returns the number of callers in a burst.
func burstSize(usual int) int { return int(burstFactor * float64(usual)) }

// needDescriptors ends the case if this program may not open enough descriptors.
func needDescriptors(n uint64) {
	var limit unix.Rlimit
	must(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	if limit.Cur < n {
		cannotRun("this program may open %d descriptors, the callers need %d", limit.Cur, n)
	}
}
