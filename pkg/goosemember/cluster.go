package goosemember

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Kinds of peer calls.
const (
	kindHeartbeat = "member-heartbeat"
	kindDigest    = "member-digest"
	kindFetch     = "member-fetch"
)

const (
	listInterval = 2 * time.Second
	// callTimeout is shorter than FailureTimeout, so that a slow call is not
	// mistaken for several lost heartbeats.
	callTimeout = 900 * time.Millisecond
)

// heartbeat is sent to every member of the sender's data centre. Instances whose
// version lacks StateHash and KnownHash send and receive the whole state each
// time.
type heartbeat struct {
	// Member is the sender's state. It is omitted once the receiver has it:
	// states seldom change, and sending them took 2.4 of the 4.1 KB/s of CBOR
	// that each of 25 instances sends without load.
	Member *goose.Member `cbor:"1,keyasint,omitempty"`
	// Digests are sent only by the relay of the data centre.
	Digests []digestSummary `cbor:"2,keyasint,omitempty"`
	// RepliesMissing means that the sender does not get the receiver's replies.
	// The receiver then does not count its reply as a heartbeat of its own.
	RepliesMissing bool `cbor:"3,keyasint,omitempty"`
	// StateHash is the hash of the sender's state.
	StateHash uint64 `cbor:"4,keyasint,omitempty"`
	// KnownHash is the hash of the receiver's state that the sender has; zero if
	// it has none.
	KnownHash uint64 `cbor:"5,keyasint,omitempty"`
}

type heartbeatReply struct {
	// Member is the state of the replying member, unless Unchanged is set.
	Member *goose.Member `cbor:"1,keyasint,omitempty"`
	// StateKnown means that the replying member knows the state that the
	// heartbeat refers to. If it does not, the heartbeat has no effect and must
	// be repeated with the state.
	StateKnown bool `cbor:"2,keyasint,omitempty"`
	// Unchanged means that the hash of the replying member's state is still the
	// heartbeat's KnownHash.
	Unchanged bool `cbor:"3,keyasint,omitempty"`
}

// digestSummary identifies the digest of a data centre by its hash.
type digestSummary struct {
	DataCentre goose.DataCentre `cbor:"1,keyasint"`
	Hash       uint64           `cbor:"2,keyasint"`
	Age        time.Duration    `cbor:"3,keyasint"`
	Versions   versions         `cbor:"4,keyasint"`
}

// fetchRequest requests the live members of a data centre.
type fetchRequest struct {
	DataCentre goose.DataCentre `cbor:"1,keyasint"`
	// KnownHash is the hash of the digest that the requester has; an equal
	// digest is not sent again.
	KnownHash uint64 `cbor:"2,keyasint"`
	// OwnDigest is the digest of the requesting relay's data centre. It is
	// omitted while the requester does not get replies, so that the other side
	// sends requests as well.
	OwnDigest *digestSummary `cbor:"3,keyasint,omitempty"`
}

type fetchReply struct {
	Hash      uint64         `cbor:"1,keyasint"`
	Unchanged bool           `cbor:"2,keyasint"`
	Members   []goose.Member `cbor:"3,keyasint"`
	// Versions is set if the members are omitted.
	Versions versions `cbor:"4,keyasint"`
}

// InstanceLister reads the platform's list of instances, which lags behind.
type InstanceLister interface {
	// Instances returns the name, the data centre and the address of each
	// instance, and whether it is leaving.
	Instances(ctx context.Context) ([]goose.Member, error)
}

// Options are the dependencies of a Cluster.
type Options struct {
	// Self holds the name, data centre, peer address and incarnation of this
	// instance.
	Self           goose.Member
	PeerClient     goose.PeerClient
	PeerRouter     goose.PeerRouter
	InstanceLister InstanceLister
	// Seeds are peer addresses that are tried while the list cannot be read.
	Seeds []string
	// Version returns the configuration version in force on this instance.
	Version func() int64
	// Pools returns the pools that this instance dispatches.
	Pools   func() []goose.DispatchedPool
	Leaving func() bool
	Logger  *slog.Logger
	// Now defaults to time.Now.
	Now func() time.Time
}

// Cluster keeps the view of the fleet up to date.
type Cluster struct {
	opts  Options
	table *table
	// listFailing is true while the list cannot be read and seeds are used.
	listFailing atomic.Bool
	wasLive     map[goose.InstanceID]bool
}

// New returns a cluster that knows only its own instance, and registers the
// handlers of its peer calls.
func New(o Options) *Cluster {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Cluster{
		opts:    o,
		table:   newTable(o.Self, o.Now),
		wasLive: map[goose.InstanceID]bool{},
	}
	o.PeerRouter.Handle(kindHeartbeat, c.serveHeartbeat)
	o.PeerRouter.Handle(kindDigest, c.serveDigest)
	o.PeerRouter.Handle(kindFetch, c.serveFetch)
	return c
}

// Run exchanges heartbeats and digests until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { runEvery(ctx, listInterval, c.updateList) })
	tasks.Go(func() { runEvery(ctx, HeartbeatInterval, c.sendHeartbeats) })
	tasks.Go(func() { runEvery(ctx, DigestInterval, c.exchangeDigests) })
	tasks.Wait()
}

func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cluster) currentSelf() goose.Member {
	m := c.opts.Self
	m.Version = c.opts.Version()
	m.Pools = c.opts.Pools()
	m.Leaving = c.opts.Leaving()
	return m
}

// publishView publishes a new view and logs members that became live or silent.
func (c *Cluster) publishView() {
	c.table.publish(c.currentSelf())
	live := map[goose.InstanceID]bool{}
	for _, m := range c.Members() {
		live[m.Instance] = m.Live
		if before, known := c.wasLive[m.Instance]; m.Live != before {
			event := gooseevent.MemberSilent
			if m.Live {
				event = gooseevent.MemberLive
			}
			if known || m.Live {
				event.Log(c.opts.Logger, "member", string(m.Instance), "member-data-centre", string(m.DataCentre))
			}
		}
	}
	c.wasLive = live
}

func (c *Cluster) updateList(ctx context.Context) {
	if c.opts.InstanceLister == nil {
		c.listFailing.Store(true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members, err := c.opts.InstanceLister.Instances(ctx)
	c.listFailing.Store(err != nil)
	if err != nil {
		c.opts.Logger.Debug("cannot read the instance list", "error", err)
		return
	}
	c.table.applyList(members)
}

// sendHeartbeats sends a heartbeat to every member of the data centre that was
// not sent this instance's state within the last interval. A reply carries as
// much as a heartbeat, so a pair of members needs one exchange per interval.
func (c *Cluster) sendHeartbeats(ctx context.Context) {
	c.publishView()
	self := c.currentSelf()
	hb := heartbeat{Member: &self, StateHash: stateHash(self)}
	if c.Relay(c.opts.Self.DataCentre) == c.opts.Self.Instance {
		hb.Digests = c.table.digestSummaries()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, target := range c.heartbeatTargets() {
		// A relay's heartbeat also carries digests, which replies do not.
		if len(hb.Digests) == 0 && c.table.stateSentRecently(target.instance) {
			continue
		}
		msg := hb
		msg.RepliesMissing = c.table.isSilent(target.instance)
		calls.Go(func() { c.sendHeartbeat(ctx, target, msg) })
	}
	calls.Wait()
	c.publishView()
}

// heartbeatTarget is a member, or a seed, whose instance name is not known.
type heartbeatTarget struct {
	instance goose.InstanceID
	address  string
}

// heartbeatTargets returns the other members of the data centre, and the unknown
// seeds while the list cannot be read or no other member is known.
func (c *Cluster) heartbeatTargets() []heartbeatTarget {
	var targets []heartbeatTarget
	known := 0
	for _, m := range c.Members() {
		if m.Instance == c.opts.Self.Instance {
			continue
		}
		known++
		if m.DataCentre == c.opts.Self.DataCentre {
			targets = append(targets, heartbeatTarget{m.Instance, m.Address})
		}
	}
	if known == 0 || c.listFailing.Load() {
		targets = append(targets, c.unknownSeeds()...)
	}
	return targets
}

func (c *Cluster) unknownSeeds() []heartbeatTarget {
	skip := map[string]bool{c.opts.Self.Address: true}
	for _, m := range c.Members() {
		skip[m.Address] = true
	}
	var seeds []heartbeatTarget
	for _, s := range c.opts.Seeds {
		if !skip[s] {
			seeds = append(seeds, heartbeatTarget{address: s})
		}
	}
	return seeds
}

func (c *Cluster) sendHeartbeat(ctx context.Context, target heartbeatTarget, hb heartbeat) {
	fullState := hb.Member
	var acked uint64
	acked, hb.KnownHash = c.table.stateHashes(target.instance)
	if acked == hb.StateHash {
		hb.Member = nil
	}
	// The exchange counts from the time of sending, so that the next heartbeat is
	// due even if the reply takes long.
	sent := c.opts.Now()
	reply, err := c.callHeartbeat(ctx, target, hb)
	if err == nil && !reply.StateKnown && hb.Member == nil {
		// The member has restarted or dropped this instance's state.
		hb.Member = fullState
		reply, err = c.callHeartbeat(ctx, target, hb)
	}
	if err != nil {
		return
	}
	peer := target.instance
	switch {
	case reply.Member != nil:
		peer = reply.Member.Instance
		c.table.observe(*reply.Member)
	case reply.Unchanged:
		c.table.observeUnchanged(hb.KnownHash)
	}
	c.table.markStateSent(peer, sent)
	if reply.StateKnown {
		c.table.setAckedHash(peer, hb.StateHash)
	}
}

func (c *Cluster) callHeartbeat(ctx context.Context, target heartbeatTarget, hb heartbeat) (heartbeatReply, error) {
	var reply heartbeatReply
	err := c.opts.PeerClient.Call(ctx, target.address, kindHeartbeat, hb, &reply)
	return reply, err
}

func (c *Cluster) serveHeartbeat(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var hb heartbeat
	if err := decode(&hb); err != nil {
		return nil, err
	}
	self := c.currentSelf()
	var sender goose.Member
	if hb.Member != nil {
		sender = *hb.Member
		c.table.observe(sender)
	} else {
		var ok bool
		if sender, ok = c.table.observeUnchanged(hb.StateHash); !ok {
			return heartbeatReply{Member: &self}, nil
		}
	}
	for _, d := range hb.Digests {
		if !c.table.confirmDigest(d) {
			go c.fetchDigest(context.WithoutCancel(ctx), sender.Address, kindFetch, fetchRequest{DataCentre: d.DataCentre})
		}
	}
	if !hb.RepliesMissing {
		c.table.markStateSent(sender.Instance, c.opts.Now())
	}
	if hb.KnownHash != 0 && hb.KnownHash == stateHash(self) {
		return heartbeatReply{StateKnown: true, Unchanged: true}, nil
	}
	return heartbeatReply{Member: &self, StateKnown: true}, nil
}

// Self returns the last published state of this instance. It takes no lock,
// because dispatchers call it while they hold a lock of their own.
func (c *Cluster) Self() goose.Member { return c.table.view.Load().self }

// Members returns all known members, this instance included, ordered by name.
func (c *Cluster) Members() []goose.Member { return c.table.view.Load().members }

// Dispatcher returns the live member that dispatches the pool with the newest
// epoch.
func (c *Cluster) Dispatcher(p goose.Pool) (goose.Member, bool) {
	m, ok := c.table.view.Load().dispatchers[p]
	return m, ok
}

// Relay returns the live instance of a data centre that has the lowest name and
// is not leaving, or a leaving one if there is no other. The relay represents
// its data centre towards other data centres and the store's watch.
func (c *Cluster) Relay(dc goose.DataCentre) goose.InstanceID {
	var leaving goose.InstanceID
	for _, m := range c.Members() {
		if m.DataCentre != dc || !m.Live {
			continue
		}
		if !m.Leaving {
			return m.Instance
		}
		if leaving == "" {
			leaving = m.Instance
		}
	}
	return leaving
}
