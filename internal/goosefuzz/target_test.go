package goosefuzz

import (
	"bytes"
	"math/rand/v2"
	"os"
	"os/exec"
	"reflect"
	"strings"
	"testing"
)

// plantedFault is a target whose check fails on an input that takes several mutations of
// the seed.
var plantedFault = Target{
	Runs:  400_000,
	Seeds: [][]any{{[]byte(`{"a": [1, 22], "b": {"c": "d"}}`), byte(1), 2}},
	Check: func(t *testing.T, b []byte, _ byte, n int) {
		if bytes.Contains(b, []byte(`"b": {}`)) && n < 0 {
			t.Fatal("planted fault")
		}
	},
}

// Guards against a series that does not find a fault, or that fails without printing the
// seed and the input of the failure.
func TestFuzzPlanted(t *testing.T) {
	if os.Getenv("GOOSEFUZZ_PLANTED") != "" {
		plantedFault.Test(t)
		return
	}
	run := func(seed string) (string, error) {
		c := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestFuzzPlanted$")
		c.Env = append(os.Environ(), "GOOSEFUZZ_PLANTED=1", SeedVariable+"="+seed)
		out, err := c.CombinedOutput()
		_, found, _ := strings.Cut(string(out), "FuzzPlanted fails with "+SeedVariable+"="+seed)
		_, input, _ := strings.Cut(found, corpusHeader+"\n")
		input, _, _ = strings.Cut(input, "\n---")
		return input, err
	}
	for _, seed := range []string{"1", "7"} {
		got, err := run(seed)
		if err == nil || !strings.Contains(got, `\"b\": {}`) {
			t.Errorf("seed %s: got input %q, error %v, want the planted fault", seed, got, err)
		}
	}
}

// Guards against inputs that differ between two runs of one seed.
func TestSeriesIsFixed(t *testing.T) {
	t.Parallel()
	draw := func(seed uint64) (all [][]any) {
		m, rng := newMutator(plantedFault.Seeds), rand.New(rand.NewPCG(seed, 0))
		for range 1000 {
			all = append(all, m.next(rng))
		}
		return all
	}
	if !reflect.DeepEqual(draw(1), draw(1)) {
		t.Error("one seed: got different inputs")
	}
	if reflect.DeepEqual(draw(1), draw(2)) {
		t.Error("two seeds: got the same inputs")
	}
}

// Guards against corpus files of the coverage-guided fuzzer that are not read, or that are
// read as different inputs.
func TestCorpusFormat(t *testing.T) {
	t.Parallel()
	want := []any{[]byte("a\"\n\xff)"), byte('\''), byte(0xff), -3}
	if got, err := parseInput(formatInput(want)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, text := range []string{"", "go test fuzz v2\n", "go test fuzz v1\nfloat64(1)\n", "go test fuzz v1\nint(x)\n"} {
		if got, err := parseInput(text); err == nil {
			t.Errorf("%q: got %v, want an error", text, got)
		}
	}
}
