package goosegossip

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
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
)

// sendCrashes sends the crash records to the peers: new ones at once and then a few more
// times, those of requests in quarantine for as long as they are in quarantine.
func (g *Gossip) sendCrashes(ctx context.Context) {
	pause := crashInterval
	for g.waitForCrashes(ctx, pause) {
		now := g.o.Clock.Now()
		records, fresh := g.o.Quarantine.Report(crashesPerDatagram, resendCount, now)
		pause = crashInterval
		if fresh {
			pause = resendInterval
		}
		if len(records) == 0 {
			continue
		}
		datagram, err := cbor.Marshal(message{From: g.o.Instance, Incarnation: g.o.Incarnation, Crashes: records})
		if err != nil {
			panic(err)
		}
		for _, to := range g.targets(now) {
			// An error is ignored: the next datagram, or the store, replaces a lost one.
			_, _ = g.o.Conn.WriteTo(datagram, to)
		}
	}
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
