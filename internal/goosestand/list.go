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

// States of listed instances. A removed instance is no longer listed.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
	InstanceRemoved = "removed"
)

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// Address is the peer link, host:port.
	Address string `json:"address"`
	State   string `json:"state"`
	// Addresses replaces Address at the endpoints that it names; it is not listed.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// ListFaults are the fault switches of one endpoint of the instance list.
type ListFaults struct {
	Down bool `json:"down"`
	Hang bool `json:"hang"`
	// Slow delays every call.
	Slow Duration `json:"slow"`
	// Lag replaces the configured lag if set.
	Lag Duration `json:"lag"`
}

// ListCounters are the calls through one endpoint of the list.
type ListCounters struct {
	Reads int `json:"reads"`
	// Unchanged are the reads that were answered without the list.
	Unchanged int `json:"unchanged"`
	// Bytes is the length of all answers, header included; Size that of the last
	// list alone.
	Bytes int `json:"bytes"`
	Size  int `json:"size"`
}

type listVersion struct {
	at        time.Time
	instances map[string]ListedInstance
}

// List simulates the platform's list of instances, which lags behind changes.
type List struct {
	lag       time.Duration
	endpoints []*listEndpoint

	mu       sync.Mutex
	versions []listVersion
}

type listEndpoint struct {
	name   string
	list   *List
	srv    *server
	faults *faults[ListFaults]
	mu     sync.Mutex
	count  ListCounters
}

// NewList returns a list with one endpoint per address; names, controls may be
// shorter than addresses.
func NewList(lag time.Duration, names, addresses, controls []string, log *slog.Logger) *List {
	l := &List{lag: lag, versions: []listVersion{{instances: map[string]ListedInstance{}}}}
	at := func(s []string, i int) string {
		if i < len(s) {
			return s[i]
		}
		return ""
	}
	for i, a := range addresses {
		e := &listEndpoint{name: at(names, i), list: l, srv: newServer(a, at(controls, i), log)}
		e.faults = newFaults(func(f ListFaults) ListFaults { e.srv.setDown(f.Down); return f })
		addControls(e.srv, e.faults, func() any { return e.counters() })
		e.srv.app.Get("/v1/instances", e.counted, etag.New(), e.get)
		e.srv.app.Post("/v1/instances", e.post)
		e.srv.controls.Post("/v1/instances", e.post)
		l.endpoints = append(l.endpoints, e)
	}
	return l
}

// Run serves all endpoints until ctx ends.
func (l *List) Run(ctx context.Context) error {
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

// set changes one instance.
func (l *List) set(in ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.versions[len(l.versions)-1].instances
	next := make(map[string]ListedInstance, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	if in.State == InstanceRemoved {
		delete(next, in.Name)
	} else {
		next[in.Name] = in
	}
	l.versions = append(l.versions, listVersion{time.Now(), next})
}

// at returns the instances as they were at a time, by name.
func (l *List) at(t time.Time) []ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.versions), func(i int) bool { return l.versions[i].at.After(t) })
	v := l.versions[max(0, i-1)].instances
	out := make([]ListedInstance, 0, len(v))
	for _, in := range v {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (e *listEndpoint) counters() ListCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

// counted counts a read and its answer.
func (e *listEndpoint) counted(c fiber.Ctx) error {
	e.mu.Lock()
	e.count.Reads++
	e.mu.Unlock()
	if err := c.Next(); err != nil {
		return err
	}
	r := c.Response()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count.Bytes += len(r.Header.Header())
	if r.StatusCode() == fiber.StatusNotModified {
		e.count.Unchanged++
		return nil
	}
	e.count.Size = len(r.Body())
	e.count.Bytes += e.count.Size
	return nil
}

func (e *listEndpoint) get(c fiber.Ctx) error {
	f := e.faults.get()
	time.Sleep(time.Duration(f.Slow))
	for f.Hang {
		time.Sleep(20 * time.Millisecond)
		if !e.faults.get().Hang {
			return breakOff(c)
		}
	}
	lag := e.list.lag
	if f.Lag > 0 {
		lag = time.Duration(f.Lag)
	}
	all := e.list.at(time.Now().Add(-lag))
	for i := range all {
		if a, ok := all[i].Addresses[e.name]; ok {
			all[i].Address = a
		}
		all[i].Addresses = nil
	}
	return c.JSON(fiber.Map{"instances": all})
}

func (e *listEndpoint) post(c fiber.Ctx) error {
	var in ListedInstance
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return fail(c, fiber.StatusBadRequest, errors.Wrap(err, "instance"))
	}
	if in.State == "" {
		in.State = InstanceLive
	}
	switch {
	case in.Name == "":
		return fail(c, fiber.StatusBadRequest, errors.New("instance: name is missing"))
	case in.State != InstanceLive && in.State != InstanceLeaving && in.State != InstanceRemoved:
		return fail(c, fiber.StatusBadRequest, errors.Errorf("instance %s: state %q is not live, leaving or removed", in.Name, in.State))
	}
	e.list.set(in)
	return c.SendStatus(fiber.StatusNoContent)
}
