package goosequarantine

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosebroadcast"
)

// Kinds of calls between peers.
const (
	KindRecords = "crash-records"
	KindPull    = "crash-records-pull"
)

// recordsPerReport is the maximum number of records that are sent at one time.
const recordsPerReport = 64

// Replicator exchanges the records of a table with the other instances over the connections
// between instances, without the platform's store.
type Replicator struct {
	broadcaster *goosebroadcast.Broadcaster[goose.CrashRecord]
	table       *Table
	clock       goose.Clock
}

// NewReplicator returns a Replicator of the table.
func NewReplicator(table *Table, clock goose.Clock, members goose.Membership, client goose.PeerClient) *Replicator {
	r := &Replicator{table: table, clock: clock}
	r.broadcaster = goosebroadcast.New(goosebroadcast.Options[goose.CrashRecord]{
		Members: members, Client: client, Kind: KindRecords, PullKind: KindPull,
		Merge: func(records []goose.CrashRecord) { table.Merge(records, SourcePeer, clock.Now()) },
		All:   func() []goose.CrashRecord { return table.Records(clock.Now()) },
	})
	return r
}

// Register adds the handlers of both kinds.
func (r *Replicator) Register(router goose.PeerRouter) { r.broadcaster.Register(router) }

// Run exchanges records until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.broadcaster.Run(ctx) })
	maintenance := time.NewTicker(time.Minute)
	defer maintenance.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-maintenance.C:
			r.table.RemoveExpired(r.clock.Now())
		case <-r.table.ReportDue():
			r.send()
		}
	}
}

// send enqueues the records of attempts that this instance lost since the last time.
func (r *Replicator) send() {
	for {
		reports := r.table.Report(recordsPerReport, 1, r.clock.Now())
		if len(reports.Own) > 0 {
			r.broadcaster.Enqueue(reports.Own)
		}
		if !reports.Fresh {
			return
		}
	}
}
