// Package goosedispatch holds the dispatcher of a pool: it queues permit
// requests, binds them late to replicas within the replicas' limits, and keeps
// the count of what runs there. A Manager runs the pools of one instance.
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
	// Collect asks the known instances that are not in answered what they hold for
	// the pool, and tells them the epoch: they drop grants of older ones. got is
	// called once with the answers of live instances and once with those of the
	// others, for which it may take until ctx ends. complete tells whether every
	// known instance has answered.
	Collect(ctx context.Context, p goose.Pool, e goose.Epoch, answered map[goose.InstanceID]bool, got func([]goose.Collected)) (complete bool)
	// Held returns which of the permits the instance still holds, and the
	// incarnation that answered. An error means that it did not answer.
	Held(ctx context.Context, i goose.InstanceID, p goose.Pool, ids []goose.PermitID) (HeldReply, error)
	// Alive returns the instance's incarnation and when it was last heard from.
	Alive(i goose.InstanceID) (incarnation int64, heard time.Time, known bool)
}

// Dependencies are what a Pool works with. Suspects, Holders and Log may be nil.
type Dependencies struct {
	Pool          goose.Pool
	Self          goose.InstanceID
	Incarnation   int64
	Epoch         goose.Epoch
	Configuration goose.ConfigurationSource
	// Protocol returns the client of a protocol; nil if there is none.
	Protocol func(name string) goose.Protocol
	Suspects goose.Suspects
	// Authority is asked before each grant; it must not block.
	Authority  func(now time.Time) Authority
	Holders    Holders
	Policy     goose.Policy
	Discipline goose.Discipline
	// LongBound bounds long prefills; nil is half of the pool.
	LongBound goose.LongBound
	Clock     goose.Clock
	Log       *slog.Logger
	// Handover is the state of the former dispatcher; nil if it left none.
	Handover *Handover
	// LeaseTTL is the TTL of pool leases; zero means 3 s.
	LeaseTTL time.Duration
	// Commands records commands and limits loads to the rate of the weight store;
	// without it every command is refused.
	Commands goose.CommandLog
}

// meanPolicy is a policy that bounds load by the mean over the usable replicas.
type meanPolicy interface{ SetMeanTokens(mean float64) }

// starts tells the dispatchers of one process apart: an instance can dispatch a
// pool twice with one epoch, as holder of the lease and later as caretaker.
var starts atomic.Int64

// Pool is the dispatcher of one pool. One mutex owns its state.
type Pool struct {
	d       Dependencies
	service goose.ServiceSpec

	mu       sync.Mutex
	mode     goose.DispatchMode
	resigned bool
	version  int64
	replicas map[goose.ReplicaID]*replica
	// order are the configured replicas by name.
	order     []*replica
	eligibles map[goose.WorkspaceName]*eligible
	sets      map[uint64]*eligible
	waiting   map[goose.RequestID]*waiter
	permits   map[goose.PermitID]*permit
	// granted finds the permit of a request that polls again.
	granted map[goose.RequestID]*permit
	pins    map[goose.Fingerprint]*pin
	// released remembers ended permits, so that a late collect or a repeated
	// report does not bring them back.
	released tombstones
	sequence int64
	load     loadEstimate
	takeover takeover
	// told is when the last question was sent that an instance answered with all
	// its permits.
	told map[goose.InstanceID]time.Time
	// toldAll is a time since which every known instance has told them.
	toldAll time.Time
	// collectedAt is when the last round of questions began.
	collectedAt time.Time
	earmark     earmark
	choice      choice
	memo        map[memoKey]int
	// only limits the present search to some replicas; nil is all.
	only []*replica
	// meanKnown is set once the policy knows the mean load of this search.
	meanKnown bool
	poolLongs int
	// usables is the number of usable replicas when the pool last might grant.
	usables int
	// shared is set while replicas may have less than their whole limits.
	shared    bool
	startedAt time.Time
	// watched is when the holders of permits were last looked at.
	watched time.Time
	// contacts are the times of the last poll or report of each instance.
	contacts map[goose.InstanceID]time.Time
	// prefix makes permit ids unique in the fleet.
	prefix string
	// recollect restarts the collecting of permits.
	recollect chan struct{}
}

// waiter is one request in the queue.
type waiter struct {
	request  goose.PermitRequest
	weight   float64
	arrived  time.Time
	deadline time.Time
	// polled is when the last poll arrived; it counts while no poll is open.
	polled time.Time
	polls  []chan goose.PermitAnswer
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
	if d.LongBound == nil {
		d.LongBound = gooselimit.Half{}
	}
	if d.LeaseTTL <= 0 {
		d.LeaseTTL = defaultLeaseTTL
	}
	now := d.Clock.Now()
	p := &Pool{
		d:         d,
		version:   -1,
		mode:      goose.ModeStopped,
		replicas:  map[goose.ReplicaID]*replica{},
		waiting:   map[goose.RequestID]*waiter{},
		permits:   map[goose.PermitID]*permit{},
		granted:   map[goose.RequestID]*permit{},
		pins:      map[goose.Fingerprint]*pin{},
		released:  newTombstones(),
		memo:      map[memoKey]int{},
		contacts:  map[goose.InstanceID]time.Time{},
		told:      map[goose.InstanceID]time.Time{},
		startedAt: now,
		prefix:    fmt.Sprintf("%s-%x-%x-%x-", d.Self, d.Incarnation, int64(d.Epoch), starts.Add(1)),
		recollect: make(chan struct{}, 1),
	}
	p.takeover = newTakeover(now)
	p.refresh(now)
	p.applyHandover(now)
	return p
}

// Acquire implements goose.Dispatcher.
func (p *Pool) Acquire(ctx context.Context, r goose.PermitRequest) goose.PermitAnswer {
	now := p.d.Clock.Now()
	ch, answer, done := p.enter(now, r)
	if done {
		return answer
	}
	timer := time.NewTimer(goose.PollWait)
	defer timer.Stop()
	select {
	case a := <-ch:
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.leave(r.Request, ch)
}

// enter admits the request or joins its poll to the waiting one.
func (p *Pool) enter(now time.Time, r goose.PermitRequest) (chan goose.PermitAnswer, goose.PermitAnswer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	if p.resigned || p.authority(now).Mode == goose.ModeStopped {
		return nil, goose.PermitAnswer{Status: goose.PermitElsewhere}, true
	}
	p.contacts[r.Instance] = now
	if g, ok := p.granted[r.Request]; ok {
		g.polled = now
		return nil, goose.PermitAnswer{Status: goose.PermitGranted, Permit: g.permit}, true
	}
	w, ok := p.waiting[r.Request]
	if !ok {
		if refusal, refused := p.admit(now, r); refused {
			return nil, refuse(refusal), true
		}
		w = p.push(now, r)
	}
	ch := make(chan goose.PermitAnswer, 1)
	w.polls, w.polled = append(w.polls, ch), now
	p.pumpRequest(now, w)
	return ch, goose.PermitAnswer{}, false
}

func refuse(r goose.Refusal) goose.PermitAnswer {
	return goose.PermitAnswer{Status: goose.PermitRefused, Refusal: r}
}

func (p *Pool) push(now time.Time, r goose.PermitRequest) *waiter {
	if r.Suspicion == goose.SuspicionOnTrial {
		// The trial is this pool's own, or the request would have been refused; its
		// end is noted here and not in the request.
		r.Suspicion = goose.SuspicionSuspect
	}
	w := &waiter{request: r, weight: 1, arrived: now, deadline: now.Add(r.TimeLeft), polled: now}
	if s, ok := p.d.Configuration.Current().Workspace(r.Workspace); ok {
		w.weight = s.Weight
	}
	p.waiting[r.Request] = w
	p.d.Discipline.Push(goose.QueueItem{Request: r, Weight: w.weight, Arrived: w.arrived, Deadline: w.deadline})
	return w
}

// leave ends one poll. An answer that came meanwhile is returned.
func (p *Pool) leave(id goose.RequestID, ch chan goose.PermitAnswer) goose.PermitAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case a := <-ch:
		return a
	default:
	}
	w, ok := p.waiting[id]
	if !ok {
		return goose.PermitAnswer{Status: goose.PermitWaiting}
	}
	for i := range w.polls {
		if w.polls[i] == ch {
			w.polls = append(w.polls[:i], w.polls[i+1:]...)
			break
		}
	}
	return goose.PermitAnswer{Status: goose.PermitWaiting}
}

// Abandon implements goose.Dispatcher.
func (p *Pool) Abandon(id goose.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.waiting[id]; ok {
		p.d.Discipline.Remove(id)
		p.answer(w, goose.PermitAnswer{Status: goose.PermitWaiting})
	}
}

// answer ends the wait of a request that is no longer in the queue.
func (p *Pool) answer(w *waiter, a goose.PermitAnswer) {
	delete(p.waiting, w.request.Request)
	for _, ch := range w.polls {
		ch <- a
	}
	w.polls = nil
	p.earmark.drop(w.request.Request)
}

// refuseWaiting takes a waiting request out of the queue with a refusal.
func (p *Pool) refuseWaiting(w *waiter, r goose.Refusal) {
	p.d.Discipline.Remove(w.request.Request)
	p.answer(w, refuse(r))
}

// authority returns what may be granted at this moment.
func (p *Pool) authority(now time.Time) Authority {
	a := p.d.Authority(now)
	if a.Mode != p.mode {
		p.modeChanged(a.Mode)
	}
	return a
}

func (p *Pool) nextID() goose.PermitID {
	p.sequence++
	return goose.PermitID(fmt.Sprintf("%s%x", p.prefix, p.sequence))
}

// Mode returns the mode at the last decision.
func (p *Pool) Mode() goose.DispatchMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.authority(p.d.Clock.Now()).Mode
}

// Epoch returns the fencing token of the dispatcher.
func (p *Pool) Epoch() goose.Epoch { return p.d.Epoch }

// stopWaiting sends every waiting request elsewhere.
func (p *Pool) stopWaiting() {
	for id, w := range p.waiting {
		p.d.Discipline.Remove(id)
		p.answer(w, goose.PermitAnswer{Status: goose.PermitElsewhere})
	}
}
