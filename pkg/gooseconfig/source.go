package gooseconfig

import (
	"sync/atomic"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Source holds the version in force. Reads are lock-free.
type Source struct {
	// The version of current never decreases.
	current atomic.Pointer[inForce]
}

// inForce is a snapshot and a channel that is closed when a newer one replaces it.
type inForce struct {
	snapshot *Snapshot
	replaced chan struct{}
}

var _ goose.ConfigurationSource = (*Source)(nil)

// NewSource returns a source with an empty configuration of version zero.
func NewSource() *Source {
	s := &Source{}
	s.current.Store(&inForce{snapshot: NewSnapshot(0, &goose.Configuration{}), replaced: make(chan struct{})})
	return s
}

// Current returns the version in force, or version zero before the first Adopt.
func (s *Source) Current() goose.Catalogue { return s.Snapshot() }

// Snapshot returns the same as Current, with its concrete type.
func (s *Source) Snapshot() *Snapshot { return s.current.Load().snapshot }

// Adopt puts a snapshot in force if its version is higher than the one in force.
// Otherwise it has no effect and returns false.
func (s *Source) Adopt(snapshot *Snapshot) bool {
	next := &inForce{snapshot: snapshot, replaced: make(chan struct{})}
	for {
		old := s.current.Load()
		if snapshot.Version() <= old.snapshot.Version() {
			return false
		}
		if s.current.CompareAndSwap(old, next) {
			close(old.replaced)
			return true
		}
	}
}

// WatchCurrent returns the version in force and a channel that is closed when a
// newer one replaces it.
func (s *Source) WatchCurrent() (goose.Catalogue, <-chan struct{}) {
	c := s.current.Load()
	return c.snapshot, c.replaced
}
