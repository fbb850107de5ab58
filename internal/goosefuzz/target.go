// Package goosefuzz runs the check of a fuzz target on a fixed series of mutated
// seeds, so that two runs of one tree reach the same verdict. The coverage-guided
// fuzzer runs the same check on random inputs.
package goosefuzz

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// SeedVariable names the environment variable with the seed of the mutations; a
// target's series is fixed by it.
const SeedVariable = "GOOSEFUZZ_SEED"

// defaultSeed is the seed without SeedVariable.
const defaultSeed = 1

// shards is how many parts of a series run in parallel. It is no count of
// processors: the series must be the same on every machine.
const shards = 16

// raceShare is the part of a series that runs under the race detector, which
// makes the decoders four to five times slower.
const raceShare = 16

// Target is a check of inputs and the seeds from which they are made.
type Target struct {
	// Runs is the length of the series: at least what the coverage-guided fuzzer
	// reaches in 5 s on ten processors.
	Runs int
	// Seeds are arguments of Check after its first: []byte, byte and int.
	Seeds [][]any
	// Check is a func(*testing.T, ...) that fails the test on a wrong result. It
	// must be safe for concurrent calls.
	Check any
}

// Fuzz lets the coverage-guided fuzzer search with the target's seeds and check.
func (g Target) Fuzz(f *testing.F) {
	for _, s := range g.Seeds {
		f.Add(s...)
	}
	f.Fuzz(g.Check)
}

// Test runs the check on the series. The name of the test is that of the fuzz
// function after "Test"; files in its directory below testdata/fuzz are seeds too.
// It takes all processors, and runs beside no other test of the package.
func (g Target) Test(t *testing.T) {
	name := strings.TrimPrefix(t.Name(), "Test")
	files, err := readCorpus(filepath.Join("testdata", "fuzz", name))
	if err != nil {
		t.Fatal(err)
	}
	seed := uint64(defaultSeed)
	if s := os.Getenv(SeedVariable); s != "" {
		if seed, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(errors.Wrap(err, SeedVariable))
		}
	}
	runs := g.Runs / shards
	if raceEnabled {
		runs /= raceShare
	}
	m := newMutator(append(g.Seeds[:len(g.Seeds):len(g.Seeds)], files...))
	for i := range shards {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for range runs {
				if !g.try(t, name, seed, m.next(rng)) {
					return
				}
			}
		})
	}
}

// try reports whether the input passes. A failure, also one that ends the
// goroutine, prints what reproduces it.
func (g Target) try(t *testing.T, name string, seed uint64, input []any) bool {
	defer func() {
		if p := recover(); p != nil {
			t.Error(failure(name, seed, input))
			panic(p)
		}
		if t.Failed() {
			t.Error(failure(name, seed, input))
		}
	}()
	in := []reflect.Value{reflect.ValueOf(t)}
	for _, v := range input {
		in = append(in, reflect.ValueOf(v))
	}
	reflect.ValueOf(g.Check).Call(in)
	return !t.Failed()
}

func failure(name string, seed uint64, input []any) string {
	return fmt.Sprintf("%s fails with %s=%d; keep the input as a file in testdata/fuzz/%s:\n%s", name, SeedVariable, seed, name, format(input))
}
