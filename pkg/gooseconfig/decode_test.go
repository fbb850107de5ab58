package gooseconfig

import (
	"crypto/sha256"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestoretest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

func assembleSeed() []any {
	c := &goose.Configuration{DataCentres: []goose.DataCentreSpec{{Name: "leith", State: goose.StateActive}}}
	sections, err := encodeSections(c)
	if err != nil {
		panic(err)
	}
	head, err := encMode.Marshal(Head{Version: 1, ChangeID: "one", Sections: []Hash{sections[0].hash}})
	if err != nil {
		panic(err)
	}
	return []any{head, sections[0].data}
}

// Guards against a head or section from the store or a peer that crashes the
// process, or that is put in force although it is invalid.
var assembleTarget = goosefuzz.Target{
	Runs:  250_000,
	Seeds: [][]any{assembleSeed(), {[]byte{0xa1, 0x01, 0x01}, []byte{0xa0}}},
	Check: func(t *testing.T, head, data []byte) {
		h, err := decodeHead(head)
		if err != nil {
			return
		}
		h.Sections = []Hash{sha256.Sum256(data)}
		s, err := assemble(h, map[Hash][]byte{h.Sections[0]: data})
		if err != nil {
			return
		}
		if err := Validate(s.Configuration()); err != nil {
			t.Errorf("got an invalid configuration: %v", err)
		}
	},
}

func FuzzAssemble(f *testing.F)     { assembleTarget.Fuzz(f) }
func TestFuzzAssemble(t *testing.T) { assembleTarget.Test(t) }

// Guards against a garbage collection that deletes the sections of a publication
// that has not written its head yet.
func TestGarbageCollectionDuringPublication(t *testing.T) {
	t.Parallel()
	r := NewRepository(goosestoretest.New(), "test")
	c := &goose.Configuration{DataCentres: []goose.DataCentreSpec{{Name: "leith", State: goose.StateActive}}}
	change := Change{ID: "two", Author: "ada", Base: 1, Configuration: c}
	if _, err := r.Publish(t.Context(), Change{ID: "one", Author: "ada", Configuration: &goose.Configuration{}}); err != nil {
		t.Fatal(err)
	}
	old, revision, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	sections, err := encodeSections(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.writeSections(t.Context(), old, sections); err != nil {
		t.Fatal(err)
	}
	if err := r.collectGarbage(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := r.writeHead(t.Context(), change, old, revision, sections); !errors.Is(err, errHeadRewritten) {
		t.Fatalf("got %v, want %v", err, errHeadRewritten)
	}
	if _, err := r.Publish(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	if s, err := r.Load(t.Context(), nil); err != nil || s.Version() != 2 {
		t.Errorf("got %v, want version 2", err)
	}
}
