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

// Target is the fleet that a run loads.
type Target struct {
	// Callers are the host:port of caller APIs or of a balancer before them.
	Callers    []string               `json:"callers"`
	Workspaces []goosefleet.Workspace `json:"workspaces"`
	// Model, Orders and Lookups are names of services.
	Model   string `json:"model"`
	Orders  string `json:"orders"`
	Lookups string `json:"lookups"`
	// ModelDeadline and PlainDeadline are those of the services.
	ModelDeadline time.Duration `json:"model-deadline"`
	PlainDeadline time.Duration `json:"plain-deadline"`
	// Backends are the simulators whose counters the report reads.
	Backends []*goosefleet.Simulator `json:"backends"`
	// timeout is what callers ask for; zero is nothing.
	timeout time.Duration
}

// targetOf describes a fleet that was started here.
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

// defaultDeadline stands for a deadline that the target does not give.
const defaultDeadline = 2 * time.Minute

// deadline is how long the fleet may take for one request.
func (t *Target) deadline(k Kind) time.Duration {
	d := t.PlainDeadline
	if k == KindModel {
		d = t.ModelDeadline
	}
	if d <= 0 {
		d = defaultDeadline
	}
	if t.timeout > 0 {
		d = min(d, t.timeout)
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
	return t, errors.Wrap(t.check(), file)
}

// check refuses targets that are incomplete or not on this machine.
func (t *Target) check() error {
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

// totals sums the counters of all backend servers.
type totals struct {
	engines []goosestand.EngineCounters
	plains  []goosestand.PlainCounters
	// executed holds executions by service and body.
	executed map[string]map[string]int
}

func (t *Target) totals(ctx context.Context) (totals, error) {
	s := totals{executed: map[string]map[string]int{}}
	for _, b := range t.Backends {
		if !b.Plain {
			var c goosestand.EngineCounters
			if err := b.Counters(ctx, &c); err != nil {
				return s, errors.Wrap(err, b.Name)
			}
			s.engines = append(s.engines, c)
			continue
		}
		var c goosestand.PlainCounters
		if err := b.Counters(ctx, &c); err != nil {
			return s, errors.Wrap(err, b.Name)
		}
		s.plains = append(s.plains, c)
		var x map[string]goosestand.Execution
		if err := b.Executed(ctx, &x); err != nil {
			return s, errors.Wrap(err, b.Name)
		}
		if s.executed[b.Service] == nil {
			s.executed[b.Service] = map[string]int{}
		}
		for body, e := range x {
			s.executed[b.Service][body] += e.Count
		}
	}
	return s, nil
}

// ramping counts the engines that do not bear their full concurrency yet.
func (t *Target) ramping(ctx context.Context) (int, error) {
	s, err := t.totals(ctx)
	return s.sum(func(c goosestand.EngineCounters) int {
		if c.Ramping {
			return 1
		}
		return 0
	}), err
}

// sum adds up one counter of all engines.
func (s totals) sum(f func(goosestand.EngineCounters) int) int {
	n := 0
	for _, c := range s.engines {
		n += f(c)
	}
	return n
}

// overloads counts cold overloads of engines and plain services.
func (s totals) overloads() int {
	n := s.sum(func(c goosestand.EngineCounters) int { return c.Overloads })
	for _, c := range s.plains {
		n += c.Overloads
	}
	return n
}
