package gooseentry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

const chatBody = `{"model":"mend","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"sharpen"}]}`

// Guards against an incomplete response, streamed or not, and against a request
// to the engine that does not ask for a stream.
func TestModelResponse(t *testing.T) {
	engine := goosetest.NewBackend(t, goosetest.Answering(5))
	e := newTestEntry(t, nil, engine)
	events := e.post(t, "/v1/chat/completions", chatBody).body
	if got, want := streamText(events), "t0 t1 t2 t3 t4 "; got != want {
		t.Errorf("streamed text: got %q, want %q", got, want)
	}
	if !strings.HasSuffix(events, "data: [DONE]\n\n") {
		t.Errorf("stream has no end marker: %q", events)
	}
	for name, body := range map[string]string{
		"stream false":  strings.Replace(chatBody, "true", "false", 1),
		"stream absent": strings.Replace(chatBody, `"stream":true,`, "", 1),
	} {
		t.Run(name, func(t *testing.T) {
			var completion completionResponse
			if err := json.Unmarshal([]byte(e.post(t, "/v1/chat/completions", body).body), &completion); err != nil {
				t.Fatal(err)
			}
			if got, want := completion.Choices[0].Message.Content, "t0 t1 t2 t3 t4 "; got != want {
				t.Errorf("non-streamed text: got %q, want %q", got, want)
			}
			sent := map[string]any{}
			if err := json.Unmarshal(engine.Bodies[len(engine.Bodies)-1], &sent); err != nil || sent["stream"] != true {
				t.Errorf("engine got %s (%v), want a request for a stream", engine.Bodies[len(engine.Bodies)-1], err)
			}
		})
	}
	e.waitDrained(t)
	if got, want := e.permits.Outcomes(), "finished finished finished"; got != want {
		t.Errorf("outcomes: got %q, want %q", got, want)
	}
}

// Guards against changes to the path, method, body or response of a plain
// service, against calls that are classified as giant prompts, and against
// different calls with the same fingerprint.
func TestPlainResponse(t *testing.T) {
	shop := goosetest.NewBackend(t, func(_ *goosetest.Backend, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("12 left"))
	})
	e := newTestEntry(t, func(_ *Options, e *testEntry) {
		for i := range e.catalogue.Servers {
			e.catalogue.Servers[i].MemoryTokens = 0
		}
	}, shop)
	resp := e.post(t, "/services/stock/count/a%20b?n=1", "payload")
	if got, want := resp.status, http.StatusTeapot; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := resp.body, "12 left"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	if got, want := shop.Got[0], "POST /count/a%20b?n=1"; got != want {
		t.Errorf("request: got %q, want %q", got, want)
	}
	if got, want := string(shop.Bodies[0]), "payload"; got != want {
		t.Errorf("request body: got %q, want %q", got, want)
	}
	e.post(t, "/services/stock/count/other", "payload")
	first, second := e.permits.Requests[0], e.permits.Requests[1]
	if first.Class != goose.ClassShort || first.Fingerprint == second.Fingerprint {
		t.Errorf("permit requests: got %+v and %+v, want short ones with fingerprints of their own", first, second)
	}
}
