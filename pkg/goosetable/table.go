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
	// routesByHost contains the routes of each host, those with longer prefixes first.
	routesByHost map[string][]goose.Route
	services     map[goose.ServiceName]goose.RoutedService
	// workspaces is indexed by the SHA-256 sums of the keys, so that the duration of a
	// lookup does not reveal how much of a key is correct.
	workspaces map[[sha256.Size]byte]goose.RoutedWorkspace
}

// New returns the table of a routing. The routing must not be modified afterwards.
func New(r goose.Routing) *Table {
	t := &Table{
		routing:      r,
		routesByHost: map[string][]goose.Route{},
		services:     map[goose.ServiceName]goose.RoutedService{},
		workspaces:   map[[sha256.Size]byte]goose.RoutedWorkspace{},
	}
	for _, route := range r.Routes {
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range r.Services {
		t.services[s.Name] = s
	}
	for _, w := range r.Workspaces {
		for _, k := range w.Keys {
			t.workspaces[sha256.Sum256([]byte(k))] = w
		}
	}
	return t
}

// Version returns the version of the routing.
func (t *Table) Version() int64 { return t.routing.Version }

// KeyRequired reports whether requests of routes that are not public need a key.
func (t *Table) KeyRequired() bool { return t.routing.KeyRequired }

// Limits returns the bounds on the requests of callers.
func (t *Table) Limits() goose.CallerLimits { return t.routing.Limits }

// Match returns the route with the longest prefix of the path. A port after the host is
// ignored.
func (t *Table) Match(host, path string) (goose.Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return goose.Route{}, false
}

// Workspace returns the workspace that holds the key.
func (t *Table) Workspace(key string) (goose.RoutedWorkspace, bool) {
	w, ok := t.workspaces[sha256.Sum256([]byte(key))]
	return w, ok
}

// Service returns the service with the name.
func (t *Table) Service(name goose.ServiceName) (goose.RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services. The slice must not be modified.
func (t *Table) Services() []goose.RoutedService { return t.routing.Services }

// Pick selects a service of the route by weight. point is a random number of the request
// in [0, 1). Pick returns false if no service has a weight.
func Pick(r goose.Route, point float64) (goose.ServiceName, bool) {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Services {
		if s.Weight == 0 {
			continue
		}
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service, true
		}
	}
	return "", false
}
