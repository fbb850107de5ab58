// Package goosesession holds golden sessions of callers and operators with a
// small fleet of separate processes. GOOSESESSION_UPDATE=1 rewrites the golden
// files.
package goosesession

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

// TestMain lets the test binary be the programs of the fleet.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

// Guards against answers, refusals and command output that differ from what
// callers, operators and their programs rely on.
func TestSessions(t *testing.T) {
	t.Parallel()
	bin := gooseprogramtest.Bin(t, gooseprogramtest.Stand, gooseprogramtest.Entry)
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireUniqueNames: true, RequireExplicitExec: true,
		UpdateScripts: os.Getenv("GOOSESESSION_UPDATE") != "",
		Setup:         func(env *testscript.Env) error { return start(env, bin) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call": printed(call), "operate": printed(operate), "await": printed(await),
			"fault": fault, "entry": entry, "join": join,
		},
	})
}

// waitLimit is far above what the system needs; it only ends a script that
// would otherwise hang.
const waitLimit = 2 * time.Minute

// start starts the fleet of one script: a data centre with two instances.
func start(env *testscript.Env, bin string) error {
	// A warm plain service is dispatched in every mode while the store is down.
	warm := []string{"--cold=false"}
	dir := filepath.Join(env.WorkDir, ".fleet")
	spec := goosefleet.Spec{
		Name: "sessions", DataCentres: []string{"leith"}, Instances: 2, Bin: bin, Dir: dir, ListLag: 200 * time.Millisecond,
		Services: []goosefleet.Service{
			{
				Name: "wording-desk", Idempotent: true, Deadline: time.Minute, Replicas: 2, MemoryTokens: 4000,
				Concurrency: 8, ColdConcurrency: 1, ColdTokens: 2000, Flags: []string{"--scale", "8"},
			},
			{Name: "order-book", Plain: true, Deadline: time.Minute, Replicas: 1, Concurrency: 8, ColdConcurrency: 8, Flags: warm},
			{Name: "stock-list", Plain: true, Idempotent: true, Deadline: time.Minute, Replicas: 1, Concurrency: 64, ColdConcurrency: 64, Flags: warm},
		},
		Workspaces: []goosefleet.Workspace{{Name: "press-room", Key: "press-key", Weight: 1}, {Name: "bindery", Key: "bindery-key", Weight: 1}},
		// A script sees the end of the rate, and never its renewal.
		WeightStore: &goosefleet.WeightStore{Loads: 2, Period: time.Hour, LoadTime: 100 * time.Millisecond},
		Settings:    map[string]any{"max-body-bytes": 64 << 10},
	}
	f, err := goosefleet.Start(context.Background(), spec)
	// Another process may take a port between its choice and its use.
	for n := 1; err != nil && n < 3; n++ {
		f, err = goosefleet.Start(context.Background(), spec)
	}
	if err != nil {
		return err
	}
	env.Defer(func() {
		f.Stop()
		if err := gooseprogramtest.Races(dir); err != nil {
			env.T().Fatal(err)
		}
	})
	env.Values["fleet"] = f
	env.Setenv("PROGRAM", filepath.Join(bin, "gooseberryhold"))
	return nil
}

func fleet(ts *testscript.TestScript) *goosefleet.Fleet { return ts.Value("fleet").(*goosefleet.Fleet) }

// command returns the output of one step of a session.
type command func(ts *testscript.TestScript, args []string) (string, error)

// printed makes a script command that writes the output to stdout.
func printed(c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		out, err := c(ts, args)
		ts.Check(err)
		_, err = ts.Stdout().Write([]byte(out))
		ts.Check(err)
	}
}

// await repeats a command until its output matches: await <regexp> <command>...
func await(ts *testscript.TestScript, args []string) (string, error) {
	want := regexp.MustCompile("(?m)" + args[0])
	c := map[string]command{"call": call, "operate": operate}[args[1]]
	end := time.Now().Add(waitLimit)
	for {
		got, err := c(ts, args[2:])
		if err == nil && want.MatchString(got) {
			return got, nil
		}
		if time.Now().After(end) {
			return "", errors.Errorf("await: got %s, error %v, want a match of %s", got, err, want)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// fault sets fault switches: fault store|weights|<service> <JSON object>.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	f, set := fleet(ts), json.RawMessage(args[1])
	if args[0] == "store" {
		ts.Check(f.StoreFault(context.Background(), set))
		return
	}
	if args[0] == "weights" {
		ts.Check(f.Weights.SetFault(context.Background(), set))
		return
	}
	backends := f.BackendsOf(args[0], "")
	if len(backends) == 0 {
		ts.Fatalf("no service %q", args[0])
	}
	for _, b := range backends {
		ts.Check(b.SetFault(context.Background(), set))
	}
}

// entry kills or starts instances: entry kill|start <instance>...
func entry(ts *testscript.TestScript, _ bool, args []string) {
	ctx := context.Background()
	for _, name := range args[1:] {
		if args[0] == "start" {
			ts.Check(fleet(ts).StartInstance(ctx, name))
			continue
		}
		ts.Check(fleet(ts).Kill(name))
		_ = fleet(ts).Wait(ctx, name) // the error names the signal
	}
}

// join writes files one after the other: join <to> <from>...
func join(ts *testscript.TestScript, _ bool, args []string) {
	var all strings.Builder
	for _, name := range args[1:] {
		all.WriteString(ts.ReadFile(name))
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(all.String()), 0o600))
}
