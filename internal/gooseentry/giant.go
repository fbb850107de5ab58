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

var errKVUnsupported = errors.New("the protocol cannot move KV caches")

// startGiant runs a prompt on all replicas of its permit: each replica prefills
// one segment after the segments before it, and the last replica generates the
// output. The validity of the permit is checked only before the first byte to
// the first replica.
func (a *attempt) startGiant(check func() error) (goose.Stream, error) {
	mover, ok := a.proto.(goose.KVMover)
	if !ok {
		return nil, &startError{goose.ErrNotSent, errKVUnsupported}
	}
	text := a.job.req.fields.prompt.text(a.job.req.body.bytes())
	segments := splitSegments(text, a.permit.Replicas)
	last := len(a.permit.Replicas) - 1
	for i, g := range a.permit.Replicas[:last] {
		if len(segments[i]) == 0 {
			continue
		}
		a.grant = g
		h, err := mover.Prefill(a.ctx, a.protocolAttempt(g, check), segments[i], a.handles)
		if err != nil {
			return nil, a.prefillError(g, err)
		}
		a.handles = append(a.handles, h)
		check = nil
	}
	a.grant = a.permit.Replicas[last]
	return mover.StartWithKV(a.ctx, a.protocolAttempt(a.grant, check), a.handles)
}

// startError combines an error kind, which errors.Is matches, with its cause.
type startError struct{ kind, cause error }

func (s *startError) Error() string        { return s.kind.Error() + ": " + s.cause.Error() }
func (s *startError) Is(target error) bool { return target == s.kind }
func (s *startError) Unwrap() error        { return s.cause }

// prefillError returns the error of a failed prefill. If an earlier segment has
// already run, the error must not match ErrNotSent. If the response was lost,
// the replica may hold a KV handle whose ID is unknown.
func (a *attempt) prefillError(g goose.ReplicaGrant, err error) error {
	if errors.Is(err, goose.ErrDisconnected) {
		a.unknownHandleReplicas = append(a.unknownHandleReplicas, g)
	}
	if len(a.handles) > 0 && errors.Is(err, goose.ErrNotSent) {
		return &startError{errSegmentNotSent, errors.Errorf("segment %d: %v", len(a.handles), err)}
	}
	return err
}

// errSegmentNotSent means that a segment after the first one could not be sent.
var errSegmentNotSent = errors.New("prefill broke off")

// splitSegments splits a prompt by the replicas' token shares, only at the
// start of a UTF-8 character. The last replica gets the remaining text.
func splitSegments(text []byte, grants []goose.ReplicaGrant) [][]byte {
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

// cleanUp cancels the attempt's streams if cancel is set and deletes its KV
// handles. It calls all replicas in parallel, so that an unresponsive replica
// does not delay the others.
func (a *attempt) cleanUp(cancel bool) {
	ctx, stop := context.WithTimeout(context.Background(), a.job.entry.limits.CancelTimeout)
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	for _, g := range a.permit.Replicas {
		group.Go(func() {
			if cancel {
				a.cancelAtReplica(ctx, g)
			}
			// A prefill that ran until it was cancelled may have exported a KV
			// cache.
			if slices.Contains(a.unknownHandleReplicas, g) {
				a.deleteHandles(ctx, a.findLostHandles(ctx, g))
			}
		})
	}
	for _, h := range a.handles {
		group.Go(func() { a.deleteHandles(ctx, []goose.KVHandle{h}) })
	}
}

// maxAcceptDelay is how long an engine may take to accept a request whose
// connection broke before the engine's response.
const maxAcceptDelay = 500 * time.Millisecond

// cancelAtReplica cancels the stream on one replica. An engine that has not
// responded yet may accept the request after the first cancel call, so the call
// is repeated after maxAcceptDelay.
func (a *attempt) cancelAtReplica(ctx context.Context, g goose.ReplicaGrant) {
	call := func() error { return a.proto.Cancel(ctx, g.Address, a.id) }
	done := callUntilDone(ctx, call)
	if done && !a.accepted && goose.Sleep(ctx, maxAcceptDelay) {
		done = callUntilDone(ctx, call)
	}
	if !done {
		gooseevent.StreamCancelUnconfirmed.Log(a.job.entry.log, "replica", g.Replica, "attempt", a.id)
	}
}

func (a *attempt) deleteHandles(ctx context.Context, handles []goose.KVHandle) {
	mover, ok := a.proto.(goose.KVMover)
	if !ok {
		return
	}
	for _, h := range handles {
		if !callUntilDone(ctx, func() error { return mover.DeleteKV(ctx, h) }) {
			gooseevent.HandleNotDeleted.Log(a.job.entry.log, "address", h.Address, "handle", h.ID, "attempt", a.id)
		}
	}
}

// findLostHandles returns the attempt's KV handles on a replica whose prefill
// response was lost.
func (a *attempt) findLostHandles(ctx context.Context, g goose.ReplicaGrant) (out []goose.KVHandle) {
	lister, ok := a.proto.(goose.KVLister)
	if !ok {
		return nil
	}
	var all []goose.KVHandle
	callUntilDone(ctx, func() (err error) {
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

// callUntilDone repeats a call until it succeeds, the backend server refuses
// the connection or ctx ends. It returns false only in the last case: if the
// connection is refused, the process and all that it held are gone.
func callUntilDone(ctx context.Context, call func() error) bool {
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
