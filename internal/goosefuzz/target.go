// Package goosefuzz runs the check of a fuzz target on a fixed series of mutated seeds, so
// that two runs of the same code give the same result. The coverage-guided fuzzer runs the
// same check on random inputs.
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

// SeedVariable names the environment variable with the seed of the mutations, which
// determines the series of inputs of every target.
const SeedVariable = "GOOSEFUZZ_SEED"

// defaultSeed is the seed if SeedVariable is not set.
const defaultSeed = 1

// shards is the number of parts of a series that run in parallel. It does not depend on the
// number of CPUs, because the series must be the same on every machine.
const shards = 16

// raceDivisor divides the length of a series under the race detector, which makes the
// decoders four to five times slower.
const raceDivisor = 16

// Target is a check of inputs and the seeds from which they are made.
type Target struct {
	// Runs is the length of the series: at least as many inputs as the coverage-guided
	// fuzzer tries in 5 s on ten CPUs.
	Runs int
	// Seeds are the arguments of Check after the first one, of the types []byte, byte and
	// int.
	Seeds [][]any
	// Check is a func(*testing.T, ...) that fails the test on a wrong result. It must be
	// safe for concurrent use.
	Check any
}

// Fuzz lets the coverage-guided fuzzer search with the target's seeds and check.
func (target Target) Fuzz(f *testing.F) {
	for _, s := range target.Seeds {
		f.Add(s...)
	}
	f.Fuzz(target.Check)
}

// Test runs the check on the series. The name of the test must be "Test" followed by the
// name of the fuzz function, whose files below testdata/fuzz are seeds, too. The test uses
// all CPUs, so it does not run in parallel with other tests of the package.
func (target Target) Test(t *testing.T) {
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
	runs := target.Runs / shards
	if raceEnabled {
		runs /= raceDivisor
	}
	m := newMutator(append(target.Seeds[:len(target.Seeds):len(target.Seeds)], files...))
	for i := range shards {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for range runs {
				if !target.passes(t, name, seed, m.next(rng)) {
					return
				}
			}
		})
	}
}

// passes runs the check and reports whether the input passes. After a failure, also one
// that ends the goroutine, it prints the seed and the input that reproduce it.
func (target Target) passes(t *testing.T, name string, seed uint64, input []any) bool {
	defer func() {
		if p := recover(); p != nil {
			t.Error(failureMessage(name, seed, input))
			panic(p)
		}
		if t.Failed() {
			t.Error(failureMessage(name, seed, input))
		}
	}()
	in := []reflect.Value{reflect.ValueOf(t)}
	for _, v := range input {
		in = append(in, reflect.ValueOf(v))
	}
	reflect.ValueOf(target.Check).Call(in)
	return !t.Failed()
}

func failureMessage(name string, seed uint64, input []any) string {
	return fmt.Sprintf("%s fails with %s=%d; keep the input as a file in testdata/fuzz/%s:\n%s", name, SeedVariable, seed, name, formatInput(input))
}
