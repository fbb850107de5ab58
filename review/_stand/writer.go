package main

import (
	"encoding/json"
	"time"
)

// otherWriter lets another writer overwrite the entry of a replica of the ledger with one that
// names the order book and has no version, cold-left-ms and seq. The replica's own next status
// report restores it. It breaks ROUTE if an order runs at the ledger, to which no desired state
// sends orders.
func otherWriter(rec *record) int {
	const (
		// writes is how often the other writer writes.
		writes = 3
		pause  = 100 * time.Millisecond
	)
	d := newDeployment(rec, "leith", "musselburgh", "dalkeith")
	defer d.stop()
	d.store.Put("op/config", routingWithLedger)
	for _, zone := range []string{"leith", "musselburgh", "dalkeith"} {
		newReplica(rec, d.store, "i-"+zone, "order-book", zone, 60*time.Millisecond).register("ready")
	}
	ledger := newReplica(rec, d.store, "i-ledger", "ledger", "leith", 60*time.Millisecond)
	ledger.register("ready")
	stop := make(chan struct{})
	defer close(stop)
	go ledger.report(stop)
	d.start()
	w := newCrowds(d, 3, pause)
	time.Sleep(4 * time.Second)
	for range writes {
		if trouble {
			entry, err := json.Marshal(map[string]any{
				"service": "order-book", "addr": ledger.address, "zone": "leith", "slots": 6, "state": "ready", "born": ledger.born,
			})
			must(err)
			d.store.Put("servers/"+ledger.id, string(entry))
			rec.say("DISRUPTION: another writer writes servers/%s: %s", ledger.id, entry)
		}
		time.Sleep(5 * time.Second)
	}
	w.stopAll()
	wrong := 0
	for _, r := range ledger.all() {
		wrong++
		rec.add("wrong  %s ran at %s: %s", r.attempt, r.replica, r.path)
	}
	rec.say("%d orders ran at %s, a replica of the ledger", wrong, ledger.id)
	if wrong > 0 {
		rec.say("ROUTE is broken")
		return exitBroken
	}
	rec.say("ROUTE held")
	return exitHeld
}
