package goosegossip

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedirectory"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

const (
	// reportInterval is the time between load reports. Requests of other instances that
	// started since their last report are not known.
	reportInterval = 120 * time.Millisecond
	// instancesPerInterval is the number of instances above which the time between
	// reports grows with their number.
	instancesPerInterval = 24
	// reportDueDelay is the pause before a report that is due at once because of a long
	// prompt.
	reportDueDelay = 2 * time.Millisecond
	// unchangedInterval is the time between reports of an unchanged load.
	unchangedInterval = 600 * time.Millisecond
	// maxDatagramBytes bounds a datagram; larger reports are split by replicas.
	maxDatagramBytes = 1200
	// replicasPerDatagram limits the replicas in one datagram, so that it stays below
	// maxDatagramBytes.
	replicasPerDatagram = 24
	// unregisteredTTL is how long reports are sent to an instance that is no longer
	// registered, counted from the last report that it sent.
	unregisteredTTL = 5 * time.Second
)

// message is one datagram. All datagrams of a report have the same Sequence.
type message struct {
	From goose.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the start time of the process; a larger one is a later process.
	Incarnation int64                 `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Part        int                   `cbor:"4,keyasint,omitempty"`
	Parts       int                   `cbor:"5,keyasint"`
	Report      gooseplacement.Report `cbor:"6,keyasint"`
	// Store is the sender's view of the store.
	Store goosedirectory.StoreView `cbor:"7,keyasint"`
	// Crashes are records of requests that crash replicas. They are sent in separate
	// datagrams, without parts of a load report.
	Crashes []goose.CrashRecord `cbor:"8,keyasint,omitempty"`
	// DataCentre is the data centre of the sender.
	DataCentre goose.DataCentre `cbor:"9,keyasint,omitempty"`
}

// Options are the dependencies of a Gossip; all are required.
type Options struct {
	Instance   goose.InstanceID
	DataCentre goose.DataCentre
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	Conn        net.PacketConn
	// Instances returns the registered instances with their addresses.
	Instances func() map[goose.InstanceID]string
	Placer    *gooseplacement.Placer
	// StoreView returns this instance's view of the store.
	StoreView func(now time.Time) goosedirectory.StoreView
	// OnPeerView is called with a peer's view of the store.
	OnPeerView func(goosedirectory.StoreView)
	// Quarantine holds the crash records that instances exchange.
	Quarantine *goosequarantine.Table
	Log        *slog.Logger
	Clock      goose.Clock
}

// Gossip sends this instance's load to its peers and records theirs.
type Gossip struct {
	o Options

	mu    sync.Mutex
	peers map[goose.InstanceID]*peer
}

// peer is an instance from which a report was received.
type peer struct {
	address      net.Addr
	dataCentre   goose.DataCentre
	incarnation  int64
	sequence     uint64
	lastReportAt time.Time
	silent       bool
	// storeReachableFor is for how long the peer had reached the store, at its last report.
	storeReachableFor time.Duration
	// partial collects the datagrams of one report; parts are those received.
	partial gooseplacement.Report
	parts   map[int]bool
}

// New returns a Gossip; Run starts it.
func New(o Options) *Gossip { return &Gossip{o: o, peers: map[goose.InstanceID]*peer{}} }

// Run sends and receives reports until ctx ends; it closes the connection.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.o.Conn.Close() })
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { g.sendReports(ctx) })
	wg.Go(func() { g.sendCrashes(ctx) })
	wg.Go(func() { g.receive(ctx) })
	wg.Wait()
}

func (g *Gossip) sendReports(ctx context.Context) {
	var last string
	var lastAt time.Time
	sequence := uint64(0)
	for g.waitForReport(ctx) {
		now := g.o.Clock.Now()
		g.markSilentPeers(now)
		report := g.o.Placer.Report(now)
		summary, err := cbor.Marshal(report.Replicas)
		if err != nil {
			panic(err)
		}
		if string(summary) == last && now.Sub(lastAt) < unchangedInterval {
			continue
		}
		last, lastAt = string(summary), now
		sequence++
		for _, datagram := range g.encodeReport(report, sequence, now) {
			for _, to := range g.targets(now) {
				// An error is ignored: the next report replaces a lost one.
				_, _ = g.o.Conn.WriteTo(datagram, to)
			}
		}
	}
}

// waitForReport returns when the next report is due: after a time that grows with the
// number of instances, since each sends its reports to all others, or at once if a long
// prompt was placed. It returns false if ctx has ended.
func (g *Gossip) waitForReport(ctx context.Context) bool {
	instances := g.o.Placer.Instances(g.o.Clock.Now())
	t := time.NewTimer(reportInterval * time.Duration(max(instances, instancesPerInterval)) / instancesPerInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.o.Placer.ReportDue():
		// Prompts that are placed together are reported together.
		return goose.Sleep(ctx, reportDueDelay)
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// encodeReport splits a report into datagrams.
func (g *Gossip) encodeReport(r gooseplacement.Report, sequence uint64, now time.Time) [][]byte {
	parts := []map[goose.ReplicaID]gooseplacement.Load{{}}
	for id, load := range r.Replicas {
		if len(parts[len(parts)-1]) == replicasPerDatagram {
			parts = append(parts, map[goose.ReplicaID]gooseplacement.Load{})
		}
		parts[len(parts)-1][id] = load
	}
	datagrams := make([][]byte, 0, len(parts))
	for i, replicas := range parts {
		m := message{
			From: g.o.Instance, DataCentre: g.o.DataCentre, Incarnation: g.o.Incarnation, Sequence: sequence, Part: i, Parts: len(parts),
			Report: gooseplacement.Report{Replicas: replicas, OfferedLoad: r.OfferedLoad}, Store: g.o.StoreView(now),
		}
		b, err := cbor.Marshal(m)
		if err != nil {
			panic(err)
		}
		datagrams = append(datagrams, b)
	}
	return datagrams
}

// targets returns the addresses of the registered instances and of those that sent a
// report recently: registrations can expire while the store is unavailable.
func (g *Gossip) targets(now time.Time) []net.Addr {
	addresses := map[goose.InstanceID]net.Addr{}
	for id, address := range g.o.Instances() {
		if a, err := netip.ParseAddrPort(address); err == nil && id != g.o.Instance {
			addresses[id] = net.UDPAddrFromAddrPort(a)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.peers {
		if _, registered := addresses[id]; !registered && now.Sub(p.lastReportAt) < unregisteredTTL {
			addresses[id] = p.address
		}
	}
	all := make([]net.Addr, 0, len(addresses))
	for _, a := range addresses {
		all = append(all, a)
	}
	return all
}

// Neighbours returns the addresses of the instances of the same data centre that sent a
// report recently.
func (g *Gossip) Neighbours(now time.Time) []net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []net.Addr
	for _, p := range g.peers {
		if p.dataCentre == g.o.DataCentre && now.Sub(p.lastReportAt) < unregisteredTTL {
			all = append(all, p.address)
		}
	}
	return all
}

func (g *Gossip) receive(ctx context.Context) {
	buffer := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := g.o.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			goose.Sleep(ctx, reportInterval)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil || m.From == "" || m.From == g.o.Instance {
			continue
		}
		g.o.Quarantine.Merge(m.Crashes, goosequarantine.SourcePeer, g.o.Clock.Now())
		if m.Parts > 0 {
			g.handleReport(m, from)
		}
	}
}

// handleReport applies a datagram of a load report; it drops late datagrams of older
// reports.
func (g *Gossip) handleReport(m message, from net.Addr) {
	now := g.o.Clock.Now()
	g.mu.Lock()
	p, ok := g.peers[m.From]
	if !ok {
		p = &peer{silent: true}
		g.peers[m.From] = p
	}
	// A process that starts after the system clock was set back has a smaller incarnation
	// than its predecessor. Its reports are accepted once the predecessor is silent.
	earlier := m.Incarnation < p.incarnation && now.Sub(p.lastReportAt) <= gooseplacement.PeerTimeout
	if earlier || m.Incarnation == p.incarnation && m.Sequence < p.sequence {
		g.mu.Unlock()
		return
	}
	if m.Incarnation != p.incarnation || m.Sequence != p.sequence {
		p.partial = gooseplacement.Report{Replicas: map[goose.ReplicaID]gooseplacement.Load{}}
		p.parts = map[int]bool{}
	}
	p.incarnation, p.sequence, p.address, p.lastReportAt, p.storeReachableFor = m.Incarnation, m.Sequence, from, now, m.Store.ReachableFor
	p.dataCentre = m.DataCentre
	p.parts[m.Part] = true
	for id, l := range m.Report.Replicas {
		p.partial.Replicas[id] = l
	}
	p.partial.OfferedLoad = m.Report.OfferedLoad
	complete := len(p.parts) >= m.Parts
	report := gooseplacement.Report{Replicas: maps.Clone(p.partial.Replicas), OfferedLoad: p.partial.OfferedLoad}
	wasSilent := p.silent
	p.silent = false
	g.mu.Unlock()
	if wasSilent {
		gooseevent.PeerSeen.Log(g.o.Log, slog.String("peer", string(m.From)), slog.Int64("incarnation", m.Incarnation))
	}
	if complete {
		g.o.Placer.SetPeerReport(m.From, report, now)
		g.o.OnPeerView(m.Store)
	}
}

func (g *Gossip) markSilentPeers(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.peers {
		if !p.silent && now.Sub(p.lastReportAt) > gooseplacement.PeerTimeout {
			p.silent = true
			gooseevent.PeerSilent.Log(g.o.Log, slog.String("peer", string(id)), slog.Duration("age", now.Sub(p.lastReportAt)))
		}
	}
}

// PeerStoreReachableFor returns the longest time for which a peer that is not
// silent has reached the store without a failure.
func (g *Gossip) PeerStoreReachableFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest time.Duration
	for _, p := range g.peers {
		if now.Sub(p.lastReportAt) <= gooseplacement.PeerTimeout {
			longest = max(longest, p.storeReachableFor)
		}
	}
	return longest
}
