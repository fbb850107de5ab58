package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// Times of one round, from its begin, and the bounds of the settings.
const (
	drainRounds   = 5
	outageTime    = 3 * time.Second
	cutFrom       = 2700 * time.Millisecond
	cutTime       = 5500 * time.Millisecond
	leaveAt       = cutFrom + cutTime + 900*time.Millisecond
	servesAfter   = 2500 * time.Millisecond
	replacedAfter = 3500 * time.Millisecond
	roundTime     = 15 * time.Second
	stableTime    = 3 * time.Second
	drainBound    = 2 * time.Second
	// cutMachines is the number of machines that are cut off (core_cut: count = 1).
	cutMachines = 1
)

// ordinaryClient opens a channel for each request.
var ordinaryClient = http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// drainCase is the state of a run.
type drainCase struct {
	record *Record
	p      *Platform

	mu sync.Mutex
	// leftAt is when the store acknowledged that a replica is gone.
	leftAt map[string]time.Time
	// inTouchFrom is when each machine is in touch again.
	inTouchFrom map[string]time.Time
	late        int
	answered    atomic.Int64
	lost        atomic.Int64
}

// drain plays replicas that leave soon after a machine reaches the store again, from which it was
// cut off when an outage of the store ended.
func drain(record *Record, trouble bool) (bool, error) {
	p, err := NewPlatform(record)
	if err != nil {
		return false, err
	}
	defer p.Close()
	p.PutConfig(1)
	p.UseProxies = true
	machines, replicas, stopFleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer stopFleet()
	c := &drainCase{record: record, p: p, leftAt: map[string]time.Time{}, inTouchFrom: map[string]time.Time{}}
	var book []*Replica
	for _, r := range replicas {
		if r.Service == "order-book" {
			c.serve(r)
			book = append(book, r)
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, m := range machines {
		callers.Go(func() { c.send(m, stop) })
	}
	time.Sleep(2 * time.Second)
	for round := range drainRounds {
		next, err := c.round(round, machines, book[0], trouble)
		if err != nil {
			return false, err
		}
		defer next.Close()
		book = append(book[1:], next)
	}
	close(stop)
	callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	record.Log("orders: %d answered, %d lost; %d reached a replica later than drain-ms after its leaving, from machines in touch", c.answered.Load(), c.lost.Load(), c.late)
	return c.late > 0, nil
}

// round plays one round in which a replica leaves. It returns the replica that comes for it.
func (c *drainCase) round(n int, machines []*Machine, leaving *Replica, trouble bool) (*Replica, error) {
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	if trouble {
		c.record.Log("round %d: the store is busy for %s", n, outageTime)
		c.p.Store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultUnavailable })
		c.touch(machines, begin.Add(outageTime+stableTime))
		at(cutFrom)
		c.record.Log("%s is cut off from the store for %s", machines[0].Name, cutTime)
		for _, m := range machines[:cutMachines] {
			m.Proxy.SetCut(true)
		}
		c.touch(machines[:cutMachines], begin.Add(cutFrom+cutTime+stableTime))
		at(outageTime)
		c.p.Store.SetFault(nil)
		c.record.Log("the store is back")
		at(cutFrom + cutTime)
		for _, m := range machines[:cutMachines] {
			m.Proxy.SetCut(false)
		}
		c.record.Log("%s reaches the store", machines[0].Name)
	}
	at(leaveAt)
	c.mu.Lock()
	c.p.Store.Delete("servers/" + leaving.ID)
	c.leftAt[leaving.ID] = time.Now()
	c.mu.Unlock()
	c.record.Log("%s leaves: its entry is removed", leaving.ID)
	at(leaveAt + servesAfter)
	leaving.Close()
	c.record.Log("%s exits", leaving.ID)
	at(leaveAt + replacedAfter)
	next, err := c.p.NewReplica(fmt.Sprintf("order-book-next-%d", n), "order-book", leaving.Zone, leaving.Slots)
	if err != nil {
		return nil, err
	}
	c.serve(next)
	at(roundTime)
	return next, nil
}

func (c *drainCase) touch(machines []*Machine, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range machines {
		c.inTouchFrom[m.Name] = from
	}
}

// serve checks each order that reaches a replica.
func (c *drainCase) serve(r *Replica) {
	r.Trouble = func(_ http.ResponseWriter, q *http.Request) bool {
		id := q.Header.Get("X-Attempt-Id")
		machine := q.Header.Get("X-Sent-To")
		c.mu.Lock()
		defer c.mu.Unlock()
		left, ok := c.leftAt[r.ID]
		if age := time.Since(left); ok && age > drainBound {
			inTouch := time.Now().After(c.inTouchFrom[machine])
			c.record.Log("%s reaches %s from %s %d ms after its leaving was acknowledged; in touch: %t", id, r.ID, machine, age.Milliseconds(), inTouch)
			if inTouch {
				c.late++
			}
		}
		return false
	}
}

// send sends 20 orders a second to a machine.
func (c *drainCase) send(m *Machine, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		wg.Go(func() { c.order(m, fmt.Sprintf("%s-%d", m.Name, n)) })
	}
}

func (c *drainCase) order(m *Machine, id string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+m.Front+"/order/"+id, strings.NewReader("foil"))
	if err != nil {
		panic(err)
	}
	q.Host = routeHost
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Sent-To", m.Name)
	q.Header.Set("X-Deadline-Ms", "4000")
	resp, err := ordinaryClient.Do(q)
	if err != nil {
		c.lost.Add(1)
		c.record.Log("%s gets no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.lost.Add(1)
		c.record.Log("%s gets status %d", id, resp.StatusCode)
		return
	}
	c.answered.Add(1)
}
