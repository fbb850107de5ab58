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

// CodeOutcomeUnknown is the code of a change whose outcome is unknown. Callers of the request
// API never receive it.
const CodeOutcomeUnknown goose.RefusalCode = "unsettled"

// APIError is an error response of the API.
type APIError struct {
	// Status is the HTTP status.
	Status  int               `json:"-"`
	Code    goose.RefusalCode `json:"code"`
	Message string            `json:"message"`
	// Run states whether the change took effect.
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

// Status describes one instance and its records of the others.
type Status struct {
	Instance   goose.InstanceID `json:"instance"`
	DataCentre goose.DataCentre `json:"data-centre"`
	// Version is the configuration version in force; zero means none.
	Version int64 `json:"version"`
	// NotReady is the reason why the instance refuses requests; empty if it accepts them.
	NotReady string `json:"not-ready,omitempty"`
	// RequestsInFlight is the number of requests in flight on this instance.
	RequestsInFlight int            `json:"running"`
	Members          []MemberStatus `json:"members"`
	// DataCentres lists the data centres of the configuration in force.
	DataCentres []DataCentreStatus `json:"data-centres"`
}

// MemberStatus is the status of one instance as recorded by the queried instance.
type MemberStatus struct {
	goose.Member
	// State is the state that operators have set.
	State goose.AdminState `json:"state"`
}

// DataCentreStatus is the status of one data centre of the configuration in force.
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
	// ChangeID makes the request idempotent: a repeated request takes effect only once.
	ChangeID string `json:"change-id"`
	Author   string `json:"author"`
	// Base is the version that the configuration was made from.
	Base int64 `json:"base"`
	// DryRun validates and compares the configuration without publishing it.
	DryRun bool `json:"dry-run"`
	// File is the file name in error messages.
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
	// State is the new state; if it is empty, the state is kept.
	State goose.AdminState `json:"state,omitempty"`
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	// Version is the new version, or the current one if nothing changed or the
	// change was a dry run.
	Version  int64  `json:"version"`
	ChangeID string `json:"change-id"`
	// Changed is false if the configuration already was as requested.
	Changed bool     `json:"changed"`
	DryRun  bool     `json:"dry-run"`
	Summary []string `json:"summary"`
}

// CommandRequest is a request to send a command to one backend server.
type CommandRequest struct {
	// ChangeID identifies the command in the audit trail.
	ChangeID string          `json:"change-id"`
	Author   string          `json:"author"`
	Replica  goose.ReplicaID `json:"replica"`
	// Kind, Name, Model and Version are the fields of the goose.Command.
	Kind    goose.CommandKind `json:"kind"`
	Name    string            `json:"name"`
	Model   string            `json:"model,omitempty"`
	Version string            `json:"version,omitempty"`
	// Force sends the command even if requests run on the backend server.
	Force bool `json:"force,omitempty"`
}

func (q CommandRequest) command() goose.Command {
	return goose.Command{Kind: q.Kind, Name: q.Name, Model: q.Model, Version: q.Version}
}

// CommandResponse is the outcome of a command.
type CommandResponse struct {
	ChangeID string          `json:"change-id"`
	Replica  goose.ReplicaID `json:"replica"`
	Command  string          `json:"command"`
	goose.CommandResult
}

// SettleRequest records an outcome for an order whose outcome is unknown.
type SettleRequest struct {
	Key    goose.OrderKey   `json:"key"`
	State  goose.OrderState `json:"state"`
	Author string           `json:"author"`
}
