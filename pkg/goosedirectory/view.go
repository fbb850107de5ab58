package goosedirectory

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const (
	// behindMargin is how much longer than a pause of the watches peers may have a newer
	// revision before the watch counts as stalled.
	behindMargin = 400 * time.Millisecond
	// minRestartInterval is the least time between two restarts of the watches because of
	// peers.
	minRestartInterval = 3 * time.Second
)

// errRestart is the cause that cancels a watch which may be stalled.
var errRestart = errors.New("the watch may be stalled")

// StoreView is an instance's view of the store, which it sends to its peers.
type StoreView struct {
	// ReachableFor is for how long every call has succeeded, or zero if the last call failed.
	ReachableFor time.Duration `cbor:"1,keyasint,omitempty"`
	// RecoveredFor is for how long every call has succeeded since the last failure, or zero if
	// none has failed yet.
	RecoveredFor time.Duration `cbor:"2,keyasint,omitempty"`
	// Revision is the newest revision that was read.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// Era is the newest era of the store that is known, and that of the revision. Instances that
	// do not know eras send none, which is era 0.
	Era goose.StoreEra `cbor:"4,keyasint,omitempty"`
}

// View returns this instance's view of the store.
func (f *Follower) View(now time.Time) StoreView {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := StoreView{Era: f.o.Era.Current(), ReachableFor: f.reachableFor(now)}
	if f.revision.Era == v.Era {
		v.Revision = f.revision.Revision
	}
	if f.recovered {
		v.RecoveredFor = v.ReachableFor
	}
	return v
}

// RestartWatches cancels the watches and reads the store again. It is called when a
// call outside of the watches has failed, because a watch that was waiting when the
// store became unavailable may never get a response.
func (f *Follower) RestartWatches(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatches(err)
}

// ObservePeer compares a peer's view with that of this instance. It restarts the watches if
// peers have had a newer revision for some time, or if the peer detected a failure of the
// store and recover while the watches were waiting.
func (f *Follower) ObservePeer(peer StoreView) {
	f.o.Era.ObservePeer(peer.Era)
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordPeerRevision(goose.StoreRevision{Era: peer.Era, Revision: peer.Revision})
	if f.peerRevision.After(f.revision) && f.behindSince.IsZero() {
		f.behindSince = now
	}
	behind := !f.behindSince.IsZero() && now.Sub(f.behindSince) > f.o.WatchPause+behindMargin
	outage := peer.RecoveredFor > 0 && now.Add(-peer.RecoveredFor).After(f.lastProgress)
	if (behind || outage) && now.Sub(f.lastRestart) > minRestartInterval {
		f.lastRestart, f.behindSince = now, time.Time{}
		f.cancelWatches(errRestart)
		gooseevent.WatchRenewed.Log(f.o.Log, slog.Bool("behind", behind), slog.Bool("outage", outage),
			slog.Int64("revision", f.revision.Revision), slog.Int64("peer-revision", f.peerRevision.Revision), slog.Duration("peer-found", peer.RecoveredFor))
	}
}

// recordPeerRevision keeps the newest revision of the peers in the era of this instance. A peer
// that has noticed a rollback earlier or later has revisions that say nothing about this watch.
func (f *Follower) recordPeerRevision(peer goose.StoreRevision) {
	if peer.Era == f.revision.Era && peer.After(f.peerRevision) {
		f.peerRevision = peer
	}
}

func (f *Follower) cancelWatches(cause error) {
	for _, cancel := range f.cancelWatch {
		cancel(cause)
	}
}
