// Package goosepermit implements the client side of the permit protocol: a Holder polls
// the dispatcher of a pool for permits, keeps a table of the permits that it holds, and
// repeats its reports until a dispatcher has acknowledged them.
package goosepermit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

const (
	// dispatcherWait is the longest wait for a pool to get a dispatcher: the sum of the
	// lease TTL, the failure timeout and the start-up time of the successor.
	dispatcherWait = 6 * time.Second
	// pollSlack is the time added to PollWait for the reply to arrive.
	pollSlack = 500 * time.Millisecond
	// retryDelay is the pause after a poll without a reply.
	retryDelay = 50 * time.Millisecond
	// retryAfterNoDispatcher is the retry delay suggested to clients of a pool without a
	// dispatcher.
	retryAfterNoDispatcher = 2 * time.Second
)

// LocalDispatchers looks up the dispatchers that run on this instance.
type LocalDispatchers interface {
	Dispatcher(goose.Pool) (goose.Dispatcher, bool)
}

// Options configures a Holder. Local, Clock and Log may be nil.
type Options struct {
	Self       goose.InstanceID
	Membership goose.Membership
	PeerClient goose.PeerClient
	Local      LocalDispatchers
	Clock      goose.Clock
	Log        *slog.Logger
}

// Holder implements goose.PermitClient.
type Holder struct {
	opts Options

	mu   sync.Mutex
	held map[goose.PermitID]*heldPermit
	// minEpoch is the oldest epoch of each pool whose grants are accepted.
	minEpoch map[goose.Pool]goose.Epoch
	// released is the set of released permits. Until the dispatcher has received the
	// release, it replies to the next poll of the same request, a retry, with the released
	// permit.
	released map[goose.PermitID]bool
	// acknowledged are the released permits whose release the dispatcher has acknowledged,
	// in order. A poll reply with such a permit that was sent before the acknowledgement
	// can still arrive.
	acknowledged []acknowledgedRelease
	// warmEvidence is the evidence of warm replicas in each pool.
	warmEvidence map[goose.Pool]map[goose.ReplicaID]replicaWarmEvidence
	// senders deliver the reports, one sender for each pool.
	senders map[goose.Pool]*sender

	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// heldPermit is a held permit with its request.
type heldPermit struct {
	permit  goose.Permit
	request goose.PermitRequest
	// started is set once the request has started.
	started bool
	// deadline is the deadline of the request.
	deadline time.Time
}

// acknowledgedRelease is a released permit and the time at which its release was acknowledged.
type acknowledgedRelease struct {
	id goose.PermitID
	at time.Time
}

// replicaWarmEvidence is the last successful response of a replica at its full limits, which
// proves that the replica is warm.
type replicaWarmEvidence struct {
	process string
	at      time.Time
}

// New returns a Holder. Close stops its background goroutines.
func New(o Options) *Holder {
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{
		opts:         o,
		held:         map[goose.PermitID]*heldPermit{},
		minEpoch:     map[goose.Pool]goose.Epoch{},
		released:     map[goose.PermitID]bool{},
		warmEvidence: map[goose.Pool]map[goose.ReplicaID]replicaWarmEvidence{},
		senders:      map[goose.Pool]*sender{},
		ctx:          ctx,
		cancel:       cancel,
	}
}

// Acquire implements goose.PermitClient.
func (h *Holder) Acquire(ctx context.Context, r goose.PermitRequest) (*goose.Permit, *goose.Refusal) {
	r.Instance = h.opts.Self
	deadline := h.opts.Clock.Now().Add(r.TimeLeft)
	var absentSince time.Time
	for {
		now := h.opts.Clock.Now()
		r.TimeLeft = deadline.Sub(now)
		if r.TimeLeft <= 0 || ctx.Err() != nil {
			h.abandon(r)
			return nil, refusal(goose.NotRunRefusal(goose.CodeDeadline, "no permit before the deadline").
				WithRetryAfter(goose.RetryAfterDefault))
		}
		reply, replied := h.poll(ctx, r)
		switch {
		case !replied || reply.Status == goose.PermitNotDispatcher:
			if absentSince.IsZero() {
				absentSince = now
			}
			if h.opts.Clock.Now().Sub(absentSince) >= dispatcherWait {
				h.abandon(r)
				return nil, refusal(goose.NotRunRefusal(goose.CodeNotReady, "pool "+r.Pool.String()+" has no dispatcher").
					WithReason("no-dispatcher").WithRetryAfter(retryAfterNoDispatcher))
			}
			goose.Sleep(ctx, min(retryDelay, r.TimeLeft))
			continue
		case reply.Status == goose.PermitRefused:
			return nil, &reply.Refusal
		case reply.Status == goose.PermitGranted:
			if p, ok := h.accept(r, reply.Permit, now, deadline); ok {
				return p, nil
			}
			goose.Sleep(ctx, retryDelay)
		}
		absentSince = time.Time{}
	}
}

func refusal(r goose.Refusal) *goose.Refusal { return &r }

// poll sends one poll to the pool's dispatcher. It returns false if no dispatcher is known
// or no reply arrived in time.
func (h *Holder) poll(ctx context.Context, r goose.PermitRequest) (goose.PermitReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, min(goose.PollWait+pollSlack, r.TimeLeft))
	defer cancel()
	if d, ok := h.localDispatcher(r.Pool); ok {
		return d.Acquire(ctx, r), true
	}
	m, ok := h.opts.Membership.Dispatcher(r.Pool)
	if !ok || m.Instance == h.opts.Self {
		return goose.PermitReply{}, false
	}
	var reply goose.PermitReply
	if err := h.opts.PeerClient.Call(ctx, m.Address, goosedispatch.KindAcquire, r, &reply); err != nil {
		return goose.PermitReply{}, false
	}
	return reply, true
}

// localDispatcher returns the dispatcher of a pool if it runs on this instance.
func (h *Holder) localDispatcher(p goose.Pool) (goose.Dispatcher, bool) {
	if h.opts.Local == nil {
		return nil, false
	}
	return h.opts.Local.Dispatcher(p)
}

// accept adds a granted permit to the table of held permits. It rejects grants of a fenced
// epoch, permits that were already released, and permits that expired before their reply
// arrived. The next poll gets an expired permit again with a new lifetime.
func (h *Holder) accept(r goose.PermitRequest, p goose.Permit, sent, deadline time.Time) (*goose.Permit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Epoch < h.minEpoch[r.Pool] || h.released[p.ID] {
		return nil, false
	}
	p.Expires = sent.Add(goose.PermitLifetime)
	if !p.Valid(h.opts.Clock.Now()) {
		return nil, false
	}
	h.held[p.ID] = &heldPermit{permit: p, request: r, deadline: deadline}
	return &p, true
}

// abandon notifies the dispatcher that the request no longer waits for a permit. A lost call
// is not repeated because the dispatcher removes requests that are no longer polled from its
// queue.
func (h *Holder) abandon(r goose.PermitRequest) {
	if d, ok := h.localDispatcher(r.Pool); ok {
		d.Abandon(r.Request)
		return
	}
	m, ok := h.opts.Membership.Dispatcher(r.Pool)
	if !ok || m.Instance == h.opts.Self {
		return
	}
	h.group.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, goose.PollWait)
		defer cancel()
		request := goosedispatch.AbandonRequest{Pool: r.Pool, Request: r.Request}
		_ = h.opts.PeerClient.Call(ctx, m.Address, goosedispatch.KindAbandon, request, &struct{}{})
	})
}

// HolderState implements goose.PermitClient.
func (h *Holder) HolderState(p goose.Pool) goose.HolderState {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Clock.Now()
	state := goose.HolderState{Instance: h.opts.Self}
	for _, entry := range h.held {
		if entry.permit.Pool == p {
			request := entry.request
			// The prefix hashes of a prompt of a million tokens take tens of kilobytes.
			request.TimeLeft, request.PrefixHashes = entry.deadline.Sub(now), nil
			state.Held = append(state.Held, goose.HeldPermit{Permit: entry.permit, Request: request, Started: entry.started})
		}
	}
	for id, e := range h.warmEvidence[p] {
		state.Warm = append(state.Warm, goose.WarmEvidence{Replica: id, Process: e.process, Age: now.Sub(e.at)})
	}
	return state
}

// Fence rejects all further grants of epochs before e.
func (h *Holder) Fence(p goose.Pool, e goose.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minEpoch[p] = max(h.minEpoch[p], e)
}

// HeldPermits returns those of the permits that this instance holds.
func (h *Holder) HeldPermits(_ goose.Pool, ids []goose.PermitID) []goose.PermitID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []goose.PermitID
	for _, id := range ids {
		if _, ok := h.held[id]; ok {
			out = append(out, id)
		}
	}
	return out
}
