package goosesoak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// faultKind is a kind of fault.
type faultKind string

// Kinds of faults.
const (
	faultKill                faultKind = "kill"
	faultTerminate           faultKind = "terminate"
	faultFreeze              faultKind = "freeze"
	faultHangup              faultKind = "hangup"
	faultCallerLink          faultKind = "callers-link"
	faultStoreLink           faultKind = "store-link"
	faultStoreRefuses        faultKind = "store-refuses-instance"
	faultStoreBusy           faultKind = "store-busy"
	faultStoreLosesResponses faultKind = "store-loses-answers"
	faultStoreResets         faultKind = "store-resets"
	faultStoreCompacts       faultKind = "store-forgets"
	faultLeasesExpire        faultKind = "leases-lapse"
	faultReplicaLink         faultKind = "replica-link"
	faultReplicaCrash        faultKind = "replica-crash"
	faultAddressReused       faultKind = "address-reused"
	faultReplicaDrain        faultKind = "replica-drain"
	faultReplicaResponses    faultKind = "replica-answers"
	faultNewVersion          faultKind = "new-version"
	faultEvacuate            faultKind = "evacuate"
	faultInvalidEntry        faultKind = "unreadable-entry"
	// faultStoreRestored restores the store from an older copy.
	faultStoreRestored faultKind = "store-restored"
	// faultForeignEntry replaces the entry of a replica by one of another writer.
	faultForeignEntry faultKind = "entry-of-another-writer"
	// faultPeersUnreachable replaces the peer addresses in the store, so that load reports
	// are sent to the wrong address: an instance that starts during the fault receives no
	// reports, and no peer receives its own.
	faultPeersUnreachable faultKind = "peer-not-heard"
)

var faultKinds = []faultKind{
	faultKill, faultTerminate, faultFreeze, faultHangup, faultCallerLink, faultStoreLink, faultStoreRefuses, faultStoreBusy,
	faultStoreLosesResponses, faultStoreResets, faultStoreCompacts, faultLeasesExpire, faultReplicaLink, faultReplicaCrash, faultAddressReused, faultReplicaDrain,
	faultReplicaResponses, faultNewVersion, faultEvacuate, faultInvalidEntry,
}

var linkFaults = []linkFault{linkSlow, linkReset, linkBlocked, linkBlockedToTarget, linkBlockedFromTarget}

var replicaFaults = []replicaFault{
	replicaFull, replicaFailing, replicaTruncating, replicaHanging, replicaWrongID, replicaTrailingBytes,
}

// fault is one fault of a plan; start is its offset from the beginning of the plan.
type fault struct {
	kind     faultKind
	start    time.Duration
	duration time.Duration
	target   int
	link     linkFault
	replica  replicaFault
	// deliverHeld is true if a link delivers the held bytes when its fault ends. Otherwise
	// its connections are reset.
	deliverHeld bool
}

func (ft fault) String() string {
	return fmt.Sprintf("%s %s for %s, target %d %s%s, delivers held bytes %t", ft.start.Round(time.Millisecond), ft.kind, ft.duration.Round(time.Millisecond), ft.target, ft.link, ft.replica, ft.deliverHeld)
}

const (
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 350 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// seriesProbability is the share of faults that come as a series of up to
	// maxSeriesLength faults, at most maxSeriesGap apart.
	seriesProbability = 0.3
	maxSeriesLength   = 4
	maxSeriesGap      = 400 * time.Millisecond
)

// meanForeignInterval is the mean time between two faultForeignEntry.
const meanForeignInterval = 2 * time.Second

// planForeignEntries draws the faults of kind faultForeignEntry, which like
// faultPeersUnreachable was added after seeds had been fixed.
func planForeignEntries(random *rand.Rand, within time.Duration) []fault {
	var all []fault
	for range 1 + int(within/meanForeignInterval) {
		all = append(all, fault{
			kind: faultForeignEntry, start: time.Duration(random.Int64N(int64(within))),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration))), target: random.IntN(1 << 20),
		})
	}
	return all
}

// planRestore draws the fault of kind faultStoreRestored, which like faultPeersUnreachable was
// added after seeds had been fixed.
func planRestore(random *rand.Rand, within time.Duration) []fault {
	return []fault{{
		kind: faultStoreRestored, start: time.Duration(random.Int64N(int64(within))),
		duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration))),
	}}
}

// meanUnreachableInterval is the mean time between two faultPeersUnreachable.
const meanUnreachableInterval = 4 * time.Second

// planUnreachablePeers draws the faults of kind faultPeersUnreachable. They are drawn
// separately because this kind was added after seeds had been fixed: drawn with the other
// kinds, it would change the plans of those seeds.
func planUnreachablePeers(random *rand.Rand, within time.Duration) []fault {
	var all []fault
	for range 1 + int(within/meanUnreachableInterval) {
		all = append(all, fault{
			kind:     faultPeersUnreachable,
			start:    time.Duration(random.Int64N(int64(within))),
			duration: maxFaultDuration,
			target:   random.IntN(1 << 20),
		})
	}
	return all
}

// planFaults draws single and repeated faults over the given time; faults may overlap.
func planFaults(random *rand.Rand, within time.Duration) []fault {
	var all []fault
	for len(all) < int(within/meanFaultInterval) {
		ft := fault{
			kind:        faultKinds[random.IntN(len(faultKinds))],
			start:       time.Duration(random.Int64N(int64(within))),
			duration:    minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			target:      random.IntN(1 << 20),
			link:        linkFaults[random.IntN(len(linkFaults))],
			replica:     replicaFaults[random.IntN(len(replicaFaults))],
			deliverHeld: random.IntN(2) == 0,
		}
		times := 1
		if random.Float64() < seriesProbability {
			times += random.IntN(maxSeriesLength)
		}
		for range times {
			all = append(all, ft)
			ft.start += time.Duration(random.Int64N(int64(maxSeriesGap)))
			ft.target += random.IntN(2)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].start < all[j].start })
	return all
}
