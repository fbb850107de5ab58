// Package goosedispatch holds the dispatcher of a pool. It queues permit requests,
// binds each to a replica only when the replica's limits leave room for it, and
// counts what runs there. A Manager runs the dispatchers of one instance.
package goosedispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooselimit"
)

// Holders asks instances about the permits they hold.
type Holders interface {
	// Collect asks the known instances that are not in replied which permits of the pool
	// they hold, and sends them the epoch: they drop grants of older ones. onReplies is
	// called once with the replies of live instances and once with those of the others;
	// the second call may come as late as ctx ends. complete is set if every known
	// instance has replied.
	Collect(ctx context.Context, p goose.Pool, e goose.Epoch, replied map[goose.InstanceID]bool, onReplies func([]goose.HolderState)) (complete bool)
	// HeldPermits returns which of the permits the instance still holds, and the
	// incarnation that replied. An error means that the instance did not reply.
	HeldPermits(ctx context.Context, i goose.InstanceID, p goose.Pool, ids []goose.PermitID) (HeldReply, error)
	// Liveness returns the instance's incarnation and the time of its last heartbeat.
	Liveness(i goose.InstanceID) (incarnation int64, lastHeard time.Time, known bool)
}

// Dependencies are the settings and dependencies of a Pool. Suspects, Holders and
// Log may be nil.
type Dependencies struct {
	Pool          goose.Pool
	Self          goose.InstanceID
	Incarnation   int64
	Epoch         goose.Epoch
	Configuration goose.ConfigurationSource
	// Protocol returns the client of a protocol; nil if there is none.
	Protocol func(name string) goose.Protocol
	Suspects goose.SuspectTracker
	// Authority is called before each grant; it must not block.
	Authority  func(now time.Time) Authority
	Holders    Holders
	Policy     goose.RoutingPolicy
	Discipline goose.QueueDiscipline
	// LongPrefillBound bounds the replicas with long prefills; nil is half of the pool.
	LongPrefillBound goose.LongPrefillBound
	Clock            goose.Clock
	Log              *slog.Logger
	// Handover is the state of the former dispatcher; nil if it left none.
	Handover *Handover
	// LeaseTTL is the TTL of pool leases; zero means 3 s.
	LeaseTTL time.Duration
	// Commands records commands and limits model loads to the rate of the weight store;
	// without it every command is refused.
	Commands goose.CommandLog
}

// meanLoadPolicy is a policy that bounds the load of a replica by the mean over the
// usable ones.
type meanLoadPolicy interface{ SetMeanTokens(mean float64) }

// dispatcherCount numbers the dispatchers of one process: an instance can dispatch a
// pool twice with one epoch, as lease holder and later as caretaker.
var dispatcherCount atomic.Int64

// Pool is the dispatcher of one pool. One mutex guards its state.
type Pool struct {
	deps    Dependencies
	service goose.ServiceSpec

	mu                   sync.Mutex
	mode                 goose.DispatchMode
	resigned             bool
	configurationVersion int64
	replicas             map[goose.ReplicaID]*replica
	// configuredReplicas are the configured replicas by name.
	configuredReplicas  []*replica
	eligibleByWorkspace map[goose.WorkspaceName]*eligibleSet
	eligibleByHash      map[uint64]*eligibleSet
	waiting             map[goose.RequestID]*waiter
	permits             map[goose.PermitID]*activePermit
	// permitsByRequest holds the permits for requests that poll again.
	permitsByRequest map[goose.RequestID]*activePermit
	pins             map[goose.Fingerprint]*pin
	// released holds recently ended permits, so that a late collect or a repeated
	// report does not count them again.
	released     tombstones
	sequence     int64
	loadEstimate loadEstimate
	takeover     takeover
	// collectedSince is the start of the last collect round that each instance has
	// replied with all its permits.
	collectedSince map[goose.InstanceID]time.Time
	// allCollectedSince is a time after which every known instance has reported all
	// its permits.
	allCollectedSince time.Time
	// lastCollectAt is when the last collect round began.
	lastCollectAt  time.Time
	reservation    reservation
	placement      placement
	failedSearches map[searchKey]int
	// searchOnly restricts the current search to some replicas; nil is all.
	searchOnly []*replica
	// meanLoadSet is set once the policy has got the mean load in this search.
	meanLoadSet  bool
	longPrefills int
	// usableReplicas is the number of usable replicas at the last attempt to grant.
	usableReplicas int
	// sharesApplied is set while the limits of replicas may be bounded by shares.
	sharesApplied bool
	startedAt     time.Time
	// holdersCheckedAt is when the holders of permits were last checked.
	holdersCheckedAt time.Time
	// lastContact is the time of the last poll, report or reply of each instance.
	lastContact map[goose.InstanceID]time.Time
	// permitIDPrefix makes permit ids unique in the fleet.
	permitIDPrefix string
	// restartCollect starts a collect round at once.
	restartCollect chan struct{}
}

// waiter is one request in the queue.
type waiter struct {
	request   goose.PermitRequest
	weight    float64
	arrivedAt time.Time
	deadline  time.Time
	// polledAt is when the last poll arrived; it is used while no poll is open.
	polledAt time.Time
	polls    []chan goose.PermitReply
}

// New returns a dispatcher. It grants nothing to cold replicas before Run has
// finished the takeover.
func New(d Dependencies) *Pool {
	if d.Log == nil {
		d.Log = slog.New(slog.DiscardHandler)
	}
	if d.Clock == nil {
		d.Clock = goose.SystemClock{}
	}
	if d.LongPrefillBound == nil {
		d.LongPrefillBound = gooselimit.HalfBound{}
	}
	if d.LeaseTTL <= 0 {
		d.LeaseTTL = defaultLeaseTTL
	}
	now := d.Clock.Now()
	p := &Pool{
		deps:                 d,
		configurationVersion: -1,
		mode:                 goose.ModeStopped,
		replicas:             map[goose.ReplicaID]*replica{},
		waiting:              map[goose.RequestID]*waiter{},
		permits:              map[goose.PermitID]*activePermit{},
		permitsByRequest:     map[goose.RequestID]*activePermit{},
		pins:                 map[goose.Fingerprint]*pin{},
		released:             newTombstones(),
		failedSearches:       map[searchKey]int{},
		lastContact:          map[goose.InstanceID]time.Time{},
		collectedSince:       map[goose.InstanceID]time.Time{},
		startedAt:            now,
		permitIDPrefix:       fmt.Sprintf("%s-%x-%x-%x-", d.Self, d.Incarnation, int64(d.Epoch), dispatcherCount.Add(1)),
		restartCollect:       make(chan struct{}, 1),
	}
	p.takeover = newTakeover(now)
	p.applyConfiguration(now)
	p.applyHandover(now)
	return p
}

// Acquire implements goose.Dispatcher.
func (p *Pool) Acquire(ctx context.Context, r goose.PermitRequest) goose.PermitReply {
	now := p.deps.Clock.Now()
	ch, reply, done := p.beginPoll(now, r)
	if done {
		return reply
	}
	timer := time.NewTimer(goose.PollWait)
	defer timer.Stop()
	select {
	case reply := <-ch:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.endPoll(r.Request, ch)
}

// beginPoll admits a new request, or adds a poll to one that waits already. It
// returns a reply and true if the poll gets it at once.
func (p *Pool) beginPoll(now time.Time, r goose.PermitRequest) (chan goose.PermitReply, goose.PermitReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyConfiguration(now)
	if p.resigned || p.authority(now).Mode == goose.ModeStopped {
		return nil, goose.PermitReply{Status: goose.PermitNotDispatcher}, true
	}
	p.lastContact[r.Instance] = now
	if g, ok := p.permitsByRequest[r.Request]; ok {
		g.polledAt = now
		return nil, goose.PermitReply{Status: goose.PermitGranted, Permit: g.permit}, true
	}
	w, ok := p.waiting[r.Request]
	if !ok {
		if refusal, refused := p.admit(now, r); refused {
			return nil, refusedReply(refusal), true
		}
		w = p.enqueue(now, r)
	}
	ch := make(chan goose.PermitReply, 1)
	w.polls, w.polledAt = append(w.polls, ch), now
	p.grantRequest(now, w)
	return ch, goose.PermitReply{}, false
}

func refusedReply(r goose.Refusal) goose.PermitReply {
	return goose.PermitReply{Status: goose.PermitRefused, Refusal: r}
}

func (p *Pool) enqueue(now time.Time, r goose.PermitRequest) *waiter {
	if r.Suspicion == goose.SuspicionOnTrial {
		// The trial runs in this pool, or the request would have been refused. Its
		// end is recorded in this instance and not in the request.
		r.Suspicion = goose.SuspicionSuspect
	}
	w := &waiter{request: r, weight: 1, arrivedAt: now, deadline: now.Add(r.TimeLeft), polledAt: now}
	if s, ok := p.deps.Configuration.Current().Workspace(r.Workspace); ok {
		w.weight = s.Weight
	}
	p.waiting[r.Request] = w
	p.deps.Discipline.Push(goose.QueueItem{Request: r, Weight: w.weight, Arrived: w.arrivedAt, Deadline: w.deadline})
	return w
}

// endPoll ends one poll. It returns the reply if one arrived before the end.
func (p *Pool) endPoll(id goose.RequestID, ch chan goose.PermitReply) goose.PermitReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case reply := <-ch:
		return reply
	default:
	}
	w, ok := p.waiting[id]
	if !ok {
		return goose.PermitReply{Status: goose.PermitWaiting}
	}
	for i := range w.polls {
		if w.polls[i] == ch {
			w.polls = append(w.polls[:i], w.polls[i+1:]...)
			break
		}
	}
	return goose.PermitReply{Status: goose.PermitWaiting}
}

// Abandon implements goose.Dispatcher.
func (p *Pool) Abandon(id goose.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.waiting[id]; ok {
		p.deps.Discipline.Remove(id)
		p.replyToPolls(w, goose.PermitReply{Status: goose.PermitWaiting})
	}
}

// replyToPolls ends the wait of a request that is no longer in the queue, and
// replies to its open polls.
func (p *Pool) replyToPolls(w *waiter, reply goose.PermitReply) {
	delete(p.waiting, w.request.Request)
	for _, ch := range w.polls {
		ch <- reply
	}
	w.polls = nil
	p.reservation.drop(w.request.Request)
}

// refuseWaiting removes a waiting request from the queue and refuses it.
func (p *Pool) refuseWaiting(w *waiter, r goose.Refusal) {
	p.deps.Discipline.Remove(w.request.Request)
	p.replyToPolls(w, refusedReply(r))
}

// authority returns what may be granted now. It records a change of the mode.
func (p *Pool) authority(now time.Time) Authority {
	a := p.deps.Authority(now)
	if a.Mode != p.mode {
		p.changeMode(a.Mode)
	}
	return a
}

func (p *Pool) nextPermitID() goose.PermitID {
	p.sequence++
	return goose.PermitID(fmt.Sprintf("%s%x", p.permitIDPrefix, p.sequence))
}

// Mode returns the mode in which the pool is dispatched now.
func (p *Pool) Mode() goose.DispatchMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.authority(p.deps.Clock.Now()).Mode
}

// Epoch returns the fencing token of the dispatcher.
func (p *Pool) Epoch() goose.Epoch { return p.deps.Epoch }

// redirectWaiting replies to every waiting request that this instance does not dispatch
// the pool.
func (p *Pool) redirectWaiting() {
	for id, w := range p.waiting {
		p.deps.Discipline.Remove(id)
		p.replyToPolls(w, goose.PermitReply{Status: goose.PermitNotDispatcher})
	}
}
