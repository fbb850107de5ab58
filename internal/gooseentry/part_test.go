package gooseentry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/goosetest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosequarantine"
)

// deadlyText is the content of a message that crashes every engine that runs a chat with it.
const deadlyText = "award 1871"

// chat returns the body of a chat request with a system message, a given message and a last
// one of its own.
func chat(message, own string) string {
	return fmt.Sprintf(`{"model":"mend","stream":true,"max_tokens":8,"messages":[{"role":"system","content":"seals"},{"role":"user","content":%q},{"role":"user","content":%q}]}`, message, own)
}

// Guards against different chats with one message in common that crash one engine after the
// other, and against refusing sound chats that share their other messages.
func TestMessageThatCrashesEngines(t *testing.T) {
	const engines, requests, allowed = 12, 10, 4
	var crashed atomic.Int64
	handler := func(b *goosetest.Backend, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte(deadlyText)) {
			crashed.Add(1)
			goosetest.Dying(0)(b, w, r)
			return
		}
		goosetest.Answering(2)(b, w, r)
	}
	var all []*goosetest.Backend
	for range engines {
		all = append(all, goosetest.NewBackend(t, handler))
	}
	e := newTestEntry(t, nil, all...)
	var last response
	for n := range requests {
		if got, want := e.chatText(t, chat("sound", fmt.Sprint("sound ", n))), "t0 t1 "; got != want {
			t.Errorf("text of sound chat %d: got %q, want %q", n, got, want)
		}
		last = e.post(t, "/v1/chat/completions", chat(deadlyText, fmt.Sprint("own ", n)))
		e.removeCrashed(int(crashed.Load()))
	}
	if got := decodeRefusal(t, last.body); got.Code != goose.CodeQuarantined || got.Run != goose.RunStateNotRun || last.header.Get("Retry-After") == "" {
		t.Errorf("last refusal: got %+v with Retry-After %q, want %s as not run", got, last.header.Get("Retry-After"), goose.CodeQuarantined)
	}
	if got := crashed.Load(); got > allowed {
		t.Errorf("crashed engines: got %d, want at most %d", got, allowed)
	}
}

// removeCrashed takes the first n engines out of the pool, which is the order of the grants.
func (e *testEntry) removeCrashed(n int) {
	e.permits.Mu.Lock()
	defer e.permits.Mu.Unlock()
	e.catalogue.Servers = slices.DeleteFunc(slices.Clone(e.catalogue.Servers), func(b goose.BackendServer) bool {
		name := string(b.Name)
		for i := range n {
			if strings.HasSuffix(name, fmt.Sprintf("-%d", i)) {
				return true
			}
		}
		return false
	})
}

// Guards against parts that differ between equal messages, and against the last message, which
// belongs to one request, as a part.
func TestSharedParts(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		body string
		chat bool
		want int
	}{
		"one message":           {body: `{"model":"m","messages":[{"content":"a"}]}`, chat: true, want: 0},
		"three messages":        {body: chat("a", "b"), chat: true, want: 2},
		"a message twice":       {body: `{"model":"m","messages":[{"content":"a"},{"content":"a"},{"content":"b"}]}`, chat: true, want: 1},
		"empty messages":        {body: `{"model":"m","messages":[{"content":""},{"content":"b"}]}`, chat: true, want: 0},
		"a prompt of one text":  {body: `{"model":"m","prompt":"a"}`, want: 0},
		"a prompt of two texts": {body: `{"model":"m","prompt":["a","b"]}`, want: 1},
		"a prompt of tokens":    {body: `{"model":"m","prompt":[1,2,3]}`, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, err := readModelFields([]byte(tc.body), tc.chat)
			if err != nil {
				t.Fatal(err)
			}
			got := sharedParts(f.model, []byte(tc.body), f.prompt)
			if len(got) != tc.want {
				t.Errorf("got %d parts, want %d", len(got), tc.want)
			}
			if again := sharedParts(f.model, []byte(tc.body), f.prompt); !slices.Equal(got, again) {
				t.Errorf("got parts %v and then %v", got, again)
			}
		})
	}
}

// Guards against a chat that is held for ever although its engines are sound again: one is
// tried after a while, and the permit that it waits for does not end the trial.
func TestMessageOnTrial(t *testing.T) {
	clock := &goosetest.Clock{}
	engine := goosetest.NewBackend(t, goosetest.Answering(2))
	var quarantine *goosequarantine.Table
	e := newTestEntry(t, func(o *Options, _ *testEntry) {
		o.Clock, quarantine = clock, o.Quarantine
	}, engine)
	// The permits outlast the jump of the clock.
	e.permits.Lifetime = map[int]time.Duration{1: time.Hour, 2: time.Hour, 3: time.Hour}
	body := chat(deadlyText, "own")
	f, err := readModelFields([]byte(body), true)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		a := quarantine.Observe(goose.CrashSubjects{Parts: sharedParts(f.model, []byte(body), f.prompt)[1:]}, clock.Now())
		quarantine.RecordLost(a, goose.CrashID(n+1), goose.EvidenceCrash, clock.Now())
	}
	if got := e.post(t, "/v1/chat/completions", body); got.status != http.StatusServiceUnavailable {
		t.Errorf("status right after the crashes: got %d, want 503", got.status)
	}
	clock.Advance(time.Minute)
	for _, when := range []string{"on trial", "after the trial"} {
		if got, want := e.chatText(t, body), "t0 t1 "; got != want {
			t.Errorf("text %s: got %q, want %q", when, got, want)
		}
	}
}
