// Command goosebench sends open-loop load to a fleet on this machine and reports the
// results and latencies that its callers measured.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gooseberryhold/gooseberryhold/internal/goosebench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := goosebench.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
