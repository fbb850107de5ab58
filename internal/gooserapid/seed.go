// Package gooserapid fixes the seed of property tests, so that two runs of one
// tree reach the same verdict. Tests import it for this effect; -rapid.seed draws
// other cases.
package gooserapid

import (
	"flag"

	// The import defines the flag.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
