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

// TestMain lets the test binary be the simulators' program.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

func small(t *testing.T) Spec {
	t.Helper()
	s, err := Preset(Drummond)
	if err != nil {
		t.Fatal(err)
	}
	s.Bin, s.SkipInstances = gooseprogramtest.Bin(t, gooseprogramtest.Stand), true
	for i := range s.Services {
		s.Services[i].Replicas = 3
	}
	return s
}

// Guards against simulators that are not reachable, faults that hit the wrong
// data centre, and processes that outlive their fleet.
func TestSimulators(t *testing.T) {
	t.Parallel()
	f, err := Start(t.Context(), small(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var c goosestand.EngineCounters
	engine := f.BackendsOf("wording-desk", "leith")[0]
	if err := engine.Counters(t.Context(), &c); err != nil || c.Process == "" {
		t.Errorf("counters: got %+v %v, want a process", c, err)
	}
	if err := engine.SetFault(t.Context(), map[string]bool{"no-such-fault": true}); err == nil {
		t.Error("unknown fault: got no error")
	}
	if err := f.CutDataCentre(t.Context(), "leith", true); err != nil {
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
		t.Error("after Stop: the engine still answers")
	}
}

// Guards against a kill or a pause that hits other replicas than the one named,
// and against executions that a kill makes uncountable.
func TestReplicaApart(t *testing.T) {
	t.Parallel()
	s := small(t)
	s.Services = s.Services[1:2]
	s.Services[0].Apart = true
	f, err := Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	one, other := f.Backends[0], f.Backends[1]
	resp, err := http.Post("http://"+one.Address+"/orders", "text/plain", strings.NewReader("order"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if err := f.Kill(one.Name); err != nil {
		t.Fatal(err)
	}
	_ = f.Wait(t.Context(), one.Name)
	var c goosestand.PlainCounters
	if err := one.Counters(t.Context(), &c); err == nil {
		t.Error("the killed replica answers")
	}
	if err := other.Counters(t.Context(), &c); err != nil {
		t.Errorf("another replica: %v", err)
	}
	if err := f.StartBackend(t.Context(), one.Name); err != nil {
		t.Fatal(err)
	}
	if err := f.StartBackend(t.Context(), one.Name); err == nil {
		t.Error("second start: got no error")
	}
	var all map[string]goosestand.Execution
	if err := one.Executed(t.Context(), &all); err != nil || all[goosestand.BodyHash([]byte("order"))].Count != 1 {
		t.Errorf("executions after the restart: got %v, %v, want one", all, err)
	}
	if err := f.Pause("order-book"); err == nil {
		t.Error("unknown name: got no error")
	}
}

// Guards against a configuration file that does not read back as written.
func TestConfigurationFile(t *testing.T) {
	t.Parallel()
	s := small(t)
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

// Guards against a start that hides why it failed or leaves processes behind.
func TestStartFails(t *testing.T) {
	t.Parallel()
	s := small(t)
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

// Guards against two fleets of one machine that take the same ports, and
// against blocks that stay reserved after a fleet has ended. It runs beside no
// other test of the package: a process that one starts holds all sockets until
// its exec.
func TestPortsAreReserved(t *testing.T) {
	// No fleet uses this range, so that those of other packages' tests, which
	// run beside this one, can't take a block that was just given back.
	own := portRange{first: firstPort + blocks*(blockPorts+1), blocks: 4}
	a, b := newPorts(own), newPorts(own)
	defer a.release()
	defer b.release()
	first, err := a.take(blockPorts + 1)
	if err != nil {
		t.Fatal(err)
	}
	block := (first - own.first) / blockPorts
	for i := range 2 {
		if _, ok := own.guard(block+i, 1); ok {
			t.Errorf("block %d of 2: got it reserved twice", i)
		}
	}
	a.release()
	guards, ok := own.guard(block, 2)
	if !ok {
		t.Error("after release: the blocks are still reserved")
	}
	closeAll(guards)
	if _, err := b.take(own.blocks*blockPorts + 1); err == nil {
		t.Error("more ports than there are: got no error")
	}
}

// Guards against a fleet that waits for the answer of a simulator that has ended.
func TestEndedSimulatorFailsAtOnce(t *testing.T) {
	t.Parallel()
	s := small(t)
	s.Services[0].Flags = []string{"--no-such-flag"}
	begin := time.Now()
	_, err := Start(t.Context(), s)
	if err == nil || !strings.Contains(err.Error(), "ended at once") || !strings.Contains(err.Error(), "no-such-flag") {
		t.Errorf("got %v, want an error with the simulator's message", err)
	}
	if took := time.Since(begin); took >= startTimeout {
		t.Errorf("got the error after %s, the time given to a simulator that runs", took)
	}
}
