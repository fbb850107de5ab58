package goosepermit

import (
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// progressDelay is the longest delay of a report that a request has started or that the
// first token of a short request has arrived. The report must arrive within 4 s of the poll
// because the dispatcher then queries the holder about permits that are not known to have
// started. At the design target, half of these reports are sent within a second, together
// with the release of another request.
const progressDelay = 2 * time.Second

// limitsPrefills reports whether the dispatcher limits the concurrent prefills of a class,
// so that the end of a prefill frees capacity.
func limitsPrefills(c goose.LengthClass) bool { return c == goose.ClassLong || c == goose.ClassGiant }

// enqueueDeferred enqueues a report that frees no capacity and sends it within progressDelay. A
// delay or loss of such a report never makes the dispatcher free capacity too early.
func (h *Holder) enqueueDeferred(r goose.PermitReport) {
	s := h.sender(r.Pool)
	s.removeDeferred(r.Permit)
	s.deferred = append(s.deferred, r)
	if s.flushScheduled {
		return
	}
	s.flushScheduled = true
	h.group.Go(func() {
		goose.Sleep(h.ctx, progressDelay)
		h.mu.Lock()
		defer h.mu.Unlock()
		s.flushScheduled = false
		if len(s.deferred) > 0 {
			h.startSender(s)
		}
	})
}

// removeDeferred removes the deferred report of a permit when there is a newer one.
func (s *sender) removeDeferred(id goose.PermitID) {
	s.deferred = slices.DeleteFunc(s.deferred, func(r goose.PermitReport) bool { return r.Permit == id })
}

// moveDeferredToPending moves the deferred reports to the pending ones, which the next call
// carries.
func (s *sender) moveDeferredToPending() {
	s.pending = append(s.pending, s.deferred...)
	s.deferred = nil
}

// flushDeferred starts the senders that have deferred reports.
func (h *Holder) flushDeferred() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.senders {
		if len(s.deferred) > 0 {
			h.startSender(s)
		}
	}
}
