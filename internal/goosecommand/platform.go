package goosecommand

import (
	"context"
	"flag"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehost"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

func forwardCommand() command {
	return command{
		name: "forward", usage: "[--settings file]", short: "run one entry instance on the users' platform",
		long:     "Runs one entry instance that forwards callers' requests by the routing and the replicas in\nthe platform's store, until SIGTERM or SIGINT. It then lets the balancer take it out, finishes\nits requests and exits; a second signal ends it at once. Logs go to standard output.",
		examples: []string{"forward --settings boot.toml"},
		flags: func(f *flag.FlagSet) run {
			file := f.String("settings", "", "the platform's settings `file` (default $"+gooseplatform.SettingsVariable+")")
			return func(ctx context.Context, a *App, args []string) error {
				if len(args) > 0 {
					return usagef("unexpected argument %q", args[0])
				}
				return a.forward(ctx, *file)
			}
		},
	}
}

func (a *App) forward(ctx context.Context, file string) error {
	if file == "" {
		file = a.env(gooseplatform.SettingsVariable)
	}
	s, err := gooseplatform.LoadSettings(file)
	if err != nil {
		gooseevent.SettingsInvalid.Log(slog.New(slog.NewJSONHandler(a.Stdout, nil)), slog.String("file", file), slog.Any("error", err))
		return err
	}
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The next signal has its default effect again.
	context.AfterFunc(ctx, stop)
	return goosehost.Run(ctx, s, a.Stdout)
}
