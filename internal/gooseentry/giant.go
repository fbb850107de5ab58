package gooseentry

import (
	"context"
	"slices"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

var errNoKV = errors.New("the protocol cannot move KV caches")

// startGiant runs a prompt over the replicas of its permit: each prefills one
// segment behind those before it, and the last one writes the answer. The
// permit's validity counts for the first byte to the first replica.
func (a *attempt) startGiant(check func() error) (goose.Stream, error) {
	mover, ok := a.proto.(goose.KVMover)
	if !ok {
		return nil, &startError{goose.ErrNotSent, errNoKV}
	}
	text := a.j.q.fields.prompt.text(a.j.q.body.bytes())
	segments := cutSegments(text, a.p.Replicas)
	last := len(a.p.Replicas) - 1
	for i, g := range a.p.Replicas[:last] {
		if len(segments[i]) == 0 {
			continue
		}
		a.g = g
		h, err := mover.Prefill(a.ctx, a.request(g, check), segments[i], a.handles)
		if err != nil {
			return nil, a.prefillFailed(g, err)
		}
		a.handles = append(a.handles, h)
		check = nil
	}
	a.g = a.p.Replicas[last]
	return mover.StartWithKV(a.ctx, a.request(a.g, check), a.handles)
}

// startError is an error of a known kind with its cause.
type startError struct{ kind, cause error }

func (s *startError) Error() string        { return s.kind.Error() + ": " + s.cause.Error() }
func (s *startError) Is(target error) bool { return target == s.kind }
func (s *startError) Unwrap() error        { return s.cause }

// prefillFailed keeps later segments from counting as never sent once an
// earlier one ran. An answer that was lost may have left a handle.
func (a *attempt) prefillFailed(g goose.ReplicaGrant, err error) error {
	if errors.Is(err, goose.ErrDisconnected) {
		a.searched = append(a.searched, g)
	}
	if len(a.handles) > 0 && errors.Is(err, goose.ErrNotSent) {
		return &startError{errSegment, errors.Errorf("segment %d: %v", len(a.handles), err)}
	}
	return err
}

// errSegment means that a later segment of a prompt could not be sent.
var errSegment = errors.New("prefill broke off")

// cutSegments cuts a prompt by the replicas' shares, at the starts of
// characters; the last replica gets what is left.
func cutSegments(text []byte, grants []goose.ReplicaGrant) [][]byte {
	out := make([][]byte, len(grants))
	for i, g := range grants[:len(grants)-1] {
		n := min(g.Tokens*bytesPerToken, len(text))
		for n > 0 && n < len(text) && !utf8.RuneStart(text[n]) {
			n--
		}
		out[i], text = text[:n], text[n:]
	}
	out[len(grants)-1] = text
	return out
}

// cleanUp stops all that the attempt may have left at its replicas. Replicas
// that do not answer hold up none of the others.
func (a *attempt) cleanUp(cancel bool) {
	ctx, stop := context.WithTimeout(context.Background(), a.j.e.limits.CancelTimeout)
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	for _, g := range a.p.Replicas {
		group.Go(func() {
			if cancel {
				a.cancelOn(ctx, g)
			}
			// A prefill that ran until it was cancelled may have exported a cache.
			if slices.Contains(a.searched, g) {
				a.deleteHandles(ctx, a.lostHandles(ctx, g))
			}
		})
	}
	for _, h := range a.handles {
		group.Go(func() { a.deleteHandles(ctx, []goose.KVHandle{h}) })
	}
}

// lateStart is how long a request that broke off before the engine's answer may
// still be on its way into the engine.
const lateStart = 500 * time.Millisecond

// cancelOn cancels the stream on one replica. An engine that has not answered
// yet may take the request in after the first cancel, so that one is repeated.
func (a *attempt) cancelOn(ctx context.Context, g goose.ReplicaGrant) {
	call := func() error { return a.proto.Cancel(ctx, g.Address, a.id) }
	done := insist(ctx, call)
	if done && !a.accepted && goose.Sleep(ctx, lateStart) {
		done = insist(ctx, call)
	}
	if !done {
		gooseevent.CancelUnconfirmed.Log(a.j.e.log, "replica", g.Replica, "attempt", a.id)
	}
}

func (a *attempt) deleteHandles(ctx context.Context, handles []goose.KVHandle) {
	mover, ok := a.proto.(goose.KVMover)
	if !ok {
		return
	}
	for _, h := range handles {
		if !insist(ctx, func() error { return mover.DeleteKV(ctx, h) }) {
			gooseevent.HandleLeft.Log(a.j.e.log, "address", h.Address, "handle", h.ID, "attempt", a.id)
		}
	}
}

// lostHandles finds the attempt's handles on a replica whose answer was lost.
func (a *attempt) lostHandles(ctx context.Context, g goose.ReplicaGrant) (out []goose.KVHandle) {
	lister, ok := a.proto.(goose.KVLister)
	if !ok {
		return nil
	}
	var all []goose.KVHandle
	insist(ctx, func() (err error) {
		all, err = lister.Handles(ctx, g.Address)
		return err
	})
	for _, h := range all {
		if h.Attempt == a.id {
			out = append(out, h)
		}
	}
	return out
}

// insist repeats a call until it succeeds, the backend server refuses the
// connection, as then its process and all it held are gone, or ctx ends.
func insist(ctx context.Context, call func() error) bool {
	for pause := 50 * time.Millisecond; ; pause = min(2*pause, time.Second) {
		err := call()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if !goose.Sleep(ctx, pause) {
			return false
		}
	}
}
