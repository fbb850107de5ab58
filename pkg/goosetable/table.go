// Package goosetable finds the route and the workspace of a request in one
// version of the routing.
package goosetable

import (
	"crypto/sha256"
	"sort"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Table is an index over one goose.Routing. It is immutable.
type Table struct {
	routing goose.Routing
	// hosts has the routes of each host, those with longer prefixes first.
	hosts    map[string][]goose.Route
	services map[goose.ServiceName]goose.RoutedService
	// keys are indexed by their SHA-256 sums, so that a look-up does not tell by
	// its duration how much of a key is right.
	keys map[[sha256.Size]byte]goose.RoutedWorkspace
}

// New returns the table of a routing, which must not change any more.
func New(r goose.Routing) *Table {
	t := &Table{
		routing:  r,
		hosts:    map[string][]goose.Route{},
		services: map[goose.ServiceName]goose.RoutedService{},
		keys:     map[[sha256.Size]byte]goose.RoutedWorkspace{},
	}
	for _, route := range r.Routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range r.Services {
		t.services[s.Name] = s
	}
	for _, w := range r.Workspaces {
		for _, k := range w.Keys {
			t.keys[sha256.Sum256([]byte(k))] = w
		}
	}
	return t
}

// Version returns the version of the routing.
func (t *Table) Version() int64 { return t.routing.Version }

// Keyed reports whether requests of routes that are not public need a key.
func (t *Table) Keyed() bool { return t.routing.Keyed }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() goose.CallerLimits { return t.routing.Limits }

// Match returns the route with the longest prefix that begins the path. A port
// behind the host is ignored.
func (t *Table) Match(host, path string) (goose.Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return goose.Route{}, false
}

// Workspace returns the workspace that holds the key.
func (t *Table) Workspace(key string) (goose.RoutedWorkspace, bool) {
	w, ok := t.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// Service returns what the routing says about a service.
func (t *Table) Service(name goose.ServiceName) (goose.RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services, not to be changed.
func (t *Table) Services() []goose.RoutedService { return t.routing.Services }

// Pick returns the service of the route that owns point, a number from 0 up to 1
// drawn for the request. It returns false if no service has a weight.
func Pick(r goose.Route, point float64) (goose.ServiceName, bool) {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Services {
		if s.Weight == 0 {
			continue
		}
		if left -= float64(s.Weight); left < 0 {
			return s.Service, true
		}
	}
	return "", false
}
