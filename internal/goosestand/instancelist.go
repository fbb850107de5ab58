package goosestand

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/etag"
	"github.com/pkg/errors"
)

// States of an instance in a POST request. A removed instance is no longer
// listed.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
	InstanceRemoved = "removed"
)

// ListedInstance is one entry of the instance list.
type ListedInstance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// Address is the host:port of the peer link.
	Address string `json:"address"`
	State   string `json:"state"`
	// Addresses replaces Address in the lists of the endpoints that are its keys;
	// it is not listed itself.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// InstanceListFaults are the fault switches of one endpoint of the instance list.
type InstanceListFaults struct {
	Down bool `json:"down"`
	Hang bool `json:"hang"`
	// Slow delays every call.
	Slow Duration `json:"slow"`
	// Lag replaces the configured lag if set.
	Lag Duration `json:"lag"`
}

// InstanceListCounters are the totals of one endpoint of the list.
type InstanceListCounters struct {
	Reads int `json:"reads"`
	// Unchanged counts the reads with the response 304 Not Modified.
	Unchanged int `json:"unchanged"`
	// Bytes is the length of all responses including their headers;
	// LastListBytes is the length of the last list alone.
	Bytes         int `json:"bytes"`
	LastListBytes int `json:"size"`
}

type listVersion struct {
	at        time.Time
	instances map[string]ListedInstance
}

// InstanceList simulates the platform's instance list, which lags behind changes.
type InstanceList struct {
	lag       time.Duration
	endpoints []*listEndpoint

	mu       sync.Mutex
	versions []listVersion
}

type listEndpoint struct {
	name   string
	list   *InstanceList
	srv    *server
	faults *faults[InstanceListFaults]
	mu     sync.Mutex
	totals InstanceListCounters
}

// NewInstanceList returns a list with one endpoint per address. names and controls may
// be shorter than addresses; missing entries mean no name and no control port.
func NewInstanceList(lag time.Duration, names, addresses, controls []string, log *slog.Logger) *InstanceList {
	l := &InstanceList{lag: lag, versions: []listVersion{{instances: map[string]ListedInstance{}}}}
	elementAt := func(s []string, i int) string {
		if i < len(s) {
			return s[i]
		}
		return ""
	}
	for i, address := range addresses {
		e := &listEndpoint{name: elementAt(names, i), list: l, srv: newServer(address, elementAt(controls, i), log)}
		e.faults = newFaults(func(f InstanceListFaults) InstanceListFaults { e.srv.setDown(f.Down); return f })
		addControls(e.srv, e.faults, func() any { return e.counters() })
		e.srv.app.Get("/v1/instances", e.countRead, etag.New(), e.get)
		e.srv.app.Post("/v1/instances", e.post)
		e.srv.controlApp.Post("/v1/instances", e.post)
		l.endpoints = append(l.endpoints, e)
	}
	return l
}

// Run serves all endpoints until ctx is done.
func (l *InstanceList) Run(ctx context.Context) error {
	for _, e := range l.endpoints {
		if err := e.srv.start(); err != nil {
			return err
		}
		e.srv.log.Info("instance list listening", "address", e.srv.addr(), "control", e.srv.controlAddr())
	}
	<-ctx.Done()
	for _, e := range l.endpoints {
		e.srv.stop()
	}
	return nil
}

// setInstance adds, replaces or removes one instance.
func (l *InstanceList) setInstance(instance ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.versions[len(l.versions)-1].instances
	next := make(map[string]ListedInstance, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	if instance.State == InstanceRemoved {
		delete(next, instance.Name)
	} else {
		next[instance.Name] = instance
	}
	l.versions = append(l.versions, listVersion{time.Now(), next})
}

// instancesAt returns the instances as they were at time t, sorted by name.
func (l *InstanceList) instancesAt(t time.Time) []ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.versions), func(i int) bool { return l.versions[i].at.After(t) })
	v := l.versions[max(0, i-1)].instances
	out := make([]ListedInstance, 0, len(v))
	for _, instance := range v {
		out = append(out, instance)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (e *listEndpoint) counters() InstanceListCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// countRead counts a read and its response.
func (e *listEndpoint) countRead(c fiber.Ctx) error {
	e.mu.Lock()
	e.totals.Reads++
	e.mu.Unlock()
	if err := c.Next(); err != nil {
		return err
	}
	r := c.Response()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.Bytes += len(r.Header.Header())
	if r.StatusCode() == fiber.StatusNotModified {
		e.totals.Unchanged++
		return nil
	}
	e.totals.LastListBytes = len(r.Body())
	e.totals.Bytes += e.totals.LastListBytes
	return nil
}

func (e *listEndpoint) get(c fiber.Ctx) error {
	f := e.faults.get()
	time.Sleep(time.Duration(f.Slow))
	for f.Hang {
		time.Sleep(20 * time.Millisecond)
		if !e.faults.get().Hang {
			return abortConnection(c)
		}
	}
	lag := e.list.lag
	if f.Lag > 0 {
		lag = time.Duration(f.Lag)
	}
	all := e.list.instancesAt(time.Now().Add(-lag))
	for i := range all {
		if address, ok := all[i].Addresses[e.name]; ok {
			all[i].Address = address
		}
		all[i].Addresses = nil
	}
	return c.JSON(fiber.Map{"instances": all})
}

func (e *listEndpoint) post(c fiber.Ctx) error {
	var instance ListedInstance
	if err := json.Unmarshal(c.Body(), &instance); err != nil {
		return sendError(c, fiber.StatusBadRequest, errors.Wrap(err, "instance"))
	}
	if instance.State == "" {
		instance.State = InstanceLive
	}
	switch {
	case instance.Name == "":
		return sendError(c, fiber.StatusBadRequest, errors.New("instance: name is missing"))
	case instance.State != InstanceLive && instance.State != InstanceLeaving && instance.State != InstanceRemoved:
		return sendError(c, fiber.StatusBadRequest, errors.Errorf("instance %s: state %q is not live, leaving or removed", instance.Name, instance.State))
	}
	e.list.setInstance(instance)
	return c.SendStatus(fiber.StatusNoContent)
}
