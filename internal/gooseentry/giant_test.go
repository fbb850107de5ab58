package gooseentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Guards against exported KV caches that are not deleted at an engine, whether
// the request succeeds, an engine fails, or the response with a handle's ID is
// lost, and against segments that together are not the prompt.
func TestGiantPrompt(t *testing.T) {
	text := strings.Repeat("é\n<", 5000)
	prefill := func(b *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/kv/prefill" {
			_, _ = fmt.Fprintf(w, `{"id":"kv-%s","tokens":1}`, b.Address())
		}
	}
	losingResponse := func(b *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			goosetest.HangUp(w)
		case r.URL.Path == "/v1/kv":
			_, _ = fmt.Fprintf(w, `[{"id":"kv-%s","attempt":"permit-1"},{"id":"other","attempt":"permit-9"}]`, b.Address())
		}
	}
	failing := func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }
	for name, c := range map[string]struct {
		engines  [3]goosetest.Handler
		handles  int
		text     string
		outcomes string
	}{
		"complete response":     {engines: [3]goosetest.Handler{prefill, prefill, goosetest.Answering(2)}, handles: 2, text: "t0 t1 ", outcomes: "finished"},
		"segment refused":       {engines: [3]goosetest.Handler{prefill, failing, goosetest.Answering(2)}, handles: 1, outcomes: "failed"},
		"prefill response lost": {engines: [3]goosetest.Handler{prefill, losingResponse, goosetest.Answering(2)}, handles: 2, outcomes: "failed"},
		"import refused":        {engines: [3]goosetest.Handler{prefill, prefill, failing}, handles: 2, outcomes: "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			var all []*goosetest.Backend
			for _, handle := range c.engines {
				all = append(all, goosetest.NewBackend(t, handle))
			}
			e := newTestEntry(t, func(o *Options, e *testEntry) {
				e.permits.GiantPermits = true
				o.Limits.RetryBurst = 0.5
				for i := range e.catalogue.Servers {
					e.catalogue.Servers[i].MemoryTokens = 1999
				}
			}, all...)
			body, err := json.Marshal(map[string]any{"model": "mend", "stream": true, "messages": []any{map[string]string{"role": "user", "content": text}}})
			if err != nil {
				t.Fatal(err)
			}
			if got := e.chatText(t, string(body)); got != c.text {
				t.Errorf("text: got %q, want %q", got, c.text)
			}
			e.waitDrained(t)
			if got := e.permits.Requests[0].Class; got != goose.ClassGiant {
				t.Errorf("class: got %s, want %s", got, goose.ClassGiant)
			}
			if got := e.permits.Outcomes(); got != c.outcomes {
				t.Errorf("outcomes: got %q, want %q", got, c.outcomes)
			}
			deleted := 0
			for _, b := range all {
				deleted += b.Seen("DELETE /v1/kv/kv-" + b.Address())
			}
			if deleted != c.handles || all[1].Seen("DELETE /v1/kv/other") != 0 {
				t.Errorf("handles deleted: got %d, want %d and none of other attempts", deleted, c.handles)
			}
			if c.outcomes == "finished" {
				checkSegments(t, all, text)
			}
		})
	}
}

// checkSegments checks the requests that the engines received for a complete
// response.
func checkSegments(t *testing.T, all []*goosetest.Backend, text string) {
	t.Helper()
	joined := ""
	for i, b := range all[:2] {
		var p struct {
			Prompt string
			Behind []string
		}
		if err := json.Unmarshal(b.Bodies[0], &p); err != nil || len(p.Behind) != i {
			t.Errorf("segment %d: %v, preceding handles %v", i, err, p.Behind)
		}
		joined += p.Prompt
	}
	if !strings.HasPrefix(text, joined) || len(joined) < 2*1998*bytesPerToken {
		t.Errorf("segments have %d bytes; prefix of the prompt: %v", len(joined), strings.HasPrefix(text, joined))
	}
	want := "kv-" + all[0].Address() + "@" + all[0].Address() + ",kv-" + all[1].Address() + "@" + all[1].Address()
	if got := all[2].Headers[0].Get("X-KV-Behind"); got != want {
		t.Errorf("handles at the last engine: got %q, want %q", got, want)
	}
}
