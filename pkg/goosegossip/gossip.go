package goosegossip

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
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
	// reportInterval is the time between load reports of requests that have made progress.
	reportInterval = 120 * time.Millisecond
	// minSplitInstances is the number of instances from which on the data centres exchange
	// only the sums of their reports. Reports about progress are rarer there.
	minSplitInstances      = 24
	splitReportInterval    = 450 * time.Millisecond
	splitUnchangedInterval = 900 * time.Millisecond
	// sumInterval is the time between two sums that a data centre sends to the others.
	sumInterval = 400 * time.Millisecond
	// reportDueDelay is the pause before a report that is due at once because of a new
	// request, and minReportPause the least time between two such reports.
	reportDueDelay = 2 * time.Millisecond
	minReportPause = 20 * time.Millisecond
	// unchangedInterval is the time between reports of an unchanged load.
	unchangedInterval = 600 * time.Millisecond
	// maxDatagramBytes bounds a datagram; larger reports are split.
	maxDatagramBytes = 1200
	// entriesPerDatagram limits the loads of replicas, the processes that leave and the marks in
	// one datagram, so that it stays below maxDatagramBytes.
	entriesPerDatagram = 28
	// unregisteredTTL is how long reports are sent to an instance that is no longer
	// registered, counted from the last report that it sent.
	unregisteredTTL = 5 * time.Second
)

// Options are the dependencies of a Gossip; all are required.
type Options struct {
	Instance   goose.InstanceID
	DataCentre goose.DataCentre
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	Conn        net.PacketConn
	// Instances returns the registered instances.
	Instances func() map[goose.InstanceID]goose.RegisteredInstance
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
	// kept is the targets that were last computed.
	kept atomic.Pointer[targetSet]

	mu    sync.Mutex
	peers map[peerKey]*peer
}

// peerKey identifies the reports that replace each other: those of an instance, and the sums
// that it sends for its data centre.
type peerKey struct {
	id  goose.InstanceID
	sum bool
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
func New(o Options) *Gossip { return &Gossip{o: o, peers: map[peerKey]*peer{}} }

// Run sends and receives reports until ctx ends; it closes the connection.
func (g *Gossip) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.o.Conn.Close() })
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { g.sendReports(ctx) })
	wg.Go(func() { g.sendSums(ctx) })
	wg.Go(func() { g.sendCrashes(ctx) })
	wg.Go(func() { g.receive(ctx) })
	wg.Wait()
}

func (g *Gossip) sendReports(ctx context.Context) {
	var last string
	var lastAt time.Time
	sequence := uint64(0)
	for g.waitForReport(ctx, lastAt) {
		now := g.o.Clock.Now()
		g.markSilentPeers(now)
		report := g.o.Placer.Report(now)
		summary, err := cbor.Marshal([]any{report.Replicas, report.Leaving, observedMarks(report.Marks, now)})
		if err != nil {
			panic(err)
		}
		targets := g.currentTargets(now)
		if string(summary) == last && now.Sub(lastAt) < maxReportAge(targets.split()) {
			continue
		}
		last, lastAt = string(summary), now
		sequence++
		g.sendAll(g.encodeReport(report, false, sequence, now), targets.near)
	}
}

// sendSums sends the sum of the reports of the data centre to a few instances of each other
// data centre. Every instance does so, so that none has to send to hundreds.
func (g *Gossip) sendSums(ctx context.Context) {
	for round := uint64(1); goose.Sleep(ctx, sumInterval); round++ {
		now := g.o.Clock.Now()
		targets := g.currentTargets(now).sumTargets(round)
		if len(targets) > 0 {
			g.sendAll(g.encodeReport(g.o.Placer.DataCentreReport(now), true, round, now), targets)
		}
	}
}

// sendAll sends datagrams to the given peers.
func (g *Gossip) sendAll(datagrams [][]byte, targets []net.Addr) {
	for _, datagram := range datagrams {
		for _, to := range targets {
			// An error is ignored: the next report replaces a lost one.
			_, _ = g.o.Conn.WriteTo(datagram, to)
		}
	}
}

// maxReportAge is the time after which an unchanged report is sent again.
func maxReportAge(split bool) time.Duration {
	if split {
		return splitUnchangedInterval
	}
	return unchangedInterval
}

// waitForReport returns when the next report is due: after an interval, or shortly after an
// attempt was placed of which the peers should know at once. It returns false if ctx has
// ended.
func (g *Gossip) waitForReport(ctx context.Context, lastAt time.Time) bool {
	interval := reportInterval
	if g.currentTargets(g.o.Clock.Now()).split() {
		interval = splitReportInterval
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.o.Placer.ReportDue():
		// Requests that are placed together are reported together.
		return goose.Sleep(ctx, max(reportDueDelay, minReportPause-g.o.Clock.Now().Sub(lastAt)))
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// encodeReport splits a report, or the sum of a data centre, into datagrams.
func (g *Gossip) encodeReport(r gooseplacement.Report, sum bool, sequence uint64, now time.Time) [][]byte {
	parts := splitReport(r)
	datagrams := make([][]byte, 0, len(parts))
	for i, part := range parts {
		m := message{
			From: g.o.Instance, DataCentre: g.o.DataCentre, Incarnation: g.o.Incarnation, Sequence: sequence, Part: i, Parts: len(parts),
			Report: part, Store: g.o.StoreView(now), Sum: sum,
		}
		b, err := cbor.Marshal(m)
		if err != nil {
			panic(err)
		}
		datagrams = append(datagrams, b)
	}
	return datagrams
}

// splitReport splits a report into parts that fit into a datagram.
func splitReport(r gooseplacement.Report) []wireReport {
	var parts []wireReport
	size := 0
	// next returns the part for the next entry.
	next := func() *wireReport {
		if len(parts) == 0 || size == entriesPerDatagram {
			parts = append(parts, wireReport{Replicas: map[goose.ReplicaID]wireLoad{}, OfferedLoad: r.OfferedLoad, Instances: r.Instances})
			size = 0
		}
		size++
		return &parts[len(parts)-1]
	}
	for id, load := range r.Replicas {
		next().Replicas[id] = encodeLoad(load)
	}
	for _, p := range r.Leaving {
		part := next()
		part.Leaving = append(part.Leaving, wireProcess{Replica: p.Replica, StartedUnixMS: p.StartedUnixMS})
	}
	for _, m := range r.Marks {
		part := next()
		part.Marks = append(part.Marks, encodeMark(m))
	}
	if len(parts) == 0 {
		next()
	}
	return parts
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
		gooseevent.Guard(g.o.Log, "load report", func() { g.handleDatagram(buffer[:n], from) })
	}
}

// handleDatagram applies a datagram of a peer. It drops those that no instance can have sent.
func (g *Gossip) handleDatagram(datagram []byte, from net.Addr) {
	var m message
	if err := cbor.Unmarshal(datagram, &m); err != nil || m.From == g.o.Instance || m.validate() != nil {
		return
	}
	g.o.Quarantine.Merge(m.Crashes, goosequarantine.SourcePeer, g.o.Clock.Now())
	if m.Parts > 0 {
		g.handleReport(m, from)
	}
}

// handleReport applies a datagram of a load report; it drops late datagrams of older
// reports.
func (g *Gossip) handleReport(m message, from net.Addr) {
	received, err := m.Report.decode()
	if err != nil {
		return
	}
	now := g.o.Clock.Now()
	g.recordLeaving(m, received.Leaving, now)
	g.recordMarks(m, received.Marks, now)
	report, complete := g.collect(m, received, from, now)
	if !complete {
		return
	}
	g.o.OnPeerView(m.Store)
	switch {
	case !m.Sum:
		g.o.Placer.SetPeerReport(m.From, report, now)
	case m.DataCentre != g.o.DataCentre:
		g.o.Placer.SetDataCentreReport(m.DataCentre, report, now)
	}
}

// recordLeaving records the processes that leave according to a datagram. They count also if
// other datagrams of the report are missing or a newer report has been received, since a
// process that leaves does not come back.
func (g *Gossip) recordLeaving(m message, reported []gooseplacement.Process, now time.Time) {
	source := gooseplacement.LeavingFromPeer
	if m.Sum {
		source = gooseplacement.LeavingFromDataCentre
	}
	for _, p := range g.o.Placer.RecordReportedLeaving(reported, source, now) {
		gooseevent.ReplicaLeaving.Log(g.o.Log, slog.String("replica", string(p.Replica)), slog.Int64("started", p.StartedUnixMS), slog.String("peer", string(m.From)))
	}
}

// collect adds a datagram to the report that it is a part of. It returns the report once
// that is complete.
func (g *Gossip) collect(m message, received gooseplacement.Report, from net.Addr, now time.Time) (gooseplacement.Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := peerKey{id: m.From, sum: m.Sum}
	p, ok := g.peers[key]
	if !ok {
		p = &peer{silent: true, incarnation: m.Incarnation, sequence: m.Sequence}
		p.beginReport()
		g.peers[key] = p
	}
	// A process that starts after the system clock was set back has a smaller incarnation
	// than its predecessor. Its reports are accepted once the predecessor is silent.
	earlier := m.Incarnation < p.incarnation && now.Sub(p.lastReportAt) <= gooseplacement.PeerTimeout
	if earlier || m.Incarnation == p.incarnation && m.Sequence < p.sequence {
		return gooseplacement.Report{}, false
	}
	if m.Incarnation != p.incarnation || m.Sequence != p.sequence {
		p.beginReport()
	}
	p.incarnation, p.sequence, p.address, p.lastReportAt, p.storeReachableFor = m.Incarnation, m.Sequence, from, now, m.Store.ReachableFor
	p.dataCentre = m.DataCentre
	p.parts[m.Part] = true
	maps.Copy(p.partial.Replicas, received.Replicas)
	p.partial.OfferedLoad, p.partial.Instances = received.OfferedLoad, received.Instances
	if p.silent && !m.Sum {
		p.silent = false
		gooseevent.PeerSeen.Log(g.o.Log, slog.String("peer", string(m.From)), slog.Int64("incarnation", m.Incarnation))
	}
	report := p.partial
	report.Replicas = maps.Clone(report.Replicas)
	return report, len(p.parts) >= m.Parts
}

// beginReport discards the parts of an earlier report.
func (p *peer) beginReport() {
	p.partial = gooseplacement.Report{Replicas: map[goose.ReplicaID]gooseplacement.Load{}}
	p.parts = map[int]bool{}
}

func (g *Gossip) markSilentPeers(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, p := range g.peers {
		if !p.silent && now.Sub(p.lastReportAt) > gooseplacement.PeerTimeout {
			p.silent = true
			gooseevent.PeerSilent.Log(g.o.Log, slog.String("peer", string(key.id)), slog.Duration("age", now.Sub(p.lastReportAt)))
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
