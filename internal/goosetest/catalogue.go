// Package goosetest has stand-ins in memory for the roles of pkg/goose and a
// scripted backend server, for the tests of packages that use them.
package goosetest

import (
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Catalogue opens every backend server to the one workspace forge, whose key is
// forge-key.
type Catalogue struct {
	goose.Catalogue
	// InForce is the version.
	InForce  int64
	Services []goose.ServiceSpec
	Servers  []goose.BackendServer
	// Leaving is true if all instances leave.
	Leaving bool
}

// Current implements goose.ConfigurationSource.
func (c *Catalogue) Current() goose.Catalogue { return c }

// Version implements goose.Catalogue.
func (c *Catalogue) Version() int64 { return c.InForce }

// Configuration implements goose.Catalogue.
func (c *Catalogue) Configuration() *goose.Configuration {
	return &goose.Configuration{BackendServers: c.Servers}
}

// Service implements goose.Catalogue.
func (c *Catalogue) Service(n goose.ServiceName) (goose.ServiceSpec, bool) {
	for _, s := range c.Services {
		if s.Name == n {
			return s, true
		}
	}
	return goose.ServiceSpec{}, false
}

// WorkspaceByKey implements goose.Catalogue.
func (c *Catalogue) WorkspaceByKey(key string) (goose.WorkspaceSpec, bool) {
	return goose.WorkspaceSpec{Name: "forge"}, key == "forge-key"
}

// DataCentre implements goose.Catalogue.
func (c *Catalogue) DataCentre(n goose.DataCentre) (goose.DataCentreSpec, bool) {
	return goose.DataCentreSpec{Name: n, State: goose.StateActive}, true
}

// InstanceState implements goose.Catalogue.
func (c *Catalogue) InstanceState(goose.InstanceID) goose.AdminState {
	if c.Leaving {
		return goose.StateLeaving
	}
	return goose.StateActive
}

// Allowed implements goose.Catalogue.
func (c *Catalogue) Allowed(_ goose.WorkspaceName, p goose.Pool) (out []goose.BackendServer) {
	for _, b := range c.Servers {
		if b.Service == p.Service && b.DataCentre == p.DataCentre && b.State == goose.StateActive {
			out = append(out, b)
		}
	}
	return out
}

// DataCentresFor implements goose.Catalogue for the data centres leith and dalkeith.
func (c *Catalogue) DataCentresFor(w goose.WorkspaceName, s goose.ServiceName) (out []goose.DataCentre) {
	for _, dc := range []goose.DataCentre{"leith", "dalkeith"} {
		if len(c.Allowed(w, goose.Pool{DataCentre: dc, Service: s})) > 0 {
			out = append(out, dc)
		}
	}
	return out
}

// Membership names a dispatcher for every pool.
type Membership struct{ goose.Membership }

// Dispatcher implements goose.Membership.
func (Membership) Dispatcher(goose.Pool) (goose.Member, bool) { return goose.Member{}, true }
