package gooseplacement

import (
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// PeerTimeout is how long the load of a peer counts after its last report. When a peer
// dies, its connections break and the replicas drop its requests.
const PeerTimeout = 2 * time.Second

// Registered is the number of instances that the platform's store lists.
type Registered struct {
	// Own is the number of instances in the data centre of this instance, and All in all.
	Own, All int
}

// peerReport is the latest report of a peer, or the sum of those of another data centre, and
// the time of its receipt.
type peerReport struct {
	report     Report
	receivedAt time.Time
}

// instances returns the number of instances of the report.
func (p peerReport) instances() int { return max(p.report.Instances, 1) }

// peerTable holds the latest reports and the sums of their loads, so that the load of a
// replica is known without a look at each of hundreds of reports.
type peerTable struct {
	// peers are the reports of single instances. While dataCentres is empty, these are all
	// other instances, otherwise those of the same data centre.
	peers map[goose.InstanceID]peerReport
	// dataCentres are the sums of the reports of the other data centres.
	dataCentres map[goose.DataCentre]peerReport
	// loads are the sums over all reports.
	loads map[goose.ReplicaID]Load
	// checkedAt is when the table was last searched for silent peers.
	checkedAt time.Time
}

func newPeerTable() peerTable {
	return peerTable{
		peers: map[goose.InstanceID]peerReport{}, dataCentres: map[goose.DataCentre]peerReport{}, loads: map[goose.ReplicaID]Load{},
	}
}

// add adds a report to the sums, and subtract subtracts it.
func (t *peerTable) add(r Report) {
	for id, l := range r.Replicas {
		t.loads[id] = t.loads[id].plus(l)
	}
}

func (t *peerTable) subtract(r Report) {
	for id, l := range r.Replicas {
		rest := t.loads[id].minus(l)
		if rest == (Load{}) {
			delete(t.loads, id)
			continue
		}
		t.loads[id] = rest
	}
}

// setPeer stores the report of an instance in place of its previous one.
func (t *peerTable) setPeer(from goose.InstanceID, r Report, now time.Time) {
	t.subtract(t.peers[from].report)
	t.peers[from] = peerReport{report: r, receivedAt: now}
	t.add(r)
}

// setDataCentre stores the sum of another data centre in place of its previous one.
func (t *peerTable) setDataCentre(dc goose.DataCentre, r Report, now time.Time) {
	t.subtract(t.dataCentres[dc].report)
	t.dataCentres[dc] = peerReport{report: r, receivedAt: now}
	t.add(r)
}

// staleCheckInterval is the interval at which the table is searched for silent peers.
const staleCheckInterval = 20 * time.Millisecond

// removeStale removes reports that are older than PeerTimeout.
func (t *peerTable) removeStale(now time.Time) {
	if d := now.Sub(t.checkedAt); d >= 0 && d < staleCheckInterval {
		return
	}
	t.checkedAt = now
	for id, p := range t.peers {
		if now.Sub(p.receivedAt) > PeerTimeout {
			t.subtract(p.report)
			delete(t.peers, id)
		}
	}
	for dc, p := range t.dataCentres {
		if now.Sub(p.receivedAt) > PeerTimeout {
			t.subtract(p.report)
			delete(t.dataCentres, dc)
		}
	}
}

// offered returns the offered load that single instances report.
func (t *peerTable) offered(s goose.ServiceName) OfferedLoad {
	var sum OfferedLoad
	for _, p := range t.peers {
		sum = sum.plus(p.report.OfferedLoad[s])
	}
	return sum
}

// unreported returns the expected prefill time of the short requests that peers have sent
// since their last reports. Those of other data centres count if far is set: they rarely use
// the replicas of this one.
func (t *peerTable) unreported(s goose.ServiceName, far bool, now time.Time) time.Duration {
	var sum time.Duration
	for _, p := range t.peers {
		if t.split() {
			sum += min(p.unreported(s, now), p.offered(s, maxUnreportedAge))
			continue
		}
		sum += p.unreported(s, now)
	}
	if !far {
		return sum
	}
	for _, p := range t.dataCentres {
		sum += p.unreported(s, now)
	}
	return sum
}

// maxUnreportedAge is the time after which an instance of the data centre has reported a request
// in a large fleet, in which each new request is reported immediately.
const maxUnreportedAge = 40 * time.Millisecond

// unreported returns the prefill time that the peer has probably placed since its last report.
func (p peerReport) unreported(s goose.ServiceName, now time.Time) time.Duration {
	return p.offered(s, max(now.Sub(p.receivedAt), 0))
}

// offered returns the prefill time of the short requests that the peer places in the given time.
func (p peerReport) offered(s goose.ServiceName, in time.Duration) time.Duration {
	return time.Duration(p.report.OfferedLoad[s].Short * float64(in))
}

// instances returns the number of instances with this one: those of the data centre, and all.
// While the other data centres do not send sums, the first number is that of all as well.
func (t *peerTable) instances() (own, all int) {
	own = 1
	for _, p := range t.peers {
		own += p.instances()
	}
	all = own
	for _, p := range t.dataCentres {
		all += p.instances()
	}
	return own, all
}

// split reports whether the instances of other data centres report only sums.
func (t *peerTable) split() bool { return len(t.dataCentres) > 0 }

// SetPeerReport stores the report of a peer in place of its previous one.
func (pl *Placer) SetPeerReport(from goose.InstanceID, r Report, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.table.setPeer(from, r, now)
}

// SetDataCentreReport stores the sum of the reports of another data centre in place of the
// previous one.
func (pl *Placer) SetDataCentreReport(dc goose.DataCentre, r Report, now time.Time) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.table.setDataCentre(dc, r, now)
}

// DataCentreReport returns the sum of the reports of this instance and its peers, which
// other data centres get in place of the single reports.
func (pl *Placer) DataCentreReport(now time.Time) Report {
	own := pl.Report(now)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.table.removeStale(now)
	own.Instances = 1
	own.Leaving = pl.reportedLeaving(LeavingFromReplica, LeavingFromPeer)
	own.Marks = pl.reportedMarks(now, LeavingFromReplica, LeavingFromPeer)
	for _, p := range pl.table.peers {
		own.Instances += p.instances()
		for id, l := range p.report.Replicas {
			own.Replicas[id] = own.Replicas[id].plus(l)
		}
		for s, o := range p.report.OfferedLoad {
			own.OfferedLoad[s] = own.OfferedLoad[s].plus(o)
		}
	}
	return own
}

// Instances returns the number of instances that share the replicas, at least 1. Instances
// that are registered count also if they are not heard, so that an instance without contact
// to its peers does not take their shares.
func (pl *Placer) Instances(now time.Time) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	_, all := pl.instances(now)
	return all
}

// instances returns the number of instances of the data centre and of all. The lock must be
// held.
func (pl *Placer) instances(now time.Time) (own, all int) {
	pl.table.removeStale(now)
	own, all = pl.table.instances()
	if pl.opts.Registered == nil {
		return own, all
	}
	registered := pl.opts.Registered()
	if pl.table.split() {
		return max(own, registered.Own), max(all, registered.All)
	}
	return max(own, registered.All), max(all, registered.All)
}
