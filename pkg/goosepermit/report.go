package goosepermit

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

const (
	// reportBatch bounds the reports of one call.
	reportBatch = 256
	// reportTimeout bounds one call.
	reportTimeout = time.Second
	// reportRetry is the pause before reports are sent again.
	reportRetry = 200 * time.Millisecond
	// drainPoll is the time between two looks at what is left to deliver.
	drainPoll = 20 * time.Millisecond
)

// sender delivers the reports of one pool in order. It runs while there are
// reports; a dispatcher that does not acknowledge them gets them again, and
// after a takeover its successor does.
type sender struct {
	pool    goose.Pool
	pending []goose.PermitReport
	// later are reports that free no capacity, at most one of each permit. They
	// join the next call of the pool or wait for progressDelay.
	later   []goose.PermitReport
	running bool
	// timed is set while a flush of later is due.
	timed bool
}

// Started implements goose.Permits.
func (h *Holder) Started(p goose.Permit) { h.progress(p, goose.PhaseStarted) }

// Prefilled notes that the first token came, so that the replica may take
// another long prefill.
func (h *Holder) Prefilled(p goose.Permit) { h.progress(p, goose.PhasePrefilled) }

func (h *Holder) progress(p goose.Permit, phase goose.ReportPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.held[p.ID]
	if !ok {
		return
	}
	x.started = true
	r := goose.PermitReport{Permit: p.ID, Pool: p.Pool, Instance: h.o.Self, Phase: phase}
	if phase == goose.PhasePrefilled && countsPrefill(x.request.Class) {
		h.send(r)
		return
	}
	h.sendLater(r)
}

// Release implements goose.Permits. A second release of a permit is ignored.
func (h *Holder) Release(r goose.PermitReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.held[r.Permit]
	if !ok {
		return
	}
	delete(h.held, r.Permit)
	h.released[r.Permit] = true
	r.Pool, r.Instance, r.Phase = x.permit.Pool, h.o.Self, goose.PhaseReleased
	if r.Replica == "" && len(x.permit.Replicas) > 0 {
		r.Replica = x.permit.Replicas[len(x.permit.Replicas)-1].Replica
	}
	h.noteWarmth(x.permit, r)
	h.send(r)
}

// noteWarmth keeps the last answer of a replica at full limits as evidence for
// a new dispatcher, and drops it when the replica was seen cold or broken.
func (h *Holder) noteWarmth(p goose.Permit, r goose.PermitReport) {
	if r.Outcome == goose.OutcomeNotSent || r.Outcome == goose.OutcomeCancelled {
		return
	}
	if r.Outcome != goose.OutcomeFinished || r.Cold {
		delete(h.warm[p.Pool], r.Replica)
		return
	}
	for _, g := range p.Replicas {
		if g.Replica != r.Replica || !g.Warm || r.Process == "" {
			continue
		}
		if h.warm[p.Pool] == nil {
			h.warm[p.Pool] = map[goose.ReplicaID]evidence{}
		}
		h.warm[p.Pool][r.Replica] = evidence{process: r.Process, at: h.o.Clock.Now()}
	}
}

// send queues a report that frees capacity and starts the pool's sender if it
// is idle.
func (h *Holder) send(r goose.PermitReport) {
	s := h.sender(r.Pool)
	s.supersede(r.Permit)
	s.pending = append(s.pending, r)
	h.run(s)
}

func (h *Holder) sender(p goose.Pool) *sender {
	s := h.senders[p]
	if s == nil {
		s = &sender{pool: p}
		h.senders[p] = s
	}
	return s
}

func (h *Holder) run(s *sender) {
	if !s.running {
		s.running = true
		h.group.Go(func() { h.deliver(s) })
	}
}

// deliver sends pending reports until none is left or the holder is closed.
func (h *Holder) deliver(s *sender) {
	for {
		h.mu.Lock()
		s.join()
		n := min(len(s.pending), reportBatch)
		if n == 0 || h.ctx.Err() != nil {
			s.running = false
			h.mu.Unlock()
			return
		}
		batch := append([]goose.PermitReport(nil), s.pending[:n]...)
		h.mu.Unlock()
		if !h.deliverBatch(s.pool, batch) {
			goose.Sleep(h.ctx, reportRetry)
			continue
		}
		h.mu.Lock()
		s.pending = append([]goose.PermitReport(nil), s.pending[n:]...)
		h.acknowledge(batch)
		h.mu.Unlock()
	}
}

// acknowledge forgets released permits after the longest time that an answer
// with them can be under way.
func (h *Holder) acknowledge(batch []goose.PermitReport) {
	now := h.o.Clock.Now()
	for _, r := range batch {
		if r.Phase == goose.PhaseReleased {
			h.acknowledged = append(h.acknowledged, acknowledged{id: r.Permit, at: now})
		}
	}
	for len(h.acknowledged) > 0 && now.Sub(h.acknowledged[0].at) > goose.PollWait+pollSlack {
		delete(h.released, h.acknowledged[0].id)
		h.acknowledged = h.acknowledged[1:]
	}
}

func (h *Holder) deliverBatch(p goose.Pool, batch []goose.PermitReport) bool {
	if d, ok := h.local(p); ok {
		return applyAll(d, batch)
	}
	m, ok := h.o.Membership.Dispatcher(p)
	if !ok || m.Instance == h.o.Self {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, reportTimeout)
	defer cancel()
	var reply goosedispatch.ReportReply
	request := goosedispatch.ReportRequest{Pool: p, Reports: batch}
	err := h.o.Caller.Call(ctx, m.Address, goosedispatch.KindReport, request, &reply)
	return err == nil && reply.Accepted
}

// Close waits until all reports are acknowledged or ctx ends, and stops.
func (h *Holder) Close(ctx context.Context) {
	h.flush()
	for ctx.Err() == nil && h.pending() > 0 {
		goose.Sleep(ctx, drainPoll)
	}
	h.cancel()
	h.group.Wait()
}

func (h *Holder) pending() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.senders {
		n += len(s.pending) + len(s.later)
	}
	return n
}

// applier is a dispatcher that tells whether it took a report.
type applier interface {
	Apply(goose.PermitReport) bool
}

func applyAll(d goose.Dispatcher, batch []goose.PermitReport) bool {
	a, ok := d.(applier)
	for _, r := range batch {
		if !ok {
			d.Report(r)
		} else if !a.Apply(r) {
			return false
		}
	}
	return true
}
