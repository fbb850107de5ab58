package goosebench

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
)

// Target is the fleet that receives the load.
type Target struct {
	// Callers are the host:port addresses of caller APIs, or of a load balancer in
	// front of them.
	Callers    []string               `json:"callers"`
	Workspaces []goosefleet.Workspace `json:"workspaces"`
	// Model, Orders and Lookups are names of services.
	Model   string `json:"model"`
	Orders  string `json:"orders"`
	Lookups string `json:"lookups"`
	// ModelDeadline and PlainDeadline are the deadlines of the services.
	ModelDeadline time.Duration `json:"model-deadline"`
	PlainDeadline time.Duration `json:"plain-deadline"`
	// Backends are the simulated backend servers whose counters the report uses.
	Backends []*goosefleet.Simulator `json:"backends"`
	// requestTimeout is the X-Request-Timeout of callers; zero sends no such header.
	requestTimeout time.Duration
}

// targetOf returns the target for a fleet that this process started.
func targetOf(f *goosefleet.Fleet) *Target {
	t := &Target{Callers: []string{f.Balancer.Address}, Workspaces: f.Workspaces, Backends: f.Backends}
	for _, s := range f.Services {
		switch {
		case !s.Plain:
			t.Model, t.ModelDeadline = s.Name, s.Deadline
		case s.Idempotent:
			t.Lookups, t.PlainDeadline = s.Name, s.Deadline
		default:
			t.Orders, t.PlainDeadline = s.Name, s.Deadline
		}
	}
	return t
}

// defaultDeadline is used if the target gives no deadline.
const defaultDeadline = 2 * time.Minute

// deadline returns the time that the fleet has for a request.
func (t *Target) deadline(k Kind) time.Duration {
	d := t.PlainDeadline
	if k == KindModel {
		d = t.ModelDeadline
	}
	if d <= 0 {
		d = defaultDeadline
	}
	if t.requestTimeout > 0 {
		d = min(d, t.requestTimeout)
	}
	return d
}

// readTarget reads a target from a JSON file.
func readTarget(file string) (*Target, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	t := new(Target)
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return t, errors.Wrap(t.validate(), file)
}

// validate returns an error for targets that are incomplete or not on this machine.
func (t *Target) validate() error {
	switch {
	case len(t.Callers) == 0:
		return errors.New("callers: none given")
	case len(t.Workspaces) == 0:
		return errors.New("workspaces: none given")
	}
	addresses := append([]string{}, t.Callers...)
	for _, b := range t.Backends {
		addresses = append(addresses, b.Address, b.Control)
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return errors.Wrapf(err, "address %q", a)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return errors.Errorf("address %q is not a loopback address; load is only sent within this machine", a)
		}
	}
	return nil
}

// backendCounters holds the counters of all backend servers.
type backendCounters struct {
	engines []goosestand.EngineCounters
	plains  []goosestand.PlainCounters
	// executed counts executions by service and body hash.
	executed map[string]map[string]int
}

func (t *Target) readCounters(ctx context.Context) (backendCounters, error) {
	counters := backendCounters{executed: map[string]map[string]int{}}
	for _, b := range t.Backends {
		if !b.Plain {
			var c goosestand.EngineCounters
			if err := b.Counters(ctx, &c); err != nil {
				return counters, errors.Wrap(err, b.Name)
			}
			counters.engines = append(counters.engines, c)
			continue
		}
		var c goosestand.PlainCounters
		if err := b.Counters(ctx, &c); err != nil {
			return counters, errors.Wrap(err, b.Name)
		}
		counters.plains = append(counters.plains, c)
		var executions map[string]goosestand.Execution
		if err := b.Executed(ctx, &executions); err != nil {
			return counters, errors.Wrap(err, b.Name)
		}
		if counters.executed[b.Service] == nil {
			counters.executed[b.Service] = map[string]int{}
		}
		for body, e := range executions {
			counters.executed[b.Service][body] += e.Count
		}
	}
	return counters, nil
}

// countRampingEngines returns the number of engines that do not accept their full
// concurrency yet.
func (t *Target) countRampingEngines(ctx context.Context) (int, error) {
	counters, err := t.readCounters(ctx)
	return counters.sumEngines(func(c goosestand.EngineCounters) int {
		if c.Ramping {
			return 1
		}
		return 0
	}), err
}

// sumEngines sums one counter over all engines.
func (bc backendCounters) sumEngines(f func(goosestand.EngineCounters) int) int {
	n := 0
	for _, c := range bc.engines {
		n += f(c)
	}
	return n
}

// coldOverloads returns the number of cold overloads of engines and plain services.
func (bc backendCounters) coldOverloads() int {
	n := bc.sumEngines(func(c goosestand.EngineCounters) int { return c.Overloads })
	for _, c := range bc.plains {
		n += c.Overloads
	}
	return n
}
