// Command goosesite writes a variant of one of the users' site files to standard output.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/internal/goosesite"
)

func main() {
	sitePath := flag.String("from", "", "site `file`")
	variant := flag.String("variant", "", "one of "+strings.Join(goosesite.Variants(), ", "))
	flag.Parse()
	if err := run(*sitePath, *variant); err != nil {
		fmt.Fprintln(os.Stderr, "goosesite:", err)
		os.Exit(1)
	}
}

func run(sitePath, variant string) error {
	site, err := os.ReadFile(sitePath)
	if err != nil {
		return err
	}
	derived, err := goosesite.Derive(site, variant)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(derived)
	return err
}
