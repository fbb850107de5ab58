package goosetable

import (
	"testing"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func route(name, host, prefix string) goose.Route {
	return goose.Route{Name: name, Host: host, Prefix: prefix, Services: []goose.WeightedService{{Service: "desk", Weight: 1}}}
}

// Guards against requests that reach the service of another route.
func TestMatch(t *testing.T) {
	t.Parallel()
	table := New(goose.Routing{Routes: []goose.Route{
		route("outer", "a.example", "/x/"), route("inner", "a.example", "/x/y/"), route("other", "b.example", "/"),
	}})
	tests := map[string]struct {
		host, path string
		want       string
	}{
		"longest prefix":         {host: "a.example", path: "/x/y/z", want: "inner"},
		"shorter prefix":         {host: "a.example", path: "/x/z", want: "outer"},
		"not at a slash":         {host: "a.example", path: "/xy/", want: ""},
		"prefix without slash":   {host: "a.example", path: "/x", want: ""},
		"host in upper case":     {host: "A.Example", path: "/x/", want: "outer"},
		"host with port":         {host: "a.example:80", path: "/x/", want: "outer"},
		"other host":             {host: "b.example", path: "/x/y/z", want: "other"},
		"unknown host":           {host: "c.example", path: "/x/", want: ""},
		"prefix of another host": {host: "a.example", path: "/", want: ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ok := table.Match(tc.host, tc.path)
			if got.Name != tc.want || ok != (tc.want != "") {
				t.Errorf("got route %q, %t, want %q", got.Name, ok, tc.want)
			}
		})
	}
}

// Guards against a key that is accepted for another workspace, or for none.
func TestWorkspace(t *testing.T) {
	t.Parallel()
	table := New(goose.Routing{KeyRequired: true, Workspaces: []goose.RoutedWorkspace{
		{Name: "guild", Keys: []string{"k1", "k2"}}, {Name: "college", Keys: []string{"k3"}}, {Name: "closed"},
	}})
	tests := map[string]struct {
		key  string
		want goose.WorkspaceName
	}{
		"first key":  {key: "k1", want: "guild"},
		"second key": {key: "k2", want: "guild"},
		"other":      {key: "k3", want: "college"},
		"unknown":    {key: "k4"},
		"empty":      {key: ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ok := table.Workspace(tc.key)
			if got.Name != tc.want || ok != (tc.want != "") {
				t.Errorf("got workspace %q, %t, want %q", got.Name, ok, tc.want)
			}
		})
	}
}

// Guards against requests to services without a weight.
func TestPick(t *testing.T) {
	t.Parallel()
	split := goose.Route{Services: []goose.WeightedService{{Service: "a", Weight: 90}, {Service: "off"}, {Service: "b", Weight: 10}}}
	tests := map[string]struct {
		route goose.Route
		point float64
		want  goose.ServiceName
	}{
		"start":       {route: split, point: 0, want: "a"},
		"last of a":   {route: split, point: 0.899, want: "a"},
		"first of b":  {route: split, point: 0.9, want: "b"},
		"end":         {route: split, point: 0.9999, want: "b"},
		"no weights":  {route: goose.Route{Services: []goose.WeightedService{{Service: "off"}}}, point: 0.5},
		"no services": {point: 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ok := Pick(tc.route, tc.point)
			if got != tc.want || ok != (tc.want != "") {
				t.Errorf("got service %q, %t, want %q", got, ok, tc.want)
			}
		})
	}
}
