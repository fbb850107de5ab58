// Package gooseoperator is the operator API: an HTTP server inside every entry
// instance and the client that the command line uses.
package gooseoperator

import (
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
)

// Paths of the API.
const (
	pathStatus   = "/operator/status"
	pathConfig   = "/operator/config"
	pathLabel    = "/operator/label"
	pathOrders   = "/operator/orders"
	pathAudit    = "/operator/audit"
	pathCommands = "/operator/commands"
	pathReplicas = "/operator/replicas"
)

// CodeUnsettled is the code of an error that callers of the other API never see.
const CodeUnsettled goose.RefusalCode = "unsettled"

// APIError is an error answer of the API.
type APIError struct {
	// Status is the HTTP status.
	Status  int               `json:"-"`
	Code    goose.RefusalCode `json:"code"`
	Message string            `json:"message"`
	// Run tells whether the change took effect.
	Run      goose.RunState      `json:"run"`
	Problems []gooseyaml.Problem `json:"problems,omitempty"`
}

// Error returns the message, or one line per problem.
func (e *APIError) Error() string {
	if len(e.Problems) == 0 {
		return e.Message
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

type errorBody struct {
	Error *APIError `json:"error"`
}

// Status describes one instance and what it knows about the others.
type Status struct {
	Instance   goose.InstanceID `json:"instance"`
	DataCentre goose.DataCentre `json:"data-centre"`
	// Version is the configuration version in force; zero means none.
	Version int64 `json:"version"`
	// NotReady tells why the instance refuses requests; empty if it does not.
	NotReady string `json:"not-ready,omitempty"`
	// Running is the number of requests in flight on this instance.
	Running int            `json:"running"`
	Members []MemberStatus `json:"members"`
	// DataCentres are those of the configuration in force.
	DataCentres []DataCentreStatus `json:"data-centres"`
}

// MemberStatus is one instance as another sees it.
type MemberStatus struct {
	goose.Member
	// State is what operators want.
	State goose.AdminState `json:"state"`
}

// DataCentreStatus is one data centre of the configuration in force.
type DataCentreStatus struct {
	Name   goose.DataCentre `json:"name"`
	Region string           `json:"region,omitempty"`
	State  goose.AdminState `json:"state"`
	Pools  []PoolStatus     `json:"pools"`
}

// PoolStatus counts a pool's backend servers and names its dispatcher.
type PoolStatus struct {
	Service        goose.ServiceName  `json:"service"`
	BackendServers int                `json:"backend-servers"`
	Leaving        int                `json:"leaving"`
	Dispatcher     goose.InstanceID   `json:"dispatcher,omitempty"`
	Mode           goose.DispatchMode `json:"mode,omitempty"`
}

// Config is the configuration in force.
type Config struct {
	Version  int64     `json:"version"`
	ChangeID string    `json:"change-id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Base     int64     `json:"base"`
	// Configuration is YAML.
	Configuration string `json:"configuration"`
}

// ApplyRequest publishes a whole configuration.
type ApplyRequest struct {
	// ChangeID makes a repeated request take effect once.
	ChangeID string `json:"change-id"`
	Author   string `json:"author"`
	// Base is the version that the configuration was made from.
	Base int64 `json:"base"`
	// DryRun checks and compares without publishing.
	DryRun bool `json:"dry-run"`
	// File names the source in errors.
	File          string `json:"file"`
	Configuration string `json:"configuration"`
}

// LabelRequest changes labels and the state of one object.
type LabelRequest struct {
	ChangeID string             `json:"change-id"`
	Author   string             `json:"author"`
	Object   gooseconfig.Object `json:"object"`
	Set      goose.Labels       `json:"set,omitempty"`
	Remove   []string           `json:"remove,omitempty"`
	// State is empty to keep it.
	State goose.AdminState `json:"state,omitempty"`
}

// Applied is the outcome of a change.
type Applied struct {
	// Version is the new version, or the current one if nothing changed or the
	// change was a dry run.
	Version  int64  `json:"version"`
	ChangeID string `json:"change-id"`
	// Changed is false if the configuration is as wanted already.
	Changed bool     `json:"changed"`
	DryRun  bool     `json:"dry-run"`
	Summary []string `json:"summary"`
}

// CommandRequest commands one backend server.
type CommandRequest struct {
	// ChangeID names the command in the audit trail.
	ChangeID string          `json:"change-id"`
	Author   string          `json:"author"`
	Replica  goose.ReplicaID `json:"replica"`
	// Kind, Name, Model and Version are those of a goose.Command.
	Kind    goose.CommandKind `json:"kind"`
	Name    string            `json:"name"`
	Model   string            `json:"model,omitempty"`
	Version string            `json:"version,omitempty"`
	// Force sends the command although requests run on the backend server.
	Force bool `json:"force,omitempty"`
}

func (q CommandRequest) command() goose.Command {
	return goose.Command{Kind: q.Kind, Name: q.Name, Model: q.Model, Version: q.Version}
}

// Commanded is the outcome of a command.
type Commanded struct {
	ChangeID string          `json:"change-id"`
	Replica  goose.ReplicaID `json:"replica"`
	Command  string          `json:"command"`
	goose.CommandResult
}

// SettleRequest decides an order whose outcome is unknown.
type SettleRequest struct {
	Key    goose.OrderKey   `json:"key"`
	State  goose.OrderState `json:"state"`
	Author string           `json:"author"`
}
