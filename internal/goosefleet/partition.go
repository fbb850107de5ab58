package goosefleet

import (
	"context"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// startUDPProxies starts a UDP proxy in front of each instance's peer address.
func (f *Fleet) startUDPProxies(ctx context.Context) error {
	n := len(f.Instances)
	first, err := f.ports.reserve(2 * n)
	if err != nil {
		return err
	}
	targets, sources := make([]string, n), make([]string, n)
	for i, inst := range f.Instances {
		targets[i], sources[i] = inst.listenAddress, inst.Name+"="+inst.listenAddress
		inst.UDPProxy = &Simulator{Name: "relay-" + inst.Name, DataCentre: inst.DataCentre, Address: loopback(first + i), Control: loopback(first + n + i)}
		inst.Peer = inst.UDPProxy.Address
	}
	return f.startSimulators(ctx, "relay", loopback(first+2*n-1), "relay", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+n),
		"--count", strconv.Itoa(n), "--targets", strings.Join(targets, ","), "--sources", strings.Join(sources, ","))
}

// link is one direction of the peer traffic between two instances.
type link struct{ from, to string }

// CutPeersOneWay drops all peer packets from one instance to another; packets in the
// other direction still arrive. It requires Spec.Partitions.
func (f *Fleet) CutPeersOneWay(ctx context.Context, from, to string) error {
	return f.addCuts(ctx, link{from, to})
}

// CutPeers drops all peer packets between two instances.
func (f *Fleet) CutPeers(ctx context.Context, a, b string) error {
	return f.addCuts(ctx, link{a, b}, link{b, a})
}

// CutPeersOfDataCentres drops all peer packets between the instances of two data centres.
func (f *Fleet) CutPeersOfDataCentres(ctx context.Context, a, b string) error {
	var links []link
	for _, i := range f.InstancesOf(a) {
		for _, j := range f.InstancesOf(b) {
			links = append(links, link{i.Name, j.Name}, link{j.Name, i.Name})
		}
	}
	return f.addCuts(ctx, links...)
}

// RestorePeers ends every partition and every packet loss between instances.
func (f *Fleet) RestorePeers(ctx context.Context) error {
	f.cutLinksMu.Lock()
	defer f.cutLinksMu.Unlock()
	clear(f.cutLinks)
	for _, inst := range f.Instances {
		if inst.UDPProxy == nil {
			return errNoUDPProxies
		}
		if err := inst.UDPProxy.ClearFaults(ctx); err != nil {
			return err
		}
	}
	return nil
}

// LosePeerPackets drops a random share of all peer packets.
func (f *Fleet) LosePeerPackets(ctx context.Context, share float64) error {
	for _, inst := range f.Instances {
		if inst.UDPProxy == nil {
			return errNoUDPProxies
		}
		if err := inst.UDPProxy.SetFault(ctx, map[string]any{"loss": share}); err != nil {
			return err
		}
	}
	return nil
}

var errNoUDPProxies = errors.New("fleet: instances have no UDP proxies; Spec.Partitions is not set")

// addCuts adds links to those that are cut. The packets of a connection pass in
// both directions through the UDP proxy of the instance that was dialled, so that the
// packets of one link may pass through the proxy of either instance.
func (f *Fleet) addCuts(ctx context.Context, links ...link) error {
	f.cutLinksMu.Lock()
	defer f.cutLinksMu.Unlock()
	for _, l := range links {
		f.cutLinks[l] = true
	}
	for _, inst := range f.Instances {
		if inst.UDPProxy == nil {
			return errNoUDPProxies
		}
		var faults goosestand.UDPProxyFaults
		for l := range f.cutLinks {
			if l.to == inst.Name {
				faults.CutTo = append(faults.CutTo, l.from)
			}
			if l.from == inst.Name {
				faults.CutFrom = append(faults.CutFrom, l.to)
			}
		}
		sort.Strings(faults.CutTo)
		sort.Strings(faults.CutFrom)
		// The loss switch is omitted, so that it keeps its value.
		if err := inst.UDPProxy.SetFault(ctx, map[string]any{"cut-to": faults.CutTo, "cut-from": faults.CutFrom}); err != nil {
			return err
		}
	}
	return nil
}

// CutInstanceFromPlatform makes the store and the list unreachable for one instance, or
// reachable again if cut is false. It requires Spec.Partitions.
func (f *Fleet) CutInstanceFromPlatform(ctx context.Context, instance string, cut bool) error {
	if _, ok := f.Stores[instance]; !ok {
		return errors.Errorf("fleet: instance %q has no store endpoint of its own; Spec.Partitions is not set", instance)
	}
	return f.setEndpointDown(ctx, instance, cut)
}

func (f *Fleet) setEndpointDown(ctx context.Context, endpoint string, down bool) error {
	if err := f.Stores[endpoint].SetFault(ctx, map[string]bool{"down": down}); err != nil {
		return err
	}
	return f.Lists[endpoint].SetFault(ctx, map[string]bool{"down": down})
}
