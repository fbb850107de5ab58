package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"

	"github.com/pkg/errors"
)

const envSettings = goosesettings.EnvPrefix + "SETTINGS"

func serveCommand() command {
	return command{
		name: "serve", usage: "[--settings file]", short: "run one entry instance",
		long:     "Runs one entry instance until SIGTERM or SIGINT. It then stops accepting, finishes its\nrequests and exits; a second SIGINT ends it at once. Each setting can be overridden by an\nenvironment variable, such as GOOSEBERRYHOLD_LISTEN.",
		examples: []string{"serve --settings leith-entry-1.yaml"},
		flags: func(f *flag.FlagSet) runFunc {
			file := f.String("settings", "", "settings `file` (default $"+envSettings+")")
			return func(ctx context.Context, a *App, args []string) error {
				if len(args) > 0 {
					return usagef("unexpected argument %q", args[0])
				}
				return a.serve(ctx, *file)
			}
		},
	}
}

func (a *App) serve(ctx context.Context, file string) error {
	if file == "" {
		file = a.env(envSettings)
	}
	s, err := goosesettings.Load(file, a.Environ)
	if err != nil {
		gooseevent.SettingsInvalid.Log(slog.New(slog.NewJSONHandler(a.Stderr, nil)), slog.String("file", file), slog.Any("error", err))
		return err
	}
	logger := slog.New(slog.NewJSONHandler(a.Stderr, &slog.HandlerOptions{Level: s.Level()}))
	ctx, stop := withStopSignals(ctx)
	defer stop()
	return a.Serve(ctx, s, logger)
}

// withStopSignals returns a context that ends on SIGTERM or SIGINT. A second SIGTERM has no
// effect until the process exits; a second SIGINT ends the process at once.
func withStopSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
		signal.Reset(syscall.SIGINT)
	}()
	return ctx, cancel
}

// readInput reads a file, or standard input if file is "-".
func (a *App) readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(a.Stdin, gooseyaml.MaxBytes+1))
		return data, errors.Wrap(err, "standard input")
	}
	data, err := os.ReadFile(file)
	return data, errors.Wrap(err, "read file")
}

func versionCommand() command {
	return command{
		name: "version", usage: "[--output format]", short: "print the version of the program",
		long: "Prints the version of the program and of the Go release that built it.",
		flags: func(f *flag.FlagSet) runFunc {
			output := outputFlag(f)
			return func(_ context.Context, a *App, args []string) error {
				if len(args) > 0 {
					return usagef("unexpected argument %q", args[0])
				}
				v := struct {
					Version string `json:"version"`
					Go      string `json:"go"`
				}{"unknown", runtime.Version()}
				if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
					v.Version = info.Main.Version
				}
				return a.print(*output, v, func(w io.Writer) { fmt.Fprintf(w, "gooseberryhold %s (%s)\n", v.Version, v.Go) })
			}
		},
	}
}
