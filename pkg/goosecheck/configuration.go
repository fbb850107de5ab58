package goosecheck

import (
	"fmt"
	"slices"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
)

// Configuration returns the findings for a valid configuration. They are warnings: what is wrong
// in any case is an error of gooseconfig.Parse.
func Configuration(c *goose.Configuration) []Finding {
	var found findings
	checkServices(&found, c)
	checkAccess(&found, c)
	checkSelectors(&found, c)
	checkBackendServers(&found, c)
	if c.WeightStore != nil && !slices.ContainsFunc(c.Services, isModel) {
		found.warnf("weight-store", "has no effect: no service is a model service")
	}
	return found
}

func isModel(s goose.ServiceSpec) bool { return s.Kind == goose.KindModel }

// checkServices reports services whose requests are all refused.
func checkServices(found *findings, c *goose.Configuration) {
	centres := map[goose.DataCentre]goose.AdminState{}
	for _, dc := range c.DataCentres {
		centres[dc.Name] = dc.State
	}
	all, active := map[goose.ServiceName]int{}, map[goose.ServiceName]int{}
	for _, b := range c.BackendServers {
		all[b.Service]++
		if b.State == goose.StateActive && centres[b.DataCentre] == goose.StateActive {
			active[b.Service]++
		}
	}
	for i, s := range c.Services {
		at := fmt.Sprintf("services[%d].name", i)
		switch {
		case all[s.Name] == 0:
			found.warnf(at, "service %q has no backend server: every request is refused", s.Name)
		case active[s.Name] == 0:
			found.warnf(at, "all backend servers of service %q are leaving: every request is refused", s.Name)
		}
	}
}

// checkAccess reports workspaces that may use no backend server, although others may.
func checkAccess(found *findings, c *goose.Configuration) {
	s := gooseconfig.NewSnapshot(0, c)
	reaches := func(w goose.WorkspaceSpec) bool {
		return slices.ContainsFunc(c.Services, func(spec goose.ServiceSpec) bool { return len(s.DataCentresFor(w.Name, spec.Name)) > 0 })
	}
	if !slices.ContainsFunc(c.Workspaces, reaches) {
		return
	}
	for i, w := range c.Workspaces {
		if !reaches(w) {
			found.warnf(fmt.Sprintf("workspaces[%d].name", i), "workspace %q may use no backend server: no selector allows it any", w.Name)
		}
	}
}

// checkSelectors reports selectors that allow nothing.
func checkSelectors(found *findings, c *goose.Configuration) {
	centres := map[goose.DataCentre]goose.Labels{}
	for _, dc := range c.DataCentres {
		centres[dc.Name] = dc.Labels
	}
	for i, sel := range c.Selectors {
		services := map[goose.ServiceName]bool{}
		for _, s := range c.Services {
			services[s.Name] = s.Labels.Match(sel.Services)
		}
		at := fmt.Sprintf("selectors[%d]", i)
		switch {
		case !slices.ContainsFunc(c.Workspaces, func(w goose.WorkspaceSpec) bool { return w.Labels.Match(sel.Workspaces) }):
			found.warnf(at+".workspaces", "can never match: no workspace has these labels")
		case !slices.ContainsFunc(c.Services, func(s goose.ServiceSpec) bool { return services[s.Name] }):
			found.warnf(at+".services", "can never match: no service has these labels")
		case !slices.ContainsFunc(c.BackendServers, func(b goose.BackendServer) bool {
			return services[b.Service] && b.Labels.Match(sel.BackendServers) && centres[b.DataCentre].Match(sel.DataCentres)
		}):
			found.warnf(at, "can never match: no backend server of its services has these labels in a data centre with these labels")
		}
	}
}

// checkBackendServers reports servers whose memory is too small for their requests.
func checkBackendServers(found *findings, c *goose.Configuration) {
	for i, b := range c.BackendServers {
		at := fmt.Sprintf("backend-servers[%d]", i)
		if b.MemoryTokens > 0 && b.Concurrency > b.MemoryTokens {
			found.warnf(at+".concurrency", "is %d, above memory-tokens, which is %d: so many requests never fit", b.Concurrency, b.MemoryTokens)
		}
		if b.ColdTokens > 0 && b.ColdConcurrency > b.ColdTokens {
			found.warnf(at+".cold-concurrency", "is %d, above cold-tokens, which is %d: so many requests never fit", b.ColdConcurrency, b.ColdTokens)
		}
	}
}
