package goosedirectory

import (
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var testTime = time.Unix(1_000_000, 0)

func replicaChange(id string, startedUnixMS int64) goose.StoreChange {
	return goose.StoreChange{Kind: goose.ChangeReplica, Replica: goose.Replica{
		ID: goose.ReplicaID(id), Service: "desk", DataCentre: "leith", Address: "10.0.0.1:80", Slots: 16,
		State: goose.StateActive, StartedUnixMS: startedUnixMS,
	}}
}

func removedChange(id string) goose.StoreChange {
	return goose.StoreChange{Kind: goose.ChangeReplica, Removed: true, Replica: goose.Replica{ID: goose.ReplicaID(id)}}
}

func leavingChange(id string) goose.StoreChange {
	c := replicaChange(id, 1)
	c.Replica.State = goose.StateLeaving
	return c
}

func evacuationChange(dc goose.DataCentre, ended bool) goose.StoreChange {
	return goose.StoreChange{Kind: goose.ChangeEvacuation, DataCentre: dc, Removed: ended}
}

func activeIDs(d *Directory) []goose.ReplicaID {
	var ids []goose.ReplicaID
	for _, r := range d.Current().Replicas("desk") {
		ids = append(ids, r.ID)
	}
	return ids
}

// Guards against new work for replicas that leave, are removed or are in an evacuated data
// centre.
func TestReplicas(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		changes []goose.StoreChange
		want    int
	}{
		"listed":           {changes: []goose.StoreChange{replicaChange("a", 1), replicaChange("b", 1)}, want: 2},
		"leaving":          {changes: []goose.StoreChange{replicaChange("a", 1), leavingChange("a")}, want: 0},
		"gone":             {changes: []goose.StoreChange{replicaChange("a", 1), removedChange("a")}, want: 0},
		"never listed":     {changes: []goose.StoreChange{removedChange("a")}, want: 0},
		"evacuated":        {changes: []goose.StoreChange{replicaChange("a", 1), evacuationChange("leith", false)}, want: 0},
		"evacuated before": {changes: []goose.StoreChange{evacuationChange("leith", false), replicaChange("a", 1)}, want: 0},
		"evacuation ended": {changes: []goose.StoreChange{replicaChange("a", 1), evacuationChange("leith", false), evacuationChange("leith", true)}, want: 1},
		"elsewhere":        {changes: []goose.StoreChange{replicaChange("a", 1), evacuationChange("dalkeith", false)}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := New()
			for _, c := range tc.changes {
				d.Apply(c, testTime)
			}
			if got := activeIDs(d); len(got) != tc.want {
				t.Errorf("got replicas %v, want %d", got, tc.want)
			}
		})
	}
}

// Guards against an entry of an earlier process that replaces that of a later one.
func TestEarlierProcess(t *testing.T) {
	t.Parallel()
	d := New()
	d.Apply(replicaChange("a", 2), testTime)
	if d.Apply(replicaChange("a", 1), testTime) {
		t.Error("got a change by an earlier process")
	}
	if r, _ := d.Current().Lookup("a"); r.StartedUnixMS != 2 {
		t.Errorf("got process started at %d, want 2", r.StartedUnixMS)
	}
	if all := d.Current().Replicas("desk"); len(all) != 1 || all[0].StartedUnixMS != 2 {
		t.Errorf("got replicas %v for new work, want only the later process", all)
	}
}

// Guards against a malformed entry with a future start time that hides the replica's own
// later entries.
func TestReplicaStartedInFuture(t *testing.T) {
	t.Parallel()
	d := New()
	d.Apply(replicaChange("a", 2), testTime)
	d.Apply(replicaChange("a", testTime.Add(24*time.Hour).UnixMilli()), testTime)
	if all := activeIDs(d); len(all) != 0 {
		t.Errorf("got replicas %v from an entry that no replica wrote, want none", all)
	}
	d.Apply(replicaChange("a", 2), testTime)
	if all := activeIDs(d); len(all) != 1 {
		t.Errorf("got replicas %v after the replica's next heartbeat, want the replica", all)
	}
}

// Guards against a routing that is replaced by an older version.
func TestRoutingVersion(t *testing.T) {
	t.Parallel()
	d := New()
	for _, v := range []int64{3, 7, 5} {
		d.Apply(goose.StoreChange{Kind: goose.ChangeRouting, Routing: &goose.Routing{Version: v}}, testTime)
	}
	if got := d.Current().Table.Version(); got != 7 {
		t.Errorf("got version %d, want 7", got)
	}
}

// Guards against removing replicas whose leases expired because the store was unavailable,
// and against keeping replicas that have ended.
func TestMissingAfterOutage(t *testing.T) {
	t.Parallel()
	recovered := testTime.Add(10 * time.Second)
	tests := map[string]struct {
		outage      bool
		listedAgain bool
		at          time.Duration
		want        int
	}{
		"no outage":              {want: 0},
		"just recovered":         {outage: true, at: time.Second, want: 1},
		"still missing":          {outage: true, at: 2 * time.Second, want: 0},
		"listed again, later on": {outage: true, listedAgain: true, at: time.Minute, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := New()
			d.Apply(replicaChange("a", 1), testTime)
			if tc.outage {
				d.KeepMissing(recovered.Add(2 * time.Second))
			}
			d.Replace([]goose.ChangeKind{goose.ChangeReplica}, nil, recovered)
			if tc.listedAgain {
				d.Apply(replicaChange("a", 1), recovered.Add(time.Second))
			}
			d.Expire(recovered.Add(tc.at))
			if got := activeIDs(d); len(got) != tc.want {
				t.Errorf("got replicas %v, want %d", got, tc.want)
			}
		})
	}
}

// Guards against keeping evacuations and instances that ended while no watch was running.
func TestReplaceRemovesMissing(t *testing.T) {
	t.Parallel()
	d := New()
	d.Apply(replicaChange("a", 1), testTime)
	d.Apply(evacuationChange("leith", false), testTime)
	d.Apply(goose.StoreChange{Kind: goose.ChangeInstance, Instance: "e", Address: "10.0.0.9:1"}, testTime)
	d.Replace([]goose.ChangeKind{goose.ChangeEvacuation, goose.ChangeInstance}, nil, testTime)
	if got := activeIDs(d); len(got) != 1 {
		t.Errorf("got replicas %v, want the one in the data centre that is no longer evacuated", got)
	}
	if got := d.Current().Instances(); len(got) != 0 {
		t.Errorf("got instances %v, want none", got)
	}
}
