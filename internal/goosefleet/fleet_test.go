package goosefleet

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// TestMain makes the test binary run as the simulator program when it is started
// under that name.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

func smallSpec(t *testing.T) Spec {
	t.Helper()
	s, err := Preset(Drummond)
	if err != nil {
		t.Fatal(err)
	}
	s.Bin, s.SkipInstances = gooseprogramtest.LinkPrograms(t, gooseprogramtest.SimulatorProgram), true
	for i := range s.Services {
		s.Services[i].Replicas = 3
	}
	return s
}

// Guards against simulators that are not reachable, faults that affect another
// data centre, and processes that still run after Stop.
func TestSimulatorsFaultsAndStop(t *testing.T) {
	t.Parallel()
	f, err := Start(t.Context(), smallSpec(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var counters goosestand.EngineCounters
	engine := f.BackendsOf("wording-desk", "leith")[0]
	if err := engine.Counters(t.Context(), &counters); err != nil || counters.Process == "" {
		t.Errorf("counters: got %+v %v, want a process", counters, err)
	}
	if err := engine.SetFault(t.Context(), map[string]bool{"no-such-fault": true}); err == nil {
		t.Error("unknown fault: got no error")
	}
	if err := f.CutDataCentreFromPlatform(t.Context(), "leith", true); err != nil {
		t.Fatal(err)
	}
	for dc, want := range map[string]bool{"leith": false, "dalkeith": true} {
		conn, err := net.DialTimeout("tcp", f.Stores[dc].Address, time.Second)
		if got := err == nil; got != want {
			t.Errorf("store reachable from %s: got %v, want %v", dc, got, want)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	f.Stop()
	if _, err := net.DialTimeout("tcp", engine.Control, time.Second); err == nil {
		t.Error("after Stop: the engine still accepts connections")
	}
}

// Guards against a kill that affects other replicas than the named one, and
// against executions that are lost by a kill.
func TestReplicaWithOwnProcess(t *testing.T) {
	t.Parallel()
	s := smallSpec(t)
	s.Services = s.Services[1:2]
	s.Services[0].OwnProcess = true
	f, err := Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	killed, other := f.Backends[0], f.Backends[1]
	resp, err := http.Post("http://"+killed.Address+"/orders", "text/plain", strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if err := f.Kill(killed.Name); err != nil {
		t.Fatal(err)
	}
	_ = f.Wait(t.Context(), killed.Name)
	var counters goosestand.PlainCounters
	if err := killed.Counters(t.Context(), &counters); err == nil {
		t.Error("the killed replica still responds")
	}
	if err := other.Counters(t.Context(), &counters); err != nil {
		t.Errorf("another replica: %v", err)
	}
	if err := f.StartBackend(t.Context(), killed.Name); err != nil {
		t.Fatal(err)
	}
	if err := f.StartBackend(t.Context(), killed.Name); err == nil {
		t.Error("second start: got no error")
	}
	var executions map[string]goosestand.Execution
	if err := killed.Executed(t.Context(), &executions); err != nil || executions[goosestand.BodyHash([]byte("order"))].Count != 1 {
		t.Errorf("executions after the restart: got %v, %v, want one", executions, err)
	}
	if err := f.Pause("order-book"); err == nil {
		t.Error("unknown name: got no error")
	}
}

// Guards against a configuration file that is decoded differently from what was
// written.
func TestConfigurationFile(t *testing.T) {
	t.Parallel()
	s := smallSpec(t)
	f := &Fleet{spec: s, dir: t.TempDir(), Backends: []*Simulator{{Name: "e", Service: "wording-desk", DataCentre: "leith", Address: "127.0.0.1:1", service: s.Services[0]}}}
	name, err := f.writeConfiguration()
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var got goose.Configuration
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&got); err != nil {
		t.Fatalf("%v\n%s", err, data)
	}
	if got.Services[0].Deadline != s.Services[0].Deadline || got.BackendServers[0].MemoryTokens != s.Services[0].MemoryTokens || len(got.Workspaces) != 10 {
		t.Errorf("got %+v, want what was written", got)
	}
}

// Guards against a failed start whose error does not name the cause, and against
// an incomplete Spec that is accepted.
func TestStartFails(t *testing.T) {
	t.Parallel()
	s := smallSpec(t)
	s.SkipInstances, s.Instances = false, 1
	if _, err := Start(t.Context(), s); err == nil || !strings.Contains(err.Error(), "gooseberryhold") {
		t.Errorf("missing program: got %v, want an error that names it", err)
	}
	for name, change := range map[string]func(*Spec){
		"no data centres": func(s *Spec) { s.DataCentres = nil },
		"no services":     func(s *Spec) { s.Services = nil },
		"no workspaces":   func(s *Spec) { s.Workspaces = nil },
		"no programs":     func(s *Spec) { s.Bin = "" },
	} {
		s := s
		change(&s)
		if _, err := Start(t.Context(), s); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// Guards against two fleets on one machine that use the same ports, and against
// blocks that stay reserved after a fleet has ended. The test does not run in
// parallel with other tests of the package: a process that another test starts
// holds all open sockets until its exec.
func TestPortsAreReserved(t *testing.T) {
	// No fleet uses this range, so that the fleets of other packages' tests, which
	// run at the same time, cannot reserve a block that was just released.
	testRange := portRange{first: firstPort + blockCount*(portsPerBlock+1), blockCount: 4}
	a, b := newPorts(testRange), newPorts(testRange)
	defer a.release()
	defer b.release()
	first, err := a.reserve(portsPerBlock + 1)
	if err != nil {
		t.Fatal(err)
	}
	block := (first - testRange.first) / portsPerBlock
	for i := range 2 {
		if _, ok := testRange.reserveBlocks(block+i, 1); ok {
			t.Errorf("block %d of 2: got it reserved twice", i)
		}
	}
	a.release()
	guards, ok := testRange.reserveBlocks(block, 2)
	if !ok {
		t.Error("after release: the blocks are still reserved")
	}
	closeListeners(guards)
	if _, err := b.reserve(testRange.blockCount*portsPerBlock + 1); err == nil {
		t.Error("more ports than the range has: got no error")
	}
}

// Guards against a fleet that waits for the response of a simulator that has
// already exited.
func TestStartFailsWhenSimulatorExits(t *testing.T) {
	t.Parallel()
	s := smallSpec(t)
	s.Services[0].Flags = []string{"--no-such-flag"}
	begin := time.Now()
	_, err := Start(t.Context(), s)
	if err == nil || !strings.Contains(err.Error(), "process exited during the start") || !strings.Contains(err.Error(), "no-such-flag") {
		t.Errorf("got %v, want an error with the simulator's message", err)
	}
	if took := time.Since(begin); took >= startTimeout {
		t.Errorf("got the error after %s, want it before the start timeout", took)
	}
}
