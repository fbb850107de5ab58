// Package goosesoak runs entry instances as separate processes, injects random faults from
// outside and checks what callers and backend servers see. A seed determines the plan of
// faults, but not the exact timing.
package goosesoak

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseprogramtest"
)

// TestMain lets the test binary run as the instances' program.
func TestMain(m *testing.M) { gooseprogramtest.Main(m) }

var (
	firstSeed     = flag.Uint64("soak.first", 0, "first of the additional `seed`s of TestSoak")
	extraSeeds    = flag.Int("soak.seeds", 0, "`number` of seeds that TestSoak runs in addition to the fixed ones")
	faultTime     = flag.Duration("soak.length", 5*time.Second, "`time` of faults for each seed")
	instanceCount = flag.Int("soak.instances", 4, "`number` of instances")
	callerCount   = flag.Int("soak.callers", 12, "`number` of callers")
	clientKinds   = flag.String("soak.clients", "", "`kinds` of TestUntrustedClients to run: some or all")
	keepDir       = flag.String("soak.keep", "", "`directory` for the logs of failed seeds")
)

// fixedSeeds are the seeds that CI runs: an arbitrary one, and each seed that has ever
// failed with a line on the cause.
var fixedSeeds = map[string]uint64{
	"any": 1,
	// A second SIGTERM aborted the requests that a graceful shutdown was finishing.
	"two stops in a row": 111,
}

// Guards against violated guarantees when several faults overlap in combinations that no
// other test covers.
func TestSoak(t *testing.T) {
	for name, seed := range fixedSeeds {
		t.Run(name, func(t *testing.T) { runSoak(t, seed) })
	}
	for n := range *extraSeeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// runSoak injects the faults of one seed under load and checks the recorded requests.
func runSoak(t *testing.T, seed uint64) {
	f := newFleet(t, gooseprogramtest.LinkPrograms(t, gooseprogramtest.InstanceProgram), *instanceCount)
	plan := planFaults(rand.New(rand.NewPCG(seed, 1)), *faultTime)
	added := append(planUnreachablePeers(rand.New(rand.NewPCG(seed, 2)), *faultTime), planForeignEntries(rand.New(rand.NewPCG(seed, 4)), *faultTime)...)
	added = append(added, planRestore(rand.New(rand.NewPCG(seed, 5)), *faultTime)...)
	for _, ft := range added {
		at, _ := slices.BinarySearchFunc(plan, ft, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
		plan = slices.Insert(plan, at, ft)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, ft := range plan {
				t.Log(ft)
			}
			f.keepLogs(seed)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	var load, faults conc.WaitGroup
	for n := range *callerCount {
		c := newCaller(fmt.Sprintf("c%d", n), seed+uint64(n), f.journal)
		load.Go(func() { c.run(ctx, f.instances) })
	}
	prober := newCaller("p", seed, f.journal)
	load.Go(func() {
		for ctx.Err() == nil {
			for _, i := range f.instances {
				prober.probe(i, f.newestVersion)
			}
		}
	})
	poisons := newPoisonCallers(seed, f.journal)
	for _, p := range poisons {
		load.Go(func() { p.resend(ctx, f.instances) })
	}
	started := time.Now()
	for _, ft := range plan {
		time.Sleep(time.Until(started.Add(ft.start)))
		faults.Go(func() { f.inject(ft) })
	}
	faults.Wait()
	f.clearFaults()
	stop()
	load.Wait()
	f.waitForRecovery()
	for _, p := range poisons {
		p.checkRefused(t, f.instances)
	}
	f.waitForSoundParts()
	f.stopUnderLoad()
	eventually(t, "no replica has a request in flight", f.journal.idle)
	eventually(t, "no memory stays reserved", func() bool { return f.reserved() == 0 })
	f.checkProcesses()
	f.journal.check()
	f.logSummary()
	f.journal.report(t)
}

// clearFaults ends all faults.
func (f *fleet) clearFaults() {
	f.store.SetFault(nil)
	for _, i := range f.instances {
		i.storeGate.setClosed(false)
		i.storeProxy.setFault(linkHealthy, true)
		i.callerProxy.setFault(linkHealthy, true)
		i.current().signal(syscall.SIGCONT)
	}
	for _, e := range f.endpoints {
		e.proxy.setFault(linkHealthy, true)
		e.current().setFault(replicaHealthy)
	}
}

// waitForRecovery writes a new routing version and waits until every instance serves every
// kind of request by it.
func (f *fleet) waitForRecovery() {
	f.t.Helper()
	f.writeRouting()
	c := newCaller("recovery", 1, f.journal)
	for _, i := range f.instances {
		eventually(f.t, i.name+" is ready again", i.isReady)
		for k := range serviceOfKind {
			path, key := fmt.Sprintf("/%s/after", k), "k1"
			if k == kindProbe {
				path, key = fmt.Sprintf("/p%d/after", f.newestVersion()), fmt.Sprintf("kv%d", f.newestVersion())
			}
			eventually(f.t, fmt.Sprintf("%s serves %s again", i.name, k), func() bool {
				r := c.send(context.Background(), i, k, path, key, 0)
				return r.status == 200 && r.complete
			})
		}
	}
}

// waitForSoundParts waits until requests with each part that sound prompts have are served. A
// part that was suspected during the faults is served again after a trial.
func (f *fleet) waitForSoundParts() {
	f.t.Helper()
	c := newCaller("sound", 1, f.journal)
	for part := range soundParts {
		c.part = soundPart(part)
		eventually(f.t, "prompts with the part "+c.part+" are served again", func() bool {
			r := c.send(context.Background(), f.instances[c.random.IntN(len(f.instances))], kindStream, "/stream/sound", "k1", 0)
			return r.status == 200 && r.complete
		})
	}
}

// stopUnderLoad shuts down all instances while each has a stream in flight, and checks
// that no stream is cut.
func (f *fleet) stopUnderLoad() {
	f.t.Helper()
	var streams, stops conc.WaitGroup
	streamRequests := make([]*request, len(f.instances))
	for n, i := range f.instances {
		c := newCaller("last-"+i.name, uint64(n), f.journal)
		streams.Go(func() { streamRequests[n] = c.send(context.Background(), i, kindStream, shutdownStreamPath, "k1", 0) })
	}
	eventually(f.t, "a stream runs at every instance", func() bool {
		f.journal.mu.Lock()
		defer f.journal.mu.Unlock()
		return f.journal.running == len(f.instances)
	})
	for _, i := range f.instances {
		stops.Go(func() { i.current().terminate(f.journal) })
	}
	eventually(f.t, "every process has been sent SIGTERM", func() bool {
		for _, i := range f.instances {
			if _, terminated := i.current().stopSignals(); !terminated {
				return false
			}
		}
		return true
	})
	close(f.journal.resumeShutdownStreams)
	streams.Wait()
	stops.Wait()
	for _, r := range streamRequests {
		if r.status != 200 || !r.complete {
			f.journal.violate("stop", "a graceful shutdown cut stream %s: status %d", r.id, r.status)
		}
	}
}

func (f *fleet) reserved() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.current().reserved(time.Now())
	}
	return n
}

// checkProcesses looks for processes that exited by themselves, data races, and failed
// requests without a log line.
func (f *fleet) checkProcesses() {
	for _, i := range f.instances {
		for _, p := range i.processes {
			killed, terminated := p.stopSignals()
			data, err := os.ReadFile(p.log)
			if err != nil {
				f.t.Error(err)
				continue
			}
			// A signal may end a process before it serves; it then has no request to finish.
			started := bytes.Contains(data, []byte("instance started"))
			if started && !killed && (!terminated || p.waitErr != nil) {
				f.journal.violate("ended", "the process with the log %s exited by itself or with an error: %v", p.log, p.waitErr)
			}
			if n := bytes.Index(data, []byte("WARNING: DATA RACE")); n >= 0 {
				f.journal.violate("race", "%s: %s", p.log, data[n:min(n+4000, len(data))])
			}
			if !killed && !bytes.Contains(data, []byte("dropped")) {
				f.checkErrorLines(p, data)
			}
		}
	}
}

// checkErrorLines checks that the log has a line for each request that the process has
// refused or failed.
func (f *fleet) checkErrorLines(p *process, data []byte) {
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	for _, r := range f.journal.requests {
		if r.process == p && r.status >= 400 && !bytes.Contains(data, []byte(`"request":"`+r.id+`"`)) {
			f.journal.violateLocked("line", "%s has no log line for %s %s, status %d", p.log, r.kind, r.id, r.status)
		}
	}
}

// logSummary logs the number of requests of each kind with each outcome.
func (f *fleet) logSummary() {
	f.journal.mu.Lock()
	defer f.journal.mu.Unlock()
	outcomes := map[string]int{}
	for _, r := range f.journal.requests {
		outcome := fmt.Sprint(r.status)
		switch {
		case r.cancelled:
			outcome = "left"
		case r.status == 0 || !r.complete:
			outcome = "cut"
		}
		outcomes[string(r.kind)+" "+outcome]++
	}
	f.t.Log(outcomes)
}

// keepLogs copies the logs of a failed seed.
func (f *fleet) keepLogs(seed uint64) {
	if *keepDir == "" {
		return
	}
	to := filepath.Join(*keepDir, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(to, os.DirFS(f.instances[0].dir)); err != nil {
		f.t.Log(err)
	}
}
