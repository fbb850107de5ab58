package goosepermit

import (
	"context"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

const (
	// maxReportBatch is the maximum number of reports in one call.
	maxReportBatch = 256
	// reportTimeout is the timeout of one call.
	reportTimeout = time.Second
	// reportRetryDelay is the pause before unacknowledged reports are sent again.
	reportRetryDelay = 200 * time.Millisecond
	// drainPollInterval is the interval at which Close checks for undelivered reports.
	drainPollInterval = 20 * time.Millisecond
)

// sender delivers the reports of one pool in order. It runs while there are reports to
// send. Reports that were not acknowledged are sent again, after a takeover to the
// succeeding dispatcher.
type sender struct {
	pool goose.Pool
	// pending are the reports that the next calls carry.
	pending []goose.PermitReport
	// deferred are the deferred reports, which free no capacity, at most one for each permit.
	// They are sent with the next call of the pool, at the latest after progressDelay.
	deferred []goose.PermitReport
	// running is set while a goroutine delivers the reports.
	running bool
	// flushScheduled is set while a flush of the deferred reports is scheduled.
	flushScheduled bool
}

// ReportStarted implements goose.PermitClient.
func (h *Holder) ReportStarted(p goose.Permit) { h.reportPhase(p, goose.PhaseStarted) }

// ReportPrefilled reports that the first token has arrived, so that the replica may run another
// long prefill.
func (h *Holder) ReportPrefilled(p goose.Permit) { h.reportPhase(p, goose.PhasePrefilled) }

// reportPhase enqueues a report of the phase that a held permit has reached.
func (h *Holder) reportPhase(p goose.Permit, phase goose.ReportPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.held[p.ID]
	if !ok {
		return
	}
	entry.started = true
	r := goose.PermitReport{Permit: p.ID, Pool: p.Pool, Instance: h.opts.Self, Phase: phase}
	if phase == goose.PhasePrefilled && limitsPrefills(entry.request.Class) {
		h.enqueue(r)
		return
	}
	h.enqueueDeferred(r)
}

// Release implements goose.PermitClient. A second release of a permit is ignored.
func (h *Holder) Release(r goose.PermitReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry, ok := h.held[r.Permit]
	if !ok {
		return
	}
	delete(h.held, r.Permit)
	h.released[r.Permit] = true
	r.Pool, r.Instance, r.Phase = entry.permit.Pool, h.opts.Self, goose.PhaseReleased
	if r.Replica == "" && len(entry.permit.Replicas) > 0 {
		r.Replica = entry.permit.Replicas[len(entry.permit.Replicas)-1].Replica
	}
	h.recordWarmEvidence(entry.permit, r)
	h.enqueue(r)
}

// recordWarmEvidence records a successful response of a replica at its full limits
// as evidence of a warm replica for the next dispatcher, and deletes the evidence
// when the replica was cold or its response failed.
func (h *Holder) recordWarmEvidence(p goose.Permit, r goose.PermitReport) {
	if r.Outcome == goose.OutcomeNotSent || r.Outcome == goose.OutcomeCancelled {
		return
	}
	if r.Outcome != goose.OutcomeFinished || r.Cold {
		delete(h.warmEvidence[p.Pool], r.Replica)
		return
	}
	for _, g := range p.Replicas {
		if g.Replica != r.Replica || !g.Warm || r.Process == "" {
			continue
		}
		if h.warmEvidence[p.Pool] == nil {
			h.warmEvidence[p.Pool] = map[goose.ReplicaID]replicaWarmEvidence{}
		}
		h.warmEvidence[p.Pool][r.Replica] = replicaWarmEvidence{process: r.Process, at: h.opts.Clock.Now()}
	}
}

// enqueue enqueues a report that frees capacity and starts the pool's sender if it is idle.
func (h *Holder) enqueue(r goose.PermitReport) {
	s := h.sender(r.Pool)
	s.removeDeferred(r.Permit)
	s.pending = append(s.pending, r)
	h.startSender(s)
}

// sender returns the sender of a pool. It creates the sender if there is none.
func (h *Holder) sender(p goose.Pool) *sender {
	s := h.senders[p]
	if s == nil {
		s = &sender{pool: p}
		h.senders[p] = s
	}
	return s
}

// startSender starts a sender unless it is running.
func (h *Holder) startSender(s *sender) {
	if !s.running {
		s.running = true
		h.group.Go(func() { h.deliver(s) })
	}
}

// deliver sends the pending reports of a pool until none is left or the Holder is closed.
func (h *Holder) deliver(s *sender) {
	for {
		h.mu.Lock()
		s.moveDeferredToPending()
		n := min(len(s.pending), maxReportBatch)
		if n == 0 || h.ctx.Err() != nil {
			s.running = false
			h.mu.Unlock()
			return
		}
		batch := append([]goose.PermitReport(nil), s.pending[:n]...)
		h.mu.Unlock()
		if !h.deliverBatch(s.pool, batch) {
			goose.Sleep(h.ctx, reportRetryDelay)
			continue
		}
		h.mu.Lock()
		s.pending = append([]goose.PermitReport(nil), s.pending[n:]...)
		h.acknowledge(batch)
		h.mu.Unlock()
	}
}

// acknowledge records acknowledged releases, and removes released permits once no poll
// reply with them can arrive any more.
func (h *Holder) acknowledge(batch []goose.PermitReport) {
	now := h.opts.Clock.Now()
	for _, r := range batch {
		if r.Phase == goose.PhaseReleased {
			h.acknowledged = append(h.acknowledged, acknowledgedRelease{id: r.Permit, at: now})
		}
	}
	for len(h.acknowledged) > 0 && now.Sub(h.acknowledged[0].at) > goose.PollWait+pollSlack {
		delete(h.released, h.acknowledged[0].id)
		h.acknowledged = h.acknowledged[1:]
	}
}

// deliverBatch sends reports to the pool's dispatcher and reports whether it has
// acknowledged them.
func (h *Holder) deliverBatch(p goose.Pool, batch []goose.PermitReport) bool {
	if d, ok := h.localDispatcher(p); ok {
		return applyAll(d, batch)
	}
	m, ok := h.opts.Membership.Dispatcher(p)
	if !ok || m.Instance == h.opts.Self {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, reportTimeout)
	defer cancel()
	var reply goosedispatch.ReportReply
	request := goosedispatch.ReportRequest{Pool: p, Reports: batch}
	err := h.opts.PeerClient.Call(ctx, m.Address, goosedispatch.KindReport, request, &reply)
	return err == nil && reply.Accepted
}

// Close waits until all reports are acknowledged or ctx ends, and then stops the Holder.
func (h *Holder) Close(ctx context.Context) {
	h.flushDeferred()
	for ctx.Err() == nil && h.unacknowledged() > 0 {
		goose.Sleep(ctx, drainPollInterval)
	}
	h.cancel()
	h.group.Wait()
}

// unacknowledged returns the number of reports that are not acknowledged.
func (h *Holder) unacknowledged() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.senders {
		n += len(s.pending) + len(s.deferred)
	}
	return n
}

// applier is a dispatcher that reports whether it has accepted a report.
type applier interface {
	ApplyReport(goose.PermitReport) bool
}

// applyAll passes reports to a local dispatcher until it rejects one, and reports whether it
// has accepted all of them.
func applyAll(d goose.Dispatcher, batch []goose.PermitReport) bool {
	a, ok := d.(applier)
	for _, r := range batch {
		if !ok {
			d.Report(r)
		} else if !a.ApplyReport(r) {
			return false
		}
	}
	return true
}
