// Package gooserapid sets a fixed seed for property tests, so that two runs of the same code
// give the same result. Tests import it for this side effect. The flag -rapid.seed sets
// another seed.
package gooserapid

import (
	"flag"

	// The package defines the flag rapid.seed.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
