package goosesoak

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// returnDelay is the time between the end of a client's connection and its next one.
const returnDelay = time.Millisecond

// untrustedTarget is an instance as its callers see it.
type untrustedTarget struct {
	// address is the IP:port for callers, and pid the process.
	address string
	pid     int
	host    string
	key     string
	// short, long and stream are paths with responses of these kinds.
	short, long, stream string
}

// target returns the running process of an instance.
func (i *instance) target() untrustedTarget {
	return untrustedTarget{
		address: fmt.Sprintf("%s:%d", i.address, callerPort), pid: i.current().cmd.Process.Pid,
		host: callerHost, key: "k1", short: "/short/x", long: "/long/x", stream: "/stream/x",
	}
}

// crowd is a number of untrusted clients of one kind at each of some instances.
type crowd struct {
	kind  untrustedKind
	usage []*usage
	// stop ends the clients.
	stop func()
}

// startCrowd returns when all clients have sent what they send, but for those that go on.
func startCrowd(t *testing.T, kind untrustedKind, targets ...untrustedTarget) *crowd {
	t.Helper()
	c := &crowd{kind: kind}
	stop := make(chan struct{})
	var clients, sent sync.WaitGroup
	for _, target := range targets {
		c.usage = append(c.usage, watchUsage(t, target))
		for n := range kind.clients {
			sent.Add(1)
			clients.Go(func() { runClient(kind, n, target, stop, sync.OnceFunc(sent.Done)) })
		}
	}
	c.stop = sync.OnceFunc(func() {
		close(stop)
		clients.Wait()
	})
	t.Cleanup(c.stop)
	sent.Wait()
	return c
}

// runClient runs one client until stop is closed. Function sent is called once it has sent what it
// sends, or goes on.
func runClient(kind untrustedKind, n int, target untrustedTarget, stop <-chan struct{}, sent func()) {
	defer sent()
	for {
		c, err := dialUntrusted(target, stop)
		if kind.goesOn {
			sent()
		}
		if err == nil {
			c.number = n
			kind.send(c)
			sent()
			c.waitForEnd(kind.returns)
			_ = c.conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(returnDelay):
		}
		if !kind.returns {
			return
		}
	}
}

// settle waits until the instances have read what the clients have sent, or do not read it any
// more.
func (c *crowd) settle() {
	for _, u := range c.usage {
		u.waitUntilSettled()
	}
}

// check ends the clients and compares the use of memory and descriptors with the limits.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	c.stop()
	for _, u := range c.usage {
		u.check(t, c.kind.limits)
	}
}
