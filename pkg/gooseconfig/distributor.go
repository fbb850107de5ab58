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

// Times of the distribution. A change is in force everywhere within 7 s even when
// the watch or the relay of a data centre fails, because every instance also polls
// the head.
const (
	tickInterval = 500 * time.Millisecond
	// pollInterval is the mean time between two polls of an instance. 330 instances
	// cause 66 reads of the head a second.
	pollInterval = 5 * time.Second
	// pollsPerFullRead is the number of polls of which one reads the head even if its
	// revision has not increased: after a restore from a backup, the store
	// continues from a lower revision.
	pollsPerFullRead = 12
	// memberDiscoveryTime is how long a starting instance waits for heartbeats before
	// it fetches a version from a member, so that it knows the newest version.
	memberDiscoveryTime = time.Second
	offerTimeout        = 2 * time.Second
	loadTimeout         = 5 * time.Second
	// offerFanout is the number of members to which the relay offers a version. Each
	// of them forwards the offer to a share of the other members. A change of one
	// section among 10,000 workspaces takes 10 to 20 KB per member, which 24
	// members together must not fetch from one relay.
	offerFanout = 4
)

// DistributorOptions holds the dependencies. All are required.
type DistributorOptions struct {
	Repository *Repository
	Source     *Source
	Members    goose.Membership
	PeerClient goose.PeerClient
	Logger     *slog.Logger
}

// Distributor keeps a Source up to date, from the store or, while the store is
// unavailable, from peers. The relay of a data centre is its live instance with
// the lowest name: it watches the store and offers new versions to the others.
type Distributor struct {
	DistributorOptions
	// offers queues at most one offer of a peer for fetchLoop.
	offers chan peerOffer
	// rejected is the last head that failed its checks. It is not loaded again.
	rejected         atomic.Pointer[Head]
	storeUnavailable atomic.Bool
	// headRevision is the store revision at which the head in force was last read. It
	// is zero if the next read must return the head whatever its revision.
	headRevision atomic.Int64
	started      time.Time
	// forwarding counts the goroutines that forward offers. fetchLoop does not wait
	// for them.
	forwarding conc.WaitGroup
}

// NewDistributor starts no goroutine and registers no handler; see Run and Register.
func NewDistributor(o DistributorOptions) *Distributor {
	return &Distributor{DistributorOptions: o, offers: make(chan peerOffer, 1)}
}

// Run keeps the source up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	d.started = time.Now()
	var wg conc.WaitGroup
	wg.Go(func() { d.watchLoop(ctx) })
	wg.Go(func() { d.pollLoop(ctx) })
	wg.Go(func() { d.fetchLoop(ctx) })
	wg.Go(func() { d.offerLoop(ctx) })
	wg.Wait()
	d.forwarding.Wait()
}

// watchLoop watches the head in the store while this instance is the relay of its
// data centre.
func (d *Distributor) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if d.isRelay() {
			err := d.watchHead(ctx)
			if ctx.Err() != nil {
				return
			}
			d.recordStoreResult(err)
		}
		goose.Sleep(ctx, jitter(tickInterval))
	}
}

// isRelay reports whether this instance is the live instance with the lowest name
// in its data centre.
func (d *Distributor) isRelay() bool {
	self := d.Members.Self()
	for _, m := range d.Members.Members() {
		if m.DataCentre == self.DataCentre && m.Live && m.Instance < self.Instance {
			return false
		}
	}
	return true
}

// watchHead adopts new heads until the watch fails or another instance becomes the
// relay.
func (d *Distributor) watchHead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := d.Repository.headKey()
	entries, revision, err := d.Repository.store.List(ctx, key, 1)
	if err != nil {
		return err
	}
	d.recordStoreResult(nil)
	for _, e := range entries {
		d.adoptHead(ctx, e.Value)
	}
	w, err := d.Repository.store.Watch(ctx, key, revision+1)
	if err != nil {
		return err
	}
	defer w.Close()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case e, ok := <-w.Events():
			if !ok {
				return w.Err()
			}
			if !e.Deleted {
				d.adoptHead(ctx, e.Entry.Value)
			}
		case <-t.C:
			if !d.isRelay() {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pollLoop reads the head at intervals, in case the relay cannot reach the store
// or this instance.
func (d *Distributor) pollLoop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%pollsPerFullRead == 0 {
			d.headRevision.Store(0)
		}
		_ = d.Refresh(ctx)
		pause := pollInterval
		if d.Source.Current().Version() == 0 {
			pause = tickInterval
		}
		goose.Sleep(ctx, jitter(pause))
	}
}

// Refresh reads the head if its revision has increased, and puts it in force if
// its version is newer.
func (d *Distributor) Refresh(ctx context.Context) error {
	e, ok, err := d.Repository.store.GetAfter(ctx, d.Repository.headKey(), d.headRevision.Load())
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.recordStoreResult(err)
	if ok && d.adoptHead(ctx, e.Value) {
		d.headRevision.Store(e.ModRevision)
	}
	return err
}

// recordStoreResult logs when the store becomes unavailable and when it is
// available again.
func (d *Distributor) recordStoreResult(err error) {
	unavailable := errors.Is(err, goose.ErrUnavailable) || errors.Is(err, goose.ErrOutcomeUnknown)
	if d.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	if unavailable {
		gooseevent.ConfigurationStoreLost.Log(d.Logger, slog.Any("error", err))
		return
	}
	gooseevent.ConfigurationStoreBack.Log(d.Logger)
}

// adoptHead puts a head that was read from the store in force if it is newer. It
// reports whether its version is in force now; if not, the head must be read again.
func (d *Distributor) adoptHead(ctx context.Context, data []byte) bool {
	h, err := decodeHead(data)
	if err != nil {
		d.reject(h, err)
		return false
	}
	current := d.Source.Snapshot()
	if h.Version < current.Version() {
		d.reject(h, errors.Errorf("the store has version %d, older than version %d in force", h.Version, current.Version()))
		return false
	}
	if h.Version == current.Version() || d.wasRejected(h) {
		return h.Version == current.Version()
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	s, err := d.Repository.LoadHead(ctx, h, current)
	if errors.Is(err, ErrSectionMissing) {
		s, err = d.Repository.Load(ctx, current)
	}
	d.handleLoadResult(h, s, err)
	return d.Source.Current().Version() == h.Version
}

// handleLoadResult adopts a loaded snapshot, or handles the error of the load.
func (d *Distributor) handleLoadResult(h Head, s *Snapshot, err error) {
	switch {
	case errors.Is(err, goose.ErrUnavailable), errors.Is(err, goose.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		d.recordStoreResult(err)
	case errors.Is(err, ErrSectionMissing):
		// The store has a newer head, which the watch or the next poll finds.
	case err != nil:
		d.reject(h, err)
	case d.Source.Adopt(s):
		gooseevent.ConfigurationInForce.Log(d.Logger, slog.Int64("version", s.Version()),
			slog.String("author", s.Head().Author), slog.String("change", s.Head().ChangeID))
	}
}

// reject logs that a version is not adopted, once per version.
func (d *Distributor) reject(h Head, err error) {
	if d.wasRejected(h) {
		return
	}
	d.rejected.Store(&h)
	gooseevent.ConfigurationRejected.Log(d.Logger, slog.Int64("version", h.Version), slog.Any("error", err))
}

func (d *Distributor) wasRejected(h Head) bool {
	last := d.rejected.Load()
	return last != nil && last.Version == h.Version && last.ChangeID == h.ChangeID
}

// offerLoop offers each version in force, from the store or from a peer, while
// this instance is the relay of its data centre. It does not run in watchLoop,
// because the watch must not wait for peers that do not reply.
func (d *Distributor) offerLoop(ctx context.Context) {
	for {
		current, changed := d.Source.WatchCurrent()
		if current.Version() > 0 && d.isRelay() {
			d.offerToMembers(ctx, current.Version())
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// offerToMembers offers the version in force to the live instances of the data centre
// that do not have it yet. An instance that misses the offer reads the version in the
// next heartbeat of this one.
func (d *Distributor) offerToMembers(ctx context.Context, version int64) {
	members := d.membersBehind(version)
	p := pool.New().WithMaxGoroutines(offerFanout)
	for first := range min(offerFanout, len(members)) {
		p.Go(func() {
			// The first member that replies forwards the offer to the rest of its share.
			for i := first; i < len(members); i += offerFanout {
				o := offerRequest{Version: version}
				for next := i + offerFanout; next < len(members); next += offerFanout {
					o.Forward = append(o.Forward, members[next].Instance)
				}
				if d.offerTo(ctx, members[i], o) == nil {
					return
				}
			}
		})
	}
	p.Wait()
}

// membersBehind returns the other live members of the data centre that are not known
// to have the version.
func (d *Distributor) membersBehind(version int64) []goose.Member {
	self := d.Members.Self()
	var members []goose.Member
	for _, m := range d.Members.Members() {
		if m.DataCentre == self.DataCentre && m.Instance != self.Instance && m.Live && m.Version < version {
			members = append(members, m)
		}
	}
	return members
}

func (d *Distributor) offerTo(ctx context.Context, m goose.Member, o offerRequest) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var reply offerReply
	return d.PeerClient.Call(ctx, m.Address, KindOffer, o, &reply)
}

// forwardOffer offers the version to the members that the offer lists.
func (d *Distributor) forwardOffer(ctx context.Context, o offerRequest) {
	p := pool.New().WithMaxGoroutines(offerFanout)
	for _, m := range d.membersBehind(o.Version) {
		if slices.Contains(o.Forward, m.Instance) {
			p.Go(func() { _ = d.offerTo(ctx, m, offerRequest{Version: o.Version}) })
		}
	}
	p.Wait()
}

// jitter returns a random time around d, so that the instances of a fleet do not
// make their calls at the same moments.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
