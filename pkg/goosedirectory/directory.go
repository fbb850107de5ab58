// Package goosedirectory keeps a copy of the routing, the replicas, the instances and the
// evacuated data centres that the platform's store lists, and follows their changes.
package goosedirectory

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetable"
)

// Replica is a replica in the directory.
type Replica struct {
	goose.Replica
	// ColdUntil is when the replica stops being cold, according to its own entry.
	ColdUntil time.Time
}

// Snapshot is an immutable copy of the directory at one moment.
type Snapshot struct {
	// Table is nil until a routing was read.
	Table *goosetable.Table
	// activeReplicas contains the replicas of each service that may get new work, in order of
	// their ids.
	activeReplicas map[goose.ServiceName][]Replica
	// replicas contains all replicas, including those that get no new work.
	replicas map[goose.ReplicaID]Replica
	// instances contains the registered instances; it must not be modified.
	instances map[goose.InstanceID]goose.RegisteredInstance
	// instancesIn is the number of registered instances of each data centre.
	instancesIn map[goose.DataCentre]int
}

// Replicas returns the replicas of a service that may get new work, in order of
// their ids. The slice must not be modified.
func (s *Snapshot) Replicas(service goose.ServiceName) []Replica { return s.activeReplicas[service] }

// Lookup returns the replica with the id, and whether the directory contains it.
func (s *Snapshot) Lookup(id goose.ReplicaID) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// Instances returns the registered instances. The map must not be modified.
func (s *Snapshot) Instances() map[goose.InstanceID]goose.RegisteredInstance { return s.instances }

// InstancesIn returns the number of registered instances of a data centre.
func (s *Snapshot) InstancesIn(dc goose.DataCentre) int { return s.instancesIn[dc] }

// Len returns the number of replicas in the snapshot.
func (s *Snapshot) Len() int { return len(s.replicas) }

// entry is one replica with its pending removal.
type entry struct {
	replica Replica
	// era is the era of the store in which the entry was read.
	era goose.StoreEra
	// removeAt is when the replica is removed unless it is listed again before. It is zero
	// while the replica is listed.
	removeAt time.Time
}

// Directory applies changes and publishes snapshots. Current takes no lock.
type Directory struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	table     *goosetable.Table
	entries   map[goose.ReplicaID]*entry
	evacuated map[goose.DataCentre]bool
	instances map[goose.InstanceID]goose.RegisteredInstance
	// keepMissingUntil is until when missing replicas are kept, since their leases may have
	// expired only because the store was unavailable.
	keepMissingUntil time.Time
	// era is the newest era of the store that was read. Until holdUntil its contents may be those
	// of an older copy.
	era       goose.StoreEra
	holdUntil time.Time
	// removed contains the replicas that were removed lately.
	removed map[goose.ReplicaID]removal
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		entries: map[goose.ReplicaID]*entry{}, removed: map[goose.ReplicaID]removal{}, evacuated: map[goose.DataCentre]bool{}, instances: map[goose.InstanceID]goose.RegisteredInstance{},
	}
	d.publish()
	return d
}

// Current returns the latest snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// KeepMissing keeps replicas that go missing from now on until the given time. Those that
// are listed again before stay in the directory.
func (d *Directory) KeepMissing(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keepMissingUntil = until
}

// Apply applies one change that was observed at now. It reports whether the directory
// changed.
func (d *Directory) Apply(c goose.StoreChange, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.apply(c, now)
	if changed {
		d.publish()
	}
	return changed
}

// Replace applies the complete contents of a prefix: changes lists everything that exists
// of the kinds, and everything else of these kinds is removed.
func (d *Directory) Replace(kinds []goose.ChangeKind, changes []goose.StoreChange, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range kinds {
		switch kind {
		case goose.ChangeReplica:
			d.removeMissing(changes, now)
		case goose.ChangeEvacuation:
			if !d.holds(now) {
				d.endMissingEvacuations(changes)
			}
		case goose.ChangeInstance:
			if !d.holds(now) {
				d.instances = map[goose.InstanceID]goose.RegisteredInstance{}
			}
		}
	}
	for _, c := range changes {
		if !d.isStale(c, now) {
			d.apply(c, now)
		}
	}
	d.publish()
}

func (d *Directory) removeMissing(changes []goose.StoreChange, now time.Time) {
	listed := map[goose.ReplicaID]bool{}
	for _, c := range changes {
		if c.Kind == goose.ChangeReplica && !c.Removed {
			listed[c.Replica.ID] = true
		}
	}
	for id := range d.entries {
		if !listed[id] {
			d.remove(id, now)
		}
	}
}

// Expire removes missing replicas that were not listed again in time.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := false
	for id, e := range d.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			d.drop(id, now)
			removed = true
		}
	}
	d.forgetRemovals(now)
	if removed {
		d.publish()
	}
}

func (d *Directory) apply(c goose.StoreChange, now time.Time) bool {
	switch c.Kind {
	case goose.ChangeRouting:
		return d.applyRouting(c)
	case goose.ChangeReplica:
		if c.Removed {
			return d.remove(c.Replica.ID, now)
		}
		return d.applyReplica(c.Replica, now)
	case goose.ChangeEvacuation:
		before := d.evacuated[c.DataCentre]
		d.evacuated[c.DataCentre] = !c.Removed
		return before == c.Removed
	case goose.ChangeInstance:
		registered := goose.RegisteredInstance{Address: c.Address, DataCentre: c.DataCentre}
		if d.instances[c.Instance] == registered {
			return false
		}
		d.instances[c.Instance] = registered
		if c.Removed {
			delete(d.instances, c.Instance)
		}
		return true
	}
	return false
}

// applyRouting ignores versions that are not newer than the current one.
func (d *Directory) applyRouting(c goose.StoreChange) bool {
	if c.Routing == nil || d.table != nil && c.Routing.Version <= d.table.Version() {
		return false
	}
	d.table = goosetable.New(*c.Routing)
	return true
}

// maxClockSkew is how far a replica's start time may be ahead of the clock of this
// instance.
const maxClockSkew = time.Hour

// applyReplica ignores an entry of an earlier process of the replica. An entry whose start
// time is in the future was not written by the replica: accepting it would hide all later
// entries of the replica, so it removes the replica instead.
func (d *Directory) applyReplica(r goose.Replica, now time.Time) bool {
	if r.StartedUnixMS > now.Add(maxClockSkew).UnixMilli() {
		return d.remove(r.ID, now)
	}
	old, ok := d.entries[r.ID]
	if ok && r.StartedUnixMS < old.replica.StartedUnixMS {
		return false
	}
	delete(d.removed, r.ID)
	d.entries[r.ID] = &entry{era: d.era, replica: Replica{Replica: r, ColdUntil: now.Add(r.ColdFor)}}
	return true
}

func (d *Directory) remove(id goose.ReplicaID, now time.Time) bool {
	e, ok := d.entries[id]
	if !ok {
		return false
	}
	if now.Before(d.keepMissingUntil) {
		if e.removeAt.IsZero() {
			e.removeAt = d.keepMissingUntil
		}
		return false
	}
	d.drop(id, now)
	return true
}

// publish stores a new snapshot of the state. The lock must be held.
func (d *Directory) publish() {
	s := &Snapshot{
		Table: d.table, activeReplicas: map[goose.ServiceName][]Replica{}, replicas: make(map[goose.ReplicaID]Replica, len(d.entries)),
		instances: maps.Clone(d.instances), instancesIn: map[goose.DataCentre]int{},
	}
	for _, i := range d.instances {
		s.instancesIn[i.DataCentre]++
	}
	for id, e := range d.entries {
		r := e.replica
		s.replicas[id] = r
		if r.State == goose.StateActive && !d.evacuated[r.DataCentre] {
			s.activeReplicas[r.Service] = append(s.activeReplicas[r.Service], r)
		}
	}
	for _, all := range s.activeReplicas {
		sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	}
	d.current.Store(s)
}
