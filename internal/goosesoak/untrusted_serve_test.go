package goosesoak

import (
	"context"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
)

// serveLimits are those of a process of serve, which takes its bound on connections from the
// kernel.
var serveLimits = processLimits{descriptors: 4200, memoryMB: 128}

// serveBodiesBytes is the memory of all bodies that the settings of these tests permit.
const serveBodiesBytes = 16 << 20

// serveCrowds are the crowds at an instance of serve.
var serveCrowds = map[string]untrustedKind{
	"long bodies that stop short":          {always: true, clients: 600, limits: serveLimits, send: announced(untrustedBodyBytes, untrustedBodyBytes-1, 32<<10)},
	"large chunks that stop short":         {clients: 600, limits: serveLimits, send: chunked(64<<10, untrustedBodyBytes-1, 1)},
	"one-byte chunks at full speed":        {clients: 200, limits: serveLimits, send: chunked(1, untrustedBodyBytes-1, 4096), goesOn: true, returns: true},
	"announced bodies far above the limit": {always: true, clients: 350, limits: serveLimits, send: announced(500<<20, 24<<20, 64<<10)},
	"sent bodies far above the limit":      {clients: 350, limits: serveLimits, send: chunked(64<<10, 24<<20, 1)},
	"bodies just above the least rate":     {clients: 600, limits: serveLimits, send: announcedSlowly(64 << 10), goesOn: true, returns: true},
	"unknown keys, long bodies":            {clients: 600, limits: serveLimits, send: unknownKey(untrustedBodyBytes, untrustedBodyBytes-1), goesOn: true, returns: true},
	"heads of many fields":                 {always: true, clients: 600, limits: serveLimits, send: manyFields(15 << 10)},
	"several kinds at once":                {clients: 600, limits: serveLimits, send: severalKinds, goesOn: true, returns: true},
}

// Guards against crowds of clients that exhaust the memory of a process of serve, or keep it from
// serving ordinary callers.
func TestCrowdsAtServe(t *testing.T) {
	if *clientKinds == "" {
		t.Skip("runs by itself, in the make targets clients and all-clients")
	}
	bin := buildInstance(t)
	for name, tc := range serveCrowds {
		if tc.always || *clientKinds == "all" {
			t.Run(name, func(t *testing.T) { runAtServe(t, bin, tc) })
		}
	}
}

// runAtServe checks an instance of serve while the clients' connections are open.
func runAtServe(t *testing.T, bin string, tc untrustedKind) {
	t.Helper()
	f, target := startServe(t, bin)
	crowd := startCrowd(t, tc, target)
	crowd.settle()
	checkOrdinary(t, target)
	if got := f.PID(f.Instances[0]); got != target.pid {
		t.Errorf("got process %d, want still %d", got, target.pid)
	}
	crowd.check(t)
}

// startServe starts a fleet with one instance.
func startServe(t *testing.T, bin string) (*goosefleet.Fleet, untrustedTarget) {
	t.Helper()
	spec, err := goosefleet.Preset(goosefleet.Drummond)
	if err != nil {
		t.Fatal(err)
	}
	spec.Bin, spec.Dir = bin, t.TempDir()
	spec.DataCentres, spec.Instances = spec.DataCentres[:1], 1
	spec.Services[0].Replicas = 1
	spec.Settings = map[string]any{"max-body-bytes": untrustedBodyBytes, "body-bytes-in-flight": serveBodiesBytes, "memory-bytes": serveLimits.memoryMB << 20}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	f, err := goosefleet.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	path := "/services/" + spec.Services[2].Name + "/sheets"
	return f, untrustedTarget{
		address: f.Instances[0].Caller, pid: f.PID(f.Instances[0]), host: f.Instances[0].Caller, key: f.Workspaces[0].Key,
		short: path, long: path, stream: path,
	}
}
