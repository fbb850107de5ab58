package goosesuspect

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosebroadcast"
)

// Kinds of calls between peers.
const (
	KindMarks = "suspect-marks"
	KindPull  = "suspect-pull"
)

// Replicator exchanges the marks of a Table with the other instances.
type Replicator struct {
	*goosebroadcast.Broadcaster[Mark]
	table *Table
}

// NewReplicator returns a Replicator with a new table. Its marks are exchanged with
// all members while Run runs. A trial is announced for at most goosebroadcast.CallTimeout,
// which is shorter than the lifetime of the permit that the caller holds meanwhile.
func NewReplicator(clock goose.Clock, members goose.Membership, client goose.PeerClient) *Replicator {
	r := &Replicator{}
	r.table = New(clock, func(marks []Mark) { r.Enqueue(marks) })
	r.Broadcaster = goosebroadcast.New(goosebroadcast.Options[Mark]{
		Members: members, Client: client, Kind: KindMarks, PullKind: KindPull, Merge: r.table.Merge, All: r.table.Marks,
	})
	r.table.announce = r.Announce
	return r
}

// Table returns the table of marks.
func (r *Replicator) Table() *Table { return r.table }
