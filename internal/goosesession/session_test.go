// Package goosesession runs scripts of caller requests and operator commands against a small
// fleet of separate processes and compares their output with golden files.
// GOOSESESSION_UPDATE=1 rewrites the golden files.
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

// TestMain lets the test binary run as the programs of the fleet.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

// Guards against unintended changes of responses, refusals and command output, on which
// callers, operators and their programs rely.
func TestSessions(t *testing.T) {
	t.Parallel()
	bin := gooseprogramtest.LinkPrograms(t, gooseprogramtest.SimulatorProgram, gooseprogramtest.InstanceProgram)
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireUniqueNames: true, RequireExplicitExec: true,
		UpdateScripts: os.Getenv("GOOSESESSION_UPDATE") != "",
		Setup:         func(env *testscript.Env) error { return startFleet(env, bin) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call": printOutput(call), "operate": printOutput(operate), "await": printOutput(await),
			"fault": fault, "entry": entry, "join": join,
		},
	})
}

// waitTimeout is far above what the system needs; it only ends a script that would
// otherwise hang.
const waitTimeout = 2 * time.Minute

// startFleet starts the fleet of one script: a data centre with two instances.
func startFleet(env *testscript.Env, bin string) error {
	// Plain services start warm: a warm service is dispatched in every mode while the store
	// is down.
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
		// The period is so long that a script can exhaust the rate limit and never sees its
		// renewal.
		WeightStore: &goosefleet.WeightStore{MaxLoads: 2, Period: time.Hour, LoadTime: 100 * time.Millisecond},
		Settings:    map[string]any{"max-body-bytes": 64 << 10},
	}
	f, err := goosefleet.Start(context.Background(), spec)
	// Another process may take a port after the fleet has chosen it and before it listens.
	for n := 1; err != nil && n < 3; n++ {
		f, err = goosefleet.Start(context.Background(), spec)
	}
	if err != nil {
		return err
	}
	env.Defer(func() {
		f.Stop()
		if err := gooseprogramtest.CheckRaces(dir); err != nil {
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

// printOutput returns a script command that writes the output of a step to stdout.
func printOutput(c command) func(*testscript.TestScript, bool, []string) {
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
	end := time.Now().Add(waitTimeout)
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
		ts.Check(f.SetStoreFault(context.Background(), set))
		return
	}
	if args[0] == "weights" {
		ts.Check(f.WeightStore.SetFault(context.Background(), set))
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
