package goosecommand_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecommand"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperatortest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	gooseoperatortest.RegisterProtocols()
	testscript.Main(m, map[string]func(){"gooseberryhold": func() {
		app := &goosecommand.App{Serve: printSettings, Forward: printForwardSettings, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Environ: os.Environ()}
		os.Exit(app.Run(context.Background(), os.Args[1:]))
	}})
}

// printSettings replaces an entry instance: it prints the settings and returns.
func printSettings(_ context.Context, s goosesettings.Settings, _ *slog.Logger) error {
	fmt.Printf("%s in %s listens on %s, lease %s\n", s.Instance, s.DataCentre, s.Listen, s.LeaseTTL)
	return nil
}

// printForwardSettings replaces an entry instance on the users' platform.
func printForwardSettings(_ context.Context, s gooseplatform.Settings, metricsPort int, out io.Writer) error {
	_, err := fmt.Fprintf(out, "%s in %s listens on %s, metrics port %d\n", s.Instance, s.DataCentre, s.CallerAddress, metricsPort)
	return err
}

// startInstance starts an instance that serves the operator API until the script ends.
func startInstance(env *testscript.Env) error {
	i, err := gooseoperatortest.Start()
	if err != nil {
		return err
	}
	env.Defer(func() { _ = i.Stop() })
	env.Values["instance"] = i
	env.Setenv("GOOSEBERRYHOLD_OPERATOR", i.Address)
	env.Setenv("GOOSEBERRYHOLD_OPERATOR_TOKEN", gooseoperatortest.Token)
	env.Setenv("USER", "ada")
	return nil
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	i := ts.Value("instance").(*gooseoperatortest.Instance)
	switch {
	case len(args) == 2 && args[0] == "lag":
		n, err := strconv.ParseInt(args[1], 10, 64)
		ts.Check(err)
		i.VersionLag.Store(n)
	case len(args) == 2 && args[0] == "store":
		i.Store.SetDown(args[1] == "down")
	case len(args) == 3 && args[0] == "command":
		r := goose.CommandResult{Outcome: goose.CommandOutcome(args[1]), Reason: args[2]}
		i.CommandResult.Store(&r)
	default:
		ts.Fatalf("usage: fault lag <n> | fault store down|up | fault command <outcome> <reason>")
	}
}

// Guards against changes of the output, exit codes or help of commands, which operators
// and their scripts rely on.
func TestScripts(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: startInstance, RequireUniqueNames: true, RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"fault": fault, "exits": exits},
	})
}

// exits runs a command and checks its exit code: exits <code> <command>...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var e interface{ ExitCode() int }
		if !errors.As(err, &e) {
			ts.Check(err)
		}
		got = e.ExitCode()
	}
	if got != want {
		ts.Fatalf("got exit code %d, want %d", got, want)
	}
}

// Guards against an instance that exits on SIGTERM without a graceful shutdown, and against
// a graceful shutdown that a second SIGTERM interrupts.
func TestServeStopsOnSignal(t *testing.T) {
	started, stopped := make(chan struct{}), false
	app := &goosecommand.App{
		Serve: func(ctx context.Context, _ goosesettings.Settings, _ *slog.Logger) error {
			close(started)
			<-ctx.Done()
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			stopped = true
			return nil
		},
		Stdout: io.Discard, Stderr: io.Discard,
	}
	code := make(chan int, 1)
	go func() { code <- app.Run(t.Context(), []string{"serve", "--settings", "testdata/settings.yaml"}) }()
	select {
	case <-started:
	case got := <-code:
		t.Fatalf("got exit code %d before the start", got)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-code; got != 0 || !stopped {
		t.Errorf("got exit code %d, stopped %t, want 0, true", got, stopped)
	}
}

// Guards against examples, and YAML blocks of the configuration page, that the check
// command refuses.
func TestExamples(t *testing.T) {
	t.Parallel()
	fleets, err := filepath.Glob("../../examples/*/fleet.yaml")
	if err != nil || len(fleets) != 2 {
		t.Fatalf("got %d fleets, %v, want 2", len(fleets), err)
	}
	settings, _ := filepath.Glob("../../examples/*/*-entry-*.yaml")
	if len(settings) != 12 {
		t.Errorf("got %d settings files, want 12", len(settings))
	}
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```yaml\n(.*?)```").FindAllSubmatch(page, -1)
	if len(blocks) != 2 {
		t.Fatalf("got %d YAML blocks on the page, want a configuration and settings", len(blocks))
	}
	dir := t.TempDir()
	for i, name := range []string{"fleet.yaml", "settings.yaml"} {
		if err := os.WriteFile(filepath.Join(dir, name), blocks[i][1], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	calls := [][]string{append([]string{"check", filepath.Join(dir, "fleet.yaml"), "--settings", filepath.Join(dir, "settings.yaml")}, fleets...)}
	for _, s := range settings {
		calls = append(calls, []string{"check", "--settings", s})
	}
	for _, args := range calls {
		var out bytes.Buffer
		app := &goosecommand.App{Stdout: io.Discard, Stderr: &out}
		if code := app.Run(t.Context(), args); code != 0 {
			t.Errorf("%q: got exit code %d, want 0: %s", args, code, &out)
		}
	}
}
