package goosegossip

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// crashInterval is the time between reports of the same crash records. resendInterval
	// is the time between reports while some records are new: datagrams can be lost, so
	// some peer may not have received them yet.
	crashInterval  = time.Second
	resendInterval = 100 * time.Millisecond
	// resendCount is the number of reports after which a record is no longer new.
	resendCount = 4
	// crashesPerDatagram limits the records of one report, so that it stays below
	// maxDatagramBytes.
	crashesPerDatagram = 12
	// relayFanout is the number of peers that get a relayed record at one time.
	relayFanout = 3
)

// sendCrashes sends the crash records to the peers: new ones at once and then a few more
// times, those of requests in quarantine for as long as they are in quarantine.
func (g *Gossip) sendCrashes(ctx context.Context) {
	pause := crashInterval
	for g.waitForCrashes(ctx, pause) {
		now := g.o.Clock.Now()
		reports := g.o.Quarantine.Report(crashesPerDatagram, resendCount, now)
		pause = crashInterval
		if reports.Fresh {
			pause = resendInterval
		}
		targets := g.targets(now)
		g.sendRecords(reports.Own, targets)
		g.sendRecords(reports.Relayed, relayTargets(targets))
	}
}

// sendRecords sends crash records to the given peers.
func (g *Gossip) sendRecords(records []goose.CrashRecord, targets []net.Addr) {
	if len(records) == 0 {
		return
	}
	datagram, err := cbor.Marshal(message{From: g.o.Instance, Incarnation: g.o.Incarnation, Crashes: records})
	if err != nil {
		panic(err)
	}
	for _, to := range targets {
		// An error is ignored: the next datagram, or the store, replaces a lost one.
		_, _ = g.o.Conn.WriteTo(datagram, to)
	}
}

// relayTargets returns the peers that get the records of other instances: all of them in a
// small fleet, otherwise a random few. Since every instance relays, each peer still gets a
// record from several others.
func relayTargets(targets []net.Addr) []net.Addr {
	if len(targets)+1 < minSplitInstances {
		return targets
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:relayFanout]
}

// waitForCrashes returns when the next report of crash records is due, or at once if there
// is a new record. It returns false if ctx has ended.
func (g *Gossip) waitForCrashes(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.o.Quarantine.ReportDue():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
