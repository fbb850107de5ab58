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
	from := flag.String("from", "", "site `file`")
	variant := flag.String("variant", "", "one of "+strings.Join(goosesite.Variants(), ", "))
	flag.Parse()
	if err := run(*from, *variant); err != nil {
		fmt.Fprintln(os.Stderr, "goosesite:", err)
		os.Exit(1)
	}
}

func run(from, variant string) error {
	file, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	out, err := goosesite.Derive(file, variant)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}
