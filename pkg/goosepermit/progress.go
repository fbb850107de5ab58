package goosepermit

import (
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// progressDelay is the longest wait of a report that a request has started or,
// of a short one, that its first token came. The dispatcher asks about a permit
// of which it knows no start 4 s after its poll, so that the report must come
// before. At the design target half of them leave with the release of another
// request within a second.
const progressDelay = 2 * time.Second

// countsPrefill reports whether the dispatcher limits the prefills of a class, so
// that the end of one frees capacity.
func countsPrefill(c goose.Class) bool { return c == goose.ClassLong || c == goose.ClassGiant }

// sendLater queues a report that frees nothing, so that its delay or loss never
// makes the dispatcher free capacity early.
func (h *Holder) sendLater(r goose.PermitReport) {
	s := h.sender(r.Pool)
	s.supersede(r.Permit)
	s.later = append(s.later, r)
	if s.timed {
		return
	}
	s.timed = true
	h.group.Go(func() {
		goose.Sleep(h.ctx, progressDelay)
		h.mu.Lock()
		defer h.mu.Unlock()
		s.timed = false
		if len(s.later) > 0 {
			h.run(s)
		}
	})
}

// supersede drops the waiting report of a permit of which a newer one is known.
func (s *sender) supersede(id goose.PermitID) {
	s.later = slices.DeleteFunc(s.later, func(r goose.PermitReport) bool { return r.Permit == id })
}

// join moves the waiting reports to those that the next call carries.
func (s *sender) join() {
	s.pending = append(s.pending, s.later...)
	s.later = nil
}

// flush starts the senders of waiting reports.
func (h *Holder) flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.senders {
		if len(s.later) > 0 {
			h.run(s)
		}
	}
}
