package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// What peers have sent since their last reports is not in the loads. If all instances
// took the replica that looks cheapest, the requests of that time would meet there. Each
// one therefore assumes that the unseen work is spread so that it brings the cheapest
// replicas to the same cost, and draws among them by the part that each would get.

// leastUnseen is assumed at least: a request of another instance may always be on its way.
const leastUnseen = 25 * time.Millisecond

// unseen is the expected work of short requests to a service that peers have sent since
// their last reports.
func (b *Board) unseen(service goose.ServiceName, now time.Time) time.Duration {
	work := leastUnseen
	for _, p := range b.peers {
		if age := now.Sub(p.at); age > 0 {
			work += time.Duration(p.report.Work[service].Short * float64(age))
		}
	}
	return work
}

// level returns how many of the candidates, ordered by cost, get a part of the work, and
// the cost to which it raises them.
func level(all []candidate, work time.Duration) (int, time.Duration) {
	sum := work
	for n := range all {
		sum += all[n].cost
		l := sum / time.Duration(n+1)
		if n+1 == len(all) || l <= all[n+1].cost {
			return n + 1, l
		}
	}
	return 0, 0
}

// draw returns the index of one of the candidates, ordered by cost, by the part of the
// work that each would get.
func (b *Board) draw(all []candidate, work time.Duration) int {
	n, l := level(all, work)
	at := time.Duration(b.o.Rand(int(work)))
	for i := range n {
		if at -= l - all[i].cost; at < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
