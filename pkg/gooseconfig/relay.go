package gooseconfig

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

// Kinds of peer calls.
const (
	KindOffer = "config-offer"
	KindFetch = "config-fetch"
)

// Times of the relay. A change is in force everywhere within 7 s even when the
// watch or the relay fails, because every instance also polls the head.
const (
	relayTick = 500 * time.Millisecond
	// pollEvery is the mean; 330 instances cause 66 reads of the head a second.
	pollEvery = 5 * time.Second
	// wholePolls is the number of polls of which one reads the head even if its
	// revision has not changed: a store that was restored from a backup counts
	// its revisions from a lower one.
	wholePolls = 12
	// settleTime is how long a starting instance listens for members before it
	// takes a version from one, so that it sees the newest.
	settleTime  = time.Second
	callTimeout = 2 * time.Second
	loadTimeout = 5 * time.Second
	// offerers is the number of members that the relay offers a version to, each
	// with a share of the others to pass it on to. A change that touches one
	// section of 10,000 workspaces takes 10 to 20 KB per member, which 24
	// members together must not fetch from one relay.
	offerers = 4
)

// RelayOptions are the dependencies of a Relay; all are needed.
type RelayOptions struct {
	Repository *Repository
	Source     *Source
	Members    goose.Membership
	Caller     goose.PeerClient
	Logger     *slog.Logger
}

// Relay keeps a source up to date: from the store, and from peers when the
// store does not answer. The lowest-named live instance of a data centre
// watches the store and offers new versions to the others.
type Relay struct {
	RelayOptions
	// wake holds the offer of a peer.
	wake chan hint
	// rejected is the last head that failed its checks; it is not tried again.
	rejected  atomic.Pointer[Head]
	storeDown atomic.Bool
	// seen is the revision of the head in force as last read; zero if the next
	// read must not depend on it.
	seen    atomic.Int64
	started time.Time
	// forwards are offers passed on, which the peer loop does not wait for.
	forwards conc.WaitGroup
}

// NewRelay returns a relay that has not started; see Register and Run.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{RelayOptions: o, wake: make(chan hint, 1)}
}

// Run relays until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.started = time.Now()
	var wg conc.WaitGroup
	wg.Go(func() { r.watchLoop(ctx) })
	wg.Go(func() { r.pollLoop(ctx) })
	wg.Go(func() { r.peerLoop(ctx) })
	wg.Go(func() { r.offerLoop(ctx) })
	wg.Wait()
	r.forwards.Wait()
}

// watchLoop watches the store while this instance is the one to do so.
func (r *Relay) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if r.watches() {
			err := r.watch(ctx)
			if ctx.Err() != nil {
				return
			}
			r.storeResult(err)
		}
		goose.Sleep(ctx, jitter(relayTick))
	}
}

// watches reports whether this instance is the lowest-named live one of its
// data centre.
func (r *Relay) watches() bool {
	self := r.Members.Self()
	for _, m := range r.Members.Members() {
		if m.DataCentre == self.DataCentre && m.Live && m.Instance < self.Instance {
			return false
		}
	}
	return true
}

// watch adopts new heads until the watch breaks or another instance takes over.
func (r *Relay) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := r.Repository.headKey()
	entries, revision, err := r.Repository.store.List(ctx, key, 1)
	if err != nil {
		return err
	}
	r.storeResult(nil)
	for _, e := range entries {
		r.head(ctx, e.Value)
	}
	w, err := r.Repository.store.Watch(ctx, key, revision+1)
	if err != nil {
		return err
	}
	defer w.Close()
	t := time.NewTicker(relayTick)
	defer t.Stop()
	for {
		select {
		case e, ok := <-w.Events():
			if !ok {
				return w.Err()
			}
			if !e.Deleted {
				r.head(ctx, e.Entry.Value)
			}
		case <-t.C:
			if !r.watches() {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pollLoop reads the head now and then, for the case that the watching
// instance does not reach the store or this one.
func (r *Relay) pollLoop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%wholePolls == 0 {
			r.seen.Store(0)
		}
		_ = r.Refresh(ctx)
		pause := pollEvery
		if r.Source.Current().Version() == 0 {
			pause = relayTick
		}
		goose.Sleep(ctx, jitter(pause))
	}
}

// Refresh reads the head, if it has changed, and puts it in force if it is newer.
func (r *Relay) Refresh(ctx context.Context) error {
	e, ok, err := r.Repository.store.GetAfter(ctx, r.Repository.headKey(), r.seen.Load())
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.storeResult(err)
	if ok && r.head(ctx, e.Value) {
		r.seen.Store(e.ModRevision)
	}
	return err
}

// storeResult logs when the store is lost and when it comes back.
func (r *Relay) storeResult(err error) {
	down := errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown)
	if r.storeDown.Swap(down) == down {
		return
	}
	if down {
		gooseevent.ConfigurationStoreLost.Log(r.Logger, slog.Any("error", err))
		return
	}
	gooseevent.ConfigurationStoreBack.Log(r.Logger)
}

// head puts a head read from the store in force if it is newer. It reports
// whether that version is in force; a head that is not must be read again.
func (r *Relay) head(ctx context.Context, data []byte) bool {
	h, err := decodeHead(data)
	if err != nil {
		r.reject(h, err)
		return false
	}
	current := r.Source.Snapshot()
	if h.Version < current.Version() {
		r.reject(h, errors.Errorf("the store has version %d, older than version %d in force", h.Version, current.Version()))
		return false
	}
	if h.Version == current.Version() || r.wasRejected(h) {
		return h.Version == current.Version()
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	s, err := r.Repository.LoadHead(ctx, h, current)
	if errors.Is(err, ErrMissing) {
		s, err = r.Repository.Load(ctx, current)
	}
	r.result(h, s, err)
	return r.Source.Current().Version() == h.Version
}

// result adopts a loaded snapshot or logs why there is none.
func (r *Relay) result(h Head, s *Snapshot, err error) {
	switch {
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, goose.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		r.storeResult(err)
	case errors.Is(err, ErrMissing):
		// A newer head is there; the watch or the next poll finds it.
	case err != nil:
		r.reject(h, err)
	case r.Source.Adopt(s):
		gooseevent.ConfigurationInForce.Log(r.Logger, slog.Int64("version", s.Version()),
			slog.String("author", s.Head().Author), slog.String("change", s.Head().ChangeID))
	}
}

// reject logs a version that is not adopted, once.
func (r *Relay) reject(h Head, err error) {
	if r.wasRejected(h) {
		return
	}
	r.rejected.Store(&h)
	gooseevent.ConfigurationRejected.Log(r.Logger, slog.Int64("version", h.Version), slog.Any("error", err))
}

func (r *Relay) wasRejected(h Head) bool {
	old := r.rejected.Load()
	return old != nil && old.Version == h.Version && old.ChangeID == h.ChangeID
}

// offerLoop offers each version in force, wherever it came from, while this
// instance is the one to do so. It runs apart from the watch, which must not
// wait for peers that do not answer.
func (r *Relay) offerLoop(ctx context.Context) {
	for {
		current, changed := r.Source.Changed()
		if current.Version() > 0 && r.watches() {
			r.offer(ctx, current.Version())
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// offer tells the live instances of the data centre about the version in force.
// One that misses the offer sees the version in its next heartbeat.
func (r *Relay) offer(ctx context.Context, version int64) {
	behind := r.behind(version)
	p := pool.New().WithMaxGoroutines(offerers)
	for first := range min(offerers, len(behind)) {
		p.Go(func() {
			// The first that answers takes over the rest of its share.
			for i := first; i < len(behind); i += offerers {
				o := offerRequest{Version: version}
				for next := i + offerers; next < len(behind); next += offerers {
					o.Forward = append(o.Forward, behind[next].Instance)
				}
				if r.offerTo(ctx, behind[i], o) == nil {
					return
				}
			}
		})
	}
	p.Wait()
}

// behind returns the other live members of the data centre that are not known
// to have the version.
func (r *Relay) behind(version int64) []goose.Member {
	self := r.Members.Self()
	var behind []goose.Member
	for _, m := range r.Members.Members() {
		if m.DataCentre == self.DataCentre && m.Instance != self.Instance && m.Live && m.Version < version {
			behind = append(behind, m)
		}
	}
	return behind
}

func (r *Relay) offerTo(ctx context.Context, m goose.Member, o offerRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var a offerAnswer
	return r.Caller.Call(ctx, m.Address, KindOffer, o, &a)
}

// forward passes an offer on to the members that it names.
func (r *Relay) forward(ctx context.Context, o offerRequest) {
	p := pool.New().WithMaxGoroutines(offerers)
	for _, m := range r.behind(o.Version) {
		if slices.Contains(o.Forward, m.Instance) {
			p.Go(func() { _ = r.offerTo(ctx, m, offerRequest{Version: o.Version}) })
		}
	}
	p.Wait()
}

// jitter keeps the instances of a fleet from calling in step.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
