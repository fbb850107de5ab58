package gooseconfig

import (
	"maps"
	"slices"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/pkg/errors"
)

// ErrNotFound means that a change names an object that is not configured.
var ErrNotFound = errors.New("not found")

// ObjectKind is a kind of object that operators name in changes.
type ObjectKind string

// Kinds of objects.
const (
	ObjectDataCentre    ObjectKind = "data-centre"
	ObjectInstance      ObjectKind = "instance"
	ObjectBackendServer ObjectKind = "backend-server"
	ObjectService       ObjectKind = "service"
	ObjectWorkspace     ObjectKind = "workspace"
)

// Object identifies one object of the configuration.
type Object struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
}

// String returns "kind/name".
func (o Object) String() string { return string(o.Kind) + "/" + o.Name }

// ObjectKinds returns all kinds.
func ObjectKinds() []ObjectKind {
	return []ObjectKind{ObjectDataCentre, ObjectInstance, ObjectBackendServer, ObjectService, ObjectWorkspace}
}

// WithState returns a copy of the configuration in which a data centre,
// instance or backend server has the given state. An instance that is not
// listed yet is added.
func WithState(c *goose.Configuration, o Object, state goose.AdminState) (*goose.Configuration, error) {
	out := *c
	var ok bool
	switch o.Kind {
	case ObjectDataCentre:
		out.DataCentres, ok = updateElement(c.DataCentres, dataCentreNamed(o.Name), func(e *goose.DataCentreSpec) { e.State = state })
	case ObjectInstance:
		out.Instances, ok = updateElement(c.Instances, instanceNamed(o.Name), func(e *goose.InstanceSpec) { e.State = state })
		if !ok {
			out.Instances, ok = append(slices.Clone(c.Instances), goose.InstanceSpec{Name: goose.InstanceID(o.Name), State: state}), true
		}
	case ObjectBackendServer:
		out.BackendServers, ok = updateElement(c.BackendServers, backendServerNamed(o.Name), func(e *goose.BackendServer) { e.State = state })
	default:
		return nil, errors.Errorf("%s: only data centres, instances and backend servers have a state", o)
	}
	return validateChange(&out, o, ok)
}

// WithLabels returns a copy of the configuration in which labels of one object
// are set and removed. An instance that is not listed yet is added.
func WithLabels(c *goose.Configuration, o Object, set goose.Labels, remove []string) (*goose.Configuration, error) {
	out := *c
	var ok bool
	update := func(l *goose.Labels) { *l = mergeLabels(*l, set, remove) }
	switch o.Kind {
	case ObjectDataCentre:
		out.DataCentres, ok = updateElement(c.DataCentres, dataCentreNamed(o.Name), func(e *goose.DataCentreSpec) { update(&e.Labels) })
	case ObjectInstance:
		out.Instances, ok = updateElement(c.Instances, instanceNamed(o.Name), func(e *goose.InstanceSpec) { update(&e.Labels) })
		if !ok {
			e := goose.InstanceSpec{Name: goose.InstanceID(o.Name), State: goose.StateActive, Labels: mergeLabels(nil, set, remove)}
			out.Instances, ok = append(slices.Clone(c.Instances), e), true
		}
	case ObjectBackendServer:
		out.BackendServers, ok = updateElement(c.BackendServers, backendServerNamed(o.Name), func(e *goose.BackendServer) { update(&e.Labels) })
	case ObjectService:
		out.Services, ok = updateElement(c.Services, func(e goose.ServiceSpec) bool { return string(e.Name) == o.Name }, func(e *goose.ServiceSpec) { update(&e.Labels) })
	case ObjectWorkspace:
		out.Workspaces, ok = updateElement(c.Workspaces, func(e goose.WorkspaceSpec) bool { return string(e.Name) == o.Name }, func(e *goose.WorkspaceSpec) { update(&e.Labels) })
	default:
		return nil, errors.Errorf("%s: unknown kind; known: %v", o, ObjectKinds())
	}
	return validateChange(&out, o, ok)
}

func validateChange(c *goose.Configuration, o Object, found bool) (*goose.Configuration, error) {
	if !found {
		return nil, errors.WithMessage(ErrNotFound, o.String())
	}
	if err := Validate(c); err != nil {
		return nil, err
	}
	return c, nil
}

func dataCentreNamed(n string) func(goose.DataCentreSpec) bool {
	return func(e goose.DataCentreSpec) bool { return string(e.Name) == n }
}

func instanceNamed(n string) func(goose.InstanceSpec) bool {
	return func(e goose.InstanceSpec) bool { return string(e.Name) == n }
}

func backendServerNamed(n string) func(goose.BackendServer) bool {
	return func(e goose.BackendServer) bool { return string(e.Name) == n }
}

// updateElement returns a copy of the list in which the first matching element
// is updated, or the list itself and false if no element matches.
func updateElement[T any](list []T, match func(T) bool, update func(*T)) ([]T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		return list, false
	}
	out := slices.Clone(list)
	update(&out[i])
	return out, true
}

func mergeLabels(l, set goose.Labels, remove []string) goose.Labels {
	out := maps.Clone(l)
	if out == nil {
		out = goose.Labels{}
	}
	maps.Copy(out, set)
	for _, k := range remove {
		delete(out, k)
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
