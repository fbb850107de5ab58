package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// The known loads do not contain the requests that peers have sent since their last reports.
// If all instances chose the replica that appears cheapest, these requests would all go to
// the same replica. Each instance therefore assumes that the unreported work is distributed
// such that it raises the cheapest replicas to the same cost, and picks one of them at
// random, weighted by the share of the work that each would get.

// minUnreported is the lower bound of the assumed unreported work, since a request of a peer
// can be in flight at any time.
const minUnreported = 25 * time.Millisecond

// unreportedWork returns the expected prefill time of the short requests to a service that
// peers have sent since their last reports.
func (b *Placer) unreportedWork(service goose.ServiceName, now time.Time) time.Duration {
	work := minUnreported
	for _, p := range b.peers {
		if age := now.Sub(p.receivedAt); age > 0 {
			work += time.Duration(p.report.OfferedLoad[service].Short * float64(age))
		}
	}
	return work
}

// equalisedCost returns how many of the candidates, ordered by cost, get a share of the
// work, and the cost to which the work raises them.
func equalisedCost(all []candidate, work time.Duration) (int, time.Duration) {
	sum := work
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
// candidate is weighted by the share of the work that it would get.
func (b *Placer) pickWeighted(all []candidate, work time.Duration) int {
	n, raised := equalisedCost(all, work)
	position := time.Duration(b.opts.Rand(int(work)))
	for i := range n {
		if position -= raised - all[i].cost; position < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
