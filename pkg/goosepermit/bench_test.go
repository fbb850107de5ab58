package goosepermit

import (
	"testing"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// BenchmarkAcquireRelease measures the overhead of the Holder for one permit of a local
// dispatcher that replies immediately.
func BenchmarkAcquireRelease(b *testing.B) {
	h := New(Options{Self: "i0", Membership: noMembers{}, Local: &slowDispatcher{
		reply: goose.PermitReply{Status: goose.PermitGranted, Permit: goose.Permit{Pool: testPool}},
	}})
	defer h.Close(b.Context())
	r := request()
	b.ReportAllocs()
	for b.Loop() {
		p, _ := h.Acquire(b.Context(), r)
		h.Release(goose.PermitReport{Permit: p.ID, Outcome: goose.OutcomeFinished})
		h.mu.Lock()
		clear(h.released)
		h.mu.Unlock()
	}
}
