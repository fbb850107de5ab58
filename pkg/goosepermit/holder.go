// Package goosepermit is the holder's side of the permit protocol: it polls the
// dispatcher of a pool, keeps the table of held permits and repeats reports
// until a dispatcher has acknowledged them.
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
	// dispatcherWait is the longest wait for a pool without a dispatcher: lease
	// TTL, failure timeout and the start of the successor.
	dispatcherWait = 6 * time.Second
	// pollSlack is the time beyond PollWait in which an answer must have come.
	pollSlack = 500 * time.Millisecond
	// retryDelay is the pause after a poll without an answer.
	retryDelay = 50 * time.Millisecond
	// retryAfterNoDispatcher is the advice to clients of a pool without a dispatcher.
	retryAfterNoDispatcher = 2 * time.Second
)

// Dispatchers finds the dispatchers of this instance.
type Dispatchers interface {
	Dispatcher(goose.Pool) (goose.Dispatcher, bool)
}

// Options are what a Holder works with. Local, Clock and Log may be nil.
type Options struct {
	Self       goose.InstanceID
	Membership goose.Membership
	Caller     goose.Caller
	Local      Dispatchers
	Clock      goose.Clock
	Log        *slog.Logger
}

// Holder implements goose.Permits.
type Holder struct {
	o Options

	mu    sync.Mutex
	held  map[goose.PermitID]*held
	fence map[goose.Pool]goose.Epoch
	// released are ended permits. A dispatcher that has not heard of the release
	// answers the next poll of the request, a retry, with the ended permit.
	released map[goose.PermitID]bool
	// acknowledged are those whose release the dispatcher knows, in order. An
	// answer that was sent before can still be under way.
	acknowledged []acknowledged
	warm         map[goose.Pool]map[goose.ReplicaID]evidence
	// senders deliver the reports of one pool.
	senders map[goose.Pool]*sender

	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type held struct {
	permit   goose.Permit
	request  goose.PermitRequest
	started  bool
	deadline time.Time
}

type acknowledged struct {
	id goose.PermitID
	at time.Time
}

// evidence is the last good answer of a replica.
type evidence struct {
	process string
	at      time.Time
}

// New returns a holder; Close ends its background work.
func New(o Options) *Holder {
	if o.Clock == nil {
		o.Clock = goose.SystemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{
		o:        o,
		held:     map[goose.PermitID]*held{},
		fence:    map[goose.Pool]goose.Epoch{},
		released: map[goose.PermitID]bool{},
		warm:     map[goose.Pool]map[goose.ReplicaID]evidence{},
		senders:  map[goose.Pool]*sender{},
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Acquire implements goose.Permits.
func (h *Holder) Acquire(ctx context.Context, r goose.PermitRequest) (*goose.Permit, *goose.Refusal) {
	r.Instance = h.o.Self
	deadline := h.o.Clock.Now().Add(r.TimeLeft)
	var absent time.Time
	for {
		now := h.o.Clock.Now()
		r.TimeLeft = deadline.Sub(now)
		if r.TimeLeft <= 0 || ctx.Err() != nil {
			h.abandon(r)
			return nil, refusal(goose.NotRun(goose.CodeDeadline, "no permit before the deadline").
				WithRetryAfter(goose.RetryAfterDefault))
		}
		answer, answered := h.poll(ctx, r)
		switch {
		case !answered || answer.Status == goose.PermitElsewhere:
			if absent.IsZero() {
				absent = now
			}
			if h.o.Clock.Now().Sub(absent) >= dispatcherWait {
				h.abandon(r)
				return nil, refusal(goose.NotRun(goose.CodeNotReady, "pool "+r.Pool.String()+" has no dispatcher").
					WithReason("no-dispatcher").WithRetryAfter(retryAfterNoDispatcher))
			}
			goose.Sleep(ctx, min(retryDelay, r.TimeLeft))
			continue
		case answer.Status == goose.PermitRefused:
			return nil, &answer.Refusal
		case answer.Status == goose.PermitGranted:
			if p, ok := h.take(r, answer.Permit, now, deadline); ok {
				return p, nil
			}
			goose.Sleep(ctx, retryDelay)
		}
		absent = time.Time{}
	}
}

func refusal(r goose.Refusal) *goose.Refusal { return &r }

// poll sends one poll; false if no dispatcher is known or no answer came.
func (h *Holder) poll(ctx context.Context, r goose.PermitRequest) (goose.PermitAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, min(goose.PollWait+pollSlack, r.TimeLeft))
	defer cancel()
	if d, ok := h.local(r.Pool); ok {
		return d.Acquire(ctx, r), true
	}
	m, ok := h.o.Membership.Dispatcher(r.Pool)
	if !ok || m.Instance == h.o.Self {
		return goose.PermitAnswer{}, false
	}
	var a goose.PermitAnswer
	if err := h.o.Caller.Call(ctx, m.Address, goosedispatch.KindAcquire, r, &a); err != nil {
		return goose.PermitAnswer{}, false
	}
	return a, true
}

func (h *Holder) local(p goose.Pool) (goose.Dispatcher, bool) {
	if h.o.Local == nil {
		return nil, false
	}
	return h.o.Local.Dispatcher(p)
}

// take enters a granted permit into the table. It refuses grants of a fenced
// epoch, ended permits, and those whose answer took so long that they have expired; the next
// poll gets the same permit with a new lifetime.
func (h *Holder) take(r goose.PermitRequest, p goose.Permit, sent, deadline time.Time) (*goose.Permit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Epoch < h.fence[r.Pool] || h.released[p.ID] {
		return nil, false
	}
	p.Expires = sent.Add(goose.PermitLifetime)
	if !p.Valid(h.o.Clock.Now()) {
		return nil, false
	}
	h.held[p.ID] = &held{permit: p, request: r, deadline: deadline}
	return &p, true
}

// abandon tells the dispatcher that the request no longer waits. It is not
// repeated: a request that is not polled leaves the queue by itself.
func (h *Holder) abandon(r goose.PermitRequest) {
	if d, ok := h.local(r.Pool); ok {
		d.Abandon(r.Request)
		return
	}
	m, ok := h.o.Membership.Dispatcher(r.Pool)
	if !ok || m.Instance == h.o.Self {
		return
	}
	h.group.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, goose.PollWait)
		defer cancel()
		request := goosedispatch.AbandonRequest{Pool: r.Pool, Request: r.Request}
		_ = h.o.Caller.Call(ctx, m.Address, goosedispatch.KindAbandon, request, &struct{}{})
	})
}

// Collect implements goose.Permits.
func (h *Holder) Collect(p goose.Pool) goose.Collected {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	c := goose.Collected{Instance: h.o.Self}
	for _, x := range h.held {
		if x.permit.Pool == p {
			q := x.request
			// The hashes of a prompt of a million tokens take tens of kilobytes.
			q.TimeLeft, q.Prefix = x.deadline.Sub(now), nil
			c.Held = append(c.Held, goose.HeldPermit{Permit: x.permit, Request: q, Started: x.started})
		}
	}
	for id, e := range h.warm[p] {
		c.Warm = append(c.Warm, goose.Warmth{Replica: id, Process: e.process, Age: now.Sub(e.at)})
	}
	return c
}

// Fence drops later grants of epochs before e.
func (h *Holder) Fence(p goose.Pool, e goose.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence[p] = max(h.fence[p], e)
}

// Held returns which of the permits are held.
func (h *Holder) Held(_ goose.Pool, ids []goose.PermitID) []goose.PermitID {
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
