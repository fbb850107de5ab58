package main

import "time"

// silentChannels makes the open channels to the store silent for good, while new ones work.
// Once the machines count as in touch again, a replica reports that it drains. It breaks DRAIN
// if a request reaches the replica later than drain-ms after the store's ack.
func silentChannels(rec *record) int {
	const (
		// serveAfter is how long the replica goes on after its report, far longer than it has to.
		serveAfter = 14 * time.Second
		// pause is the pause between two requests of a caller; there are two for each machine.
		pause = 300 * time.Millisecond
		// margin is added to the bound for the time on the loopback network.
		margin = 100 * time.Millisecond
		// quiet is how long the store is left alone before.
		quiet = 14 * time.Second
		// youngest and oldest bound the age of the calls to the store that wait for changes.
		youngest, oldest = 300 * time.Millisecond, 3 * time.Second
	)
	d := newDeployment(rec, "leith", "leith", "leith", "musselburgh", "musselburgh", "dalkeith")
	defer d.stop()
	d.store.Put("op/config", routing)
	var replicas []*replica
	for _, zone := range []string{"leith", "musselburgh", "dalkeith"} {
		r := newReplica(rec, d.store, "i-"+zone, "order-book", zone, 60*time.Millisecond)
		r.register("ready")
		replicas = append(replicas, r)
	}
	d.start()
	w := newCrowds(d, 2, pause)
	time.Sleep(quiet)
	// Every machine waits for changes at the store, in a call that began lately.
	waiting := func() bool {
		for _, m := range d.machines {
			ages := m.store.open()
			if len(ages) != 1 || ages[0] < youngest || ages[0] > oldest {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(30 * time.Second); !waiting(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("the machines do not wait for changes at the same time")
		}
	}
	if trouble {
		n := 0
		for _, m := range d.machines {
			n += m.store.silence()
		}
		rec.say("DISRUPTION: %d open channels to the store are silent for good; new ones work", n)
	}
	time.Sleep(stableTime + 200*time.Millisecond)
	leaving := replicas[1]
	acked := leaving.register("draining")
	rec.say("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(serveAfter)
	w.stopAll()
	return drainVerdict(rec, leaving, acked, margin)
}
