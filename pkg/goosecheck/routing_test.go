package goosecheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// validRouting returns a routing without findings.
func validRouting() goose.Routing {
	return goose.Routing{
		Version: 2, KeyRequired: true,
		Routes: []goose.Route{
			{
				Name: "look", Host: "desk.example", Prefix: "/look/", Kind: goose.RouteIdempotent, Timeout: time.Minute, Objective: time.Second,
				MaxAttempts: 2, Services: []goose.WeightedService{{Service: "desk", Weight: 1}},
			},
			{
				Name: "stream", Host: "desk.example", Prefix: "/", Kind: goose.RouteStream, Resumable: true, MaxAttempts: 3, MaxPause: time.Second,
				Timeout: time.Minute, Services: []goose.WeightedService{{Service: "desk", Weight: 9}, {Service: "book", Weight: 1}},
			},
		},
		Services: []goose.RoutedService{
			{Name: "desk", MaxConnections: 20, ColdRate: 2, Engine: &goose.EngineProfile{Slots: 16, MemoryTokens: 1000, MeanOutputTokens: 10}},
			{Name: "book"},
		},
		Workspaces: []goose.RoutedWorkspace{{Name: "guild", Keys: []string{"k1", "k2"}}, {Name: "college", Keys: []string{"k3"}}},
		Limits:     goose.CallerLimits{HeaderBytes: 1 << 14},
	}
}

// Guards against faults of a routing that operators find only once it is in force, and against
// findings for a sound one.
func TestRouting(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		change func(r *goose.Routing)
		// want are the begins of the findings.
		want []string
	}{
		"valid":                   {change: func(*goose.Routing) {}},
		"empty":                   {change: func(r *goose.Routing) { *r = goose.Routing{Version: 1} }},
		"name twice":              {change: func(r *goose.Routing) { r.Routes[1].Name = "look" }, want: []string{`error: routes[1].name: "look" is already`}},
		"no name":                 {change: func(r *goose.Routing) { r.Routes[0].Name = "" }, want: []string{"error: routes[0].name: must be given"}},
		"no host":                 {change: func(r *goose.Routing) { r.Routes[0].Host = "" }, want: []string{"error: routes[0].host: must be given"}},
		"host with a port":        {change: func(r *goose.Routing) { r.Routes[0].Host = "desk.example:80" }, want: []string{"error: routes[0].host: "}},
		"pattern as host":         {change: func(r *goose.Routing) { r.Routes[0].Host = "*.example" }, want: []string{"error: routes[0].host: "}},
		"same pattern":            {change: func(r *goose.Routing) { r.Routes[1].Host, r.Routes[1].Prefix = "Desk.Example", "/look/" }, want: []string{"error: routes[1].prefix: can never match: routes[0]"}},
		"prefix without slash":    {change: func(r *goose.Routing) { r.Routes[0].Prefix = "look/" }, want: []string{"error: routes[0].prefix: "}},
		"empty prefix":            {change: func(r *goose.Routing) { r.Routes[0].Prefix = "" }, want: []string{"error: routes[0].prefix: "}},
		"prefix with a query":     {change: func(r *goose.Routing) { r.Routes[0].Prefix = "/look?x=/" }, want: []string{"error: routes[0].prefix: "}},
		"prefix of names":         {change: func(r *goose.Routing) { r.Routes[0].Prefix = "/look" }, want: []string{`warning: routes[0].prefix: "/look" also matches "/look-other/"`}},
		"unknown service":         {change: func(r *goose.Routing) { r.Routes[0].Services[0].Service = "telex" }, want: []string{"error: routes[0].service: no service"}},
		"no service":              {change: func(r *goose.Routing) { r.Routes[0].Services = nil }, want: []string{"error: routes[0].service: no service with a weight"}},
		"no weight":               {change: func(r *goose.Routing) { r.Routes[0].Services[0].Weight = 0 }, want: []string{"error: routes[0].service: no service with a weight"}},
		"weight of zero":          {change: func(r *goose.Routing) { r.Routes[1].Services[0].Weight = 0 }, want: []string{"warning: routes[1].split[0].weight: "}},
		"negative timeout":        {change: func(r *goose.Routing) { r.Routes[0].Timeout = -1 }, want: []string{"error: routes[0].timeout-ms: is negative"}},
		"goal above timeout":      {change: func(r *goose.Routing) { r.Routes[0].Objective = time.Hour }, want: []string{"warning: routes[0].goal-ms: is 1h0m0s, above timeout-ms"}},
		"pause above timeout":     {change: func(r *goose.Routing) { r.Routes[1].MaxPause = time.Hour }, want: []string{"warning: routes[1].gap-target-ms: "}},
		"goal without timeout":    {change: func(r *goose.Routing) { r.Routes[0].Timeout = 0 }},
		"resumable without use":   {change: func(r *goose.Routing) { r.Routes[0].Resumable = true }, want: []string{"warning: routes[0].resumable: "}},
		"attempts of an order":    {change: func(r *goose.Routing) { r.Routes[0].Kind = goose.RouteNonIdempotent }, want: []string{"warning: routes[0].attempts: is 2"}},
		"attempts of a stream":    {change: func(r *goose.Routing) { r.Routes[1].Resumable = false }, want: []string{"warning: routes[1].attempts: is 3"}},
		"service without a route": {change: func(r *goose.Routing) { r.Services = append(r.Services, goose.RoutedService{Name: "old"}) }, want: []string{"warning: services[2].name: "}},
		"service twice":           {change: func(r *goose.Routing) { r.Services = append(r.Services, r.Services[1]) }, want: []string{`error: services[2].name: "book" is already`}},
		"engine without slots":    {change: func(r *goose.Routing) { r.Services[0].Engine.Slots = 0 }, want: []string{"error: services[0].engine.slots: "}},
		"engine without memory":   {change: func(r *goose.Routing) { r.Services[0].Engine.MemoryTokens = 0 }, want: []string{"error: services[0].engine.kv-capacity: "}},
		"slots above connections": {change: func(r *goose.Routing) { r.Services[0].MaxConnections = 15 }, want: []string{"warning: services[0].max-conns: is 15, below"}},
		"answer above memory":     {change: func(r *goose.Routing) { r.Services[0].Engine.MeanOutputTokens = 1001 }, want: []string{"warning: services[0].engine.usual.answer: "}},
		"negative bounds": {change: func(r *goose.Routing) { r.Services[1].ColdRate, r.Services[1].MaxConnections = -1, -1 }, want: []string{
			"error: services[1].cold-per-s: is negative", "error: services[1].max-conns: is negative",
		}},
		"workspace twice":      {change: func(r *goose.Routing) { r.Workspaces[1].Name = "guild" }, want: []string{"error: tenants[1].name: "}},
		"key of two":           {change: func(r *goose.Routing) { r.Workspaces[1].Keys = []string{"k3", "k1"} }, want: []string{"error: tenants[1].api-keys[1]: is already a key of tenants[0]"}},
		"key twice":            {change: func(r *goose.Routing) { r.Workspaces[1].Keys = []string{"k3", "k3"} }, want: []string{"error: tenants[1].api-keys[1]: is already a key of tenants[1]"}},
		"empty key":            {change: func(r *goose.Routing) { r.Workspaces[1].Keys = []string{""} }, want: []string{"error: tenants[1].api-keys[0]: is empty"}},
		"workspace, no keys":   {change: func(r *goose.Routing) { r.Workspaces[1].Keys = nil }, want: []string{"warning: tenants[1].api-keys: "}},
		"no workspaces":        {change: func(r *goose.Routing) { r.Workspaces = nil }, want: []string{"error: tenants: no key"}},
		"public, no workspace": {change: func(r *goose.Routing) { r.Workspaces, r.Routes[0].Public, r.Routes[1].Public = nil, true, true }},
		"negative limit":       {change: func(r *goose.Routing) { r.Limits.BodyBytes = -1 }, want: []string{"error: limits.max-body-bytes: is negative"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := validRouting()
			tc.change(&r)
			found := Routing(r)
			if len(found) != len(tc.want) {
				t.Fatalf("got %v, want %d findings", found, len(tc.want))
			}
			for i, f := range found {
				if !strings.HasPrefix(f.String(), tc.want[i]) {
					t.Errorf("got %q, want %q", f, tc.want[i])
				}
				if strings.Contains(f.Message, "k1") || strings.Contains(f.Message, "k3") {
					t.Errorf("got a key in %q", f)
				}
			}
		})
	}
}

// Guards against a change that operators do not see before they send it, and against a version
// that no instance would use.
func TestRoutingDifferences(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		change  func(r *goose.Routing)
		want    []string
		refused bool
	}{
		"none":          {change: func(*goose.Routing) {}},
		"version alone": {change: func(r *goose.Routing) { r.Version = 3 }, want: []string{"version 2 to 3"}},
		"same version":  {change: func(r *goose.Routing) { r.Routes[0].Priority = 1 }, want: []string{"changed route/look"}, refused: true},
		"older version": {change: func(r *goose.Routing) { r.Version = 1 }, want: []string{"version 2 to 1"}, refused: true},
		"all kinds": {change: func(r *goose.Routing) {
			r.Version, r.Routes[0].Name, r.Services[0].Engine.Slots, r.Workspaces[0].Keys, r.KeyRequired, r.Limits.BodyBytes = 3, "new", 8, []string{"k9"}, false, 5
			r.Workspaces = r.Workspaces[:1]
		}, want: []string{
			"version 2 to 3", "added route/new", "removed route/look", "changed service/desk", "changed workspace/guild", "removed workspace/college",
			"changed tenants: keys required true to false",
			"changed limits: {HeaderBytes:16384 BodyBytes:0 HeaderTimeout:0s IdleTimeout:0s} to {HeaderBytes:16384 BodyBytes:5 HeaderTimeout:0s IdleTimeout:0s}",
		}},
		"other order": {change: func(r *goose.Routing) { r.Version = 3; slices.Reverse(r.Routes) }, want: []string{"version 2 to 3"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := validRouting()
			tc.change(&r)
			if got := RoutingDifferences(validRouting(), r); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if found := VersionFinding(validRouting(), r); (len(found) > 0) != tc.refused {
				t.Errorf("got %v, want a version that is refused: %t", found, tc.refused)
			}
		})
	}
}
