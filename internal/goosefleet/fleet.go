package goosefleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Instance is one entry instance of the fleet.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// Caller, Operator and Peer are the host:port of the caller API, the operator
	// API and the peer link.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	// UDPProxy forwards the packets to the peer link if Spec.Partitions is set; Peer
	// is then the proxy's address.
	UDPProxy *Simulator `json:"relay,omitempty"`

	// listenAddress is the address on which the peer link listens; Peer is the one
	// that other instances dial.
	listenAddress string
	process       *process
	log           *os.File
}

// Simulator is one platform simulator of the fleet.
type Simulator struct {
	Name       string `json:"name"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data-centre"`
	Plain      bool   `json:"plain,omitempty"`
	// Address is the host:port of the simulated component, Control that of its
	// faults and counters.
	Address string `json:"address"`
	Control string `json:"control"`

	service Service
	// process and args are set only for a replica with its own process.
	process *process
	args    []string
}

// Fleet is a running deployment. Its exported fields do not change after Start
// has returned.
type Fleet struct {
	Instances []*Instance
	// Backends are the simulators of engines and plain services.
	Backends []*Simulator
	// Stores and Lists are the endpoints of the store and the instance list by data
	// centre, and also by instance name if Spec.Partitions is set.
	Stores map[string]*Simulator
	Lists  map[string]*Simulator
	// Balancer is the load balancer for callers; nil if Spec.SkipInstances is set.
	Balancer *Simulator
	// WeightStore is the weight store; nil if the fleet has none.
	WeightStore   *Simulator
	Workspaces    []Workspace
	Services      []Service
	OperatorToken string

	spec       Spec
	dir        string
	removeDir  bool
	ports      *ports
	cutLinksMu sync.Mutex
	cutLinks   map[link]bool
	mu         sync.Mutex
	simulators []*process
	// simulatorLog is the file for the output of the simulators.
	simulatorLog *os.File
}

// Start starts a fleet, applies its configuration and waits until every instance
// is ready. If it fails, it stops everything that it has started.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	if err := spec.validate(); err != nil {
		return nil, err
	}
	f := &Fleet{
		ports:  newPorts(portRange{first: firstPort, blockCount: blockCount}),
		Stores: map[string]*Simulator{}, Lists: map[string]*Simulator{}, cutLinks: map[link]bool{}, spec: spec, dir: spec.Dir,
		Workspaces: spec.Workspaces, Services: spec.Services, OperatorToken: rand.Text(),
	}
	if err := f.start(ctx); err != nil {
		err = errors.WithMessage(err, f.logTails())
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.dir == "" {
		dir, err := os.MkdirTemp("", "goosefleet-")
		if err != nil {
			return errors.Wrap(err, "working directory")
		}
		f.dir, f.removeDir = dir, true
	}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return errors.Wrap(err, "working directory")
	}
	var err error
	if f.simulatorLog, err = os.Create(f.filePath("simulators.log")); err != nil {
		return errors.Wrap(err, "log")
	}
	if !f.spec.SkipInstances {
		if err := f.planInstances(); err != nil {
			return err
		}
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if f.spec.SkipInstances {
		return nil
	}
	if f.spec.Partitions {
		if err := f.startUDPProxies(ctx); err != nil {
			return err
		}
	}
	if err := f.writeCertificates(); err != nil {
		return err
	}
	for _, inst := range f.Instances {
		if err := f.writeSettings(inst); err != nil {
			return err
		}
		if err := f.StartInstance(ctx, inst.Name); err != nil {
			return err
		}
	}
	return f.configureAndWait(ctx)
}

// configureAndWait starts the balancer, applies the configuration and waits until
// the instances are ready and the balancer uses them.
func (f *Fleet) configureAndWait(ctx context.Context) error {
	if err := f.startBalancer(ctx); err != nil {
		return err
	}
	if err := f.waitHealthy(ctx, "/healthz"); err != nil {
		return err
	}
	name, err := f.writeConfiguration()
	if err != nil {
		return err
	}
	if err := f.RunOperatorCommand(ctx, "apply", name, "--author", author, "--wait", "0"); err != nil {
		return err
	}
	if err := f.waitHealthy(ctx, "/readyz"); err != nil {
		return err
	}
	return f.waitBalancer(ctx)
}

// planInstances assigns every instance its name and ports.
func (f *Fleet) planInstances() error {
	first, err := f.ports.reserve(3 * f.spec.Instances)
	if err != nil {
		return err
	}
	for n := range f.spec.Instances {
		dc := f.spec.DataCentres[n%len(f.spec.DataCentres)]
		peer := loopback(first + 3*n + 2)
		f.Instances = append(f.Instances, &Instance{
			Name: fmt.Sprintf("%s-entry-%d", dc, n/len(f.spec.DataCentres)), DataCentre: dc,
			Caller: loopback(first + 3*n), Operator: loopback(first + 3*n + 1), Peer: peer, listenAddress: peer,
		})
	}
	return nil
}

// startSimulators starts a simulator process and waits until the given control
// port responds.
func (f *Fleet) startSimulators(ctx context.Context, name, control string, args ...string) error {
	_, err := f.startSimulatorProcess(ctx, name, control, args...)
	return err
}

func (f *Fleet) startSimulatorProcess(ctx context.Context, name, control string, args ...string) (*process, error) {
	p, err := startProcess(f.spec.Bin, name, f.simulatorLog, "goosestand", args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.simulators = append(f.simulators, p)
	f.mu.Unlock()
	return p, f.waitUntil(ctx, name, p, func() error { return getJSON(ctx, "http://"+control+"/fault", nil) })
}

// startPlatform starts the store, the list and the backend servers.
func (f *Fleet) startPlatform(ctx context.Context) error {
	endpoints, dataCentres := f.endpointNames()
	n := len(endpoints)
	first, err := f.ports.reserve(4 * n)
	if err != nil {
		return err
	}
	for i, name := range endpoints {
		f.Stores[name] = &Simulator{Name: "store", DataCentre: dataCentres[i], Address: loopback(first + i), Control: loopback(first + n + i)}
		f.Lists[name] = &Simulator{Name: "list", DataCentre: dataCentres[i], Address: loopback(first + 2*n + i), Control: loopback(first + 3*n + i)}
	}
	portFlags := func(p int) []string {
		return []string{"--port", strconv.Itoa(p), "--control-port", strconv.Itoa(p + n), "--count", strconv.Itoa(n)}
	}
	if err := f.startSimulators(ctx, "store", loopback(first+2*n-1), append([]string{"store"}, portFlags(first)...)...); err != nil {
		return err
	}
	args := append([]string{"list", "--lag", f.spec.ListLag.String(), "--endpoints", strings.Join(endpoints, ",")}, portFlags(first+2*n)...)
	if err := f.startSimulators(ctx, "list", loopback(first+4*n-1), args...); err != nil {
		return err
	}
	if err := f.startWeightStore(ctx); err != nil {
		return err
	}
	for _, s := range f.spec.Services {
		if err := f.startService(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startWeightStore(ctx context.Context) error {
	w := f.spec.WeightStore
	if w == nil {
		return nil
	}
	first, err := f.ports.reserve(2)
	if err != nil {
		return err
	}
	f.WeightStore = &Simulator{Name: "weights", Address: loopback(first), Control: loopback(first + 1)}
	return f.startSimulators(ctx, "weights", f.WeightStore.Control, "weights", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+1),
		"--loads", strconv.Itoa(w.MaxLoads), "--period", w.Period.String(), "--load-time", w.LoadTime.String())
}

// endpointNames returns the names of the endpoints of the store and the list, and
// the data centre of each.
func (f *Fleet) endpointNames() (names, dataCentres []string) {
	names = append(names, f.spec.DataCentres...)
	dataCentres = append(dataCentres, f.spec.DataCentres...)
	if f.spec.Partitions {
		for _, inst := range f.Instances {
			names, dataCentres = append(names, inst.Name), append(dataCentres, inst.DataCentre)
		}
	}
	return names, dataCentres
}

// endpointOf returns the name of the endpoint that an instance uses.
func (f *Fleet) endpointOf(inst *Instance) string {
	if f.spec.Partitions {
		return inst.Name
	}
	return inst.DataCentre
}

func (f *Fleet) startService(ctx context.Context, s Service) error {
	first, err := f.ports.reserve(2 * s.Replicas)
	if err != nil {
		return err
	}
	for i := range s.Replicas {
		dc := f.spec.DataCentres[i%len(f.spec.DataCentres)]
		f.Backends = append(f.Backends, &Simulator{
			Name: fmt.Sprintf("%s-%02d", s.Name, i), Service: s.Name, DataCentre: dc, Plain: s.Plain,
			Address: loopback(first + i), Control: loopback(first + s.Replicas + i), service: s,
		})
	}
	args := []string{
		"engine", "--model", s.Name, "--memory-tokens", strconv.Itoa(s.MemoryTokens), "--cold-tokens", strconv.Itoa(s.ColdTokens),
	}
	if s.FencingIgnored {
		args = append(args, "--fencing", "ignored")
	}
	if f.WeightStore != nil {
		args = append(args, "--weights", f.WeightStore.Address)
	}
	if s.Plain {
		args = []string{"plain", "--name", s.Name}
	}
	args = append(args, "--concurrency", strconv.Itoa(s.Concurrency), "--cold-concurrency", strconv.Itoa(s.ColdConcurrency))
	args = append(args, s.Flags...)
	portFlags := func(i, count int) []string {
		return []string{"--port", strconv.Itoa(first + i), "--control-port", strconv.Itoa(first + s.Replicas + i), "--count", strconv.Itoa(count)}
	}
	if !s.OwnProcess {
		return f.startSimulators(ctx, s.Name, loopback(first+2*s.Replicas-1), append(args, portFlags(0, s.Replicas)...)...)
	}
	for i, b := range f.Backends[len(f.Backends)-s.Replicas:] {
		b.args = append(slices.Clone(args), portFlags(i, 1)...)
		if s.Plain {
			b.args = append(b.args, "--journal", f.filePath(b.Name+".journal"))
		}
		if err := f.StartBackend(ctx, b.Name); err != nil {
			return err
		}
	}
	return nil
}

// StartBackend starts a backend server with its own process, which must not be
// running.
func (f *Fleet) StartBackend(ctx context.Context, name string) error {
	b, err := f.backendWithOwnProcess(name)
	if err != nil {
		return err
	}
	if p, err := f.processOf(name); err == nil && p.signal(syscall.Signal(0)) == nil {
		return errors.Errorf("%s is already running", name)
	}
	p, err := f.startSimulatorProcess(ctx, name, b.Control, b.args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.process = p
	return err
}

// backendWithOwnProcess returns the backend server with this name, which must
// have its own process.
func (f *Fleet) backendWithOwnProcess(name string) (*Simulator, error) {
	for _, b := range f.Backends {
		if b.Name == name && b.args != nil {
			return b, nil
		}
	}
	return nil, errors.Errorf("no instance or backend server %q with its own process", name)
}

func (f *Fleet) startBalancer(ctx context.Context) error {
	first, err := f.ports.reserve(2)
	if err != nil {
		return err
	}
	targets := make([]string, len(f.Instances))
	for i, inst := range f.Instances {
		targets[i] = inst.Caller + "/" + inst.Operator
	}
	f.Balancer = &Simulator{Name: "balancer", Address: loopback(first), Control: loopback(first + 1)}
	return f.startSimulators(ctx, "balancer", f.Balancer.Control, "balancer", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+1), "--targets", strings.Join(targets, ","))
}

// startTimeout bounds each wait during the start of the fleet.
const startTimeout = 30 * time.Second

// waitUntil repeats a check until it succeeds, the process ends, startTimeout
// passes or ctx is done.
func (f *Fleet) waitUntil(ctx context.Context, what string, p *process, check func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-p.exited:
			// The process can no longer respond, and another program may use its port.
			return errors.Errorf("%s: process exited during the start: %v", what, p.wait(ctx))
		default:
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "timed out after %s waiting for %s", startTimeout, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (f *Fleet) waitHealthy(ctx context.Context, path string) error {
	for _, inst := range f.Instances {
		err := f.waitUntil(ctx, inst.Name+path, inst.process, func() error { return getJSON(ctx, "http://"+inst.Operator+path, nil) })
		if err != nil {
			return err
		}
	}
	return nil
}

// waitBalancer waits until the balancer considers every instance healthy.
func (f *Fleet) waitBalancer(ctx context.Context) error {
	f.mu.Lock()
	// The balancer is the simulator that was started last.
	balancer := f.simulators[len(f.simulators)-1]
	f.mu.Unlock()
	return f.waitUntil(ctx, "balancer", balancer, func() error {
		var c struct {
			Healthy []string `json:"healthy"`
		}
		if err := getJSON(ctx, "http://"+f.Balancer.Control+"/counters", &c); err != nil {
			return err
		}
		if len(c.Healthy) < len(f.Instances) {
			return errors.Errorf("%d of %d instances are healthy", len(c.Healthy), len(f.Instances))
		}
		return nil
	})
}

// logTails returns the last part of each log.
func (f *Fleet) logTails() string {
	var b strings.Builder
	b.WriteString("fleet did not start")
	logs := map[string]string{"simulators": f.filePath("simulators.log")}
	for _, inst := range f.Instances {
		logs[inst.Name] = f.logPath(inst)
	}
	for name, file := range logs {
		data, err := os.ReadFile(file)
		if err != nil || len(data) == 0 {
			continue
		}
		data = data[max(0, len(data)-500):]
		fmt.Fprintf(&b, "\n%s: ...%s", name, data)
	}
	return b.String()
}

// ReadLog returns the log of an instance.
func (f *Fleet) ReadLog(name string) (string, error) {
	inst, err := f.Instance(name)
	if err != nil {
		return "", err
	}
	data, err := os.ReadFile(f.logPath(inst))
	return string(data), errors.Wrap(err, "log")
}

func (f *Fleet) logPath(inst *Instance) string { return filepath.Join(f.dir, inst.Name+".log") }

// Stop ends every process of the fleet, instances before simulators, and removes
// its temporary directory.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	stop := func(p *process) {
		if p != nil {
			wg.Go(p.stop)
		}
	}
	f.mu.Lock()
	for _, inst := range f.Instances {
		stop(inst.process)
	}
	running := f.simulators
	f.mu.Unlock()
	wg.Wait()
	for _, p := range running {
		stop(p)
	}
	wg.Wait()
	for _, inst := range f.Instances {
		if inst.log != nil {
			_ = inst.log.Close()
		}
	}
	if f.simulatorLog != nil {
		_ = f.simulatorLog.Close()
	}
	f.ports.release()
	if f.removeDir {
		_ = os.RemoveAll(f.dir)
	}
}
