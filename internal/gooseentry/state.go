package gooseentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

func newIncarnation() string {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// requestTracker counts running requests, so that a graceful shutdown can wait
// for them.
type requestTracker struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// tryAdd counts a new request. It returns false once the instance is draining.
func (r *requestTracker) tryAdd() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.count++
	return true
}

// add counts further work of a request that is already counted.
func (r *requestTracker) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
}

func (r *requestTracker) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.count == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// drain makes tryAdd fail and waits until no request runs or ctx ends. It
// returns the number of requests that still run.
func (r *requestTracker) drain(ctx context.Context) int {
	r.mu.Lock()
	r.draining = true
	if r.count == 0 {
		r.mu.Unlock()
		return 0
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// retryBudget is a token bucket that limits retries to a share of the requests.
type retryBudget struct {
	mu        sync.Mutex
	share     float64
	burst     float64
	available float64
}

func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.share)
}

func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// inFlightRequests records which requests of this instance run on each replica,
// so that all of them become suspects when the replica crashes.
type inFlightRequests struct {
	mu        sync.Mutex
	byReplica map[goose.ReplicaID]map[goose.PermitID]inFlightRequest
	// lastProcess is the process most recently seen on each replica.
	lastProcess map[goose.ReplicaID]string
}

// inFlightRequest is a request that runs on a process; the process is empty
// until it is known.
type inFlightRequest struct {
	fingerprint goose.Fingerprint
	process     string
}

func (f *inFlightRequests) add(id goose.ReplicaID, p goose.PermitID, req inFlightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byReplica == nil {
		f.byReplica = map[goose.ReplicaID]map[goose.PermitID]inFlightRequest{}
		f.lastProcess = map[goose.ReplicaID]string{}
	}
	if req.process != "" {
		f.lastProcess[id] = req.process
	}
	if f.byReplica[id] == nil {
		f.byReplica[id] = map[goose.PermitID]inFlightRequest{}
	}
	f.byReplica[id][p] = req
}

func (f *inFlightRequests) remove(id goose.ReplicaID, p goose.PermitID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byReplica[id], p)
	if len(f.byReplica[id]) == 0 {
		delete(f.byReplica, id)
	}
}

// affectedByCrash returns the process that crashed and the requests that ran on
// it. If process is empty, the process most recently seen on the replica is
// taken, so that all reports of one crash name the same process and count once.
// Requests whose process is not known are included; requests on a later process
// of the replica are not.
func (f *inFlightRequests) affectedByCrash(id goose.ReplicaID, process string) (string, []goose.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if process == "" {
		process = f.lastProcess[id]
	}
	var out []goose.Fingerprint
	for _, req := range f.byReplica[id] {
		if req.process == process || req.process == "" {
			out = append(out, req.fingerprint)
		}
	}
	return process, out
}

// sendGate decides between two concurrent steps: either the first byte is sent to
// a backend server, or the caller gets a refusal which states that the request
// did not run.
type sendGate struct{ state atomic.Int32 }

const (
	gateIdle int32 = iota
	gateSent
	gateClosed
)

// allowSend returns false if the caller got a refusal which states that the
// request did not run.
func (g *sendGate) allowSend() bool {
	return g.state.CompareAndSwap(gateIdle, gateSent) || g.state.Load() == gateSent
}

// close returns whether the request may have run. After RunStateNotRun,
// allowSend returns false.
func (g *sendGate) close() goose.RunState {
	if g.state.CompareAndSwap(gateIdle, gateClosed) || g.state.Load() == gateClosed {
		return goose.RunStateNotRun
	}
	return goose.RunStateUnknown
}

// reset undoes allowSend when nothing was sent.
func (g *sendGate) reset() { g.state.CompareAndSwap(gateSent, gateIdle) }
