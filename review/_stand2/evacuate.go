package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// Times of one round, from its begin, and the bound of the settings.
const (
	evacRounds    = 4
	evacCutTime   = 5500 * time.Millisecond
	drillFrom     = 100 * time.Millisecond
	drillUntil    = 400 * time.Millisecond
	evacuateAt    = 3500 * time.Millisecond
	takenBackAt   = 11 * time.Second
	evacRoundTime = 15 * time.Second
	evacBound     = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back.
	copyAge       = 2 * time.Second
	evacuatedZone = "dalkeith"
)

// evacCase is the state of a run.
type evacCase struct {
	*drainCase
	// evacuatedAt is when the store acknowledged the evacuation that is in force; zero if none is.
	evacuatedAt time.Time
}

// evacuate plays a drill of the store while some machines are cut off from it, and an evacuation
// before they reach it again.
func evacuate(record *Record, trouble bool) (bool, error) {
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
	c := &evacCase{drainCase: &drainCase{record: record, p: p, leftAt: map[string]time.Time{}, inTouchFrom: map[string]time.Time{}}}
	for _, r := range replicas {
		if r.Service == "order-book" && r.Zone == evacuatedZone {
			c.serveZone(r)
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, m := range machines {
		callers.Go(func() { c.send(m, stop) })
	}
	c.setEvacuated(true)
	time.Sleep(3 * time.Second)
	c.setEvacuated(false)
	time.Sleep(3 * time.Second)
	for round := range evacRounds {
		c.round(round, machines, trouble)
	}
	close(stop)
	callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	record.Log("orders: %d answered, %d lost; %d reached the evacuated zone later than evac-ms after its evacuation, from machines in touch", c.answered.Load(), c.lost.Load(), c.late)
	return c.late > 0, nil
}

func (c *evacCase) setEvacuated(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.p.Store.Put("op/evacuate/"+evacuatedZone, "{}")
		c.evacuatedAt = time.Now()
		c.record.Log("%s is evacuated", evacuatedZone)
		return
	}
	c.p.Store.Delete("op/evacuate/" + evacuatedZone)
	c.evacuatedAt = time.Time{}
	c.record.Log("%s is taken back", evacuatedZone)
}

func (c *evacCase) round(n int, machines []*Machine, trouble bool) {
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	if trouble {
		older := c.p.Store.Copy()
		time.Sleep(copyAge)
		begin = time.Now()
		c.record.Log("round %d: the machines of leith are cut off from the store for %s", n, evacCutTime)
		for _, m := range machines[:3] {
			m.Proxy.SetCut(true)
		}
		c.touch(machines[3:], begin.Add(drillUntil+stableTime))
		c.touch(machines[:3], begin.Add(evacCutTime+stableTime))
		at(drillFrom)
		c.p.Store.SetFault(func(string) gooseplatformtest.Fault { return gooseplatformtest.FaultUnavailable })
		at(drillUntil)
		c.p.Store.Restore(older)
		c.p.Store.SetFault(nil)
		c.record.Log("the store is back from a copy that is %s old", copyAge)
	}
	at(evacuateAt)
	c.setEvacuated(true)
	if trouble {
		at(evacCutTime)
		for _, m := range machines[:3] {
			m.Proxy.SetCut(false)
		}
		c.record.Log("the machines of leith reach the store")
	}
	at(takenBackAt)
	c.setEvacuated(false)
	at(evacRoundTime)
}

// serveZone checks each order that reaches a replica of the zone.
func (c *evacCase) serveZone(r *Replica) {
	r.Trouble = func(_ http.ResponseWriter, q *http.Request) bool {
		machine := q.Header.Get("X-Sent-To")
		c.mu.Lock()
		defer c.mu.Unlock()
		if age := time.Since(c.evacuatedAt); !c.evacuatedAt.IsZero() && age > evacBound {
			inTouch := time.Now().After(c.inTouchFrom[machine])
			c.record.Log("%s reaches %s from %s %d ms after the evacuation was acknowledged; in touch: %t", q.Header.Get("X-Attempt-Id"), r.ID, machine, age.Milliseconds(), inTouch)
			if inTouch {
				c.late++
			}
		}
		return false
	}
}
