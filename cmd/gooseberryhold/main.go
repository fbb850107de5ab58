// Command gooseberryhold runs entry instances and provides the commands of their
// operators.
package main

import (
	"context"
	"os"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecommand"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehost"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseserve"
)

func main() {
	app := &goosecommand.App{
		Serve: gooseserve.Run, Forward: goosehost.Run, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Environ: os.Environ(),
	}
	os.Exit(app.Run(context.Background(), os.Args[1:]))
}
