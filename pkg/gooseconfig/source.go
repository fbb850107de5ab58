package gooseconfig

import (
	"sync/atomic"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Source holds the version in force. Reads are lock-free.
type Source struct {
	// current never goes from a higher version to a lower one.
	current atomic.Pointer[inForce]
}

// inForce is a snapshot and the signal that a newer one replaced it.
type inForce struct {
	snapshot *Snapshot
	replaced chan struct{}
}

var _ goose.ConfigurationSource = (*Source)(nil)

// NewSource returns a source with an empty configuration, version zero.
func NewSource() *Source {
	s := &Source{}
	s.current.Store(&inForce{snapshot: NewSnapshot(0, &goose.Configuration{}), replaced: make(chan struct{})})
	return s
}

// Current returns the version in force; version zero before the first one.
func (s *Source) Current() goose.Catalogue { return s.Snapshot() }

// Snapshot is Current with its full type.
func (s *Source) Snapshot() *Snapshot { return s.current.Load().snapshot }

// Adopt puts a snapshot in force. It returns false, without effect, unless its
// version is higher than the one in force.
func (s *Source) Adopt(n *Snapshot) bool {
	next := &inForce{snapshot: n, replaced: make(chan struct{})}
	for {
		old := s.current.Load()
		if n.Version() <= old.snapshot.Version() {
			return false
		}
		if s.current.CompareAndSwap(old, next) {
			close(old.replaced)
			return true
		}
	}
}

// Changed returns the version in force and a channel that is closed when a
// newer one replaces it.
func (s *Source) Changed() (goose.Catalogue, <-chan struct{}) {
	c := s.current.Load()
	return c.snapshot, c.replaced
}
