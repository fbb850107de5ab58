package goosefleet

import (
	"context"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// startRelays starts a relay before each instance's peer address.
func (f *Fleet) startRelays(ctx context.Context) error {
	n := len(f.Instances)
	first, err := f.ports.take(2 * n)
	if err != nil {
		return err
	}
	targets, sources := make([]string, n), make([]string, n)
	for i, in := range f.Instances {
		targets[i], sources[i] = in.listen, in.Name+"="+in.listen
		in.Relay = &Simulator{Name: "relay-" + in.Name, DataCentre: in.DataCentre, Address: loopback(first + i), Control: loopback(first + n + i)}
		in.Peer = in.Relay.Address
	}
	return f.run(ctx, "relay", loopback(first+2*n-1), "relay", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+n),
		"--count", strconv.Itoa(n), "--targets", strings.Join(targets, ","), "--sources", strings.Join(sources, ","))
}

// link is the way of peer packets from one instance to another.
type link struct{ from, to string }

// CutOneWay drops all peer packets from one instance to another; those in the
// other direction still arrive. It needs Spec.Partitions.
func (f *Fleet) CutOneWay(ctx context.Context, from, to string) error {
	return f.cut(ctx, link{from, to})
}

// CutInstances drops all peer packets between two instances.
func (f *Fleet) CutInstances(ctx context.Context, a, b string) error {
	return f.cut(ctx, link{a, b}, link{b, a})
}

// CutDataCentres drops all peer packets between the instances of two data centres.
func (f *Fleet) CutDataCentres(ctx context.Context, a, b string) error {
	var links []link
	for _, i := range f.InstancesOf(a) {
		for _, j := range f.InstancesOf(b) {
			links = append(links, link{i.Name, j.Name}, link{j.Name, i.Name})
		}
	}
	return f.cut(ctx, links...)
}

// HealPeers ends every cut and every loss between instances.
func (f *Fleet) HealPeers(ctx context.Context) error {
	f.cutMu.Lock()
	defer f.cutMu.Unlock()
	clear(f.cuts)
	for _, i := range f.Instances {
		if i.Relay == nil {
			return errNoRelays
		}
		if err := i.Relay.ClearFaults(ctx); err != nil {
			return err
		}
	}
	return nil
}

// LosePeerPackets drops a share of all peer packets.
func (f *Fleet) LosePeerPackets(ctx context.Context, share float64) error {
	for _, i := range f.Instances {
		if i.Relay == nil {
			return errNoRelays
		}
		if err := i.Relay.SetFault(ctx, map[string]any{"loss": share}); err != nil {
			return err
		}
	}
	return nil
}

var errNoRelays = errors.New("fleet: instances have no relays; set Partitions")

// cut adds links to those that are cut. A call passes the relay of the instance
// that was dialled in both directions, so that one link concerns two relays.
func (f *Fleet) cut(ctx context.Context, links ...link) error {
	f.cutMu.Lock()
	defer f.cutMu.Unlock()
	for _, l := range links {
		f.cuts[l] = true
	}
	for _, i := range f.Instances {
		if i.Relay == nil {
			return errNoRelays
		}
		var faults goosestand.RelayFaults
		for l := range f.cuts {
			if l.to == i.Name {
				faults.CutTo = append(faults.CutTo, l.from)
			}
			if l.from == i.Name {
				faults.CutFrom = append(faults.CutFrom, l.to)
			}
		}
		sort.Strings(faults.CutTo)
		sort.Strings(faults.CutFrom)
		// Loss is not named, so that it stays.
		if err := i.Relay.SetFault(ctx, map[string]any{"cut-to": faults.CutTo, "cut-from": faults.CutFrom}); err != nil {
			return err
		}
	}
	return nil
}

// CutPlatform cuts one instance off from the store and the list, or joins it
// again. It needs Spec.Partitions.
func (f *Fleet) CutPlatform(ctx context.Context, instance string, cut bool) error {
	if _, ok := f.Stores[instance]; !ok {
		return errors.Errorf("fleet: instance %q has no endpoint of its own; set Partitions", instance)
	}
	return f.cutEndpoint(ctx, instance, cut)
}

func (f *Fleet) cutEndpoint(ctx context.Context, endpoint string, cut bool) error {
	if err := f.Stores[endpoint].SetFault(ctx, map[string]bool{"down": cut}); err != nil {
		return err
	}
	return f.Lists[endpoint].SetFault(ctx, map[string]bool{"down": cut})
}
