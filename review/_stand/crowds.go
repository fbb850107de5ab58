package main

import (
	"sync"
	"time"
)

// drainVerdict reports whether requests reached the replica later than drain-ms after the ack.
func drainVerdict(rec *record, leaving *replica, acked time.Time, margin time.Duration) int {
	late, last := 0, time.Duration(0)
	for _, r := range leaving.all() {
		after := r.at.Sub(acked)
		if after > drainTime+margin {
			late++
			rec.add("late   %s reached %s %.3f s after the ack", r.attempt, r.replica, after.Seconds())
		}
		last = max(last, after)
	}
	rec.say("%d requests reached %s later than %s after the ack; the last request came %.3f s after the ack", late, leaving.id, drainTime, last.Seconds())
	if late > 0 {
		rec.say("DRAIN is broken")
		return exitBroken
	}
	rec.say("DRAIN held")
	return exitHeld
}

// crowds are callers at all machines.
type crowds struct {
	stop chan struct{}
	all  sync.WaitGroup
}

// newCrowds starts n callers at each machine. Each sends an order after each pause.
func newCrowds(d *deployment, n int, pause time.Duration) *crowds {
	w := &crowds{stop: make(chan struct{})}
	for _, m := range d.machines {
		for range n {
			w.all.Add(1)
			go func() {
				defer w.all.Done()
				c := caller{address: m.front}
				defer c.close()
				for {
					select {
					case <-w.stop:
						return
					case <-time.After(pause):
					}
					id := nextAttempt()
					d.rec.add("sent   %s to %s", id, m.name)
					a := c.send("POST", "/orders/new", id, "one die, glovers", 4*time.Second)
					d.rec.add("answer %s from %s: %d %v", id, m.name, a.status, a.err)
				}
			}()
		}
	}
	return w
}

func (w *crowds) stopAll() {
	close(w.stop)
	w.all.Wait()
}
