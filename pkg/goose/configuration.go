package goose

import "time"

// Labels are key-value pairs that selectors match.
type Labels map[string]string

// Match reports whether l contains every pair of want.
func (l Labels) Match(want Labels) bool {
	for k, v := range want {
		if l[k] != v {
			return false
		}
	}
	return true
}

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// AdminState is set by operators: an active object gets new work, a leaving one does
// not.
type AdminState string

// States of data centres, instances and backend servers.
const (
	StateActive  AdminState = "active"
	StateLeaving AdminState = "leaving"
)

// Fencing is whether a backend server rejects commands with a stale epoch.
type Fencing string

// Fencing behaviours of backend servers.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name     ServiceName `yaml:"name" cbor:"1,keyasint"`
	Kind     ServiceKind `yaml:"kind" cbor:"2,keyasint"`
	Protocol string      `yaml:"protocol" cbor:"3,keyasint"`
	Model    string      `yaml:"model,omitempty" cbor:"4,keyasint"`
	// Idempotent is false for services whose requests must run at most once.
	Idempotent bool          `yaml:"idempotent" cbor:"5,keyasint"`
	Deadline   time.Duration `yaml:"deadline" cbor:"6,keyasint"`
	Labels     Labels        `yaml:"labels,omitempty" cbor:"7,keyasint"`
}

// WorkspaceSpec is the configuration of a workspace.
type WorkspaceSpec struct {
	Name WorkspaceName `yaml:"name" cbor:"1,keyasint"`
	// KeyHashes are SHA-256 sums of the workspace's keys, in hexadecimal.
	KeyHashes []string `yaml:"key-hashes" cbor:"2,keyasint"`
	// Weight is the relative share in fair queueing; greater than zero.
	Weight float64 `yaml:"weight" cbor:"3,keyasint"`
	Labels Labels  `yaml:"labels,omitempty" cbor:"4,keyasint"`
}

// DataCentreSpec is the configuration of a data centre.
type DataCentreSpec struct {
	Name   DataCentre `yaml:"name" cbor:"1,keyasint"`
	Region string     `yaml:"region,omitempty" cbor:"2,keyasint"`
	State  AdminState `yaml:"state" cbor:"3,keyasint"`
	Labels Labels     `yaml:"labels,omitempty" cbor:"4,keyasint"`
}

// InstanceSpec is the configuration of an entry instance.
type InstanceSpec struct {
	Name   InstanceID `yaml:"name" cbor:"1,keyasint"`
	State  AdminState `yaml:"state" cbor:"2,keyasint"`
	Labels Labels     `yaml:"labels,omitempty" cbor:"3,keyasint"`
}

// BackendServer is the configuration of one backend server, also called a replica
// of its service.
type BackendServer struct {
	Name       ReplicaID   `yaml:"name" cbor:"1,keyasint"`
	Service    ServiceName `yaml:"service" cbor:"2,keyasint"`
	DataCentre DataCentre  `yaml:"data-centre" cbor:"3,keyasint"`
	// Address is host:port with an IP host.
	Address string `yaml:"address" cbor:"4,keyasint"`
	// MemoryTokens bounds the sum of prompt and output tokens in flight.
	MemoryTokens int `yaml:"memory-tokens" cbor:"5,keyasint"`
	// Concurrency bounds the requests in flight on a warm replica.
	Concurrency int `yaml:"concurrency" cbor:"6,keyasint"`
	// ColdConcurrency bounds the requests in flight on a cold replica.
	ColdConcurrency int `yaml:"cold-concurrency" cbor:"7,keyasint"`
	// ColdTokens bounds the tokens in flight on a cold replica.
	ColdTokens int        `yaml:"cold-tokens" cbor:"8,keyasint"`
	Fencing    Fencing    `yaml:"fencing" cbor:"9,keyasint"`
	State      AdminState `yaml:"state" cbor:"10,keyasint"`
	Labels     Labels     `yaml:"labels,omitempty" cbor:"11,keyasint"`
}

// Selector allows the requests that match it to reach the backend servers that
// match it. An empty map matches everything.
type Selector struct {
	Name           string `yaml:"name" cbor:"1,keyasint"`
	Workspaces     Labels `yaml:"workspaces,omitempty" cbor:"2,keyasint"`
	Services       Labels `yaml:"services,omitempty" cbor:"3,keyasint"`
	BackendServers Labels `yaml:"backend-servers,omitempty" cbor:"4,keyasint"`
	DataCentres    Labels `yaml:"data-centres,omitempty" cbor:"5,keyasint"`
}

// WeightStore is the configuration of the platform's weight store, from which
// backend servers load models and adapters.
type WeightStore struct {
	// MaxLoads is the maximum number of model loads that the whole fleet may start
	// within any time window of length Period.
	MaxLoads int           `yaml:"loads" cbor:"1,keyasint"`
	Period   time.Duration `yaml:"period" cbor:"2,keyasint"`
}

// Configuration is the whole configuration of a fleet as one validated document.
// It is immutable once published.
type Configuration struct {
	Services       []ServiceSpec    `yaml:"services" cbor:"1,keyasint"`
	Workspaces     []WorkspaceSpec  `yaml:"workspaces" cbor:"2,keyasint"`
	DataCentres    []DataCentreSpec `yaml:"data-centres" cbor:"3,keyasint"`
	Instances      []InstanceSpec   `yaml:"instances,omitempty" cbor:"4,keyasint"`
	BackendServers []BackendServer  `yaml:"backend-servers" cbor:"5,keyasint"`
	Selectors      []Selector       `yaml:"selectors,omitempty" cbor:"6,keyasint"`
	// WeightStore is nil if no rate is configured; load commands are then refused.
	WeightStore *WeightStore `yaml:"weight-store,omitempty" cbor:"7,keyasint,omitempty"`
}

// Catalogue is a read-only, indexed view of the configuration in force.
// All methods are safe for concurrent use and return shared values that
// callers must not change.
type Catalogue interface {
	// Version is the version in force; zero means none.
	Version() int64
	Configuration() *Configuration
	Service(ServiceName) (ServiceSpec, bool)
	Workspace(WorkspaceName) (WorkspaceSpec, bool)
	// WorkspaceByKey returns the workspace whose key hashes contain the hash of key.
	WorkspaceByKey(key string) (WorkspaceSpec, bool)
	DataCentre(DataCentre) (DataCentreSpec, bool)
	// InstanceState returns StateActive for instances that are not configured.
	InstanceState(InstanceID) AdminState
	BackendServer(ReplicaID) (BackendServer, bool)
	// Pool returns the backend servers of a pool, leaving ones included.
	Pool(Pool) []BackendServer
	// Pools returns the pools of a data centre.
	Pools(DataCentre) []Pool
	// Allowed returns the backend servers of a pool that the selectors allow for
	// the workspace, without those that are leaving or whose data centre is.
	Allowed(WorkspaceName, Pool) []BackendServer
	// DataCentresFor returns the data centres that are not leaving and hold a
	// backend server that the workspace may reach for the service.
	DataCentresFor(WorkspaceName, ServiceName) []DataCentre
}

// ConfigurationSource returns the catalogue in force without blocking.
type ConfigurationSource interface {
	Current() Catalogue
}
