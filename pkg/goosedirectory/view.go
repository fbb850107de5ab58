package goosedirectory

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
)

const (
	// behindAfter is how long peers may know a newer revision before the watch counts as
	// silent: they learn of changes up to a second apart.
	behindAfter = 1200 * time.Millisecond
	// renewPause is the time between two watches that are begun anew because of peers.
	renewPause = 3 * time.Second
)

// errRenew ends a watch that may have gone silent.
var errRenew = errors.New("the watch may be silent")

// View is what an instance knows of the store, as it tells its peers.
type View struct {
	// Reach is for how long every call has succeeded; zero if the last one failed.
	Reach time.Duration `cbor:"1,keyasint,omitempty"`
	// Found is since when the store answers again after a failure; zero if none was seen.
	Found time.Duration `cbor:"2,keyasint,omitempty"`
	// Revision is the newest one that was read.
	Revision int64 `cbor:"3,keyasint,omitempty"`
}

// View returns what this instance knows of the store.
func (f *Follower) View(now time.Time) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{Revision: f.revision, Reach: f.reach(now)}
	if f.found {
		v.Found = v.Reach
	}
	return v
}

// Suspect reads the store again after a call outside of the watches has failed: a watch
// that waits when the store goes away may never be answered.
func (f *Follower) Suspect(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWatches(err)
}

// Heard compares what a peer knows. The watches begin anew if the peer has had a newer
// revision for some time, or has lost the store and found it again while they were waiting.
func (f *Follower) Heard(peer View) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = max(f.newest, peer.Revision)
	if f.newest > f.revision && f.ahead.IsZero() {
		f.ahead = now
	}
	behind := !f.ahead.IsZero() && now.Sub(f.ahead) > behindAfter
	outage := peer.Found > 0 && now.Add(-peer.Found).After(f.heard)
	if (behind || outage) && now.Sub(f.renewed) > renewPause {
		f.renewed, f.ahead = now, time.Time{}
		f.endWatches(errRenew)
		gooseevent.WatchRenewed.Log(f.o.Log, slog.Bool("behind", behind), slog.Bool("outage", outage),
			slog.Int64("revision", f.revision), slog.Int64("peer-revision", f.newest), slog.Duration("peer-found", peer.Found))
	}
}

func (f *Follower) endWatches(cause error) {
	for _, end := range f.watches {
		end(cause)
	}
}
