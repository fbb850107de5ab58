package goosegossip

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// target is an instance that receives datagrams.
type target struct {
	address    net.Addr
	dataCentre goose.DataCentre
}

// allTargets returns the registered instances and those that sent a report recently:
// registrations can expire while the store is unavailable.
func (g *Gossip) allTargets(now time.Time) map[goose.InstanceID]target {
	all := map[goose.InstanceID]target{}
	for id, registered := range g.o.Instances() {
		if a, err := netip.ParseAddrPort(registered.Address); err == nil && id != g.o.Instance {
			all[id] = target{address: net.UDPAddrFromAddrPort(a), dataCentre: registered.DataCentre}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, p := range g.peers {
		if _, registered := all[key.id]; !registered && now.Sub(p.lastReportAt) < unregisteredTTL {
			all[key.id] = target{address: p.address, dataCentre: p.dataCentre}
		}
	}
	return all
}

// targets returns the addresses of all other instances.
func (g *Gossip) targets(now time.Time) []net.Addr {
	var addresses []net.Addr
	for _, t := range g.allTargets(now) {
		addresses = append(addresses, t.address)
	}
	return addresses
}

// targetsInterval is the time for which the targets are kept: in a large fleet there are
// several reports in it.
const targetsInterval = 200 * time.Millisecond

// targetSet is the targets at one time. It is immutable.
type targetSet struct {
	computedAt time.Time
	// near are the instances that get this instance's reports.
	near []net.Addr
	// far are the instances of the other data centres, in order of their ids, if they get only
	// sums. In a large fleet that is so: if all sent their reports to all others, the reports
	// of one would have to be so rare that they are useless.
	far map[goose.DataCentre][]net.Addr
	// rank is the position of this instance among those of its data centre, and size their
	// number.
	rank, size int
}

// split reports whether the other data centres get only sums.
func (t *targetSet) split() bool { return len(t.far) > 0 }

// sumTargets returns the instances that get the sum from this one in a round: of each data
// centre those of its own rank and, in case their usual sender is dead, those of another
// rank that changes each round.
func (t *targetSet) sumTargets(round uint64) []net.Addr {
	other := (t.rank + int(round%uint64(t.size))) % t.size
	var targets []net.Addr
	for _, far := range t.far {
		for i, address := range far {
			if i%t.size == t.rank || i%t.size == other {
				targets = append(targets, address)
			}
		}
	}
	return targets
}

// currentTargets returns the targets, which are computed again after targetsInterval.
func (g *Gossip) currentTargets(now time.Time) *targetSet {
	if kept := g.kept.Load(); kept != nil && now.Sub(kept.computedAt) < targetsInterval {
		return kept
	}
	set := g.computeTargets(now)
	g.kept.Store(set)
	return set
}

func (g *Gossip) computeTargets(now time.Time) *targetSet {
	all := g.allTargets(now)
	set := &targetSet{computedAt: now, far: map[goose.DataCentre][]net.Addr{}, size: 1}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		t := all[id]
		if len(all)+1 >= minSplitInstances && t.dataCentre != "" && t.dataCentre != g.o.DataCentre {
			set.far[t.dataCentre] = append(set.far[t.dataCentre], t.address)
			continue
		}
		set.near = append(set.near, t.address)
		set.size++
		if id < g.o.Instance {
			set.rank++
		}
	}
	return set
}

// Neighbours returns the addresses of the instances of the same data centre that sent a
// report recently.
func (g *Gossip) Neighbours(now time.Time) []net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []net.Addr
	for key, p := range g.peers {
		if !key.sum && p.dataCentre == g.o.DataCentre && now.Sub(p.lastReportAt) < unregisteredTTL {
			all = append(all, p.address)
		}
	}
	return all
}
