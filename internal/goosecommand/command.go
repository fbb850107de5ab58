// Package goosecommand is the command line of gooseberryhold.
package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
)

// App is the program; all fields are required.
type App struct {
	// Serve runs an entry instance until ctx ends and all requests in flight have finished.
	Serve func(ctx context.Context, s goosesettings.Settings, l *slog.Logger) error
	// Forward runs an entry instance on the users' platform until ctx ends and all requests
	// in flight have finished. It logs to out and serves its metrics on metricsPort.
	Forward func(ctx context.Context, s gooseplatform.Settings, metricsPort int, out io.Writer) error
	Stdin   io.Reader
	// Stdout receives results. Stderr receives errors, hints and logs.
	Stdout, Stderr io.Writer
	// Environ is the environment in the form of os.Environ.
	Environ []string
}

// command is one subcommand. The function flags defines its flags and returns the
// function that runs the command with the arguments that are not flags.
type command struct {
	name     string
	usage    string
	short    string
	long     string
	examples []string
	flags    func(f *flag.FlagSet) runFunc
}

type runFunc func(ctx context.Context, a *App, args []string) error

// usageError reports a wrong use of the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

func commands() []command {
	return []command{
		serveCommand(), forwardCommand(), checkCommand(), applyCommand(), getCommand(), labelCommand(),
		leaveCommand(), returnCommand(), loadCommand(), roleCommand(), statusCommand(), ordersCommand(), auditCommand(), explainCommand(),
		certCommand(), versionCommand(),
	}
}

// Run runs the program with args, which do not include the program's name, and
// returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		a.help(a.Stderr)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		if len(args) > 1 {
			return a.Run(ctx, []string{args[1], "--help"})
		}
		a.help(a.Stdout)
		return ExitDone
	case "--version", "-version":
		args = []string{"version"}
	}
	cmds := commands()
	i := slices.IndexFunc(cmds, func(c command) bool { return c.name == args[0] })
	if i < 0 {
		fmt.Fprintf(a.Stderr, "gooseberryhold: unknown command %q; see 'gooseberryhold --help'\n", args[0])
		return ExitUsage
	}
	return a.runCommand(ctx, cmds[i], args[1:])
}

func (a *App) runCommand(ctx context.Context, c command, args []string) int {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	runCmd := c.flags(f)
	rest, err := parse(f, args)
	if errors.Is(err, flag.ErrHelp) {
		c.help(a.Stdout, f)
		return ExitDone
	}
	if err == nil {
		err = runCmd(ctx, a, rest)
	}
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(a.Stderr, "gooseberryhold %s: %s\n", c.name, indent(err.Error()))
	code := exitCode(err)
	if code == ExitUsage {
		fmt.Fprintf(a.Stderr, "Usage: gooseberryhold %s %s\nSee 'gooseberryhold %s --help'.\n", c.name, c.usage, c.name)
	}
	return code
}

// parse accepts flags before, between and after the arguments; "--" ends the flags.
func parse(f *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usagef("%s", strings.Replace(err.Error(), "not defined: -", "not defined: --", 1))
		}
		remaining := f.Args()
		if n := len(args) - len(remaining); n > 0 && args[n-1] == "--" || len(remaining) == 0 {
			return append(rest, remaining...), nil
		}
		rest = append(rest, remaining[0])
		args = remaining[1:]
	}
}

// indent indents a text of several lines and starts it on a new line.
func indent(s string) string {
	if !strings.Contains(s, "\n") {
		return s
	}
	return "\n  " + strings.ReplaceAll(s, "\n", "\n  ")
}

func exitCode(err error) int {
	var usage *usageError
	var api *gooseoperator.APIError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &api):
		return apiExitCode(api)
	case errors.Is(err, gooseoperator.ErrUnreachable), errors.Is(err, gooseconfig.ErrChangeOutcomeUnknown), errors.Is(err, errUnknown):
		return ExitUnavailable
	}
	return ExitFailed
}

func apiExitCode(e *gooseoperator.APIError) int {
	switch e.Code {
	case goose.CodeConflict:
		return ExitConflict
	case goose.CodeNotFound:
		return ExitNotFound
	case goose.CodeStoreUnavailable, gooseoperator.CodeOutcomeUnknown:
		return ExitUnavailable
	}
	return ExitFailed
}

// env returns an environment variable, or "" if it is not set.
func (a *App) env(name string) string {
	for _, kv := range a.Environ {
		if v, ok := strings.CutPrefix(kv, name+"="); ok {
			return v
		}
	}
	return ""
}
