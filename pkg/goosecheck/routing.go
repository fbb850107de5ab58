package goosecheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Routing returns the findings for a routing.
func Routing(r goose.Routing) []Finding {
	c := &routingCheck{services: map[goose.ServiceName]goose.RoutedService{}, used: map[goose.ServiceName]bool{}}
	for _, s := range r.Services {
		c.services[s.Name] = s
	}
	c.checkRoutes(r.Routes)
	c.checkServices(r.Services)
	c.checkWorkspaces(r)
	c.checkLimits(r.Limits)
	return c.found
}

type routingCheck struct {
	found    findings
	services map[goose.ServiceName]goose.RoutedService
	// used are the services that a route sends requests to.
	used map[goose.ServiceName]bool
}

func (c *routingCheck) checkRoutes(routes []goose.Route) {
	seen, first := names{}, map[string]int{}
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		seen.check(&c.found, "routes", i, r.Name)
		c.checkPattern(at, r)
		pattern := strings.ToLower(r.Host) + r.Prefix
		if other, ok := first[pattern]; ok {
			c.found.errorf(at+".prefix", "can never match: routes[%d] has the same host and prefix and comes first", other)
		} else {
			first[pattern] = i
		}
		c.checkTargets(at, r)
		c.checkTimes(at, r)
		c.checkRepeats(at, r)
	}
}

// checkPattern checks what goosetable matches: a host without a port, and the begin of a path.
func (c *routingCheck) checkPattern(at string, r goose.Route) {
	switch {
	case r.Host == "":
		c.found.errorf(at+".host", "must be given")
	case strings.ContainsAny(r.Host, ":/ *"):
		c.found.errorf(at+".host", "%.80q can never match: it must be a host without a port or a pattern", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.found.errorf(at+".prefix", "%.80q can never match: paths begin with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# *"):
		c.found.errorf(at+".prefix", "%.80q can never match: it must be the begin of a path", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.found.warnf(at+".prefix", "%.80q also matches %.80q: it does not end with a slash", r.Prefix, r.Prefix+"-other/")
	}
}

func (c *routingCheck) checkTargets(at string, r goose.Route) {
	total := 0
	for i, s := range r.Services {
		total += s.Weight
		if _, ok := c.services[s.Service]; !ok {
			c.found.errorf(at+".service", "no service %.80q", s.Service)
		}
		if s.Weight > 0 {
			c.used[s.Service] = true
		} else if len(r.Services) > 1 {
			c.found.warnf(fmt.Sprintf("%s.split[%d].weight", at, i), "service %.80q gets no requests: its weight is zero", s.Service)
		}
	}
	if total == 0 {
		c.found.errorf(at+".service", "no service with a weight: every request is refused")
	}
}

func (c *routingCheck) checkTimes(at string, r goose.Route) {
	for _, limit := range []struct {
		setting string
		value   time.Duration
	}{{"timeout-ms", r.Timeout}, {"goal-ms", r.Objective}, {"gap-target-ms", r.MaxPause}} {
		if limit.value < 0 {
			c.found.errorf(at+"."+limit.setting, "is negative")
		}
	}
	if r.Timeout <= 0 {
		return
	}
	if r.Objective > r.Timeout {
		c.found.warnf(at+".goal-ms", "is %s, above timeout-ms, which is %s: no response is ever late", r.Objective, r.Timeout)
	}
	if r.MaxPause > r.Timeout {
		c.found.warnf(at+".gap-target-ms", "is %s, above timeout-ms, which is %s: no pause is ever late", r.MaxPause, r.Timeout)
	}
}

func (c *routingCheck) checkRepeats(at string, r goose.Route) {
	if r.Resumable && r.Kind != goose.RouteStream {
		c.found.warnf(at+".resumable", "has no effect: the route is no stream")
	}
	if r.MaxAttempts > 1 && !r.Retryable() {
		c.found.warnf(at+".attempts", "is %d, but requests of the route run at most once", r.MaxAttempts)
	}
}

func (c *routingCheck) checkServices(services []goose.RoutedService) {
	seen := names{}
	for i, s := range services {
		at := fmt.Sprintf("services[%d]", i)
		seen.check(&c.found, "services", i, string(s.Name))
		if s.Name != "" && !c.used[s.Name] {
			c.found.warnf(at+".name", "service %.80q gets no requests: no route sends any to it", s.Name)
		}
		if s.ColdRate < 0 {
			c.found.errorf(at+".cold-per-s", "is negative")
		}
		if s.MaxConnections < 0 {
			c.found.errorf(at+".max-conns", "is negative")
		}
		if s.Engine != nil {
			c.checkEngine(at, s)
		}
	}
}

func (c *routingCheck) checkEngine(at string, s goose.RoutedService) {
	e := *s.Engine
	if e.Slots <= 0 {
		c.found.errorf(at+".engine.slots", "is %d; must be above zero", e.Slots)
	}
	if e.MemoryTokens <= 0 {
		c.found.errorf(at+".engine.kv-capacity", "is %d; must be above zero", e.MemoryTokens)
	}
	if s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		c.found.warnf(at+".max-conns", "is %d, below engine.slots, which is %d: some slots are never used", s.MaxConnections, e.Slots)
	}
	if e.MemoryTokens > 0 && e.MeanOutputTokens > e.MemoryTokens {
		c.found.warnf(at+".engine.usual.answer", "is %d, above engine.kv-capacity, which is %d: a usual answer fits into no replica", e.MeanOutputTokens, e.MemoryTokens)
	}
}

func (c *routingCheck) checkWorkspaces(r goose.Routing) {
	seen, owner, keys := names{}, map[string]int{}, 0
	for i, w := range r.Workspaces {
		at := fmt.Sprintf("tenants[%d]", i)
		seen.check(&c.found, "tenants", i, string(w.Name))
		if len(w.Keys) == 0 {
			c.found.warnf(at+".api-keys", "workspace %.80q can never match: it has no keys", w.Name)
		}
		for j, key := range w.Keys {
			keyAt := fmt.Sprintf("%s.api-keys[%d]", at, j)
			// The messages do not contain keys, since they are shown and logged.
			if key == "" {
				c.found.errorf(keyAt, "is empty: requests without a key would belong to the workspace")
			} else if other, ok := owner[key]; ok {
				c.found.errorf(keyAt, "is already a key of tenants[%d]", other)
			}
			owner[key] = i
			keys++
		}
	}
	if r.KeyRequired && keys == 0 && hasPrivateRoute(r.Routes) {
		c.found.errorf("tenants", "no key: every request of a route that is not public is refused")
	}
}

func hasPrivateRoute(routes []goose.Route) bool {
	for _, r := range routes {
		if !r.Public {
			return true
		}
	}
	return false
}

func (c *routingCheck) checkLimits(l goose.CallerLimits) {
	for _, limit := range []struct {
		setting string
		value   int64
	}{
		{"max-header-bytes", int64(l.HeaderBytes)},
		{"max-body-bytes", l.BodyBytes},
		{"header-timeout-ms", int64(l.HeaderTimeout)},
		{"idle-timeout-ms", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			c.found.errorf("limits."+limit.setting, "is negative")
		}
	}
}
