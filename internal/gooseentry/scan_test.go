package gooseentry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	_ "github.com/gooseberryhold/gooseberryhold/internal/gooserapid"
)

// Guards against prompts that are measured or hashed differently from the text
// that the engine decodes: prefix affinity and limits would be wrong.
func TestPromptText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.StringMatching(`[a-z"\\\n é😀<]{1,40}`), 1, 4).Draw(t, "pieces")
		times := rapid.IntRange(1, 2000).Draw(t, "times")
		var messages []map[string]any
		for i := range pieces {
			pieces[i] = strings.Repeat(pieces[i], times)
			messages = append(messages, map[string]any{"role": "user", "n": []any{1, "]"}, "content": pieces[i]})
		}
		b, err := json.Marshal(map[string]any{"model": "mend", "messages": messages, "x": map[string]any{"model": "no"}})
		if err != nil {
			t.Fatal(err)
		}
		f, err := readModelFields(b, true)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Join(pieces, "\n")
		if got := string(f.prompt.text(b)); got != want {
			t.Fatalf("text: got %.80q, want %.80q", got, want)
		}
		if f.prompt.tokenCount()*bytesPerToken < len(want) {
			t.Fatalf("tokens: got %d for %d bytes", f.prompt.tokenCount(), len(want))
		}
		for i, got := range f.prompt.blockHashes(b) {
			if want := xxhash.Sum64String(want[:(i+1)*blockBytes]); got != want {
				t.Fatalf("hash of block %d: got %x, want %x", i, got, want)
			}
		}
	})
}

// modelFieldsTarget compares the scanner with encoding/json: for a body that
// both accept, they must find the same model, and edits must leave valid JSON.
var modelFieldsTarget = goosefuzz.Target{
	Runs: 500_000,
	Seeds: [][]any{
		{[]byte(chatBody)},
		{[]byte(`{"model":"a\"","prompt":["x","y\\"],"stream":null}`)},
		{[]byte(` { "prompt" : "\\" , "model":"m"}`)},
	},
	Check: func(t *testing.T, b []byte) {
		fields, err := readModelFields(b, false)
		if err != nil || !json.Valid(b) {
			return
		}
		var want struct{ Model string }
		if json.Unmarshal(b, &want) == nil && !strings.EqualFold(fields.model, want.Model) && !mayMatchOtherKey(b) {
			t.Errorf("model: got %q, want %q", fields.model, want.Model)
		}
		fields.prompt.blockHashes(b)
		req := &request{fields: fields, body: &body{buf: append(make([]byte, headroomBytes), b...), start: headroomBytes}}
		req.service.Model = "other model"
		if req.rewriteBody() != nil {
			return
		}
		var sent map[string]any
		if err := json.Unmarshal(req.body.bytes(), &sent); err != nil || sent["stream"] != true || sent["model"] != "other model" {
			t.Errorf("edited body %q: %v", req.body.bytes(), err)
		}
	},
}

func FuzzModelFields(f *testing.F)     { modelFieldsTarget.Fuzz(f) }
func TestFuzzModelFields(t *testing.T) { modelFieldsTarget.Test(t) }

// mayMatchOtherKey reports whether encoding/json may match a key that differs
// in case or is escaped.
func mayMatchOtherKey(b []byte) bool {
	var all map[string]json.RawMessage
	if json.Unmarshal(b, &all) != nil {
		return true
	}
	n := 0
	for k := range all {
		if strings.EqualFold(k, "model") {
			n++
		}
	}
	return n != 1 || strings.Count(string(b), `"model"`) != 1
}
