package goosestore

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// watchSet holds the open watches of one client.
type watchSet struct {
	mu     sync.Mutex
	open   map[*etcdWatcher]struct{}
	closed bool
}

func (s *watchSet) add(w *etcdWatcher) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.open == nil {
		s.open = map[*etcdWatcher]struct{}{}
	}
	s.open[w] = struct{}{}
	return true
}

func (s *watchSet) remove(w *etcdWatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, w)
}

func (s *watchSet) closeAll() {
	s.mu.Lock()
	s.closed = true
	all := s.open
	s.open = nil
	s.mu.Unlock()
	for w := range all {
		w.Close()
	}
}

// etcdWatcher reads one watch on its own connection, because closing the connection
// is the only way to interrupt a blocked read.
type etcdWatcher struct {
	events chan goose.WatchEvent
	stop   context.CancelFunc
	ctx    context.Context

	mu   sync.Mutex
	conn net.Conn
	err  error
}

// Watch implements goose.Store. It returns once the store has confirmed the watch.
func (e *Etcd) Watch(ctx context.Context, prefix string, fromRevision int64) (goose.Watcher, error) {
	timeout, err := callTimeout(ctx, e.timeout)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(watchRequest{Create: watchCreate{
		Key: rangeStart(prefix), RangeEnd: []byte(RangeEnd(prefix)), StartRevision: int64String(fromRevision),
	}})
	if err != nil {
		return nil, errors.Wrap(err, "watch")
	}
	w := &etcdWatcher{events: make(chan goose.WatchEvent)}
	w.ctx, w.stop = context.WithCancel(ctx)
	if !e.watches.add(w) {
		w.stop()
		return nil, errors.Wrap(goose.ErrUnavailable, "store closed")
	}
	context.AfterFunc(w.ctx, w.closeConn)
	created := make(chan error, 1)
	go func() {
		defer e.watches.remove(w)
		w.run(e, body, timeout, created)
	}()
	return w.waitCreated(created, timeout)
}

func (w *etcdWatcher) waitCreated(created <-chan error, timeout time.Duration) (goose.Watcher, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	var err error
	select {
	case err = <-created:
	case <-t.C:
		w.stop()
		err = errors.Wrap(goose.ErrOutcomeUnknown, "watch not confirmed")
	case <-w.ctx.Done():
		// The end of the stream also ends the context; the error of the stream is more
		// specific.
		select {
		case err = <-created:
		default:
			err = errors.Wrap(goose.ErrOutcomeUnknown, w.ctx.Err().Error())
		}
	}
	if err != nil {
		return nil, err
	}
	return w, nil
}

// run sends the request and delivers events until the stream ends. It sends nil to
// created for the first message, or the error that arrived instead.
func (w *etcdWatcher) run(e *Etcd, body []byte, timeout time.Duration, created chan<- error) {
	defer close(w.events)
	defer w.stop()
	client := newHostClient(strings.TrimPrefix(e.base, "http://"), timeout, w.dial)
	client.StreamResponseBody = true
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	e.prepare(req, "/v3/watch", body)
	// The call has no timeout, since a timeout would also end the stream. waitCreated
	// bounds the wait for the confirmation instead, and closes the connection.
	if err := client.Do(req, resp); err != nil {
		w.finish(classify(err), created)
		return
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		errorBody, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), 1<<16))
		w.finish(statusError(resp.StatusCode(), errorBody), created)
		return
	}
	w.finish(w.deliver(resp.BodyStream(), created), created)
}

func (w *etcdWatcher) deliver(stream io.Reader, created chan<- error) error {
	d := json.NewDecoder(stream)
	for first := true; ; first = false {
		var message json.RawMessage
		if err := d.Decode(&message); err != nil {
			return errors.Wrap(goose.ErrUnavailable, "watch stream ended: "+err.Error())
		}
		events, err := decodeWatch(message)
		if err != nil {
			return err
		}
		if first {
			created <- nil
		}
		for _, ev := range events {
			select {
			case w.events <- ev:
			case <-w.ctx.Done():
				return nil
			}
		}
	}
}

// finish records why the watch ended; a watch that its user closed has no error.
func (w *etcdWatcher) finish(err error, created chan<- error) {
	if w.ctx.Err() == nil {
		w.mu.Lock()
		w.err = err
		w.mu.Unlock()
	}
	select {
	case created <- err:
	default:
	}
}

func (w *etcdWatcher) dial(address string, timeout time.Duration) (net.Conn, error) {
	c, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		_ = c.Close()
		return nil, &dialError{w.ctx.Err()}
	}
	w.conn = c
	return c, nil
}

func (w *etcdWatcher) closeConn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

// Events implements goose.Watcher.
func (w *etcdWatcher) Events() <-chan goose.WatchEvent { return w.events }

// Err implements goose.Watcher.
func (w *etcdWatcher) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Close implements goose.Watcher.
func (w *etcdWatcher) Close() { w.stop() }
