package gooseforward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// Parts of prompts in these tests.
const (
	deadlyPart = "dead"
	firstPart  = "5c1e"
	soundPart  = "50fd"
)

// crashOnPart crashes the replica if the prompt has the deadly part, and streams events
// otherwise.
func crashOnPart(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Prompt-Prefix") == prompt(deadlyPart) {
		crash(w, r)
		return
	}
	events(1, 3, false)(w, r)
}

// prompt returns the header for a prompt with a middle part.
func prompt(part string) string { return firstPart + ":40," + part + ":165,77:900" }

// postPrompt sends a request with its own body and the given middle part.
func (h *harness) postPrompt(path, body, part string) callerResponse {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := h.request(ctx, path, body)
	r.Header.Set("X-Prompt-Prefix", prompt(part))
	return h.send(r)
}

// Guards against different requests with one part in common that crash one replica after the
// other, and against refusing sound requests that share the rest of the prompt.
func TestDeadlyPartCrashesFewReplicas(t *testing.T) {
	t.Parallel()
	const replicas, requests, allowed = 12, 10, 4
	for name, path := range map[string]string{"a stream that may be resumed": "/stream/x", "a stream that may run once": "/whole/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var handlers []http.HandlerFunc
			for range replicas {
				handlers = append(handlers, crashOnPart)
			}
			h := newHarness(t, handlers...)
			var last callerResponse
			for n := range requests {
				if got := h.postPrompt(path, fmt.Sprint("sound ", n), soundPart); got.status != http.StatusOK || got.cut {
					t.Errorf("got status %d, cut %t for sound request %d, want 200", got.status, got.cut, n)
				}
				last = h.postPrompt(path, fmt.Sprint("deadly ", n), deadlyPart)
			}
			if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
				t.Errorf("got status %d, Retry-After %q for the part, want a refusal", last.status, last.header.Get("Retry-After"))
			}
			if got := h.crashed(); got > allowed {
				t.Errorf("got %d replicas crashed by %d requests, want at most %d", got, requests, allowed)
			}
		})
	}
}

// crashed returns how many requests with the deadly part reached replicas.
func (h *harness) crashed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, all := range h.seen {
		for _, r := range all {
			if r.Header.Get("X-Prompt-Prefix") == prompt(deadlyPart) {
				n++
			}
		}
	}
	return n
}

// Guards against failures that say nothing about the parts of a prompt and yet count for or
// against them.
func TestEvidenceAgainstParts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		replicas []http.HandlerFunc
		path     string
		// before is the number of crashes that are known already.
		before int
		want   uint32
	}{
		"crash":                             {path: "/whole/x", replicas: []http.HandlerFunc{crash}, want: 2},
		"disconnected by a live replica":    {path: "/whole/x", replicas: []http.HandlerFunc{disconnect}, want: 0},
		"declined":                          {path: "/whole/x", replicas: []http.HandlerFunc{decline}, before: 1, want: 2},
		"failed without a part of a stream": {path: "/whole/x", replicas: []http.HandlerFunc{fail}, before: 1, want: 2},
		"streamed":                          {path: "/whole/x", replicas: []http.HandlerFunc{events(1, 3, false)}, before: 2, want: 0},
		"answered":                          {path: "/look/x", replicas: []http.HandlerFunc{succeed}, before: 2, want: 0},
		"streamed for a while, then broken off": {path: "/whole/x", before: 2, want: 0, replicas: []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			events(1, 2, false)(w, r)
			time.Sleep(2 * goosequarantine.MinResponding)
			events(3, 3, true)(w, r)
		}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.replicas...)
			part := goose.NewPartFingerprint("", deadlyPart)
			for n := range tc.before {
				s := goose.CrashSubjects{Request: goose.Fingerprint(n + 1), Parts: []goose.Fingerprint{part}}
				h.quarantine.RecordLost(h.quarantine.Observe(s, time.Now()), goose.NewCrashID(goose.Replica{ID: "gone", StartedUnixMS: int64(n)}), goose.EvidenceCrash, time.Now())
			}
			h.postPrompt(tc.path, "body", deadlyPart)
			if got := h.quarantine.CrashRecord(part, time.Now()).Weight; got != tc.want {
				t.Errorf("got weight %d against the part, want %d", got, tc.want)
			}
		})
	}
}
