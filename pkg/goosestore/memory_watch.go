package goosestore

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// watchBuffer is the number of changes that are buffered for one watch. A watch whose
// reader falls further behind ends, and the reader must start again from a fresh read.
const watchBuffer = 1024

type memoryWatcher struct {
	prefix string
	events chan goose.WatchEvent
	end    func(error)

	mu     sync.Mutex
	err    error
	closed bool
}

// Watch implements goose.Store. A fromRevision of 0 starts with the next change.
func (m *Memory) Watch(ctx context.Context, prefix string, fromRevision int64) (goose.Watcher, error) {
	var w *memoryWatcher
	err := m.runCall(ctx, CallWatch, func() error {
		if fromRevision > 0 && fromRevision <= m.compacted {
			return errors.Wrapf(goose.ErrCompacted, "watch %s from %d", prefix, fromRevision)
		}
		w = m.openWatch(prefix, fromRevision)
		return nil
	})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, w.Close)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		stop()
	}
	return w, nil
}

func (m *Memory) openWatch(prefix string, fromRevision int64) *memoryWatcher {
	var past []goose.WatchEvent
	if fromRevision > 0 {
		for _, e := range m.history {
			if e.Entry.ModRevision >= fromRevision && hasPrefix(e, prefix) {
				past = append(past, e)
			}
		}
	}
	w := &memoryWatcher{prefix: prefix, events: make(chan goose.WatchEvent, watchBuffer+len(past))}
	for _, e := range past {
		w.events <- e
	}
	w.end = func(err error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.endWatch(w, err)
	}
	m.watchers[w] = struct{}{}
	return w
}

func (m *Memory) deliver(w *memoryWatcher, e goose.WatchEvent) {
	if !hasPrefix(e, w.prefix) {
		return
	}
	select {
	case w.events <- e:
	default:
		m.endWatch(w, errors.Wrap(goose.ErrCompacted, "watch fell behind"))
	}
}

func (m *Memory) endWatches(err error) {
	for w := range m.watchers {
		m.endWatch(w, err)
	}
}

func (m *Memory) endWatch(w *memoryWatcher, err error) {
	delete(m.watchers, w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.err = err
	close(w.events)
}

// Events implements goose.Watcher.
func (w *memoryWatcher) Events() <-chan goose.WatchEvent { return w.events }

// Err implements goose.Watcher.
func (w *memoryWatcher) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Close implements goose.Watcher.
func (w *memoryWatcher) Close() { w.end(nil) }
