package goose

import (
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// registry maps names to constructors of one kind of plug-in.
type registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	entries map[string]T
}

func newRegistry[T any](kind string) *registry[T] {
	return &registry[T]{kind: kind, entries: map[string]T{}}
}

// add panics on a second registration of a name: that is a programming error.
func (r *registry[T]) add(name string, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[name]; ok {
		panic("goose: " + r.kind + " " + name + " registered twice")
	}
	r.entries[name] = v
}

func (r *registry[T]) get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v, ok := r.entries[name]
	if !ok {
		return v, errors.Errorf("unknown %s %q; known: %v", r.kind, name, r.namesLocked())
	}
	return v, nil
}

func (r *registry[T]) names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.namesLocked()
}

func (r *registry[T]) namesLocked() []string {
	names := make([]string, 0, len(r.entries))
	for n := range r.entries {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

var (
	policies    = newRegistry[func() RoutingPolicy]("routing policy")
	disciplines = newRegistry[func() QueueDiscipline]("queue discipline")
	protocols   = newRegistry[func() Protocol]("backend protocol")
	stores      = newRegistry[func(address string) (Store, error)]("store")
)

// RegisterPolicy adds a routing policy; it panics if the name is taken.
func RegisterPolicy(name string, f func() RoutingPolicy) { policies.add(name, f) }

// NewPolicy returns a new routing policy.
func NewPolicy(name string) (RoutingPolicy, error) { return newPlugin(policies, name) }

// RegisterDiscipline adds a queue discipline; it panics if the name is taken.
func RegisterDiscipline(name string, f func() QueueDiscipline) { disciplines.add(name, f) }

// NewDiscipline returns a new queue discipline.
func NewDiscipline(name string) (QueueDiscipline, error) { return newPlugin(disciplines, name) }

// RegisterProtocol adds a backend protocol; it panics if the name is taken.
func RegisterProtocol(name string, f func() Protocol) { protocols.add(name, f) }

// NewProtocol returns a new client of a backend protocol.
func NewProtocol(name string) (Protocol, error) { return newPlugin(protocols, name) }

// ProtocolNames returns the registered backend protocols in order.
func ProtocolNames() []string { return protocols.names() }

// RegisterStore adds a store adapter; it panics if the name is taken.
func RegisterStore(name string, f func(address string) (Store, error)) { stores.add(name, f) }

// NewStore opens a store at an address.
func NewStore(name, address string) (Store, error) {
	f, err := stores.get(name)
	if err != nil {
		return nil, err
	}
	return f(address)
}

func newPlugin[T any](r *registry[func() T], name string) (T, error) {
	f, err := r.get(name)
	if err != nil {
		var zero T
		return zero, err
	}
	return f(), nil
}
