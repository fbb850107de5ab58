// Package gooseprogramtest lets a test binary run as the programs of a fleet, so that the
// fleet's processes run under the race detector, too. It also reads their logs.
package gooseprogramtest

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosecommand"
	"github.com/gooseberryhold/gooseberryhold/internal/goosehost"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseserve"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// Programs that a fleet starts.
const (
	SimulatorProgram = "goosestand"
	InstanceProgram  = "gooseberryhold"
)

// Main is the TestMain of a package that starts fleets. It runs a program if the test binary
// was started under the program's name, and the tests otherwise.
func Main(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case SimulatorProgram:
		os.Exit(goosestand.Run(context.Background(), os.Args[1:], os.Stderr))
	case InstanceProgram:
		app := &goosecommand.App{Serve: gooseserve.Run, Forward: goosehost.Run, Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Environ: os.Environ()}
		os.Exit(app.Run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// LinkPrograms returns a directory with the programs, which are symbolic links to the test binary.
func LinkPrograms(t testing.TB, programs ...string) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, name := range programs {
		if err := os.Symlink(self, filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// CheckRaces returns an error with the first data race of each log in a fleet's directory, or
// nil if there is none.
func CheckRaces(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return errors.Wrap(err, "logs")
	}
	var found []byte
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		if i := bytes.Index(data, []byte("WARNING: DATA RACE")); i >= 0 {
			found = append(found, filepath.Base(name)+": "...)
			found = append(found, data[i:min(i+6000, len(data))]...)
		}
	}
	if len(found) > 0 {
		return errors.New(string(found))
	}
	return nil
}

// PrintLogs prints the end of the instances' logs in a fleet's directory, and the stack
// trace of a simulator that has crashed.
func PrintLogs(t testing.TB, dir string, instances ...string) {
	const last = 3000
	if data, err := os.ReadFile(filepath.Join(dir, "simulators.log")); err == nil {
		if i := bytes.Index(data, []byte("goroutine ")); i >= 0 {
			t.Logf("a simulator crashed:\n%.4000s", data[max(i-500, 0):])
		}
	}
	for _, name := range instances {
		if data, err := os.ReadFile(filepath.Join(dir, name+".log")); err == nil {
			t.Logf("log of %s:\n%s", name, data[max(len(data)-last, 0):])
		}
	}
}
