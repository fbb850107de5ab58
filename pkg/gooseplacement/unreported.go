package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// The known loads do not contain the requests that peers have sent since their last reports.
// If all instances chose the replica that appears cheapest, these requests would all go to
// the same replica. Each instance therefore assumes that the unreported load is distributed
// such that it raises the cheapest replicas to the same cost, and picks one of them at
// random, weighted by the share of that load that each would get.

// minUnreported is the lower bound of the assumed unreported load, since a request of a peer
// can be in flight at any time.
const minUnreported = 25 * time.Millisecond

// unreportedLoad returns the expected prefill time of the short requests to a service that
// peers have sent since their last reports. far is set if some of the candidates belong to
// other data centres.
func (pl *Placer) unreportedLoad(service goose.ServiceName, far bool, now time.Time) time.Duration {
	return minUnreported + pl.table.unreported(service, far, now)
}

// equalisedCost returns how many of the candidates, ordered by cost, get a share of the
// unreported load, and the cost to which that load raises them.
func equalisedCost(all []candidate, unreported time.Duration) (int, time.Duration) {
	sum := unreported
	for n := range all {
		sum += all[n].cost
		raised := sum / time.Duration(n+1)
		if n+1 == len(all) || raised <= all[n+1].cost {
			return n + 1, raised
		}
	}
	return 0, 0
}

// pickWeighted returns the index of a random one of the candidates, ordered by cost. Each
// candidate is weighted by the share of the unreported load that it would get.
func (pl *Placer) pickWeighted(all []candidate, unreported time.Duration) int {
	n, raised := equalisedCost(all, unreported)
	position := time.Duration(pl.opts.Rand(int(unreported)))
	for i := range n {
		if position -= raised - all[i].cost; position < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
