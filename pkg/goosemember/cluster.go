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
	// callTimeout is below FailureTimeout, so that a slow call is not mistaken
	// for several lost heartbeats.
	callTimeout = 900 * time.Millisecond
)

// heartbeat goes to every member of the own data centre. Instances that know
// neither Hash nor Known send and get the whole state each time.
type heartbeat struct {
	// Member is the sender's state. It is left out once the receiver has it:
	// states seldom change and took 2.4 of the 4.1 KB/s of CBOR that an instance
	// of 25 sends without load.
	Member *goose.Member `cbor:"1,keyasint,omitempty"`
	// Digests are sent by the relay of the data centre alone.
	Digests []digestState `cbor:"2,keyasint,omitempty"`
	// Unheard tells that the sender misses the receiver's answers, which then
	// does not count this exchange as a heartbeat of its own.
	Unheard bool `cbor:"3,keyasint,omitempty"`
	// Hash names the sender's state.
	Hash uint64 `cbor:"4,keyasint,omitempty"`
	// Known names the receiver's state that the sender has; zero if it has none.
	Known uint64 `cbor:"5,keyasint,omitempty"`
}

type heartbeatAnswer struct {
	// Member is the state of the member that answers, unless Unchanged is set.
	Member *goose.Member `cbor:"1,keyasint,omitempty"`
	// Has tells that the state of the heartbeat is known. If it is not, the
	// heartbeat has no effect and must be repeated with the state.
	Has bool `cbor:"2,keyasint,omitempty"`
	// Unchanged tells that the state is still the one that the heartbeat names
	// in Known.
	Unchanged bool `cbor:"3,keyasint,omitempty"`
}

// digestState names the digest of a data centre by its hash.
type digestState struct {
	DataCentre goose.DataCentre `cbor:"1,keyasint"`
	Hash       uint64           `cbor:"2,keyasint"`
	Age        time.Duration    `cbor:"3,keyasint"`
	Versions   versions         `cbor:"4,keyasint"`
}

// fetch asks for the live members of a data centre.
type fetch struct {
	DataCentre goose.DataCentre `cbor:"1,keyasint"`
	// Known is the hash the asker has; an equal digest is not sent again.
	Known uint64 `cbor:"2,keyasint"`
	// Own is the digest of the asking relay's data centre. It is left out while
	// the asker misses answers, so that the other side asks as well.
	Own *digestState `cbor:"3,keyasint,omitempty"`
}

type fetchAnswer struct {
	Hash      uint64         `cbor:"1,keyasint"`
	Unchanged bool           `cbor:"2,keyasint"`
	Members   []goose.Member `cbor:"3,keyasint"`
	// Versions are set if the members are not sent.
	Versions versions `cbor:"4,keyasint"`
}

// ListSource is the platform's lagging list of instances.
type ListSource interface {
	// Instances returns name, data centre, address and leaving of each instance.
	Instances(ctx context.Context) ([]goose.Member, error)
}

// Options are the dependencies of a Cluster.
type Options struct {
	// Self names this instance, its data centre, peer address and incarnation.
	Self   goose.Member
	Caller goose.Caller
	Router goose.Router
	List   ListSource
	// Seeds are peer addresses to try when the list does not answer.
	Seeds []string
	// Version returns the configuration version in force here.
	Version func() int64
	// Pools returns the pools that this instance dispatches.
	Pools   func() []goose.PoolHolding
	Leaving func() bool
	Logger  *slog.Logger
	// Now is time.Now if nil.
	Now func() time.Time
}

// Cluster keeps the view of the fleet up to date.
type Cluster struct {
	o     Options
	table *table
	// listFailing is true while the list does not answer and seeds are used.
	listFailing atomic.Bool
	liveBefore  map[goose.InstanceID]bool
}

// New returns a cluster that knows only itself, and sets its peer handlers.
func New(o Options) *Cluster {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Cluster{
		o:          o,
		table:      newTable(o.Self, o.Now),
		liveBefore: map[goose.InstanceID]bool{},
	}
	o.Router.Handle(kindHeartbeat, c.serveHeartbeat)
	o.Router.Handle(kindDigest, c.serveDigest)
	o.Router.Handle(kindFetch, c.serveFetch)
	return c
}

// Run exchanges heartbeats and digests until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { every(ctx, listInterval, c.readList) })
	tasks.Go(func() { every(ctx, HeartbeatInterval, c.beat) })
	tasks.Go(func() { every(ctx, DigestInterval, c.exchangeDigests) })
	tasks.Wait()
}

func every(ctx context.Context, d time.Duration, f func(context.Context)) {
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

func (c *Cluster) self() goose.Member {
	m := c.o.Self
	m.Version = c.o.Version()
	m.Pools = c.o.Pools()
	m.Leaving = c.o.Leaving()
	return m
}

// refresh publishes a new view and logs members that came or went.
func (c *Cluster) refresh() {
	c.table.publish(c.self())
	live := map[goose.InstanceID]bool{}
	for _, m := range c.Members() {
		live[m.Instance] = m.Live
		if before, known := c.liveBefore[m.Instance]; m.Live != before {
			event := gooseevent.MemberSilent
			if m.Live {
				event = gooseevent.MemberLive
			}
			if known || m.Live {
				event.Log(c.o.Logger, "member", string(m.Instance), "member-data-centre", string(m.DataCentre))
			}
		}
	}
	c.liveBefore = live
}

func (c *Cluster) readList(ctx context.Context) {
	if c.o.List == nil {
		c.listFailing.Store(true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members, err := c.o.List.Instances(ctx)
	c.listFailing.Store(err != nil)
	if err != nil {
		c.o.Logger.Debug("instance list does not answer", "error", err)
		return
	}
	c.table.list(members)
}

// beat sends a heartbeat to every member of the data centre that has not been
// told this instance's state since the last beat. An answer tells as much as a
// heartbeat, so a pair of members needs one exchange per interval.
func (c *Cluster) beat(ctx context.Context) {
	c.refresh()
	self := c.self()
	hb := heartbeat{Member: &self, Hash: stateHash(self)}
	if c.Relay(c.o.Self.DataCentre) == c.o.Self.Instance {
		hb.Digests = c.table.digestHashes()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, t := range c.heartbeatTargets() {
		// A relay's heartbeat also carries digests, which answers do not.
		if len(hb.Digests) == 0 && c.table.toldLately(t.instance) {
			continue
		}
		to := hb
		to.Unheard = c.table.unheard(t.instance)
		calls.Go(func() { c.sendHeartbeat(ctx, t, to) })
	}
	calls.Wait()
	c.refresh()
}

// heartbeatTarget is a member, or a seed, whose name is not known.
type heartbeatTarget struct {
	instance goose.InstanceID
	address  string
}

// heartbeatTargets returns the addresses of the data centre's other members, and
// the seeds while the list fails and nobody else is known.
func (c *Cluster) heartbeatTargets() []heartbeatTarget {
	var targets []heartbeatTarget
	known := 0
	for _, m := range c.Members() {
		if m.Instance == c.o.Self.Instance {
			continue
		}
		known++
		if m.DataCentre == c.o.Self.DataCentre {
			targets = append(targets, heartbeatTarget{m.Instance, m.Address})
		}
	}
	if known == 0 || c.listFailing.Load() {
		targets = append(targets, c.unknownSeeds()...)
	}
	return targets
}

func (c *Cluster) unknownSeeds() []heartbeatTarget {
	skip := map[string]bool{c.o.Self.Address: true}
	for _, m := range c.Members() {
		skip[m.Address] = true
	}
	var seeds []heartbeatTarget
	for _, s := range c.o.Seeds {
		if !skip[s] {
			seeds = append(seeds, heartbeatTarget{address: s})
		}
	}
	return seeds
}

func (c *Cluster) sendHeartbeat(ctx context.Context, to heartbeatTarget, hb heartbeat) {
	full := hb.Member
	var has uint64
	has, hb.Known = c.table.states(to.instance)
	if has == hb.Hash {
		hb.Member = nil
	}
	// The time of sending counts, so that the next beat is due even if the
	// answer takes long.
	sent := c.o.Now()
	answer, err := c.exchange(ctx, to, hb)
	if err == nil && !answer.Has && hb.Member == nil {
		// The member has restarted or dropped what it knew.
		hb.Member = full
		answer, err = c.exchange(ctx, to, hb)
	}
	if err != nil {
		return
	}
	heard := to.instance
	switch {
	case answer.Member != nil:
		heard = answer.Member.Instance
		c.table.hear(*answer.Member)
	case answer.Unchanged:
		c.table.hearAgain(hb.Known)
	}
	c.table.told(heard, sent)
	if answer.Has {
		c.table.has(heard, hb.Hash)
	}
}

func (c *Cluster) exchange(ctx context.Context, to heartbeatTarget, hb heartbeat) (heartbeatAnswer, error) {
	var answer heartbeatAnswer
	err := c.o.Caller.Call(ctx, to.address, kindHeartbeat, hb, &answer)
	return answer, err
}

func (c *Cluster) serveHeartbeat(ctx context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var hb heartbeat
	if err := decode(&hb); err != nil {
		return nil, err
	}
	self := c.self()
	var from goose.Member
	if hb.Member != nil {
		from = *hb.Member
		c.table.hear(from)
	} else {
		var ok bool
		if from, ok = c.table.hearAgain(hb.Hash); !ok {
			return heartbeatAnswer{Member: &self}, nil
		}
	}
	for _, d := range hb.Digests {
		if !c.table.confirmDigest(d) {
			go c.fetchDigest(context.WithoutCancel(ctx), from.Address, kindFetch, fetch{DataCentre: d.DataCentre})
		}
	}
	if !hb.Unheard {
		c.table.told(from.Instance, c.o.Now())
	}
	if hb.Known != 0 && hb.Known == stateHash(self) {
		return heartbeatAnswer{Has: true, Unchanged: true}, nil
	}
	return heartbeatAnswer{Member: &self, Has: true}, nil
}

// Self returns this instance as last published. It takes no lock, because
// dispatchers call it while they hold their own.
func (c *Cluster) Self() goose.Member { return c.table.view.Load().self }

// Members returns all known members, itself included, ordered by name.
func (c *Cluster) Members() []goose.Member { return c.table.view.Load().members }

// Dispatcher returns the live member that dispatches the pool with the newest epoch.
func (c *Cluster) Dispatcher(p goose.Pool) (goose.Member, bool) {
	m, ok := c.table.view.Load().holders[p]
	return m, ok
}

// Relay returns the lowest-named live instance of a data centre that is not
// leaving; it speaks for the data centre to others and to the store's watch.
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
