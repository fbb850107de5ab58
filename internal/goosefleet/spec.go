// Package goosefleet starts a whole deployment on the local machine: entry
// instances, platform simulators and the configuration that connects them. It is
// used by load runs and integration tests. Fleet.Stop ends every process that the
// fleet started.
package goosefleet

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Workspace is a workspace of the fleet; callers use its key.
type Workspace struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"`
}

// Service is a service of the fleet with its replicas.
type Service struct {
	Name       string        `json:"name"`
	Plain      bool          `json:"plain"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	// Replicas is the number of replicas; they are distributed round-robin over
	// the data centres.
	Replicas int `json:"replicas"`
	// The following fields are the limits of each replica.
	MemoryTokens    int `json:"memory-tokens"`
	Concurrency     int `json:"concurrency"`
	ColdConcurrency int `json:"cold-concurrency"`
	ColdTokens      int `json:"cold-tokens"`
	// OwnProcess runs each replica in its own process, so that it can be killed and
	// paused by name like an instance.
	OwnProcess bool `json:"apart,omitempty"`
	// Flags are additional command-line flags of the simulator.
	Flags []string `json:"flags,omitempty"`
	// FencingIgnored makes the engines of a model service ignore fencing tokens.
	FencingIgnored bool `json:"fencing-ignored,omitempty"`
}

// WeightStore is the weight store of the fleet.
type WeightStore struct {
	// MaxLoads is the number of model loads that may start within any Period; LoadTime
	// is the duration of one.
	MaxLoads int
	Period   time.Duration
	LoadTime time.Duration
}

// Spec describes a fleet.
type Spec struct {
	Name        string
	DataCentres []string
	// Instances is the number of entry instances; they are distributed round-robin
	// over the data centres.
	Instances  int
	Services   []Service
	Workspaces []Workspace
	// WeightStore is nil for a fleet without one.
	WeightStore *WeightStore
	// Settings are added to every instance's settings file.
	Settings map[string]any
	// ListLag is the lag of the instance list.
	ListLag time.Duration
	// Bin is the directory of the programs gooseberryhold and goosestand. Tests
	// may put links to their own binary there; their TestMain then runs the
	// program that os.Args[0] names.
	Bin string
	// Dir is the working directory, which holds the logs of all processes. If it
	// is empty, Start creates a temporary directory and Stop removes it.
	Dir string
	// Partitions puts a UDP proxy in front of each instance's peer address and gives
	// each instance its own endpoints of the store and the list, so that single
	// instances can be disconnected from each other and from the platform.
	Partitions bool
	// SkipInstances starts only the simulators, without entry instances and
	// balancer.
	SkipInstances bool
}

// Names of the preset deployments.
const (
	Drummond = "drummond"
	Ponnala  = "ponnala"
)

// Preset returns the Spec of the deployment with this name.
func Preset(name string) (Spec, error) {
	s := Spec{Name: name, ListLag: 2 * time.Second, Bin: "bin"}
	model, orders, lookups := "", "", ""
	switch name {
	case Drummond:
		s.DataCentres = []string{"leith", "musselburgh", "dalkeith"}
		s.Instances = 7
		model, orders, lookups = "wording-desk", "order-book", "stock-list"
	case Ponnala:
		s.DataCentres = []string{"kochi-a", "kochi-b", "kochi-c"}
		s.Instances = 6
		model, orders, lookups = "mend-llm", "job-desk", "ticket-list"
	default:
		return Spec{}, errors.Errorf("unknown fleet %q; known: %s, %s", name, Drummond, Ponnala)
	}
	s.Services = []Service{
		{
			Name: model, Idempotent: true, Deadline: time.Minute, Replicas: 20,
			MemoryTokens: 400_000, Concurrency: 32, ColdConcurrency: 1, ColdTokens: 120_000,
		},
		{Name: orders, Plain: true, Deadline: 20 * time.Second, Replicas: 3, Concurrency: 32, ColdConcurrency: 2},
		{Name: lookups, Plain: true, Idempotent: true, Deadline: 20 * time.Second, Replicas: 3, Concurrency: 32, ColdConcurrency: 2},
	}
	s.Workspaces = workspaces(10)
	return s, nil
}

// workspaces returns n workspaces of equal weight; the load generator sends
// unequal traffic for them.
func workspaces(n int) []Workspace {
	all := make([]Workspace, n)
	for i := range all {
		name := fmt.Sprintf("workspace-%02d", i)
		all[i] = Workspace{Name: name, Key: "key-of-" + name, Weight: 1}
	}
	return all
}

// ModelService returns the first model service.
func (s Spec) ModelService() (Service, bool) {
	for _, v := range s.Services {
		if !v.Plain {
			return v, true
		}
	}
	return Service{}, false
}

func (s Spec) validate() error {
	switch {
	case len(s.DataCentres) == 0:
		return errors.New("fleet: no data centres")
	case s.Instances < 1 && !s.SkipInstances:
		return errors.New("fleet: no instances")
	case len(s.Services) == 0:
		return errors.New("fleet: no services")
	case len(s.Workspaces) == 0:
		return errors.New("fleet: no workspaces")
	case s.Bin == "":
		return errors.New("fleet: the directory of the programs is missing")
	}
	return nil
}
