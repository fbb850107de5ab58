package goosecheck_test

import (
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecheck"
)

// validConfiguration returns a configuration without findings.
func validConfiguration() *goose.Configuration {
	return &goose.Configuration{
		Services: []goose.ServiceSpec{
			{Name: "desk", Kind: goose.KindModel, Labels: goose.Labels{"tier": "words"}}, {Name: "book", Kind: goose.KindPlain, Labels: goose.Labels{"tier": "orders"}},
		},
		Workspaces:  []goose.WorkspaceSpec{{Name: "press", Labels: goose.Labels{"may-order": "yes"}}, {Name: "archive"}},
		DataCentres: []goose.DataCentreSpec{{Name: "leith", State: goose.StateActive}, {Name: "dalkeith", State: goose.StateActive}},
		BackendServers: []goose.BackendServer{
			{Name: "e-1", Service: "desk", DataCentre: "leith", MemoryTokens: 1000, Concurrency: 16, ColdConcurrency: 1, ColdTokens: 100, State: goose.StateActive},
			{Name: "b-1", Service: "book", DataCentre: "dalkeith", Concurrency: 16, ColdConcurrency: 2, State: goose.StateActive},
		},
		Selectors:   []goose.Selector{{Name: "orders", Workspaces: goose.Labels{"may-order": "yes"}, Services: goose.Labels{"tier": "orders"}}},
		WeightStore: &goose.WeightStore{MaxLoads: 1},
	}
}

// Guards against parts of a configuration that have no effect and that operators find only once
// it is in force, and against findings for a sound one.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		change func(c *goose.Configuration)
		want   []string
	}{
		"valid":                    {change: func(*goose.Configuration) {}},
		"empty":                    {change: func(c *goose.Configuration) { *c = goose.Configuration{} }},
		"service without a server": {change: func(c *goose.Configuration) { c.Services = append(c.Services, goose.ServiceSpec{Name: "new"}) }, want: []string{`services[2].name: service "new" has no backend server`}},
		"all servers leaving":      {change: func(c *goose.Configuration) { c.BackendServers[0].State = goose.StateLeaving }, want: []string{`services[0].name: all backend servers of service "desk"`, `workspaces[1].name: workspace "archive"`}},
		"data centre leaving":      {change: func(c *goose.Configuration) { c.DataCentres[1].State = goose.StateLeaving }, want: []string{`services[1].name: all backend servers of service "book"`}},
		"selector, workspaces":     {change: func(c *goose.Configuration) { c.Selectors[0].Workspaces = goose.Labels{"may": "x"} }, want: []string{"selectors[0].workspaces: can never match"}},
		"selector, services":       {change: func(c *goose.Configuration) { c.Selectors[0].Services = goose.Labels{"may": "x"} }, want: []string{"selectors[0].services: can never match"}},
		"selector, servers":        {change: func(c *goose.Configuration) { c.Selectors[0].BackendServers = goose.Labels{"may": "x"} }, want: []string{"selectors[0]: can never match"}},
		"selector, data centres":   {change: func(c *goose.Configuration) { c.Selectors[0].DataCentres = goose.Labels{"may": "x"} }, want: []string{"selectors[0]: can never match"}},
		"workspace without access": {change: func(c *goose.Configuration) { c.Selectors[0].Services = nil }, want: []string{`workspaces[1].name: workspace "archive" may use no`}},
		"requests above memory":    {change: func(c *goose.Configuration) { c.BackendServers[0].Concurrency = 1001 }, want: []string{"backend-servers[0].concurrency: is 1001, above"}},
		"requests above cold limit": {change: func(c *goose.Configuration) {
			c.BackendServers[0].ColdTokens, c.BackendServers[0].ColdConcurrency = 1, 2
		}, want: []string{"backend-servers[0].cold-concurrency: is 2, above"}},
		"weight store without use": {change: func(c *goose.Configuration) { c.Services[0].Kind = goose.KindPlain }, want: []string{"weight-store: has no effect"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := validConfiguration()
			tc.change(c)
			found := goosecheck.Configuration(c)
			if len(found) != len(tc.want) {
				t.Fatalf("got %v, want %d findings", found, len(tc.want))
			}
			for i, f := range found {
				if !strings.HasPrefix(f.String(), "warning: "+tc.want[i]) {
					t.Errorf("got %q, want the warning %q", f, tc.want[i])
				}
			}
		})
	}
}
