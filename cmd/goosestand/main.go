// Command goosestand simulates the components of the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := goosestand.Run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}
