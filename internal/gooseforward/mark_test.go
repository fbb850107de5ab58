package gooseforward

import (
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseplacement"
)

// Guards against replicas that decline a request because they are full, or a reservation, and
// of which no other request or instance learns; and against marks for other refusals.
func TestDecliningReplicaIsMarked(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// start starts a harness and sends a request.
		start func(t *testing.T) *harness
		want  map[goose.ReplicaID]gooseplacement.MarkKind
	}{
		"full": {start: func(t *testing.T) *harness {
			h := newHarness(t, decline, succeed)
			h.post("/look/x", "body")
			return h
		}, want: map[goose.ReplicaID]gooseplacement.MarkKind{"i-0": gooseplacement.MarkFull}},
		"leaving": {start: func(t *testing.T) *harness {
			h := newHarness(t, leaving(decline), succeed)
			h.post("/look/x", "body")
			return h
		}},
		"another process": {start: func(t *testing.T) *harness {
			h := newHarness(t, misdirect, succeed)
			h.post("/look/x", "body")
			return h
		}},
		"broken": {start: func(t *testing.T) *harness {
			h := newHarness(t, fail, succeed)
			h.post("/look/x", "body")
			return h
		}},
		"no memory": {start: func(t *testing.T) *harness {
			m := newReservations()
			m.refuse = "i-2"
			h := newEngineHarnessOf(t, 5, m, events(1, 2, false))
			h.giant()
			return h
		}, want: map[goose.ReplicaID]gooseplacement.MarkKind{"i-2": gooseplacement.MarkNoMemory}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := tc.start(t)
			if tc.want == nil && h.log.Has(`"event":753`) {
				t.Errorf("got a mark, log %s", h.log.String())
			}
			for id, kind := range tc.want {
				if !h.log.Has(`"event":753,"replica":"` + string(id) + `","started":1,"mark":"` + string(kind) + `"`) {
					t.Errorf("got log %s, want the mark %q of %s", h.log.String(), kind, id)
				}
			}
			if got := len(h.placer.Report(time.Now()).Marks); got > 0 && tc.want == nil {
				t.Errorf("got %d marks in the report, want none", got)
			}
		})
	}
}

// Guards against a mark for the first replica that declines a request because of its helper.
func TestHelperAtFaultIsMarked(t *testing.T) {
	t.Parallel()
	first, helper := make(chan string, 10), make(chan string, 10)
	h := newSlowEngineHarness(t, 3, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Helpers") == "" {
			events(1, 2, false)(w, r)
			return
		}
		first <- r.Header.Get("X-Expect-Instance")
		helper <- r.Header.Get("X-Helpers")
		w.Header().Set("At-Server", r.Header.Get("X-Helpers"))
		decline(w, r)
	})
	r := h.request(t.Context(), "/stream/x", "")
	r.Header.Set("X-Tokens", "250,10")
	h.send(r)
	marks := map[goose.ReplicaID]bool{}
	for _, m := range h.placer.Report(time.Now()).Marks {
		marks[m.Process.Replica] = true
	}
	if id := goose.ReplicaID(<-first); marks[id] {
		t.Errorf("got a mark of the first replica %s", id)
	}
	address := <-helper
	for _, replica := range h.directory.Current().Replicas("desk") {
		if replica.Address == address && !marks[replica.ID] {
			t.Errorf("got marks %v, want that of the helper %s", marks, replica.ID)
		}
	}
}
