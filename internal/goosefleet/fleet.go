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
	// Caller, Operator and Peer are the host:port of its three interfaces.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	// Relay stands before Peer if Spec.Partitions is set.
	Relay *Simulator `json:"relay,omitempty"`

	// listen is the peer link's own address; Peer is the one that others dial.
	listen  string
	process *process
	log     *os.File
}

// Simulator is one platform simulator of the fleet.
type Simulator struct {
	Name       string `json:"name"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data-centre"`
	Plain      bool   `json:"plain,omitempty"`
	// Address serves the protocol, Control the faults and counters.
	Address string `json:"address"`
	Control string `json:"control"`

	service Service
	// process and args are set for a replica in a process of its own.
	process *process
	args    []string
}

// Fleet is a running deployment. Its exported fields do not change once Start
// has returned.
type Fleet struct {
	Instances []*Instance
	// Backends are the simulators of engines and plain services.
	Backends []*Simulator
	// Stores and Lists are the endpoints of the store and the list by data centre,
	// and by instance as well if Spec.Partitions is set.
	Stores map[string]*Simulator
	Lists  map[string]*Simulator
	// Balancer is the address for callers; empty if SkipInstances is set.
	Balancer *Simulator
	// Weights is the weight store; nil if the fleet has none.
	Weights       *Simulator
	Workspaces    []Workspace
	Services      []Service
	OperatorToken string

	spec    Spec
	dir     string
	ownDir  bool
	ports   *ports
	cutMu   sync.Mutex
	cuts    map[link]bool
	mu      sync.Mutex
	running []*process
	// log takes the output of the simulators.
	log *os.File
}

// Start starts the fleet, applies its configuration and waits until every
// instance is ready. If it fails, everything it started is stopped.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	if err := spec.check(); err != nil {
		return nil, err
	}
	f := &Fleet{
		ports:  newPorts(portRange{first: firstPort, blocks: blocks}),
		Stores: map[string]*Simulator{}, Lists: map[string]*Simulator{}, cuts: map[link]bool{}, spec: spec, dir: spec.Dir,
		Workspaces: spec.Workspaces, Services: spec.Services, OperatorToken: rand.Text(),
	}
	if err := f.start(ctx); err != nil {
		err = errors.WithMessage(err, f.lastLogs())
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
		f.dir, f.ownDir = dir, true
	}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return errors.Wrap(err, "working directory")
	}
	var err error
	if f.log, err = os.Create(f.file("simulators.log")); err != nil {
		return errors.Wrap(err, "log")
	}
	if !f.spec.SkipInstances {
		if err := f.plan(); err != nil {
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
		if err := f.startRelays(ctx); err != nil {
			return err
		}
	}
	if err := f.writeCertificates(); err != nil {
		return err
	}
	for _, i := range f.Instances {
		if err := f.writeSettings(i); err != nil {
			return err
		}
		if err := f.StartInstance(ctx, i.Name); err != nil {
			return err
		}
	}
	return f.ready(ctx)
}

// ready applies the configuration and waits for the instances.
func (f *Fleet) ready(ctx context.Context) error {
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
	if err := f.Operate(ctx, "apply", name, "--author", author, "--wait", "0"); err != nil {
		return err
	}
	if err := f.waitHealthy(ctx, "/readyz"); err != nil {
		return err
	}
	return f.waitBalancer(ctx)
}

// plan gives every instance its name and ports.
func (f *Fleet) plan() error {
	first, err := f.ports.take(3 * f.spec.Instances)
	if err != nil {
		return err
	}
	for n := range f.spec.Instances {
		dc := f.spec.DataCentres[n%len(f.spec.DataCentres)]
		peer := loopback(first + 3*n + 2)
		f.Instances = append(f.Instances, &Instance{
			Name: fmt.Sprintf("%s-entry-%d", dc, n/len(f.spec.DataCentres)), DataCentre: dc,
			Caller: loopback(first + 3*n), Operator: loopback(first + 3*n + 1), Peer: peer, listen: peer,
		})
	}
	return nil
}

// run starts a simulator program and waits until its first control port answers.
func (f *Fleet) run(ctx context.Context, name, control string, args ...string) error {
	_, err := f.runProcess(ctx, name, control, args...)
	return err
}

func (f *Fleet) runProcess(ctx context.Context, name, control string, args ...string) (*process, error) {
	p, err := startProcess(f.spec.Bin, name, f.log, "goosestand", args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.running = append(f.running, p)
	f.mu.Unlock()
	return p, f.waitFor(ctx, name, p, func() error { return get(ctx, "http://"+control+"/fault", nil) })
}

// startPlatform starts the store, the list and the backend servers.
func (f *Fleet) startPlatform(ctx context.Context) error {
	endpoints, dcs := f.endpoints()
	n := len(endpoints)
	first, err := f.ports.take(4 * n)
	if err != nil {
		return err
	}
	for i, name := range endpoints {
		f.Stores[name] = &Simulator{Name: "store", DataCentre: dcs[i], Address: loopback(first + i), Control: loopback(first + n + i)}
		f.Lists[name] = &Simulator{Name: "list", DataCentre: dcs[i], Address: loopback(first + 2*n + i), Control: loopback(first + 3*n + i)}
	}
	ports := func(p int) []string {
		return []string{"--port", strconv.Itoa(p), "--control-port", strconv.Itoa(p + n), "--count", strconv.Itoa(n)}
	}
	if err := f.run(ctx, "store", loopback(first+2*n-1), append([]string{"store"}, ports(first)...)...); err != nil {
		return err
	}
	args := append([]string{"list", "--lag", f.spec.ListLag.String(), "--endpoints", strings.Join(endpoints, ",")}, ports(first+2*n)...)
	if err := f.run(ctx, "list", loopback(first+4*n-1), args...); err != nil {
		return err
	}
	if err := f.startWeights(ctx); err != nil {
		return err
	}
	for _, s := range f.spec.Services {
		if err := f.startService(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startWeights(ctx context.Context) error {
	w := f.spec.WeightStore
	if w == nil {
		return nil
	}
	first, err := f.ports.take(2)
	if err != nil {
		return err
	}
	f.Weights = &Simulator{Name: "weights", Address: loopback(first), Control: loopback(first + 1)}
	return f.run(ctx, "weights", f.Weights.Control, "weights", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+1),
		"--loads", strconv.Itoa(w.Loads), "--period", w.Period.String(), "--load-time", w.LoadTime.String())
}

// endpoints returns the names of the endpoints of store and list, and the data centre
// of each.
func (f *Fleet) endpoints() (names, dcs []string) {
	names = append(names, f.spec.DataCentres...)
	dcs = append(dcs, f.spec.DataCentres...)
	if f.spec.Partitions {
		for _, i := range f.Instances {
			names, dcs = append(names, i.Name), append(dcs, i.DataCentre)
		}
	}
	return names, dcs
}

// endpointOf returns the name of the endpoint that an instance uses.
func (f *Fleet) endpointOf(i *Instance) string {
	if f.spec.Partitions {
		return i.Name
	}
	return i.DataCentre
}

func (f *Fleet) startService(ctx context.Context, s Service) error {
	first, err := f.ports.take(2 * s.Replicas)
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
	if f.Weights != nil {
		args = append(args, "--weights", f.Weights.Address)
	}
	if s.Plain {
		args = []string{"plain", "--name", s.Name}
	}
	args = append(args, "--concurrency", strconv.Itoa(s.Concurrency), "--cold-concurrency", strconv.Itoa(s.ColdConcurrency))
	args = append(args, s.Flags...)
	ports := func(i, count int) []string {
		return []string{"--port", strconv.Itoa(first + i), "--control-port", strconv.Itoa(first + s.Replicas + i), "--count", strconv.Itoa(count)}
	}
	if !s.Apart {
		return f.run(ctx, s.Name, loopback(first+2*s.Replicas-1), append(args, ports(0, s.Replicas)...)...)
	}
	for i, b := range f.Backends[len(f.Backends)-s.Replicas:] {
		b.args = append(slices.Clone(args), ports(i, 1)...)
		if s.Plain {
			b.args = append(b.args, "--journal", f.file(b.Name+".journal"))
		}
		if err := f.StartBackend(ctx, b.Name); err != nil {
			return err
		}
	}
	return nil
}

// StartBackend starts a backend server that has a process of its own and does
// not run.
func (f *Fleet) StartBackend(ctx context.Context, name string) error {
	b, err := f.backend(name)
	if err != nil {
		return err
	}
	if p, err := f.processOf(name); err == nil && p.signal(syscall.Signal(0)) == nil {
		return errors.Errorf("%s runs already", name)
	}
	p, err := f.runProcess(ctx, name, b.Control, b.args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.process = p
	return err
}

// backend returns the backend server of that name with a process of its own.
func (f *Fleet) backend(name string) (*Simulator, error) {
	for _, b := range f.Backends {
		if b.Name == name && b.args != nil {
			return b, nil
		}
	}
	return nil, errors.Errorf("no instance or backend server %q with a process of its own", name)
}

func (f *Fleet) startBalancer(ctx context.Context) error {
	first, err := f.ports.take(2)
	if err != nil {
		return err
	}
	targets := make([]string, len(f.Instances))
	for i, in := range f.Instances {
		targets[i] = in.Caller + "/" + in.Operator
	}
	f.Balancer = &Simulator{Name: "balancer", Address: loopback(first), Control: loopback(first + 1)}
	return f.run(ctx, "balancer", f.Balancer.Control, "balancer", "--port", strconv.Itoa(first), "--control-port", strconv.Itoa(first+1), "--targets", strings.Join(targets, ","))
}

// startTimeout bounds each wait while the fleet starts.
const startTimeout = 30 * time.Second

// waitFor repeats a check until it succeeds, the process ends, a start times
// out or ctx ends.
func (f *Fleet) waitFor(ctx context.Context, what string, p *process, check func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-p.done:
			// Its answer can no longer come; another program may have its port.
			return errors.Errorf("%s: ended at once: %v", what, p.wait(ctx))
		default:
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "waited %s for %s", startTimeout, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (f *Fleet) waitHealthy(ctx context.Context, path string) error {
	for _, i := range f.Instances {
		err := f.waitFor(ctx, i.Name+path, i.process, func() error { return get(ctx, "http://"+i.Operator+path, nil) })
		if err != nil {
			return err
		}
	}
	return nil
}

// waitBalancer waits until the balancer uses every instance.
func (f *Fleet) waitBalancer(ctx context.Context) error {
	f.mu.Lock()
	// The balancer is started last.
	balancer := f.running[len(f.running)-1]
	f.mu.Unlock()
	return f.waitFor(ctx, "balancer", balancer, func() error {
		var c struct {
			Healthy []string `json:"healthy"`
		}
		if err := get(ctx, "http://"+f.Balancer.Control+"/counters", &c); err != nil {
			return err
		}
		if len(c.Healthy) < len(f.Instances) {
			return errors.Errorf("%d of %d instances are healthy", len(c.Healthy), len(f.Instances))
		}
		return nil
	})
}

// lastLogs returns the ends of all logs.
func (f *Fleet) lastLogs() string {
	var b strings.Builder
	b.WriteString("fleet did not start")
	logs := map[string]string{"simulators": f.file("simulators.log")}
	for _, i := range f.Instances {
		logs[i.Name] = f.logFile(i)
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

// Log returns what an instance has logged.
func (f *Fleet) Log(name string) (string, error) {
	i, err := f.Instance(name)
	if err != nil {
		return "", err
	}
	data, err := os.ReadFile(f.logFile(i))
	return string(data), errors.Wrap(err, "log")
}

func (f *Fleet) logFile(i *Instance) string { return filepath.Join(f.dir, i.Name+".log") }

// Stop ends every process of the fleet and removes its temporary directory.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	end := func(p *process) {
		if p != nil {
			wg.Go(p.end)
		}
	}
	f.mu.Lock()
	for _, i := range f.Instances {
		end(i.process)
	}
	running := f.running
	f.mu.Unlock()
	wg.Wait()
	for _, p := range running {
		end(p)
	}
	wg.Wait()
	for _, i := range f.Instances {
		if i.log != nil {
			_ = i.log.Close()
		}
	}
	if f.log != nil {
		_ = f.log.Close()
	}
	f.ports.release()
	if f.ownDir {
		_ = os.RemoveAll(f.dir)
	}
}
