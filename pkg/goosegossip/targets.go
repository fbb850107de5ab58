package goosegossip

import (
	"net"
	"net/netip"
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

// targetSet is the targets at one time.
type targetSet struct {
	computedAt time.Time
	near, far  []net.Addr
}

// splitTargets returns the addresses of the instances that get this instance's reports, and
// of those that get only the sums of the data centre. In a large fleet these are the
// instances of the other data centres: if all sent their reports to all others, the reports
// of one would have to be so rare that they are useless. The slices must not be modified.
func (g *Gossip) splitTargets(now time.Time) (near, far []net.Addr) {
	kept := g.kept.Load()
	if kept != nil && now.Sub(kept.computedAt) < targetsInterval {
		return kept.near, kept.far
	}
	all := g.allTargets(now)
	for _, t := range all {
		if len(all)+1 < minSplitInstances || t.dataCentre == "" || t.dataCentre == g.o.DataCentre {
			near = append(near, t.address)
			continue
		}
		far = append(far, t.address)
	}
	g.kept.Store(&targetSet{computedAt: now, near: near, far: far})
	return near, far
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
