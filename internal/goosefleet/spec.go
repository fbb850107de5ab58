// Package goosefleet starts a whole deployment on this machine: entry
// instances, platform simulators and the configuration that joins them. It is
// for load runs and integration tests; every process ends with the fleet.
package goosefleet

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Workspace is a caller of the fleet.
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
	// Replicas are spread over the data centres in turn.
	Replicas int `json:"replicas"`
	// Limits of each replica.
	MemoryTokens    int `json:"memory-tokens"`
	Concurrency     int `json:"concurrency"`
	ColdConcurrency int `json:"cold-concurrency"`
	ColdTokens      int `json:"cold-tokens"`
	// Apart runs each replica in a process of its own, so that it can be killed
	// and paused by name like an instance.
	Apart bool `json:"apart,omitempty"`
	// Flags are further flags of the simulator.
	Flags []string `json:"flags,omitempty"`
	// FencingIgnored makes the engines of a model service ignore fencing tokens.
	FencingIgnored bool `json:"fencing-ignored,omitempty"`
}

// WeightStore is the weight store of the fleet.
type WeightStore struct {
	// Loads may begin within any Period.
	Loads    int
	Period   time.Duration
	LoadTime time.Duration
}

// Spec describes a fleet.
type Spec struct {
	Name        string
	DataCentres []string
	// Instances is the number of entry instances, spread over the data centres
	// in turn.
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
	// may put links to their own binary there and run the program that
	// os.Args[0] names in TestMain.
	Bin string
	// Dir is the working directory, where all processes write their logs; empty
	// makes a temporary one, which Stop removes.
	Dir string
	// Partitions puts a relay before each instance's peer address and gives each
	// instance its own endpoint of store and list, so that instances can be cut off
	// from each other and from the platform one by one.
	Partitions bool
	// SkipInstances starts the simulators alone.
	SkipInstances bool
}

// Names of the known deployments.
const (
	Drummond = "drummond"
	Ponnala  = "ponnala"
)

// Preset returns the description of a known deployment.
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

// workspaces returns callers of equal weight; the load generator gives
// them unequal traffic.
func workspaces(n int) []Workspace {
	all := make([]Workspace, n)
	for i := range all {
		name := fmt.Sprintf("workspace-%02d", i)
		all[i] = Workspace{Name: name, Key: "key-of-" + name, Weight: 1}
	}
	return all
}

// Model returns the first model service.
func (s Spec) Model() (Service, bool) {
	for _, v := range s.Services {
		if !v.Plain {
			return v, true
		}
	}
	return Service{}, false
}

func (s Spec) check() error {
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
