package goosecommand

import (
	"context"
	"flag"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

// defaultMetricsPort is the port in deploy/system.toml.
const defaultMetricsPort = 9464

func forwardCommand() command {
	return command{
		name: "forward", usage: "[--settings file] [--metrics-port port]", short: "run one entry instance on the users' platform",
		long:     "Runs one entry instance that forwards callers' requests by the routing and the replicas in\nthe platform's store, until SIGTERM or SIGINT. It then lets the balancer take it out, finishes\nits requests and exits; a second SIGINT ends it at once. Logs go to standard output.",
		examples: []string{"forward --settings boot.toml"},
		flags: func(f *flag.FlagSet) runFunc {
			file := f.String("settings", "", "the platform's settings `file` (default $"+gooseplatform.SettingsVariable+")")
			port := f.Int("metrics-port", defaultMetricsPort, "`port` of the metrics, on the instance's address")
			return func(ctx context.Context, a *App, args []string) error {
				if len(args) > 0 {
					return usagef("unexpected argument %q", args[0])
				}
				if *port < 1 || *port > 65535 {
					return usagef("--metrics-port %d must be from 1 to 65535", *port)
				}
				return a.forward(ctx, *file, *port)
			}
		},
	}
}

func (a *App) forward(ctx context.Context, file string, metricsPort int) error {
	// The platform sends SIGHUP when settings have changed, also to a process that is
	// still starting.
	signal.Ignore(syscall.SIGHUP)
	if file == "" {
		file = a.env(gooseplatform.SettingsVariable)
	}
	s, err := gooseplatform.LoadSettings(file)
	if err != nil {
		gooseevent.SettingsInvalid.Log(slog.New(slog.NewJSONHandler(a.Stdout, nil)), slog.String("file", file), slog.Any("error", err))
		return err
	}
	ctx, stop := withStopSignals(ctx)
	defer stop()
	return a.Forward(ctx, s, metricsPort, a.Stdout)
}
